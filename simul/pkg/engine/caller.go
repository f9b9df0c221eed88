package engine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosemarygrade.dev/edged/pkg/pick"
	"rosemarygrade.dev/simul/pkg/spec"
)

// request is a caller's request with the state of the caller's present attempt.
type request struct {
	query        pick.Query
	object       uint64
	workMillis   float64
	tailFactor   float64
	from         *spec.DataCentre
	firstAttempt time.Duration
	order        uint64
	retriesLeft  int
	tried        []string
	done         bool
	// mayHaveRun is set once a backend server may have run the request.
	mayHaveRun bool
	inFlight   *backendAttempt
	ticket     *pick.Ticket
}

// maxAttempts is how many backend servers a host may send one request to.
const maxAttempts = 2

// scheduleArrival schedules the next request of a data centre's callers, and then the one after it.
func (sim *Simulation) scheduleArrival(d *spec.DataCentre) {
	rate := sim.rate(d)
	gap := seconds(1)
	if rate > 0 {
		gap = seconds(sim.rng.ExpFloat64() / rate)
	}
	sim.after(gap, func() {
		if sim.now < seconds(sim.scenario.Seconds) {
			if rate > 0 {
				sim.newRequest(d)
			}
			sim.scheduleArrival(d)
		}
	})
}

func (sim *Simulation) newRequest(d *spec.DataCentre) {
	work := sim.scenario.Work
	object := uint64(sim.rng.IntN(work.Objects))
	r := &request{
		object: xxhash.Sum64String(d.Name) ^ (object+1)*0x9e3779b97f4a7c15, from: d, firstAttempt: sim.now, retriesLeft: work.CallerRetries,
		workMillis: work.MeanMillis * math.Exp(work.Spread*sim.rng.NormFloat64()), tailFactor: 1,
	}
	if sim.rng.Float64() < work.TailShare {
		r.tailFactor = work.TailFactor
	}
	sim.attempt(r)
}

// attempt sends a request to a random host in the caller's data centre, or in the one that a move event moves the
// caller to. If no host is up there, any other host gets it.
func (sim *Simulation) attempt(r *request) {
	name := r.from.Name
	for _, e := range sim.active(spec.EventMove) {
		if e.DataCentre == name && sim.rng.Float64() < e.Share {
			name = e.To
		}
	}
	var hosts []*host
	for _, h := range sim.hosts {
		if !h.down && h.dataCentre == name {
			hosts = append(hosts, h)
		}
	}
	if len(hosts) == 0 {
		hosts = slices.DeleteFunc(slices.Clone(sim.hosts), func(h *host) bool { return h.down })
	}
	h := hosts[sim.rng.IntN(len(hosts))]
	work := sim.scenario.Work
	limit := min(millis(work.AttemptTimeoutMillis), r.firstAttempt+millis(work.CallerTimeoutMillis)-sim.now)
	if limit <= 0 {
		sim.result.recordFailed(sim, r)
		return
	}
	r.tried, r.done, r.mayHaveRun = nil, false, false
	r.query = pick.Query{
		Service: Service, Region: h.region, Allows: func(string) bool { return true }, Object: r.object, Sticky: true,
		Objective: sim.time().Add(millis(work.ObjectiveMillis)), Deadline: sim.time().Add(limit),
	}
	copied := *r
	current := &copied
	sim.lastOrder++
	current.order = sim.lastOrder
	h.budget.RecordRequest(sim.time(), Service)
	sim.after(limit, func() { sim.timeout(h, current) })
	sim.decide(h, current)
}

func (sim *Simulation) decide(h *host, r *request) {
	r.query.Tried = r.tried
	switch x := h.table.Choose(sim.time(), sim.view, r.query).(type) {
	case pick.Queued:
		r.ticket = x.Ticket
		h.queued[x.Ticket] = r
	default:
		sim.applyResult(h, r, x)
	}
}

