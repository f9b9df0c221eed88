// Package cmds implements the command line of soak.
package cmds

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"rosemarygrade.dev/soak/pkg/runner"
)

// Defaults of the flags.
const (
	defaultHosts   = 4
	defaultMinutes = 0.5
)

// Execute runs soak with the arguments and returns its exit code: 0, or 1 after an error or a violation.
func Execute(args []string, out, errs io.Writer) int {
	cmd := Command()
	cmd.SetArgs(args)
	cmd.SetOut(out)
	cmd.SetErr(errs)
	if err := cmd.Execute(); err != nil {
		_, _ = fmt.Fprintln(errs, "soak:", err)
		return 1
	}
	return 0
}

// Command returns the soak command.
func Command() *cobra.Command {
	var (
		plan     runner.Plan
		length   float64
		pastFile string
	)
	cmd := &cobra.Command{
		Use: "soak", Short: "Run edged processes with injected faults and check the results", Args: cobra.NoArgs,
		Long: `soak starts edged processes on loopback with a fake platform, fake backend servers and callers, and injects faults one after
the other: one or all hosts killed, suspended processes, planned stops, an unavailable platform or stalled watches, links that delay,
reset or block traffic in one or both directions, faulty or leaving backend servers, drained data centres, and changes of the
limit of headers. The paths of callers have unusual bytes. The same seed injects the same faults in the same order. The exit code is 1
if a check fails.`,
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if pastFile != "" {
				return replay(cmd.Context(), cmd.OutOrStdout(), pastFile, plan)
			}
			plan.Length = minutes(length)
			report, err := runner.Run(cmd.Context(), plan)
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintln(cmd.OutOrStdout(), report)
			return report.Err()
		},
	}
	cmd.Flags().Uint64Var(&plan.Seed, "seed", 1, "seed of the faults")
	cmd.Flags().Float64Var(&length, "minutes", defaultMinutes, "length of the test run, in minutes")
	cmd.Flags().IntVar(&plan.Hosts, "hosts", defaultHosts, "number of edged processes")
	cmd.Flags().StringVar(&plan.Program, "program", ".build/bin/edged", "path of the edged program")
	cmd.Flags().StringVar(&plan.Logs, "logs", "", "directory for the processes' logs; if empty, no logs are kept")
	cmd.Flags().StringSliceVar(&plan.Faults, "faults", nil, "names of the faults to inject, in this order; if empty, the seed selects them")
	cmd.Flags().StringVar(&pastFile, "replay", "", "file of earlier failed runs to repeat")
	cmd.CompletionOptions.DisableDefaultCmd = true
	return cmd
}
