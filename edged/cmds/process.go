package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"rosemarygrade.dev/edged/pkg/conns"
	"rosemarygrade.dev/edged/pkg/front"
	"rosemarygrade.dev/edged/pkg/gossip"
	"rosemarygrade.dev/edged/pkg/meter"
	"rosemarygrade.dev/edged/pkg/pick"
	"rosemarygrade.dev/edged/pkg/proxy"
	"rosemarygrade.dev/edged/pkg/watch"
	"rosemarygrade.dev/lib/pkg/logs"
	"rosemarygrade.dev/lib/pkg/plan"
	"rosemarygrade.dev/lib/pkg/serve"
	"rosemarygrade.dev/platform/adapt"
)

// Times and limits of the process.
const (
	beatEvery  = 100 * time.Millisecond
	sweepEvery = time.Second
	// joinPause is the pause between tries to declare this host in the store.
	joinPause = time.Second
	joinWait  = time.Second
	// acceptAfterStop is how long a stopping host still takes requests: callers keep look-ups for seconds.
	acceptAfterStop = 2500 * time.Millisecond
	// stopMargin is how much before the end of the grace time the process ends.
	stopMargin = 500 * time.Millisecond
	// memoryUse is the part of the process's memory at which the collector works harder.
	memoryUse = 0.6
	// gcPercent keeps the heap small: memory is dear and the heap is a few megabytes.
	gcPercent = 50
	megabyte  = 1 << 20
)

// process holds the parts of an edged.
type process struct {
	settings *Settings
	// reloaded holds the settings that may change while the process runs.
	reloaded atomic.Pointer[Settings]
	log      *slog.Logger
	state    *watch.State
	table    *pick.Table
	pool     *conns.Pool
	mesh     *gossip.Membership
	gate     *proxy.Gate
	front    *front.Front
	source   plan.Store
	stopping atomic.Bool
	meter    *meter.Set
}

// View implements proxy.Env.
func (p *process) View() *plan.View { return p.state.View() }

// ElectedFor implements pick.Fleet.
func (p *process) ElectedFor(b *plan.Backend) bool { return p.mesh.IsElectedFor(time.Now(), b) }

// Demand implements pick.Fleet. Data centres have about the same number of callers each.
func (p *process) Demand() map[string]float64 {
	out := map[string]float64{}
	for _, region := range p.settings.Regions {
		out[region] += 1 / float64(len(p.settings.Regions))
	}
	return out
}

// Hosts implements proxy.Env.
func (p *process) Hosts() int { return p.mesh.PeakHosts() }

// Region implements proxy.Env.
func (p *process) Region() string { return p.settings.Region }

func newProcess(s *Settings, f *logs.Factory) (*process, error) {
	p := &process{
		settings: s, log: f.Layer("main"), state: watch.NewState(s.Regions, f.Layer("follow")),
		meter: meter.New(), pool: conns.NewPool(conns.Dialer(), adapt.EchoedID),
	}
	p.table = pick.New(pick.DefaultRules(), p)
	p.reloaded.Store(s)
	self := gossip.Self{
		Name: s.Host, DataCentre: s.DataCentre, Region: s.Region, IP: s.IP, Port: s.PeerPorts[0], Regions: s.Regions,
	}
	for _, seed := range s.Seeds {
		ip, _, err := net.SplitHostPort(seed)
		self.Seed = self.Seed || (err == nil && ip == s.IP)
	}
	var err error
	if p.mesh, err = gossip.New(time.Now(), self, p.state, p.table, f.Layer("mesh")); err != nil {
		return nil, err
	}
	p.meetSeeds(time.Now(), s)
	p.source = adapt.NewStoreClient(s.StoreAddress, conns.Control, func(string) { p.meter.Add(meter.StoreCalls, 1) })
	repeats := pick.NewRetryBudget(pick.BudgetRule{
		Window: seconds(s.RepeatWindowSeconds), Ratio: s.RepeatRatio, FreeRetries: s.RepeatSlack,
	})
	p.gate = proxy.New(p, adapt.HeaderCodec{}, p.pool, p.table, repeats, p.meter, f.Layer("gate"))
	return p, nil
}

func run(ctx context.Context, s *Settings, path, layers string) error {
	hup := hangups()
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryUse * float64(s.MemoryMegabytes) * megabyte))
	sink := logs.NewSink(os.Stdout)
	factory := logs.New(sink, layers, "process", "edged", "host", s.Host).WithRateLimit()
	p, err := newProcess(s, factory)
	if err != nil {
		return err
	}
	listeners, err := p.listen()
	if err != nil {
		return err
	}
	g := serve.NewGroup(context.WithoutCancel(ctx))
	p.front = front.New(p.gate, listeners[0])
	g.Go(p.front.Run)
	g.HTTP(listeners[1], http.HandlerFunc(p.ready))
	g.HTTP(listeners[2], http.HandlerFunc(p.lookup))
	g.HTTP(listeners[3], p.mesh.Handler())
	admin := p.adminHandler()
	g.HTTP(listeners[4], admin)
	g.HTTP(listeners[5], admin)
	g.Go(sink.Run)
	follower := watch.New(p.source, p.state, p.mesh, factory.Layer("follow"))
	g.Go(follower.Probe)
	g.Go(func(ctx context.Context) error { return p.reload(ctx, path, hup) })
	for _, t := range plan.Topics() {
		g.Go(func(ctx context.Context) error { return follower.Run(ctx, t) })
	}
	g.Go(p.mesh.Run)
	g.Go(p.beat)
	g.Go(p.join)
	g.Every(sweepEvery, p.sweep)
	g.Go(func(life context.Context) error {
		select {
		case <-ctx.Done():
		case <-life.Done():
			return nil
		}
		return p.stop(life)
	})
	p.log.Info("started", "event", "start", "caller", s.CallerAddress, "store", s.StoreAddress)
	err = g.Wait()
	if errors.Is(err, errStopped) {
		p.log.Info("stopped", "event", "stop", "inFlight", p.gate.InFlight())
		err = nil
	}
	return errors.Join(err, sink.Flush())
}

