package watch

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/lib/pkg/plan"
)

// undrainSource is a store in which a backend server begins a slow start at revision 6 and the drain of its data centre ends at 7.
type undrainSource struct {
	stalledSource

	// compacted means that the store no longer has the changes of backend servers.
	compacted bool
}

func slowBackend(now time.Time) plan.Change {
	c := backend("x", 6, false)
	spec, _ := c.Resource.(plan.BackendSpec)
	spec.SlowStartUntil = now.Add(time.Minute)
	c.Resource = spec
	return c
}

func (s *undrainSource) List(_ context.Context, now time.Time, t plan.Topic) (plan.Listing, error) {
	l := plan.Listing{Revision: 7}
	if t == plan.TopicBackends {
		l.Changes = []plan.Change{slowBackend(now)}
	}
	return l, nil
}

func (s *undrainSource) Watch(ctx context.Context, t plan.Topic, since uint64, wait time.Duration) (plan.Listing, error) {
	switch {
	case t == plan.TopicBackends && s.compacted:
		return plan.Listing{}, context.DeadlineExceeded
	case t == plan.TopicBackends:
		return plan.Listing{Revision: 7, Changes: []plan.Change{slowBackend(time.Now())}}, nil
	case since < 7:
		return plan.Listing{Revision: 7, Changes: []plan.Change{{Name: "n", Revision: 7, Resource: plan.Removed{}}}}, nil
	default:
		return s.stalledSource.Watch(ctx, t, since, wait)
	}
}

// newDrained returns a state in which the data centre of a backend server is drained.
func newDrained() *State {
	s := newState()
	s.Replace(start, plan.TopicBackends, plan.Listing{Revision: 5, Changes: []plan.Change{backend("x", 5, false)}})
	s.Replace(start, plan.TopicDrains, plan.Listing{Revision: 5, Changes: []plan.Change{{Name: "n", Revision: 4, Resource: plan.Drained{}}}})
	return s
}

// TestDrainEndsInOrder guards against requests at the full rate to a backend server that has said that it is in slow start before the
// drain of its data centre ended, because a host applied the end of the drain first.
func TestDrainEndsInOrder(t *testing.T) {
	for name, c := range map[string]struct{ listed, compacted bool }{
		"a watch reports it":                     {listed: true},
		"a watch reports it without history":     {listed: true, compacted: true},
		"a list reports it":                      {},
		"a list reports it, without any history": {compacted: true},
	} {
		t.Run(name, func(t *testing.T) {
			listed, state := c.listed, newDrained()
			source := &undrainSource{stalledSource: stalledSource{end: make(chan struct{})}, compacted: c.compacted}
			w := New(source, state, alwaysElected{}, slog.New(slog.DiscardHandler))
			ctx, cancel := context.WithCancel(t.Context())
			var group sync.WaitGroup
			t.Cleanup(func() {
				cancel()
				close(source.end)
				group.Wait()
			})
			group.Go(func() { _ = w.listOrWatch(ctx, plan.TopicDrains, listed) })
			for state.View().Drained("n") {
				time.Sleep(time.Millisecond)
			}
			assert.Assert(t, state.View().Backend("x").InSlowStart(time.Now()))
		})
	}
	t.Run("a peer reports it", func(t *testing.T) {
		peer, host := newDrained(), newDrained()
		peer.Update(start, plan.TopicBackends, plan.Listing{Revision: 6, Changes: []plan.Change{slowBackend(start)}})
		peer.Update(start, plan.TopicDrains, plan.Listing{Revision: 7, Changes: []plan.Change{{Name: "n", Revision: 7, Resource: plan.Removed{}}}})
		backends, _ := peer.Snapshot(plan.TopicBackends, 5)
		drains, _ := peer.Snapshot(plan.TopicDrains, 5)
		host.ApplySnapshot(start, drains)
		assert.Assert(t, host.View().Drained("n"))
		host.ApplySnapshot(start, backends)
		host.ApplySnapshot(start, drains)
		assert.Assert(t, !host.View().Drained("n"))
		assert.Assert(t, host.View().Backend("x").InSlowStart(start))
	})
}
