package config

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"
)

// Daemon describes a long-running program for Execute.
type Daemon struct {
	// Name is the program's name.
	Name string
	// Short and Long are the short and long help texts.
	Short string
	Long  string
	// Settings holds the defaults; the settings file is read into it.
	Settings Settings
	// OnSettingsPath, if set, is called with the path of the settings file before Run.
	OnSettingsPath func(path string)
	// Run runs the program until the context ends. Layers lists the log layers whose debug lines are logged.
	Run func(ctx context.Context, layers string) error
}

// Exit codes of a daemon.
const (
	ExitOK = 0
	// ExitSettings means that the arguments or the settings are invalid.
	ExitSettings = 2
	// ExitRun means that Run returned an error.
	ExitRun = 1
)

// Execute parses the arguments, loads the settings and runs the daemon. It returns the exit code.
func Execute(d Daemon, args []string, errs io.Writer) int {
	code := ExitOK
	cmd := Command(d, &code)
	cmd.SetArgs(args)
	cmd.SetErr(errs)
	if err := cmd.Execute(); err != nil {
		_, _ = fmt.Fprintf(errs, "%s: %v\n", d.Name, err)
		if code == ExitOK {
			code = ExitSettings
		}
	}
	return code
}

// Command returns the daemon's command, which stores the exit code in code if it fails.
func Command(d Daemon, code *int) *cobra.Command {
	var (
		path, layers string
		check        bool
	)
	cmd := &cobra.Command{
		Use: d.Name, Short: d.Short, Long: d.Long, Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true, Version: Version(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := Load(path, d.Settings); err != nil {
				*code = ExitSettings
				return err
			}
			if check {
				return nil
			}
			if d.OnSettingsPath != nil {
				d.OnSettingsPath(path)
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			if err := d.Run(ctx, layers); err != nil {
				*code = ExitRun
				return err
			}
			return nil
		},
	}
	cmd.SetContext(context.Background())
	cmd.Flags().StringVar(&path, "settings", "", "JSON file with the settings")
	cmd.Flags().BoolVar(&check, "check-settings", false, "check the settings and exit")
	cmd.Flags().StringVar(&layers, "log-layers", "", `log layers whose debug lines are written, comma-separated, or "all"`)
	cmd.CompletionOptions.DisableDefaultCmd = true
	return cmd
}

// Version returns the module version in the build information, or "devel".
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "devel"
	}
	return info.Main.Version
}
