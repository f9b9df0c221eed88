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
	"rosemarygrade.dev/edged/pkg/health"
	"rosemarygrade.dev/edged/pkg/memory"
	"rosemarygrade.dev/edged/pkg/meter"
	"rosemarygrade.dev/edged/pkg/pick"
	"rosemarygrade.dev/edged/pkg/proxy"
	"rosemarygrade.dev/edged/pkg/quota"
	"rosemarygrade.dev/edged/pkg/watch"
	"rosemarygrade.dev/lib/pkg/logs"
	"rosemarygrade.dev/lib/pkg/plan"
	"rosemarygrade.dev/lib/pkg/serve"
	"rosemarygrade.dev/platform/adapt"
)

// Times and limits of the process.
const (
	tickInterval = 100 * time.Millisecond
	// idleTickInterval takes its place on hosts of a large fleet that have no queued requests.
	idleTickInterval = 200 * time.Millisecond
	sweepInterval    = time.Second
	// registerPollInterval is the time between checks whether this host is to register in the store, and between attempts.
	registerPollInterval = time.Second
	registerTimeout      = time.Second
	// acceptAfterStop is how long a stopping host still accepts connections: callers keep responses to look-ups for up to
	// maxLookupLifetime.
	acceptAfterStop = 2500 * time.Millisecond
	// stopMargin is how long before the end of the grace time the process stops waiting for requests.
	stopMargin = 500 * time.Millisecond
	// exitMargin is how long before the end of the grace time the other servers stop waiting.
	exitMargin = 250 * time.Millisecond
	// gcPercent keeps the heap small: memory is scarce, and a heap of a few megabytes is cheap to collect.
	gcPercent = 50
)

// process holds the components of an edged.
type process struct {
	settings *Settings
	// reloadable holds the settings as last read. Only settings that may change while the process runs are read from it.
	reloadable atomic.Pointer[Settings]
	log        *slog.Logger
	state      *watch.State
	table      *pick.Table
	pool       *conns.Pool
	gossip     *gossip.Membership
	quota      *quota.Service
	health     *health.Checker
	proxy      *proxy.Handler
	front      *front.Server
	store      plan.Store
	stopping   atomic.Bool
	meter      *meter.Set
	memory     *memory.Account
	limits     connLimits
}

// View implements proxy.Env.
func (p *process) View() *plan.View { return p.state.View() }

// IsElectedFor implements pick.Fleet.
func (p *process) IsElectedFor(b *plan.Backend) bool { return p.gossip.IsElectedFor(time.Now(), b) }

// SlowStartShare implements pick.Fleet.
func (p *process) SlowStartShare() float64 { return p.gossip.SlowStartShare(time.Now()) }

// HasStoreNews implements health.Env.
func (p *process) HasStoreNews(now time.Time) bool { return p.gossip.HasStoreNews(now) }

// ReportSlowStart implements health.Env.
func (p *process) ReportSlowStart(now time.Time, b *plan.Backend, remaining time.Duration) {
	p.table.ReceiveSlowStart(now, b, remaining)
	p.gossip.SendSlowStart(now, b, remaining)
}

// Demand implements pick.Fleet. It assumes that all data centres have the same number of callers.
func (p *process) Demand() map[string]float64 {
	out := map[string]float64{}
	for _, region := range p.settings.Regions {
		out[region] += 1 / float64(len(p.settings.Regions))
	}
	return out
}

// Hosts implements proxy.Env.
func (p *process) Hosts() int { return p.gossip.PeakHosts() }

// Region implements proxy.Env.
func (p *process) Region() string { return p.settings.Region }

