// Package cmds is the command line of steerd and the wiring of its parts.
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

const long = `steerd runs on every entry host. It keeps the accepted configuration and the list of live
hosts, answers callers that ask which entry host to use, feeds the entryd of its host, and
reports the status of objects to the platform.

Settings are read from a JSON file; docs/operators/settings.md lists them.
SIGTERM stops it; look-ups are then answered by the other hosts.`

// Execute runs steerd and returns its exit code.
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
	return config.Daemon{
		Name: "steerd", Short: "Keep configuration and membership and answer look-ups", Long: long,
		Settings: s,
		Run:      func(ctx context.Context, layers string) error { return run(ctx, s, layers) },
	}
}

// Times of the loops besides gossip.
const (
	refreshEvery = 200 * time.Millisecond
	reportEvery  = 500 * time.Millisecond
	viewEvery    = 500 * time.Millisecond
)

// process is a steerd's parts.
type process struct {
	*gossip.Gossip

	node   *node.Node
	attach *attach.Server
	lookup *lookup.Server
}

// Attach implements the Control service.
func (p *process) Attach(stream peerpb.Control_AttachServer) error { return p.attach.Serve(stream) }

// state is the dump of a steerd.
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
	live := p.node.Live(now)
	st := state{
		Host: p.node.Host(), Ready: p.node.Ready(), Gateway: p.IsGateway(now), Lookups: p.lookup.Count(),
		Config: gossip.Summarize(p.node.Store()), Members: live,
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

//nolint:contextcheck // The group outlives the signal's context on purpose: a planned stop tells peers first.
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
		attach: attach.New(n, viewEvery, log.Layer("attach")),
		lookup: lookup.NewServer(n, config.Millis(s.LookupTTLMillis)),
	}
	publish(p, pool)
	client := object.NewHTTP(s.PlatformAddress)
	watcher := watch.New(n, client, p.Accept, s.WatchersPerRegion, log.Layer("watch"))
	reporter := report.New(n, client, log.Layer("report"))

	// The listeners outlive the loops: a stopping steerd tells its peers first.
	g := serve.NewGroup(context.WithoutCancel(ctx))
	stopCtx, stop := context.WithCancel(g.Context())
	defer stop()
	g.HTTP(listeners[0], lookupHandler(p.lookup))
	rpc := pool.NewServer()
	peerpb.RegisterControlServer(rpc, p)
	g.GRPC(listeners[1], rpc)
	g.HTTP(listeners[2], adminHandler(p))
	interval := config.Millis(s.GossipMillis)
	g.Every(interval, p.Round)
	g.Every(refreshEvery, func(_ context.Context, now time.Time) { p.lookup.Refresh(now) })
	g.Every(reportEvery, reporter.Round)
	g.Go(func(context.Context) error { return watcher.Run(stopCtx) })
	g.Go(func(context.Context) error { return watcher.Hosts(stopCtx) })
	g.Go(func(context.Context) error { return p.untilStop(ctx, stop, interval) })
	log.Layer("main").Info("started", "lookup", s.LookupAddress, "peer", s.PeerAddress, "admin", s.AdminAddress)
	err = g.Wait()
	if errors.Is(err, errStopped) {
		log.Layer("main").Info("stopped")
		return nil
	}
	return err
}

// publish makes the process's counts visible by expvar.
func publish(p *process, pool *peer.Pool) {
	expvar.Publish("lookups", expvar.Func(func() any { return p.lookup.Count() }))
	expvar.Publish("refusedOldVersions", expvar.Func(func() any { return p.node.Store().RejectedVersions() }))
	expvar.Publish("configHash", expvar.Func(func() any { return p.node.Store().Hash() }))
	expvar.Publish("peerBytesIn", expvar.Func(func() any { return pool.Traffic().In() }))
	expvar.Publish("peerBytesOut", expvar.Func(func() any { return pool.Traffic().Out() }))
}

var errStopped = errors.New("stopped")

// leaveRounds is how many rounds of gossip a stopping process stays to tell that it leaves.
const leaveRounds = 3

// untilStop waits for the signal, tells the peers, and ends the group.
func (p *process) untilStop(ctx context.Context, stop context.CancelFunc, interval time.Duration) error {
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
