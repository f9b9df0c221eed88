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

// process is an entryd's parts.
type process struct {
	incarnation uint64
	log         *slog.Logger
	pool        *peer.Pool
	steer       *attach.Client
	links       *links.Links
	blocks      *caller.Blocks
	peers       *entry.Client
	servers     *server.Client
	owner       *owner.Owner
	book        *dedup.Book
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
	p.steer = attach.New(pool, s.Steerds, p, log.Layer("steer"))
	p.links = links.New(s.Region)
	p.blocks = caller.NewBlocks(s.Region)
	p.peers = entry.NewClient(pool, p.links)
	p.servers = server.NewClient()
	p.owner = owner.New(now, p.incarnation, p.servers, p.peers, log.Layer("owner"))
	p.book = dedup.NewBook(now, p.incarnation)
	p.proxy = proxy.New(proxy.Config{
		Where:       place.Location{DataCentre: s.DataCentre, Region: s.Region},
		Incarnation: p.incarnation, Views: p.steer, Owner: p.owner, Peers: p.peers, Book: p.book, Log: log.Layer("proxy"),
	})
	p.caller = caller.New(p.proxy, p.blocks, log.Layer("caller"))
	p.data = entry.NewServer(p.incarnation, p.proxy, p.owner, p.links)
	p.publish()
	return p
}

// publish makes the process's counts visible by expvar.
func (p *process) publish() {
	expvar.Publish("requestsFull", expvar.Func(func() any { return p.caller.Counts().Full.Load() }))
	expvar.Publish("requestsNotRun", expvar.Func(func() any { return p.caller.Counts().NotRun.Load() }))
	expvar.Publish("requestsUnknown", expvar.Func(func() any { return p.caller.Counts().Unknown.Load() }))
	expvar.Publish("requestsBroken", expvar.Func(func() any { return p.caller.Counts().Broken.Load() }))
	expvar.Publish("requestsInFlight", expvar.Func(func() any { return p.caller.InFlight() }))
	expvar.Publish("peerBytesIn", expvar.Func(func() any { return p.pool.Traffic().In() }))
	expvar.Publish("peerBytesOut", expvar.Func(func() any { return p.pool.Traffic().Out() }))
	expvar.Publish("runRecords", expvar.Func(func() any { return p.book.Len() }))
	expvar.Publish("links", expvar.Func(func() any { return p.links.Usages() }))
	expvar.Publish("shifts", expvar.Func(func() any { return p.proxy.Ledger().Counts() }))
}

// Self implements attach.Process.
func (p *process) Self(time.Time) *peerpb.Member {
	hash, holds := p.steer.Hash(), p.owner.Holds()
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

// Nonce implements attach.Process.
func (p *process) Nonce(now time.Time) uint64 { return p.owner.Guard().NextNonce(now) }

// Viewed implements attach.Process. Ownership is settled before dispatch is let go on.
func (p *process) Viewed(ctx context.Context, now time.Time, echo uint64) {
	p.refresh(ctx, now)
	p.owner.Guard().Confirm(now, echo)
}

func (p *process) refresh(ctx context.Context, now time.Time) {
	if !p.steer.Ready() {
		return
	}
	snap := p.steer.Snapshot()
	p.blocks.Refresh(snap)
	p.links.Configure(now, snap)
	p.owner.Update(context.WithoutCancel(ctx), now, snap, p.steer.Members())
}

func (p *process) tick(_ context.Context, now time.Time) {
	p.owner.Tick(now)
	p.links.Refill(now)
}

// slowTick renews ownership also without a new view, and drops what is no longer needed.
func (p *process) slowTick(ctx context.Context, now time.Time) {
	p.refresh(ctx, now)
	p.proxy.Tick()
	keep := map[string]bool{}
	for _, m := range p.steer.Members() {
		keep[m.GetPeerAddress()] = true
	}
	if a := p.steer.Attached(); a != "" && len(keep) > 0 {
		keep[a] = true
		p.pool.CloseExcept(keep)
	}
}

// state is the dump of an entryd.
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
		Host: self.GetHost(), Incarnation: p.incarnation, Leaving: self.GetLeaving(), Ready: p.steer.Ready(),
		Attached: p.steer.Attached(), ConfigHash: p.steer.Hash(), InFlight: p.caller.InFlight(),
		RunRecords: p.book.Len(), Dispatched: p.owner.Dispatches().Len(), Sites: p.owner.States(),
		Links: p.links.Usages(), Shifts: p.proxy.Ledger().Counts(), Members: p.steer.Members(),
	}
}

var (
	errNotReady = errors.New("no configuration has been loaded yet")
	errLeaving  = errors.New("the process is stopping")
	errStopped  = errors.New("stopped")
)

// Ready implements admin.Source.
func (p *process) Ready() error {
	p.mu.Lock()
	leaving := p.self.GetLeaving()
	p.mu.Unlock()
	switch {
	case leaving:
		return errLeaving
	case !p.steer.Ready():
		return errNotReady
	default:
		return nil
	}
}

// stopPoll is the time between two looks at what is left.
const stopPoll = 50 * time.Millisecond

// stop ends the process without cutting a request: it says that it leaves, serves on while
// callers' look-ups run out, lets its sites be claimed, and passes its records on.
func (p *process) stop(ctx context.Context, s *Settings) error {
	cut, release := secondSignal(ctx)
	defer release()
	p.log.Info("stopping", "inFlight", p.caller.InFlight())
	p.mu.Lock()
	p.self.Leaving = true
	p.self.Revision++
	p.mu.Unlock()
	p.owner.StopAcquiring()
	p.steer.Kick()
	deadline := stopDeadline(time.Now(), s.StopMillis)
	p.waitUntil(cut, deadline, time.Now().Add(time.Duration(s.LameDuckMillis)*time.Millisecond), func() bool { return false })
	p.caller.Stop()
	p.book.Stop()
	p.waitUntil(cut, deadline, time.Time{}, func() bool {
		return p.caller.InFlight() == 0 && p.owner.InFlight() == 0 && p.data.Active() == 0
	})
	p.bequeath(ctx)
	p.log.Info("idle", "inFlight", p.caller.InFlight())
	return errStopped
}

func stopDeadline(now time.Time, millis int) time.Time {
	if millis == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(millis) * time.Millisecond)
}

// waitUntil waits until done, until the time, or until the stop is forced.
func (p *process) waitUntil(cut <-chan struct{}, deadline, until time.Time, done func() bool) {
	t := time.NewTicker(stopPoll)
	defer t.Stop()
	for !done() {
		select {
		case <-cut:
			return
		case now := <-t.C:
			over := !deadline.IsZero() && now.After(deadline)
			if over || (!until.IsZero() && now.After(until)) {
				return
			}
		}
	}
}

// bequeathTimeout bounds the passing on of records to one peer.
const bequeathTimeout = 5 * time.Second

// bequeath passes the run records to peers, so that used keys keep their answer and unused ones
// become a true "not run".
func (p *process) bequeath(ctx context.Context) {
	book := p.book.Export()
	for _, m := range p.proxy.RankedHeirs(p.incarnation) {
		ctx, cancel := context.WithTimeout(ctx, bequeathTimeout)
		err := p.peers.Inherit(ctx, m, book)
		cancel()
		p.log.Info("bequeathed", "peer", m.GetHost(), "records", len(book.GetRecords()), "err", err)
	}
}
