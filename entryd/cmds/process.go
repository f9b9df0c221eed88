package cmds

import (
	"context"
	"errors"
	"expvar"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"rosemarygrade.dev/entryd/pkg/attach"
	"rosemarygrade.dev/entryd/pkg/caller"
	"rosemarygrade.dev/entryd/pkg/dedup"
	"rosemarygrade.dev/entryd/pkg/entry"
	"rosemarygrade.dev/entryd/pkg/links"
	"rosemarygrade.dev/entryd/pkg/owner"
	"rosemarygrade.dev/entryd/pkg/place"
	"rosemarygrade.dev/entryd/pkg/proxy"
	"rosemarygrade.dev/entryd/pkg/server"
	"rosemarygrade.dev/entryd/pkg/shift"
	"rosemarygrade.dev/lib/pkg/logs"
	"rosemarygrade.dev/lib/pkg/peer"
	"rosemarygrade.dev/lib/pkg/peerpb"
)

// process holds the components of an entryd process.
type process struct {
	incarnation uint64
	log         *slog.Logger
	pool        *peer.Pool
	steerd      *attach.Client
	links       *links.Links
	regions     *caller.RegionTable
	peers       *entry.Client
	servers     *server.Client
	owner       *owner.Owner
	dedupTable  *dedup.Table
	proxy       *proxy.Proxy
	caller      *caller.Server
	data        *entry.Server

	mu   sync.Mutex
	self *peerpb.Member
}

func newProcess(now time.Time, s *Settings, pool *peer.Pool, log *logs.Factory) *process {
	p := &process{incarnation: rand.Uint64(), log: log.Layer("main"), pool: pool}
	p.self = &peerpb.Member{
		Incarnation: p.incarnation, Role: peerpb.Role_ROLE_ENTRYD, Host: s.Host, DataCentre: s.DataCentre,
		Region: s.Region, PeerAddress: s.PeerAddress, CallerAddress: s.CallerAddress,
	}
	p.steerd = attach.New(pool, s.Steerds, p, log.Layer("steer"))
	p.links = links.New(s.Region)
	p.regions = caller.NewRegionTable(s.Region)
	p.peers = entry.NewClient(pool, p.links)
	p.servers = server.NewClient()
	p.owner = owner.New(now, p.incarnation, p.servers, p.peers, log.Layer("owner"))
	p.dedupTable = dedup.NewTable(now, p.incarnation)
	p.proxy = proxy.New(proxy.Config{
		Location:    place.Location{DataCentre: s.DataCentre, Region: s.Region},
		Incarnation: p.incarnation, View: p.steerd, Owner: p.owner, Peers: p.peers, DedupTable: p.dedupTable, Log: log.Layer("proxy"),
	})
	p.caller = caller.New(p.proxy, p.regions, log.Layer("caller"))
	p.data = entry.NewServer(p.incarnation, p.proxy, p.owner, p.links)
	p.publish()
	return p
}

// publish publishes the counters of the process through expvar.
func (p *process) publish() {
	expvar.Publish("requestsFull", expvar.Func(func() any { return p.caller.Counts().Full.Load() }))
	expvar.Publish("requestsNotRun", expvar.Func(func() any { return p.caller.Counts().NotRun.Load() }))
	expvar.Publish("requestsUnknown", expvar.Func(func() any { return p.caller.Counts().Unknown.Load() }))
	expvar.Publish("requestsBroken", expvar.Func(func() any { return p.caller.Counts().Aborted.Load() }))
	expvar.Publish("requestsInFlight", expvar.Func(func() any { return p.caller.InFlight() }))
	expvar.Publish("peerBytesIn", expvar.Func(func() any { return p.pool.Traffic().In() }))
	expvar.Publish("peerBytesOut", expvar.Func(func() any { return p.pool.Traffic().Out() }))
	expvar.Publish("runRecords", expvar.Func(func() any { return p.dedupTable.Len() }))
	expvar.Publish("links", expvar.Func(func() any { return p.links.Usages() }))
	expvar.Publish("shifts", expvar.Func(func() any { return p.proxy.Shifts().Counts() }))
}

// Self implements attach.Process. The sequence number increases with each call, the revision when
// the configuration hash or the holds have changed.
func (p *process) Self(time.Time) *peerpb.Member {
	hash, holds := p.steerd.Hash(), p.owner.Holds()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.self.Seq++
	next := proto.CloneOf(p.self)
	next.ConfigHash, next.Holds = hash, holds
	if !proto.Equal(next, p.self) {
		next.Revision++
		p.self = next
	}
	return proto.CloneOf(p.self)
}

// Nonce implements attach.Process. After a suspension, the guard blocks dispatch until a view
// echoes the nonce of a later report.
func (p *process) Nonce(now time.Time) uint64 { return p.owner.Guard().NextNonce(now) }

// ViewApplied implements attach.Process. It updates the ownership of sites before it confirms the
// echo, which lets dispatch resume after a suspension.
func (p *process) ViewApplied(ctx context.Context, now time.Time, echo uint64) {
	p.applyView(ctx, now)
	p.owner.Guard().Confirm(now, echo)
}

func (p *process) applyView(ctx context.Context, now time.Time) {
	if !p.steerd.Ready() {
		return
	}
	snap := p.steerd.Snapshot()
	p.regions.Update(snap)
	p.links.Configure(now, snap)
	p.owner.Update(context.WithoutCancel(ctx), now, snap, p.steerd.Members())
}

