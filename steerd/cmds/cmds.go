// Package cmds implements the command line of steerd and connects its packages.
package cmds

import (
	"context"
	"errors"
	"expvar"
	"io"
	"os"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/spf13/cobra"

	"rosemarygrade.dev/lib/pkg/admin"
	"rosemarygrade.dev/lib/pkg/config"
	"rosemarygrade.dev/lib/pkg/logs"
	"rosemarygrade.dev/lib/pkg/member"
	"rosemarygrade.dev/lib/pkg/object"
	"rosemarygrade.dev/lib/pkg/peer"
	"rosemarygrade.dev/lib/pkg/peerpb"
	"rosemarygrade.dev/lib/pkg/serve"
	"rosemarygrade.dev/steerd/pkg/attach"
	"rosemarygrade.dev/steerd/pkg/gossip"
	"rosemarygrade.dev/steerd/pkg/lookup"
	"rosemarygrade.dev/steerd/pkg/node"
	"rosemarygrade.dev/steerd/pkg/report"
	"rosemarygrade.dev/steerd/pkg/watch"
)

const long = `steerd runs on every entry host. It maintains the accepted configuration and the list of live
hosts, answers callers that ask which entry host to use, supplies the entryd of its host with both,
and reports the status of objects to the platform.

Settings are read from a JSON file; docs/operators/settings.md lists them.
SIGTERM stops it; look-ups are then answered by the other hosts.`

// Execute runs steerd with the arguments and returns its exit code.
func Execute(args []string, stderr io.Writer) int {
	return config.Execute(daemon(), args, stderr)
}

// Command returns the cobra command from which the documentation is generated.
func Command() *cobra.Command {
	var code int
	return config.Command(daemon(), &code)
}

func daemon() config.Daemon {
	s := NewSettings()
	return config.Daemon{
		Name: "steerd", Short: "Maintain configuration and membership and answer look-ups", Long: long,
		Settings: s,
		Run:      func(ctx context.Context, layers string) error { return run(ctx, s, layers) },
	}
}

const (
	// refreshInterval is the time between two refreshes of the look-up table.
	refreshInterval = 200 * time.Millisecond
	// reportInterval is the time between two rounds of status writes.
	reportInterval = 500 * time.Millisecond
	// viewInterval is the longest time between two views that an attached entryd receives.
	viewInterval = 500 * time.Millisecond
)

// process is a running steerd. It serves the peers' Control service and the admin endpoints.
type process struct {
	*gossip.Gossip

	node   *node.Node
	attach *attach.Server
	lookup *lookup.Server
}

// Attach implements peerpb.ControlServer.
func (p *process) Attach(stream peerpb.Control_AttachServer) error { return p.attach.Serve(stream) }

// state is the body of a state dump.
type state struct {
	Host    string           `json:"host"`
	Ready   bool             `json:"ready"`
	Gateway bool             `json:"gateway"`
	Lookups uint64           `json:"lookups"`
	Config  gossip.Summary   `json:"config"`
	Members []*peerpb.Member `json:"members"`
	Objects []objectState    `json:"objects"`
}

type objectState struct {
	Kind         string `json:"kind"`
	Name         string `json:"name"`
	Version      uint64 `json:"version"`
	ForceVersion uint64 `json:"forceVersion"`
	Deleted      bool   `json:"deleted,omitempty"`
	Reason       string `json:"reason,omitempty"`
}

// Dump implements admin.Source.
func (p *process) Dump() any {
	now := time.Now()
	alive := p.node.Alive(now)
	st := state{
		Host: p.node.Host(), Ready: p.node.Ready(), Gateway: p.IsGateway(now), Lookups: p.lookup.Count(),
		Config: gossip.Summarize(p.node.Store()), Members: alive,
	}
	for k, e := range p.node.Store().Entries() {
		st.Objects = append(st.Objects, objectState{
			Kind: k.Kind, Name: k.Name, Version: e.Record().GetVersion(),
			ForceVersion: e.Record().GetForceVersion(), Deleted: e.Record().GetDeleted(), Reason: e.Reason(),
		})
	}
	return st
}

var errNotReady = errors.New("no configuration has been loaded yet")

