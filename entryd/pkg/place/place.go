// Package place orders the sites that may serve a request: first the sites of the entry host's data
// centre and region by available capacity, then those of other regions by latency and available
// capacity.
package place

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"rosemarygrade.dev/entryd/pkg/flow"
	"rosemarygrade.dev/lib/pkg/model"
)

// Parameters of the order of sites.
const (
	// freshFor is the age up to which a reported load counts in full. After that, the
	// reported available capacity is reduced in proportion to the age, until staleAfter.
	freshFor = time.Second
	// staleAfter is the age from which a reported load is ignored.
	staleAfter = 10 * time.Second
	// unknownAvailable is the share of slots assumed to be available at a site without a recent
	// load report.
	unknownAvailable = 0.05
	// ownDataCentreMargin is how much more available capacity another site of the region must have
	// to come before the site of the local data centre. The margin doesn't apply if the
	// local site has no available capacity.
	ownDataCentreMargin = 0.25
	// minBackoff and maxBackoff bound the backoff after a rejection by a site of another region.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Loads holds the latest reported load of each site. It is safe for concurrent use.
type Loads struct {
	mu    sync.Mutex
	sites map[model.SiteID]*siteLoad
}

type siteLoad struct {
	load         flow.Load
	reportedAt   time.Time
	sent         int
	backoffUntil time.Time
	backoff      time.Duration
}

// NewLoads returns Loads without any site.
func NewLoads() *Loads { return &Loads{sites: map[model.SiteID]*siteLoad{}} }

func (l *Loads) site(id model.SiteID) *siteLoad {
	s := l.sites[id]
	if s == nil {
		s = &siteLoad{}
		l.sites[id] = s
	}
	return s
}

// Observe records a load that a site's owner reported.
func (l *Loads) Observe(now time.Time, id model.SiteID, load flow.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.site(id)
	s.load, s.reportedAt, s.sent = load, now, 0
}

// Sent counts a request sent to a site. Requests sent since the last report reduce the available
// capacity, so that a burst is spread over several sites.
func (l *Loads) Sent(id model.SiteID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.site(id).sent++
}

// Rejected starts a backoff for a site of another region, during which Order omits the site. The
// backoff doubles with each consecutive rejection and is at least retryAfter, up to maxBackoff.
func (l *Loads) Rejected(now time.Time, id model.SiteID, retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.site(id)
	s.backoff = min(maxBackoff, max(minBackoff, retryAfter, 2*s.backoff))
	s.backoffUntil = now.Add(s.backoff)
}

// Accepted resets the length of a site's backoff.
func (l *Loads) Accepted(id model.SiteID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.site(id).backoff = 0
}

// available returns the share of a site's slots that are available by the last report: free slots
// less the requests that were queued at the report or sent since. It decreases with the report's
// age and is negative if there are more such requests than free slots.
func (l *Loads) available(now time.Time, id model.SiteID) float64 {
	s := l.sites[id]
	if s == nil || s.load.Slots == 0 {
		return unknownAvailable
	}
	age := now.Sub(s.reportedAt)
	if age >= staleAfter {
		return unknownAvailable
	}
	share := float64(s.load.Free-s.load.Queued-s.sent) / float64(s.load.Slots)
	if age > freshFor && share > 0 {
		share *= 1 - float64(age)/float64(staleAfter)
	}
	return share
}

func (l *Loads) inBackoff(now time.Time, id model.SiteID) bool {
	s := l.sites[id]
	return s != nil && now.Before(s.backoffUntil)
}

// Location is the data centre and region of an entry host.
type Location struct {
	DataCentre string
	Region     string
}

// Candidate is a site that a request may be sent to.
type Candidate struct {
	Site *model.Site
	// OtherRegion reports whether the site is outside the region of the entry host.
	OtherRegion bool
	// Reason is one of the Reason constants.
	Reason string
}

// Reasons why a site is a candidate.
const (
	ReasonOwnDataCentre = "ownDataCentre"
	ReasonOwnRegion     = "ownRegion"
	ReasonOtherRegion   = "otherRegion"
)

// Order returns the candidate sites for a request, the best first. It omits sites without slots for
// new requests, and sites of other regions that are in backoff.
func Order(now time.Time, snap *model.Snapshot, l *Loads, at Location, service string) []Candidate {
	l.mu.Lock()
	defer l.mu.Unlock()
	var near, far []Candidate
	for _, s := range snap.SitesOf(service) {
		switch {
		case s.Slots() == 0:
		case s.ID().DataCentre == at.DataCentre:
			near = append(near, Candidate{Site: s, Reason: ReasonOwnDataCentre})
		case s.Region() == at.Region:
			near = append(near, Candidate{Site: s, Reason: ReasonOwnRegion})
		case !l.inBackoff(now, s.ID()):
			far = append(far, Candidate{Site: s, OtherRegion: true, Reason: ReasonOtherRegion})
		}
	}
	slices.SortStableFunc(near, func(a, b Candidate) int {
		return cmp.Compare(l.nearScore(now, b), l.nearScore(now, a))
	})
	slices.SortStableFunc(far, func(a, b Candidate) int {
		latencyA, latencyB := latencyTo(snap, at.Region, a), latencyTo(snap, at.Region, b)
		return cmp.Or(cmp.Compare(latencyA, latencyB), cmp.Compare(l.available(now, b.Site.ID()), l.available(now, a.Site.ID())))
	})
	return append(near, far...)
}

func (l *Loads) nearScore(now time.Time, c Candidate) float64 {
	share := l.available(now, c.Site.ID())
	if c.Reason == ReasonOwnDataCentre && share > 0 {
		return share + ownDataCentreMargin
	}
	return share
}

func latencyTo(snap *model.Snapshot, from string, c Candidate) time.Duration {
	latency, ok := snap.Latency(from, c.Site.Region())
	if !ok {
		return time.Hour
	}
	return latency
}

// MoveToFront returns the candidates with those of a region first, for a request that a traffic
// shift moves to the region.
func MoveToFront(candidates []Candidate, region string) []Candidate {
	out := make([]Candidate, 0, len(candidates))
	for _, c := range candidates {
		if c.Site.Region() == region {
			out = append(out, c)
		}
	}
	for _, c := range candidates {
		if c.Site.Region() != region {
			out = append(out, c)
		}
	}
	return out
}
