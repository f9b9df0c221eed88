package watch

import (
	"context"
	"slices"
	"time"

	"rosemarygrade.dev/lib/pkg/plan"
)

// catchUpWait is how long a watch for changes up to the present waits if there are none.
const catchUpWait = time.Millisecond

// endsDrain reports whether a listing of the drains ends one; full means that the listing holds all.
func (s *State) endsDrain(l plan.Listing, full bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.topics[plan.TopicDrains].items {
		i := slices.IndexFunc(l.Changes, func(c plan.Change) bool { return c.Name == name })
		if i < 0 {
			if full {
				return true
			}
			continue
		}
		if _, removed := l.Changes[i].Resource.(plan.Removed); removed {
			return true
		}
	}
	return false
}

// isPremature reports whether a snapshot ends a drain before this host has the changes of backend servers that the sender had by then.
func (s *State) isPremature(snap Snapshot) bool {
	if snap.Topic != plan.TopicDrains || !s.endsDrain(plan.Listing{Changes: snap.Changes}, snap.Full) {
		return false
	}
	have, _ := s.Revision(plan.TopicBackends)
	return have < snap.Backends
}

// catchUp reads the changes of backend servers up to a listing that ends a drain, before the listing is applied. The topics are watched
// separately, and a backend server of the data centre may have said just before the end that it is in slow start.
func (w *Watcher) catchUp(ctx context.Context, t plan.Topic, l plan.Listing, full bool) error {
	have, loaded := w.state.Revision(plan.TopicBackends)
	if t != plan.TopicDrains || !loaded || have >= l.Revision || !w.state.endsDrain(l, full) {
		return nil
	}
	call, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	changes, err := w.source.Watch(call, plan.TopicBackends, have, catchUpWait)
	if err != nil {
		// The store may no longer have the changes.
		return w.listOrWatch(ctx, plan.TopicBackends, false)
	}
	changes.Origin = plan.Origin{Via: plan.ViaWatch}
	w.state.Update(time.Now(), plan.TopicBackends, changes)
	return nil
}
