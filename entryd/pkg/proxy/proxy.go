// Package proxy brings a caller's request to a site: it places it, sends it to the site's owner,
// and tries again where that is safe.
package proxy

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"rosemarygrade.dev/entryd/pkg/budget"
	"rosemarygrade.dev/entryd/pkg/dedup"
	"rosemarygrade.dev/entryd/pkg/flow"
	"rosemarygrade.dev/entryd/pkg/owner"
	"rosemarygrade.dev/entryd/pkg/place"
	"rosemarygrade.dev/entryd/pkg/shift"
	"rosemarygrade.dev/lib/pkg/model"
	"rosemarygrade.dev/lib/pkg/peerpb"
	"rosemarygrade.dev/lib/pkg/sleep"
)

// Rules of an attempt.
const (
	// retryPause is the time between two rounds while owners change.
	retryPause = 50 * time.Millisecond
	// voidTimeout bounds the question whether a request can be kept from running.
	voidTimeout = time.Second
)

// Peers sends requests to other entryds.
type Peers interface {
	// Serve sends a request and passes its answer to the sink.
	Serve(ctx context.Context, p *peerpb.Member, req *flow.Request, stage peerpb.Stage, sink flow.Sink) flow.Result
	// Void asks whether a request can be kept from running.
	Void(ctx context.Context, p *peerpb.Member, id string, deadline time.Time) (bool, error)
	// Outcome asks what a peer knows of a key.
	Outcome(ctx context.Context, p *peerpb.Member, key string) (dedup.Known, error)
}

// Views gives the configuration and the members in force.
type Views interface {
	// Snapshot returns the configuration.
	Snapshot() *model.Snapshot
	// Members returns the live members.
	Members() []*peerpb.Member
	// Ready tells whether there are any.
	Ready() bool
}

// Proxy is safe for concurrent use.
type Proxy struct {
	where       place.Location
	incarnation uint64
	views       Views
	owner       *owner.Owner
	peers       Peers
	loads       *place.Loads
	ledger      *shift.Limiter
	book        *dedup.Book
	shelf       *dedup.Shelf
	traces      *Traces
	log         *slog.Logger

	mu      sync.Mutex
	retries map[string]*budget.Budget
}

// Config holds the parts of a proxy.
type Config struct {
	Where       place.Location
	Incarnation uint64
	Views       Views
	Owner       *owner.Owner
	Peers       Peers
	Book        *dedup.Book
	Log         *slog.Logger
}

// New returns a proxy.
func New(c Config) *Proxy {
	return &Proxy{
		where: c.Where, incarnation: c.Incarnation, views: c.Views, owner: c.Owner, peers: c.Peers, book: c.Book, log: c.Log,
		loads: place.NewLoads(), ledger: shift.NewLimiter(), shelf: dedup.NewShelf(), traces: NewTraces(),
		retries: map[string]*budget.Budget{},
	}
}

// Traces returns the recent requests.
func (p *Proxy) Traces() *Traces { return p.traces }

// Ledger returns the counts of shifts.
func (p *Proxy) Ledger() *shift.Limiter { return p.ledger }

// Ready tells whether requests can be placed.
func (p *Proxy) Ready() bool { return p.views.Ready() }

// Route returns the service and the route of a request.
func (p *Proxy) Route(method, path string) (*model.Service, model.Route, bool) {
	return p.views.Snapshot().Route(method, path)
}

// Serve serves a caller's request.
func (p *Proxy) Serve(ctx context.Context, req *flow.Request, sink flow.Sink) flow.Result {
	if !req.Idempotent && req.Key != "" {
		return p.keyed(ctx, req, sink)
	}
	return p.run(ctx, req, sink)
}

// AsOwner implements entry.Handler.
func (p *Proxy) AsOwner(ctx context.Context, req *flow.Request, sink flow.Sink) flow.Result {
	return p.owner.Serve(ctx, req, sink)
}

func (p *Proxy) budget(service string) *budget.Budget {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.retries[service]
	if b == nil {
		b = budget.New()
		p.retries[service] = b
	}
	return b
}

// run places a request and tries sites until one answers.
func (p *Proxy) run(ctx context.Context, req *flow.Request, sink flow.Sink) flow.Result {
	now := time.Now()
	snap := p.views.Snapshot()
	svc := snap.Service(req.Service)
	if svc == nil {
		return flow.NotRun(flow.RefusedNoRoute, "the service is no longer in force")
	}
	p.budget(req.Service).Refill(svc.RetryShare())
	t := p.traces.Begin(now, req)
	r := &round{proxy: p, req: req, sink: sink, trace: t, shifts: snap.ShiftsOf(req.Service, req.Source), taken: map[string]bool{}}
	p.ledger.CountArrival(now, r.shifts)
	res := r.tryAll(ctx)
	t.End(time.Now(), res)
	return res
}

// round is the state of one request while it is tried.
type round struct {
	proxy  *Proxy
	req    *flow.Request
	sink   flow.Sink
	trace  *Trace
	shifts []*model.Shift
	taken  map[string]bool
}

// tryAll offers the request to all sites, again and again while owners change.
func (r *round) tryAll(ctx context.Context) flow.Result {
	for {
		res, again := r.tryOnce(ctx)
		if !again || !sleep.For(ctx, retryPause) {
			return res
		}
	}
}

