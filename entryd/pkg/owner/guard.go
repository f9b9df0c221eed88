package owner

import (
	"sync"
	"time"
)

// Timing of the guard.
const (
	// maxTickGap is the longest gap between two ticks that is not taken for a suspension.
	maxTickGap = 500 * time.Millisecond
	// maxBlockTime is how long dispatch stays blocked without a new view. Then it resumes with the old view.
	maxBlockTime = 3 * time.Second
)

// Guard detects that the process was suspended and then blocks dispatch until a new membership view
// arrives, because another process may have become the owner of its sites meanwhile. It is safe for
// concurrent use.
type Guard struct {
	mu          sync.Mutex
	lastTick    time.Time
	blocked     bool
	blockedAt   time.Time
	neededNonce uint64
	sentNonce   uint64
}

// NewGuard returns a guard that allows dispatch.
func NewGuard(now time.Time) *Guard { return &Guard{lastTick: now} }

// Tick records that the process runs. The gap between two calls must be shorter than maxTickGap. A call with an earlier time than the
// last one changes nothing.
func (g *Guard) Tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.check(now)
	if now.After(g.lastTick) {
		g.lastTick = now
	}
}

func (g *Guard) check(now time.Time) {
	if now.Sub(g.lastTick) > maxTickGap && !g.blocked {
		g.blocked, g.blockedAt = true, now
		// A view that was sent before or during the suspension is out of date. Only one that
		// echoes the nonce of a later report ends the block.
		g.neededNonce = g.sentNonce + 1
	}
}

// NextNonce returns the nonce of the next report to a steerd.
func (g *Guard) NextNonce(now time.Time) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.check(now)
	g.sentNonce++
	return g.sentNonce
}

// Confirm handles the nonce that a view echoes, and allows dispatch again if the nonce belongs to a
// report sent after the suspension.
func (g *Guard) Confirm(now time.Time, echo uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.check(now)
	if g.blocked && echo >= g.neededNonce {
		g.blocked = false
		g.lastTick = now
	}
}

// Open reports whether requests may be dispatched.
func (g *Guard) Open(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.check(now)
	if g.blocked && now.Sub(g.blockedAt) > maxBlockTime {
		g.blocked = false
		g.lastTick = now
	}
	return !g.blocked
}
