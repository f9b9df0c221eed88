// Package store keeps, in memory, the configuration objects that an entryd or steerd has accepted. A lower version
// never replaces a higher one, whichever peer sends it, and an invalid version never becomes active.
package store

import (
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"
	"rosemarygrade.dev/lib/pkg/model"
	"rosemarygrade.dev/lib/pkg/peerpb"
	"rosemarygrade.dev/lib/pkg/wire"
)

// Buckets is the number of buckets, each with a hash, by which two peers compare their stores.
const Buckets = 64

// Key identifies an object.
type Key struct {
	Kind string
	Name string
}

// Entry is the state of one object: its newest version and the active one, which is the newest valid version. In
// its record, ForceVersion is the active version, and ForceSpec its spec where it is not the newest version.
type Entry struct {
	record *peerpb.Record
	object model.Object
	reason string
	seq    uint64
}

// Record returns the entry in the form that peers exchange.
func (e *Entry) Record() *peerpb.Record { return e.record }

// Reason returns why the newest version is not active, or an empty string if it is.
func (e *Entry) Reason() string { return e.reason }

// Store holds the entries of all objects. It is safe for concurrent use.
type Store struct {
	mu       sync.RWMutex
	entries  map[Key]*Entry
	hashes   [Buckets]uint64
	snap     *model.Snapshot
	stale    bool
	rejected uint64
	changed  chan struct{}
	seq      uint64
}

// New returns an empty store.
func New() *Store {
	return &Store{entries: map[Key]*Entry{}, snap: model.NewSnapshot(nil), changed: make(chan struct{})}
}

// FromWire converts an object of the platform's API to a record.
func FromWire(o wire.Object) *peerpb.Record {
	return &peerpb.Record{Kind: o.Kind, Name: o.Name, Version: o.Version, Deleted: o.Deleted, Spec: o.Spec}
}

// Apply merges records into the store and returns the resulting records of the entries that changed.
func (s *Store) Apply(records ...*peerpb.Record) []*peerpb.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var accepted []*peerpb.Record
	for _, r := range records {
		if e := s.merge(r); e != nil {
			accepted = append(accepted, e.record)
		}
	}
	if len(accepted) > 0 {
		s.stale = true
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return accepted
}

func (s *Store) merge(r *peerpb.Record) *Entry {
	key := Key{Kind: r.GetKind(), Name: r.GetName()}
	old := s.entries[key]
	var next *Entry
	switch {
	case old == nil:
		next = accept(nil, r)
	case r.GetVersion() > old.record.GetVersion():
		next = accept(old, r)
	case r.GetVersion() == old.record.GetVersion() && r.GetForceVersion() > old.record.GetForceVersion():
		next = accept(old, r)
	case r.GetVersion() < old.record.GetVersion():
		s.rejected++
		return nil
	default:
		return nil
	}
	if old != nil {
		s.hashes[bucket(key)] ^= hash(old.record)
	}
	s.hashes[bucket(key)] ^= hash(next.record)
	s.entries[key] = next
	s.seq++
	next.seq = s.seq
	return next
}

// accept returns the entry that record r results in; old is the present entry, or nil.
func accept(old *Entry, r *peerpb.Record) *Entry {
	rec := &peerpb.Record{
		Kind: r.GetKind(), Name: r.GetName(), Version: r.GetVersion(), Deleted: r.GetDeleted(), Spec: r.GetSpec(),
	}
	if rec.GetDeleted() {
		rec.Spec = nil
		rec.ForceVersion = rec.GetVersion()
		return &Entry{record: rec}
	}
	object, err := model.Parse(rec.GetKind(), rec.GetName(), rec.GetSpec())
	if err == nil {
		rec.ForceVersion = rec.GetVersion()
		return &Entry{record: rec, object: object}
	}
	e := &Entry{record: rec, reason: err.Error()}
	if old != nil {
		rec.ForceVersion, rec.ForceSpec, e.object = old.record.GetForceVersion(), activeSpec(old.record), old.object
	}
	if r.GetForceVersion() > rec.GetForceVersion() && r.GetForceVersion() != r.GetVersion() {
		if o, ok := parseActive(r); ok {
			rec.ForceVersion, rec.ForceSpec, e.object = r.GetForceVersion(), r.GetForceSpec(), o
		}
	}
	return e
}

// parseActive returns the object of a peer's active version, which is older than its invalid newest one. An empty
// active spec means that the active version is a deletion.
func parseActive(r *peerpb.Record) (model.Object, bool) {
	if len(r.GetForceSpec()) == 0 {
		return nil, true
	}
	o, err := model.Parse(r.GetKind(), r.GetName(), r.GetForceSpec())
	return o, err == nil
}

func activeSpec(r *peerpb.Record) []byte {
	if r.GetForceVersion() == r.GetVersion() {
		return r.GetSpec()
	}
	return r.GetForceSpec()
}

func bucket(k Key) int {
	return int(xxhash.Sum64String(k.Kind+"/"+k.Name) % Buckets)
}

// hashOverhead is the size in bytes of the separator and the two versions in the hashed data.
const hashOverhead = 1 + 8 + 8

func hash(r *peerpb.Record) uint64 {
	b := make([]byte, 0, len(r.GetKind())+len(r.GetName())+hashOverhead)
	b = append(b, r.GetKind()...)
	b = append(b, 0)
	b = append(b, r.GetName()...)
	b = binary.LittleEndian.AppendUint64(b, r.GetVersion())
	b = binary.LittleEndian.AppendUint64(b, r.GetForceVersion())
	return xxhash.Sum64(b)
}

// Snapshot returns the snapshot of all active objects.
func (s *Store) Snapshot() *model.Snapshot {
	s.mu.RLock()
	snap, stale := s.snap, s.stale
	s.mu.RUnlock()
	if !stale {
		return snap
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stale {
		objects := make([]model.Object, 0, len(s.entries))
		for _, e := range s.entries {
			if e.object != nil {
				objects = append(objects, e.object)
			}
		}
		s.snap = model.NewSnapshot(objects)
		s.stale = false
	}
	return s.snap
}

// Hash returns one hash of the names and versions of all entries.
func (s *Store) Hash() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var h uint64
	for i, b := range s.hashes {
		h ^= b * (2*uint64(i) + 1)
	}
	return h
}

// BucketHashes returns the hash of each bucket.
func (s *Store) BucketHashes() []uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return append([]uint64(nil), s.hashes[:]...)
}

// Differing returns the records of the buckets whose hashes differ from a peer's.
func (s *Store) Differing(peer []uint64) []*peerpb.Record {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []*peerpb.Record
	for k, e := range s.entries {
		b := bucket(k)
		if b < len(peer) && peer[b] == s.hashes[b] {
			continue
		}
		out = append(out, e.record)
	}
	return out
}

// Since returns the records that changed after position from, and the position to pass to the next call.
func (s *Store) Since(from uint64) ([]*peerpb.Record, uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if from == s.seq {
		return nil, from
	}
	var out []*peerpb.Record
	for _, e := range s.entries {
		if e.seq > from {
			out = append(out, e.record)
		}
	}
	return out, s.seq
}

// Changed returns a channel that is closed at the next change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// Entries returns all entries, those of deleted objects included.
func (s *Store) Entries() map[Key]*Entry {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make(map[Key]*Entry, len(s.entries))
	for k, e := range s.entries {
		out[k] = e
	}
	return out
}

// Len returns the number of entries, those of deleted objects included.
func (s *Store) Len() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.entries)
}

// RejectedVersions returns how many records were rejected because the store had a higher version.
func (s *Store) RejectedVersions() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.rejected
}
