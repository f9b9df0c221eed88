// Package queue admits and dispatches the requests of one site. It decides which requests are
// rejected, in which order the others run, and on which backend server. A request is assigned to a
// server only when that server has a free slot. Package owner sends the requests.
package queue

import (
	"time"

	"rosemarygrade.dev/entryd/pkg/flow"
	"rosemarygrade.dev/entryd/pkg/health"
	"rosemarygrade.dev/entryd/pkg/quota"
	"rosemarygrade.dev/lib/pkg/model"
)

// Limits of the queue.
const (
	// queuedPerSlot is the largest number of queued requests for each slot.
	queuedPerSlot = 8
	// maxBackgroundShare is the largest share of slots in use by background requests.
	maxBackgroundShare = 0.5
	// serviceTimeWeight is the weight of a new sample in the mean service time.
	serviceTimeWeight = 0.05
	// minRetryAfter is the shortest retry delay that a rejection asks for.
	minRetryAfter = 50 * time.Millisecond
)

// Ticket is one request in the queue or on a server of the site.
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

// NewTicket returns a ticket that is not admitted yet. Source is the region of the caller.
func NewTicket(source string, background bool, deadline time.Time) *Ticket {
	return &Ticket{source: source, background: background, deadline: deadline, index: -1}
}

// Server returns the address of the server that the request is assigned to, or "".
func (t *Ticket) Server() string { return t.server }

// Deadline returns the deadline of the request.
func (t *Ticket) Deadline() time.Time { return t.deadline }

type server struct {
	address  string
	slots    int
	inFlight int
	// otherInFlight counts the requests in flight from a previous owner.
	otherInFlight int
	leaving       bool
	// responses counts the responses since the server was added.
	responses int
	// skipsSlowStart is true for the first servers of a site.
	skipsSlowStart bool
}

// Queue holds the queued requests of one site and the slots of its servers. It is not safe for
// concurrent use.
type Queue struct {
	region             string
	servers            map[string]*server
	serverList         []*server
	queued             [numClasses]ticketHeap
	quota              *quota.Quota
	health             *health.Tracker
	slots              int
	slotShare          float64
	inFlight           int
	remoteInFlight     int
	backgroundInFlight int
	meanServiceTime    time.Duration
	nextID             uint64
}

// Classes of queued requests, by priority and by source region.
const (
	liveOwn = iota
	liveRemote
	backgroundOwn
	backgroundRemote
	numClasses
)

// New returns an empty queue for a site in the region.
func New(region string) *Queue {
	return &Queue{region: region, servers: map[string]*server{}, quota: quota.New(region), health: health.New(), slotShare: 1}
}

