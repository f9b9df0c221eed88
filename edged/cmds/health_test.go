package cmds

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// maxSlowStartRuns is how many requests all hosts together may send in a second to a backend server in slow start: one and a half
	// times the rate of 15 in the configuration, and 5 more.
	maxSlowStartRuns = 27
	// slowStartNotice is how long after its begin the hosts must know of a slow start.
	slowStartNotice = 1200 * time.Millisecond
	slowStartLength = 3500 * time.Millisecond
)

// runsIn returns how many of the sorted times are within a second from a time on.
func runsIn(times []time.Time, begin time.Time) int {
	first, _ := slices.BinarySearchFunc(times, begin, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, begin.Add(time.Second), time.Time.Compare)
	return end - first
}

// TestSlowStartWithoutStore guards against hosts that send at the full rate to a backend server that enters slow start while the store is
// down: its entry can't say so, only its responses to health checks do.
func TestSlowStartWithoutStore(t *testing.T) {
	f := newFleet(t)
	f.start(3)
	slow := f.backends["i-a1"]
	var callers sync.WaitGroup
	stop := make(chan struct{})
	for n, h := range slices.Concat(f.hosts, f.hosts) {
		callers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
					f.call(h, http.MethodGet, "/read/x", "", fmt.Sprintf("%d-%d", n, i))
				}
			}
		})
	}
	defer callers.Wait()
	defer close(stop)
	t.Run("no health checks are sent while the store responds", func(t *testing.T) {
		time.Sleep(slowStartNotice)
		assert.Equal(t, slow.HealthChecks(), 0)
	})
	f.store.SetUnavailable(true)
	f.eventually("health checks", func() bool { return slow.HealthChecks() > 0 })
	before := time.Now()
	time.Sleep(time.Second)
	assert.Assert(t, runsIn(slow.RunTimes(), before) > maxSlowStartRuns, "too little load to show anything")

	began := time.Now()
	slow.SetSlowStart(slowStartLength)
	time.Sleep(slowStartLength)
	times := slow.RunTimes()
	known, _ := slices.BinarySearchFunc(times, began.Add(slowStartNotice), time.Time.Compare)
	t.Run("all hosts together keep to the rate soon afterwards", func(t *testing.T) {
		for _, at := range times[known:] {
			assert.Assert(t, runsIn(times, at) <= maxSlowStartRuns, "%d requests in a second, %s after the start", runsIn(times, at), at.Sub(began))
		}
	})
	t.Run("one host goes on to send", func(t *testing.T) { assert.Assert(t, len(times) > known) })
}
