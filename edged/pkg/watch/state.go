// Package watch keeps a copy of the resources of the store. A host lists and watches the store itself, or gets the
// resources from a peer that does. The copy is published as an immutable view. Package gossip elects the hosts that watch
// and passes the resources on to the others.
package watch

import (
	"log/slog"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rosemarygrade.dev/lib/pkg/plan"
)

// holdAfterRecovery is how long after a store outage a backend server stays in the view although its entry expired. Backend
// servers that are still running have renewed their entries about 2 s after the store recovers.
const holdAfterRecovery = 2200 * time.Millisecond

// maxTombstones is how many tombstones a topic keeps. A peer that is older than the oldest one gets the whole topic.
const maxTombstones = 512

// maxGaps is how many gaps a topic keeps.
const maxGaps = 8

// State is the host's copy of the store's resources. It is safe for concurrent use.
type State struct {
	log     *slog.Logger
	regions map[string]string
	view    atomic.Pointer[plan.View]
	changed chan struct{}

	mu          sync.Mutex
	topics      map[plan.Topic]*topic
	config      *plan.Config
	held        map[string]hold
	recoveredAt time.Time
	unavailable bool
	// localOutage means that the store is, or was last, unavailable to this host while others reached it.
	localOutage bool
	// relinquished means that the store was unavailable when this host last read it.
	relinquished bool
	// batch is what is logged of the listing that is being applied.
	batch    batch
	received receivedRevisions
}

type topic struct {
	// revision is that of the last response of the store; contentRevision is the last at which a resource changed, listed that of the last
	// list call of this host.
	revision        uint64
	listed          uint64
	contentRevision uint64
	loaded          bool
	items           map[string]plan.Change
	// tombstones holds the last removals: all of those after the revision tombstonesSince, but for those in gaps.
	tombstones      []plan.Change
	tombstonesSince uint64
	gaps            []Gap
}

// addGap records a gap and forgets the oldest one if there are too many.
func (t *topic) addGap(g Gap) {
	t.gaps = append(t.gaps, g)
	if len(t.gaps) > maxGaps {
		t.tombstonesSince = max(t.tombstonesSince, t.gaps[0].To)
		t.gaps = t.gaps[1:]
	}
}

// gapsAfter returns the gaps that end after a revision.
func (t *topic) gapsAfter(revision uint64) []Gap {
	var out []Gap
	for _, g := range t.gaps {
		if g.To > revision {
			out = append(out, g)
		}
	}
	return out
}

// needsAll reports whether a peer that has the topic at a revision may have resources that were removed without a tombstone here.
func (t *topic) needsAll(have uint64) bool {
	return have < t.tombstonesSince || slices.ContainsFunc(t.gaps, func(g Gap) bool { return g.contains(have) })
}

// hasTombstone reports whether a removal, or a later one of the same resource, has a tombstone.
func (t *topic) hasTombstone(c plan.Change) bool {
	return slices.ContainsFunc(t.tombstones, func(old plan.Change) bool { return old.Name == c.Name && old.Revision >= c.Revision })
}

// addTombstone records a removal and evicts the oldest tombstone if there are too many.
func (t *topic) addTombstone(c plan.Change) {
	t.tombstones = append(t.tombstones, c)
	if len(t.tombstones) > maxTombstones {
		t.tombstonesSince = max(t.tombstonesSince, t.tombstones[0].Revision)
		t.tombstones = t.tombstones[1:]
	}
}

// hold keeps a backend server in the view until a time although its entry is no longer in the store.
type hold struct {
	spec  plan.BackendSpec
	until time.Time
}

// NewState returns an empty state. Regions maps each data centre to its region.
func NewState(regions map[string]string, log *slog.Logger) *State {
	s := &State{
		log: log, regions: regions, topics: map[plan.Topic]*topic{}, held: map[string]hold{},
		changed: make(chan struct{}, 1),
	}
	for _, t := range plan.Topics() {
		s.topics[t] = &topic{items: map[string]plan.Change{}}
	}
	s.view.Store(plan.NewView(nil, nil, nil, regions))
	return s
}

// View returns the active view.
func (s *State) View() *plan.View { return s.view.Load() }

// Changed returns a channel that receives a value after the view has changed. Several changes may be reported as one.
func (s *State) Changed() <-chan struct{} { return s.changed }

// Revision returns the revision of a topic, and whether the topic has been loaded.
func (s *State) Revision(t plan.Topic) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topics[t].revision, s.topics[t].loaded
}

// MissedTopics returns those of the topics that may have missed a change up to a revision of the store. The store numbers the changes of
// all topics together, so there is one if a revision was received in no topic. It may be of any topic that was not listed since: a watch
// that lost changes may go on with later ones.
func (s *State) MissedTopics(revision uint64, topics ...plan.Topic) []plan.Topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := uint64(math.MaxUint64)
	for _, t := range topics {
		oldest = min(oldest, s.topics[t].listed)
	}
	missing, found := s.received.newestMissing(oldest, revision)
	if !found {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(topics), func(t plan.Topic) bool { return s.topics[t].listed >= missing })
}