func newProcess(s *Settings, f *logs.Factory) (*process, error) {
	p := &process{
		settings: s, log: f.Layer("main"), state: watch.NewState(s.Regions, f.Layer("follow")),
		meter: meter.New(), pool: conns.NewPool(conns.Dialer(), adapt.EchoedID),
		memory: memory.New(memory.NewLimits(s.MemoryMegabytes)), limits: newConnLimits(s),
	}
	p.pool.SetMaxConns(memory.NewDescriptors(s.MaxDescriptors).Backends())
	p.table = pick.New(pick.DefaultRules(), p)
	p.reloadable.Store(s)
	self := gossip.Self{
		Name: s.Host, DataCentre: s.DataCentre, Region: s.Region, IP: s.IP, Port: s.PeerPorts[0], Regions: s.Regions,
	}
	for _, seed := range s.Seeds {
		ip, _, err := net.SplitHostPort(seed)
		self.Seed = self.Seed || (err == nil && ip == s.IP)
	}
	var err error
	if p.gossip, err = gossip.New(time.Now(), self, p.state, p.table, f.Layer("mesh")); err != nil {
		return nil, err
	}
	if p.quota, err = quota.New(quota.Self{IP: s.IP, DataCentre: s.DataCentre, Port: s.PeerPorts[1]}, p.gossip, f.Layer("quota")); err != nil {
		return nil, err
	}
	p.meter.SetSource(p.gossipSamples)
	p.addSeeds(time.Now(), s)
	p.store = adapt.NewStoreClient(s.StoreAddress, conns.Control, func(string) { p.meter.Add(meter.StoreCalls, 1) })
	p.health = health.New(p, adapt.HeaderCodec{}, func() { p.meter.Add(meter.HealthChecks, 1) }, f.Layer("gate"))
	retryBudget := pick.NewRetryBudget(pick.BudgetRule{
		Window: seconds(s.RepeatWindowSeconds), Ratio: s.RepeatRatio, FreeRetries: s.RepeatSlack,
	})
	p.proxy = proxy.New(p, adapt.HeaderCodec{}, p.pool, p.table, retryBudget, p.memory, p.meter, f.Layer("gate"))
	p.proxy.SetQuota(p.quota)
	return p, nil
}

func run(ctx context.Context, s *Settings, path, layers string) error {
	hup := notifyHangup()
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memory.NewLimits(s.MemoryMegabytes).GC())
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
	p.serve(g, listeners)
	g.Go(sink.Run)
	watcher := watch.New(p.store, p.state, p.gossip, factory.Layer("follow"))
	g.Go(watcher.Probe)
	g.Go(func(ctx context.Context) error { return p.reload(ctx, path, hup) })
	for _, t := range watch.WatchedTopics() {
		g.Go(func(ctx context.Context) error { return watcher.Run(ctx, t) })
	}
	g.Go(p.gossip.Run)
	g.Go(p.quota.Run)
	g.Go(p.runTicks)
	g.Go(p.registerHost)
	g.Every(sweepInterval, p.sweep)
	g.Go(p.health.Run)
	g.Go(func(groupCtx context.Context) error {
		select {
		case <-ctx.Done():
		case <-groupCtx.Done():
			return nil
		}
		grace := seconds(p.reloadable.Load().GraceSeconds)
		g.StopBy(time.Now().Add(grace - exitMargin))
		return p.stop(groupCtx, grace)
	})
	p.log.Info("edged started", "event", "start", "caller", s.CallerAddress, "store", s.StoreAddress)
	err = g.Wait()
	if errors.Is(err, errStopped) {
		p.log.Info("edged stopped", "event", "stop", "inFlight", p.proxy.InFlight())
		err = nil
	}
	return errors.Join(err, sink.Flush())
}

func (p *process) listen() ([]net.Listener, error) {
	peerAddress := net.JoinHostPort(p.settings.IP, strconv.Itoa(p.settings.PeerPorts[0]))
	metricsAddress := net.JoinHostPort(p.settings.IP, strconv.Itoa(p.settings.MetricsPort))
	return serve.Listen(p.settings.CallerAddress, p.settings.ReadyAddress, p.settings.LookupAddress, peerAddress,
		p.settings.AdminAddress, metricsAddress)
}

// runTicks calls tick every tickInterval or idleTickInterval, and also whenever resources in the store have changed, then with
// urgent set.
func (p *process) runTicks(ctx context.Context) error {
	t := time.NewTimer(tickInterval)
	defer t.Stop()
	for {
		urgent := false
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			t.Reset(p.nextTick())
		case <-p.state.Changed():
			urgent = true
		}
		p.tick(time.Now(), urgent)
	}
}

// nextTick returns the time until the next periodic tick.
func (p *process) nextTick() time.Duration {
	if p.table.QueueLength() == 0 && p.gossip.IsLargeFleet() {
		return idleTickInterval
	}
	return tickInterval
}

// tick does the periodic work: it deletes held entries that have expired, applies the limits of connections, sends
// heartbeats to the other hosts and dispatches queued requests. If urgent is set, heartbeats are sent immediately.
func (p *process) tick(now time.Time, urgent bool) {
	p.state.ExpireHeld(now)
	p.applyLimits()
	p.gossip.SetServing(p.isReady())
	p.gossip.Tick(now, urgent)
	p.table.DispatchAll(now, p.state.View())
}

