// Package budget limits extra work, such as retries and hedges, to a share of the work asked for.
package budget

import "sync"

// burst is how many extra requests may come at once after a quiet time.
const burst = 10

// Budget is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	credit float64
}

// New returns a budget with a full burst.
func New() *Budget { return &Budget{credit: burst} }

// Refill adds the share that one request earns.
func (b *Budget) Refill(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(burst, b.credit+share)
}

// Spend takes one extra request from the budget, if it has one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
