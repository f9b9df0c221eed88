package pick

import (
	"cmp"
	"slices"
	"time"
)

// rampTotals counts what ramp-ups did.
type rampTotals struct {
	// held means that a ramp-up left a backend server out of the present decision.
	held     bool
	heldBack int64
}

// RampState is the ramp-up of one backend server.
type RampState struct {
	Backend, Service string
	Reason           RampReason
	// PerSecond is the rate of requests: of all hosts together, or of the elected host in slow start.
	PerSecond float64
	// BadResponses counts the bad responses since the last good one, Flaps the interruptions in short succession before this one.
	BadResponses, Flaps int
	// Applies is false where the other backend servers can't take the demand, so that the rate is not limited.
	Applies bool
}

// Ramps returns the ramp-ups in progress by backend server.
func (t *Table) Ramps(now time.Time) []RampState {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.rules.RampUp {
		return nil
	}
	var out []RampState
	for _, s := range t.servers {
		t.sharedRamp(now, s)
		state := RampState{Backend: s.backend.ID(), Service: s.backend.Service(), Flaps: s.ramp.flaps, Applies: t.rampCost(now, t.service(s.backend.Service())) > 0}
		switch p := s.ramp.phase.(type) {
		case *slowPhase:
			if p.until.Before(now) {
				continue
			}
			state.Reason, state.PerSecond = RampInSlowStart, p.share/p.interval.Seconds()
		case *sharedPhase:
			state.Reason, state.PerSecond, state.BadResponses = p.reason, p.bucket.perSecond, p.badResponses
		default:
			continue
		}
		out = append(out, state)
	}
	slices.SortFunc(out, func(a, b RampState) int { return cmp.Compare(a.Backend, b.Backend) })
	return out
}

// HeldBack returns the number of requests for whose decision a backend server was left out because of its ramp-up.
func (t *Table) HeldBack() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ramps.heldBack
}

// countHeldBack begins a decision and returns the function that ends it.
func (t *Table) countHeldBack() func() {
	t.ramps.held = false
	return func() {
		if t.ramps.held {
			t.ramps.heldBack++
		}
	}
}
