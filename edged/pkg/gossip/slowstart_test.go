package gossip

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/edged/pkg/pick"
)

// sends reports whether a host, which is not elected, sends requests to the only backend server of the service.
func (h *fleetHost) sends(now time.Time) bool {
	q := pick.Query{Service: "alpha", Allows: func(string) bool { return true }, Deadline: now.Add(time.Second)}
	c, ok := h.m.table.Choose(now, h.state.View(), q).(pick.Chosen)
	if ok {
		h.m.table.Done(now, c.Backend, &q, time.Millisecond, pick.Answered, pick.Load{})
	}
	return ok
}

// TestFleetSlowStart guards against hosts that do not learn of a slow start that another host found out by a health check.
func TestFleetSlowStart(t *testing.T) {
	forSizes(t, func(t *testing.T, size int) {
		f := newFleet(t, size, 1)
		f.run(20 * time.Second)
		sending := func() (n int) {
			for _, h := range f.hosts {
				if h.sends(f.now) {
					n++
				}
			}
			return n
		}
		assert.Equal(t, sending(), size)
		first := f.hosts[0]
		b := first.state.View().Backend("b-0")
		first.m.table.ReceiveSlowStart(f.now, b, 3*time.Second)
		first.m.SendSlowStart(f.now, b, 3*time.Second)
		f.run(300 * time.Millisecond)
		assert.Equal(t, sending(), 0, "the hosts that go on to send")
		f.run(3 * time.Second)
		assert.Assert(t, sending() > 0, "after the slow start")
	})
}

// TestStoreNews guards against a host that relies on entries of the store which nobody reads, and against health checks that nobody needs.
func TestStoreNews(t *testing.T) {
	news := func(t *testing.T, peer storeState, age time.Duration) bool {
		t.Helper()
		m := newTestMembership(t, 0)
		receiveHeartbeat(t, m, 1, start, func(hb *heartbeat) { hb.Store = peer })
		return m.HasStoreNews(start.Add(age))
	}
	t.Run("a peer that reaches the store passes its news on", func(t *testing.T) { assert.Assert(t, news(t, storeReachable, time.Second)) })
	t.Run("one that does not has none", func(t *testing.T) { assert.Assert(t, !news(t, storeUnreachable, time.Second)) })
	t.Run("one that failed has none", func(t *testing.T) { assert.Assert(t, !news(t, storeReachable, remoteTimeout)) })
	t.Run("a host that reads the store has its own", func(t *testing.T) {
		m := newTestMembership(t, 0)
		m.SetStoreReachable(true)
		assert.Assert(t, m.HasStoreNews(start))
		m.SetStoreReachable(false)
		assert.Assert(t, !m.HasStoreNews(start))
	})
	t.Run("a host that has just started waits for news", func(t *testing.T) {
		m := newTestMembership(t, 0)
		assert.Assert(t, m.HasStoreNews(m.startedAt.Add(time.Second)))
	})
}

// TestOddSlowStarts guards against slow starts that end a process, or that keep a backend server out of use for good.
func TestOddSlowStarts(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.run(5 * time.Second)
	h := f.hosts[0]
	for name, entries := range map[string]string{
		"no JSON": "{", "another form": `{"key":"b-0/1"}`, "unknown": `[{"key":"x/1","remainingMillis":5000}]`, "past": `[{"key":"b-0/1","remainingMillis":-5000}]`,
		"so far in the past that it overflows": `[{"key":"b-0/1","remainingMillis":-10000000000000}]`,
		"another incarnation":                  `[{"key":"b-0/2","remainingMillis":5000}]`,
	} {
		t.Run(name, func(t *testing.T) {
			h.m.receiveDeltas(f.now, fleetIP(1), []delta{{Topic: topicSlowStarts, Entries: []byte(entries)}})
			assert.Assert(t, h.sends(f.now))
		})
	}
	t.Run("longest", func(t *testing.T) {
		h.m.receiveDeltas(f.now, fleetIP(1), []delta{{Topic: topicSlowStarts, Entries: []byte(`[{"key":"b-0/1","remainingMillis":9223372036854775807}]`)}})
		assert.Assert(t, !h.sends(f.now))
		assert.Assert(t, h.sends(f.now.Add(maxSlowStart)))
	})
}
