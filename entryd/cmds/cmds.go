// Package cmds implements the command line of entryd and assembles the process from its packages.
package cmds

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/spf13/cobra"

	"rosemarygrade.dev/lib/pkg/admin"
	"rosemarygrade.dev/lib/pkg/config"
	"rosemarygrade.dev/lib/pkg/logs"
	"rosemarygrade.dev/lib/pkg/peer"
	"rosemarygrade.dev/lib/pkg/peerpb"
	"rosemarygrade.dev/lib/pkg/serve"
)

const long = `entryd runs on every entry host. It receives callers' requests, places each on a site, and sends
it to the site's owner, which queues it and dispatches it to a backend server.

Settings are read from a JSON file; docs/operators/settings.md lists them.
On SIGTERM it finishes the requests in flight and exits; a second SIGTERM, or the end of stopMillis,
aborts the requests that are left.`

// Execute runs entryd and returns its exit code.
func Execute(args []string, errs io.Writer) int {
	return config.Execute(daemon(), args, errs)
}

// Command returns entryd's command, from which the documentation is generated.
func Command() *cobra.Command {
	var code int
	return config.Command(daemon(), &code)
}

func daemon() config.Daemon {
	s := NewSettings()
	return config.Daemon{
		Name: "entryd", Short: "Receive callers' requests and forward them to backend servers", Long: long,
		Settings: s,
		Run:      func(ctx context.Context, layers string) error { return run(ctx, s, layers) },
	}
}

// Intervals of the periodic tasks.
const (
	tickInterval     = 50 * time.Millisecond
	slowTickInterval = 500 * time.Millisecond
	lendInterval     = 150 * time.Millisecond
)

func run(ctx context.Context, s *Settings, layers string) error {
	log := logs.New(os.Stderr, layers, "process", "entryd", "host", s.Host)
	listeners, err := serve.Listen(s.CallerAddress, s.PeerAddress, s.AdminAddress)
	if err != nil {
		return err
	}
	pool := peer.NewPool()
	defer pool.Close()
	p := newProcess(time.Now(), s, pool, log)
	// The tasks continue after the signal until p.stop returns, when the requests in flight have ended.
	g := serve.NewGroup(context.WithoutCancel(ctx))
	g.HTTP(listeners[0], p.caller.Handler())
	rpc := pool.NewServer()
	peerpb.RegisterDataServer(rpc, p.data)
	g.GRPC(listeners[1], rpc)
	g.HTTP(listeners[2], adminHandler(p))
	g.Go(p.steerd.Run)
	g.Every(tickInterval, p.tick)
	g.Every(slowTickInterval, p.slowTick)
	g.Every(lendInterval, p.lend)
	g.Go(func(life context.Context) error {
		select {
		case <-ctx.Done():
		case <-life.Done():
			return nil
		}
		return p.stop(life, s)
	})
	log.Layer("main").Info("process started", "caller", s.CallerAddress, "peer", s.PeerAddress, "admin", s.AdminAddress)
	err = g.Wait()
	if errors.Is(err, errStopped) {
		log.Layer("main").Info("process stopped")
		return nil
	}
	return err
}

func adminHandler(p *process) http.Handler {
	e := echo.New()
	admin.Register(e, p)
	e.GET("/explain/:id", func(c echo.Context) error {
		x, ok := p.proxy.Traces().Find(c.Param("id"))
		if !ok {
			return c.String(http.StatusNotFound, "this host does not remember a request of that id")
		}
		return c.JSONPretty(http.StatusOK, x, "  ")
	})
	return e
}

// secondSignal returns a channel that is closed when another signal to stop arrives, and a function
// that releases its resources.
func secondSignal(ctx context.Context) (<-chan struct{}, func()) {
	next, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	return next.Done(), stop
}