// applyLimits applies the configuration's limits to the connections of callers.
func (p *process) applyLimits() {
	c := p.state.View().Config()
	if c == nil {
		return
	}
	if l := c.Limits(); p.front.SetLimits(l) {
		p.log.Info("new limits apply to callers' connections", "event", "limits", "version", c.Version(), "headerBytes", l.HeaderBytes,
			"headerMillis", l.HeaderTimeout.Milliseconds(), "idleMillis", l.IdleTimeout.Milliseconds(), "bodyBytes", l.BodyBytes)
		if longest := memory.NewLimits(p.settings.MemoryMegabytes).LargestBody(); l.BodyBytes > longest {
			p.log.Warn("bodies of the permitted length do not fit into the memory for requests and get 503", "event", "limits",
				"bodyBytes", l.BodyBytes, "longestBytes", longest)
		}
	}
}

// registerHost registers this host in the store once it is one of those by which new hosts find the system. It retries
// until it succeeds or ctx ends.
func (p *process) registerHost(ctx context.Context) error {
	for ctx.Err() == nil {
		if p.gossip.IsContact(time.Now()) {
			callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
			err := p.store.RegisterMember(callCtx, plan.Member{Name: p.settings.Host, IP: p.settings.IP})
			cancel()
			if err == nil {
				return nil
			}
			p.log.Warn("could not register this host in the store; retrying", "event", "join", "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(registerPollInterval):
		}
	}
	return nil
}

// sweep removes the state and the connections of backend servers that no longer exist, and updates the gauges.
func (p *process) sweep(_ context.Context, now time.Time) {
	v := p.state.View()
	p.table.Prune(now, v)
	p.pool.Sweep(now, v.HasKey)
	p.memory.Trim()
	p.setMemoryGauges()
	p.meter.Set(meter.ConnsOpened, int64(p.pool.Opened()))
	p.meter.Set(meter.InFlight, p.proxy.InFlight())
	p.meter.Set(meter.Waiting, int64(p.table.QueueLength()))
	p.meter.Set(meter.Ramping, int64(len(p.table.Ramps(now))))
	p.meter.Set(meter.HeldBack, p.table.HeldBack())
	p.meter.Set(meter.LiveHosts, int64(p.gossip.CountAlive(now)+1))
	p.meter.Set(meter.Backends, int64(v.Backends()))
	p.updateQuotaMetrics()
	if v.Config() != nil {
		p.proxy.Prune(v.Config())
		p.meter.PruneOrganisations(v.Config())
		p.meter.Set(meter.ConfigVersion, int64(v.Config().Version()))
	}
}

func (p *process) isReady() bool { return !p.stopping.Load() && p.state.View().Config() != nil }

// ready handles the platform's readiness check.
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

// lookup handles callers' look-ups.
func (p *process) lookup(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != adapt.PathLookup {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	p.meter.Add(meter.Lookups, 1)
	q := adapt.ReadLookup(r)
	addresses, lifetime := p.hostsFor(time.Now(), q.Region, q.DataCentre)
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(adapt.NewLookupAnswer(addresses, lifetime)); err != nil {
		p.log.Debug("could not write the response to a look-up", "event", "lookup", "error", err)
	}
}

// errStopped is returned to the group to end it after a planned stop.
var errStopped = errors.New("stopped")

// stop ends the process without aborting a request: it reports to the other hosts that this one no longer serves, accepts
// connections for acceptAfterStop, then waits for the requests in flight until shortly before the end of the grace time.
func (p *process) stop(ctx context.Context, grace time.Duration) error {
	begin := time.Now()
	p.log.Info("edged is stopping", "event", "stopping", "inFlight", p.proxy.InFlight())
	p.stopping.Store(true)
	end := begin.Add(grace - stopMargin)
	p.proxy.Stop(begin, begin.Add(acceptAfterStop), end)
	p.gossip.Leave()
	p.gossip.Tick(begin, true)
	select {
	case <-ctx.Done():
	case <-time.After(acceptAfterStop):
	}
	shutdownCtx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	if err := p.front.Shutdown(shutdownCtx); err != nil {
		p.log.Warn("grace time over; requests in flight were aborted", "event", "cut", "inFlight", p.proxy.InFlight(), "error", err)
	}
	return errStopped
}
