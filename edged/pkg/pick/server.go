package pick

import (
	"time"

	"rosemarygrade.dev/lib/pkg/header"
	"rosemarygrade.dev/lib/pkg/plan"
)

// Load is what a backend server reports of its work.
type Load = header.Load

// Rules of what is believed of backend servers.
const (
	// reportLife is how long a peer's report counts; reports come several times a second, in large fleets once.
	reportLife = 2 * time.Second
	// seenLife is how long the work counts that a backend server told with an answer.
	seenLife = 100 * time.Millisecond
	// noteLife is how long the told slowness is new enough to be passed on.
	noteLife = 150 * time.Millisecond
	// slownessLife is how long the slowness counts that it told; it changes several times a second.
	slownessLife = 500 * time.Millisecond
	// failuresOut is how many failures in a row take a backend server out for a while.
	failuresOut = 3
	outFor      = time.Second
	// timeWeight is the weight of a new sample in a mean of work times.
	timeWeight = 0.05
	// ratioWeight is the weight of a new sample in how much longer than usual a backend server takes.
	ratioWeight = 0.15
	// ratioMost bounds one sample: stragglers are the request's doing.
	ratioMost = 8
	// firstWarm and firstCold are mean work times before there are samples.
	firstWarm = 100 * time.Millisecond
	firstCold = 300 * time.Millisecond
	// warmMost is how many objects are remembered for a backend server.
	warmMost = 256
	// coldShare is which share of a cold backend server's rate its keeper uses.
	coldShare = 0.8
)

// mean is a mean of durations in which older ones fade.
type mean struct {
	sum float64
	n   int
}

func (m *mean) add(d time.Duration) {
	m.n++
	weight := max(timeWeight, 1/float64(m.n))
	m.sum += weight * (float64(d) - m.sum)
}

func (m *mean) value(first time.Duration) time.Duration {
	if m.n == 0 {
		return first
	}
	return time.Duration(m.sum)
}

// server is what this host knows of a backend server.
type server struct {
	backend  *plan.Backend
	own      int
	failures int
	outUntil time.Time
	coldNext time.Time
	// warm holds when an object was last handled there, running when a first run of one began, by short names.
	warm    map[uint32]time.Time
	running map[uint32]time.Time
	// ratio is how much longer than usual it takes, beyond the slowness that it tells.
	ratio float64
	// others is the work of other hosts by the last answer's load.
	others     int
	seen       time.Time
	slowness   float64
	slownessAt time.Time
}

func newServer(b *plan.Backend) *server {
	return &server{backend: b, warm: map[uint32]time.Time{}, running: map[uint32]time.Time{}, ratio: 1, slowness: 1}
}

// begin counts a request.
func (s *server) begin(now time.Time, q *Query) {
	s.own++
	if !q.Sticky {
		return
	}
	object := q.short()
	if _, warm := s.warm[object]; !warm {
		if _, running := s.running[object]; !running {
			s.running[object] = now
		}
	}
}

// end ends a request and tells whether its object was warm when it began.
func (s *server) end(now time.Time, q *Query, o Outcome, load Load) bool {
	s.own--
	_, warm := s.warm[q.short()]
	if q.Sticky && !warm {
		delete(s.running, q.short())
	}
	if load.Reported {
		s.others, s.seen = max(0, load.Running+load.Waiting-s.own), now
		s.slowness, s.slownessAt = load.LatencyFactor, now
	}
	switch o {
	case Answered:
		s.failures = 0
	case Failed:
		s.failures++
		if s.failures >= failuresOut {
			s.outUntil = now.Add(outFor)
		}
	case Shed, TimedOut, Cancelled:
	}
	return warm
}

// learn takes how long an answer took.
func (s *server) learn(svc *service, took time.Duration, warm bool) {
	usual := svc.usual(warm)
	slow := s.slowness
	sample := min(ratioMost, float64(took)/max(1, float64(usual)*slow))
	s.ratio += ratioWeight * (sample - s.ratio)
	// A slow backend server must not change what is usual.
	plain := time.Duration(float64(took) / slow)
	if warm {
		svc.warm.add(plain)
	} else {
		svc.cold.add(plain)
	}
}

func (s *service) usual(warm bool) time.Duration {
	cold := s.cold.value(firstCold)
	if warm {
		return min(cold, s.warm.value(cold*firstWarm/firstCold))
	}
	return cold
}

// slow returns how much longer than usual work takes there now.
func (s *server) slow(now time.Time) float64 {
	slow := max(1, s.ratio)
	if now.Sub(s.slownessAt) < slownessLife {
		slow *= s.slowness
	}
	return slow
}

// load returns the requests that all hosts have there, as far as is known.
func (t *Table) load(now time.Time, s *server) int {
	if now.Sub(s.seen) < seenLife {
		return s.own + s.others
	}
	return s.own + t.peerWork[Short(s.backend)]
}

// trim forgets the objects that were not handled for the longest time.
func (s *server) trim() {
	for len(s.warm) > warmMost {
		var oldest uint32
		var at time.Time
		for o, when := range s.warm {
			if at.IsZero() || when.Before(at) {
				oldest, at = o, when
			}
		}
		delete(s.warm, oldest)
	}
}

func coldPause(v *plan.View, b *plan.Backend) time.Duration {
	svc := v.Config().Service(b.Service())
	if svc == nil || svc.SlowStartRate <= 0 {
		return time.Second
	}
	return time.Duration(float64(time.Second) / (svc.SlowStartRate * coldShare))
}
