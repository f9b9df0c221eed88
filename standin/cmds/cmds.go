// Package cmds implements the command line of standin.
package cmds

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"rosemarygrade.dev/lib/pkg/serve"
	"rosemarygrade.dev/standin/pkg/bksrv"
	"rosemarygrade.dev/standin/pkg/load"
	"rosemarygrade.dev/standin/pkg/objapi"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
)

// Execute runs standin with the arguments until it ends or gets SIGTERM or SIGINT, and returns its exit code.
func Execute(args []string, out, errs io.Writer) int {
	cmd := Command()
	cmd.SetArgs(args)
	cmd.SetOut(out)
	cmd.SetErr(errs)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := cmd.ExecuteContext(ctx); err != nil {
		return exitFailed
	}
	return exitOK
}

// Command returns the standin command with its subcommands.
func Command() *cobra.Command {
	root := &cobra.Command{
		Use: "standin", Short: "Run a fake platform, fake backend servers or callers for tests and the demo",
		SilenceUsage: true,
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(platformCommand(), serversCommand(), callersCommand())
	return root
}

func platformCommand() *cobra.Command {
	var address string
	cmd := &cobra.Command{
		Use: "platform", Short: "Run a fake platform with a small object API", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serveAll(cmd.Context(), map[string]http.Handler{address: objapi.New().Handler()})
		},
	}
	cmd.Flags().StringVar(&address, "address", "127.0.0.1:7000", "IP:port to listen on")
	return cmd
}

func serversCommand() *cobra.Command {
	var (
		addresses   []string
		serviceTime time.Duration
	)
	cmd := &cobra.Command{
		Use: "servers", Short: "Run fake backend servers, one for each address", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			handlers := map[string]http.Handler{}
			for _, a := range addresses {
				handlers[a] = bksrv.New(a, serviceTime)
			}
			return serveAll(cmd.Context(), handlers)
		},
	}
	cmd.Flags().StringSliceVar(&addresses, "addresses", nil, "IP:port list to listen on")
	cmd.Flags().DurationVar(&serviceTime, "service-time", 0, "time that a server takes for a request")
	return cmd
}

// serveAll serves each handler at its address, an IP:port, until ctx ends or one of them fails.
func serveAll(ctx context.Context, handlers map[string]http.Handler) error {
	g := serve.NewGroup(ctx)
	for address, h := range handlers {
		l, err := serve.Listen(address)
		if err != nil {
			return err
		}
		g.HTTP(l[0], h)
	}
	return g.Wait()
}

func callersCommand() *cobra.Command {
	var (
		lookups []string
		address string
		plan    load.Plan
	)
	cmd := &cobra.Command{
		Use: "callers", Short: "Send requests for a limited time and print the results as JSON", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			report := load.Run(cmd.Context(), load.NewCaller(lookups, address), plan)
			enc := json.NewEncoder(cmd.OutOrStdout())
			enc.SetIndent("", "  ")
			return enc.Encode(report)
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(&lookups, "lookups", []string{"127.0.0.1:7101"}, "IP:port list of steerds to ask")
	f.StringVar(&address, "as", "127.0.0.1", "caller address sent in look-ups")
	f.StringVar(&plan.Request.Method, "method", http.MethodGet, "request method")
	f.StringVar(&plan.Request.Path, "path", "/", "request path")
	f.BoolVar(&plan.Request.Keyed, "keyed", false, "send a new request key with each request")
	f.IntVar(&plan.PerSecond, "rate", 0, "requests per second; with 0 each worker sends its next request when the last one has ended")
	f.IntVar(&plan.Workers, "workers", 8, "maximum number of concurrent requests")
	f.DurationVar(&plan.Duration, "for", 5*time.Second, "time during which requests are sent")
	return cmd
}
