package owner

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"rosemarygrade.dev/entryd/pkg/budget"
	"rosemarygrade.dev/entryd/pkg/flow"
	"rosemarygrade.dev/entryd/pkg/queue"
	"rosemarygrade.dev/entryd/pkg/server"
	"rosemarygrade.dev/lib/pkg/model"
)

// maxAttempts limits how many servers of the site are tried for one request. Only a request that no
// server has run is sent to another server.
const maxAttempts = 3

// Site holds the queue and the ownership of one site, and sends its requests to its servers while
// this process owns it.
type Site struct {
	id         model.SiteID
	client     *server.Client
	dispatches *Dispatches
	guard      *Guard
	hedges     *budget.Budget
	retries    *budget.Budget

	mu        sync.Mutex
	queue     *queue.Queue
	waiting   map[*queue.Ticket]chan struct{}
	ownership ownership
	served    uint64
	hedged    uint64
}

// ownership is the state of a site's ownership.
type ownership struct {
	owned     bool
	acquiring bool
	// changedAt is when the site was released or, while it is owned, when the view first named
	// another owner; zero otherwise.
	changedAt time.Time
	// fullShareAt is when failoverShare stops applying, or zero.
	fullShareAt time.Time
}

func newSite(id model.SiteID, region string, client *server.Client, dispatches *Dispatches, guard *Guard) *Site {
	return &Site{
		id: id, client: client, dispatches: dispatches, guard: guard, hedges: budget.New(), retries: budget.New(),
		queue: queue.New(region), waiting: map[*queue.Ticket]chan struct{}{},
	}
}

// serve sends a request to a server of the site and writes the response to the sink. It tries
// another server if a server rejects the request or can't be reached.
func (s *Site) serve(ctx context.Context, svc *model.Service, req *flow.Request, sink flow.Sink) flow.Result {
	s.hedges.Refill(svc.HedgeShare())
	s.retries.Refill(svc.RetryShare())
	for attempt := 1; ; attempt++ {
		t, rejected := s.acquireSlot(ctx, req)
		if rejected != nil {
			return *rejected
		}
		res := s.attempt(ctx, t, req, sink)
		r, ok := res.(flow.Rejected)
		again := ok && (r.Kind == flow.RejectedShed || r.Kind == flow.RejectedConnect)
		if !again || attempt == maxAttempts || !req.Body.Replayable() || !s.retries.Spend() {
			return s.withLoad(res)
		}
	}
}

func (s *Site) withLoad(res flow.Result) flow.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := s.queue.Load()
	switch r := res.(type) {
	case flow.Complete:
		r.Load = &load
		return r
	case flow.Rejected:
		r.Load = &load
		return r
	default:
		return res
	}
}

// acquireSlot waits for a free slot and returns a ticket with its server.
func (s *Site) acquireSlot(ctx context.Context, req *flow.Request) (*queue.Ticket, *flow.Rejected) {
	now := time.Now()
	t := queue.NewTicket(req.Source, req.Background, req.Deadline)
	s.mu.Lock()
	if !s.ownership.owned {
		s.mu.Unlock()
		r := flow.NotRun(flow.RejectedNotOwner, "another process owns the site")
		return nil, &r
	}
	if rejected := s.queue.Admit(now, t); rejected != nil {
		s.mu.Unlock()
		return nil, rejected
	}
	ready := make(chan struct{})
	s.waiting[t] = ready
	s.dispatch(now)
	s.mu.Unlock()
	select {
	case <-ready:
		return s.dequeued(t)
	case <-ctx.Done():
		return nil, s.cancelWait(ctx, t)
	}
}

// dequeued returns a ticket that has left the queue, or a rejection if the queue was flushed.
func (s *Site) dequeued(t *queue.Ticket) (*queue.Ticket, *flow.Rejected) {
	if t.Server() != "" {
		return t, nil
	}
	r := flow.NotRun(flow.RejectedNotOwner, "the site passed to another owner or has no server left")
	return nil, &r
}

// cancelWait ends the wait of a request whose context is done. If it has just been assigned a
// server, it releases the slot.
func (s *Site) cancelWait(ctx context.Context, t *queue.Ticket) *flow.Rejected {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, t)
	if !s.queue.Cancel(now, t) {
		s.queue.Done(now, t, queue.End{Cancelled: true})
		s.dispatch(now)
	}
	r := flow.NotRun(flow.RejectedCallerDisconnected, "the caller went away before dispatch")
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r = flow.NotRun(flow.RejectedExpired, "the deadline passed before dispatch")
	}
	return &r
}

// dispatch notifies the requests that get a free slot. It requires that s.mu is held.
func (s *Site) dispatch(now time.Time) {
	for _, t := range s.queue.Dispatch(now) {
		s.notify(t)
	}
}

func (s *Site) notify(t *queue.Ticket) {
	if ready := s.waiting[t]; ready != nil {
		delete(s.waiting, t)
		close(ready)
	}
}

// attempt sends a request to its ticket's server, with a hedge if the request allows it.
func (s *Site) attempt(ctx context.Context, t *queue.Ticket, req *flow.Request, sink flow.Sink) flow.Result {
	if r := s.checkDispatch(req); r != nil {
		s.endAttempt(t, queue.End{Cancelled: true})
		return *r
	}
	var res flow.Result
	if req.Idempotent && !req.Background && req.Body.Replayable() {
		res = s.sendHedged(ctx, t, req, sink)
	} else {
		res = s.send(ctx, t, req, sink)
	}
	if r, ok := res.(flow.Rejected); ok && r.Outcome == flow.OutcomeNotRun && !req.Idempotent {
		s.dispatches.Undo(req.ID)
	}
	return res
}

