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

// maxTries is how many servers of a site are tried for a request that did not run on the others.
const maxTries = 3

// Site dispatches the requests of one site while this process owns it.
type Site struct {
	id     model.SiteID
	client *server.Client
	runs   *Runs
	guard  *Guard
	hedges *budget.Budget
	retry  *budget.Budget

	mu      sync.Mutex
	queue   *queue.Queue
	waiting map[*queue.Ticket]chan struct{}
	phase   phase
	served  uint64
	hedged  uint64
}

// phase is where the site stands between owners.
type phase struct {
	owned    bool
	claiming bool
	// since is when the site was won or lost.
	since time.Time
	// fullAt is when every slot may be used, after an owner that could not be asked.
	fullAt time.Time
}

func newSite(id model.SiteID, region string, client *server.Client, runs *Runs, guard *Guard) *Site {
	return &Site{
		id: id, client: client, runs: runs, guard: guard, hedges: budget.New(), retry: budget.New(),
		queue: queue.New(region), waiting: map[*queue.Ticket]chan struct{}{},
	}
}

// serve brings a request to a server of the site and its answer to the sink.
func (s *Site) serve(ctx context.Context, svc *model.Service, req *flow.Request, sink flow.Sink) flow.Result {
	s.hedges.Refill(svc.HedgeShare())
	s.retry.Refill(svc.RetryShare())
	for try := 1; ; try++ {
		t, refused := s.acquire(ctx, req)
		if refused != nil {
			return *refused
		}
		res := s.attempt(ctx, t, req, sink)
		r, ok := res.(flow.Rejected)
		again := ok && (r.Kind == flow.RejectedShed || r.Kind == flow.RejectedConnect)
		if !again || try == maxTries || !req.Body.Replayable() || !s.retry.Spend() {
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

// acquire waits for a slot. The returned ticket is bound to a server.
func (s *Site) acquire(ctx context.Context, req *flow.Request) (*queue.Ticket, *flow.Rejected) {
	now := time.Now()
	t := queue.NewTicket(req.Source, req.Background, req.Deadline)
	s.mu.Lock()
	if !s.phase.owned {
		s.mu.Unlock()
		r := flow.NotRun(flow.RejectedNotOwner, "another process owns the site")
		return nil, &r
	}
	if refused := s.queue.Admit(now, t); refused != nil {
		s.mu.Unlock()
		return nil, refused
	}
	ready := make(chan struct{})
	s.waiting[t] = ready
	s.pump(now)
	s.mu.Unlock()
	select {
	case <-ready:
		return s.taken(t)
	case <-ctx.Done():
		return nil, s.giveUp(ctx, t)
	}
}

// taken returns a ticket that left the queue: bound to a server, or flushed.
func (s *Site) taken(t *queue.Ticket) (*queue.Ticket, *flow.Rejected) {
	if t.Server() != "" {
		return t, nil
	}
	r := flow.NotRun(flow.RejectedNotOwner, "the site passed to another owner or has no server left")
	return nil, &r
}

func (s *Site) giveUp(ctx context.Context, t *queue.Ticket) *flow.Rejected {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, t)
	if !s.queue.Cancel(now, t) {
		s.queue.Done(now, t, queue.End{Cancelled: true})
		s.pump(now)
	}
	r := flow.NotRun(flow.RejectedCallerDisconnected, "the caller went away before dispatch")
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r = flow.NotRun(flow.RejectedExpired, "the deadline passed before dispatch")
	}
	return &r
}

// pump starts what can be started. The lock is held.
func (s *Site) pump(now time.Time) {
	for _, t := range s.queue.Dispatch(now) {
		s.wake(t)
	}
}

func (s *Site) wake(t *queue.Ticket) {
	if ready := s.waiting[t]; ready != nil {
		delete(s.waiting, t)
		close(ready)
	}
}

// attempt sends a request to the server that its ticket is bound to.
func (s *Site) attempt(ctx context.Context, t *queue.Ticket, req *flow.Request, sink flow.Sink) flow.Result {
	if r := s.begin(req); r != nil {
		s.end(t, queue.End{Cancelled: true})
		return *r
	}
	var res flow.Result
	if req.Idempotent && !req.Background && req.Body.Replayable() {
		res = s.race(ctx, t, req, sink)
	} else {
		res = s.send(ctx, t, req, sink)
	}
	if r, ok := res.(flow.Rejected); ok && r.Outcome == flow.OutcomeNotRun && !req.Idempotent {
		s.runs.Refuse(req.ID)
	}
	return res
}

// begin is the last check before a request leaves for a server.
func (s *Site) begin(req *flow.Request) *flow.Rejected {
	now := time.Now()
	if !s.guard.Open(now) {
		r := flow.NotRun(flow.RejectedNotOwner, "the process was suspended and asks whether it still owns the site")
		return &r
	}
	if !now.Before(req.Deadline) {
		r := flow.NotRun(flow.RejectedExpired, "the deadline passed before dispatch")
		return &r
	}
	if req.Idempotent || s.runs.Dispatch(now, req.ID, req.Deadline) {
		return nil
	}
	r := flow.NotRun(flow.RejectedCancelledBeforeDispatch, "the request was voided before dispatch")
	return &r
}

// send runs one try and gives its slot back.
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
		e.Failed = overtaken(sink)
	}
	s.end(t, e)
	return res
}

