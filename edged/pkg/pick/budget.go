package pick

import (
	"sync"
	"time"
)

// BudgetRule bounds the retries of all hosts together in a sliding window.
type BudgetRule struct {
	// Window is the length of the window.
	Window time.Duration
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64
	// FreeRetries is the number of retries that all hosts together may make in a window regardless of its requests.
	FreeRetries float64
}

// usableShare is the share of the budget that is used, so that counts in windows that straddle buckets stay below it.
const usableShare = 0.6

// windowBuckets is the number of buckets of a window.
const windowBuckets = 10

// RetryBudget is this host's share of each service's retry budget. It is safe for concurrent use.
type RetryBudget struct {
	rule BudgetRule

	mu       sync.Mutex
	services map[string]*window
}

type window struct {
	requests, retries [windowBuckets]int
	lastTick          int64
}

// NewRetryBudget returns a budget in which no retry was withdrawn.
func NewRetryBudget(rule BudgetRule) *RetryBudget {
	return &RetryBudget{rule: rule, services: map[string]*window{}}
}

// advance moves a service's window to the present time and returns it with the index of its newest bucket.
func (r *RetryBudget) advance(now time.Time, service string) (*window, int) {
	w := r.services[service]
	if w == nil {
		w = &window{}
		r.services[service] = w
	}
	tick := now.UnixNano() / int64(r.rule.Window/windowBuckets)
	for n := max(w.lastTick+1, tick-windowBuckets+1); n <= tick; n++ {
		w.requests[n%windowBuckets], w.retries[n%windowBuckets] = 0, 0
	}
	w.lastTick = max(w.lastTick, tick)
	return w, int(w.lastTick % windowBuckets)
}

// RecordRequest counts a first attempt, which adds Ratio retries to the budget.
func (r *RetryBudget) RecordRequest(now time.Time, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, i := r.advance(now, service)
	w.requests[i]++
}

// TryWithdraw withdraws one retry and reports whether the budget allowed it. FreeRetries is shared equally among hosts.
func (r *RetryBudget) TryWithdraw(now time.Time, service string, hosts int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, i := r.advance(now, service)
	requests, retries := 0, 0
	for j := range windowBuckets {
		requests += w.requests[j]
		retries += w.retries[j]
	}
	limit := usableShare * (r.rule.Ratio*float64(requests) + r.rule.FreeRetries/float64(max(1, hosts)))
	if float64(retries+1) > max(1, limit) {
		return false
	}
	w.retries[i]++
	return true
}
