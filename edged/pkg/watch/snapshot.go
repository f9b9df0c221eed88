package watch

import (
	"slices"
	"time"

	"rosemarygrade.dev/lib/pkg/plan"
)

// Snapshot is what a host sends to a peer for a topic: all its resources, or the changes after the peer's revision.
type Snapshot struct {
	Topic    plan.Topic
	Revision uint64
	// Full reports whether Changes holds all resources of the topic, so that any other no longer exists.
	Full    bool
	Changes []plan.Change
	// Gaps are the ranges of revisions after the peer's in which Changes may lack removals, unless it is Full. A host whose revision is
	// within one can't apply the snapshot.
	Gaps []Gap
	// Backends is, in a snapshot of the drains, the revision of the sender's backend servers.
	Backends uint64
	Origin   plan.Origin
}

// Gap is a range of revisions, both ends excluded, of which only the result was received, by a list. A resource that was both created
// and removed within it has no tombstone.
type Gap struct{ From, To uint64 }

func (g Gap) contains(revision uint64) bool { return g.From < revision && revision < g.To }

// Snapshot returns a snapshot of a topic for a peer that has the topic at a revision, and whether the topic is newer than
// that. It is full if the peer has nothing of the topic or may have what was removed without a tombstone.
func (s *State) Snapshot(t plan.Topic, have uint64) (Snapshot, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	top := s.topics[t]
	if !top.loaded || top.contentRevision <= have {
		return Snapshot{}, false
	}
	snap := Snapshot{Topic: t, Revision: top.contentRevision, Full: have == 0 || top.needsAll(have)}
	if !snap.Full {
		snap.Gaps = top.gapsAfter(have)
	}
	if t == plan.TopicDrains {
		snap.Backends = s.topics[plan.TopicBackends].contentRevision
	}
	for _, c := range top.tombstones {
		removed, _ := c.Resource.(plan.Removed)
		if held := !removed.HoldUntil.IsZero(); (snap.Full && held) || (!snap.Full && c.Revision > have) {
			snap.Changes = append(snap.Changes, c)
		}
	}
	for _, c := range top.items {
		if snap.Full || c.Revision > have {
			snap.Changes = append(snap.Changes, c)
		}
	}
	return snap, true
}

// ApplySnapshot applies a snapshot from a peer, unless it is premature: the host then remains behind the peer and asks it for all topics.
func (s *State) ApplySnapshot(now time.Time, snap Snapshot) {
	if s.isPremature(snap) {
		return
	}
	l := plan.Listing{Revision: snap.Revision, Changes: snap.Changes, Origin: snap.Origin}
	if snap.Full {
		s.Replace(now, snap.Topic, l)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	top := s.topics[snap.Topic]
	if slices.ContainsFunc(snap.Gaps, func(g Gap) bool { return g.contains(top.revision) }) {
		// This host has moved on since it asked. It asks again, and the peer then sends all.
		return
	}
	for _, g := range snap.Gaps {
		if g.To > top.revision {
			top.addGap(g)
		}
	}
	s.update(now, snap.Topic, l)
}
