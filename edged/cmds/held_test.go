package cmds

import (
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/lib/pkg/logs"
	"rosemarygrade.dev/lib/pkg/plan"
)

// TestHeldEntriesExpireOnTick deletes a backend server's entry 2 s after the store has become available again, so that
// the entry is held for the last 200 ms of the hold time. The first tick after it must delete the entry: until then,
// requests may go to a backend server that no longer exists.
func TestHeldEntriesExpireOnTick(t *testing.T) {
	p, err := newProcess(validSettings(t), logs.New(io.Discard, ""))
	assert.NilError(t, err)
	now := time.Now()
	change := func(revision uint64, item plan.Resource) {
		p.state.Update(now, plan.TopicBackends, plan.Listing{Revision: revision, Changes: []plan.Change{{Name: "b", Revision: revision, Resource: item}}})
	}
	change(1, plan.BackendSpec{ID: "b", Service: "alpha", DataCentre: "north-a", Slots: 1, Address: "127.0.0.1:1"})
	p.state.ReportRecovery(now, 2*time.Second)
	change(2, plan.Removed{})
	p.tick(now, false)
	assert.Assert(t, p.state.View().Backend("b") != nil, "the entry is held")
	p.tick(now.Add(300*time.Millisecond), false)
	assert.Assert(t, p.state.View().Backend("b") == nil, "the entry is deleted")
}
