package pick

import (
	"time"

	"rosemarygrade.dev/lib/pkg/header"
	"rosemarygrade.dev/lib/pkg/plan"
)

// leavingRetention is how long a host remembers that a backend server leaves after its entry is gone. Until then the entry may come back
// from a peer that did not hear of its removal.
const leavingRetention = 10 * time.Minute

// backpressure is what one incarnation of a backend server asked of this host in its responses. It holds whatever the store says of
// the backend server.
type backpressure struct {
	// leavingSince is when the backend server first said that it leaves; zero means that it did not.
	leavingSince time.Time
}

// allows reports whether the backend server accepts a request of this host now.
func (p *backpressure) allows(time.Time) bool { return p.leavingSince.IsZero() }

// mustRemember reports whether the backpressure is still needed after the backend server's entry is gone.
func (p *backpressure) mustRemember(now time.Time) bool {
	return !p.leavingSince.IsZero() && now.Sub(p.leavingSince) < leavingRetention
}

// ReceiveBackpressure records what a backend server asked for in a response, and reports whether it says for the first time that it leaves.
func (t *Table) ReceiveBackpressure(now time.Time, b *plan.Backend, received header.Backpressure) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := &t.server(b).backpressure
	if !received.Leaving || !p.leavingSince.IsZero() {
		return false
	}
	p.leavingSince = now
	return true
}
