package pick

import (
	"slices"
	"time"
)

// WarmObject is a warm object, by its hash truncated to 32 bits, and its backend server, by ShortID.
type WarmObject struct{ Server, Object uint32 }

// Times of advertising warm objects to other hosts.
const (
	// readvertiseAfter is how long a warm object must have been unused for its next use to be advertised again: the
	// backend server may have evicted it in the meantime.
	readvertiseAfter = 10 * time.Second
	// warmUpdateTTL is how long an update is kept for sending: a little more than two of the longest intervals between
	// heartbeats in large fleets.
	warmUpdateTTL = 2500 * time.Millisecond
)

type warmUpdate struct {
	WarmObject
	at time.Time
}

// objectID returns the object's identifier in messages between hosts: its hash truncated to 32 bits.
func (q *Query) objectID() uint32 { return uint32(q.Object) }

// recordWarm records that an object is warm, and adds an update for other hosts if it was cold or has not been used for
// readvertiseAfter.
func (t *Table) recordWarm(now time.Time, s *server, q *Query) {
	if !q.Sticky {
		return
	}
	object := q.objectID()
	last, found := s.warmObjects[object]
	if !found || now.Sub(last) > readvertiseAfter {
		t.warmUpdates = append(t.warmUpdates, warmUpdate{WarmObject{Server: ShortID(s.backend), Object: object}, now})
	}
	s.warmObjects[object] = now
}

// WarmObjects returns up to limit objects whose updates were added since a time, the newest ones, and removes old updates.
func (t *Table) WarmObjects(now, since time.Time, limit int) []WarmObject {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.warmUpdates = slices.DeleteFunc(t.warmUpdates, func(w warmUpdate) bool { return now.Sub(w.at) > warmUpdateTTL })
	var out []WarmObject
	for _, w := range t.warmUpdates {
		if !w.at.Before(since) {
			out = append(out, w.WarmObject)
		}
	}
	return out[max(0, len(out)-limit):]
}

// ReceiveWarmObjects records the warm objects that a peer advertises; unknown backend servers are skipped. If passOn is set,
// WarmObjects returns those that were not known here.
func (t *Table) ReceiveWarmObjects(now time.Time, list []WarmObject, passOn bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range list {
		s := t.serversByID[w.Server]
		if s == nil {
			continue
		}
		last, found := s.warmObjects[w.Object]
		if passOn && (!found || now.Sub(last) > readvertiseAfter) {
			t.warmUpdates = append(t.warmUpdates, warmUpdate{w, now})
		}
		s.warmObjects[w.Object] = now
	}
}
