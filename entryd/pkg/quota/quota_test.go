package quota_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/entryd/pkg/quota"
)

const capacity = 100

var start = time.Unix(1_700_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// fill admits from a region until it is refused and returns how many were taken.
func fill(q *quota.Quota, now time.Time, region string) int {
	for n := 0; ; n++ {
		if !q.Admit(now, region, capacity) {
			return n
		}
	}
}

func TestDivision(t *testing.T) {
	t.Run("the own region may use everything", func(t *testing.T) {
		assert.Equal(t, fill(quota.New("own"), at(0), "own"), capacity)
	})
	t.Run("traffic new to the site begins small and grows", func(t *testing.T) {
		q := quota.New("own")
		first := fill(q, at(0), "far")
		assert.Assert(t, first > 0 && first <= 10, "began with %d", first)
		assert.Assert(t, fill(q, at(10), "far") > 0)
	})
	t.Run("no growth while its latency is higher", func(t *testing.T) {
		q := quota.New("own")
		q.Observe(at(0), "own", 10*time.Millisecond)
		q.Observe(at(0), "far", 50*time.Millisecond)
		before := q.Limit(at(0), "far", capacity)
		assert.Equal(t, q.Limit(at(5), "far", capacity), before)
	})
	t.Run("a grown region leaves the reserve", func(t *testing.T) {
		q := quota.New("own")
		q.Admit(at(0), "far", capacity)
		q.Leave(at(0), "far")
		far := fill(q, at(10), "far")
		assert.Assert(t, far <= 90, "far took %d", far)
		assert.Assert(t, fill(q, at(10), "own") >= 10)
	})
	t.Run("the reserve follows the own region's recent use", func(t *testing.T) {
		q := quota.New("own")
		for range 60 {
			q.Admit(at(0), "own", capacity)
		}
		for range 60 {
			q.Leave(at(1), "own")
		}
		assert.Assert(t, q.Reserve(at(1), capacity) >= 60)
		assert.Equal(t, q.Reserve(at(60), capacity), 10)
	})
	t.Run("two regions together stay below the capacity", func(t *testing.T) {
		q := quota.New("own")
		for _, r := range []string{"far", "farther"} {
			q.Admit(at(0), r, capacity)
		}
		n := 2 + fill(q, at(10), "far") + fill(q, at(10), "farther")
		assert.Assert(t, n <= 90, "took %d", n)
		own := fill(q, at(10), "own")
		assert.Equal(t, n+own, capacity)
	})
	t.Run("silence makes traffic new again", func(t *testing.T) {
		q := quota.New("own")
		q.Admit(at(0), "far", capacity)
		q.Leave(at(0), "far")
		grown := q.Limit(at(20), "far", capacity)
		assert.Assert(t, q.Limit(at(60), "far", capacity) < grown)
	})
}