// ContentRevision returns the revision at which a topic last changed.
func (s *State) ContentRevision(t plan.Topic) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topics[t].contentRevision
}

// Members returns the hosts that are registered in the store.
func (s *State) Members() []plan.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []plan.Member
	for _, c := range s.topics[plan.TopicMembers].items {
		if m, ok := c.Resource.(plan.Member); ok {
			out = append(out, m)
		}
	}
	return out
}

// SetLocalOutage records whether other hosts reach the store while this one does not. If so, this host's outage says nothing of why
// entries are removed.
func (s *State) SetLocalOutage(local bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.localOutage = local
}

// SetUnavailable records that the store does not respond. Backend servers whose entries are missing when it does again are held.
func (s *State) SetUnavailable(time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = true
}

// SetAvailable records that the store responds, and reports whether it was unavailable before.
func (s *State) SetAvailable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasUnavailable := s.unavailable || s.relinquished
	if wasUnavailable && !s.localOutage {
		s.recoveredAt = now
	}
	s.unavailable, s.relinquished, s.localOutage = false, false, false
	return wasUnavailable
}

// Relinquish records that this host no longer reads the store itself. What its peers report counts at once then, also if this
// host did not reach the store.
func (s *State) Relinquish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relinquished = s.relinquished || s.unavailable
	s.unavailable = false
}

// RecoveryAge returns how long ago the store became available again after its last outage.
func (s *State) RecoveryAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.recoveredAt)
}

// ReportRecovery records that a peer saw the store recover from an outage the given time ago.
func (s *State) ReportRecovery(now time.Time, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := now.Add(-age); t.After(s.recoveredAt) {
		s.recoveredAt = t
	}
}

// Replace replaces all resources of a topic. A listing that is older than the topic's revision is ignored.
func (s *State) Replace(now time.Time, t plan.Topic, l plan.Listing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	top := s.topics[t]
	if top.loaded && l.Revision < top.revision {
		return
	}
	seen := make(map[string]bool, len(l.Changes))
	dirty := !top.loaded
	s.batch = batch{origin: l.Origin, bulk: dirty}
	for _, c := range l.Changes {
		seen[c.Name] = true
		dirty = s.applyReceived(now, t, top, c) || dirty
	}
	for name := range top.items {
		if !seen[name] {
			dirty = s.apply(now, t, top, plan.Change{Name: name, Revision: l.Revision, Resource: plan.Removed{}}) || dirty
		}
	}
	if dirty {
		top.contentRevision = l.Revision
	}
	switch {
	case !top.loaded:
		top.tombstonesSince = l.Revision
	case l.Revision > top.revision+1:
		top.addGap(Gap{From: top.revision, To: l.Revision})
	}
	if !l.Origin.FromPeer() {
		top.listed = l.Revision
	}
	s.logBatch("resources loaded", t, l)
	top.loaded, top.revision = true, l.Revision
	s.publish(t, dirty)
}

// Update applies changes to a topic. A change that is older than the resource is ignored, and so is a listing that is older than the
// topic: it holds nothing new, and what has been removed since would come back.
func (s *State) Update(now time.Time, t plan.Topic, l plan.Listing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update(now, t, l)
}

func (s *State) update(now time.Time, t plan.Topic, l plan.Listing) {
	top := s.topics[t]
	if l.Revision < top.revision {
		return
	}
	dirty, newest := false, top.contentRevision
	s.batch = batch{origin: l.Origin, bulk: len(l.Changes) > maxLoggedChanges}
	for _, c := range l.Changes {
		dirty = s.applyReceived(now, t, top, c) || dirty
		newest = max(newest, c.Revision)
	}
	s.logBatch("resources changed", t, l)
	top.revision = max(top.revision, l.Revision)
	switch {
	case newest > top.contentRevision:
		// Also if a list delivered the change before: it was then passed on under the revision of that list, which is lower. Hosts that
		// read the changes in different responses of the store agree on the revision of the newest one.
		top.contentRevision = newest
	case dirty:
		top.contentRevision = top.revision
	}
	s.publish(t, dirty)
}

// ExpireHeld deletes the held backend servers whose entries did not return to the store in time.
func (s *State) ExpireHeld(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	dirty := false
	for id, h := range s.held {
		if now.After(h.until) && (!s.unavailable || s.localOutage) {
			s.log.Info("held backend server deleted: its entry did not return after the store outage", "backend", id, "event", "gone")
			delete(s.held, id)
			dirty = true
		}
	}
	s.publish(plan.TopicBackends, dirty)
}

