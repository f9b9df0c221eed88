// Package watch keeps what is declared in a source: it follows the source itself or takes what peers
// have read, and turns it into views.
package watch

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rosemarygrade.dev/lib/pkg/plan"
)

// holdAfterReturn is how long entries that lapsed while the source was away are still believed after its
// return: live backend servers are back about 2 s after it, by the platform's pages.
const holdAfterReturn = 2200 * time.Millisecond

// Snapshot is what a host passes on of a topic: all of it, or what changed after a revision.
type Snapshot struct {
	Topic    plan.Topic
	Revision uint64
	// Full says that what is not in Changes does not exist.
	Full    bool
	Changes []plan.Change
}

// goneMost is how many removals of a topic are remembered, so that peers need not be sent the whole topic.
const goneMost = 512

// State is what is declared. It is safe for concurrent use.
type State struct {
	log     *slog.Logger
	regions map[string]string
	view    atomic.Pointer[plan.View]
	changed chan struct{}

	mu     sync.Mutex
	topics map[plan.Topic]*topic
	config *plan.Config
	held   map[string]hold
	back   time.Time
	away   bool
	// newest is the revision of the newest change that was seen.
	newest uint64
}

type topic struct {
	// revision is that of the last answer of the source; content is the last at which something changed.
	revision uint64
	content  uint64
	known    bool
	items    map[string]plan.Change
	// gone holds the last removals; since is the revision after which none is missing there.
	gone  []plan.Change
	since uint64
}

// buried remembers a removal.
func (t *topic) buried(c plan.Change) {
	t.gone = append(t.gone, c)
	if len(t.gone) > goneMost {
		t.since = max(t.since, t.gone[0].Revision)
		t.gone = t.gone[1:]
	}
}

type hold struct {
	spec  plan.BackendSpec
	until time.Time
}

// NewState returns an empty state. Regions gives the region of each data centre.
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

// View returns the present view.
func (s *State) View() *plan.View { return s.view.Load() }

// Changed receives after changes.
func (s *State) Changed() <-chan struct{} { return s.changed }

// Revision returns the revision of a topic, and whether the topic is known at all.
func (s *State) Revision(t plan.Topic) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topics[t].revision, s.topics[t].known
}

// Newest returns the revision of the newest change that was seen in any topic.
func (s *State) Newest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest
}

// ReadAll tells whether each of the topics has been read at a revision or later.
func (s *State) ReadAll(revision uint64, topics ...plan.Topic) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range topics {
		if !s.topics[t].known || s.topics[t].revision < revision {
			return false
		}
	}
	return true
}

// Content returns the revision at which a topic last changed.
func (s *State) Content(t plan.Topic) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topics[t].content
}

// Members returns the declared hosts.
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

// Away says that the source does not answer.
func (s *State) Away(time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
}

// Back says that the source answers, and tells whether it was away before.
func (s *State) Back(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.away {
		return false
	}
	s.away, s.back = false, now
	return true
}

// BackAge returns how long ago the source returned from being away.
func (s *State) BackAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.back)
}

// ReportRecovery says that a peer saw the source return that long ago.
func (s *State) ReportRecovery(now time.Time, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := now.Add(-age); t.After(s.back) {
		s.back = t
	}
}

// Replace takes a whole listing of a topic. One that is older than what is known is ignored.
func (s *State) Replace(now time.Time, t plan.Topic, l plan.Listing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	top := s.topics[t]
	if top.known && l.Revision < top.revision {
		return
	}
	seen := make(map[string]bool, len(l.Changes))
	dirty := !top.known
	for _, c := range l.Changes {
		seen[c.Name] = true
		dirty = s.applyNew(now, t, top, c) || dirty
	}
	for name := range top.items {
		if !seen[name] {
			dirty = s.apply(now, t, top, plan.Change{Name: name, Revision: l.Revision, Resource: plan.Removed{}}) || dirty
		}
	}
	if dirty {
		top.content = l.Revision
	}
	if !top.known {
		top.since = l.Revision
	}
	top.known, top.revision = true, l.Revision
	s.publish(dirty)
}

// Update takes what changed in a topic.
func (s *State) Update(now time.Time, t plan.Topic, l plan.Listing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	top := s.topics[t]
	dirty := false
	for _, c := range l.Changes {
		dirty = s.applyNew(now, t, top, c) || dirty
	}
	top.revision = max(top.revision, l.Revision)
	if dirty {
		top.content = top.revision
	}
	s.publish(dirty)
}

// Take takes what a peer passed on.
func (s *State) Take(now time.Time, snap Snapshot) {
	l := plan.Listing{Revision: snap.Revision, Changes: snap.Changes}
	if snap.Full {
		s.Replace(now, snap.Topic, l)
		return
	}
	s.Update(now, snap.Topic, l)
}

