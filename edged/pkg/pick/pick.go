// Package pick decides to which backend server a request is sent and when. An object is warm at a backend server
// that has handled it recently and still has it cached, and cold elsewhere. Each object has preferred backend servers
// by rendezvous hashing; at low utilization, requests may spill over to others. A request is sent if one of them has
// capacity, queued on this host while it can still finish in time, and rejected otherwise. All functions take the
// present time, and none of them blocks.
package pick

import (
	"math/rand/v2"
	"sync"
	"time"

	"rosemarygrade.dev/lib/pkg/plan"
)

// Query describes a request for a decision.
type Query struct {
	Service string
	// Route is the name of the request's route. Service times are estimated for each route.
	Route string
	// Region is the region of this host. Allows reports whether a region may serve the request.
	Region string
	Allows func(region string) bool
	// Object is the hash of the requested object, or of the request itself if Sticky is not set.
	Object uint64
	Sticky bool
	// Priority is the priority class; 0 is the highest.
	Priority int
	// Objective is the time by which the response must arrive to meet the latency objective; a later one has reduced
	// utility. Deadline is the time by which the caller must have a response.
	Objective time.Time
	Deadline  time.Time
	// Tried holds the keys of the backend servers that this request was already sent to.
	Tried []string
}

// Result is the decision on a request: Chosen, Queued, Rejected or NoBackends.
type Result interface{ result() }

// Chosen names the backend server to send to immediately. The request occupies a slot there until Done is called.
type Chosen struct {
	Backend     *plan.Backend
	Explanation Explanation
}

// Explanation holds the inputs of a decision, for the request's trace.
type Explanation struct {
	// Load is the known number of requests of all hosts at the backend server, Slots its capacity. Warm reports whether
	// the object was warm there.
	Load, Slots int
	Warm        bool
	// LatencyFactor is the backend server's present service time as a multiple of the service's mean.
	LatencyFactor float64
	// ExpectedWait is the time before the request runs, ExpectedWork its service time.
	// QueueLength is the length of the service's queue on this host.
	ExpectedWait, ExpectedWork time.Duration
	QueueLength                int
}

// Queued means that the request is in the queue of this host. Its ticket receives the result.
type Queued struct{ Ticket *Ticket }

// Rejected means that the request can't be served in time. RetryAfter is the delay after which there may be capacity.
type Rejected struct {
	RetryAfter  time.Duration
	Explanation Explanation
}

// NoBackends means that the service has no usable backend server.
type NoBackends struct{}

func (Chosen) result()     {}
func (Queued) result()     {}
func (Rejected) result()   {}
func (NoBackends) result() {}

// Ticket is a queued request.
type Ticket struct {
	query  Query
	since  time.Time
	result chan Result
}

// Result returns the channel that receives one Chosen or Rejected.
func (t *Ticket) Result() <-chan Result { return t.result }

// Outcome is the result of sending a request to a backend server.
type Outcome int

