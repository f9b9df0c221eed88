// Package queue is the dispatch decision of a site's owner: which waiting request goes to which
// backend server, and which is turned away. It binds a request to a server at the last moment.
package queue

import (
	"time"

	"rosemarygrade.dev/entryd/pkg/flow"
	"rosemarygrade.dev/entryd/pkg/health"
	"rosemarygrade.dev/entryd/pkg/quota"
	"rosemarygrade.dev/lib/pkg/model"
)

// Rules of the queue.
const (
	// queueFactor is how many requests may wait for each slot.
	queueFactor = 8
	// backgroundShare is the largest share of slots that background work may hold.
	backgroundShare = 0.5
	// serviceWeight is the weight of a new sample in the mean service time.
	serviceWeight = 0.05
	// minRetryAfter is the least time after which a refused sender may ask again.
	minRetryAfter = 50 * time.Millisecond
)

// Ticket is one request at a site.
type Ticket struct {
	id         uint64
	source     string
	background bool
	deadline   time.Time
	index      int
	heap       *ticketHeap
	server     string
	admitted   bool
}

// NewTicket returns a ticket. Source is the region that the request entered in.
func NewTicket(source string, background bool, deadline time.Time) *Ticket {
	return &Ticket{source: source, background: background, deadline: deadline, index: -1}
}

// Server returns the server that the ticket is bound to, or "".
func (t *Ticket) Server() string { return t.server }

// Deadline returns when the request must have ended.
func (t *Ticket) Deadline() time.Time { return t.deadline }

type server struct {
	address  string
	slots    int
	inFlight int
	foreign  int
	leaving  bool
	joined   int
	warm     bool
}

// Queue is not safe for concurrent use.
type Queue struct {
	own        string
	servers    map[string]*server
	order      []*server
	waiting    [classes]ticketHeap
	quota      *quota.Quota
	health     *health.Tracker
	slots      int
	limit      float64
	inFlight   int
	remote     int
	background int
	mean       time.Duration
	nextID     uint64
}

// Classes of waiting requests.
const (
	liveOwn = iota
	liveRemote
	backgroundOwn
	backgroundRemote
	classes
)

// New returns the queue of a site in the region.
func New(region string) *Queue {
	return &Queue{own: region, servers: map[string]*server{}, quota: quota.New(region), health: health.New(), limit: 1}
}

// SetServers replaces the servers that may take new work. A server that is gone keeps its
// requests in flight but gets no more.
func (q *Queue) SetServers(servers []model.Server) {
	present := make(map[string]bool, len(servers))
	first := len(q.servers) == 0
	q.slots = 0
	for _, v := range servers {
		present[v.Address()] = true
		s := q.servers[v.Address()]
		if s == nil || s.leaving {
			q.join(s, v, first)
			s = q.servers[v.Address()]
		}
		s.slots = v.Slots()
		q.slots += v.Slots()
	}
	for a, s := range q.servers {
		if present[a] {
			continue
		}
		s.leaving = true
		if s.inFlight == 0 && s.foreign == 0 {
			delete(q.servers, a)
		}
	}
	q.rebuildOrder()
}

// join adds a new server, or takes back one that was leaving. Servers that join a running site
// start with one slot and grow with each answer.
func (q *Queue) join(old *server, v model.Server, first bool) {
	s := &server{address: v.Address(), warm: first}
	if old != nil {
		s.inFlight, s.foreign = old.inFlight, old.foreign
	}
	q.servers[v.Address()] = s
}

func (q *Queue) rebuildOrder() {
	q.order = q.order[:0]
	for _, s := range q.servers {
		q.order = append(q.order, s)
	}
	known := make(map[string]bool, len(q.servers))
	for a := range q.servers {
		known[a] = true
	}
	q.health.Keep(known)
}

// SetForeign says how many requests of a previous owner are still at a server.
func (q *Queue) SetForeign(address string, n int) {
	s := q.servers[address]
	if s == nil {
		if n == 0 {
			return
		}
		s = &server{address: address, leaving: true}
		q.servers[address] = s
		q.rebuildOrder()
	}
	s.foreign = n
}

// SetLimit sets the share of slots that may be used, while a previous owner's requests may still run.
func (q *Queue) SetLimit(share float64) { q.limit = share }

// Capacity returns how many requests the site holds at most, waiting ones included.
func (q *Queue) Capacity() int { return q.slots * (1 + queueFactor) }

func (q *Queue) size() quota.Size { return quota.Size{Slots: q.slots, Capacity: q.Capacity()} }