// Ready implements admin.Source.
func (p *process) Ready() error {
	if !p.node.Ready() {
		return errNotReady
	}
	return nil
}

//nolint:contextcheck // The group must outlive ctx, which a signal ends: a stopping steerd still gossips that it is leaving.
func run(ctx context.Context, s *Settings, layers string) error {
	log := logs.New(os.Stderr, layers, "process", "steerd", "host", s.Host)
	listeners, err := serve.Listen(s.LookupAddress, s.PeerAddress, s.AdminAddress)
	if err != nil {
		return err
	}
	pool := peer.NewPool()
	defer pool.Close()
	n := node.New(&peerpb.Member{
		Host: s.Host, DataCentre: s.DataCentre, Region: s.Region,
		PeerAddress: s.PeerAddress, CallerAddress: s.LookupAddress,
	}, member.Timeouts{Member: config.Millis(s.DeadMillis), DataCentre: config.Millis(s.CentreDeadMillis)})
	p := &process{
		Gossip: gossip.New(n, pool, s.Seeds, log.Layer("gossip")), node: n,
		attach: attach.New(n, viewInterval, log.Layer("attach")),
		lookup: lookup.NewServer(n, config.Millis(s.LookupTTLMillis)),
	}
	publish(p, pool)
	client := object.NewHTTP(s.PlatformAddress)
	watcher := watch.New(n, client, p.Accept, s.WatchersPerRegion, log.Layer("watch"))
	reporter := report.New(n, client, log.Layer("report"))

	// The listeners stay open after the signal until steerd has gossiped that it is leaving.
	g := serve.NewGroup(context.WithoutCancel(ctx))
	stopCtx, stop := context.WithCancel(g.Context())
	defer stop()
	g.HTTP(listeners[0], lookupHandler(p.lookup))
	rpc := pool.NewServer()
	peerpb.RegisterControlServer(rpc, p)
	g.GRPC(listeners[1], rpc)
	g.HTTP(listeners[2], adminHandler(p))
	interval := config.Millis(s.GossipMillis)
	p.Start(g.Context(), time.Now())
	g.Every(interval, p.Round)
	g.Every(refreshInterval, func(_ context.Context, now time.Time) { p.lookup.Refresh(now) })
	g.Every(reportInterval, reporter.Round)
	g.Go(func(context.Context) error { return watcher.RunObjects(stopCtx) })
	g.Go(func(context.Context) error { return watcher.RunHosts(stopCtx) })
	g.Go(func(context.Context) error { return p.waitForStop(ctx, stop, interval) })
	log.Layer("main").Info("steerd started", "lookup", s.LookupAddress, "peer", s.PeerAddress, "admin", s.AdminAddress)
	err = g.Wait()
	if errors.Is(err, errStopped) {
		log.Layer("main").Info("steerd stopped")
		return nil
	}
	return err
}

// publish exports the process's counters and its configuration hash through expvar.
func publish(p *process, pool *peer.Pool) {
	expvar.Publish("lookups", expvar.Func(func() any { return p.lookup.Count() }))
	expvar.Publish("refusedOldVersions", expvar.Func(func() any { return p.node.Store().RejectedVersions() }))
	expvar.Publish("configHash", expvar.Func(func() any { return p.node.Store().Hash() }))
	expvar.Publish("peerBytesIn", expvar.Func(func() any { return pool.Traffic().In() }))
	expvar.Publish("peerBytesOut", expvar.Func(func() any { return pool.Traffic().Out() }))
}

var errStopped = errors.New("stopped")

// leaveRounds is the number of gossip rounds in which a stopping process sends its leaving state.
const leaveRounds = 3

// waitForStop waits until a signal ends ctx, gossips the leaving state for leaveRounds rounds, stops the
// watcher and returns errStopped, which ends the group.
func (p *process) waitForStop(ctx context.Context, stop context.CancelFunc, interval time.Duration) error {
	<-ctx.Done()
	p.node.Leave()
	time.Sleep(leaveRounds * interval)
	stop()
	return errStopped
}

func lookupHandler(s *lookup.Server) *echo.Echo {
	e := echo.New()
	s.Register(e)
	return e
}

func adminHandler(p *process) *echo.Echo {
	e := echo.New()
	admin.Register(e, p)
	return e
}
