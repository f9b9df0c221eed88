// Package quota divides the capacity of a site between the regions that send requests to it. Other
// regions get the slots beyond the mean use of the site's own region. The admitted requests never
// exceed the capacity, even if senders work with out-of-date loads.
package quota

import (
	"math"
	"time"
)

// Parameters of the quota.
const (
	// minReserve is the smallest share of slots that is reserved for the site's own region.
	minReserve = 0.1
	// useMargin is the ratio of the slots kept for the site's own region to its mean use.
	useMargin = 1.1
	// useWindow is the time constant of the mean use of the site's own region.
	useWindow = 2 * time.Second
	// remotePerSlot is how many requests of other regions are admitted for each slot available to them.
	remotePerSlot = 3
	// activeFor is how long after its last request a region counts as active.
	activeFor = 5 * time.Second
	// minRamp is the share of its limit that a region with new traffic starts with.
	minRamp = 0.1
	// rampStep is the factor by which that share grows in each step of the ramp.
	rampStep = 1.5
	// rampInterval is the time between two steps of the ramp.
	rampInterval = 250 * time.Millisecond
	// rampLatency is the ratio of a region's mean latency to that of the site's own region above which
	// the region's ramp pauses.
	rampLatency = 2.0
	// rampResetAfter is the time without requests after which a region's ramp starts again.
	rampResetAfter = 30 * time.Second
	// latencyWeight is the weight of a new sample in a region's mean latency.
	latencyWeight = 0.1
)

// Size is the size of a site.
type Size struct {
	// Slots is the largest number of requests in flight at the site's servers.
	Slots int
	// Capacity is the largest number of admitted requests, queued ones included.
	Capacity int
}

// Quota counts the admitted requests of one site by region and limits them. It is not safe for
// concurrent use.
type Quota struct {
	ownRegion string
	sources   map[string]*source
	admitted  int
	remote    int
	busy      int
	use       float64
	usedAt    time.Time
}

type source struct {
	admitted int
	lastAt   time.Time
	ramp     float64
	rampAt   time.Time
	latency  float64
}

// New returns a quota for a site in its own region.
func New(own string) *Quota { return &Quota{ownRegion: own, sources: map[string]*source{}} }

func (q *Quota) source(now time.Time, region string) *source {
	s := q.sources[region]
	if s == nil {
		s = &source{ramp: minRamp, rampAt: now, lastAt: now}
		q.sources[region] = s
	}
	if now.Sub(s.lastAt) > rampResetAfter {
		s.ramp, s.rampAt = minRamp, now
	}
	return s
}

// Admit counts a request from the region and returns true, or returns false if the site's capacity
// or the limit of the region is reached.
func (q *Quota) Admit(now time.Time, region string, size Size) bool {
	s := q.source(now, region)
	s.lastAt = now
	if q.admitted >= size.Capacity {
		return false
	}
	if region != q.ownRegion {
		if q.remote >= q.remoteCapacity(now, size) || s.admitted >= q.Limit(now, region, size) {
			return false
		}
		q.remote++
	}
	q.admitted++
	s.admitted++
	return true
}

// Release removes an admitted request that has left the site from the counts.
func (q *Quota) Release(now time.Time, region string) {
	q.source(now, region).admitted--
	q.admitted--
	if region != q.ownRegion {
		q.remote--
	}
}

// SetBusySlots records how many slots the requests of the site's own region use from now on.
func (q *Quota) SetBusySlots(now time.Time, slots int) {
	q.use, q.usedAt, q.busy = q.useAt(now), now, slots
}

// useAt returns the mean number of slots that the site's own region uses, with exponential decay
// over useWindow.
func (q *Quota) useAt(now time.Time) float64 {
	if q.usedAt.IsZero() {
		return 0
	}
	old := math.Exp(-float64(now.Sub(q.usedAt)) / float64(useWindow))
	return q.use*old + float64(q.busy)*(1-old)
}

// Available returns how many slots are available to other regions.
func (q *Quota) Available(now time.Time, slots int) float64 {
	kept := max(float64(reserve(slots)), q.useAt(now)*useMargin)
	return max(0, float64(slots)-kept)
}

// reserve returns how many slots are reserved for the site's own region: none if the site has a
// single slot.
func reserve(slots int) int {
	return min(slots-1, int(math.Ceil(minReserve*float64(slots))))
}

// remoteCapacity returns how many requests of all other regions together may be admitted.
func (q *Quota) remoteCapacity(now time.Time, size Size) int {
	return min(size.Capacity, int(math.Ceil(remotePerSlot*q.Available(now, size.Slots))))
}

// Limit returns how many requests of another region may be admitted at the same time: an equal
// share of the remote capacity for each active region, reduced during the region's ramp.
func (q *Quota) Limit(now time.Time, region string, size Size) int {
	share := float64(q.remoteCapacity(now, size)) / float64(max(1, q.activeRegions(now)))
	return int(math.Ceil(share * q.rampedShare(now, q.source(now, region))))
}

// AllowsRemote reports whether a request of another region may be dispatched, where remote is the
// number of slots in use by other regions and all the number in use by all regions.
func (q *Quota) AllowsRemote(now time.Time, slots, remote, all int) bool {
	return float64(remote) < math.Ceil(q.Available(now, slots)) && all < slots-reserve(slots)
}

func (q *Quota) activeRegions(now time.Time) int {
	n := 0
	for region, s := range q.sources {
		if region != q.ownRegion && (s.admitted > 0 || now.Sub(s.lastAt) < activeFor) {
			n++
		}
	}
	return n
}

// rampedShare advances a region's ramp and returns the share of its limit that the region may use.
func (q *Quota) rampedShare(now time.Time, s *source) float64 {
	for now.Sub(s.rampAt) >= rampInterval && s.ramp < 1 {
		if own := q.sources[q.ownRegion]; own != nil && own.latency > 0 && s.latency > own.latency*rampLatency {
			s.rampAt = now
			return s.ramp
		}
		s.ramp = min(1, s.ramp*rampStep)
		s.rampAt = s.rampAt.Add(rampInterval)
	}
	return s.ramp
}

// ObserveLatency records how long a backend server took for a request from the region.
func (q *Quota) ObserveLatency(now time.Time, region string, took time.Duration) {
	s := q.source(now, region)
	if s.latency == 0 {
		s.latency = float64(took)
		return
	}
	s.latency += latencyWeight * (float64(took) - s.latency)
}

// AdmittedByRegion returns the number of admitted requests of each region.
func (q *Quota) AdmittedByRegion() map[string]int {
	out := make(map[string]int, len(q.sources))
	for region, s := range q.sources {
		out[region] = s.admitted
	}
	return out
}