// Outcomes.
const (
	// Answered means that the backend server gave a complete response.
	Answered Outcome = iota
	// Shed means that the backend server rejected the request without running it.
	Shed
	// Failed means that the response was incomplete, missing, or an error.
	Failed
	// TimedOut means that the request's deadline passed while it ran.
	TimedOut
	// Cancelled means that the attempt ended for a reason that says nothing about the backend server, such as a caller
	// that closed its connection.
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

// Fleet provides what the table needs to know about the other hosts.
type Fleet interface {
	// IsElectedFor reports whether this host is the one that sends to a backend server during its slow start.
	IsElectedFor(b *plan.Backend) bool
	// SlowStartShare returns the share of a slow-start rate that this host may use where it is elected. It is below 1 where hosts that this
	// one does not hear of may take themselves for elected too.
	SlowStartShare() float64
	// Demand returns each region's share of all requests, 0 to 1.
	Demand() map[string]float64
	// Hosts returns the number of hosts of the system, this one included, between which limits of all hosts together are divided.
	Hosts() int
}

// Table counts the requests at each backend server and holds the queues. It is safe for concurrent use.
type Table struct {
	rules  Rules
	fleet  Fleet
	random *rand.Rand

	mu sync.Mutex
	// view is the newest view that was passed to the table.
	view        *plan.View
	servers     map[string]*server
	serversByID map[uint32]*server
	services    map[string]*service
	peers       map[string]peerReports
	// peerInFlight counts the requests of all peers at each backend server, by ShortID.
	peerInFlight map[uint32]int
	// warmUpdates are the recently warmed objects to advertise to other hosts.
	warmUpdates []warmUpdate
	ramps       rampTotals
}

// service is what this host stores about a service.
type service struct {
	warmTime, coldTime mean
	// routes holds the service times of each route, at most maxRoutes.
	routes        map[string]*routeTimes
	rendezvous    *rendezvous
	utilization   float64
	utilizationAt time.Time
	queue         []*Ticket
	// sendRate is the number of sends a second from this host over sendRateWindow, as of sendRateAt.
	sendRate   float64
	sendRateAt time.Time
	rejections rejections
	// typical is the typical ratio of measured to expected service times.
	typical   ratio
	rampCheck rampCheck
}

// ServerReport is a host's report on one backend server to the other hosts.
type ServerReport struct {
	// InFlight counts the host's own requests at the backend server.
	InFlight int
	// LatencyFactor is the factor in the backend server's last load report; 0 if that is older than forwardTTL.
	LatencyFactor float64
}

type peerReports struct {
	at      time.Time
	reports map[uint32]ServerReport
}

// New returns an empty table.
func New(rules Rules, fleet Fleet) *Table {
	return &Table{
		rules: rules, fleet: fleet, servers: map[string]*server{}, serversByID: map[uint32]*server{}, services: map[string]*service{}, peers: map[string]peerReports{},
		peerInFlight: map[uint32]int{}, random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// ShortID returns the identifier of a backend server in messages between hosts: its hash truncated to 32 bits.
func ShortID(b *plan.Backend) uint32 { return uint32(b.Hash()) }

// server returns the state of a backend server. The entry that b holds may be older than the one in the state: a request keeps the
// entry that it was sent with.
func (t *Table) server(b *plan.Backend) *server {
	s := t.servers[b.Key()]
	if s == nil {
		s = newServer(b)
		s.ramp = t.inheritedRamp(b)
		t.servers[b.Key()] = s
		t.serversByID[ShortID(b)] = s
	}
	return s
}

// newest returns the newest view that was passed to the table. A caller that read its view before another one took the lock may pass
// an older view.
func (t *Table) newest(v *plan.View) *plan.View {
	if t.view == nil || !v.OlderThan(t.view) {
		t.view = v
	}
	return t.view
}

func (t *Table) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{}
		t.services[name] = s
	}
	return s
}

// ReceiveReports replaces a peer's previous reports, which are keyed by ShortID.
func (t *Table) ReceiveReports(now time.Time, peer string, reports map[uint32]ServerReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addPeerInFlight(t.peers[peer].reports, -1)
	t.peers[peer] = peerReports{at: now, reports: reports}
	t.addPeerInFlight(reports, 1)
	for id, r := range reports {
		if s := t.serversByID[id]; s != nil && r.LatencyFactor > 0 {
			s.latencyFactor, s.latencyFactorAt = r.LatencyFactor, now
		}
	}
}

// addPeerInFlight adds a peer's in-flight requests to the totals, or subtracts them if sign is -1.
func (t *Table) addPeerInFlight(reports map[uint32]ServerReport, sign int) {
	for id, r := range reports {
		t.peerInFlight[id] += sign * r.InFlight
		if t.peerInFlight[id] == 0 {
			delete(t.peerInFlight, id)
		}
	}
}

// expireReports removes the reports of peers that sent none for peerReportTTL.
func (t *Table) expireReports(now time.Time) {
	for name, r := range t.peers {
		if now.Sub(r.at) > peerReportTTL {
			t.addPeerInFlight(r.reports, -1)
			delete(t.peers, name)
		}
	}
}

// Reports returns this host's reports on backend servers by ShortID.
func (t *Table) Reports(now time.Time) map[uint32]ServerReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[uint32]ServerReport{}
	for _, s := range t.servers {
		r := ServerReport{InFlight: s.inFlight}
		if now.Sub(s.loadAt) < forwardTTL {
			r.LatencyFactor = s.latencyFactor
		}
		if r != (ServerReport{}) {
			out[ShortID(s.backend)] = r
		}
	}
	return out
}

// QueueLength returns the number of queued requests of all services.
func (t *Table) QueueLength() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.services {
		n += len(s.queue)
	}
	return n
}

// Choose decides whether a request is sent, queued or rejected.
func (t *Table) Choose(now time.Time, v *plan.View, q Query) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.countHeldBack()()
	v = t.newest(v)
	if len(v.Usable(q.Service)) == 0 {
		return NoBackends{}
	}
	svc := t.service(q.Service)
	c, ok := t.bestCandidate(now, v, svc, &q)
	if !ok {
		wait, later := t.untilEligible(now, svc, &q)
		if !later {
			return Rejected{RetryAfter: min(maxRetryAfter, max(wait, ejectionTime)), Explanation: t.explain(now, svc, c)}
		}
		c.wait = wait
	}
	if ok && t.mustReject(now, svc, &q, c) {
		return Rejected{RetryAfter: t.retryAfterMiss(now, c), Explanation: t.explain(now, svc, c)}
	}
	after, full := time.Duration(0), false
	if !ok || !c.immediate {
		after, full = t.overloaded(now, svc, &q, c, ok)
	}
	if ok && (c.immediate || (full && c.held)) {
		explanation := t.explain(now, svc, c)
		t.start(now, v, svc, c.server, &q)
		return Chosen{Backend: c.server.backend, Explanation: explanation}
	}
	if full {
		return Rejected{RetryAfter: after, Explanation: t.explain(now, svc, c)}
	}
	ticket := &Ticket{query: q, since: now, result: make(chan Result, 1)}
	svc.enqueue(ticket)
	return Queued{Ticket: ticket}
}