// overtaken tells whether a first try lost against the second, which began much later.
func overtaken(sink flow.Sink) bool {
	g, ok := sink.(*gate)
	return ok && g.try == firstTry && g.winner.Load() == secondTry
}

func (s *Site) end(t *queue.Ticket, e queue.End) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Done(now, t, e)
	s.served++
	s.pump(now)
}

// Tries of a race.
const (
	firstTry  = 1
	secondTry = 2
)

// race runs a try, and a second one on another server when the first outlives the site's tail.
func (s *Site) race(ctx context.Context, t *queue.Ticket, req *flow.Request, sink flow.Sink) flow.Result {
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
		second <- s.send(secondCtx, h, req, &gate{sink: sink, winner: &winner, try: secondTry, lost: cancelFirst})
	})
	res := s.send(firstCtx, t, req, &gate{sink: sink, winner: &winner, try: firstTry, lost: cancelSecond})
	if timer.Stop() || !<-started || winner.Load() == firstTry {
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
	return s.queue.Tail(time.Now()) + hedgeMargin
}

// hedgeMargin is added to the tail before a second try.
const hedgeMargin = time.Millisecond

func (s *Site) hedgeTicket(t *queue.Ticket, winner *atomic.Int32) *queue.Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	if winner.Load() != 0 || !s.phase.owned {
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

var errLost = errors.New("the other try answered first")

// gate lets only the first try that answers reach the sink.
type gate struct {
	sink   flow.Sink
	winner *atomic.Int32
	try    int32
	lost   context.CancelFunc
}

// Head implements flow.Sink.
func (g *gate) Head(h flow.Head) error {
	if !g.winner.CompareAndSwap(0, g.try) {
		return errLost
	}
	g.lost()
	return g.sink.Head(h)
}

// Data implements flow.Sink.
func (g *gate) Data(p []byte) error { return g.sink.Data(p) }

// setServers takes in the configuration. Requests that wait where no server is left are turned away.
func (s *Site) setServers(now time.Time, servers []model.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetServers(servers)
	if len(servers) == 0 {
		s.flush(now)
	}
	s.pump(now)
}

func (s *Site) flush(now time.Time) {
	for _, t := range s.queue.Flush(now) {
		s.wake(t)
	}
}

// tick turns away expired requests and starts what became possible with time.
func (s *Site) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.phase.fullAt.IsZero() && !now.Before(s.phase.fullAt) {
		s.phase.fullAt = time.Time{}
		s.queue.SetLimit(1)
	}
	s.pump(now)
}
