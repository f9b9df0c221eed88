package gossip

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// applyWithin is the shortest time in which the users of a large fleet want a change to be active on all hosts.
	applyWithin = 3 * time.Second
	// stopTime is how long a stopping process goes on at least.
	stopTime = 2500 * time.Millisecond
	// darkTime is how long a host is without power.
	darkTime = 2 * time.Second
	// refusedTime is how long the store turns away every host that begins to watch it, up to refusedHosts; it does not accept those again.
	refusedTime  = 500 * time.Millisecond
	refusedHosts = 9
	// playedHosts is how many hosts the runs of each size have in total.
	playedHosts = 150
)

// watchers returns the hosts that watch the store.
func (f *fleet) watchers() []int {
	var out []int
	for i, h := range f.hosts {
		if !h.down && h.m.IsWatcher(f.now) {
			out = append(out, i)
		}
	}
	return out
}

func (f *fleet) setDown(hosts []int) {
	for _, i := range hosts {
		f.hosts[i].down = true
	}
}

// assertChangeArrives changes a backend server: all running hosts must have the change in time.
func (f *fleet) assertChangeArrives() {
	f.t.Helper()
	f.declareBackend("b-1", f.now.UnixMilli())
	f.run(applyWithin)
	f.assertZero(f.outdated(), "hosts without the change")
}

// TestFleetLostWatchers guards against a change that no host hears of for longer than it may take, because the hosts that watch
// the store have failed or are stopping and no other takes over.
func TestFleetLostWatchers(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		lose func(f *fleet)
	}{
		{"the watchers lose power for a short time", func(f *fleet) {
			lost := f.watchers()
			f.setDown(lost)
			f.after(darkTime, func() {
				for _, i := range lost {
					f.boot(f.hosts[i], i)
				}
			})
		}},
		{"the watchers and half of the others fail", func(f *fleet) {
			f.setDown(f.watchers())
			for _, i := range f.random.Perm(len(f.hosts))[:len(f.hosts)/2] {
				f.hosts[i].down = true
			}
		}},
		{"the watchers stop as planned", func(f *fleet) {
			lost := f.watchers()
			for _, i := range lost {
				f.hosts[i].stopping = true
				f.hosts[i].m.Leave()
				f.hosts[i].m.Tick(f.now, true)
			}
			f.run(stopTime)
			f.setDown(lost)
		}},
		{"the store turns away the watchers and those that take over", func(f *fleet) {
			refused, last := map[*fleetHost]bool{}, f.now.Add(refusedTime)
			f.storeAway = func(h *fleetHost) bool {
				if f.now.Before(last) && len(refused) < refusedHosts && h.m.IsWatcher(f.now) {
					refused[h] = true
				}
				return refused[h]
			}
			f.run(refusedTime)
		}},
		{"the watchers restart", func(f *fleet) {
			lost := f.watchers()
			f.setDown(lost)
			f.run(500 * time.Millisecond)
			for _, i := range lost {
				f.boot(f.hosts[i], i)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			forSizes(t, func(t *testing.T, size int) {
				for seed := range uint64(max(1, playedHosts/size)) {
					f := newSeededFleet(t, seed, size, 20)
					f.loss = 0.02
					f.run(8 * time.Second)
					c.lose(f)
					f.run(50 * time.Millisecond)
					f.assertChangeArrives()
				}
			})
		})
	}
}

// TestFleetResignation guards against a time without a watcher in a region while its watcher stops, and against one that stops
// before another host has taken over.
func TestFleetResignation(t *testing.T) {
	t.Parallel()
	for _, size := range []int{11, 30, 100} {
		t.Run(fmt.Sprintf("%d hosts", size), func(t *testing.T) {
			f := newFleet(t, size, 20)
			f.run(6 * time.Second)
			resigned := f.watchers()
			for _, i := range resigned {
				f.hosts[i].stopping = true
				f.hosts[i].m.Leave()
				f.hosts[i].m.Tick(f.now, true)
			}
			for end := f.now.Add(stopTime); f.now.Before(end); {
				f.run(fleetTick)
				watched := map[string]bool{}
				for _, i := range f.watchers() {
					watched[f.hosts[i].m.self.Region] = true
				}
				assert.Equal(t, len(watched), len(resigned), "regions with a watcher")
			}
			for _, i := range resigned {
				assert.Assert(t, !f.hosts[i].m.IsWatcher(f.now), "%s still watches", f.hosts[i].m.self.Name)
			}
		})
	}
}