// checkDispatch returns why the request must not be sent to a server, or nil. It marks a request
// that is not idempotent as dispatched.
func (s *Site) checkDispatch(req *flow.Request) *flow.Rejected {
	now := time.Now()
	if !s.guard.Open(now) {
		r := flow.NotRun(flow.RejectedNotOwner, "the process was suspended and asks whether it still owns the site")
		return &r
	}
	if !now.Before(req.Deadline) {
		r := flow.NotRun(flow.RejectedExpired, "the deadline passed before dispatch")
		return &r
	}
	if req.Idempotent || s.dispatches.Dispatch(now, req.ID, req.Deadline) {
		return nil
	}
	r := flow.NotRun(flow.RejectedCancelledBeforeDispatch, "the request was voided before dispatch")
	return &r
}

// send runs one attempt and releases its slot.
func (s *Site) send(ctx context.Context, t *queue.Ticket, req *flow.Request, sink flow.Sink) flow.Result {
	res := s.client.Do(ctx, t.Server(), req, sink)
	e := queue.End{}
	switch r := res.(type) {
	case flow.Complete:
		e.Ran = true
	case flow.Rejected:
		e.Failed = r.Kind == flow.RejectedShed || r.Kind == flow.RejectedConnect
	case flow.Aborted:
		e.Ran = true
		e.Cancelled = ctx.Err() != nil
		e.Failed = lostToHedge(sink)
	}
	s.endAttempt(t, e)
	return res
}

// lostToHedge reports whether the sink belongs to a first attempt whose server was so slow that the
// second attempt got its response first.
func lostToHedge(sink flow.Sink) bool {
	s, ok := sink.(*hedgeSink)
	return ok && s.attempt == firstAttempt && s.winner.Load() == secondAttempt
}

func (s *Site) endAttempt(t *queue.Ticket, e queue.End) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Done(now, t, e)
	s.served++
	s.dispatch(now)
}

// Attempts of a hedged request.
const (
	firstAttempt  = 1
	secondAttempt = 2
)

// sendHedged sends a request, and sends it to a second server if the first attempt takes longer
// than the site's tail latency. The attempt that gets a response first wins and cancels the other.
func (s *Site) sendHedged(ctx context.Context, t *queue.Ticket, req *flow.Request, sink flow.Sink) flow.Result {
	firstCtx, cancelFirst := context.WithCancel(ctx)
	defer cancelFirst()
	secondCtx, cancelSecond := context.WithCancel(ctx)
	defer cancelSecond()
	var winner atomic.Int32
	second := make(chan flow.Result, 1)
	started := make(chan bool, 1)
	timer := time.AfterFunc(s.hedgeDelay(), func() {
		h := s.hedgeTicket(t, &winner)
		started <- h != nil
		if h == nil {
			return
		}
		second <- s.send(secondCtx, h, req, &hedgeSink{sink: sink, winner: &winner, attempt: secondAttempt, cancelOther: cancelFirst})
	})
	res := s.send(firstCtx, t, req, &hedgeSink{sink: sink, winner: &winner, attempt: firstAttempt, cancelOther: cancelSecond})
	if timer.Stop() || !<-started || winner.Load() == firstAttempt {
		return res
	}
	if _, ok := res.(flow.Complete); ok {
		return res
	}
	return <-second
}

func (s *Site) hedgeDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.TailLatency(time.Now()) + hedgeMargin
}

// hedgeMargin is added to the tail latency to get the delay before the second attempt.
const hedgeMargin = time.Millisecond

func (s *Site) hedgeTicket(t *queue.Ticket, winner *atomic.Int32) *queue.Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	if winner.Load() != 0 || !s.ownership.owned {
		return nil
	}
	h := s.queue.Hedge(time.Now(), t)
	if h == nil {
		return nil
	}
	if !s.hedges.Spend() {
		s.queue.Done(time.Now(), h, queue.End{Cancelled: true})
		return nil
	}
	s.hedged++
	return h
}

var errOtherAnswered = errors.New("the other try answered first")

// hedgeSink is the sink of one of two attempts. It forwards the response only if it is the first of
// the two.
type hedgeSink struct {
	sink        flow.Sink
	winner      *atomic.Int32
	attempt     int32
	cancelOther context.CancelFunc
}

// Head implements flow.Sink.
func (s *hedgeSink) Head(h flow.Head) error {
	if !s.winner.CompareAndSwap(0, s.attempt) {
		return errOtherAnswered
	}
	s.cancelOther()
	return s.sink.Head(h)
}

// Data implements flow.Sink.
func (s *hedgeSink) Data(p []byte) error { return s.sink.Data(p) }

// setServers replaces the site's servers. If none is left, the queued requests are rejected.
func (s *Site) setServers(now time.Time, servers []model.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetServers(servers)
	if len(servers) == 0 {
		s.flush(now)
	}
	s.dispatch(now)
}

func (s *Site) flush(now time.Time) {
	for _, t := range s.queue.Flush(now) {
		s.notify(t)
	}
}

// tick removes the limit of failoverShare once it has expired, and dispatches queued requests.
func (s *Site) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ownership.fullShareAt.IsZero() && !now.Before(s.ownership.fullShareAt) {
		s.ownership.fullShareAt = time.Time{}
		s.queue.SetSlotShare(1)
	}
	s.dispatch(now)
}
