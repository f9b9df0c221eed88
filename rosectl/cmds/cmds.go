// Package cmds implements the command line of rosectl.
package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"slices"
	"syscall"

	"github.com/spf13/cobra"

	"rosemarygrade.dev/lib/pkg/config"
	"rosemarygrade.dev/lib/pkg/object"
	"rosemarygrade.dev/rosectl/pkg/files"
	"rosemarygrade.dev/rosectl/pkg/output"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitInvalid  = 3
	exitConflict = 4
	exitNotFound = 5
	exitNotDone  = 6
)

const exitHelp = `Exit codes: 0 success, 1 failure, such as no answer from the platform or a process, 2 incorrect usage,
3 invalid object, 4 version conflict with another write, 5 object or request not found, 6 timeout of --wait.`

// options holds the global flags and the standard input, which the commands share.
type options struct {
	platform string
	format   string
	in       io.Reader
}

func (opts *options) client() object.Client { return object.NewHTTP(opts.platform) }

// Execute runs rosectl with the arguments and returns its exit code.
func Execute(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	cmd := Command()
	cmd.SetArgs(args)
	cmd.SetOut(stdout)
	cmd.SetErr(stderr)
	err := cmd.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintf(stderr, "rosectl: %v\n", err)
	return exitCode(err)
}

// errNotDone means that the --wait time ended before the object's status was done.
var errNotDone = errors.New("not done in time")

func exitCode(err error) int {
	var file *files.Error
	var platform *object.Error
	switch {
	case errors.Is(err, errNotDone):
		return exitNotDone
	case errors.As(err, &file):
		return exitInvalid
	case errors.As(err, &platform):
		return platformExitCode(platform.Kind())
	case errors.Is(err, errNoResponse), errors.Is(err, errNoState):
		return exitFailed
	case errors.Is(err, errNotFound):
		return exitNotFound
	default:
		return exitUsage
	}
}

func platformExitCode(k object.Kind) int {
	switch k {
	case object.KindConflict, object.KindLost:
		return exitConflict
	case object.KindNotFound:
		return exitNotFound
	default:
		return exitFailed
	}
}

// Command returns the root command with all subcommands.
func Command() *cobra.Command {
	opts := &options{}
	root := &cobra.Command{
		Use: "rosectl", Short: "Control traffic through objects of the platform",
		Long:         "rosectl writes desired state to the platform's object API and shows the state that the daemons report.\n\n" + exitHelp,
		SilenceUsage: true, SilenceErrors: true, Version: config.Version(),
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error {
			opts.in = cmd.InOrStdin()
			if !slices.Contains([]string{output.FormatTable, output.FormatJSON}, opts.format) {
				return fmt.Errorf("--output must be %s or %s", output.FormatTable, output.FormatJSON)
			}
			return nil
		},
	}
	root.PersistentFlags().StringVar(&opts.platform, "platform", "127.0.0.1:7000", "IP:port of the platform's object API")
	root.PersistentFlags().StringVarP(&opts.format, "output", "o", output.FormatTable, "output format: table or json")
	for _, c := range commands(opts) {
		root.AddCommand(c)
	}
	return root
}

// commands returns all subcommands.
func commands(opts *options) []*cobra.Command {
	return []*cobra.Command{
		validateCommand(opts), applyCommand(opts), getCommand(opts), statusCommand(opts), watchCommand(opts), deleteCommand(opts),
		shiftCommand(opts), drainCommand(opts), recallCommand(opts), explainCommand(opts), traceCommand(), dumpCommand(opts), fleetCommand(opts),
		organisationsCommand(opts), versionCommand(),
	}
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { _, _ = fmt.Fprintln(cmd.OutOrStdout(), config.Version()) },
	}
}
