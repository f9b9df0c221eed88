// Package pick decides where a request goes and when: to the backend server that holds its object warm,
// at once while a slot is free there, later from a queue while it still pays, and otherwise not at all.
// All functions take the present time and none waits.
package pick

import (
	"sync"
	"time"

	"rosemarygrade.dev/lib/pkg/plan"
)

// Query is what a decision depends on.
type Query struct {
	Service string
	// Region is where the request is; Allows tells which regions may serve it.
	Region string
	Allows func(region string) bool
	// Object is the hash of the object that the request concerns; Sticky says that there is one.
	Object uint64
	Sticky bool
	// Priority is the rank; 0 is the highest.
	Priority int
	// Objective is when an answer has lost its full worth, Deadline when it must be given.
	Objective time.Time
	Deadline  time.Time
	// Tried are backend servers that the request was sent to before.
	Tried []string
}

// Result is what becomes of a request.
type Result interface{ result() }

// Chosen names the backend server to send to now. Its slot is counted until Done.
type Chosen struct {
	Backend     *plan.Backend
	Explanation Explanation
}

// Explanation tells what a decision was made from.
type Explanation struct {
	// Load is how many requests were known there, of Slots; Warm tells whether the object was.
	Load, Slots int
	Warm        bool
	// LatencyFactor is how much longer than usual work takes there.
	LatencyFactor float64
	// ExpectedWait and ExpectedWork are the times that were expected; Waiting is how many requests wait here.
	ExpectedWait, ExpectedWork time.Duration
	QueueLength                int
}

// Queued says that the request waits; its ticket receives the result.
type Queued struct{ Ticket *Ticket }

// Rejected says that the request can't be served in time, and after which time there may be room.
type Rejected struct {
	RetryAfter  time.Duration
	Explanation Explanation
}

// NoBackends says that no backend server is known for the service.
type NoBackends struct{}

func (Chosen) result()     {}
func (Queued) result()     {}
func (Rejected) result()   {}
func (NoBackends) result() {}

// Ticket is a request that waits.
type Ticket struct {
	query  Query
	since  time.Time
	result chan Result
}

// Result receives Chosen or Full, once.
func (t *Ticket) Result() <-chan Result { return t.result }

// Outcome is how a send ended.
type Outcome int

// Outcomes.
const (
	// Answered means that the backend server gave an answer.
	Answered Outcome = iota
	// Shed means that it did not run the request.
	Shed
	// Failed means that no whole answer came, or a failure.
	Failed
	// TimedOut means that the time limit ended the run.
	TimedOut
	// Cancelled means that this side broke off.
	Cancelled
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case Shed:
		return "notRun"
	case Failed:
		return "failed"
	case TimedOut:
		return "timedOut"
	default:
		return "left"
	}
}

// Fleet is what the table asks of the host's view of the other hosts.
type Fleet interface {
	// ElectedFor tells whether this host is the one that sends to a cold backend server.
	ElectedFor(b *plan.Backend) bool
	// Demand returns which part of all requests comes from each region.
	Demand() map[string]float64
}

// Table counts work at backend servers and keeps the queues. It is safe for concurrent use.
type Table struct {
	rules Rules
	fleet Fleet

	mu       sync.Mutex
	servers  map[string]*server
	short    map[uint32]*server
	services map[string]*service
	peers    map[string]report
	// peerWork is the requests of all peers at each backend server, by short name.
	peerWork map[uint32]int
	// fresh is what other hosts are to hear of warm objects.
	fresh []warmedAt
}

// service is what is known of a service.
type service struct {
	warm, cold mean
	shares     *shares
	used       float64
	usedAt     time.Time
	queue      []*Ticket
	// rate is how many requests a second were sent from here lately.
	rate   float64
	rateAt time.Time
}

// ServerReport is what a host tells others of a backend server.
type ServerReport struct {
	// InFlight is the host's own requests under way there.
	InFlight int
	// LatencyFactor is what the backend server told with an answer just now; 0 means nothing new.
	LatencyFactor float64
}

type report struct {
	at    time.Time
	notes map[uint32]ServerReport
}

// New returns an empty table.
func New(rules Rules, fleet Fleet) *Table {
	return &Table{
		rules: rules, fleet: fleet, servers: map[string]*server{}, short: map[uint32]*server{}, services: map[string]*service{}, peers: map[string]report{},
		peerWork: map[uint32]int{},
	}
}

// Short returns the short name of a backend server in reports.
func Short(b *plan.Backend) uint32 { return uint32(b.Hash()) }

func (t *Table) server(b *plan.Backend) *server {
	s := t.servers[b.Key()]
	if s == nil {
		s = newServer(b)
		t.servers[b.Key()] = s
		t.short[Short(b)] = s
	}
	s.backend = b
	return s
}

func (t *Table) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{}
		t.services[name] = s
	}
	return s
}

// ReceiveReports takes a peer's notes.
func (t *Table) ReceiveReports(now time.Time, peer string, notes map[uint32]ServerReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count(t.peers[peer].notes, -1)
	t.peers[peer] = report{at: now, notes: notes}
	t.count(notes, 1)
	for name, n := range notes {
		if s := t.short[name]; s != nil && n.LatencyFactor > 0 {
			s.slowness, s.slownessAt = n.LatencyFactor, now
		}
	}
}

