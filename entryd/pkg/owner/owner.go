// Package owner serves the requests of the sites that this process owns. Only a site's owner sends
// requests to its backend servers, so it counts their requests in flight itself and needs no
// reports.
package owner

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"rosemarygrade.dev/entryd/pkg/flow"
	"rosemarygrade.dev/entryd/pkg/queue"
	"rosemarygrade.dev/entryd/pkg/server"
	"rosemarygrade.dev/lib/pkg/model"
	"rosemarygrade.dev/lib/pkg/peerpb"
	"rosemarygrade.dev/lib/pkg/sleep"
)

// Timing and limits of a change of owner.
const (
	// lostOwnershipTimeout is how long a former owner still serves a site that the new owner has not acquired.
	lostOwnershipTimeout = 5 * time.Second
	// reacquireDelay is the delay before a released site may be acquired again.
	reacquireDelay = time.Second
	// failoverShare is the share of slots in use while requests of an unreachable previous owner may still run.
	failoverShare = 0.5
	// maxFailoverWait bounds the time during which failoverShare applies.
	maxFailoverWait = 5 * time.Second
	// acquireTimeout bounds one call to a peer.
	acquireTimeout = 500 * time.Millisecond
	// acquirePeers is how many other candidates are asked to release a site.
	acquirePeers = 3
	// otherInFlightPollInterval is the interval between polls of a previous owner's requests in flight.
	otherInFlightPollInterval = 200 * time.Millisecond
)

// ServerLoad is the number of a previous owner's requests in flight at a server.
type ServerLoad struct {
	Address  string
	InFlight int
}

// Released is a peer's response to a call that acquires a site's ownership.
type Released struct {
	// Owned reports whether the peer owned the site until this call.
	Owned bool
	// Servers lists the servers at which the peer still has requests in flight.
	Servers []ServerLoad
}

// Acquirer acquires the ownership of sites from peers.
type Acquirer interface {
	// Acquire asks a peer to stop dispatching for a site and to report its requests in flight.
	Acquire(ctx context.Context, peer *peerpb.Member, id model.SiteID) (Released, error)
}

// Owner holds the sites that this process owns or owned. It is safe for concurrent use.
type Owner struct {
	incarnation uint64
	client      *server.Client
	acquirer    Acquirer
	dispatches  *Dispatches
	guard       *Guard
	log         *slog.Logger

	mu      sync.Mutex
	sites   map[model.SiteID]*Site
	snap    *model.Snapshot
	stopped bool

	directories DirectoryCache
}

// New returns an Owner without sites. The incarnation identifies this process among the members. Now counts as the first tick.
func New(now time.Time, incarnation uint64, client *server.Client, acquirer Acquirer, log *slog.Logger) *Owner {
	return &Owner{
		incarnation: incarnation, client: client, acquirer: acquirer, dispatches: NewDispatches(), guard: NewGuard(now), log: log,
		sites: map[model.SiteID]*Site{}, snap: model.NewSnapshot(nil),
	}
}

// Directories returns the cached directory of owners, so that request routing uses the same owners
// as this package.
func (o *Owner) Directories() *DirectoryCache { return &o.directories }

// Guard returns the guard that blocks dispatch after the process was suspended.
func (o *Owner) Guard() *Guard { return o.guard }

// Dispatches returns the record of requests that were dispatched or cancelled before dispatch.
func (o *Owner) Dispatches() *Dispatches { return o.dispatches }

// Serve sends a request to a server of a site that this process owns, and writes the response to
// the sink. It returns a rejection of kind flow.RejectedNotOwner if this process doesn't own the
// site.
func (o *Owner) Serve(ctx context.Context, req *flow.Request, sink flow.Sink) flow.Result {
	o.mu.Lock()
	s := o.sites[model.SiteID{Service: req.Service, DataCentre: req.DataCentre}]
	svc := o.snap.Service(req.Service)
	o.mu.Unlock()
	if s == nil || svc == nil {
		return flow.NotRun(flow.RejectedNotOwner, "this process does not own the site")
	}
	return s.serve(ctx, svc, req, sink)
}

// Update applies the configuration and the membership: it acquires the sites that this process is
// to own, and marks the other sites that it owns as lost.
func (o *Owner) Update(ctx context.Context, now time.Time, snap *model.Snapshot, members []*peerpb.Member) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.snap = snap
	dir := o.directories.For(snap, members)
	for id, site := range snap.Sites() {
		mine := !o.stopped && dir.Owner(site).GetIncarnation() == o.incarnation
		s := o.sites[id]
		if s == nil {
			if !mine {
				continue
			}
			s = newSite(id, site.Region(), o.client, o.dispatches, o.guard)
			o.sites[id] = s
		}
		s.setServers(now, site.Servers())
		if !mine {
			s.loseOwnership(now)
			continue
		}
		if s.startAcquiring(now) {
			go o.acquireOwnership(ctx, s, snap.Service(id.Service), dir.OtherCandidates(site, acquirePeers))
		}
	}
	for id, s := range o.sites {
		if snap.Site(id) == nil {
			s.setServers(now, nil)
		}
	}
}

