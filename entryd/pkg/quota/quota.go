// Package quota divides a site between the regions that send it work. The site's own region keeps
// a reserve that follows its recent use; the rest is shared among the regions that send. All
// shares together never exceed the capacity, whatever the senders believe.
package quota

import (
	"math"
	"time"
)

// Rules of the division.
const (
	// minReserve is the least share that the own region keeps.
	minReserve = 0.1
	// reserveMargin is how much above its recent peak the own region keeps.
	reserveMargin = 1.25
	// peakHalfLife is the time in which an old peak counts half.
	peakHalfLife = 5 * time.Second
	// activeFor is how long a silent region still counts as sending.
	activeFor = 5 * time.Second
	// rampFloor is the share at which traffic new to the site begins.
	rampFloor = 0.1
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

// Quota is not safe for concurrent use.
type Quota struct {
	own     string
	sources map[string]*source
	peak    float64
	peakAt  time.Time
}

type source struct {
	held    int
	lastAt  time.Time
	ramp    float64
	rampAt  time.Time
	latency float64
}

// New returns a quota for a site in the region.
func New(own string) *Quota { return &Quota{own: own, sources: map[string]*source{}} }

func (q *Quota) source(now time.Time, region string) *source {
	s := q.sources[region]
	if s == nil {
		s = &source{ramp: rampFloor, rampAt: now, lastAt: now}
		q.sources[region] = s
	}
	if now.Sub(s.lastAt) > coldAfter {
		s.ramp, s.rampAt = rampFloor, now
	}
	return s
}

// Admit takes a place for a request from the region, if the capacity and the shares allow it.
func (q *Quota) Admit(now time.Time, region string, capacity int) bool {
	s := q.source(now, region)
	s.lastAt = now
	if q.held() >= capacity {
		return false
	}
	if region != q.own && s.held >= q.Limit(now, region, capacity) {
		return false
	}
	s.held++
	if region == q.own {
		q.notePeak(now, float64(s.held))
	}
	return true
}

// Leave gives a place back.
func (q *Quota) Leave(now time.Time, region string) {
	if region == q.own {
		q.notePeak(now, float64(q.source(now, region).held))
	}
	q.source(now, region).held--
}

func (q *Quota) notePeak(now time.Time, held float64) {
	q.peak = max(held, q.peakNow(now))
	q.peakAt = now
}

func (q *Quota) peakNow(now time.Time) float64 {
	if q.peak == 0 {
		return 0
	}
	halves := float64(now.Sub(q.peakAt)) / float64(peakHalfLife)
	return q.peak * math.Exp2(-halves)
}

// Reserve returns how many of the capacity the own region keeps.
func (q *Quota) Reserve(now time.Time, capacity int) int {
	want := max(minReserve*float64(capacity), q.peakNow(now)*reserveMargin)
	return min(capacity, int(math.Ceil(want)))
}

// Limit returns how many places another region may hold at once.
func (q *Quota) Limit(now time.Time, region string, capacity int) int {
	open := capacity - q.Reserve(now, capacity)
	share := float64(open) / float64(max(1, q.active(now)))
	return max(0, int(share*q.ramped(now, q.source(now, region))))
}

// RemoteSlots returns how many of the slots all other regions together may fill.
func (q *Quota) RemoteSlots(now time.Time, slots int) int {
	return slots - q.Reserve(now, slots)
}

func (q *Quota) active(now time.Time) int {
	n := 0
	for region, s := range q.sources {
		if region != q.own && (s.held > 0 || now.Sub(s.lastAt) < activeFor) {
			n++
		}
	}
	return n
}

// ramped returns the share to which a region's traffic has grown.
func (q *Quota) ramped(now time.Time, s *source) float64 {
	for now.Sub(s.rampAt) >= rampInterval && s.ramp < 1 {
		if own := q.sources[q.own]; own != nil && own.latency > 0 && s.latency > own.latency*rampLatency {
			s.rampAt = now
			return s.ramp
		}
		s.ramp = min(1, s.ramp*rampStep)
		s.rampAt = s.rampAt.Add(rampInterval)
	}
	return s.ramp
}

// Observe takes in the time that a backend server took for a request from the region.
func (q *Quota) Observe(now time.Time, region string, took time.Duration) {
	s := q.source(now, region)
	if s.latency == 0 {
		s.latency = float64(took)
		return
	}
	s.latency += latencyWeight * (float64(took) - s.latency)
}

func (q *Quota) held() int {
	n := 0
	for _, s := range q.sources {
		n += s.held
	}
	return n
}

// Held returns how many places each region holds.
func (q *Quota) Held() map[string]int {
	out := make(map[string]int, len(q.sources))
	for region, s := range q.sources {
		out[region] = s.held
	}
	return out
}
