package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"rosemarygrade.dev/soak/pkg/runner"
)

// pastRun is one entry of a file of runs that once failed, such as past.json.
type pastRun struct {
	Seed    uint64   `json:"seed"`
	Minutes float64  `json:"minutes"`
	Faults  []string `json:"faults"`
	// Cause is the date and the cause of the failure.
	Cause string `json:"cause"`
}

func loadPastRuns(path string) ([]pastRun, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var list []pastRun
	if err := dec.Decode(&list); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return list, nil
}

// replay repeats the runs of a file, one after the other, and prints their reports. It returns the violations of all runs,
// or the first error of a run that could not be made.
func replay(ctx context.Context, out io.Writer, path string, plan runner.Plan) error {
	list, err := loadPastRuns(path)
	if err != nil {
		return err
	}
	var errs []error
	for _, p := range list {
		plan.Seed, plan.Faults, plan.Length = p.Seed, p.Faults, minutes(p.Minutes)
		report, err := runner.Run(ctx, plan)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintln(out, report)
		errs = append(errs, report.Err())
	}
	return errors.Join(errs...)
}

func minutes(n float64) time.Duration { return time.Duration(n * float64(time.Minute)) }