// explain returns the inputs of the decision for a candidate, which is empty if no backend server was eligible.
func (t *Table) explain(now time.Time, svc *service, c candidate) Explanation {
	e := Explanation{ExpectedWait: c.wait, ExpectedWork: c.work, QueueLength: len(svc.queue), Warm: c.warm}
	if c.server != nil {
		e.Load, e.Slots, e.LatencyFactor = t.load(now, c.server), c.server.backend.Slots(), t.factorNow(now, c.server)
	}
	return e
}

// Cancel removes a request from the queue. If a backend server was chosen for it in the meantime, Cancel returns that
// backend server, for which Done must then be called.
func (t *Table) Cancel(ticket *Ticket) *plan.Backend {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service(ticket.query.Service).remove(ticket)
	select {
	case r := <-ticket.result:
		if c, ok := r.(Chosen); ok {
			return c.Backend
		}
	default:
	}
	return nil
}

// start counts a request as sent to a backend server.
func (t *Table) start(now time.Time, v *plan.View, svc *service, s *server, q *Query) {
	s.begin(now, q)
	t.recordRampSend(now, v, s)
	s.backpressure.recordSend(now, t.division())
	svc.recordSend(now)
	if s.inSlowStart(now) {
		s.nextSlowStartSend = now.Add(t.slowStartInterval(v, s.backend))
	}
}

// Done records the outcome of a request. Load is the load report in the response, if any. It reports whether this
// failure starts an ejection of the backend server.
func (t *Table) Done(now time.Time, b *plan.Backend, q *Query, took time.Duration, o Outcome, load Load) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, svc := t.server(b), t.service(b.Service())
	warm := s.end(now, q, o, load)
	t.recordAdmission(now, svc, s, took, o)
	t.recordRampOutcome(now, svc, s, q, took, o, load, warm)
	switch o {
	case Answered:
		t.recordLatency(now, svc, s, q, took, warm)
		t.recordWarm(now, s, q)
	case TimedOut:
		t.recordSlowCut(now, svc, s, q, took, warm)
		t.recordCut(now, svc, s, q, took, warm)
	case Shed, Failed, Cancelled:
	}
	return o == Failed && s.consecutiveFailures == ejectionFailures
}

// Dispatch sends the queued requests of a service that can run now and rejects those that can't finish in time.
func (t *Table) Dispatch(now time.Time, v *plan.View, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dispatch(now, t.newest(v), t.service(name))
}

// DispatchAll removes the expired reports of peers and then calls Dispatch for each service.
func (t *Table) DispatchAll(now time.Time, v *plan.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireReports(now)
	v = t.newest(v)
	for _, svc := range t.services {
		t.dispatch(now, v, svc)
	}
}

func (t *Table) dispatch(now time.Time, v *plan.View, svc *service) {
	if len(svc.queue) == 0 {
		return
	}
	kept := svc.queue[:0]
	for i, ticket := range svc.queue {
		if i >= maxDispatchScan && !t.tooLate(now, svc, &ticket.query) {
			kept = append(kept, ticket)
			continue
		}
		c, ok := t.bestCandidate(now, v, svc, &ticket.query)
		if ok && t.mustReject(now, svc, &ticket.query, c) {
			ticket.result <- Rejected{RetryAfter: t.retryAfterMiss(now, c), Explanation: t.explain(now, svc, c)}
			continue
		}
		if ok && c.immediate {
			explanation := t.explain(now, svc, c)
			t.start(now, v, svc, c.server, &ticket.query)
			ticket.result <- Chosen{Backend: c.server.backend, Explanation: explanation}
			continue
		}
		needed, later := t.minWorkTime(svc, &ticket.query), true
		if !ok {
			// No backend server is eligible yet.
			c.wait, later = t.untilEligible(now, svc, &ticket.query)
			needed += c.wait
		}
		if ticket.query.Deadline.Sub(now) < needed || !later {
			ticket.result <- Rejected{RetryAfter: svc.queueWait(now, len(svc.queue)), Explanation: t.explain(now, svc, c)}
			continue
		}
		kept = append(kept, ticket)
	}
	clear(svc.queue[len(kept):])
	svc.queue = kept
}

// Prune removes backend servers that left the view and have no requests, and trims the warm objects of the others.
func (t *Table) Prune(now time.Time, v *plan.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v = t.newest(v)
	for key, s := range t.servers {
		if s.inFlight == 0 && !v.HasKey(key) && !s.backpressure.mustRemember(now) && !t.keepsRamp(now, s) {
			delete(t.servers, key)
			if id := ShortID(s.backend); t.serversByID[id] == s {
				delete(t.serversByID, id)
			}
			continue
		}
		s.trimWarmObjects()
	}
	for _, svc := range t.services {
		svc.pruneRoutes(now)
	}
}