// ExpireHeld lets go of entries that did not come back in time.
func (s *State) ExpireHeld(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	dirty := false
	for id, h := range s.held {
		if now.After(h.until) && !s.away {
			s.log.Info("backend server lapsed", "backend", id, "event", "gone")
			delete(s.held, id)
			dirty = true
		}
	}
	s.publish(dirty)
}

// applyNew takes one change that carries its own revision.
func (s *State) applyNew(now time.Time, t plan.Topic, top *topic, c plan.Change) bool {
	s.newest = max(s.newest, c.Revision)
	return s.apply(now, t, top, c)
}

// apply takes one change and tells whether the view may differ.
func (s *State) apply(now time.Time, t plan.Topic, top *topic, c plan.Change) bool {
	old, had := top.items[c.Name]
	if had && c.Revision < old.Revision {
		return false
	}
	if _, gone := c.Resource.(plan.Removed); gone {
		s.remove(now, t, top, c)
		return had
	}
	item, ok := s.accept(t, old, c)
	if !ok || (had && c.Revision == old.Revision) {
		return false
	}
	c.Resource = item
	top.items[c.Name] = c
	s.log.Info("declaration", "event", "declared", "topic", string(t), "name", c.Name, "revision", c.Revision)
	return true
}

// accept tells whether a declaration comes into force, and in which form.
func (s *State) accept(t plan.Topic, old, c plan.Change) (plan.Resource, bool) {
	switch item := c.Resource.(type) {
	case *plan.Config:
		if s.config != nil && item.Version() <= s.config.Version() {
			return nil, false
		}
		s.config = item
		s.log.Info("configuration in force", "event", "config", "version", item.Version(), "revision", c.Revision)
	case plan.Unreadable:
		s.log.Warn("declaration unreadable", "event", "unreadable", "topic", string(t), "name", c.Name, "error", item.Err)
		return item, t != plan.TopicConfig
	case plan.BackendSpec:
		delete(s.held, c.Name)
		return keepCold(old, item), true
	case plan.Drained, plan.Member, plan.Removed:
	}
	return c.Resource, true
}

// remove takes a removal.
func (s *State) remove(now time.Time, t plan.Topic, top *topic, c plan.Change) {
	old, had := top.items[c.Name]
	if !had {
		return
	}
	delete(top.items, c.Name)
	top.buried(c)
	s.lapse(now, c.Name, old)
	s.log.Info("declaration removed", "event", "removed", "topic", string(t), "name", c.Name, "revision", c.Revision)
}

// keepCold keeps the earlier end of a cold time within an incarnation: the entry tells what was left when it
// was written, not when it is read again.
func keepCold(old plan.Change, item plan.BackendSpec) plan.BackendSpec {
	spec, ok := old.Resource.(plan.BackendSpec)
	same := ok && spec.Incarnation == item.Incarnation && spec.Leaving == item.Leaving
	if same && !spec.SlowStartUntil.IsZero() && spec.SlowStartUntil.Before(item.SlowStartUntil) {
		item.SlowStartUntil = spec.SlowStartUntil
	}
	return item
}

// lapse holds on to a backend server whose entry went while the source was away.
func (s *State) lapse(now time.Time, name string, old plan.Change) {
	spec, ok := old.Resource.(plan.BackendSpec)
	if !ok || spec.Leaving || (!s.away && now.Sub(s.back) > holdAfterReturn) {
		return
	}
	until := s.back.Add(holdAfterReturn)
	if s.away {
		until = now.Add(holdAfterReturn)
	}
	s.held[name] = hold{spec: spec, until: until}
}

// publish makes a new view of what is known.
func (s *State) publish(dirty bool) {
	if !dirty {
		return
	}
	var specs []plan.BackendSpec
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
	s.view.Store(plan.NewView(s.config, specs, drained, s.regions))
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Snapshots returns the topics that are known at a higher revision than a peer has.
func (s *State) Snapshots(have map[plan.Topic]uint64) []Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Snapshot
	for _, t := range plan.Topics() {
		top := s.topics[t]
		if !top.known || top.content <= have[t] {
			continue
		}
		snap := Snapshot{Topic: t, Revision: top.content, Full: have[t] == 0 || have[t] < top.since}
		for _, c := range slices.Concat(top.gone, slices.Collect(maps.Values(top.items))) {
			_, removed := c.Resource.(plan.Removed)
			if (snap.Full && !removed) || (!snap.Full && c.Revision > have[t]) {
				snap.Changes = append(snap.Changes, c)
			}
		}
		out = append(out, snap)
	}
	return out
}
