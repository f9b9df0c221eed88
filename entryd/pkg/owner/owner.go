// Package owner runs the sites that this process owns. Only a site's owner dispatches to its
// backend servers, so it knows their in-flight work without waiting for reports.
package owner

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"rosemarygrade.dev/entryd/pkg/flow"
	"rosemarygrade.dev/entryd/pkg/queue"
	"rosemarygrade.dev/entryd/pkg/server"
	"rosemarygrade.dev/lib/pkg/model"
	"rosemarygrade.dev/lib/pkg/peerpb"
	"rosemarygrade.dev/lib/pkg/sleep"
)

// Rules of a change of owner.
const (
	// lostKeep is how long a site is served on after the view named another owner that did not claim it.
	lostKeep = 5 * time.Second
	// reclaimPause is how long a site that was claimed is not claimed back.
	reclaimPause = time.Second
	// takeoverShare is the share of slots that is used while a silent owner's requests may still run.
	takeoverShare = 0.5
	// maxTakeover bounds that time.
	maxTakeover = 5 * time.Second
	// claimTimeout bounds one claim.
	claimTimeout = 500 * time.Millisecond
	// claimPeers is how many other candidates are asked.
	claimPeers = 3
	// foreignPoll is the time between two questions for a previous owner's in-flight work.
	foreignPoll = 200 * time.Millisecond
)

// ServerLoad is a previous owner's work at a server.
type ServerLoad struct {
	Address  string
	InFlight int
}

// Released is what a peer answers to a claim.
type Released struct {
	Owned   bool
	Servers []ServerLoad
}

// Acquirer asks a peer for a site.
type Acquirer interface {
	// Acquire takes a site over from a peer.
	Acquire(ctx context.Context, peer *peerpb.Member, id model.SiteID) (Released, error)
}

// Owner is safe for concurrent use.
type Owner struct {
	incarnation uint64
	client      *server.Client
	claimer     Acquirer
	runs        *Runs
	guard       *Guard
	log         *slog.Logger

	mu      sync.Mutex
	sites   map[model.SiteID]*Site
	snap    *model.Snapshot
	stopped bool

	directories Directories
}

// New returns the owner of no site.
func New(now time.Time, incarnation uint64, client *server.Client, claimer Acquirer, log *slog.Logger) *Owner {
	return &Owner{
		incarnation: incarnation, client: client, claimer: claimer, runs: NewRuns(), guard: NewGuard(now), log: log,
		sites: map[model.SiteID]*Site{}, snap: model.NewSnapshot(nil),
	}
}

// Directories returns the directory of owners, so that requests are sent by the same one.
func (o *Owner) Directories() *Directories { return &o.directories }

// Guard returns the guard that holds dispatch back after a suspension.
func (o *Owner) Guard() *Guard { return o.guard }

// Dispatches returns the record of dispatched and voided requests.
func (o *Owner) Dispatches() *Runs { return o.runs }

// Serve brings a request to a server of a site that this process owns.
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

// Update takes in configuration and membership and starts and ends ownership accordingly.
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
			s = newSite(id, site.Region(), o.client, o.runs, o.guard)
			o.sites[id] = s
		}
		s.setServers(now, site.Servers())
		if !mine {
			s.lose(now)
			continue
		}
		if s.wants(now) {
			go o.claim(ctx, s, snap.Service(id.Service), dir.Others(site, claimPeers))
		}
	}
	for id, s := range o.sites {
		if snap.Site(id) == nil {
			s.setServers(now, nil)
		}
	}
}

// wants tells whether a claim should start, and marks it started.
func (s *Site) wants(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase.owned {
		s.phase.since = time.Time{}
		return false
	}
	if s.phase.claiming || now.Sub(s.phase.since) < reclaimPause {
		return false
	}
	s.phase.claiming = true
	return true
}

// lose says that the view names another owner. The site is served on until that one claims it,
// so that no request falls between the two.
func (s *Site) lose(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.phase.owned {
		return
	}
	if s.phase.since.IsZero() {
		s.phase.since = now
	}
	if now.Sub(s.phase.since) > lostKeep {
		s.release(now)
	}
}

// release ends ownership. The lock is held.
func (s *Site) release(now time.Time) {
	s.phase = phase{since: now}
	s.flush(now)
}

// claim asks the other candidates for the site, and then owns it.
func (o *Owner) claim(ctx context.Context, s *Site, svc *model.Service, peers []*peerpb.Member) {
	var previous *peerpb.Member
	unheard := len(peers) == 0
	for _, p := range peers {
		got, err := o.ask(ctx, p, s.id)
		if err != nil {
			unheard = true
			continue
		}
		s.setForeign(got.Servers)
		if got.Owned || len(got.Servers) > 0 {
			previous = p
		}
	}
	now := time.Now()
	s.win(now, previous != nil && !unheard, takeover(svc))
	o.log.Info("owned", "site", s.id.String(), "from", previous.GetHost(), "allHeard", !unheard)
	if previous != nil {
		o.follow(ctx, s, previous)
	}
}

// takeover is how long a silent owner's requests may still run, as far as it is waited for.
func takeover(svc *model.Service) time.Duration {
	if svc == nil {
		return maxTakeover
	}
	return min(maxTakeover, svc.Deadline())
}

