package health_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/entryd/pkg/health"
)

const slots = 3

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func name(i int) string { return fmt.Sprintf("s%d", i) }

// feed records rounds of one request at each of n servers with the given latencies in milliseconds,
// and returns the time after them.
func feed(tr *health.Tracker, n, rounds int, took func(server int) int) int {
	now := 0
	for r := range rounds {
		for i := range n {
			id := uint64(r*n + i)
			tr.Started(at(now), name(i), id)
			tr.Ended(at(now+took(i)), name(i), id, true)
		}
		now += 30
	}
	return now
}

func even(int) int { return 10 }

func TestAllowed(t *testing.T) {
	t.Run("servers of equal latency get all their slots", func(t *testing.T) {
		tr := health.New()
		now := feed(tr, 4, 20, even)
		for i := range 4 {
			assert.Equal(t, tr.Allowed(at(now), name(i), slots), slots)
		}
	})
	t.Run("a slow server gets one slot", func(t *testing.T) {
		tr := health.New()
		now := feed(tr, 4, 20, func(i int) int {
			if i == 0 {
				return 100
			}
			return 10
		})
		assert.Equal(t, tr.Allowed(at(now), name(0), slots), 1)
		assert.Equal(t, tr.Allowed(at(now), name(1), slots), slots)
	})
	t.Run("a stalled server gets a probe a second", func(t *testing.T) {
		tr := health.New()
		now := feed(tr, 4, 20, even)
		tr.Started(at(now), name(0), 9000)
		assert.Equal(t, tr.Allowed(at(now+50), name(0), slots), slots)
		assert.Equal(t, tr.Allowed(at(now+400), name(0), slots), 2)
		tr.Started(at(now+400), name(0), 9001)
		assert.Equal(t, tr.Allowed(at(now+500), name(0), slots), 0)
		assert.Equal(t, tr.Allowed(at(now+1500), name(0), slots), slots)
		tr.Ended(at(now+1600), name(0), 9000, true)
		tr.Ended(at(now+1600), name(0), 9001, true)
		assert.Equal(t, tr.States()[name(0)], health.StateStalled)
		tr.Allowed(at(now+1700), name(0), slots)
		assert.Assert(t, tr.States()[name(0)] != health.StateStalled)
	})
	t.Run("one long request does not stall a server that responds to others", func(t *testing.T) {
		tr := health.New()
		now := feed(tr, 4, 20, even)
		tr.Started(at(now), name(0), 9000)
		for i := range 20 {
			tr.Started(at(now+i*30), name(0), uint64(9100+i))
			tr.Ended(at(now+i*30+10), name(0), uint64(9100+i), true)
		}
		assert.Equal(t, tr.Allowed(at(now+20*30), name(0), slots), slots)
	})
	t.Run("consecutive failures stall a server", func(t *testing.T) {
		tr := health.New()
		now := feed(tr, 4, 20, even)
		for range 3 {
			tr.CountFailure(name(2))
		}
		tr.Started(at(now), name(2), 9000)
		tr.Ended(at(now), name(2), 9000, false)
		tr.Allowed(at(now+30), name(2), slots)
		assert.Equal(t, tr.States()[name(2)], health.StateStalled)
	})
	t.Run("at most a third of the servers is reduced", func(t *testing.T) {
		tr := health.New()
		now := feed(tr, 6, 20, even)
		for i := range 6 {
			tr.Started(at(now), name(i), uint64(9000+i))
		}
		tr.Allowed(at(now+5000), name(0), slots)
		assert.Equal(t, len(tr.States()), 2)
	})
	t.Run("the tail latency follows the recorded latencies", func(t *testing.T) {
		tr := health.New()
		now := feed(tr, 4, 20, even)
		tail := tr.TailLatency(at(now))
		assert.Assert(t, tail >= 9*time.Millisecond && tail <= 12*time.Millisecond, "tail is %v", tail)
	})
}
