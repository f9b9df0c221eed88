package engine

import (
	"slices"
	"time"

	"rosemarygrade.dev/edged/pkg/pick"
	"rosemarygrade.dev/lib/pkg/plan"
	"rosemarygrade.dev/simul/pkg/spec"
)

// backend is a simulated backend server.
type backend struct {
	world      *World
	dataCentre string
	running    int
	queue      []*send
	warm       map[uint64]time.Duration
	noisy      bool
	noiseUntil time.Duration
	// slowBy and failBy decide whether an event that meets a share of the backend servers meets this one.
	slowBy, failBy float64
}

// send is one request at one backend server.
type send struct {
	req     *request
	host    *host
	backend *plan.Backend
	begun   time.Time
	working bool
	ended   bool
	tailed  float64
}

func newBackend(w *World, dataCentre string) *backend {
	return &backend{world: w, dataCentre: dataCentre, warm: map[uint64]time.Duration{}, slowBy: w.rng.Float64(), failBy: w.rng.Float64()}
}

// slowness returns how much longer than usual work takes now.
func (b *backend) slowness() float64 {
	w, rule := b.world, b.world.scene.Backend
	if rule.NoiseShare > 0 && w.now >= b.noiseUntil {
		b.noisy = w.rng.Float64() < rule.NoiseShare
		b.noiseUntil = w.now + millis(rule.NoiseMillis*(0.5+w.rng.Float64()))
	}
	if b.noisy {
		return rule.NoiseFactor
	}
	return 1
}

// slow returns the factor of the scene's events, which the load report does not tell.
func (b *backend) slow() float64 {
	factor := 1.0
	for _, e := range b.world.active(spec.WhatSlow) {
		if b.slowBy < e.Share {
			factor *= e.Factor
		}
	}
	return factor
}

// fails draws whether an event makes the backend server fail the next request.
func (b *backend) fails(what string) bool {
	for _, e := range b.world.active(what) {
		if b.failBy < e.Share && b.world.rng.Float64() < e.Factor {
			return true
		}
	}
	return false
}

// take takes a request from a host.
func (b *backend) take(s *send) {
	if s.ended {
		return
	}
	if b.fails(spec.WhatShed) {
		b.answer(s, pick.Shed)
		return
	}
	if b.fails(spec.WhatErr) {
		s.req.ran = true
		b.answer(s, pick.Failed)
		return
	}
	if b.running < b.world.scene.Backend.Slots {
		b.work(s)
		return
	}
	if len(b.queue) >= b.world.scene.Backend.Queue {
		b.answer(s, pick.Shed)
		return
	}
	b.queue = append(b.queue, s)
}

// work runs a request in a slot.
func (b *backend) work(s *send) {
	w := b.world
	b.running++
	s.working = true
	took := s.req.work * s.tailed * b.slowness() * b.slow()
	if _, warm := b.warm[s.req.object]; warm {
		took *= 1 - w.scene.Work.WarmGain
		w.result.warmRuns++
	} else {
		w.result.coldRuns++
	}
	w.result.ran[way{int(w.now / shiftWindow), s.req.from.Region, w.regions[b.dataCentre]}]++
	w.result.waited += w.time().Sub(s.begun)
	w.after(millis(took), func() {
		if s.ended {
			return
		}
		b.touch(s.req.object)
		b.free(s)
		b.answer(s, pick.Answered)
	})
}

// touch makes an object warm; the one that was handled least lately gets cold.
func (b *backend) touch(object uint64) {
	b.warm[object] = b.world.now
	if len(b.warm) <= b.world.scene.Backend.WarmMost {
		return
	}
	var oldest uint64
	first := true
	for o, at := range b.warm {
		if first || at < b.warm[oldest] || (at == b.warm[oldest] && o < oldest) {
			oldest, first = o, false
		}
	}
	delete(b.warm, oldest)
}

func (b *backend) free(s *send) {
	s.working = false
	b.running--
	for len(b.queue) > 0 && b.running < b.world.scene.Backend.Slots {
		next := b.queue[0]
		b.queue = b.queue[1:]
		if !next.ended {
			b.work(next)
		}
	}
}

// cancel ends a request whose host has given it up.
func (b *backend) cancel(s *send) {
	if s.working {
		b.free(s)
	}
	b.queue = slices.DeleteFunc(b.queue, func(o *send) bool { return o == s })
}

// answer sends an answer back to the host.
func (b *backend) answer(s *send, o pick.Outcome) {
	w := b.world
	load := pick.Load{
		Running: b.running, Waiting: len(b.queue), Slots: w.scene.Backend.Slots, LatencyFactor: b.slowness(), Reported: true,
	}
	w.after(w.delay(b.dataCentre, s.host.dataCentre), func() { w.answered(s, o, load) })
}
