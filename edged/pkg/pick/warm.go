package pick

import (
	"slices"
	"time"
)

// WarmObject tells that a backend server has handled an object, by their short names.
type WarmObject struct{ Server, Object uint32 }

// Times of what hosts tell each other of warm objects.
const (
	// warmAgain is how long what was told of an object counts as told; backend servers keep those handled last.
	warmAgain = 10 * time.Second
	// warmLife is how long it is kept to be told: the longest time between beats in large fleets, twice.
	warmLife = 2500 * time.Millisecond
)

type warmedAt struct {
	WarmObject
	at time.Time
}

// short is the object's name in what hosts tell each other.
func (q *Query) short() uint32 { return uint32(q.Object) }

// handled remembers that an object was handled, and that other hosts are to hear of it where that is news.
func (t *Table) handled(now time.Time, s *server, q *Query) {
	if !q.Sticky {
		return
	}
	object := q.short()
	last, known := s.warm[object]
	if !known || now.Sub(last) > warmAgain {
		t.fresh = append(t.fresh, warmedAt{WarmObject{Server: Short(s.backend), Object: object}, now})
	}
	s.warm[object] = now
}

// WarmObjects returns what was news since a time.
func (t *Table) WarmObjects(now, since time.Time) []WarmObject {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fresh = slices.DeleteFunc(t.fresh, func(w warmedAt) bool { return now.Sub(w.at) > warmLife })
	var out []WarmObject
	for _, w := range t.fresh {
		if !w.at.Before(since) {
			out = append(out, w.WarmObject)
		}
	}
	return out
}

// ReceiveWarmObjects takes what a peer tells of warm objects.
func (t *Table) ReceiveWarmObjects(now time.Time, list []WarmObject) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range list {
		if s := t.short[w.Server]; s != nil {
			s.warm[w.Object] = now
		}
	}
}
