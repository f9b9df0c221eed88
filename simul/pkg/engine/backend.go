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
	sim        *Simulation
	dataCentre string
	running    int
	queue      []*backendAttempt
	warm       map[uint64]time.Duration
	noisy      bool
	noiseUntil time.Duration
	// An event with share s affects this backend server if slowDraw (slow) or failDraw (shed, err) is below s.
	slowDraw, failDraw float64
}

// backendAttempt is an attempt of a host to run a request at a backend server.
type backendAttempt struct {
	req        *request
	host       *host
	backend    *plan.Backend
	sentAt     time.Time
	running    bool
	ended      bool
	tailFactor float64
}

func newBackend(sim *Simulation, dataCentre string) *backend {
	return &backend{sim: sim, dataCentre: dataCentre, warm: map[uint64]time.Duration{}, slowDraw: sim.rng.Float64(), failDraw: sim.rng.Float64()}
}

// reportedFactor returns the latency factor in load reports, which changes at random over time.
func (b *backend) reportedFactor() float64 {
	sim, config := b.sim, b.sim.scenario.Backend
	if config.NoiseShare > 0 && sim.now >= b.noiseUntil {
		b.noisy = sim.rng.Float64() < config.NoiseShare
		b.noiseUntil = sim.now + millis(config.NoiseMillis*(0.5+sim.rng.Float64()))
	}
	if b.noisy {
		return config.NoiseFactor
	}
	return 1
}

// eventFactor returns the latency factor of the scenario's slow events, which load reports don't contain.
func (b *backend) eventFactor() float64 {
	factor := 1.0
	for _, e := range b.sim.active(spec.EventSlow) {
		if b.slowDraw < e.Share {
			factor *= e.Factor
		}
	}
	return factor
}

// drawFault draws whether an event in progress of the given type affects the next request.
func (b *backend) drawFault(eventType string) bool {
	for _, e := range b.sim.active(eventType) {
		if b.failDraw < e.Share && b.sim.rng.Float64() < e.Factor {
			return true
		}
	}
	return false
}

// receive sheds, fails, runs or queues a request.
func (b *backend) receive(a *backendAttempt) {
	if a.ended {
		return
	}
	if b.drawFault(spec.EventShed) {
		b.respond(a, pick.Shed)
		return
	}
	if b.drawFault(spec.EventErr) {
		a.req.mayHaveRun = true
		b.respond(a, pick.Failed)
		return
	}
	if b.running < b.sim.scenario.Backend.Slots {
		b.run(a)
		return
	}
	if len(b.queue) >= b.sim.scenario.Backend.Queue {
		b.respond(a, pick.Shed)
		return
	}
	b.queue = append(b.queue, a)
}

// run runs a request in a slot.
func (b *backend) run(a *backendAttempt) {
	sim := b.sim
	b.running++
	a.running = true
	took := a.req.workMillis * a.tailFactor * b.reportedFactor() * b.eventFactor()
	if _, warm := b.warm[a.req.object]; warm {
		took *= 1 - sim.scenario.Work.WarmSaving
		sim.result.warmRuns++
	} else {
		sim.result.coldRuns++
	}
	sim.result.runs[flow{int(sim.now / shiftWindow), a.req.from.Region, sim.regions[b.dataCentre]}]++
	sim.result.queuedTime += sim.time().Sub(a.sentAt)
	sim.after(millis(took), func() {
		if a.ended {
			return
		}
		b.cacheObject(a.req.object)
		b.releaseSlot(a)
		b.respond(a, pick.Answered)
	})
}

// cacheObject makes an object warm and evicts the least recently handled one if there are too many.
func (b *backend) cacheObject(object uint64) {
	b.warm[object] = b.sim.now
	if len(b.warm) <= b.sim.scenario.Backend.MaxWarmObjects {
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

func (b *backend) releaseSlot(a *backendAttempt) {
	a.running = false
	b.running--
	for len(b.queue) > 0 && b.running < b.sim.scenario.Backend.Slots {
		next := b.queue[0]
		b.queue = b.queue[1:]
		if !next.ended {
			b.run(next)
		}
	}
}

// cancel ends an attempt that its host cancelled: it frees its slot, or removes it from the queue.
func (b *backend) cancel(a *backendAttempt) {
	if a.running {
		b.releaseSlot(a)
	}
	b.queue = slices.DeleteFunc(b.queue, func(queued *backendAttempt) bool { return queued == a })
}

// respond sends the outcome to the host, with a load report.
func (b *backend) respond(a *backendAttempt, o pick.Outcome) {
	sim := b.sim
	load := pick.Load{
		Running: b.running, Waiting: len(b.queue), Slots: sim.scenario.Backend.Slots, LatencyFactor: b.reportedFactor(), Reported: true,
	}
	sim.after(sim.networkDelay(b.dataCentre, a.host.dataCentre), func() { sim.handleResponse(a, o, load) })
}
