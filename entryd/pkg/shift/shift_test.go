package shift_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosemarygrade.dev/entryd/pkg/shift"
	"rosemarygrade.dev/lib/pkg/model"
)

// init fixes the seed, so that every run gives the same verdict; -rapid.seed on the command line wins.
func init() { _ = flag.Set("rapid.seed", "20261204") }

var start = time.Unix(1_700_000_000, 0)

func shifts(capPercent float64, ramp int) []*model.Shift {
	o, err := model.Parse("shift", "x", []byte(fmt.Sprintf(
		`{"service":"s","from":"a","to":"b","capPercent":%g,"rampSeconds":%d}`, capPercent, ramp)))
	if err != nil {
		panic(err)
	}
	s, _ := o.(*model.Shift)
	return []*model.Shift{s}
}

// run lets n requests arrive and tries to move every one of them to the region.
func run(l *shift.Limiter, now time.Time, s []*model.Shift, to string, n int) int {
	moved := 0
	for range n {
		l.CountArrival(now, s)
		if l.Allow(s, to) {
			moved++
		}
	}
	return moved
}

func TestCap(t *testing.T) {
	rows := []struct {
		percent  float64
		n, moved int
	}{{0, 100, 0}, {25, 100, 25}, {100, 100, 100}, {33.3, 1000, 333}, {1, 99, 0}, {1, 100, 1}}
	for _, r := range rows {
		t.Run(fmt.Sprint(r.percent), func(t *testing.T) {
			assert.Equal(t, run(shift.NewLimiter(), start, shifts(r.percent, 0), "b", r.n), r.moved)
		})
	}
	t.Run("other regions are free", func(t *testing.T) {
		assert.Equal(t, run(shift.NewLimiter(), start, shifts(25, 0), "c", 10), 10)
	})
	t.Run("quiet time saves no burst", func(t *testing.T) {
		l, s := shift.NewLimiter(), shifts(50, 0)
		for range 100 {
			l.CountArrival(start, s)
		}
		assert.Equal(t, run(l, start, s, "b", 2), 2)
		assert.Equal(t, run(l, start, s, "b", 100), 50)
	})
	t.Run("the share grows over the ramp", func(t *testing.T) {
		l, s := shift.NewLimiter(), shifts(50, 100)
		assert.Equal(t, run(l, start, s, "b", 10), 0)
		assert.Equal(t, run(l, start.Add(50*time.Second), s, "b", 100), 25)
		assert.Equal(t, run(l, start.Add(500*time.Second), s, "b", 100), 50)
	})
	t.Run("a host that is new to the shift ramps anew", func(t *testing.T) {
		assert.Equal(t, run(shift.NewLimiter(), start.Add(time.Hour), shifts(50, 100), "b", 10), 0)
	})
}

// TestCapHolds checks that hosts which move whenever they may never pass the cap together, whatever
// the order of arrivals and of overflow.
func TestCapHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := float64(rapid.IntRange(0, 100).Draw(t, "cap"))
		s := shifts(percent, 0)
		hosts := []*shift.Limiter{shift.NewLimiter(), shift.NewLimiter(), shift.NewLimiter()}
		arrived, moved := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			l := hosts[rapid.IntRange(0, 2).Draw(t, "host")]
			l.CountArrival(start, s)
			arrived++
			for range rapid.IntRange(0, 3).Draw(t, "tries") {
				if l.Allow(s, "b") {
					moved++
				}
			}
			if float64(moved) > percent/100*float64(arrived)+1e-6 {
				t.Fatalf("%d of %d moved at a cap of %g%%", moved, arrived, percent)
			}
		}
	})
}
