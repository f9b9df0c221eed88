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

// fill admits from a region until it is refused and returns how many were taken.
func fill(q *quota.Quota, now time.Time, region string) int {
	for n := 0; ; n++ {
		if !q.Admit(now, region, size) {
			return n
		}
	}
}

// grown returns a quota to which the regions have sent long enough to have grown.
func grown(regions ...string) *quota.Quota {
	q := quota.New("own")
	for _, r := range regions {
		q.Admit(at(0), r, size)
		q.Release(at(0), r)
		q.Limit(at(20), r, size)
	}
	return q
}

func TestDivision(t *testing.T) {
	t.Run("the own region may use everything", func(t *testing.T) {
		assert.Equal(t, fill(quota.New("own"), at(0), "own"), size.Capacity)
	})
	t.Run("traffic new to the site begins small and grows", func(t *testing.T) {
		q := quota.New("own")
		first := fill(q, at(0), "far")
		assert.Assert(t, first > 0 && first <= 27, "began with %d", first)
		assert.Assert(t, fill(q, at(10), "far") > 0)
	})
	t.Run("no growth while its latency is higher", func(t *testing.T) {
		q := quota.New("own")
		q.ObserveLatency(at(0), "own", 10*time.Millisecond)
		q.ObserveLatency(at(0), "far", 50*time.Millisecond)
		before := q.Limit(at(0), "far", size)
		assert.Equal(t, q.Limit(at(5), "far", size), before)
	})
	t.Run("others get nothing of a full site", func(t *testing.T) {
		q := grown("far")
		q.SetBusySlots(at(0), 100)
		assert.Equal(t, fill(q, at(20), "far"), 0)
	})
	t.Run("and what the own region leaves of a busy one", func(t *testing.T) {
		q := grown("far")
		q.SetBusySlots(at(0), 80)
		taken := fill(q, at(20), "far")
		assert.Assert(t, taken > 0 && taken <= 3*12+1, "took %d", taken)
	})
	t.Run("the own region's recent use counts, not its last moment", func(t *testing.T) {
		q := grown("far")
		q.SetBusySlots(at(0), 90)
		q.SetBusySlots(at(20), 0)
		assert.Assert(t, q.Available(at(20), size.Slots) < 2)
		assert.Equal(t, q.Available(at(60), size.Slots), 90.0)
	})
	t.Run("two regions share, and the own region keeps its places", func(t *testing.T) {
		q := grown("far", "farther")
		n := fill(q, at(20), "far") + fill(q, at(20), "farther")
		assert.Assert(t, n <= 270, "took %d", n)
		assert.Equal(t, n+fill(q, at(20), "own"), size.Capacity)
	})
	t.Run("others leave free slots", func(t *testing.T) {
		q := grown("far")
		assert.Assert(t, q.AllowsRemote(at(20), 100, 0, 89))
		assert.Assert(t, !q.AllowsRemote(at(20), 100, 0, 90))
		assert.Assert(t, q.AllowsRemote(at(20), 1, 0, 0), "one slot is not kept from all others")
	})
	t.Run("silence makes traffic new again", func(t *testing.T) {
		q := grown("far")
		before := q.Limit(at(20), "far", size)
		assert.Assert(t, q.Limit(at(60), "far", size) < before)
	})
}