func (o *Owner) ask(ctx context.Context, p *peerpb.Member, id model.SiteID) (Released, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return o.claimer.Acquire(ctx, p, id)
}

// win starts ownership. Where the previous owner has not told its work, some slots are left to it.
func (s *Site) win(now time.Time, told bool, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.phase = phase{owned: true}
	s.queue.SetLimit(1)
	if !told {
		s.queue.SetLimit(takeoverShare)
		s.phase.fullAt = now.Add(wait)
	}
	s.pump(now)
}

func (s *Site) setForeign(servers []ServerLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range servers {
		s.queue.SetForeign(v.Address, v.InFlight)
	}
	s.pump(time.Now())
}

// follow asks the previous owner for its remaining work until there is none.
func (o *Owner) follow(ctx context.Context, s *Site, p *peerpb.Member) {
	for ctx.Err() == nil {
		sleep.For(ctx, foreignPoll)
		got, err := o.ask(ctx, p, s.id)
		if err != nil {
			// A process that is gone has closed its connections, which cancels its requests.
			sleep.For(ctx, maxTakeover)
			s.clearForeign()
			return
		}
		s.clearForeign()
		s.setForeign(got.Servers)
		if len(got.Servers) == 0 {
			return
		}
	}
}

func (s *Site) clearForeign() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.queue.Servers() {
		s.queue.SetForeign(v.Address, 0)
	}
}

// Release serves a peer's claim: this process stops dispatching for the site and tells its work.
func (o *Owner) Release(now time.Time, id model.SiteID) Released {
	o.mu.Lock()
	s := o.sites[id]
	o.mu.Unlock()
	if s == nil {
		return Released{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Released{Owned: s.phase.owned}
	if s.phase.owned {
		s.release(now)
		o.log.Info("released", "site", id.String())
	}
	for _, v := range s.queue.Servers() {
		if v.InFlight > 0 {
			c.Servers = append(c.Servers, ServerLoad{Address: v.Address, InFlight: v.InFlight})
		}
	}
	return c
}

// Tick advances every site.
func (o *Owner) Tick(now time.Time) {
	o.guard.Tick(now)
	for _, s := range o.all() {
		s.tick(now)
	}
}

func (o *Owner) all() []*Site {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]*Site, 0, len(o.sites))
	for _, s := range o.sites {
		out = append(out, s)
	}
	return out
}

// Load returns the present load of a site that this process owns.
func (o *Owner) Load(id model.SiteID) (flow.Load, bool) {
	o.mu.Lock()
	s := o.sites[id]
	o.mu.Unlock()
	if s == nil {
		return flow.Load{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Load(), s.phase.owned
}

// StopAcquiring says that the process takes no site any more. Sites are served until they are claimed.
func (o *Owner) StopAcquiring() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopped = true
}

// InFlight returns how many requests are at servers or wait, over all sites.
func (o *Owner) InFlight() int {
	n := 0
	for _, s := range o.all() {
		s.mu.Lock()
		n += s.queue.InFlight() + len(s.waiting)
		s.mu.Unlock()
	}
	return n
}

// Holds returns the in-flight work at servers that take no new work, by what stops them.
func (o *Owner) Holds() []*peerpb.Hold {
	o.mu.Lock()
	snap := o.snap
	o.mu.Unlock()
	sums := map[model.Exclusion]uint32{}
	for _, s := range o.all() {
		s.mu.Lock()
		for _, v := range s.queue.Servers() {
			for _, stop := range snap.Exclusions(v.Address) {
				sums[stop] += uint32(v.InFlight)
			}
		}
		s.mu.Unlock()
	}
	var out []*peerpb.Hold
	for stop, n := range sums {
		if n > 0 {
			out = append(out, &peerpb.Hold{Kind: stop.Kind, Name: stop.Name, InFlight: n})
		}
	}
	slices.SortFunc(out, func(a, b *peerpb.Hold) int {
		return cmp.Or(cmp.Compare(a.GetKind(), b.GetKind()), cmp.Compare(a.GetName(), b.GetName()))
	})
	return out
}

// SiteState is what a state dump shows of a site.
type SiteState struct {
	Site    string             `json:"site"`
	Owned   bool               `json:"owned"`
	Load    flow.Load          `json:"load"`
	Held    map[string]int     `json:"heldByRegion"`
	Served  uint64             `json:"served"`
	Hedged  uint64             `json:"hedged"`
	TailMs  float64            `json:"tailMillis"`
	Servers []queue.ServerLoad `json:"servers"`
}

const millisPerSecond = 1000

// States returns the state of every site.
func (o *Owner) States() []SiteState {
	sites := o.all()
	out := make([]SiteState, 0, len(sites))
	for _, s := range sites {
		s.mu.Lock()
		out = append(out, SiteState{
			Site: s.id.String(), Owned: s.phase.owned, Load: s.queue.Load(), Held: s.queue.Held(),
			Served: s.served, Hedged: s.hedged, TailMs: s.queue.Tail(time.Now()).Seconds() * millisPerSecond,
			Servers: s.queue.Servers(),
		})
		s.mu.Unlock()
	}
	return out
}
