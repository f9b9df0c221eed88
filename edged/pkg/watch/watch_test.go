package watch

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/lib/pkg/plan"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func backend(id string, revision uint64, leaving bool) plan.Change {
	return plan.Change{Name: id, Revision: revision, Resource: plan.BackendSpec{
		ID: id, Incarnation: 1, Service: "alpha", Address: "127.0.0.1:1", DataCentre: "a", Slots: 1, Leaving: leaving,
	}}
}

func config(t *testing.T, version, revision uint64) plan.Change {
	t.Helper()
	c, err := plan.NewConfig(plan.ConfigSpec{Version: version})
	assert.NilError(t, err)
	return plan.Change{Name: "main", Revision: revision, Resource: c}
}

func newState() *State {
	return NewState(map[string]string{"a": "north"}, slog.New(slog.DiscardHandler))
}

func assertUsable(t *testing.T, s *State, want int) {
	t.Helper()
	assert.Equal(t, len(s.View().Usable("alpha")), want)
}

func TestState(t *testing.T) {
	t.Run("a leaving backend server is not usable", func(t *testing.T) {
		s := newState()
		s.Replace(start, plan.TopicBackends, plan.Listing{Revision: 5, Changes: []plan.Change{backend("x", 3, false), backend("y", 4, true)}})
		assertUsable(t, s, 1)
		s.Update(start, plan.TopicBackends, plan.Listing{Revision: 6, Changes: []plan.Change{backend("x", 6, true)}})
		assertUsable(t, s, 0)
	})
	t.Run("an older listing or change is ignored", func(t *testing.T) {
		s := newState()
		s.Replace(start, plan.TopicBackends, plan.Listing{Revision: 9, Changes: []plan.Change{backend("x", 8, true)}})
		s.Replace(start, plan.TopicBackends, plan.Listing{Revision: 7, Changes: []plan.Change{backend("x", 3, false)}})
		s.Update(start, plan.TopicBackends, plan.Listing{Revision: 9, Changes: []plan.Change{backend("x", 3, false)}})
		assertUsable(t, s, 0)
	})
	t.Run("an older version of the configuration is ignored", func(t *testing.T) {
		s := newState()
		s.Update(start, plan.TopicConfig, plan.Listing{Revision: 2, Changes: []plan.Change{config(t, 7, 2)}})
		s.Update(start, plan.TopicConfig, plan.Listing{Revision: 3, Changes: []plan.Change{config(t, 5, 3)}})
		assert.Equal(t, s.View().Config().Version(), uint64(7))
	})
	t.Run("an entry that can't be decoded is not a backend server", func(t *testing.T) {
		s := newState()
		unreadable := plan.Change{Name: "x", Revision: 4, Resource: plan.Unreadable{Err: errors.New("odd")}}
		s.Replace(start, plan.TopicBackends, plan.Listing{Revision: 5, Changes: []plan.Change{backend("x", 3, false)}})
		s.Update(start, plan.TopicBackends, plan.Listing{Revision: 6, Changes: []plan.Change{unreadable, backend("y", 5, false)}})
		assertUsable(t, s, 1)
	})
	t.Run("backend servers whose entries expire during a store outage are held until after its recovery", func(t *testing.T) {
		s := newState()
		s.Replace(start, plan.TopicBackends, plan.Listing{Revision: 5, Changes: []plan.Change{backend("x", 3, false), backend("y", 4, true)}})
		s.SetUnavailable(start)
		recovery := start.Add(4 * time.Second)
		assert.Assert(t, s.SetAvailable(recovery))
		s.Replace(recovery, plan.TopicBackends, plan.Listing{Revision: 9})
		assertUsable(t, s, 1)
		s.ExpireHeld(recovery.Add(holdAfterRecovery + time.Millisecond))
		assertUsable(t, s, 0)
	})
	t.Run("backend servers whose entries are removed without an outage are not held", func(t *testing.T) {
		s := newState()
		s.Replace(start, plan.TopicBackends, plan.Listing{Revision: 5, Changes: []plan.Change{backend("x", 3, false)}})
		s.Update(start.Add(time.Hour), plan.TopicBackends, plan.Listing{Revision: 6, Changes: []plan.Change{{Name: "x", Revision: 6, Resource: plan.Removed{}}}})
		assertUsable(t, s, 0)
	})
}