// count adds a peer's requests to the backend servers' or takes them away.
func (t *Table) count(notes map[uint32]ServerReport, sign int) {
	for name, n := range notes {
		t.peerWork[name] += sign * n.InFlight
		if t.peerWork[name] == 0 {
			delete(t.peerWork, name)
		}
	}
}

// expire forgets the reports of peers that are silent.
func (t *Table) expire(now time.Time) {
	for name, r := range t.peers {
		if now.Sub(r.at) > reportLife {
			t.count(r.notes, -1)
			delete(t.peers, name)
		}
	}
}

// Reports returns what this host has to tell of backend servers, by short name.
func (t *Table) Reports(now time.Time) map[uint32]ServerReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[uint32]ServerReport{}
	for _, s := range t.servers {
		n := ServerReport{InFlight: s.own}
		if now.Sub(s.seen) < noteLife {
			n.LatencyFactor = s.slowness
		}
		if n != (ServerReport{}) {
			out[Short(s.backend)] = n
		}
	}
	return out
}

// QueueLength returns how many requests wait.
func (t *Table) QueueLength() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.services {
		n += len(s.queue)
	}
	return n
}

// Choose decides about a request.
func (t *Table) Choose(now time.Time, v *plan.View, q Query) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(v.Usable(q.Service)) == 0 {
		return NoBackends{}
	}
	svc := t.service(q.Service)
	o, ok := t.best(now, v, svc, &q)
	if !ok && !t.opens(now, v, &q) {
		return Rejected{RetryAfter: outFor, Explanation: t.why(now, svc, o)}
	}
	if ok && o.now {
		why := t.why(now, svc, o)
		t.start(now, v, svc, o.server, &q)
		return Chosen{Backend: o.server.backend, Explanation: why}
	}
	if after, full := svc.judge(now, &q, o, ok, t.rules.LateShare); full {
		return Rejected{RetryAfter: after, Explanation: t.why(now, svc, o)}
	}
	ticket := &Ticket{query: q, since: now, result: make(chan Result, 1)}
	svc.enqueue(ticket)
	return Queued{Ticket: ticket}
}

// why tells what an option was made from.
func (t *Table) why(now time.Time, svc *service, o option) Explanation {
	w := Explanation{ExpectedWait: o.wait, ExpectedWork: o.work, QueueLength: len(svc.queue), Warm: o.warm}
	if o.server != nil {
		w.Load, w.Slots, w.LatencyFactor = t.load(now, o.server), o.server.backend.Slots(), o.server.slow(now)
	}
	return w
}

// Cancel takes a request that its caller gave up out of its queue. If it was chosen meanwhile, it returns
// the choice, which must be ended by Done.
func (t *Table) Cancel(k *Ticket) *plan.Backend {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service(k.query.Service).remove(k)
	select {
	case r := <-k.result:
		if c, ok := r.(Chosen); ok {
			return c.Backend
		}
	default:
	}
	return nil
}

// start counts a request at a backend server.
func (t *Table) start(now time.Time, v *plan.View, svc *service, s *server, q *Query) {
	s.begin(now, q)
	svc.sent(now)
	if s.backend.Cold(now) {
		s.coldNext = now.Add(coldPause(v, s.backend))
	}
}

// Done ends a request at a backend server. Load is what the answer told, if any. It tells whether the backend
// server is left out from now on for a while.
func (t *Table) Done(now time.Time, b *plan.Backend, q *Query, took time.Duration, o Outcome, load Load) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, svc := t.server(b), t.service(b.Service())
	warm := s.end(now, q, o, load)
	if o == Answered {
		s.learn(svc, took, warm)
		t.handled(now, s, q)
	}
	return o == Failed && s.failures == failuresOut
}

// Dispatch sends on what waits and can go now, and turns away what can't be served any more.
func (t *Table) Dispatch(now time.Time, v *plan.View, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drain(now, v, t.service(name))
}

// DispatchAll does so for all services.
func (t *Table) DispatchAll(now time.Time, v *plan.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	for _, svc := range t.services {
		t.drain(now, v, svc)
	}
}

func (t *Table) drain(now time.Time, v *plan.View, svc *service) {
	if len(svc.queue) == 0 {
		return
	}
	stay := svc.queue[:0]
	for i, k := range svc.queue {
		if i >= lookAhead {
			stay = append(stay, k)
			continue
		}
		o, ok := t.best(now, v, svc, &k.query)
		if ok && o.now {
			why := t.why(now, svc, o)
			t.start(now, v, svc, o.server, &k.query)
			k.result <- Chosen{Backend: o.server.backend, Explanation: why}
			continue
		}
		if left := k.query.Deadline.Sub(now); left < svc.least() || (!ok && !t.opens(now, v, &k.query)) {
			k.result <- Rejected{RetryAfter: svc.wait(now, len(svc.queue)), Explanation: t.why(now, svc, o)}
			continue
		}
		stay = append(stay, k)
	}
	clear(svc.queue[len(stay):])
	svc.queue = stay
}

// Prune forgets backend servers that are gone and have no work.
func (t *Table) Prune(now time.Time, v *plan.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, s := range t.servers {
		if s.own == 0 && !v.HasKey(key) {
			delete(t.servers, key)
			delete(t.short, Short(s.backend))
			continue
		}
		s.trim()
	}
}