// applyReceived applies a change that was received. Its revision counts as received; that of a removal that is only inferred from a
// listing is unknown.
func (s *State) applyReceived(now time.Time, t plan.Topic, top *topic, c plan.Change) bool {
	s.received.add(c.Revision)
	return s.apply(now, t, top, c)
}

// apply applies a change and reports whether the view may have changed.
func (s *State) apply(now time.Time, t plan.Topic, top *topic, c plan.Change) bool {
	old, had := top.items[c.Name]
	if had && c.Revision < old.Revision {
		return false
	}
	if _, gone := c.Resource.(plan.Removed); gone {
		s.remove(now, t, top, c)
		return had
	}
	item, ok := s.accept(t, c)
	if !ok || (had && c.Revision == old.Revision) {
		return false
	}
	c.Resource = item
	top.items[c.Name] = c
	s.batch.noteChange(old, c)
	if !s.batch.bulk {
		s.log.Info("resource changed", append(originAttrs(s.batch.origin), "event", "declared", "topic", string(t), "name", c.Name, "revision", c.Revision)...)
	}
	return true
}

// accept reports whether a changed resource becomes active, and in which form. A configuration that is not newer than the
// active one or can't be decoded does not.
func (s *State) accept(t plan.Topic, c plan.Change) (plan.Resource, bool) {
	switch item := c.Resource.(type) {
	case *plan.Config:
		if s.config != nil && item.Version() <= s.config.Version() {
			return nil, false
		}
		s.config = item
		s.log.Info("configuration active", "event", "config", "version", item.Version(), "revision", c.Revision)
	case plan.Unreadable:
		s.log.Warn("resource could not be decoded", "event", "unreadable", "topic", string(t), "name", c.Name, "error", item.Err)
		return item, t != plan.TopicConfig
	case plan.BackendSpec:
		delete(s.held, c.Name)
		return item, true
	case plan.Drained, plan.Member, plan.Removed:
	}
	return c.Resource, true
}

// remove deletes a resource and records a tombstone, also for a resource that this host does not have: a list may have left it out
// before its removal was received, and peers may still have it.
func (s *State) remove(now time.Time, t plan.Topic, top *topic, c plan.Change) {
	old, had := top.items[c.Name]
	if spec, ok := old.Resource.(plan.BackendSpec); ok && !spec.Leaving {
		c.Resource = s.hold(now, spec, c)
	}
	if !top.hasTombstone(c) {
		top.addTombstone(c)
	}
	if !had {
		return
	}
	delete(top.items, c.Name)
	s.batch.noteRemoval(old)
	if !s.batch.bulk {
		s.log.Info("resource removed", append(originAttrs(s.batch.origin), "event", "removed", "topic", string(t), "name", c.Name, "revision", c.Revision)...)
	}
}

// hold keeps a backend server in the view whose entry was removed, if the entry may have expired only because the backend server
// could not renew it. It returns the removal for peers.
func (s *State) hold(now time.Time, spec plan.BackendSpec, c plan.Change) plan.Removed {
	removed, _ := c.Resource.(plan.Removed)
	if !s.batch.origin.FromPeer() {
		removed.HoldUntil = s.holdUntil(now)
	}
	if !removed.HoldUntil.After(now) {
		return plan.Removed{}
	}
	s.held[c.Name] = hold{spec: spec, until: removed.HoldUntil}
	s.log.Info("backend server held: its entry was removed during or shortly after a store outage", append(originAttrs(s.batch.origin),
		"event", "held", "backend", c.Name, "forMillis", removed.HoldUntil.Sub(now).Milliseconds())...)
	return removed
}

// holdUntil returns until when a backend server is held whose entry this host finds removed in the store: for holdAfterRecovery from the
// end of the last outage that all hosts had.
func (s *State) holdUntil(now time.Time) time.Time {
	if s.unavailable && !s.localOutage {
		return now.Add(holdAfterRecovery)
	}
	return s.recoveredAt.Add(holdAfterRecovery)
}

// publish publishes a new view if dirty is set, unless the topic is not part of the view.
func (s *State) publish(t plan.Topic, dirty bool) {
	if !dirty || t == plan.TopicMembers {
		return
	}
	specs := make([]plan.BackendSpec, 0, len(s.topics[plan.TopicBackends].items)+len(s.held))
	for _, c := range s.topics[plan.TopicBackends].items {
		if spec, ok := c.Resource.(plan.BackendSpec); ok {
			specs = append(specs, spec)
		}
	}
	for _, h := range s.held {
		specs = append(specs, h.spec)
	}
	drained := map[string]bool{}
	for name := range s.topics[plan.TopicDrains].items {
		drained[name] = true
	}
	s.view.Store(s.view.Load().Next(s.config, specs, drained, s.regions))
	select {
	case s.changed <- struct{}{}:
	default:
	}
}