func TestSnapshots(t *testing.T) {
	first := newState()
	first.Replace(start, plan.TopicBackends, plan.Listing{Revision: 5, Changes: []plan.Change{backend("x", 3, false), backend("y", 4, false)}})
	second := newState()
	transfer := func() []Snapshot {
		rev, _ := second.Revision(plan.TopicBackends)
		snap, newer := first.Snapshot(plan.TopicBackends, rev)
		if !newer {
			return nil
		}
		second.ApplySnapshot(start, snap)
		return []Snapshot{snap}
	}
	t.Run("a host that has nothing gets a full snapshot", func(t *testing.T) {
		assert.Assert(t, transfer()[0].Full)
		assertUsable(t, second, 2)
	})
	t.Run("later it gets the changes and the removals", func(t *testing.T) {
		gone := plan.Change{Name: "x", Revision: 7, Resource: plan.Removed{}}
		first.Update(start, plan.TopicBackends, plan.Listing{Revision: 7, Changes: []plan.Change{gone, backend("z", 6, false)}})
		snaps := transfer()
		assert.Assert(t, !snaps[0].Full)
		assert.Equal(t, len(snaps[0].Changes), 2)
		assertUsable(t, second, 2)
		assert.Assert(t, second.View().Backend("x") == nil)
	})
	t.Run("without changes it gets no snapshot", func(t *testing.T) { assert.Equal(t, len(transfer()), 0) })
}

// stalledSource is a store whose watch calls never return a response.
type stalledSource struct {
	mu       sync.Mutex
	revision uint64
	items    map[plan.Topic][]plan.Change
	end      chan struct{}
}

func (s *stalledSource) List(_ context.Context, _ time.Time, t plan.Topic) (plan.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return plan.Listing{Revision: s.revision, Changes: s.items[t]}, nil
}

func (s *stalledSource) Watch(ctx context.Context, _ plan.Topic, _ uint64, _ time.Duration) (plan.Listing, error) {
	<-ctx.Done()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		// Only cancelWatches may end the call: if its timeout did, the test would pass without a working probe.
		<-s.end
	}
	return plan.Listing{}, ctx.Err()
}

func (s *stalledSource) Revision(context.Context) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision, nil
}

func (s *stalledSource) RegisterMember(context.Context, plan.Member) error { return nil }

func (s *stalledSource) CloseIdleConnections() {}

func (s *stalledSource) set(t plan.Topic, c plan.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = c.Revision
	s.items[t] = []plan.Change{c}
}

// alwaysElected makes the host a watcher all the time.
type alwaysElected struct{}

func (alwaysElected) IsWatcher(time.Time) bool { return true }

func (alwaysElected) MustRetry() bool { return false }

func (alwaysElected) Elected() <-chan struct{} { return nil }

func (alwaysElected) SetStoreReachable(bool) {}

func (alwaysElected) PeersReachStore(time.Time) bool { return false }

// TestStalledWatches guards against a change that is never delivered: a watch stalls when the store drops its history,
// and the other topics are listed at a later revision. The probe must find that this one topic is behind.
func TestStalledWatches(t *testing.T) {
	source := &stalledSource{items: map[plan.Topic][]plan.Change{}, revision: 1, end: make(chan struct{})}
	state := newState()
	w := New(source, state, alwaysElected{}, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		close(source.end)
		group.Wait()
	})
	group.Go(func() { _ = w.Run(ctx, plan.TopicConfig) })
	for _, ok := state.Revision(plan.TopicConfig); !ok; _, ok = state.Revision(plan.TopicConfig) {
		time.Sleep(time.Millisecond)
	}
	source.set(plan.TopicConfig, config(t, 3, 2))
	for _, topic := range []plan.Topic{plan.TopicBackends, plan.TopicDrains, plan.TopicMembers} {
		group.Go(func() { _ = w.Run(ctx, topic) })
	}
	for _, topic := range []plan.Topic{plan.TopicBackends, plan.TopicDrains, plan.TopicMembers} {
		for rev, _ := state.Revision(topic); rev < 2; rev, _ = state.Revision(topic) {
			time.Sleep(time.Millisecond)
		}
	}
	group.Go(func() { _ = w.Probe(ctx) })
	for state.View().Config() == nil {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, state.View().Config().Version(), uint64(3))
}