// SetServers replaces the servers that receive requests. A removed server finishes its requests in
// flight and gets no new ones.
func (q *Queue) SetServers(servers []model.Server) {
	present := make(map[string]bool, len(servers))
	first := len(q.servers) == 0
	q.slots = 0
	for _, v := range servers {
		present[v.Address()] = true
		s := q.servers[v.Address()]
		if s == nil || s.leaving {
			q.addServer(s, v, first)
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
		if s.inFlight == 0 && s.otherInFlight == 0 {
			delete(q.servers, a)
		}
	}
	q.rebuildServerList()
}

// addServer adds a server, or restores a leaving one together with its requests in flight. A server
// added to a running site is in slow start: it gets one slot at first and one more with each
// response.
func (q *Queue) addServer(old *server, v model.Server, first bool) {
	s := &server{address: v.Address(), skipsSlowStart: first}
	if old != nil {
		s.inFlight, s.otherInFlight = old.inFlight, old.otherInFlight
	}
	q.servers[v.Address()] = s
}

func (q *Queue) rebuildServerList() {
	q.serverList = q.serverList[:0]
	for _, s := range q.servers {
		q.serverList = append(q.serverList, s)
	}
	kept := make(map[string]bool, len(q.servers))
	for a := range q.servers {
		kept[a] = true
	}
	q.health.Retain(kept)
}

// SetOtherInFlight sets how many requests of a previous owner are in flight at a server. They use
// slots of the server.
func (q *Queue) SetOtherInFlight(address string, n int) {
	s := q.servers[address]
	if s == nil {
		if n == 0 {
			return
		}
		s = &server{address: address, leaving: true}
		q.servers[address] = s
		q.rebuildServerList()
	}
	s.otherInFlight = n
}

// SetSlotShare limits dispatch to a share of the slots, from 0 to 1. It is used while a previous
// owner may still have an unknown number of requests in flight.
func (q *Queue) SetSlotShare(share float64) { q.slotShare = share }

// Capacity returns the largest number of admitted requests, queued ones included.
func (q *Queue) Capacity() int { return q.slots * (1 + queuedPerSlot) }

func (q *Queue) size() quota.Size { return quota.Size{Slots: q.slots, Capacity: q.Capacity()} }

// Admit adds a request to the queue, or returns why it is rejected.
func (q *Queue) Admit(now time.Time, t *Ticket) *flow.Rejected {
	if q.slots == 0 {
		return q.reject(flow.RejectedNoServer, "the site has no server that takes new work")
	}
	if !now.Before(t.deadline) {
		return q.reject(flow.RejectedExpired, "the deadline has passed")
	}
	if wait := q.estimatedWait(t); now.Add(wait).After(t.deadline) {
		return q.reject(flow.RejectedWouldExpire, "the request would miss its deadline in the queue")
	}
	if !q.quota.Admit(now, t.source, q.size()) {
		return q.reject(flow.RejectedQuota, "the share of the region is used up")
	}
	q.nextID++
	t.id = q.nextID
	t.admitted = true
	q.queued[q.classOf(t)].add(t)
	return nil
}

// estimatedWait estimates how long a new request would wait for a slot.
func (q *Queue) estimatedWait(t *Ticket) time.Duration {
	available := q.slots - q.busySlots()
	ahead := q.queued[liveOwn].Len() + q.queued[liveRemote].Len()
	if t.background {
		ahead += q.queued[backgroundOwn].Len() + q.queued[backgroundRemote].Len()
	}
	if ahead < available {
		return 0
	}
	return q.meanServiceTime * time.Duration(ahead+1) / time.Duration(max(1, q.slots))
}

func (q *Queue) reject(kind flow.RejectionKind, reason string) *flow.Rejected {
	r := flow.NotRun(kind, reason)
	r.RetryAfter = max(minRetryAfter, q.meanServiceTime)
	load := q.Load()
	r.Load = &load
	return &r
}

func (q *Queue) classOf(t *Ticket) int {
	class := liveOwn
	if t.source != q.region {
		class = liveRemote
	}
	if t.background {
		class += backgroundOwn - liveOwn
	}
	return class
}

// Dispatch assigns queued requests to servers while there are free slots, and returns their
// tickets. The calling code sends the requests.
func (q *Queue) Dispatch(now time.Time) []*Ticket {
	var out []*Ticket
	for {
		class := q.nextClass(now)
		if class < 0 {
			return out
		}
		s := q.pickServer(now, "")
		if s == nil {
			return out
		}
		t := q.queued[class].pop()
		q.assign(now, t, s)
		out = append(out, t)
	}
}

// nextClass returns the class whose first request is dispatched next, or -1. Live requests go
// before background requests; within each of the two, the earliest deadline goes first.
func (q *Queue) nextClass(now time.Time) int {
	remoteOpen := q.quota.AllowsRemote(now, q.slots, q.remoteInFlight, q.busySlots())
	if class := q.earliest(liveOwn, liveRemote, remoteOpen); class >= 0 {
		return class
	}
	if float64(q.backgroundInFlight) >= max(1, maxBackgroundShare*float64(q.slots)) {
		return -1
	}
	return q.earliest(backgroundOwn, backgroundRemote, remoteOpen)
}

func (q *Queue) earliest(own, remote int, remoteOpen bool) int {
	a, b := q.queued[own].first(), q.queued[remote].first()
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

// pickServer returns the server with the largest share of free slots, or nil. Of equal servers it
// returns the one with the lower mean latency. It skips the excluded address.
func (q *Queue) pickServer(now time.Time, excluded string) *server {
	if q.slotShare < 1 && float64(q.busySlots()) >= q.slotShare*float64(q.slots) {
		return nil
	}
	var (
		best     *server
		bestFree float64
	)
	for _, s := range q.serverList {
		if s.leaving || s.address == excluded {
			continue
		}
		free := q.freeSlots(now, s)
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

// busySlots returns how many slots are in use at servers that are not leaving.
func (q *Queue) busySlots() int {
	n := 0
	for _, s := range q.serverList {
		if !s.leaving {
			n += s.inFlight + s.otherInFlight
		}
	}
	return n
}

func (q *Queue) freeSlots(now time.Time, s *server) int {
	allowed := q.health.Allowed(now, s.address, s.slots)
	if !s.skipsSlowStart {
		allowed = min(allowed, 1+s.responses)
	}
	return min(allowed, s.slots) - s.inFlight - s.otherInFlight
}

func (q *Queue) assign(now time.Time, t *Ticket, s *server) {
	t.server = s.address
	s.inFlight++
	q.inFlight++
	if t.source != q.region {
		q.remoteInFlight++
	}
	q.quota.SetBusySlots(now, q.inFlight-q.remoteInFlight)
	if t.background {
		q.backgroundInFlight++
	}
	q.health.Started(now, s.address, t.id)
}

// Hedge assigns a second attempt of a request to another server. It returns nil if any request is
// queued, if no other server has a free slot, if the server with the most free slots is slow or
// stalled, or if the quota rejects the attempt.
func (q *Queue) Hedge(now time.Time, t *Ticket) *Ticket {
	for class := range q.queued {
		if q.queued[class].Len() > 0 {
			return nil
		}
	}
	s := q.pickServer(now, t.server)
	if s == nil || q.health.States()[s.address] != "" || !q.quota.Admit(now, t.source, q.size()) {
		return nil
	}
	q.nextID++
	h := &Ticket{id: q.nextID, source: t.source, background: t.background, deadline: t.deadline, index: -1, admitted: true}
	q.assign(now, h, s)
	return h
}

// End describes how a request at a server ended.
type End struct {
	// Ran reports whether the request ran or may have run, so that its duration counts as latency.
	Ran bool
	// Failed reports whether the server rejected the request, was unreachable, or was so slow that
	// the second attempt on another server got its response first.
	Failed bool
	// Cancelled reports whether the request was cancelled, so that its duration is not the server's
	// latency.
	Cancelled bool
}

// Done releases the slot of a dispatched ticket and records the result.
func (q *Queue) Done(now time.Time, t *Ticket, e End) {
	s := q.servers[t.server]
	if s == nil || !t.admitted {
		return
	}
	t.admitted = false
	s.inFlight--
	q.inFlight--
	if t.source != q.region {
		q.remoteInFlight--
	}
	q.quota.SetBusySlots(now, q.inFlight-q.remoteInFlight)
	if t.background {
		q.backgroundInFlight--
	}
	q.observe(now, t, s, e)
	q.quota.Release(now, t.source)
	if s.leaving && s.inFlight == 0 && s.otherInFlight == 0 {
		delete(q.servers, s.address)
		q.rebuildServerList()
	}
}

func (q *Queue) observe(now time.Time, t *Ticket, s *server, e End) {
	took, started := q.health.Ended(now, s.address, t.id, e.Ran && !e.Cancelled)
	if e.Failed {
		q.health.CountFailure(s.address)
	}
	if !e.Ran || e.Cancelled || !started {
		return
	}
	s.responses++
	q.quota.ObserveLatency(now, t.source, took)
	if q.meanServiceTime == 0 {
		q.meanServiceTime = took
		return
	}
	q.meanServiceTime += time.Duration(serviceTimeWeight * float64(took-q.meanServiceTime))
}

// Cancel removes a queued ticket. It returns false if the ticket is not queued, as after dispatch.
func (q *Queue) Cancel(now time.Time, t *Ticket) bool {
	if t.index < 0 {
		return false
	}
	t.heap.remove(t)
	t.admitted = false
	q.quota.Release(now, t.source)
	return true
}

// Expire removes and returns the queued tickets whose deadline has passed.
func (q *Queue) Expire(now time.Time) []*Ticket {
	var out []*Ticket
	for class := range q.queued {
		for t := q.queued[class].first(); t != nil && !now.Before(t.deadline); t = q.queued[class].first() {
			q.Cancel(now, t)
			out = append(out, t)
		}
	}
	return out
}

// Flush removes and returns all queued tickets.
func (q *Queue) Flush(now time.Time) []*Ticket {
	var out []*Ticket
	for class := range q.queued {
		for t := q.queued[class].first(); t != nil; t = q.queued[class].first() {
			q.Cancel(now, t)
			out = append(out, t)
		}
	}
	return out
}

// TailLatency returns the site's 95th percentile latency.
func (q *Queue) TailLatency(now time.Time) time.Duration { return q.health.TailLatency(now) }

// InFlight returns how many of this queue's requests are in flight at servers.
func (q *Queue) InFlight() int { return q.inFlight }

// Load returns the load that the owner reports to senders.
func (q *Queue) Load() flow.Load {
	queued := 0
	for class := range q.queued {
		queued += q.queued[class].Len()
	}
	return flow.Load{Free: max(0, q.slots-q.busySlots()), Queued: queued, Slots: q.slots}
}

// ServerLoad is the load and state of one server in a state dump.
type ServerLoad struct {
	Address       string `json:"address"`
	InFlight      int    `json:"inFlight"`
	OtherInFlight int    `json:"foreign,omitempty"`
	Leaving       bool   `json:"leaving,omitempty"`
	State         string `json:"state,omitempty"`
}

// Servers returns the load of every server, including leaving ones that still run requests.
func (q *Queue) Servers() []ServerLoad {
	states := q.health.States()
	out := make([]ServerLoad, 0, len(q.serverList))
	for _, s := range q.serverList {
		out = append(out, ServerLoad{
			Address: s.address, InFlight: s.inFlight, OtherInFlight: s.otherInFlight, Leaving: s.leaving, State: string(states[s.address]),
		})
	}
	return out
}

// AdmittedByRegion returns how many admitted requests, queued or in flight, each region has.
func (q *Queue) AdmittedByRegion() map[string]int { return q.quota.AdmittedByRegion() }
