package dedup

import (
	"sync"
	"time"

	"rosemarygrade.dev/entryd/pkg/flow"
	"rosemarygrade.dev/lib/pkg/peerpb"
)

// maxBooks is how many stopped processes a shelf remembers.
const maxBooks = 64

// Shelf holds the books of processes that stopped and passed theirs on. It is safe for concurrent use.
type Shelf struct {
	mu    sync.Mutex
	books map[uint64]*Book
	order []uint64
}

// NewShelf returns an empty shelf.
func NewShelf() *Shelf { return &Shelf{books: map[uint64]*Book{}} }

// Take keeps a stopped process's book. A book that comes in pieces is added up.
func (s *Shelf) Take(req *peerpb.InheritRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.books[req.GetIncarnation()]
	if b == nil {
		b = &Book{incarnation: req.GetIncarnation(), slots: map[int64]map[string]*Record{}, stopped: true}
		s.books[req.GetIncarnation()] = b
		s.order = append(s.order, req.GetIncarnation())
		if len(s.order) > maxBooks {
			delete(s.books, s.order[0])
			s.order = s.order[1:]
		}
	}
	b.lowest = max(b.lowest, int64(req.GetLowestSlot()))
	for _, rec := range req.GetRecords() {
		b.take(rec)
	}
	b.complete = b.complete || req.GetComplete()
}

func (b *Book) take(rec *peerpb.RunRecord) {
	k, err := Parse(rec.GetKey())
	if err != nil || k.incarnation != b.incarnation {
		return
	}
	r := &Record{done: make(chan struct{}), outcome: flow.Outcome(rec.GetOutcome())}
	copy(r.digest[:], rec.GetDigest())
	r.answer = Answer{
		Status: int(rec.GetStatus()), Header: map[string][]string{}, Body: rec.GetBody(), Kept: rec.GetBodyKept(),
	}
	for _, h := range rec.GetHeaders() {
		r.answer.Header[h.GetName()] = append(r.answer.Header[h.GetName()], h.GetValue())
	}
	r.refused = flow.Rejected{Kind: flow.RefusedKeyGone, Outcome: r.outcome, Reason: "told by the peer of a stopped process"}
	close(r.done)
	if b.slots[k.slot] == nil {
		b.slots[k.slot] = map[string]*Record{}
	}
	b.slots[k.slot][k.random] = r
	b.count++
}

// Begin decides about a request whose key names a stopped process; ok is false when the shelf
// has no book of it.
func (s *Shelf) Begin(now time.Time, k Key, d Digest) (v Verdict, ok bool) {
	b := s.book(k)
	if b == nil {
		return nil, false
	}
	return b.Begin(now, k, d), true
}

// Outcome tells what is known of a key of a stopped process.
func (s *Shelf) Outcome(now time.Time, k Key) (Known, bool) {
	b := s.book(k)
	if b == nil {
		return Known{}, false
	}
	return b.Outcome(now, k), true
}

// book returns the book that a key falls to. A book with pieces missing would call used keys
// unused, so it does not count.
func (s *Shelf) book(k Key) *Book {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.books[k.Incarnation()]
	if b == nil || !b.complete {
		return nil
	}
	return b
}
