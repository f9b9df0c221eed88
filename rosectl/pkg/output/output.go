// Package output prints objects for people and for programs.
package output

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"

	"rosemarygrade.dev/lib/pkg/wire"
	"rosemarygrade.dev/rosectl/pkg/fleet"
)

// megabyte is a megabyte in bytes.
const megabyte = 1_000_000

// Values of the --output flag.
const (
	FormatTable = "table"
	FormatJSON  = "json"
)

// Objects prints objects as JSON, or as a table with a row for each object's status.
func Objects(w io.Writer, format string, objects []wire.Object) error {
	if format == FormatJSON {
		return JSON(w, objects)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "KIND\tNAME\tVERSION\tIN FORCE\tHOSTS\tIN FLIGHT\tDONE\tREASON")
	for _, o := range objects {
		_, _ = fmt.Fprintln(t, row(o))
	}
	return t.Flush()
}

// Fleet prints the summary of a fleet as JSON, or as a table with a row for each data centre and a line for each finding.
func Fleet(w io.Writer, format string, s fleet.Summary) error {
	if format == FormatJSON {
		return JSON(w, s)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "DATA CENTRE\tHOSTS\tREADY\tBEHIND\tWATCHERS\tIN FLIGHT\tQUEUED\tSENT MB")
	for _, d := range s.DataCentres {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\n", d.Name, d.Hosts, d.Ready, d.Behind, d.Watchers, d.InFlight, d.Waiting,
			float64(d.SentBytes)/megabyte)
	}
	for _, f := range s.Findings {
		_, _ = fmt.Fprintf(t, "%s (%s): %s\n", f.Host, f.DataCentre, f.Reason)
	}
	return t.Flush()
}

// row returns the tab-separated cells of an object's row.
func row(o wire.Object) string {
	version := strconv.FormatUint(o.Version, 10)
	if o.Deleted {
		return fmt.Sprintf("%s\t%s\t%s\t-\t-\t-\t-\tdeleted", o.Kind, o.Name, version)
	}
	if o.Status == nil {
		return fmt.Sprintf("%s\t%s\t%s\t-\t-\t-\t-\tno status yet", o.Kind, o.Name, version)
	}
	s := o.Status
	return fmt.Sprintf("%s\t%s\t%s\t%d\t%d/%d\t%d\t%s\t%s", o.Kind, o.Name, version, s.ForceVersion,
		s.HostsInForce, s.HostsKnown, s.InFlight, done(o), s.Reason)
}

// done returns the DONE cell; only drains and recalls are ever done.
func done(o wire.Object) string {
	if o.Kind != wire.KindDrain && o.Kind != wire.KindRecall {
		return "-"
	}
	return strconv.FormatBool(o.Status.Done)
}

// JSON prints a value as indented JSON with a newline at the end.
func JSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