// startAcquiring reports whether to acquire ownership, and marks the acquisition as started.
func (s *Site) startAcquiring(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ownership.owned {
		s.ownership.changedAt = time.Time{}
		return false
	}
	if s.ownership.acquiring || now.Sub(s.ownership.changedAt) < reacquireDelay {
		return false
	}
	s.ownership.acquiring = true
	return true
}

// loseOwnership records that the membership view names another owner. This process serves the site
// until the new owner acquires it or lostOwnershipTimeout has passed, so that no request is
// rejected between the two owners.
func (s *Site) loseOwnership(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ownership.owned {
		return
	}
	if s.ownership.changedAt.IsZero() {
		s.ownership.changedAt = now
	}
	if now.Sub(s.ownership.changedAt) > lostOwnershipTimeout {
		s.release(now)
	}
}

// release ends ownership. It requires that s.mu is held.
func (s *Site) release(now time.Time) {
	s.ownership = ownership{changedAt: now}
	s.flush(now)
}

// acquireOwnership asks the other candidates to release the site and then starts ownership, even if
// some of them did not respond.
func (o *Owner) acquireOwnership(ctx context.Context, s *Site, svc *model.Service, peers []*peerpb.Member) {
	var previous []*previousOwner
	var hosts []string
	unreachable := len(peers) == 0
	for _, p := range peers {
		got, err := o.acquireFrom(ctx, p, s.id)
		if err != nil {
			unreachable = true
			continue
		}
		if got.Owned || len(got.Servers) > 0 {
			previous = append(previous, &previousOwner{member: p, servers: got.Servers})
			hosts = append(hosts, p.GetHost())
		}
	}
	s.setOtherInFlight(previous)
	now := time.Now()
	s.startOwning(now, len(previous) > 0 && !unreachable, failoverWait(svc))
	o.log.Info("acquired ownership of a site", "site", s.id.String(), "from", strings.Join(hosts, ","), "allHeard", !unreachable)
	o.pollPrevious(ctx, s, previous)
}

// previousOwner is a peer that owned a site, with its requests in flight as last reported.
type previousOwner struct {
	member  *peerpb.Member
	servers []ServerLoad
	// lostAt is the time of the first poll since the last report that failed.
	lostAt time.Time
}

// hasEnded updates the peer's requests in flight by the result of a poll, and reports whether it has none left. If the process
// has ended, its connections to the servers are closed, which cancels its requests; they count as in flight for maxFailoverWait,
// until the servers have had time to stop them.
func (p *previousOwner) hasEnded(now time.Time, got Released, err error) bool {
	if err == nil {
		p.servers, p.lostAt = got.Servers, time.Time{}
		return len(p.servers) == 0
	}
	if p.lostAt.IsZero() {
		p.lostAt = now
	}
	return now.Sub(p.lostAt) >= maxFailoverWait
}

// failoverWait returns how long failoverShare applies: the service's deadline, after which no
// request of an unreachable previous owner runs, but at most maxFailoverWait.
func failoverWait(svc *model.Service) time.Duration {
	if svc == nil {
		return maxFailoverWait
	}
	return min(maxFailoverWait, svc.Deadline())
}

func (o *Owner) acquireFrom(ctx context.Context, p *peerpb.Member, id model.SiteID) (Released, error) {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	return o.acquirer.Acquire(ctx, p, id)
}

// startOwning starts ownership. If the previous owner's requests in flight are not reported, only
// failoverShare of the slots is used during the wait.
func (s *Site) startOwning(now time.Time, reported bool, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ownership = ownership{owned: true}
	s.queue.SetSlotShare(1)
	if !reported {
		s.queue.SetSlotShare(failoverShare)
		s.ownership.fullShareAt = now.Add(wait)
	}
	s.dispatch(now)
}

