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
		Use: "soak", Short: "Run edged processes under seeded faults and check what was seen", Args: cobra.NoArgs,
		Long: `soak starts edged processes on loopback with stand-ins of the store, the backend servers and the callers. Faults come in a
series that the seed fixes: kills of one or all, suspensions, planned stops, a store that is away or deaf, links that delay, reset, hold
one way or both, faults of backend servers, leaving ones and drained data centres. It ends with status 1 when a check fails. The same seed brings about the same faults.`,
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
	cmd.Flags().Float64Var(&length, "minutes", defaultMinutes, "length of the run")
	cmd.Flags().IntVar(&plan.Hosts, "hosts", defaultHosts, "number of processes")
	cmd.Flags().StringVar(&plan.Program, "program", ".build/bin/edged", "the edged program")
	cmd.Flags().StringVar(&plan.Logs, "logs", "", "directory for the processes' logs; empty means none are kept")
	cmd.Flags().StringSliceVar(&plan.Faults, "faults", nil, "faults by name, in this order; none means that the seed chooses")
	cmd.Flags().StringVar(&pastFile, "replay", "", "file of runs that once failed, to be played again")
	cmd.CompletionOptions.DisableDefaultCmd = true
	return cmd
}