// applyResult acts on the decision on a request.
func (sim *Simulation) applyResult(h *host, r *request, res pick.Result) {
	switch x := res.(type) {
	case pick.Chosen:
		a := &backendAttempt{req: r, host: h, backend: x.Backend, sentAt: sim.time(), tailFactor: r.tailFactor}
		r.inFlight = a
		r.tried = append(slices.Clone(r.tried), x.Backend.Key())
		b := sim.backends[x.Backend.ID()]
		sim.after(sim.networkDelay(h.dataCentre, b.dataCentre), func() { b.receive(a) })
	case pick.Rejected:
		sim.rejectOrRetry(r, x.RetryAfter)
	default:
		sim.rejectOrRetry(r, time.Second)
	}
}

// applyDispatched acts on the decisions on queued requests, in the order of their attempts.
func (sim *Simulation) applyDispatched(h *host) {
	var ready []*request
	for t, r := range h.queued {
		if len(t.Result()) > 0 {
			ready = append(ready, r)
		}
	}
	slices.SortFunc(ready, func(a, b *request) int { return cmp.Compare(a.order, b.order) })
	for _, r := range ready {
		delete(h.queued, r.ticket)
		sim.applyResult(h, r, <-r.ticket.Result())
	}
}

// handleResponse records an outcome at the host, which then serves, retries, fails or rejects the request.
func (sim *Simulation) handleResponse(a *backendAttempt, o pick.Outcome, load pick.Load) {
	if a.ended {
		return
	}
	a.ended = true
	r, work := a.req, sim.scenario.Work
	r.inFlight = nil
	a.host.table.Done(sim.time(), a.backend, &r.query, sim.time().Sub(a.sentAt), o, load)
	a.host.table.Dispatch(sim.time(), sim.view, Service)
	sim.applyDispatched(a.host)
	switch {
	case o == pick.Answered:
		r.done = true
		sim.result.recordServed(sim, r)
	case (work.Idempotent || !r.mayHaveRun) && len(r.tried) < maxAttempts && sim.mayRetry(a.host):
		sim.decide(a.host, r)
	case r.mayHaveRun && !work.Idempotent:
		r.done = true
		sim.result.recordFailed(sim, r)
	default:
		sim.rejectOrRetry(r, a.host.table.RetryAfter(load))
	}
}

func (sim *Simulation) mayRetry(h *host) bool {
	return sim.scenario.Work.HostRetryRatio == 0 || h.budget.TryWithdraw(sim.time(), Service, len(sim.hosts))
}

// rejectOrRetry lets the caller retry a rejected request after a random delay while it has retries and time left.
func (sim *Simulation) rejectOrRetry(r *request, delay time.Duration) {
	if r.done {
		return
	}
	r.done = true
	remaining := r.firstAttempt + millis(sim.scenario.Work.CallerTimeoutMillis) - sim.now
	if r.retriesLeft == 0 || remaining <= 0 {
		sim.result.recordRejected(sim, r)
		return
	}
	next := *r
	next.retriesLeft--
	wait := min(remaining/3, delay/2+time.Duration(sim.rng.Float64()*float64(delay)))
	sim.after(wait, func() { sim.attempt(&next) })
}

// timeout ends an attempt at its deadline; the caller may retry if requests are idempotent.
func (sim *Simulation) timeout(h *host, r *request) {
	if r.done {
		return
	}
	r.done = true
	if r.ticket != nil {
		delete(h.queued, r.ticket)
		if b := h.table.Cancel(r.ticket); b != nil {
			h.table.Done(sim.time(), b, &r.query, 0, pick.Cancelled, pick.Load{})
		}
	}
	if a := r.inFlight; a != nil {
		a.ended = true
		sim.backends[a.backend.ID()].cancel(a)
		h.table.Done(sim.time(), a.backend, &r.query, sim.time().Sub(a.sentAt), pick.TimedOut, pick.Load{})
	}
	if r.retriesLeft > 0 && sim.scenario.Work.Idempotent {
		next := *r
		next.retriesLeft, next.ticket, next.inFlight = r.retriesLeft-1, nil, nil
		sim.attempt(&next)
		return
	}
	sim.result.recordFailed(sim, r)
}