func (p *process) tick(_ context.Context, now time.Time) {
	p.owner.Tick(now)
	p.links.Refill(now)
}

// slowTick updates the ownership of sites even without a new view. It also deletes the state of
// removed shifts and closes connections to processes that are no longer members.
func (p *process) slowTick(ctx context.Context, now time.Time) {
	p.applyView(ctx, now)
	p.proxy.Tick()
	keep := map[string]bool{}
	for _, m := range p.steerd.Members() {
		keep[m.GetPeerAddress()] = true
	}
	if a := p.steerd.Attached(); a != "" && len(keep) > 0 {
		keep[a] = true
		p.pool.CloseExcept(keep)
	}
}

// state is the JSON form of the state of an entryd process for operators.
type state struct {
	Host        string            `json:"host"`
	Incarnation uint64            `json:"incarnation"`
	Leaving     bool              `json:"leaving"`
	Ready       bool              `json:"ready"`
	Attached    string            `json:"attachedTo"`
	ConfigHash  uint64            `json:"configHash"`
	InFlight    int64             `json:"inFlight"`
	RunRecords  int               `json:"runRecords"`
	Dispatched  int               `json:"dispatchedOrVoided"`
	Sites       []owner.SiteState `json:"sites"`
	Links       []links.Usage     `json:"links"`
	Shifts      []shift.Counts    `json:"shifts"`
	Members     []*peerpb.Member  `json:"members"`
}

// Dump implements admin.Source.
func (p *process) Dump() any {
	p.mu.Lock()
	self := proto.CloneOf(p.self)
	p.mu.Unlock()
	return state{
		Host: self.GetHost(), Incarnation: p.incarnation, Leaving: self.GetLeaving(), Ready: p.steerd.Ready(),
		Attached: p.steerd.Attached(), ConfigHash: p.steerd.Hash(), InFlight: p.caller.InFlight(),
		RunRecords: p.dedupTable.Len(), Dispatched: p.owner.Dispatches().Len(), Sites: p.owner.States(),
		Links: p.links.Usages(), Shifts: p.proxy.Shifts().Counts(), Members: p.steerd.Members(),
	}
}

var (
	errNotReady = errors.New("no configuration has been loaded yet")
	errStopping = errors.New("the process is stopping")
	errStopped  = errors.New("stopped")
)

// Ready implements admin.Source.
func (p *process) Ready() error {
	p.mu.Lock()
	leaving := p.self.GetLeaving()
	p.mu.Unlock()
	switch {
	case leaving:
		return errStopping
	case !p.steerd.Ready():
		return errNotReady
	default:
		return nil
	}
}

// stopPollInterval is the interval at which a stopping process checks for requests in flight.
const stopPollInterval = 50 * time.Millisecond

// stop stops the process gracefully. It reports that it is leaving, so that other processes acquire
// its sites, and accepts requests for LameDuckMillis, until callers' look-ups have expired. Then it
// rejects new requests, waits for those in flight, and hands its request records over. A second
// signal or StopMillis ends the waiting. It returns errStopped.
func (p *process) stop(ctx context.Context, s *Settings) error {
	force, release := secondSignal(ctx)
	defer release()
	p.log.Info("process is stopping", "inFlight", p.caller.InFlight())
	p.mu.Lock()
	p.self.Leaving = true
	p.self.Revision++
	p.mu.Unlock()
	p.owner.StopAcquiring()
	p.steerd.ReportNow()
	deadline := stopDeadline(time.Now(), s.StopMillis)
	p.waitUntil(force, deadline, time.Now().Add(time.Duration(s.LameDuckMillis)*time.Millisecond), func() bool { return false })
	p.caller.Stop()
	p.dedupTable.Stop()
	p.waitUntil(force, deadline, time.Time{}, func() bool {
		return p.caller.InFlight() == 0 && p.owner.InFlight() == 0 && p.data.InFlight() == 0
	})
	p.handOver(ctx)
	p.log.Info("process is exiting", "inFlight", p.caller.InFlight())
	return errStopped
}

func stopDeadline(now time.Time, millis int) time.Time {
	if millis == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(millis) * time.Millisecond)
}

// waitUntil waits until done returns true, until the time or the deadline has passed, or until the
// stop is forced. A zero time or deadline is ignored.
func (p *process) waitUntil(force <-chan struct{}, deadline, until time.Time, done func() bool) {
	t := time.NewTicker(stopPollInterval)
	defer t.Stop()
	for !done() {
		select {
		case <-force:
			return
		case now := <-t.C:
			expired := !deadline.IsZero() && now.After(deadline)
			if expired || (!until.IsZero() && now.After(until)) {
				return
			}
		}
	}
}

// handOverTimeout bounds the hand-over of records to one successor.
const handOverTimeout = 5 * time.Second

// handOver sends the request records to the successors of this process. They can then return the
// responses of used keys, and report requests with unused keys as not run.
func (p *process) handOver(ctx context.Context) {
	export := p.dedupTable.Export()
	for _, m := range p.proxy.Successors(p.incarnation) {
		ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
		err := p.peers.HandOver(ctx, m, export)
		cancel()
		p.log.Info("hand-over of request records ended", "peer", m.GetHost(), "records", len(export.GetRecords()), "err", err)
	}
}
