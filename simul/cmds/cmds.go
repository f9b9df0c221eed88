// Package cmds implements the command line of simul: commands that run a scenario and compare policies.
package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"strconv"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"rosemarygrade.dev/edged/pkg/pick"
	"rosemarygrade.dev/simul/pkg/chart"
	"rosemarygrade.dev/simul/pkg/engine"
	"rosemarygrade.dev/simul/pkg/policy"
	"rosemarygrade.dev/simul/pkg/spec"
)

// defaultSeeds is how many seeds a comparison runs.
const defaultSeeds = 10

// normal95 is the two-sided 95% quantile of the normal distribution.
const normal95 = 1.96

// Execute runs simul and returns its exit code.
func Execute(args []string, out, errs io.Writer) int {
	cmd := Command()
	cmd.SetArgs(args)
	cmd.SetOut(out)
	cmd.SetErr(errs)
	if err := cmd.Execute(); err != nil {
		_, _ = fmt.Fprintln(errs, "simul:", err)
		return 1
	}
	return 0
}

// Command returns the root command of simul.
func Command() *cobra.Command {
	root := &cobra.Command{
		Use: "simul", Short: "Simulate the decisions of edged under load scenarios",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(runCommand(), compareCommand(), sweepCommand())
	return root
}

// summary is the output of a run.
type summary struct {
	Utility       float64         `json:"worth"`
	LowestUtility float64         `json:"worstDataCentre"`
	P50Millis     int64           `json:"p50Millis"`
	P99Millis     int64           `json:"p99Millis"`
	ColdShare     float64         `json:"coldShare"`
	WaitMillis    int64           `json:"waitMillis"`
	Total         engine.Counters `json:"total"`
}

func summarize(r *engine.Result) summary {
	const p50, p99 = 50, 99
	return summary{
		Utility: r.Total().Utility(), LowestUtility: r.LowestUtility(), P50Millis: r.Quantile(p50).Milliseconds(),
		P99Millis: r.Quantile(p99).Milliseconds(), Total: r.Total(),
		ColdShare: r.ColdShare(), WaitMillis: r.MeanWait().Milliseconds(),
	}
}

func runCommand() *cobra.Command {
	var (
		seed             uint64
		policyText, plot string
		asJSON           bool
	)
	cmd := &cobra.Command{
		Use: "run FILE", Short: "Run a simulation of a scenario once", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, rules, err := load(args[0], policyText)
			if err != nil {
				return err
			}
			r := engine.Run(s, rules, seed)
			if plot != "" {
				if err := draw(plot, s.Name, r); err != nil {
					return err
				}
			}
			return show(cmd.OutOrStdout(), summarize(r), asJSON)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the simulation run")
	cmd.Flags().StringVar(&policyText, "policy", "default", "policy, such as spill or homes=3,hold=false")
	cmd.Flags().StringVar(&plot, "plot", "", "file for an SVG plot of the utility in each second")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

func load(path, text string) (*spec.Scenario, pick.Rules, error) {
	s, err := spec.Load(path)
	if err != nil {
		return nil, pick.Rules{}, err
	}
	rules, err := policy.Parse(text)
	return s, rules, err
}

func draw(path, title string, r *engine.Result) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := chart.Draw(f, title, r); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

func show(w io.Writer, s summary, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(w).Encode(s)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "worth\tworst data centre\tp50 ms\tp99 ms\tcold runs\twait ms\tasked\tin time\tlate\trefused\tfailed")
	_, _ = fmt.Fprintf(t, "%.3f\t%.3f\t%d\t%d\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\n", s.Utility, s.LowestUtility, s.P50Millis, s.P99Millis,
		s.ColdShare, s.WaitMillis, s.Total.Requests, s.Total.InTime, s.Total.Late, s.Total.Rejected, s.Total.Failed)
	return t.Flush()
}

// comparison is the result of comparing two policies, by mean utility.
type comparison struct {
	A            float64 `json:"a"`
	B            float64 `json:"b"`
	Diff         float64 `json:"diff"`
	HalfInterval float64 `json:"halfInterval95"`
	Seeds        int     `json:"seeds"`
}

// Compare runs a scenario with two policies for each seed from 1 to seeds. It returns the mean utility of each, the mean
// of b's utility minus a's, and half the width of that mean's 95% confidence interval.
func Compare(s *spec.Scenario, a, b pick.Rules, seeds int) (meanA, meanB, diff, halfInterval float64) {
	var sum, squares float64
	for seed := range seeds {
		x := engine.Run(s, a, uint64(seed)+1).Total().Utility()
		y := engine.Run(s, b, uint64(seed)+1).Total().Utility()
		meanA, meanB = meanA+x, meanB+y
		sum, squares = sum+y-x, squares+(y-x)*(y-x)
	}
	n := float64(seeds)
	diff = sum / n
	if seeds > 1 {
		halfInterval = normal95 * math.Sqrt(max(0, squares/n-diff*diff)/(n-1))
	}
	return meanA / n, meanB / n, diff, halfInterval
}

func compareCommand() *cobra.Command {
	var (
		a, b   string
		seeds  int
		asJSON bool
	)
	cmd := &cobra.Command{
		Use: "compare FILE", Short: "Compare two policies with the same seeds", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, rulesA, err := load(args[0], a)
			if err != nil {
				return err
			}
			rulesB, err := policy.Parse(b)
			if err != nil {
				return err
			}
			var c comparison
			c.Seeds = seeds
			c.A, c.B, c.Diff, c.HalfInterval = Compare(s, rulesA, rulesB, seeds)
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(c)
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "a %.3f  b %.3f  b-a %+.3f ± %.3f (95%%, %d seeds)\n", c.A, c.B, c.Diff, c.HalfInterval, seeds)
			return err
		},
	}
	cmd.Flags().StringVar(&a, "a", "spill", "first policy")
	cmd.Flags().StringVar(&b, "b", "default", "second policy")
	cmd.Flags().IntVar(&seeds, "seeds", defaultSeeds, "number of seeds")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

func sweepCommand() *cobra.Command {
	var (
		rule   string
		values []string
		seeds  int
	)
	cmd := &cobra.Command{
		Use: "sweep FILE", Short: "Compare values of one policy rule with the default policy", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, base, err := load(args[0], "default")
			if err != nil {
				return err
			}
			for _, v := range values {
				rules := base
				if err := policy.Set(&rules, rule, v); err != nil {
					return err
				}
				_, mean, diff, half := Compare(s, base, rules, seeds)
				if _, err := fmt.Fprintf(cmd.OutOrStdout(), "%s=%s  %.3f  against default %+.3f ± %.3f\n", rule, v, mean, diff, half); err != nil {
					return err
				}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&rule, "rule", "homes", "policy rule to vary")
	cmd.Flags().StringSliceVar(&values, "values", []string{strconv.Itoa(1), strconv.Itoa(2)}, "values of the rule")
	cmd.Flags().IntVar(&seeds, "seeds", defaultSeeds, "number of seeds")
	return cmd
}
