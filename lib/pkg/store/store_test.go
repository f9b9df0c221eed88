package store_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosemarygrade.dev/lib/pkg/peerpb"
	"rosemarygrade.dev/lib/pkg/store"
)

const (
	validSpec   = `{"batch":"b%d"}`
	invalidSpec = `{"batch":""}`
)

func recall(version uint64, valid bool) *peerpb.Record {
	spec := invalidSpec
	if valid {
		spec = fmt.Sprintf(validSpec, version)
	}
	return &peerpb.Record{Kind: "recall", Name: "r", Version: version, Spec: []byte(spec)}
}

func tombstone(version uint64) *peerpb.Record {
	return &peerpb.Record{Kind: "recall", Name: "r", Version: version, Deleted: true}
}

func entry(t *testing.T, s *store.Store) *store.Entry {
	t.Helper()
	e := s.Entries()[store.Key{Kind: "recall", Name: "r"}]
	assert.Assert(t, e != nil)
	return e
}

func assertVersions(t *testing.T, s *store.Store, version, active uint64) {
	t.Helper()
	r := entry(t, s).Record()
	assert.Equal(t, r.GetVersion(), version)
	assert.Equal(t, r.GetForceVersion(), active)
}

func TestOffer(t *testing.T) {
	rows := []struct {
		name            string
		records         []*peerpb.Record
		version, active uint64
		rejected        uint64
	}{
		{"first", []*peerpb.Record{recall(3, true)}, 3, 3, 0},
		{"newer", []*peerpb.Record{recall(3, true), recall(5, true)}, 5, 5, 0},
		{"older is rejected", []*peerpb.Record{recall(5, true), recall(3, true)}, 5, 5, 1},
		{"same again changes nothing", []*peerpb.Record{recall(5, true), recall(5, true)}, 5, 5, 0},
		{"invalid never becomes active", []*peerpb.Record{recall(3, true), recall(5, false)}, 5, 3, 0},
		{"valid after invalid", []*peerpb.Record{recall(3, true), recall(5, false), recall(6, true)}, 6, 6, 0},
		{"older valid after invalid is rejected", []*peerpb.Record{recall(5, false), recall(3, true)}, 5, 0, 1},
		{"deletion", []*peerpb.Record{recall(3, true), tombstone(4)}, 4, 4, 0},
		{"stale replica after deletion", []*peerpb.Record{tombstone(4), recall(3, true)}, 4, 4, 1},
		{"created again after deletion", []*peerpb.Record{recall(3, true), tombstone(4), recall(7, true)}, 7, 7, 0},
		{"invalid after deletion stays deleted", []*peerpb.Record{tombstone(4), recall(7, false)}, 7, 4, 0},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			s := store.New()
			for _, o := range r.records {
				s.Apply(o)
			}
			assertVersions(t, s, r.version, r.active)
			assert.Equal(t, s.RejectedVersions(), r.rejected)
		})
	}
	t.Run("the validation error is the reason", func(t *testing.T) {
		s := store.New()
		s.Apply(recall(5, false))
		assert.ErrorContains(t, fmt.Errorf("%s", entry(t, s).Reason()), "spec.batch")
	})
}

// TestForceVersionSpreads checks that a process that missed a valid version, and then received an invalid newer one,
// gets the valid version from a peer.
func TestForceVersionSpreads(t *testing.T) {
	a, b := store.New(), store.New()
	a.Apply(recall(3, true))
	b.Apply(recall(3, true))
	a.Apply(recall(4, true))
	a.Apply(recall(5, false))
	b.Apply(recall(5, false))
	assertVersions(t, b, 5, 3)
	b.Apply(a.Differing(b.BucketHashes())...)
	assertVersions(t, b, 5, 4)
	assert.Equal(t, a.Hash(), b.Hash())
}

// TestDeletionIsNotUndone checks that a deletion that one process missed stays in effect when the object is then
// created again with an invalid spec: the older valid version must not become active again.
func TestDeletionIsNotUndone(t *testing.T) {
	a, b := store.New(), store.New()
	a.Apply(recall(3, true), tombstone(4), recall(7, false))
	b.Apply(recall(3, true), recall(7, false))
	a.Apply(b.Differing(a.BucketHashes())...)
	assertVersions(t, a, 7, 4)
	b.Apply(a.Differing(b.BucketHashes())...)
	assertVersions(t, b, 7, 4)
}

func TestSinceGivesOnlyWhatChanged(t *testing.T) {
	s := store.New()
	s.Apply(recall(3, true))
	all, at := s.Since(0)
	assert.Equal(t, len(all), 1)
	none, same := s.Since(at)
	assert.Equal(t, len(none), 0)
	assert.Equal(t, same, at)
	s.Apply(recall(4, true))
	next, _ := s.Since(at)
	assert.Equal(t, next[0].GetVersion(), uint64(4))
}

// TestStoresConverge checks that two stores that get the same versions in any order, with some lost or repeated, are
// equal after two reconciliations each way, and that no store goes back to a lower version or active version.
func TestStoresConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := make([]*peerpb.Record, 0, 20)
		for v := uint64(1); v <= 20; v++ {
			name := fmt.Sprintf("o%d", rapid.IntRange(0, 3).Draw(t, "object"))
			spec := invalidSpec
			if rapid.Bool().Draw(t, "valid") {
				spec = fmt.Sprintf(validSpec, v)
			}
			records = append(records, &peerpb.Record{
				Kind: "recall", Name: name, Version: v, Spec: []byte(spec), Deleted: rapid.IntRange(0, 4).Draw(t, "deleted") == 0,
			})
		}
		stores := []*store.Store{store.New(), store.New()}
		for _, s := range stores {
			applySome(t, s, records)
		}
		for range 2 {
			stores[0].Apply(stores[1].Differing(stores[0].BucketHashes())...)
			stores[1].Apply(stores[0].Differing(stores[1].BucketHashes())...)
		}
		if stores[0].Hash() != stores[1].Hash() {
			t.Fatalf("stores differ after reconciliation")
		}
	})
}

func applySome(t *rapid.T, s *store.Store, records []*peerpb.Record) {
	highest := map[string]uint64{}
	active := map[string]uint64{}
	key := func(r *peerpb.Record) store.Key { return store.Key{Kind: r.GetKind(), Name: r.GetName()} }
	for range 30 {
		r := records[rapid.IntRange(0, len(records)-1).Draw(t, "record")]
		s.Apply(r)
		e := s.Entries()[key(r)].Record()
		if e.GetVersion() < highest[r.GetName()] || e.GetForceVersion() < active[r.GetName()] {
			t.Fatalf("a version or an active version decreased")
		}
		highest[r.GetName()], active[r.GetName()] = e.GetVersion(), e.GetForceVersion()
	}
}