// tryOnce offers the request to each site once. Again tells that a later round may fare better.
func (r *round) tryOnce(ctx context.Context) (res flow.Result, again bool) {
	p, now := r.proxy, time.Now()
	snap := p.views.Snapshot()
	last := flow.NotRun(flow.RejectedNoServer, "no site has a server that takes new work")
	for _, c := range r.choices(now, snap) {
		if !r.mayLeave(c) {
			r.trace.Add(c, "", "shiftCap")
			continue
		}
		res := r.offer(ctx, snap, c)
		refused, next := r.judge(now, c, res)
		if !next {
			return res, false
		}
		last, again = refused, again || ownerMoves(refused.Kind)
		if ctx.Err() != nil || !r.req.Body.Replayable() {
			return last, false
		}
	}
	return last, again
}

// ownerMoves tells whether a refusal passes once the site has a settled owner.
func ownerMoves(k flow.RejectionKind) bool {
	return k == flow.RejectedNotOwner || k == flow.RejectedConnect
}

// choices orders the sites, those that a shift moves the request to first.
func (r *round) choices(now time.Time, snap *model.Snapshot) []place.Candidate {
	p := r.proxy
	for _, s := range snap.SitesOf(r.req.Service) {
		if l, ok := p.owner.Load(s.ID()); ok {
			p.loads.Observe(now, s.ID(), l)
		}
	}
	out := place.Order(now, snap, p.loads, p.where, r.req.Service)
	for _, sh := range r.shifts {
		if sh.Cap() == 0 || !hasRegion(out, sh.To()) {
			continue
		}
		if r.taken[sh.To()] || p.ledger.Allow(r.shifts, sh.To()) {
			r.taken[sh.To()] = true
			return place.MoveToFront(out, sh.To())
		}
	}
	return out
}

func hasRegion(choices []place.Candidate, region string) bool {
	for _, c := range choices {
		if c.Site.Region() == region {
			return true
		}
	}
	return false
}

// mayLeave takes the right to serve the request in a region other than its caller's, once for each
// region. It makes no difference in which region the caller entered.
func (r *round) mayLeave(c place.Candidate) bool {
	region := c.Site.Region()
	if region == r.req.Source || r.taken[region] {
		return true
	}
	if !r.proxy.ledger.Allow(r.shifts, region) {
		return false
	}
	r.taken[region] = true
	return true
}

// offer sends the request to the owner of a site.
func (r *round) offer(ctx context.Context, snap *model.Snapshot, c place.Candidate) flow.Result {
	p := r.proxy
	m := p.owner.Directories().For(snap, p.views.Members()).Owner(c.Site)
	if m == nil {
		return flow.NotRun(flow.RejectedNotOwner, "no live host can own the site")
	}
	req := *r.req
	req.DataCentre = c.Site.ID().DataCentre
	p.loads.Sent(c.Site.ID())
	if m.GetIncarnation() == p.incarnation {
		return p.owner.Serve(ctx, &req, r.sink)
	}
	res := p.peers.Serve(ctx, m, &req, peerpb.Stage_STAGE_OWNER, r.sink)
	if b, ok := res.(flow.Aborted); ok && !req.Idempotent {
		return p.settle(ctx, m, &req, b)
	}
	return res
}

// settle finds out whether a request whose stream broke can be kept from running.
func (p *Proxy) settle(ctx context.Context, m *peerpb.Member, req *flow.Request, b flow.Aborted) flow.Result {
	if b.HeadSent {
		return b
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), voidTimeout)
	defer cancel()
	voided, err := p.peers.Void(ctx, m, req.ID, req.Deadline)
	if err != nil {
		return flow.Aborted{Reason: b.Reason + "; the owner does not say whether it ran: " + err.Error()}
	}
	if voided {
		return flow.NotRun(flow.RejectedCancelledBeforeDispatch, "voided before dispatch: "+b.Reason)
	}
	return b
}

// judge takes in how an offer ended and tells whether the next site may be tried.
func (r *round) judge(now time.Time, c place.Candidate, res flow.Result) (flow.Rejected, bool) {
	p, id := r.proxy, c.Site.ID()
	switch res := res.(type) {
	case flow.Complete:
		p.observe(now, id, res.Load)
		p.loads.Accepted(id)
		r.trace.Add(c, "", "answered")
		return flow.Rejected{}, false
	case flow.Rejected:
		p.observe(now, id, res.Load)
		if c.OtherRegion {
			p.loads.Rejected(now, id, res.RetryAfter)
		}
		r.trace.Add(c, res.Reason, string(res.Kind))
		return res, res.Outcome == flow.OutcomeNotRun && res.Kind != flow.RejectedCallerDisconnected
	case flow.Aborted:
		r.trace.Add(c, res.Reason, "broken")
		again := r.req.Idempotent && !res.HeadSent && r.req.Body.Replayable() && p.budget(r.req.Service).Spend()
		return flow.Unknown(flow.RefusedBadAnswer, res.Reason), again
	default:
		return flow.Unknown(flow.RefusedBadAnswer, "no result"), false
	}
}

func (p *Proxy) observe(now time.Time, id model.SiteID, l *flow.Load) {
	if l != nil {
		p.loads.Observe(now, id, *l)
	}
}

// Tick drops the state of shifts that are gone.
func (p *Proxy) Tick() {
	present := map[string]bool{}
	for _, name := range p.views.Snapshot().ShiftNames() {
		present[name] = true
	}
	p.ledger.Retain(present)
}
