package quota_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/entryd/pkg/quota"
)

var (
	size  = quota.Size{Slots: 100, Capacity: 900}
	start = time.Unix(1_700_000_000, 0)
)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// fill admits requests from a region until one is rejected, and returns how many were admitted.
func fill(q *quota.Quota, now time.Time, region string) int {
	for n := 0; ; n++ {
		if !q.Admit(now, region, size) {
			return n
		}
	}
}

// ramped returns a quota for which the ramp of the regions is complete.
func ramped(regions ...string) *quota.Quota {
	q := quota.New("own")
	for _, r := range regions {
		q.Admit(at(0), r, size)
		q.Release(at(0), r)
		q.Limit(at(20), r, size)
	}
	return q
}

func TestDivision(t *testing.T) {
	t.Run("the own region may use the whole capacity", func(t *testing.T) {
		assert.Equal(t, fill(quota.New("own"), at(0), "own"), size.Capacity)
	})
	t.Run("new traffic ramps up", func(t *testing.T) {
		q := quota.New("own")
		first := fill(q, at(0), "far")
		assert.Assert(t, first > 0 && first <= 27, "admitted %d at first", first)
		assert.Assert(t, fill(q, at(10), "far") > 0)
	})
	t.Run("no ramp while the region's latency is high", func(t *testing.T) {
		q := quota.New("own")
		q.ObserveLatency(at(0), "own", 10*time.Millisecond)
		q.ObserveLatency(at(0), "far", 50*time.Millisecond)
		before := q.Limit(at(0), "far", size)
		assert.Equal(t, q.Limit(at(5), "far", size), before)
	})
	t.Run("a site that its own region fills admits no other region", func(t *testing.T) {
		q := ramped("far")
		q.SetBusySlots(at(0), 100)
		assert.Equal(t, fill(q, at(20), "far"), 0)
	})
	t.Run("other regions get the capacity that the own region leaves", func(t *testing.T) {
		q := ramped("far")
		q.SetBusySlots(at(0), 80)
		admitted := fill(q, at(20), "far")
		assert.Assert(t, admitted > 0 && admitted <= 3*12+1, "admitted %d", admitted)
	})
	t.Run("the mean use of the own region counts, not its present use", func(t *testing.T) {
		q := ramped("far")
		q.SetBusySlots(at(0), 90)
		q.SetBusySlots(at(20), 0)
		assert.Assert(t, q.Available(at(20), size.Slots) < 2)
		assert.Equal(t, q.Available(at(60), size.Slots), 90.0)
	})
	t.Run("two regions share the remote capacity, and the own region gets the rest", func(t *testing.T) {
		q := ramped("far", "farther")
		n := fill(q, at(20), "far") + fill(q, at(20), "farther")
		assert.Assert(t, n <= 270, "admitted %d", n)
		assert.Equal(t, n+fill(q, at(20), "own"), size.Capacity)
	})
	t.Run("other regions leave the reserved slots free", func(t *testing.T) {
		q := ramped("far")
		assert.Assert(t, q.AllowsRemote(at(20), 100, 0, 89))
		assert.Assert(t, !q.AllowsRemote(at(20), 100, 0, 90))
		assert.Assert(t, q.AllowsRemote(at(20), 1, 0, 0), "a site of one slot reserves none")
	})
	t.Run("the ramp restarts after a pause", func(t *testing.T) {
		q := ramped("far")
		before := q.Limit(at(20), "far", size)
		assert.Assert(t, q.Limit(at(60), "far", size) < before)
	})
}
