// Package budget limits retries and hedges to a share of the original requests.
package budget

import "sync"

// burst is the capacity of the token bucket, in extra requests.
const burst = 10

// Budget is a token bucket: an original request adds a share of a token, an extra request takes one
// token. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// New returns a full budget.
func New() *Budget { return &Budget{tokens: burst} }

// Refill adds a share of a token. It is called once for each original request.
func (b *Budget) Refill(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(burst, b.tokens+share)
}

// Spend takes a token for one extra request, and returns false if there is none.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
