package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"rosemarygrade.dev/lib/pkg/fault"
	"rosemarygrade.dev/lib/pkg/object"
	"rosemarygrade.dev/lib/pkg/wire"
	"rosemarygrade.dev/rosectl/pkg/files"
	"rosemarygrade.dev/rosectl/pkg/output"
)

// readObjects reads the objects of all named files and checks them.
func readObjects(opts *options, names []string) ([]wire.Object, error) {
	var all []wire.Object
	for _, n := range names {
		objects, err := files.Read(n, opts.in)
		if err != nil {
			return nil, err
		}
		all = append(all, objects...)
	}
	return all, files.Check(all)
}

func validateCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use: "validate FILE...", Short: "Check the objects in files", Args: cobra.MinimumNArgs(1),
		Long: "Check the objects in JSON files without writing them. The file name - stands for standard input.",
		RunE: func(cmd *cobra.Command, args []string) error {
			objects, err := readObjects(opts, args)
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%d objects are valid\n", len(objects))
			return nil
		},
	}
}

func applyCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use: "apply FILE...", Short: "Write the objects in files to the platform", Args: cobra.MinimumNArgs(1),
		Long: `Write the objects in JSON files to the platform. Nothing is written unless all objects are valid.

An object with a "version" is written only if that is still the current version. An object without one
replaces the version that is current when the command reads it. If another write comes first, both
versions are shown and that object is not changed.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			objects, err := readObjects(opts, args)
			if err != nil {
				return err
			}
			for _, o := range objects {
				if err := apply(cmd.Context(), opts.client(), cmd.OutOrStdout(), o); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// apply writes one object, unless its spec is unchanged, and prints the outcome.
func apply(ctx context.Context, c object.Client, out io.Writer, o wire.Object) error {
	current, err := c.Get(ctx, o.Kind, o.Name)
	if err != nil && !object.Is(err, object.KindNotFound) {
		return err
	}
	ifVersion := current.Version
	if current.Deleted {
		ifVersion = 0
	}
	if o.Version != 0 {
		ifVersion = o.Version
	}
	if !current.Deleted && o.Version == 0 && sameSpec(current.Spec, o.Spec) {
		_, _ = fmt.Fprintf(out, "%s/%s unchanged at version %d\n", o.Kind, o.Name, current.Version)
		return nil
	}
	written, err := c.Put(ctx, o, ifVersion)
	if object.Is(err, object.KindConflict) {
		return reportConflict(ctx, c, out, o, ifVersion, err)
	}
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "%s/%s written at version %d\n", o.Kind, o.Name, written.Version)
	return nil
}

func sameSpec(a, b json.RawMessage) bool {
	var x, y bytes.Buffer
	if json.Compact(&x, a) != nil || json.Compact(&y, b) != nil {
		return false
	}
	return bytes.Equal(x.Bytes(), y.Bytes())
}

// versionConflict is printed if another write came first.
type versionConflict struct {
	Yours   wire.Object `json:"yours"`
	Current wire.Object `json:"standing"`
}

// reportConflict prints both objects and returns an error of object.KindConflict.
func reportConflict(ctx context.Context, c object.Client, out io.Writer, o wire.Object, ifVersion uint64, cause error) error {
	current, err := c.Get(ctx, o.Kind, o.Name)
	if err != nil {
		return cause
	}
	o.Version = ifVersion
	if err := output.JSON(out, versionConflict{Yours: o, Current: current}); err != nil {
		return err
	}
	return fault.New("apply "+o.Kind+"/"+o.Name, object.KindConflict, fmt.Sprintf(
		"yours was for version %d, but version %d stands; nothing was changed", ifVersion, current.Version))
}

func deleteCommand(opts *options) *cobra.Command {
	var version uint64
	cmd := &cobra.Command{
		Use: "delete KIND NAME", Short: "Delete an object", Args: cobra.ExactArgs(2),
		Long: "Delete an object. Deleting a shift, a drain or a recall ends it.",
		RunE: func(cmd *cobra.Command, args []string) error {
			c := opts.client()
			current, err := c.Get(cmd.Context(), args[0], args[1])
			if err != nil {
				return err
			}
			if version == 0 {
				version = current.Version
			}
			o, err := c.Delete(cmd.Context(), args[0], args[1], version)
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%s/%s deleted at version %d\n", args[0], args[1], o.Version)
			return nil
		},
	}
	cmd.Flags().Uint64Var(&version, "if-version", 0, "delete only if this is the current version; 0 means the version that the command reads")
	return cmd
}

// applySpec checks and writes the object that a command builds from its flags.
func applySpec[S any](ctx context.Context, opts *options, out io.Writer, kind, name string, spec S) error {
	raw, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	o := wire.Object{Kind: kind, Name: name, Spec: raw}
	if err := files.Check([]wire.Object{o}); err != nil {
		return err
	}
	return apply(ctx, opts.client(), out, o)
}

func shiftCommand(opts *options) *cobra.Command {
	var (
		spec wire.ShiftSpec
		ramp time.Duration
	)
	cmd := &cobra.Command{
		Use: "shift NAME", Short: "Move a share of a service's requests to another region", Args: cobra.ExactArgs(1),
		Long: "Write a shift object. Never more than the cap moves, also during a drain or a recall.",
		RunE: func(cmd *cobra.Command, args []string) error {
			spec.RampSeconds = int(ramp / time.Second)
			return applySpec(cmd.Context(), opts, cmd.OutOrStdout(), wire.KindShift, args[0], spec)
		},
	}
	cmd.Flags().StringVar(&spec.Service, "service", "", "service whose requests are moved")
	cmd.Flags().StringVar(&spec.From, "from", "", "region that the requests are moved from")
	cmd.Flags().StringVar(&spec.To, "to", "", "region that the requests are moved to")
	cmd.Flags().Float64Var(&spec.CapPercent, "cap", 0, "largest share of the requests that is moved, in per cent")
	cmd.Flags().DurationVar(&ramp, "ramp", 0, "time over which the share grows to the cap")
	return cmd
}

func drainCommand(opts *options) *cobra.Command {
	var spec wire.DrainSpec
	cmd := drainOrRecallCommand(opts, wire.KindDrain, &spec, "Stop new requests to a data centre, a region or a host")
	cmd.Long = "Write a drain object. Deleting the object ends the drain."
	cmd.Flags().StringVar(&spec.Scope, "scope", "dataCentre", "dataCentre, region or host")
	cmd.Flags().StringVar(&spec.Name, "of", "", "name of the data centre, region or host")
	return cmd
}

func recallCommand(opts *options) *cobra.Command {
	var spec wire.RecallSpec
	cmd := drainOrRecallCommand(opts, wire.KindRecall, &spec, "Stop new requests to every backend server of a batch")
	cmd.Long = "Write a recall object, for a batch across data centres and regions. Deleting the object ends the recall."
	cmd.Flags().StringVar(&spec.Batch, "batch", "", "label of the batch")
	return cmd
}

// drainOrRecallCommand returns a command that writes a drain or a recall, which stop new requests. With
// --wait it then waits until no request is left in flight.
func drainOrRecallCommand[S any](opts *options, kind string, spec *S, short string) *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use: kind + " NAME", Short: short, Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := applySpec(cmd.Context(), opts, cmd.OutOrStdout(), kind, args[0], spec); err != nil {
				return err
			}
			return waitDone(cmd.Context(), opts, cmd.OutOrStdout(), kind, args[0], wait)
		},
	}
	cmd.Flags().DurationVar(&wait, "wait", 0, "longest time to wait until no request is in flight; 0 does not wait")
	return cmd
}

// statusPollInterval is the time between two reads of a status.
const statusPollInterval = 250 * time.Millisecond

// waitDone polls until the status of the object's current version is done and prints the object. If the
// wait ends first, it prints the object as last read and returns errNotDone.
func waitDone(ctx context.Context, opts *options, out io.Writer, kind, name string, wait time.Duration) error {
	if wait <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	c := opts.client()
	last := wire.Object{}
	for {
		o, err := c.Get(ctx, kind, name)
		if err == nil {
			last = o
			if o.Status != nil && o.Status.ObservedVersion >= o.Version && o.Status.Done {
				return output.Objects(out, opts.format, []wire.Object{o})
			}
		}
		select {
		case <-ctx.Done():
			_ = output.Objects(out, opts.format, []wire.Object{last})
			return errNotDone
		case <-time.After(statusPollInterval):
		}
	}
}
