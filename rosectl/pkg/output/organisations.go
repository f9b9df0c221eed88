package output

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"rosemarygrade.dev/rosectl/pkg/fleet"
)

// none stands for a value that an organisation does not have.
const none = "-"

// Organisations prints organisations as JSON, or as a table with a row for each.
func Organisations(w io.Writer, format string, list []fleet.Organisation) error {
	if format == FormatJSON {
		return JSON(w, list)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "ORGANISATION\tHOSTS\tPRIORITY\tREGIONS\tPER SECOND\tBURST\tREQUESTS\tREJECTED\tKEYS")
	for _, o := range list {
		priority, rate, burst := none, none, none
		if o.Priority != nil {
			priority = strconv.Itoa(*o.Priority)
		}
		if o.RatePerSecond > 0 {
			rate, burst = decimal(o.RatePerSecond), decimal(o.Burst)
		}
		keys := make([]string, 0, len(o.Keys))
		for _, fingerprint := range slices.Sorted(maps.Keys(o.Keys)) {
			keys = append(keys, fmt.Sprintf("%s: %d", fingerprint, o.Keys[fingerprint]))
		}
		_, _ = fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n", o.Name, o.Hosts, priority, orNone(strings.Join(o.Regions, ",")), rate, burst,
			o.Requests, o.Rejected, orNone(strings.Join(keys, ", ")))
	}
	return t.Flush()
}

func decimal(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

func orNone(s string) string {
	if s == "" {
		return none
	}
	return s
}
