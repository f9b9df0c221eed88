package cmds

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"rosemarygrade.dev/lib/pkg/reply"
	"rosemarygrade.dev/lib/pkg/wire"
	"rosemarygrade.dev/rosectl/pkg/output"
)

func getCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use: "get [KIND [NAME]]", Short: "Show objects with their specs", Args: cobra.MaximumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			objects, err := findObjects(cmd.Context(), opts, args)
			if err != nil {
				return err
			}
			return output.JSON(cmd.OutOrStdout(), objects)
		},
	}
}

func statusCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use: "status [KIND [NAME]]", Short: "Show the status of objects", Args: cobra.MaximumNArgs(2),
		Long: `Show the reported status of objects: the active version, the number of known processes on which it is
active, the requests that are still in flight to targets of a drain or a recall, and why an object is not yet done.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			objects, err := findObjects(cmd.Context(), opts, args)
			if err != nil {
				return err
			}
			return output.Objects(cmd.OutOrStdout(), opts.format, objects)
		},
	}
}

// findObjects returns the object of a kind and a name, those of a kind, or all, depending on the
// number of arguments. Lists are sorted and leave out deleted objects.
func findObjects(ctx context.Context, opts *options, args []string) ([]wire.Object, error) {
	if len(args) == 2 {
		o, err := opts.client().Get(ctx, args[0], args[1])
		return []wire.Object{o}, err
	}
	l, err := opts.client().List(ctx)
	if err != nil {
		return nil, err
	}
	objects := slices.DeleteFunc(l.Objects, func(o wire.Object) bool {
		return o.Deleted || (len(args) == 1 && o.Kind != args[0])
	})
	slices.SortFunc(objects, compareObjects)
	return objects, nil
}

// compareObjects orders objects by kind, in the order of wire.Kinds, and then by name.
func compareObjects(a, b wire.Object) int {
	order := wire.Kinds()
	if d := slices.Index(order, a.Kind) - slices.Index(order, b.Kind); d != 0 {
		return d
	}
	if a.Name < b.Name {
		return -1
	}
	return 1
}

// watchTimeout is how long the platform holds one watch call open when no object changes.
const watchTimeout = 20 * time.Second

func watchCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use: "watch", Short: "Show changes of objects as they happen", Args: cobra.NoArgs,
		Long: "Show changes of all objects until interrupted.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			c := opts.client()
			l, err := c.List(cmd.Context())
			if err != nil {
				return err
			}
			for since := l.Revision; cmd.Context().Err() == nil; since = l.Revision {
				if l, err = c.Watch(cmd.Context(), since, watchTimeout); err != nil {
					return ignoreInterrupt(cmd.Context(), err)
				}
				for _, o := range l.Objects {
					_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%s/%s version=%d deleted=%t\n", o.Kind, o.Name, o.Version, o.Deleted)
				}
			}
			return nil
		},
	}
}

// ignoreInterrupt returns nil if the context has ended, else err.
func ignoreInterrupt(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

var (
	errNoResponse = errors.New("the process did not answer")
	errNoState    = errors.New("the process did not return its state")
	errNotFound   = errors.New("not found")
)

func explainCommand(opts *options) *cobra.Command {
	var addresses []string
	cmd := &cobra.Command{
		Use: "explain REQUEST-ID | KIND NAME", Short: "Explain the placement of a request or the state of an object",
		Args: cobra.RangeArgs(1, 2),
		Long: `With a request id, ask entryds where the request was placed, by which rule, and which limit delayed it.
With a kind and a name, show the object's status and the condition that is not yet met.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 2 {
				return explainObject(cmd, opts, args[0], args[1])
			}
			return explainRequest(cmd, addresses, args[0])
		},
	}
	cmd.Flags().StringSliceVar(&addresses, "admin", nil, "admin addresses of the entryds to ask")
	return cmd
}

func explainObject(cmd *cobra.Command, opts *options, kind, name string) error {
	o, err := opts.client().Get(cmd.Context(), kind, name)
	if err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	switch {
	case o.Deleted:
		_, _ = fmt.Fprintf(out, "%s/%s was deleted at version %d\n", kind, name, o.Version)
	case o.Status == nil:
		_, _ = fmt.Fprintf(out, "%s/%s version %d has no status: no steerd has reported it yet\n", kind, name, o.Version)
	case o.Status.ObservedVersion < o.Version:
		_, _ = fmt.Fprintf(out, "%s/%s version %d has not reached its reporter, which has version %d\n", kind, name, o.Version, o.Status.ObservedVersion)
	default:
		_, _ = fmt.Fprintf(out, "%s/%s version %d: version %d is in force, on %d of %d processes; %s\n",
			kind, name, o.Version, o.Status.ForceVersion, o.Status.HostsInForce, o.Status.HostsKnown, statusReason(o))
	}
	return nil
}

// statusReason returns the last part of an object's explanation: the reason in its status, or that
// nothing is left to wait for.
func statusReason(o wire.Object) string {
	switch {
	case o.Status.Reason != "":
		return fmt.Sprintf("%s (%d in flight)", o.Status.Reason, o.Status.InFlight)
	case o.Status.Done:
		return "nothing is left in flight"
	default:
		return "nothing is amiss"
	}
}

// explainRequest asks the entryds one after the other and prints the first explanation. It fails with
// errNoResponse if none responded and with errNotFound if none of those that responded has the request.
func explainRequest(cmd *cobra.Command, addresses []string, id string) error {
	if len(addresses) == 0 {
		return errors.New("--admin must name the entryds to ask")
	}
	responded := false
	for _, a := range addresses {
		status, body, err := fetch(cmd.Context(), a, "/explain/"+url.PathEscape(id))
		if err != nil {
			continue
		}
		responded = true
		if status == http.StatusOK {
			_, err := cmd.OutOrStdout().Write(append(body, '\n'))
			return err
		}
	}
	if !responded {
		return errNoResponse
	}
	return fmt.Errorf("request %s: %w", id, errNotFound)
}

func dumpCommand(_ *options) *cobra.Command {
	return &cobra.Command{
		Use: "dump ADMIN-ADDRESS...", Short: "Print the state of processes", Args: cobra.MinimumNArgs(1),
		Long: `Print the state of steerds and entryds, read from their admin addresses. The command fails if a process does not answer
with its state; the others are printed nevertheless.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			var failures []error
			for _, a := range args {
				status, body, err := fetch(cmd.Context(), a, pathState)
				if err == nil && status != http.StatusOK {
					err = fmt.Errorf("%s: %w: status %d", a, errNoState, status)
				}
				if err != nil {
					failures = append(failures, err)
					continue
				}
				if _, err := cmd.OutOrStdout().Write(append(body, '\n')); err != nil {
					return err
				}
			}
			return errors.Join(failures...)
		},
	}
}

const (
	// pathState is the path of the state dump.
	pathState    = "/debug/state"
	fetchTimeout = 5 * time.Second
	// maxBodyBytes is the longest response body that is read; a longer one is an error.
	maxBodyBytes = 64 << 20
)

var adminClient = &http.Client{Transport: reply.NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment})}

// fetch returns the status and body of a GET request to a process's admin address.
func fetch(ctx context.Context, address, path string) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0, nil, err
	}
	resp, err := adminClient.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("%s: %w: %w", address, errNoResponse, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := reply.ReadBody(resp.Body, maxBodyBytes)
	return resp.StatusCode, body, err
}
