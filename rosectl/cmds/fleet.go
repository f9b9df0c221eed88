package cmds

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"

	"github.com/spf13/cobra"

	"rosemarygrade.dev/rosectl/pkg/fleet"
	"rosemarygrade.dev/rosectl/pkg/output"
)

// maxConcurrentFetches is how many processes are asked at the same time.
const maxConcurrentFetches = 32

func fleetCommand(opts *options) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use: "fleet [ADMIN-ADDRESS...]", Short: "Summarize the state of many edgeds",
		Long: `Read the state of edgeds from their admin addresses and print, for each data centre, how many are ready, lack newer
resources that others have (BEHIND) and watch the store, their requests in flight and queued, and the megabytes that they have sent to each other since they
started. Then print what an operator should look at: hosts that are behind or not ready, and hosts that others of their data centre take for failed.
The command fails if a process does not answer with its state; the others are summed up nevertheless.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			addresses, err := readAddresses(opts.in, file, args)
			if err != nil {
				return err
			}
			states, err := fetchStates(cmd.Context(), addresses)
			if len(states) == 0 && err != nil {
				return err
			}
			return errors.Join(output.Fleet(cmd.OutOrStdout(), opts.format, fleet.Summarize(states)), err)
		},
	}
	cmd.Flags().StringVarP(&file, "file", "f", "", "file with an admin address on each line; - reads the standard input")
	return cmd
}

// readAddresses returns the addresses of the arguments and of the lines of a file.
func readAddresses(in io.Reader, file string, args []string) ([]string, error) {
	out := args
	if file != "" && file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	if file != "" {
		lines := bufio.NewScanner(in)
		for lines.Scan() {
			if a := strings.TrimSpace(lines.Text()); a != "" {
				out = append(out, a)
			}
		}
		if err := lines.Err(); err != nil {
			return nil, err
		}
	}
	if len(out) == 0 {
		return nil, errors.New("no admin address is given")
	}
	return out, nil
}

// fetchStates returns the states of the processes that answer, and the errors of the others.
func fetchStates(ctx context.Context, addresses []string) ([]fleet.State, error) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentFetches)
	found, failures := make([]*fleet.State, len(addresses)), make([]error, len(addresses))
	for i, a := range addresses {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			found[i], failures[i] = fetchState(ctx, a)
		})
	}
	group.Wait()
	var states []fleet.State
	for _, s := range found {
		if s != nil {
			states = append(states, *s)
		}
	}
	return states, errors.Join(failures...)
}

func fetchState(ctx context.Context, address string) (*fleet.State, error) {
	status, body, err := fetch(ctx, address, pathState)
	if err != nil {
		return nil, err
	}
	var s fleet.State
	if status != http.StatusOK || json.Unmarshal(body, &s) != nil || s.Host == "" {
		return nil, fmt.Errorf("%s: %w: status %d", address, errNoState, status)
	}
	return &s, nil
}
