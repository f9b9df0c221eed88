// Package pick chooses the backend server of a request: the one that holds the request's object warm, as
// long as it has a free slot, then the next one in an order on which all hosts agree without messages.
package pick

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"rosemarygrade.dev/lib/pkg/plan"
)

// Rules of the choice.
const (
	// farPush is how much of the hash range backend servers of other regions are pushed back.
	farPush = 0.35
	// reportLife is how long a peer's report counts; reports come several times a second.
	reportLife = time.Second
	// coldShare is which share of a cold backend server's rate its keeper uses.
	coldShare = 0.8
	// failuresOut is how many failures in a row take a backend server out for a while.
	failuresOut = 2
	outFor      = time.Second
	// timeWeight is the weight of a new sample in a mean of work times.
	timeWeight = 0.05
	// firstMean is the mean work time before there are samples.
	firstMean = 200 * time.Millisecond
)

// Query is what a choice depends on.
type Query struct {
	Service string
	// Region is where the request is; Allows tells which regions may serve it.
	Region string
	Allows func(region string) bool
	// Object is the hash of the object that the request concerns; Sticky says that there is one.
	Object uint64
	Sticky bool
	// Left is the time until the request must be answered.
	Left time.Duration
	// Tried are backend servers that the request was sent to before.
	Tried []string
	// Keeper tells whether this host is the one that sends to a cold backend server.
	Keeper func(b *plan.Backend) bool
}

// Result is a choice or the reason why there is none.
type Result interface{ result() }

// Chosen names the backend server. Its slot is counted until Done.
type Chosen struct{ Backend *plan.Backend }

// Full says that no backend server has room, and after which time one may.
type Full struct{ After time.Duration }

// None says that no backend server is known for the service.
type None struct{}

func (Chosen) result() {}
func (Full) result()   {}
func (None) result()   {}

// Outcome is how a send ended.
type Outcome int

// Outcomes.
const (
	// Answered means that the backend server gave an answer.
	Answered Outcome = iota
	// Shed means that it did not run the request.
	Shed
	// Failed means that no whole answer came.
	Failed
	// Left means that this side broke off.
	Left
)

// Table counts work at backend servers. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	servers map[string]*server
	means   map[string]time.Duration
	peers   map[string]report
}

type server struct {
	backend  *plan.Backend
	own      int
	others   int
	failures int
	outUntil time.Time
	coldNext time.Time
}

type report struct {
	at     time.Time
	counts map[uint32]int
}

// New returns an empty table.
func New() *Table {
	return &Table{servers: map[string]*server{}, means: map[string]time.Duration{}, peers: map[string]report{}}
}

// Short returns the short name of a backend server in reports.
func Short(b *plan.Backend) uint32 { return uint32(b.Hash()) }

func (t *Table) server(b *plan.Backend) *server {
	s := t.servers[b.Key()]
	if s == nil {
		s = &server{backend: b}
		t.servers[b.Key()] = s
	}
	s.backend = b
	return s
}

// Report takes a peer's counts of its own requests under way.
func (t *Table) Report(now time.Time, peer string, counts map[uint32]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[peer] = report{at: now, counts: counts}
}

// Own returns the requests of this host under way, by short name.
func (t *Table) Own() map[uint32]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[uint32]int{}
	for _, s := range t.servers {
		if s.own > 0 {
			out[Short(s.backend)] = s.own
		}
	}
	return out
}

// load returns the requests that all hosts have at a backend server, as far as is known.
func (t *Table) load(now time.Time, s *server) int {
	n := s.own
	for _, r := range t.peers {
		if now.Sub(r.at) < reportLife {
			n += r.counts[Short(s.backend)]
		}
	}
	return n
}

type candidate struct {
	s    *server
	cost float64
}

// Choose chooses a backend server and counts the request there.
func (t *Table) Choose(now time.Time, v *plan.View, q Query) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.candidates(now, v, q)
	if len(list) == 0 {
		if len(v.Usable(q.Service)) == 0 {
			return None{}
		}
		return Full{After: t.mean(q.Service)}
	}
	best, least := -1, math.Inf(1)
	for i, c := range list {
		n, slots := t.load(now, c.s), c.s.backend.Slots()
		if n < slots {
			best = i
			break
		}
		if over := float64(n-slots+1) / float64(slots); over < least {
			best, least = i, over
		}
	}
	wait := time.Duration(0)
	if !math.IsInf(least, 1) && t.load(now, list[best].s) >= list[best].s.backend.Slots() {
		wait = time.Duration(least * float64(t.mean(q.Service)))
	}
	if wait > 0 && (least > 1 || wait > q.Left/2) {
		return Full{After: wait}
	}
	s := list[best].s
	s.own++
	if s.backend.Cold(now) {
		s.coldNext = now.Add(coldPause(v, s.backend))
	}
	return Chosen{Backend: s.backend}
}

func coldPause(v *plan.View, b *plan.Backend) time.Duration {
	svc := v.Config().Service(b.Service())
	if svc == nil || svc.ColdRate <= 0 {
		return time.Second
	}
	return time.Duration(float64(time.Second) / (svc.ColdRate * coldShare))
}

// candidates returns the backend servers that may get the request, best first.
func (t *Table) candidates(now time.Time, v *plan.View, q Query) []candidate {
	usable := v.Usable(q.Service)
	list := make([]candidate, 0, len(usable))
	for _, b := range usable {
		if !q.Allows(b.Region()) || slices.Contains(q.Tried, b.Key()) {
			continue
		}
		s := t.server(b)
		if now.Before(s.outUntil) {
			continue
		}
		if b.Cold(now) && (now.Before(s.coldNext) || !q.Keeper(b)) {
			continue
		}
		cost := 0.0
		if q.Sticky {
			cost = unit(q.Object ^ b.Hash())
		} else {
			cost = float64(t.load(now, s)) / float64(b.Slots())
		}
		if b.Region() != q.Region {
			cost += farPush
		}
		list = append(list, candidate{s: s, cost: cost})
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	return list
}

// unit spreads a hash over 0 to 1.
func unit(h uint64) float64 {
	const (
		mul1, mul2 = 0xff51afd7ed558ccd, 0xc4ceb9fe1a85ec53
		shift      = 33
		kept       = 11
	)
	h ^= h >> shift
	h *= mul1
	h ^= h >> shift
	h *= mul2
	h ^= h >> shift
	return float64(h>>kept) / (1 << (64 - kept))
}

func (t *Table) mean(service string) time.Duration {
	if m, ok := t.means[service]; ok {
		return m
	}
	return firstMean
}

// Done ends a request at a backend server.
func (t *Table) Done(now time.Time, b *plan.Backend, took time.Duration, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.server(b)
	s.own--
	switch o {
	case Answered:
		s.failures = 0
		m := t.mean(b.Service())
		t.means[b.Service()] = m + time.Duration(timeWeight*float64(took-m))
	case Failed:
		s.failures++
		if s.failures >= failuresOut {
			s.outUntil = now.Add(outFor)
		}
	case Shed, Left:
	}
}

// Keep forgets backend servers that are gone and have no work.
func (t *Table) Keep(now time.Time, v *plan.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, s := range t.servers {
		if b := v.Backend(s.backend.ID()); s.own == 0 && (b == nil || b.Key() != key) {
			delete(t.servers, key)
		}
	}
	for name, r := range t.peers {
		if now.Sub(r.at) > reportLife {
			delete(t.peers, name)
		}
	}
}
