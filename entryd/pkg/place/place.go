// Package place decides which sites a request is offered to, and in which order: the own data
// centre, the own region, then other regions by distance and headroom.
package place

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"rosemarygrade.dev/entryd/pkg/flow"
	"rosemarygrade.dev/lib/pkg/model"
)

// Rules of the decision.
const (
	// freshFor is how long a load counts in full; it counts less with age until it counts as unknown.
	freshFor = time.Second
	// unknownAfter is the age at which a load says nothing any more.
	unknownAfter = 10 * time.Second
	// unknownHeadroom is what a site without word is taken to have.
	unknownHeadroom = 0.05
	// homeMargin is how much more headroom a sibling must have before a request leaves its data
	// centre. Where requests wait at home, any sibling that is not known to be full comes first.
	homeMargin = 0.25
	// closedFirst and closedMax bound the time for which a site that refused is not offered more.
	closedFirst = 50 * time.Millisecond
	closedMax   = 2 * time.Second
)

// Loads is what an entryd knows of sites' load. It is safe for concurrent use.
type Loads struct {
	mu    sync.Mutex
	sites map[model.SiteID]*siteView
}

type siteView struct {
	load   flow.Load
	at     time.Time
	sent   int
	closed time.Time
	pause  time.Duration
}

// NewLoads returns an empty view.
func NewLoads() *Loads { return &Loads{sites: map[model.SiteID]*siteView{}} }

func (v *Loads) site(id model.SiteID) *siteView {
	s := v.sites[id]
	if s == nil {
		s = &siteView{}
		v.sites[id] = s
	}
	return s
}

// Observe takes in a load that an owner told.
func (v *Loads) Observe(now time.Time, id model.SiteID, l flow.Load) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.site(id)
	s.load, s.at, s.sent = l, now, 0
}

// Sent counts a request sent since the last word, so that a burst does not all go to one site.
func (v *Loads) Sent(id model.SiteID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.site(id).sent++
}

// Rejected closes a site to overflow for a time that doubles with each refusal.
func (v *Loads) Rejected(now time.Time, id model.SiteID, retryAfter time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.site(id)
	s.pause = min(closedMax, max(closedFirst, retryAfter, 2*s.pause))
	s.closed = now.Add(s.pause)
}

// Accepted opens a site again.
func (v *Loads) Accepted(id model.SiteID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.site(id).pause = 0
}

// headroom returns the share of a site's slots that seem free, less what waits; it shrinks with age.
func (v *Loads) headroom(now time.Time, id model.SiteID) float64 {
	s := v.sites[id]
	if s == nil || s.load.Slots == 0 {
		return unknownHeadroom
	}
	age := now.Sub(s.at)
	if age >= unknownAfter {
		return unknownHeadroom
	}
	room := float64(s.load.Free-s.load.Queued-s.sent) / float64(s.load.Slots)
	if age > freshFor && room > 0 {
		room *= 1 - float64(age)/float64(unknownAfter)
	}
	return room
}

func (v *Loads) isClosed(now time.Time, id model.SiteID) bool {
	s := v.sites[id]
	return s != nil && now.Before(s.closed)
}

// Location is the place of an entry host.
type Location struct {
	DataCentre string
	Region     string
}

// Candidate is one site to try.
type Candidate struct {
	Site *model.Site
	// OtherRegion tells that the site is in another region.
	OtherRegion bool
	// Reason names the rule that placed the site here.
	Reason string
}

// Rules named in Choice.Why.
const (
	WhyHome    = "ownDataCentre"
	WhySibling = "ownRegion"
	WhyAway    = "otherRegion"
)

// Order returns the sites to offer a request to. Sites without a server that takes new work are left out.
func Order(now time.Time, snap *model.Snapshot, v *Loads, where Location, service string) []Candidate {
	v.mu.Lock()
	defer v.mu.Unlock()
	var near, away []Candidate
	for _, s := range snap.SitesOf(service) {
		switch {
		case s.Slots() == 0:
		case s.ID().DataCentre == where.DataCentre:
			near = append(near, Candidate{Site: s, Reason: WhyHome})
		case s.Region() == where.Region:
			near = append(near, Candidate{Site: s, Reason: WhySibling})
		case !v.isClosed(now, s.ID()):
			away = append(away, Candidate{Site: s, OtherRegion: true, Reason: WhyAway})
		}
	}
	slices.SortStableFunc(near, func(a, b Candidate) int {
		return cmp.Compare(v.nearScore(now, b), v.nearScore(now, a))
	})
	slices.SortStableFunc(away, func(a, b Candidate) int {
		la, lb := distance(snap, where.Region, a), distance(snap, where.Region, b)
		return cmp.Or(cmp.Compare(la, lb), cmp.Compare(v.headroom(now, b.Site.ID()), v.headroom(now, a.Site.ID())))
	})
	return append(near, away...)
}

func (v *Loads) nearScore(now time.Time, c Candidate) float64 {
	room := v.headroom(now, c.Site.ID())
	if c.Reason == WhyHome && room > 0 {
		return room + homeMargin
	}
	return room
}

func distance(snap *model.Snapshot, from string, c Candidate) time.Duration {
	l, ok := snap.Latency(from, c.Site.Region())
	if !ok {
		return time.Hour
	}
	return l
}

// MoveToFront moves the sites of a region to the front, for a request that a shift moves.
func MoveToFront(choices []Candidate, region string) []Candidate {
	out := make([]Candidate, 0, len(choices))
	for _, c := range choices {
		if c.Site.Region() == region {
			out = append(out, c)
		}
	}
	for _, c := range choices {
		if c.Site.Region() != region {
			out = append(out, c)
		}
	}
	return out
}
