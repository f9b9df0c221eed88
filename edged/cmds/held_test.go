package cmds

import (
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/lib/pkg/logs"
	"rosemarygrade.dev/lib/pkg/plan"
)

// TestHeldEntriesEndWithABeat removes an entry just after the store's return, so that it is held. The first beat after its
// time must let it go: a later one may be too late for a backend server that has left.
func TestHeldEntriesEndWithABeat(t *testing.T) {
	p, err := newProcess(goodSettings(t), logs.New(io.Discard, ""))
	assert.NilError(t, err)
	now := time.Now()
	change := func(revision uint64, item plan.Resource) {
		p.state.Update(now, plan.TopicBackends, plan.Listing{Revision: revision, Changes: []plan.Change{{Name: "b", Revision: revision, Resource: item}}})
	}
	change(1, plan.BackendSpec{ID: "b", Service: "alpha", DataCentre: "north-a", Slots: 1, Address: "127.0.0.1:1"})
	p.state.ReportRecovery(now, 2*time.Second)
	change(2, plan.Removed{})
	p.onBeat(now, false)
	assert.Assert(t, p.state.View().Backend("b") != nil, "it is held")
	p.onBeat(now.Add(300*time.Millisecond), false)
	assert.Assert(t, p.state.View().Backend("b") == nil, "it is gone")
}
