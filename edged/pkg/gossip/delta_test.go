package gossip

import (
	"log/slog"
	"testing"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/edged/pkg/pick"
	"rosemarygrade.dev/edged/pkg/watch"
	"rosemarygrade.dev/lib/pkg/plan"
)

// TestDeltaWithGap guards against a host that keeps a removed backend server because it applied a delta across a gap: the sender learned of
// the range by a list, and the host knows a backend server that was created and removed within it.
func TestDeltaWithGap(t *testing.T) {
	f := newFleet(t, 3, 1)
	member := func(changes ...plan.Change) *Membership {
		state := watch.NewState(f.regions, slog.New(slog.DiscardHandler))
		state.Replace(f.now, plan.TopicBackends, plan.Listing{Revision: 40, Changes: []plan.Change{backendChange("a", 40)}})
		if len(changes) > 0 {
			last := changes[len(changes)-1].Revision
			state.Update(f.now, plan.TopicBackends, plan.Listing{Revision: last, Changes: changes})
		}
		return newMembership(f.now, Self{Name: "x", DataCentre: "dc-0", Region: "r", IP: "127.0.0.9", Port: 7000, Regions: f.regions}, state,
			pick.New(pick.DefaultRules(), noFleet{}), slog.New(slog.DiscardHandler), &fleetNetwork{f, f.hosts[0]})
	}
	sender := member()
	sender.state.Replace(f.now, plan.TopicBackends, plan.Listing{Revision: 50, Changes: []plan.Change{backendChange("a", 40)}})
	sender.state.Update(f.now, plan.TopicBackends, plan.Listing{Revision: 51, Changes: []plan.Change{backendChange("c", 51)}})
	d, ok, err := sender.newDelta(f.now, plan.TopicBackends, 40)
	assert.NilError(t, err)
	assert.Assert(t, ok)
	from := fleetIP(1)
	t.Run("a host within the gap does not apply it", func(t *testing.T) {
		within := member(backendChange("b", 45))
		within.receiveDeltas(f.now, from, []delta{d})
		revision, _ := within.state.Revision(plan.TopicBackends)
		assert.Equal(t, revision, uint64(45))
	})
	t.Run("a host before the gap applies it and passes the gap on", func(t *testing.T) {
		before := member()
		before.receiveDeltas(f.now, from, []delta{d})
		revision, _ := before.state.Revision(plan.TopicBackends)
		assert.Equal(t, revision, uint64(51))
		snap, _ := before.state.Snapshot(plan.TopicBackends, 45)
		assert.Assert(t, snap.Full)
	})
}

// TestDeltaOfEndedDrain guards against a host that applies the end of a drain, and passes it on, before the changes of backend servers that
// came before it.
func TestDeltaOfEndedDrain(t *testing.T) {
	f := newFleet(t, 3, 1)
	member := func() *Membership {
		state := watch.NewState(f.regions, slog.New(slog.DiscardHandler))
		state.Replace(f.now, plan.TopicBackends, plan.Listing{Revision: 40, Changes: []plan.Change{backendChange("a", 40)}})
		state.Replace(f.now, plan.TopicDrains, plan.Listing{Revision: 40, Changes: []plan.Change{{Name: "dc-0", Revision: 39, Resource: plan.Drained{}}}})
		return newMembership(f.now, Self{Name: "x", DataCentre: "dc-0", Region: "r", IP: "127.0.0.9", Port: 7000, Regions: f.regions}, state,
			pick.New(pick.DefaultRules(), noFleet{}), slog.New(slog.DiscardHandler), &fleetNetwork{f, f.hosts[0]})
	}
	sender, receiver := member(), member()
	sender.state.Update(f.now, plan.TopicBackends, plan.Listing{Revision: 41, Changes: []plan.Change{backendChange("a", 41)}})
	sender.state.Update(f.now, plan.TopicDrains, plan.Listing{Revision: 42, Changes: []plan.Change{{Name: "dc-0", Revision: 42, Resource: plan.Removed{}}}})
	changed, ok, err := sender.newDelta(f.now, plan.TopicBackends, 40)
	assert.NilError(t, err)
	assert.Assert(t, ok)
	ended, ok, err := sender.newDelta(f.now, plan.TopicDrains, 40)
	assert.NilError(t, err)
	assert.Assert(t, ok)
	receiver.receiveDeltas(f.now, fleetIP(1), []delta{ended})
	assert.Assert(t, receiver.state.View().Drained("dc-0"))
	assert.Equal(t, len(receiver.changes.recent), 0)
	receiver.receiveDeltas(f.now, fleetIP(1), []delta{changed, ended})
	assert.Assert(t, !receiver.state.View().Drained("dc-0"))
	assert.Equal(t, len(receiver.changes.recent), 2)
}

func backendChange(id string, revision uint64) plan.Change {
	return plan.Change{Name: id, Revision: revision, Resource: plan.BackendSpec{ID: id, Service: "alpha", Address: "127.0.0.1:1", DataCentre: "dc-0", Slots: 1}}
}