// setOtherInFlight sets the requests in flight at each server that were sent by previous owners.
func (s *Site) setOtherInFlight(previous []*previousOwner) {
	inFlight := map[string]int{}
	for _, p := range previous {
		for _, v := range p.servers {
			inFlight[v.Address] += v.InFlight
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.queue.Servers() {
		s.queue.SetOtherInFlight(v.Address, inFlight[v.Address])
	}
	s.dispatch(time.Now())
}

// pollPrevious polls the previous owners' requests in flight until none of them has any.
func (o *Owner) pollPrevious(ctx context.Context, s *Site, previous []*previousOwner) {
	for len(previous) > 0 {
		sleep.For(ctx, otherInFlightPollInterval)
		if ctx.Err() != nil {
			return
		}
		previous = slices.DeleteFunc(previous, func(p *previousOwner) bool {
			got, err := o.acquireFrom(ctx, p.member, s.id)
			return p.hasEnded(time.Now(), got, err)
		})
		s.setOtherInFlight(previous)
	}
}

// Release handles a peer's call to acquire a site: this process stops dispatching for the site and
// returns its requests in flight.
func (o *Owner) Release(now time.Time, id model.SiteID) Released {
	o.mu.Lock()
	s := o.sites[id]
	o.mu.Unlock()
	if s == nil {
		return Released{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Released{Owned: s.ownership.owned}
	if s.ownership.owned {
		s.release(now)
		o.log.Info("released ownership of a site", "site", id.String())
	}
	for _, v := range s.queue.Servers() {
		if v.InFlight > 0 {
			out.Servers = append(out.Servers, ServerLoad{Address: v.Address, InFlight: v.InFlight})
		}
	}
	return out
}

// Tick updates the guard, removes the limit of failoverShare from sites for which it has expired,
// and dispatches queued requests.
func (o *Owner) Tick(now time.Time) {
	o.guard.Tick(now)
	for _, s := range o.allSites() {
		s.tick(now)
	}
}

func (o *Owner) allSites() []*Site {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]*Site, 0, len(o.sites))
	for _, s := range o.sites {
		out = append(out, s)
	}
	return out
}

// Load returns the load of a site, and reports whether this process owns the site.
func (o *Owner) Load(id model.SiteID) (flow.Load, bool) {
	o.mu.Lock()
	s := o.sites[id]
	o.mu.Unlock()
	if s == nil {
		return flow.Load{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Load(), s.ownership.owned
}

// StopAcquiring ends the acquisition of sites when the process shuts down. Owned sites are served
// until a peer acquires them or lostOwnershipTimeout has passed.
func (o *Owner) StopAcquiring() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopped = true
}

// InFlight returns how many requests of all sites are queued or in flight at servers.
func (o *Owner) InFlight() int {
	n := 0
	for _, s := range o.allSites() {
		s.mu.Lock()
		n += s.queue.InFlight() + len(s.waiting)
		s.mu.Unlock()
	}
	return n
}

// Holds returns, for each object that excludes servers from new requests, how many requests are
// still in flight at these servers. They are sorted by kind and name.
func (o *Owner) Holds() []*peerpb.Hold {
	o.mu.Lock()
	snap := o.snap
	o.mu.Unlock()
	sums := map[model.Exclusion]uint32{}
	for _, s := range o.allSites() {
		s.mu.Lock()
		for _, v := range s.queue.Servers() {
			for _, e := range snap.Exclusions(v.Address) {
				sums[e] += uint32(v.InFlight)
			}
		}
		s.mu.Unlock()
	}
	var out []*peerpb.Hold
	for e, n := range sums {
		if n > 0 {
			out = append(out, &peerpb.Hold{Kind: e.Kind, Name: e.Name, InFlight: n})
		}
	}
	slices.SortFunc(out, func(a, b *peerpb.Hold) int {
		return cmp.Or(cmp.Compare(a.GetKind(), b.GetKind()), cmp.Compare(a.GetName(), b.GetName()))
	})
	return out
}

// SiteState is the state of a site in a state dump.
type SiteState struct {
	Site             string             `json:"site"`
	Owned            bool               `json:"owned"`
	Load             flow.Load          `json:"load"`
	AdmittedByRegion map[string]int     `json:"heldByRegion"`
	Served           uint64             `json:"served"`
	Hedged           uint64             `json:"hedged"`
	TailMs           float64            `json:"tailMillis"`
	Servers          []queue.ServerLoad `json:"servers"`
}

const millisPerSecond = 1000

// States returns the state of every site that this process owns or owned.
func (o *Owner) States() []SiteState {
	sites := o.allSites()
	out := make([]SiteState, 0, len(sites))
	for _, s := range sites {
		s.mu.Lock()
		out = append(out, SiteState{
			Site: s.id.String(), Owned: s.ownership.owned, Load: s.queue.Load(), AdmittedByRegion: s.queue.AdmittedByRegion(),
			Served: s.served, Hedged: s.hedged, TailMs: s.queue.TailLatency(time.Now()).Seconds() * millisPerSecond,
			Servers: s.queue.Servers(),
		})
		s.mu.Unlock()
	}
	return out
}