func (p *process) listen() ([]net.Listener, error) {
	peers := net.JoinHostPort(p.settings.IP, strconv.Itoa(p.settings.PeerPorts[0]))
	metrics := net.JoinHostPort(p.settings.IP, strconv.Itoa(p.settings.MetricsPort))
	return serve.Listen(p.settings.CallerAddress, p.settings.ReadyAddress, p.settings.LookupAddress, peers,
		p.settings.AdminAddress, metrics)
}

// beat tells other hosts of this one, at once when something was declared.
func (p *process) beat(ctx context.Context) error {
	t := time.NewTicker(beatEvery)
	defer t.Stop()
	for {
		urgent := false
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-p.state.Changed():
			urgent = true
		}
		p.onBeat(time.Now(), urgent)
	}
}

// onBeat does what is due several times a second.
func (p *process) onBeat(now time.Time, urgent bool) {
	p.state.ExpireHeld(now)
	p.applyLimits()
	p.mesh.SetServing(p.isReady())
	p.mesh.Tick(now, urgent)
	p.table.DispatchAll(now, p.state.View())
}

// applyLimits puts the configuration's limits for callers' connections into force.
func (p *process) applyLimits() {
	c := p.state.View().Config()
	if c == nil {
		return
	}
	if l := c.Limits(); p.front.SetLimits(l) {
		p.log.Info("limits of connections", "event", "limits", "version", c.Version(), "headerBytes", l.HeaderBytes,
			"headerMillis", l.HeaderTimeout.Milliseconds(), "idleMillis", l.IdleTimeout.Milliseconds(), "bodyBytes", l.BodyBytes)
	}
}

// join declares this host in the store.
func (p *process) join(ctx context.Context) error {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, joinWait)
		err := p.source.RegisterMember(call, plan.Member{Name: p.settings.Host, IP: p.settings.IP})
		cancel()
		if err == nil {
			return nil
		}
		p.log.Warn("host not declared in the store", "event", "join", "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(joinPause):
		}
	}
	return nil
}

func (p *process) sweep(_ context.Context, now time.Time) {
	v := p.state.View()
	p.table.Prune(now, v)
	p.pool.Sweep(now, v.HasKey)
	p.meter.Set(meter.ConnsOpened, int64(p.pool.Opened()))
	p.meter.Set(meter.InFlight, p.gate.InFlight())
	p.meter.Set(meter.Waiting, int64(p.table.QueueLength()))
	p.meter.Set(meter.LiveHosts, int64(len(p.mesh.AliveHosts(now))+1))
	p.meter.Set(meter.Backends, int64(v.Backends()))
	if v.Config() != nil {
		p.meter.Set(meter.ConfigVersion, int64(v.Config().Version()))
	}
}

func (p *process) isReady() bool { return !p.stopping.Load() && p.state.View().Config() != nil }

// ready answers the platform's check.
func (p *process) ready(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != adapt.PathReady {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !p.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// lookup answers callers' look-ups.
func (p *process) lookup(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != adapt.PathLookup {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	p.meter.Add(meter.Lookups, 1)
	q := adapt.ReadLookup(r)
	answer, lifetime := p.hostsFor(time.Now(), q.Region, q.DataCentre)
	if len(answer) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(adapt.NewLookupAnswer(answer, lifetime)); err != nil {
		p.log.Debug("look-up not answered", "event", "lookup", "error", err)
	}
}

// errStopped ends the group after a planned stop.
var errStopped = errors.New("stopped")

// stop ends the process without cutting a request.
func (p *process) stop(ctx context.Context) error {
	begin := time.Now()
	p.log.Info("stopping", "event", "stopping", "inFlight", p.gate.InFlight())
	p.stopping.Store(true)
	p.gate.Stop()
	p.mesh.SetServing(false)
	p.mesh.Tick(begin, true)
	select {
	case <-ctx.Done():
	case <-time.After(acceptAfterStop):
	}
	end, cancel := context.WithDeadline(ctx, begin.Add(seconds(p.reloaded.Load().GraceSeconds)-stopMargin))
	defer cancel()
	if err := p.front.Shutdown(end); err != nil {
		p.log.Warn("requests cut by the end of the grace time", "event", "cut", "inFlight", p.gate.InFlight(), "error", err)
	}
	return errStopped
}
