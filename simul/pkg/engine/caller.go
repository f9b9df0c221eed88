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

// request is one attempt of a caller.
type request struct {
	query   pick.Query
	object  uint64
	work    float64
	tailed  float64
	from    *spec.DataCentre
	first   time.Duration
	order   uint64
	retries int
	tried   []string
	done    bool
	// ran tells that a backend server may have run it.
	ran    bool
	active *send
	ticket *pick.Ticket
}

// attemptsMost is how many backend servers one request may be sent to.
const attemptsMost = 2

// arrive lets the next caller of a data centre send a request.
func (w *World) arrive(d *spec.DataCentre) {
	rate := w.rate(d)
	gap := seconds(1)
	if rate > 0 {
		gap = seconds(w.rng.ExpFloat64() / rate)
	}
	w.after(gap, func() {
		if w.now < seconds(w.scene.Seconds) {
			if rate > 0 {
				w.send(d)
			}
			w.arrive(d)
		}
	})
}

func (w *World) send(d *spec.DataCentre) {
	work := w.scene.Work
	object := uint64(w.rng.IntN(work.Objects))
	r := &request{
		object: xxhash.Sum64String(d.Name) ^ (object+1)*0x9e3779b97f4a7c15, from: d, first: w.now, retries: work.Retries,
		work: work.MeanMillis * math.Exp(work.Spread*w.rng.NormFloat64()), tailed: 1,
	}
	if w.rng.Float64() < work.TailShare {
		r.tailed = work.TailFactor
	}
	w.attempt(r)
}

// attempt sends a request to a host of its data centre, or of where its callers have moved.
func (w *World) attempt(r *request) {
	name := r.from.Name
	for _, e := range w.active(spec.WhatMove) {
		if e.DataCentre == name && w.rng.Float64() < e.Share {
			name = e.To
		}
	}
	var near []*host
	for _, h := range w.hosts {
		if !h.gone && h.dataCentre == name {
			near = append(near, h)
		}
	}
	if len(near) == 0 {
		near = slices.DeleteFunc(slices.Clone(w.hosts), func(h *host) bool { return h.gone })
	}
	h := near[w.rng.IntN(len(near))]
	work := w.scene.Work
	limit := min(millis(work.TimeoutMillis), r.first+millis(work.PatienceMillis)-w.now)
	if limit <= 0 {
		w.result.failed(w, r)
		return
	}
	r.tried, r.done, r.ran = nil, false, false
	r.query = pick.Query{
		Service: Service, Region: h.region, Allows: func(string) bool { return true }, Object: r.object, Sticky: true,
		Objective: w.time().Add(millis(work.ObjectiveMillis)), Deadline: w.time().Add(limit),
	}
	attempt := *r
	current := &attempt
	w.order++
	current.order = w.order
	h.repeats.RecordRequest(w.time(), Service)
	w.after(limit, func() { w.timeout(h, current) })
	w.decide(h, current)
}

func (w *World) decide(h *host, r *request) {
	r.query.Tried = r.tried
	switch x := h.table.Choose(w.time(), w.view, r.query).(type) {
	case pick.Queued:
		r.ticket = x.Ticket
		h.waiting[x.Ticket] = r
	default:
		w.settle(h, r, x)
	}
}

// settle acts on what was decided about a request.
func (w *World) settle(h *host, r *request, res pick.Result) {
	switch x := res.(type) {
	case pick.Chosen:
		s := &send{req: r, host: h, backend: x.Backend, begun: w.time(), tailed: r.tailed}
		r.active = s
		r.tried = append(slices.Clone(r.tried), x.Backend.Key())
		b := w.backends[x.Backend.ID()]
		w.after(w.delay(h.dataCentre, b.dataCentre), func() { b.take(s) })
	case pick.Rejected:
		w.refused(r, x.RetryAfter)
	default:
		w.refused(r, time.Second)
	}
}

// collect acts on the results of requests that waited.
func (w *World) collect(h *host) {
	var ready []*request
	for t, r := range h.waiting {
		if len(t.Result()) > 0 {
			ready = append(ready, r)
		}
	}
	slices.SortFunc(ready, func(a, b *request) int { return cmp.Compare(a.order, b.order) })
	for _, r := range ready {
		delete(h.waiting, r.ticket)
		w.settle(h, r, <-r.ticket.Result())
	}
}

// answered takes a backend server's answer.
func (w *World) answered(s *send, o pick.Outcome, load pick.Load) {
	if s.ended {
		return
	}
	s.ended = true
	r, work := s.req, w.scene.Work
	r.active = nil
	s.host.table.Done(w.time(), s.backend, &r.query, w.time().Sub(s.begun), o, load)
	s.host.table.Dispatch(w.time(), w.view, Service)
	w.collect(s.host)
	switch {
	case o == pick.Answered:
		r.done = true
		w.result.served(w, r)
	case (work.Idempotent || !r.ran) && len(r.tried) < attemptsMost && w.mayRepeat(s.host):
		w.decide(s.host, r)
	case r.ran && !work.Idempotent:
		r.done = true
		w.result.failed(w, r)
	default:
		w.refused(r, s.host.table.RetryAfter(load))
	}
}

func (w *World) mayRepeat(h *host) bool {
	return w.scene.Work.RepeatRatio == 0 || h.repeats.TryWithdraw(w.time(), Service, len(w.hosts))
}

// refused lets the caller come back once.
func (w *World) refused(r *request, after time.Duration) {
	if r.done {
		return
	}
	r.done = true
	left := r.first + millis(w.scene.Work.PatienceMillis) - w.now
	if r.retries == 0 || left <= 0 {
		w.result.refused(w, r)
		return
	}
	next := *r
	next.retries--
	wait := min(left/3, after/2+time.Duration(w.rng.Float64()*float64(after)))
	w.after(wait, func() { w.attempt(&next) })
}

// timeout ends a request whose time is over.
func (w *World) timeout(h *host, r *request) {
	if r.done {
		return
	}
	r.done = true
	if r.ticket != nil {
		delete(h.waiting, r.ticket)
		if b := h.table.Cancel(r.ticket); b != nil {
			h.table.Done(w.time(), b, &r.query, 0, pick.Cancelled, pick.Load{})
		}
	}
	if s := r.active; s != nil {
		s.ended = true
		w.backends[s.backend.ID()].cancel(s)
		h.table.Done(w.time(), s.backend, &r.query, w.time().Sub(s.begun), pick.TimedOut, pick.Load{})
	}
	if r.retries > 0 && w.scene.Work.Idempotent {
		next := *r
		next.retries, next.ticket, next.active = r.retries-1, nil, nil
		w.attempt(&next)
		return
	}
	w.result.failed(w, r)
}
