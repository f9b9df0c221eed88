package pick

import (
	"sync"
	"time"
)

// BudgetRule bounds the repeats of all hosts together in a sliding window.
type BudgetRule struct {
	// Window is the length of the window.
	Window time.Duration
	// Ratio is how many repeats each request earns.
	Ratio float64
	// FreeRetries is how many repeats are free, over all hosts.
	FreeRetries float64
}

// budgetUse is which part of the budget is used, so that counts that cross windows stay below it.
const budgetUse = 0.6

// buckets is into how many parts a window is divided.
const buckets = 10

// RetryBudget is this host's share of the repeat budget of each service. It is safe for concurrent use.
type RetryBudget struct {
	rule BudgetRule

	mu       sync.Mutex
	services map[string]*window
}

type window struct {
	asked, spent [buckets]int
	last         int64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget(rule BudgetRule) *RetryBudget {
	return &RetryBudget{rule: rule, services: map[string]*window{}}
}

// at returns the window of a service, moved on to now, and the index of its newest part.
func (r *RetryBudget) at(now time.Time, service string) (*window, int) {
	w := r.services[service]
	if w == nil {
		w = &window{}
		r.services[service] = w
	}
	tick := now.UnixNano() / int64(r.rule.Window/buckets)
	for n := max(w.last+1, tick-buckets+1); n <= tick; n++ {
		w.asked[n%buckets], w.spent[n%buckets] = 0, 0
	}
	w.last = max(w.last, tick)
	return w, int(w.last % buckets)
}

// RecordRequest counts a request for a service.
func (r *RetryBudget) RecordRequest(now time.Time, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, i := r.at(now, service)
	w.asked[i]++
}

// TryWithdraw takes one repeat, if this host's share holds one. Hosts is how many hosts share the slack.
func (r *RetryBudget) TryWithdraw(now time.Time, service string, hosts int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, i := r.at(now, service)
	asked, spent := 0, 0
	for j := range buckets {
		asked += w.asked[j]
		spent += w.spent[j]
	}
	limit := budgetUse * (r.rule.Ratio*float64(asked) + r.rule.FreeRetries/float64(max(1, hosts)))
	if float64(spent+1) > max(1, limit) {
		return false
	}
	w.spent[i]++
	return true
}
