// Package cmds is the command line of edged and the wiring of its parts.
package cmds

import (
	"context"
	"io"

	"github.com/spf13/cobra"

	"rosemarygrade.dev/lib/pkg/config"
)

const long = `edged runs on every entry host of a platform that has no site owners. It answers look-ups, takes
callers' requests and sends each to the backend server that holds its object warm.

Settings are read from a JSON file; docs/operators/settings.md lists them.
SIGTERM stops it without cutting a request, within graceSeconds; SIGHUP reads the settings again.`

// Execute runs edged and returns its exit code.
func Execute(args []string, errs io.Writer) int {
	return config.Execute(daemon(), args, errs)
}

// Command returns the command for the generated documentation.
func Command() *cobra.Command {
	var code int
	return config.Command(daemon(), &code)
}

func daemon() config.Daemon {
	s := NewSettings()
	var path string
	return config.Daemon{
		Name: "edged", Short: "Serve callers and look-ups, each host by itself", Long: long, Settings: s,
		OnSettingsPath: func(p string) { path = p },
		Run:            func(ctx context.Context, layers string) error { return run(ctx, s, path, layers) },
	}
}
