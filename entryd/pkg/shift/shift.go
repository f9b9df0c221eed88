// Package shift keeps the share of requests that leave a region exact: each host moves no more
// than its own share of its own requests, so the sum over hosts keeps the cap.
package shift

import (
	"sync"
	"time"

	"rosemarygrade.dev/lib/pkg/model"
)

// Limiter is safe for concurrent use.
type Limiter struct {
	mu       sync.Mutex
	accounts map[string]*account
}

// account is the state of one shift.
type account struct {
	since   time.Time
	credit  float64
	arrived uint64
	moved   uint64
}

// NewLimiter returns an empty ledger.
func NewLimiter() *Limiter { return &Limiter{accounts: map[string]*account{}} }

// Share returns the share that may move at a time after the shift was first seen.
func Share(sh *model.Shift, since, now time.Time) float64 {
	if sh.Ramp() <= 0 {
		return sh.Cap()
	}
	done := float64(now.Sub(since)) / float64(sh.Ramp())
	return sh.Cap() * min(1, max(0, done))
}

// CountArrival counts one request against each shift that it falls under. It is called once a request.
func (l *Limiter) CountArrival(now time.Time, shifts []*model.Shift) {
	if len(shifts) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, sh := range shifts {
		a := l.accounts[sh.Name()]
		if a == nil {
			a = &account{since: now}
			l.accounts[sh.Name()] = a
		}
		a.arrived++
		// Unused credit does not pile up, or a quiet shift could later move a burst.
		a.credit = min(maxCredit, a.credit+Share(sh, a.since, now))
	}
}

// Allow takes the right to send one request to a region. A region that no shift names is free.
// Every request that leaves for the region counts, whatever sends it there.
func (l *Limiter) Allow(shifts []*model.Shift, to string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	var named []*account
	for _, sh := range shifts {
		if sh.To() != to {
			continue
		}
		a := l.accounts[sh.Name()]
		if a == nil || a.credit < 1-tolerance {
			return false
		}
		named = append(named, a)
	}
	for _, a := range named {
		a.credit--
		a.moved++
	}
	return true
}

// maxCredit is how many requests may move at once after a quiet time. With less than two, the
// fraction above one would be lost at each move and the share would stay below the cap.
const maxCredit = 2

// tolerance absorbs the rounding of sums of shares.
const tolerance = 1e-9

// Counts is what a state dump shows of a shift.
type Counts struct {
	Name    string `json:"name"`
	Arrived uint64 `json:"arrived"`
	Moved   uint64 `json:"moved"`
}

// Counts returns the counts of every shift seen.
func (l *Limiter) Counts() []Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Counts, 0, len(l.accounts))
	for name, a := range l.accounts {
		out = append(out, Counts{Name: name, Arrived: a.arrived, Moved: a.moved})
	}
	return out
}

// Retain drops the accounts of shifts that are gone, so that a shift made anew ramps anew.
func (l *Limiter) Retain(present map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.accounts {
		if !present[name] {
			delete(l.accounts, name)
		}
	}
}
