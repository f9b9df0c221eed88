package pick

import (
	"time"

	"rosemarygrade.dev/lib/pkg/header"
	"rosemarygrade.dev/lib/pkg/plan"
)

// retention is how long a host remembers what a backend server asked for after its entry is gone. Until then the entry may come back: from
// a peer that did not hear of its removal, or after an outage of the store.
const retention = 10 * time.Minute

// backpressure is what one incarnation of a backend server asked of this host in its responses. It holds whatever the store says of
// the backend server.
type backpressure struct {
	// leavingSince is when the backend server first said that it leaves; zero means that it did not.
	leavingSince time.Time
	limit        rateLimit
	// pausedUntil is until when the backend server wants no request of this host.
	pausedUntil time.Time
}

// allows reports whether the backend server accepts a request of this host now.
func (p *backpressure) allows(now time.Time, d division) bool {
	wait, ends := p.wait(now, d)
	return ends && wait == 0
}

// wait returns how long the backend server accepts no request of this host, and reports whether it ever will again.
func (p *backpressure) wait(now time.Time, d division) (time.Duration, bool) {
	if !p.leavingSince.IsZero() {
		return 0, false
	}
	return max(0, p.limit.wait(now, d), p.pausedUntil.Sub(now)), true
}

// recordSend counts a request that is sent to the backend server.
func (p *backpressure) recordSend(now time.Time, d division) { p.limit.recordSend(now, d) }

// mustRemember reports whether the backpressure is still needed after the backend server's entry is gone.
func (p *backpressure) mustRemember(now time.Time) bool {
	recent := func(at time.Time) bool { return !at.IsZero() && now.Sub(at) < retention }
	return recent(p.leavingSince) || recent(p.limit.namedAt) || p.pausedUntil.After(now)
}

// BackpressureChange tells what a response changed.
type BackpressureChange struct {
	// Leaves is true where the backend server says for the first time that it leaves.
	Leaves bool
	// LimitBegins and LimitEnds are true where the backend server names a rate limit for the first time, and no longer.
	LimitBegins, LimitEnds bool
	// Pauses is true where the backend server asks for a pause and did not do so before.
	Pauses bool
}

// ReceiveBackpressure records what a backend server asked for in the response to a request that was sent to it at sentAt.
func (t *Table) ReceiveBackpressure(now, sentAt time.Time, b *plan.Backend, received header.Backpressure) BackpressureChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := &t.server(b).backpressure
	var change BackpressureChange
	if received.Leaving && p.leavingSince.IsZero() {
		p.leavingSince, change.Leaves = now, true
	}
	limited := p.limit.active
	p.limit.receive(now, sentAt, received, t.division())
	change.LimitBegins, change.LimitEnds = !limited && p.limit.active, limited && !p.limit.active
	if until := now.Add(received.Pause); received.Pause > 0 && until.After(p.pausedUntil) {
		change.Pauses = !p.pausedUntil.After(now)
		p.pausedUntil = until
	}
	return change
}

// ReceiveSlowStart records that a backend server says in a response how much longer it is in slow start. Its entry may not say so yet.
// Responses may arrive in another order than they were written, so the latest end counts; one without a time left says nothing.
func (t *Table) ReceiveSlowStart(now time.Time, b *plan.Backend, remaining time.Duration) {
	if remaining <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.server(b)
	if !s.inSlowStart(now) {
		t.delayFirstSend(now, s)
	}
	if until := now.Add(remaining); until.After(s.slowStartUntil) {
		s.slowStartUntil = until
	}
}

// delayFirstSend delays the first request of a slow start by a random part of the interval if hosts that this one does not hear of may be
// elected too: they learn of the slow start at about the same time, and must not all begin at once.
func (t *Table) delayFirstSend(now time.Time, s *server) {
	if t.view == nil || t.view.Config() == nil || t.fleet.SlowStartShare() >= 1 {
		return
	}
	s.nextSlowStartSend = now.Add(time.Duration(t.random.Float64() * float64(t.slowStartInterval(t.view, s.backend))))
}

// division returns how limits of all hosts together are divided between them.
func (t *Table) division() division { return division{hosts: t.fleet.Hosts(), random: t.random} }
