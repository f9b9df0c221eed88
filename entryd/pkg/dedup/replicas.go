package dedup

import (
	"sync"
	"time"

	"rosemarygrade.dev/entryd/pkg/flow"
	"rosemarygrade.dev/lib/pkg/peerpb"
)

// maxReplicas is the number of stopped processes whose tables are kept.
const maxReplicas = 64

// Replicas holds the tables that stopped processes handed over to this one. It is safe for
// concurrent use.
type Replicas struct {
	mu     sync.Mutex
	tables map[uint64]*Table
	// order holds the incarnations in order of import, the oldest first.
	order []uint64
}

// NewReplicas returns Replicas without tables.
func NewReplicas() *Replicas { return &Replicas{tables: map[uint64]*Table{}} }

// Import adds records of a stopped process to the replica of its table. A table is handed over in
// one or more requests. If there are too many replicas, the oldest is deleted.
func (r *Replicas) Import(req *peerpb.InheritRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tables[req.GetIncarnation()]
	if t == nil {
		t = &Table{incarnation: req.GetIncarnation(), slots: map[int64]map[string]*Record{}, stopped: true}
		r.tables[req.GetIncarnation()] = t
		r.order = append(r.order, req.GetIncarnation())
		if len(r.order) > maxReplicas {
			delete(r.tables, r.order[0])
			r.order = r.order[1:]
		}
	}
	t.lowestSlot = max(t.lowestSlot, int64(req.GetLowestSlot()))
	for _, rec := range req.GetRecords() {
		t.importRecord(rec)
	}
	t.complete = t.complete || req.GetComplete()
}

func (t *Table) importRecord(rec *peerpb.RunRecord) {
	k, err := Parse(rec.GetKey())
	if err != nil || k.incarnation != t.incarnation {
		return
	}
	r := &Record{done: make(chan struct{}), outcome: flow.Outcome(rec.GetOutcome())}
	copy(r.digest[:], rec.GetDigest())
	r.response = Response{
		Status: int(rec.GetStatus()), Header: map[string][]string{}, Body: rec.GetBody(), BodyKept: rec.GetBodyKept(),
	}
	for _, h := range rec.GetHeaders() {
		r.response.Header[h.GetName()] = append(r.response.Header[h.GetName()], h.GetValue())
	}
	r.rejection = flow.Rejected{Kind: flow.RejectedKeyGone, Outcome: r.outcome, Reason: "told by the peer of a stopped process"}
	close(r.done)
	if t.slots[k.slot] == nil {
		t.slots[k.slot] = map[string]*Record{}
	}
	if t.slots[k.slot][k.random] == nil {
		t.count++
	}
	t.slots[k.slot][k.random] = r
}

// Begin decides on a request whose issuing process has stopped. It returns false if there is no
// complete replica of that process's table.
func (r *Replicas) Begin(now time.Time, k Key, d Digest) (decision Decision, ok bool) {
	t := r.table(k)
	if t == nil {
		return nil, false
	}
	return t.Begin(now, k, d), true
}

// Outcome returns the state of a key whose issuing process has stopped. It returns false if there
// is no complete replica of that process's table.
func (r *Replicas) Outcome(now time.Time, k Key) (KeyState, bool) {
	t := r.table(k)
	if t == nil {
		return KeyState{}, false
	}
	return t.Outcome(now, k), true
}

// Len returns the number of records of all replicas.
func (r *Replicas) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, t := range r.tables {
		n += t.Len()
	}
	return n
}

// table returns the complete replica of the issuing process's table, or nil. A replica with records
// missing would report requests as not run that ran.
func (r *Replicas) table(k Key) *Table {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tables[k.Incarnation()]
	if t == nil || !t.complete {
		return nil
	}
	return t
}
