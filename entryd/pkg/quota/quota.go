// Package quota divides a site between the regions that send it work. Other regions get what the
// site's own region has left of the slots lately; the shares of all never exceed the capacity,
// whatever the senders believe.
package quota

import (
	"math"
	"time"
)

// Rules of the division.
const (
	// minReserve is the least share of slots that other regions leave free.
	minReserve = 0.1
	// useMargin is how much more than its recent use the own region keeps.
	useMargin = 1.1
	// useWindow is the time over which the own region's use is averaged.
	useWindow = 2 * time.Second
	// remotePerSlot is how many requests of other regions may be held for each slot left to them.
	remotePerSlot = 3
	// activeFor is how long a silent region still counts as sending.
	activeFor = 5 * time.Second
	// minRamp is the share at which traffic new to the site begins.
	minRamp = 0.1
	// rampStep is the growth of the share after each interval without rising latency.
	rampStep = 1.5
	// rampInterval is the time between two steps.
	rampInterval = 250 * time.Millisecond
	// rampLatency is how many times the own region's latency a new region's may be.
	rampLatency = 2.0
	// coldAfter is how long a region must be silent before its traffic counts as new.
	coldAfter = 30 * time.Second
	// latencyWeight is the weight of a new sample in a mean latency.
	latencyWeight = 0.1
)

// Size is what a site can hold.
type Size struct {
	// Slots is how many requests run at once.
	Slots int
	// Capacity is how many requests the site holds, waiting ones included.
	Capacity int
}

// Quota is not safe for concurrent use.
type Quota struct {
	ownRegion string
	sources   map[string]*source
	held      int
	remote    int
	busy      int
	use       float64
	usedAt    time.Time
}

type source struct {
	held    int
	lastAt  time.Time
	ramp    float64
	rampAt  time.Time
	latency float64
}

// New returns a quota for a site in the region.
func New(own string) *Quota { return &Quota{ownRegion: own, sources: map[string]*source{}} }

func (q *Quota) source(now time.Time, region string) *source {
	s := q.sources[region]
	if s == nil {
		s = &source{ramp: minRamp, rampAt: now, lastAt: now}
		q.sources[region] = s
	}
	if now.Sub(s.lastAt) > coldAfter {
		s.ramp, s.rampAt = minRamp, now
	}
	return s
}

// Admit takes a place for a request from the region, if the capacity and the shares allow it.
func (q *Quota) Admit(now time.Time, region string, size Size) bool {
	s := q.source(now, region)
	s.lastAt = now
	if q.held >= size.Capacity {
		return false
	}
	if region != q.ownRegion {
		if q.remote >= q.remoteCapacity(now, size) || s.held >= q.Limit(now, region, size) {
			return false
		}
		q.remote++
	}
	q.held++
	s.held++
	return true
}

// Release gives a place back.
func (q *Quota) Release(now time.Time, region string) {
	q.source(now, region).held--
	q.held--
	if region != q.ownRegion {
		q.remote--
	}
}

// SetBusySlots says how many slots the own region's requests fill from now on.
func (q *Quota) SetBusySlots(now time.Time, slots int) {
	q.use, q.usedAt, q.busy = q.useAt(now), now, slots
}

// useAt returns the mean number of slots that the own region filled lately.
func (q *Quota) useAt(now time.Time) float64 {
	if q.usedAt.IsZero() {
		return 0
	}
	old := math.Exp(-float64(now.Sub(q.usedAt)) / float64(useWindow))
	return q.use*old + float64(q.busy)*(1-old)
}

// Available returns how many slots the own region leaves to others.
func (q *Quota) Available(now time.Time, slots int) float64 {
	kept := max(float64(reserve(slots)), q.useAt(now)*useMargin)
	return max(0, float64(slots)-kept)
}

// reserve returns how many slots other regions leave free. A site of one slot has none to keep.
func reserve(slots int) int {
	return min(slots-1, int(math.Ceil(minReserve*float64(slots))))
}

// remoteCapacity returns how many requests all other regions together may hold.
func (q *Quota) remoteCapacity(now time.Time, size Size) int {
	return min(size.Capacity, int(math.Ceil(remotePerSlot*q.Available(now, size.Slots))))
}

// Limit returns how many places another region may hold at once.
func (q *Quota) Limit(now time.Time, region string, size Size) int {
	share := float64(q.remoteCapacity(now, size)) / float64(max(1, q.activeRegions(now)))
	return int(math.Ceil(share * q.rampedShare(now, q.source(now, region))))
}

// AllowsRemote tells whether a request of another region may be dispatched, where so many slots are
// filled by other regions and so many by all.
func (q *Quota) AllowsRemote(now time.Time, slots, remote, all int) bool {
	return float64(remote) < math.Ceil(q.Available(now, slots)) && all < slots-reserve(slots)
}

func (q *Quota) activeRegions(now time.Time) int {
	n := 0
	for region, s := range q.sources {
		if region != q.ownRegion && (s.held > 0 || now.Sub(s.lastAt) < activeFor) {
			n++
		}
	}
	return n
}

// rampedShare returns the share to which a region's traffic has grown.
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

// ObserveLatency takes in the time that a backend server took for a request from the region.
func (q *Quota) ObserveLatency(now time.Time, region string, took time.Duration) {
	s := q.source(now, region)
	if s.latency == 0 {
		s.latency = float64(took)
		return
	}
	s.latency += latencyWeight * (float64(took) - s.latency)
}

// HeldByRegion returns how many places each region holds.
func (q *Quota) HeldByRegion() map[string]int {
	out := make(map[string]int, len(q.sources))
	for region, s := range q.sources {
		out[region] = s.held
	}
	return out
}
