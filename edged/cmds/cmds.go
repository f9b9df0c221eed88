// Package cmds implements the command line of edged and connects its components.
package cmds

import (
	"context"
	"io"

	"github.com/spf13/cobra"

	"rosemarygrade.dev/lib/pkg/config"
)

const long = `edged runs on every entry host of a platform without site owners. It answers look-ups, receives
callers' requests and forwards each to a backend server, preferably one that has its object cached.

Settings are read from a JSON file; docs/operators/settings.md lists them.
On SIGTERM it finishes the requests in flight, within graceSeconds, and exits; on SIGHUP it reloads the settings.`

// Execute runs edged with the arguments and returns its exit code. Errors are written to stderr.
func Execute(args []string, stderr io.Writer) int {
	return config.Execute(daemon(), args, stderr)
}

// Command returns the command from which the documentation is generated.
func Command() *cobra.Command {
	var code int
	return config.Command(daemon(), &code)
}

func daemon() config.Daemon {
	s := NewSettings()
	var path string
	return config.Daemon{
		Name: "edged", Short: "Serve callers and look-ups without site owners", Long: long, Settings: s,
		OnSettingsPath: func(p string) { path = p },
		Run:            func(ctx context.Context, layers string) error { return run(ctx, s, path, layers) },
	}
}
