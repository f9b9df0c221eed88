// Package proxy routes callers' requests: it orders the candidate sites of a request, sends it to
// the process that owns a site, and retries where a retry cannot run the request twice.
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

const (
	// retryDelay is the delay before all sites are tried again while the owner of a site changes.
	retryDelay = 50 * time.Millisecond
	// cancelTimeout bounds a CancelBeforeDispatch call to the owner.
	cancelTimeout = time.Second
)

// Peers calls the entryd processes of other hosts.
type Peers interface {
	// Serve sends a request to a peer and writes the peer's response to the sink.
	Serve(ctx context.Context, p *peerpb.Member, req *flow.Request, stage peerpb.Stage, sink flow.Sink) flow.Result
	// CancelBeforeDispatch cancels a request at its owner and reports whether it was cancelled
	// before dispatch. False means that the request has been dispatched and may have run.
	CancelBeforeDispatch(ctx context.Context, p *peerpb.Member, id string, deadline time.Time) (bool, error)
	// Outcome returns a peer's state of a request key.
	Outcome(ctx context.Context, p *peerpb.Member, key string) (dedup.KeyState, error)
}

// ClusterView provides the current configuration and membership.
type ClusterView interface {
	// Snapshot returns the configuration.
	Snapshot() *model.Snapshot
	// Members returns the alive members.
	Members() []*peerpb.Member
	// Ready reports whether both the configuration and the members have been received.
	Ready() bool
}

// Proxy routes requests to the owners of sites. It is safe for concurrent use.
type Proxy struct {
	location    place.Location
	incarnation uint64
	view        ClusterView
	owner       *owner.Owner
	peers       Peers
	loads       *place.Loads
	shifts      *shift.Limiter
	dedupTable  *dedup.Table
	replicas    *dedup.Replicas
	traces      *Traces
	log         *slog.Logger

	mu           sync.Mutex
	retryBudgets map[string]*budget.Budget
}

// Config holds the dependencies of a Proxy.
type Config struct {
	Location    place.Location
	Incarnation uint64
	View        ClusterView
	Owner       *owner.Owner
	Peers       Peers
	DedupTable  *dedup.Table
	Log         *slog.Logger
}

// New returns a Proxy without retry budgets, shift counts or traces.
func New(c Config) *Proxy {
	return &Proxy{
		location: c.Location, incarnation: c.Incarnation, view: c.View, owner: c.Owner, peers: c.Peers, dedupTable: c.DedupTable, log: c.Log,
		loads: place.NewLoads(), shifts: shift.NewLimiter(), replicas: dedup.NewReplicas(), traces: NewTraces(),
		retryBudgets: map[string]*budget.Budget{},
	}
}

// Traces returns the traces of recent requests.
func (p *Proxy) Traces() *Traces { return p.traces }

// Shifts returns the request counts of traffic shifts.
func (p *Proxy) Shifts() *shift.Limiter { return p.shifts }

// Ready reports whether the configuration and the members, which routing needs, have been received.
func (p *Proxy) Ready() bool { return p.view.Ready() }

// Route returns the service and the route of a request, and whether one matches.
func (p *Proxy) Route(method, path string) (*model.Service, model.Route, bool) {
	return p.view.Snapshot().Route(method, path)
}

// Serve handles a caller's request. A non-idempotent request with a key goes through the
// deduplication table of the process that issued the key.
func (p *Proxy) Serve(ctx context.Context, req *flow.Request, sink flow.Sink) flow.Result {
	if !req.Idempotent && req.Key != "" {
		return p.serveKeyed(ctx, req, sink)
	}
	return p.run(ctx, req, sink)
}

// ServeAsOwner implements entry.Handler: it serves a request for a site that this process owns.
func (p *Proxy) ServeAsOwner(ctx context.Context, req *flow.Request, sink flow.Sink) flow.Result {
	return p.owner.Serve(ctx, req, sink)
}

func (p *Proxy) retryBudget(service string) *budget.Budget {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.retryBudgets[service]
	if b == nil {
		b = budget.New()
		p.retryBudgets[service] = b
	}
	return b
}

// run sends a request to one site after another until one of them accepts it.
func (p *Proxy) run(ctx context.Context, req *flow.Request, sink flow.Sink) flow.Result {
	now := time.Now()
	snap := p.view.Snapshot()
	svc := snap.Service(req.Service)
	if svc == nil {
		return flow.NotRun(flow.RejectedNoRoute, "the service is no longer in force")
	}
	p.retryBudget(req.Service).Refill(svc.RetryShare())
	t := p.traces.Begin(now, req)
	d := &delivery{proxy: p, req: req, sink: sink, trace: t, shifts: snap.ShiftsOf(req.Service, req.Source), shiftedTo: map[string]bool{}}
	p.shifts.CountArrival(now, d.shifts)
	res := d.deliver(ctx)
	t.End(time.Now(), res)
	return res
}

// delivery is the routing state of one request.
type delivery struct {
	proxy  *Proxy
	req    *flow.Request
	sink   flow.Sink
	trace  *Trace
	shifts []*model.Shift
	// shiftedTo holds the regions for which the request has been counted against the shift caps.
	shiftedTo map[string]bool
}

// deliver tries all sites, and repeats this every retryDelay while the owner of a site changes.
func (d *delivery) deliver(ctx context.Context) flow.Result {
	for {
		res, again := d.trySites(ctx)
		if !again || !sleep.For(ctx, retryDelay) {
			return res
		}
	}
}

