package pick

import (
	"time"

	"rosemarygrade.dev/lib/pkg/header"
	"rosemarygrade.dev/lib/pkg/plan"
)

// Load is a backend server's load report.
type Load = header.Load

// Lifetimes and weights of the data about backend servers.
const (
	// peerReportTTL is how long a peer's report is valid. Hosts report several times a second, and once a second in large
	// fleets.
	peerReportTTL = 2 * time.Second
	// loadTTL is how long the load report in a response is valid.
	loadTTL = 100 * time.Millisecond
	// forwardTTL is how long a reported latency factor is passed on to other hosts.
	forwardTTL = 150 * time.Millisecond
	// latencyFactorTTL is how long a reported latency factor is valid; it changes several times a second.
	latencyFactorTTL = 500 * time.Millisecond
	// ejectionFailures consecutive failures eject a backend server for ejectionTime (outlier detection).
	ejectionFailures = 3
	ejectionTime     = time.Second
	// workTimeWeight is the weight of a new sample in a mean service time.
	workTimeWeight = 0.05
	// factorWeight is the weight of a new sample in a backend server's unreported latency factor.
	factorWeight = 0.15
	// maxFactorSample bounds one sample: a very long service time is due to the request, not the backend server.
	maxFactorSample = 8
	// defaultWarmTime and defaultColdTime are the assumed mean service times before there are samples.
	defaultWarmTime = 100 * time.Millisecond
	defaultColdTime = 300 * time.Millisecond
	// maxWarmObjects is how many warm objects are stored for a backend server.
	maxWarmObjects = 256
	// slowStartRateShare is the share of a backend server's slow-start rate that its elected host uses.
	slowStartRateShare = 0.8
	// minSlowStartShare bounds the share of a host that hears of very few others.
	minSlowStartShare = 0.001
)

// mean is an exponentially weighted mean of durations. While there are few samples it is their arithmetic mean.
type mean struct {
	sum float64
	n   int
	// sampledAt is when the last sample was added.
	sampledAt time.Time
}

func (m *mean) add(now time.Time, d time.Duration) {
	m.n++
	m.sampledAt = now
	weight := max(workTimeWeight, 1/float64(m.n))
	m.sum += weight * (float64(d) - m.sum)
}

func (m *mean) value(initial time.Duration) time.Duration {
	if m.n == 0 {
		return initial
	}
	return time.Duration(m.sum)
}

// server is what this host stores about a backend server.
type server struct {
	backend             *plan.Backend
	inFlight            int
	consecutiveFailures int
	ejectedUntil        time.Time
	nextSlowStartSend   time.Time
	// slowStartUntil is until when the backend server is in slow start by its own responses.
	slowStartUntil time.Time
	// warmObjects maps each warm object to the time when it was last handled there, firstRuns each cold object to the
	// time when its first run there began.
	warmObjects map[uint32]time.Time
	firstRuns   map[uint32]time.Time
	// unreportedFactor is the mean ratio of measured to expected service time, beyond the reported latencyFactor.
	unreportedFactor float64
	unreportedAt     time.Time
	// speed is the factor on its service times with SpeedByServer, instead of unreportedFactor.
	speed ratio
	// othersInFlight counts other hosts' requests by the load report in the last response, at loadAt.
	othersInFlight  int
	loadAt          time.Time
	latencyFactor   float64
	latencyFactorAt time.Time
	backpressure    backpressure
	concurrency     concurrency
	ramp            ramp
}

func newServer(b *plan.Backend) *server {
	return &server{backend: b, warmObjects: map[uint32]time.Time{}, firstRuns: map[uint32]time.Time{}, unreportedFactor: 1, latencyFactor: 1}
}

// inSlowStart reports whether the backend server is in slow start, by its newest entry or by a response.
func (s *server) inSlowStart(now time.Time) bool {
	return s.backend.InSlowStart(now) || now.Before(s.slowStartUntil)
}

// begin counts a request as in flight.
func (s *server) begin(now time.Time, q *Query) {
	s.inFlight++
	if !q.Sticky {
		return
	}
	object := q.objectID()
	if _, warm := s.warmObjects[object]; !warm {
		if _, running := s.firstRuns[object]; !running {
			s.firstRuns[object] = now
		}
	}
}

// end records the outcome of a request and reports whether its object was warm before.
func (s *server) end(now time.Time, q *Query, o Outcome, load Load) bool {
	s.inFlight--
	_, warm := s.warmObjects[q.objectID()]
	if q.Sticky && !warm {
		delete(s.firstRuns, q.objectID())
	}
	if load.Reported {
		s.othersInFlight, s.loadAt = max(0, load.Running+load.Waiting-s.inFlight), now
		s.latencyFactor, s.latencyFactorAt = load.LatencyFactor, now
	}
	switch o {
	case Answered:
		s.consecutiveFailures = 0
	case Failed:
		s.consecutiveFailures++
		if s.consecutiveFailures >= ejectionFailures {
			s.ejectedUntil = now.Add(ejectionTime)
		}
	case Shed, TimedOut, Cancelled:
	}
	return warm
}

// recordLatency adds a service time to the backend server's factor and to the means of the service and of the route.
func (t *Table) recordLatency(now time.Time, svc *service, s *server, q *Query, took time.Duration, warm bool) {
	expected := t.meanTime(svc, q, warm)
	factor := s.latencyFactor
	sample := min(maxFactorSample, float64(took)/max(1, float64(expected)*factor))
	s.unreportedFactor += factorWeight * (sample - s.unreportedFactor)
	s.unreportedAt = now
	t.recordSpeed(svc, s, took, expected, factor)
	// Divided by the latency factor, so that a slow backend server does not raise the service's mean.
	t.recordTime(now, svc, q, time.Duration(float64(took)/factor), warm)
}

func (s *service) meanTime(warm bool) time.Duration {
	cold := s.coldTime.value(defaultColdTime)
	if warm {
		return min(cold, s.warmTime.value(cold*defaultWarmTime/defaultColdTime))
	}
	return cold
}

// reportedFactorNow returns the latency factor that the backend server reported, or 1 if that is too old.
func (s *server) reportedFactorNow(now time.Time) float64 {
	if now.Sub(s.latencyFactorAt) < latencyFactorTTL {
		return s.latencyFactor
	}
	return 1
}

// load returns the number of requests of all hosts at a backend server: by its load report if that is younger than
// loadTTL, otherwise by the peers' reports.
func (t *Table) load(now time.Time, s *server) int {
	if now.Sub(s.loadAt) < loadTTL {
		return s.inFlight + s.othersInFlight
	}
	return s.inFlight + t.peerInFlight[ShortID(s.backend)]
}

// trimWarmObjects removes the objects that were handled least recently, down to maxWarmObjects.
func (s *server) trimWarmObjects() {
	for len(s.warmObjects) > maxWarmObjects {
		var oldest uint32
		var at time.Time
		for o, when := range s.warmObjects {
			if at.IsZero() || when.Before(at) {
				oldest, at = o, when
			}
		}
		delete(s.warmObjects, oldest)
	}
}

// slowStartInterval returns the time between requests of this host to a backend server in slow start, if it is elected.
func (t *Table) slowStartInterval(v *plan.View, b *plan.Backend) time.Duration {
	share := max(minSlowStartShare, t.fleet.SlowStartShare())
	svc := v.Config().Service(b.Service())
	if svc == nil || svc.SlowStartRate <= 0 {
		return secondsOf(1 / share)
	}
	return secondsOf(1 / (svc.SlowStartRate * slowStartRateShare * share))
}