// downSource is a store that responds to no list call.
type downSource struct{ stalledSource }

func (*downSource) List(context.Context, time.Time, plan.Topic) (plan.Listing, error) {
	return plan.Listing{}, errors.New("refused")
}

// failureElection makes the host a watcher all the time and closes failed when it reports that it does not reach the store.
type failureElection struct {
	alwaysElected

	failed chan struct{}
	once   sync.Once
}

func (e *failureElection) SetStoreReachable(ok bool) {
	if !ok {
		e.once.Do(func() { close(e.failed) })
	}
}

// TestFailedList guards against a host that has taken over as a watcher, does not reach the store and keeps the role until its next probe.
func TestFailedList(t *testing.T) {
	election := &failureElection{failed: make(chan struct{})}
	w := New(&downSource{}, newState(), election, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { _ = w.Run(ctx, plan.TopicConfig) })
	select {
	case <-election.failed:
	case <-time.After(probeInterval):
		t.Error("the host did not report that it does not reach the store")
	}
	cancel()
	group.Wait()
}

// TestRelinquish lets a host lose the store while its peers still reach it: what they report counts at once, and when the host
// reads the store again, it holds entries that may only have expired.
func TestRelinquish(t *testing.T) {
	s := newState()
	s.Replace(start, plan.TopicBackends, plan.Listing{Revision: 5, Changes: []plan.Change{backend("x", 3, false), backend("y", 4, false)}})
	s.SetUnavailable(start)
	s.Relinquish()
	t.Run("a removal that a peer reports is not held", func(t *testing.T) {
		s.Update(start, plan.TopicBackends, plan.Listing{Revision: 6, Changes: []plan.Change{{Name: "x", Revision: 6, Resource: plan.Removed{}}}})
		assertUsable(t, s, 1)
	})
	t.Run("an entry that is missing after the return of the store is held", func(t *testing.T) {
		later := start.Add(10 * time.Second)
		assert.Assert(t, s.SetAvailable(later))
		s.Replace(later, plan.TopicBackends, plan.Listing{Revision: 7})
		assertUsable(t, s, 1)
		s.ExpireHeld(later.Add(2 * holdAfterRecovery))
		assertUsable(t, s, 0)
	})
}

// TestRemovalOfUnknown guards against a backend server that stays in use on a host because the peer that it hears from never had it.
func TestRemovalOfUnknown(t *testing.T) {
	peer, host := newState(), newState()
	peer.Replace(start, plan.TopicBackends, plan.Listing{Revision: 5, Changes: []plan.Change{backend("y", 4, false)}})
	host.Replace(start, plan.TopicBackends, plan.Listing{Revision: 6, Changes: []plan.Change{backend("x", 6, false), backend("y", 4, false)}})
	peer.Update(start, plan.TopicBackends, removal("x", 7, plan.Origin{Via: plan.ViaDelta, Peer: "127.0.0.2"}))
	peer.Update(start, plan.TopicBackends, plan.Listing{Revision: 8, Changes: []plan.Change{backend("z", 8, false)}})
	snap, newer := peer.Snapshot(plan.TopicBackends, 6)
	assert.Assert(t, newer && !snap.Full)
	host.ApplySnapshot(start, snap)
	assertUsable(t, host, 2)
	assert.Assert(t, host.View().Backend("x") == nil)
}

// removal returns a listing that removes a backend server.
func removal(id string, revision uint64, o plan.Origin) plan.Listing {
	return plan.Listing{Revision: revision, Origin: o, Changes: []plan.Change{{Name: id, Revision: revision, Resource: plan.Removed{}}}}
}