// trySites tries each site once. The result again reports whether a site may accept the request
// once its owner has changed.
func (d *delivery) trySites(ctx context.Context) (res flow.Result, again bool) {
	p, now := d.proxy, time.Now()
	snap := p.view.Snapshot()
	last := flow.NotRun(flow.RejectedNoServer, "no site has a server that takes new work")
	for _, c := range d.candidates(now, snap) {
		if !d.admitToRegion(c) {
			d.trace.Add(c, "", "shiftCap")
			continue
		}
		res := d.sendToOwner(ctx, snap, c)
		rejected, next := d.handleResult(now, c, res)
		if !next {
			return res, false
		}
		last, again = rejected, again || ownerMayChange(rejected.Kind)
		if ctx.Err() != nil || !d.req.Body.Replayable() {
			return last, false
		}
	}
	return last, again
}

// ownerMayChange reports whether a rejection is temporary because a new owner may take the site over.
func ownerMayChange(k flow.RejectionKind) bool {
	return k == flow.RejectedNotOwner || k == flow.RejectedConnect
}

// candidates returns the sites in order of preference. If a traffic shift moves the request, the
// sites of its target region come first.
func (d *delivery) candidates(now time.Time, snap *model.Snapshot) []place.Candidate {
	p := d.proxy
	for _, s := range snap.SitesOf(d.req.Service) {
		if l, ok := p.owner.Load(s.ID()); ok {
			p.loads.Observe(now, s.ID(), l)
		}
	}
	out := place.Order(now, snap, p.loads, p.location, d.req.Service)
	for _, sh := range d.shifts {
		if sh.Cap() == 0 || !hasRegion(out, sh.To()) {
			continue
		}
		if d.shiftedTo[sh.To()] || p.shifts.Allow(d.shifts, sh.To()) {
			d.shiftedTo[sh.To()] = true
			return place.MoveToFront(out, sh.To())
		}
	}
	return out
}

func hasRegion(candidates []place.Candidate, region string) bool {
	for _, c := range candidates {
		if c.Site.Region() == region {
			return true
		}
	}
	return false
}

// admitToRegion reports whether the shift caps allow the request to be served in the region of a
// site, and counts the request once for each region. The caller's own region is always allowed;
// the region in which the request entered the system does not matter.
func (d *delivery) admitToRegion(c place.Candidate) bool {
	region := c.Site.Region()
	if region == d.req.Source || d.shiftedTo[region] {
		return true
	}
	if !d.proxy.shifts.Allow(d.shifts, region) {
		return false
	}
	d.shiftedTo[region] = true
	return true
}

// sendToOwner sends the request to the process that owns the site.
func (d *delivery) sendToOwner(ctx context.Context, snap *model.Snapshot, c place.Candidate) flow.Result {
	p := d.proxy
	m := p.owner.Directories().For(snap, p.view.Members()).Owner(c.Site)
	if m == nil {
		return flow.NotRun(flow.RejectedNotOwner, "no live host can own the site")
	}
	req := *d.req
	req.DataCentre = c.Site.ID().DataCentre
	p.loads.Sent(c.Site.ID())
	if m.GetIncarnation() == p.incarnation {
		return p.owner.Serve(ctx, &req, d.sink)
	}
	res := p.peers.Serve(ctx, m, &req, peerpb.Stage_STAGE_OWNER, d.sink)
	if aborted, ok := res.(flow.Aborted); ok && !req.Idempotent {
		return p.cancelOrAbort(ctx, m, &req, aborted)
	}
	return res
}

// cancelOrAbort handles a broken stream to the owner. It asks the owner to cancel the request
// before dispatch, and returns a rejection as not run if the owner did so. It returns an aborted
// result if the head of the response was sent, the owner had dispatched the request, or the call to
// the owner failed.
func (p *Proxy) cancelOrAbort(ctx context.Context, m *peerpb.Member, req *flow.Request, aborted flow.Aborted) flow.Result {
	if aborted.HeadSent {
		return aborted
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	cancelled, err := p.peers.CancelBeforeDispatch(ctx, m, req.ID, req.Deadline)
	if err != nil {
		return flow.Aborted{Reason: aborted.Reason + "; the owner does not say whether it ran: " + err.Error()}
	}
	if cancelled {
		return flow.NotRun(flow.RejectedCancelledBeforeDispatch, "voided before dispatch: "+aborted.Reason)
	}
	return aborted
}

// handleResult records the result of sending the request to a site. It returns the rejection and
// whether the next site may be tried.
func (d *delivery) handleResult(now time.Time, c place.Candidate, res flow.Result) (flow.Rejected, bool) {
	p, id := d.proxy, c.Site.ID()
	switch res := res.(type) {
	case flow.Complete:
		p.observe(now, id, res.Load)
		p.loads.Accepted(id)
		d.trace.Add(c, "", "answered")
		return flow.Rejected{}, false
	case flow.Rejected:
		p.observe(now, id, res.Load)
		if c.OtherRegion {
			p.loads.Rejected(now, id, res.RetryAfter)
		}
		d.trace.Add(c, res.Reason, string(res.Kind))
		return res, res.Outcome == flow.OutcomeNotRun && res.Kind != flow.RejectedCallerDisconnected
	case flow.Aborted:
		d.trace.Add(c, res.Reason, "broken")
		again := d.req.Idempotent && !res.HeadSent && d.req.Body.Replayable() && p.retryBudget(d.req.Service).Spend()
		return flow.Unknown(flow.RejectedBadResponse, res.Reason), again
	default:
		return flow.Unknown(flow.RejectedBadResponse, "no result"), false
	}
}

func (p *Proxy) observe(now time.Time, id model.SiteID, l *flow.Load) {
	if l != nil {
		p.loads.Observe(now, id, *l)
	}
}

// Tick deletes the state of shifts that the configuration no longer contains.
func (p *Proxy) Tick() {
	present := map[string]bool{}
	for _, name := range p.view.Snapshot().ShiftNames() {
		present[name] = true
	}
	p.shifts.Retain(present)
}
