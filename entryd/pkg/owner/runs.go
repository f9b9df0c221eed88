package owner

import (
	"sync"
	"time"
)

// keepRuns is how long past its deadline a request's state is kept.
const keepRuns = time.Minute

// Runs makes the dispatch and the voiding of a request exclude each other. It is safe for concurrent use.
type Runs struct {
	mu      sync.Mutex
	states  map[string]runState
	sweptAt time.Time
}

type runState struct {
	voided bool
	until  time.Time
}

// NewRuns returns an empty record.
func NewRuns() *Runs { return &Runs{states: map[string]runState{}} }

// Dispatch marks a request as dispatched, unless it is voided or its deadline has passed.
func (r *Runs) Dispatch(now time.Time, id string, deadline time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	if s, ok := r.states[id]; ok && s.voided {
		return false
	}
	if !now.Before(deadline) {
		r.states[id] = runState{voided: true, until: now.Add(keepRuns)}
		return false
	}
	r.states[id] = runState{until: deadline.Add(keepRuns)}
	return true
}

// Refuse takes a dispatched mark back, once it is proved that the server did not run the request.
func (r *Runs) Refuse(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.states, id)
}

// Cancel forbids a request for good. It returns false when the request has been dispatched.
func (r *Runs) Cancel(now time.Time, id string, deadline time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	if s, ok := r.states[id]; ok && !s.voided {
		return false
	}
	r.states[id] = runState{voided: true, until: deadline.Add(keepRuns)}
	return true
}

func (r *Runs) sweep(now time.Time) {
	if now.Sub(r.sweptAt) < time.Second {
		return
	}
	r.sweptAt = now
	for id, s := range r.states {
		if now.After(s.until) {
			delete(r.states, id)
		}
	}
}

// Len returns how many requests are remembered.
func (r *Runs) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.states)
}
