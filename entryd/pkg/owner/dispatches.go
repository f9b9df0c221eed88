package owner

import (
	"sync"
	"time"
)

// stateRetention is how long a request's state is kept after the request's deadline.
const stateRetention = time.Minute

// Dispatches records which requests were dispatched and which were cancelled before dispatch. Only
// one of the two can happen to a request. It is safe for concurrent use.
type Dispatches struct {
	mu      sync.Mutex
	states  map[string]dispatchState
	sweptAt time.Time
}

type dispatchState struct {
	cancelled bool
	keepUntil time.Time
}

// NewDispatches returns an empty record.
func NewDispatches() *Dispatches { return &Dispatches{states: map[string]dispatchState{}} }

// Dispatch marks a request as dispatched and returns true. It returns false if the request is
// cancelled or its deadline has passed.
func (d *Dispatches) Dispatch(now time.Time, id string, deadline time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sweep(now)
	if s, ok := d.states[id]; ok && s.cancelled {
		return false
	}
	if !now.Before(deadline) {
		d.states[id] = dispatchState{cancelled: true, keepUntil: now.Add(stateRetention)}
		return false
	}
	d.states[id] = dispatchState{keepUntil: deadline.Add(stateRetention)}
	return true
}

// Undo removes the record of a request that was dispatched but certainly not run by the server.
func (d *Dispatches) Undo(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.states, id)
}

// Cancel prevents the later dispatch of a request. It returns false if the request was already
// dispatched.
func (d *Dispatches) Cancel(now time.Time, id string, deadline time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sweep(now)
	if s, ok := d.states[id]; ok && !s.cancelled {
		return false
	}
	d.states[id] = dispatchState{cancelled: true, keepUntil: deadline.Add(stateRetention)}
	return true
}

func (d *Dispatches) sweep(now time.Time) {
	if now.Sub(d.sweptAt) < time.Second {
		return
	}
	d.sweptAt = now
	for id, s := range d.states {
		if now.After(s.keepUntil) {
			delete(d.states, id)
		}
	}
}

// Len returns the number of recorded requests.
func (d *Dispatches) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.states)
}