// Admit takes in a request or returns why not.
func (q *Queue) Admit(now time.Time, t *Ticket) *flow.Rejected {
	if q.slots == 0 {
		return q.refuse(flow.RejectedNoServer, "the site has no server that takes new work")
	}
	if !now.Before(t.deadline) {
		return q.refuse(flow.RejectedExpired, "the deadline has passed")
	}
	if wait := q.estimate(t); now.Add(wait).After(t.deadline) {
		return q.refuse(flow.RejectedWouldExpire, "the request would miss its deadline in the queue")
	}
	if !q.quota.Admit(now, t.source, q.size()) {
		return q.refuse(flow.RejectedQuota, "the share of the region is used up")
	}
	q.nextID++
	t.id = q.nextID
	t.admitted = true
	q.waiting[q.classOf(t)].add(t)
	return nil
}

// estimate returns how long a new request would wait.
func (q *Queue) estimate(t *Ticket) time.Duration {
	free := q.slots - q.busy()
	ahead := q.waiting[liveOwn].Len() + q.waiting[liveRemote].Len()
	if t.background {
		ahead += q.waiting[backgroundOwn].Len() + q.waiting[backgroundRemote].Len()
	}
	if ahead < free {
		return 0
	}
	return q.mean * time.Duration(ahead+1) / time.Duration(max(1, q.slots))
}

func (q *Queue) refuse(kind flow.RejectionKind, reason string) *flow.Rejected {
	r := flow.NotRun(kind, reason)
	r.RetryAfter = max(minRetryAfter, q.mean)
	load := q.Load()
	r.Load = &load
	return &r
}

func (q *Queue) classOf(t *Ticket) int {
	class := liveOwn
	if t.source != q.own {
		class = liveRemote
	}
	if t.background {
		class += backgroundOwn - liveOwn
	}
	return class
}

// Dispatch binds waiting requests to servers for as long as slots are free. The caller starts them.
func (q *Queue) Dispatch(now time.Time) []*Ticket {
	var out []*Ticket
	for {
		class := q.nextClass(now)
		if class < 0 {
			return out
		}
		s := q.freeServer(now, "")
		if s == nil {
			return out
		}
		t := q.waiting[class].pop()
		q.bind(now, t, s)
		out = append(out, t)
	}
}

// nextClass returns the class whose first request goes next, or -1: live before background, then
// the earliest deadline.
func (q *Queue) nextClass(now time.Time) int {
	remoteOpen := q.quota.RemoteOpen(now, q.slots, q.remote, q.busy())
	if class := q.earliest(liveOwn, liveRemote, remoteOpen); class >= 0 {
		return class
	}
	if float64(q.background) >= max(1, backgroundShare*float64(q.slots)) {
		return -1
	}
	return q.earliest(backgroundOwn, backgroundRemote, remoteOpen)
}

func (q *Queue) earliest(own, remote int, remoteOpen bool) int {
	a, b := q.waiting[own].first(), q.waiting[remote].first()
	switch {
	case b == nil || !remoteOpen:
		if a == nil {
			return -1
		}
		return own
	case a == nil || b.deadline.Before(a.deadline):
		return remote
	default:
		return own
	}
}

// freeServer returns the server with the most free slots, the faster one of equals, or nil.
func (q *Queue) freeServer(now time.Time, not string) *server {
	if q.limit < 1 && float64(q.busy()) >= q.limit*float64(q.slots) {
		return nil
	}
	var (
		best     *server
		bestFree float64
	)
	for _, s := range q.order {
		if s.leaving || s.address == not {
			continue
		}
		free := q.free(now, s)
		if free <= 0 {
			continue
		}
		share := float64(free) / float64(s.slots)
		if best == nil || share > bestFree || (share == bestFree && q.health.Mean(s.address) < q.health.Mean(best.address)) {
			best, bestFree = s, share
		}
	}
	return best
}

// busy returns how many slots of the servers that take new work are in use.
func (q *Queue) busy() int {
	n := 0
	for _, s := range q.order {
		if !s.leaving {
			n += s.inFlight + s.foreign
		}
	}
	return n
}

func (q *Queue) free(now time.Time, s *server) int {
	allowed := q.health.Allowed(now, s.address, s.slots)
	if !s.warm {
		allowed = min(allowed, 1+s.joined)
	}
	return min(allowed, s.slots) - s.inFlight - s.foreign
}

func (q *Queue) bind(now time.Time, t *Ticket, s *server) {
	t.server = s.address
	s.inFlight++
	q.inFlight++
	if t.source != q.own {
		q.remote++
	}
	q.quota.Busy(now, q.inFlight-q.remote)
	if t.background {
		q.background++
	}
	q.health.Started(now, s.address, t.id)
}

