package cmds

import (
	"errors"

	"github.com/spf13/cobra"

	"rosemarygrade.dev/rosectl/pkg/fleet"
	"rosemarygrade.dev/rosectl/pkg/output"
)

func organisationsCommand(opts *options) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use: "organisations [ADMIN-ADDRESS...]", Short: "Show the organisations that edgeds serve, with their keys and requests",
		Long: `Read the state of edgeds from their admin addresses and print each organisation of the newest configuration: its limits, the number of hosts
that have it (HOSTS), its requests and those rejected because of its quota, and the fingerprint of each key with the requests that carried it. Counts
are since the start of each process, all hosts together. The command fails if a process does not answer with its state; the others are summed up
nevertheless.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			addresses, err := readAddresses(opts.in, file, args)
			if err != nil {
				return err
			}
			states, err := fetchStates(cmd.Context(), addresses)
			if len(states) == 0 && err != nil {
				return err
			}
			return errors.Join(output.Organisations(cmd.OutOrStdout(), opts.format, fleet.Organisations(states)), err)
		},
	}
	cmd.Flags().StringVarP(&file, "file", "f", "", "file with an admin address on each line; - reads the standard input")
	return cmd
}
