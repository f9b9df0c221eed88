// Package shift limits the share of requests that a traffic shift sends to another region. Each
// host applies the cap to the requests that it receives, so the sum over all hosts stays within the
// cap without any communication.
package shift

import (
	"sync"
	"time"

	"rosemarygrade.dev/lib/pkg/model"
)

// Limiter holds a token bucket for each shift; a token is the right to move one request. It is safe
// for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

// bucket is the token bucket of one shift.
type bucket struct {
	since   time.Time
	tokens  float64
	arrived uint64
	moved   uint64
}

// NewLimiter returns a Limiter without shifts.
func NewLimiter() *Limiter { return &Limiter{buckets: map[string]*bucket{}} }

// Share returns the share of requests that may move now, from 0 to 1, where since is the start of
// the shift's ramp. It grows linearly to the cap over the ramp.
func Share(sh *model.Shift, since, now time.Time) float64 {
	if sh.Ramp() <= 0 {
		return sh.Cap()
	}
	done := float64(now.Sub(since)) / float64(sh.Ramp())
	return sh.Cap() * min(1, max(0, done))
}

// CountArrival counts a request for each shift that applies to it and adds the shift's share to its
// bucket. It must be called once per request.
func (l *Limiter) CountArrival(now time.Time, shifts []*model.Shift) {
	if len(shifts) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, sh := range shifts {
		b := l.buckets[sh.Name()]
		if b == nil {
			b = &bucket{since: now}
			l.buckets[sh.Name()] = b
		}
		b.arrived++
		// Unused tokens are limited, so that a shift can't move a burst after a time without moves.
		b.tokens = min(maxTokens, b.tokens+Share(sh, b.since, now))
	}
}

// Allow reports whether a request may be sent to a region, and takes a token from each shift to
// that region. If no shift has the region as its target, it returns true. It must be called for
// every request sent to the region, whether a shift or overflow sends it there.
func (l *Limiter) Allow(shifts []*model.Shift, to string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	var matching []*bucket
	for _, sh := range shifts {
		if sh.To() != to {
			continue
		}
		b := l.buckets[sh.Name()]
		if b == nil || b.tokens < 1-tolerance {
			return false
		}
		matching = append(matching, b)
	}
	for _, b := range matching {
		b.tokens--
		b.moved++
	}
	return true
}

// maxTokens is the capacity of a bucket and so the largest burst of moved requests. With less than
// two, the fraction above one token would be lost at each move, and the share would stay below the
// cap.
const maxTokens = 2

// tolerance absorbs rounding errors in sums of shares.
const tolerance = 1e-9

// Counts are the request counts of a shift in a state dump.
type Counts struct {
	Name    string `json:"name"`
	Arrived uint64 `json:"arrived"`
	Moved   uint64 `json:"moved"`
}

// Counts returns the counts of every shift that has counted a request.
func (l *Limiter) Counts() []Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Counts, 0, len(l.buckets))
	for name, b := range l.buckets {
		out = append(out, Counts{Name: name, Arrived: b.arrived, Moved: b.moved})
	}
	return out
}

// Retain deletes the buckets of shifts that are not in the set, so that a shift that is created
// again starts its ramp again.
func (l *Limiter) Retain(present map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.buckets {
		if !present[name] {
			delete(l.buckets, name)
		}
	}
}
