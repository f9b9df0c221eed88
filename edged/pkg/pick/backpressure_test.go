package pick

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/lib/pkg/header"
	"rosemarygrade.dev/lib/pkg/plan"
)

// nextObject makes the objects of sendAll different ones, so that none of them is warm anywhere.
var nextObject atomic.Uint64

// sendAll sends a request for each of n new objects and returns how many each backend server got, by key.
func sendAll(table *Table, now time.Time, v *plan.View, n int) map[string]int {
	sent := map[string]int{}
	for range n {
		q := query(nextObject.Add(1))
		if c, ok := table.Choose(now, v, q).(Chosen); ok {
			sent[c.Backend.Key()]++
			finish(table, now, c.Backend, q)
		}
	}
	return sent
}

// TestLeavingInResponses guards against requests to a backend server that says in its responses that it leaves, while the store's word
// does not reach this host.
func TestLeavingInResponses(t *testing.T) {
	const objects = 50
	incarnation := func(n int64) *plan.View {
		return view(2, func(s *plan.BackendSpec) {
			if s.ID == "b0" {
				s.Incarnation = n
			}
		})
	}
	table, v := New(DefaultRules(), testFleet{}), incarnation(1)
	assert.Assert(t, sendAll(table, start, v, objects)["b0/1"] > 0)
	old := v.Backend("b0")
	assert.Assert(t, table.ReceiveBackpressure(start, old, header.Backpressure{Leaving: true}))
	t.Run("it gets no more requests", func(t *testing.T) {
		sent := sendAll(table, start, v, objects)
		assert.Equal(t, sent["b0/1"], 0)
		assert.Equal(t, sent["b1/0"], objects)
	})
	t.Run("a later response without the word changes nothing", func(t *testing.T) {
		assert.Assert(t, !table.ReceiveBackpressure(start, old, header.Backpressure{}))
		assert.Equal(t, sendAll(table, start, v, objects)["b0/1"], 0)
	})
	t.Run("queued requests do not reach it", func(t *testing.T) {
		only := view(1, func(s *plan.BackendSpec) { s.Incarnation = 1 })
		_, rejected := table.Choose(start, only, query(1)).(Rejected)
		assert.Assert(t, rejected)
	})
	t.Run("an entry that comes back for the same incarnation", func(t *testing.T) {
		gone := view(2, func(s *plan.BackendSpec) { s.ID += "x" })
		table.Prune(start.Add(time.Minute), gone)
		assert.Equal(t, sendAll(table, start.Add(time.Minute), v, objects)["b0/1"], 0)
	})
	t.Run("a new incarnation under the same ID gets requests", func(t *testing.T) {
		next := incarnation(2)
		assert.Assert(t, sendAll(table, start, next, objects)["b0/2"] > 0)
		table.ReceiveBackpressure(start, old, header.Backpressure{Leaving: true})
		assert.Assert(t, sendAll(table, start, next, objects)["b0/2"] > 0)
	})
}
