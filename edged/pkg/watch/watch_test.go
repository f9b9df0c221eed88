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
	t.Run("an entry that leaves is not usable", func(t *testing.T) {
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
	t.Run("a configuration never goes back", func(t *testing.T) {
		s := newState()
		s.Update(start, plan.TopicConfig, plan.Listing{Revision: 2, Changes: []plan.Change{config(t, 7, 2)}})
		s.Update(start, plan.TopicConfig, plan.Listing{Revision: 3, Changes: []plan.Change{config(t, 5, 3)}})
		assert.Equal(t, s.View().Config().Version(), uint64(7))
	})
	t.Run("an unreadable entry names no backend server", func(t *testing.T) {
		s := newState()
		odd := plan.Change{Name: "x", Revision: 4, Resource: plan.Unreadable{Err: errors.New("odd")}}
		s.Replace(start, plan.TopicBackends, plan.Listing{Revision: 5, Changes: []plan.Change{backend("x", 3, false)}})
		s.Update(start, plan.TopicBackends, plan.Listing{Revision: 6, Changes: []plan.Change{odd, backend("y", 5, false)}})
		assertUsable(t, s, 1)
	})
	t.Run("entries that lapse while the source is away are held until after its return", func(t *testing.T) {
		s := newState()
		s.Replace(start, plan.TopicBackends, plan.Listing{Revision: 5, Changes: []plan.Change{backend("x", 3, false), backend("y", 4, true)}})
		s.Away(start)
		back := start.Add(4 * time.Second)
		assert.Assert(t, s.Back(back))
		s.Replace(back, plan.TopicBackends, plan.Listing{Revision: 9})
		assertUsable(t, s, 1)
		s.ExpireHeld(back.Add(holdAfterReturn + time.Millisecond))
		assertUsable(t, s, 0)
	})
	t.Run("entries that are removed from a calm source go at once", func(t *testing.T) {
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
	pass := func() []Snapshot {
		rev, _ := second.Revision(plan.TopicBackends)
		snaps := first.Snapshots(map[plan.Topic]uint64{plan.TopicBackends: rev})
		for _, s := range snaps {
			second.Take(start, s)
		}
		return snaps
	}
	t.Run("a host that knows nothing gets all", func(t *testing.T) {
		assert.Assert(t, pass()[0].Full)
		assertUsable(t, second, 2)
	})
	t.Run("later it gets what changed and what was removed", func(t *testing.T) {
		gone := plan.Change{Name: "x", Revision: 7, Resource: plan.Removed{}}
		first.Update(start, plan.TopicBackends, plan.Listing{Revision: 7, Changes: []plan.Change{gone, backend("z", 6, false)}})
		snaps := pass()
		assert.Assert(t, !snaps[0].Full)
		assert.Equal(t, len(snaps[0].Changes), 2)
		assertUsable(t, second, 2)
		assert.Assert(t, second.View().Backend("x") == nil)
	})
	t.Run("nothing new, nothing sent", func(t *testing.T) { assert.Equal(t, len(pass()), 0) })
}

// deafSource is a source whose watches never answer.
type deafSource struct {
	mu       sync.Mutex
	revision uint64
	items    map[plan.Topic][]plan.Change
	end      chan struct{}
}

func (d *deafSource) List(_ context.Context, _ time.Time, t plan.Topic) (plan.Listing, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return plan.Listing{Revision: d.revision, Changes: d.items[t]}, nil
}

func (d *deafSource) Watch(ctx context.Context, _ plan.Topic, _ uint64, _ time.Duration) (plan.Listing, error) {
	<-ctx.Done()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		// Only an interrupt may end the watch: its own time limit would hide a probe that does nothing.
		<-d.end
	}
	return plan.Listing{}, ctx.Err()
}

func (d *deafSource) Revision(context.Context) (uint64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revision, nil
}

func (d *deafSource) RegisterMember(context.Context, plan.Member) error { return nil }

func (d *deafSource) CloseIdleConnections() {}

func (d *deafSource) set(t plan.Topic, c plan.Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision = c.Revision
	d.items[t] = []plan.Change{c}
}

type always struct{}

func (always) IsWatcher(time.Time) bool { return true }

func (always) SetStore(bool) {}

// TestDeafWatches is a watch that stays silent after the history was dropped, while another topic has been
// read since.
func TestDeafWatches(t *testing.T) {
	source := &deafSource{items: map[plan.Topic][]plan.Change{}, revision: 1, end: make(chan struct{})}
	state := newState()
	f := New(source, state, always{}, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		close(source.end)
		group.Wait()
	})
	group.Go(func() { _ = f.Run(ctx, plan.TopicConfig) })
	for _, ok := state.Revision(plan.TopicConfig); !ok; _, ok = state.Revision(plan.TopicConfig) {
		time.Sleep(time.Millisecond)
	}
	source.set(plan.TopicConfig, config(t, 3, 2))
	for _, topic := range []plan.Topic{plan.TopicBackends, plan.TopicDrains, plan.TopicMembers} {
		group.Go(func() { _ = f.Run(ctx, topic) })
	}
	for !state.ReadAll(2, plan.TopicBackends, plan.TopicDrains, plan.TopicMembers) {
		time.Sleep(time.Millisecond)
	}
	group.Go(func() { _ = f.Probe(ctx) })
	for state.View().Config() == nil {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, state.View().Config().Version(), uint64(3))
}