// Hedge binds a second try of a request to another server, if one is free and nobody waits.
func (q *Queue) Hedge(now time.Time, t *Ticket) *Ticket {
	for class := range q.waiting {
		if q.waiting[class].Len() > 0 {
			return nil
		}
	}
	s := q.freeServer(now, t.server)
	if s == nil || q.health.States()[s.address] != "" || !q.quota.Admit(now, t.source, q.size()) {
		return nil
	}
	q.nextID++
	h := &Ticket{id: q.nextID, source: t.source, background: t.background, deadline: t.deadline, index: -1, admitted: true}
	q.bind(now, h, s)
	return h
}

// End says how a request at a server ended.
type End struct {
	// Ran says that the server answered, so that its time counts.
	Ran bool
	// Failed says that the server refused the request, could not be reached, or was so late that a
	// second try elsewhere answered first.
	Failed bool
	// Cancelled says that the request was given up, so that its time says little of the server.
	Cancelled bool
}

// Done gives the slot of a bound ticket back.
func (q *Queue) Done(now time.Time, t *Ticket, e End) {
	s := q.servers[t.server]
	if s == nil || !t.admitted {
		return
	}
	t.admitted = false
	s.inFlight--
	q.inFlight--
	if t.source != q.own {
		q.remote--
	}
	q.quota.Busy(now, q.inFlight-q.remote)
	if t.background {
		q.background--
	}
	q.note(now, t, s, e)
	q.quota.Leave(now, t.source)
	if s.leaving && s.inFlight == 0 && s.foreign == 0 {
		delete(q.servers, s.address)
		q.rebuildOrder()
	}
}

func (q *Queue) note(now time.Time, t *Ticket, s *server, e End) {
	took, known := q.health.Ended(now, s.address, t.id, e.Ran && !e.Cancelled)
	if e.Failed {
		q.health.Failed(s.address)
	}
	if !e.Ran || e.Cancelled || !known {
		return
	}
	s.joined++
	q.quota.Observe(now, t.source, took)
	if q.mean == 0 {
		q.mean = took
		return
	}
	q.mean += time.Duration(serviceWeight * float64(took-q.mean))
}

// Cancel takes a waiting ticket out. It returns false when the ticket is already bound.
func (q *Queue) Cancel(now time.Time, t *Ticket) bool {
	if t.index < 0 {
		return false
	}
	t.heap.remove(t)
	t.admitted = false
	q.quota.Leave(now, t.source)
	return true
}

// Expire takes out the waiting tickets whose deadline has passed.
func (q *Queue) Expire(now time.Time) []*Ticket {
	var out []*Ticket
	for class := range q.waiting {
		for t := q.waiting[class].first(); t != nil && !now.Before(t.deadline); t = q.waiting[class].first() {
			q.Cancel(now, t)
			out = append(out, t)
		}
	}
	return out
}

// Flush takes out every waiting ticket.
func (q *Queue) Flush(now time.Time) []*Ticket {
	var out []*Ticket
	for class := range q.waiting {
		for t := q.waiting[class].first(); t != nil; t = q.waiting[class].first() {
			q.Cancel(now, t)
			out = append(out, t)
		}
	}
	return out
}

// Tail returns the latency that few of the site's requests outlive.
func (q *Queue) Tail(now time.Time) time.Duration { return q.health.Tail(now) }

// InFlight returns how many requests are at servers.
func (q *Queue) InFlight() int { return q.inFlight }

// Load returns what senders are told of the site.
func (q *Queue) Load() flow.Load {
	queued := 0
	for class := range q.waiting {
		queued += q.waiting[class].Len()
	}
	return flow.Load{Free: max(0, q.slots-q.busy()), Queued: queued, Slots: q.slots}
}

// ServerLoad is a server's requests in flight.
type ServerLoad struct {
	Address  string `json:"address"`
	InFlight int    `json:"inFlight"`
	Foreign  int    `json:"foreign,omitempty"`
	Leaving  bool   `json:"leaving,omitempty"`
	State    string `json:"state,omitempty"`
}

// Servers returns the load of every server with work or slots.
func (q *Queue) Servers() []ServerLoad {
	states := q.health.States()
	out := make([]ServerLoad, 0, len(q.order))
	for _, s := range q.order {
		out = append(out, ServerLoad{
			Address: s.address, InFlight: s.inFlight, Foreign: s.foreign, Leaving: s.leaving, State: string(states[s.address]),
		})
	}
	return out
}

// Held returns how many places each region holds.
func (q *Queue) Held() map[string]int { return q.quota.Held() }