// TestLocalOutageHoldsNothing guards against requests to a backend server that has left, on hosts that lost the store alone, or that
// heard of such a host's recovery.
func TestLocalOutageHoldsNothing(t *testing.T) {
	all := plan.Listing{Revision: 5, Changes: []plan.Change{backend("x", 3, false), backend("y", 4, false)}}
	newLoaded := func() *State {
		s := newState()
		s.Replace(start, plan.TopicBackends, all)
		return s
	}
	later := start.Add(10 * time.Second)
	t.Run("a removal that a peer read", func(t *testing.T) {
		s := newLoaded()
		s.SetUnavailable(start)
		s.Update(later, plan.TopicBackends, removal("x", 6, plan.Origin{Via: plan.ViaPull, Peer: "127.0.0.2"}))
		assertUsable(t, s, 1)
	})
	t.Run("a removal after the outage of this host alone", func(t *testing.T) {
		s := newLoaded()
		s.SetUnavailable(start)
		s.SetLocalOutage(true)
		assert.Assert(t, s.SetAvailable(later))
		assert.Assert(t, s.RecoveryAge(later) > time.Hour, "peers must not hear of a recovery")
		s.Update(later, plan.TopicBackends, removal("x", 6, plan.Origin{Via: plan.ViaWatch}))
		assertUsable(t, s, 1)
	})
	t.Run("what was held before ends in time", func(t *testing.T) {
		s := newLoaded()
		s.ReportRecovery(start, 0)
		s.Update(start, plan.TopicBackends, removal("x", 6, plan.Origin{Via: plan.ViaWatch}))
		assertUsable(t, s, 2)
		s.SetUnavailable(start)
		s.SetLocalOutage(true)
		s.ExpireHeld(start.Add(holdAfterRecovery + time.Millisecond))
		assertUsable(t, s, 1)
	})
}

// TestHoldIsPassedOn guards against backend servers that are dropped after an outage of the store although they still run, on hosts that
// learn of the removal of their entries from peers.
func TestHoldIsPassedOn(t *testing.T) {
	for _, have := range []uint64{0, 5} {
		reader, peer := newState(), newState()
		for _, s := range []*State{reader, peer} {
			s.Replace(start, plan.TopicBackends, plan.Listing{Revision: 5, Changes: []plan.Change{backend("x", 3, false), backend("y", 4, false)}})
		}
		recovery := start.Add(4 * time.Second)
		reader.SetUnavailable(start)
		reader.Replace(recovery, plan.TopicBackends, plan.Listing{Revision: 9, Changes: []plan.Change{backend("y", 4, false)}})
		snap, newer := reader.Snapshot(plan.TopicBackends, have)
		assert.Assert(t, newer)
		snap.Origin = plan.Origin{Via: plan.ViaPull, Peer: "127.0.0.2"}
		peer.ApplySnapshot(recovery.Add(time.Second), snap)
		assertUsable(t, peer, 2)
		peer.ExpireHeld(recovery.Add(holdAfterRecovery + time.Millisecond))
		assertUsable(t, peer, 1)
	}
}

// TestLateSnapshot receives the response to a pull after newer changes have arrived in another way: what was removed meanwhile must
// not come back.
func TestLateSnapshot(t *testing.T) {
	peer, s := newState(), newState()
	first := plan.Listing{Revision: 5, Changes: []plan.Change{backend("x", 3, false), backend("y", 4, false)}}
	peer.Replace(start, plan.TopicBackends, first)
	s.Replace(start, plan.TopicBackends, first)
	peer.Update(start, plan.TopicBackends, plan.Listing{Revision: 6, Changes: []plan.Change{backend("x", 6, false)}})
	late, newer := peer.Snapshot(plan.TopicBackends, 5)
	assert.Assert(t, newer)
	s.Update(start, plan.TopicBackends, plan.Listing{Revision: 7, Changes: []plan.Change{{Name: "x", Revision: 7, Resource: plan.Removed{}}}})
	s.ApplySnapshot(start, late)
	assertUsable(t, s, 1)
	assert.Assert(t, s.View().Backend("x") == nil)
}
