package owner

import (
	"sync"
	"time"
)

// Rules of the guard.
const (
	// maxGap is the longest time between two ticks of a process that was not suspended.
	maxGap = 500 * time.Millisecond
	// maxHold is how long dispatch waits for a fresh view; then the old one has to do.
	maxHold = 3 * time.Second
)

// Guard holds dispatch back after the process was suspended, until it has heard whether it still
// owns its sites. It is safe for concurrent use.
type Guard struct {
	mu     sync.Mutex
	last   time.Time
	held   bool
	heldAt time.Time
	needed uint64
	sent   uint64
}

// NewGuard returns a guard that is open.
func NewGuard(now time.Time) *Guard { return &Guard{last: now} }

// Tick says that the process runs. It must be called more often than maxGap.
func (g *Guard) Tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.check(now)
	g.last = now
}

func (g *Guard) check(now time.Time) {
	if now.Sub(g.last) > maxGap && !g.held {
		g.held, g.heldAt = true, now
		// A view that was on its way during the suspension is old: only one that echoes a
		// report sent from now on counts.
		g.needed = g.sent + 1
	}
}

// NextNonce returns the nonce of the next report to a steerd.
func (g *Guard) NextNonce(now time.Time) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.check(now)
	g.sent++
	return g.sent
}

// Confirm takes in the nonce that a view echoes.
func (g *Guard) Confirm(now time.Time, echo uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.check(now)
	if g.held && echo >= g.needed {
		g.held = false
		g.last = now
	}
}

// Open tells whether requests may be dispatched.
func (g *Guard) Open(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.check(now)
	if g.held && now.Sub(g.heldAt) > maxHold {
		g.held = false
		g.last = now
	}
	return !g.held
}
