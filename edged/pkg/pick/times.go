package pick

import "time"

const (
	// maxRoutes bounds the routes of a service whose service times are kept apart. Others use the service's means.
	maxRoutes = 64
	// routeTTL is how long the service times of a route without requests are kept.
	routeTTL = 10 * time.Minute
	// priorSamples is how many samples of a route its service's mean counts for, so that one request of the tail, which takes
	// several times the work, does not make the estimate.
	priorSamples = 2
	// cutSurplus is the assumed service time of a request that was cut at its deadline, as a multiple of the time until the cut.
	// Service times have a log-normal spread of 0.15 and a tail of 3% with 7 times the work: those above the median are 1.5 times
	// the median on average.
	cutSurplus = 1.5
	// maxCutRatio is the ratio of the time until a cut to the expected service time above which the cut says nothing about the
	// service time: the request belongs to the tail, or the backend server does not respond at all.
	maxCutRatio = 4
)

// routeTimes are the mean service times of one route's requests.
type routeTimes struct {
	warm, cold mean
	usedAt     time.Time
}

// withPrior returns the mean, with a prior estimate that counts for priorSamples samples.
func (m *mean) withPrior(prior time.Duration) time.Duration {
	n := float64(m.n)
	return time.Duration((n*m.sum + priorSamples*float64(prior)) / (n + priorSamples))
}

// meanTime returns the expected service time of a request at a backend server of usual speed. With TimesByRoute it is the route's,
// which approaches the service's while there are few samples of the route.
func (t *Table) meanTime(svc *service, q *Query, warm bool) time.Duration {
	r := svc.routes[q.Route]
	if !t.rules.TimesByRoute || r == nil {
		return svc.meanTime(warm)
	}
	ofService := svc.meanTime(false)
	cold := r.cold.withPrior(ofService)
	if !warm {
		return cold
	}
	gain := float64(svc.meanTime(true)) / float64(max(1, ofService))
	return min(cold, r.warm.withPrior(time.Duration(gain*float64(cold))))
}

// minWorkTime returns the shortest service time that is expected of a request: half the mean for warm objects.
func (t *Table) minWorkTime(svc *service, q *Query) time.Duration {
	if !t.rules.TimesByRoute {
		return svc.minWorkTime()
	}
	return t.meanTime(svc, q, true) / 2
}

// recordTime adds a service time, as it would be at a backend server of usual speed, to the means of the service and of the route.
func (t *Table) recordTime(now time.Time, svc *service, q *Query, normalized time.Duration, warm bool) {
	svc.add(now, normalized, warm)
	if r := t.routeTimes(now, svc, q); r != nil && warm {
		r.warm.add(now, normalized)
	} else if r != nil {
		r.cold.add(now, normalized)
	}
}

func (s *service) add(now time.Time, d time.Duration, warm bool) {
	if warm {
		s.warmTime.add(now, d)
	} else {
		s.coldTime.add(now, d)
	}
}

// recordCut accounts for a request that was cut at its deadline, of which only a lower bound of the service time is known. Without
// it, the means of requests with long service times would only contain the shorter ones.
func (t *Table) recordCut(now time.Time, svc *service, s *server, q *Query, took time.Duration, warm bool) {
	if !t.rules.TimesByRoute {
		return
	}
	expected, normalized := t.meanTime(svc, q, warm), time.Duration(float64(took)/s.reportedFactorNow(now))
	if svc.hasTime(warm) && normalized > maxCutRatio*expected {
		return
	}
	// A cut before the expected end says nothing.
	if cut := time.Duration(cutSurplus * float64(normalized)); cut > expected {
		t.recordTime(now, svc, q, cut, warm)
	}
}

func (s *service) hasTime(warm bool) bool {
	if warm {
		return s.warmTime.n > 0
	}
	return s.coldTime.n > 0
}

// routeTimes returns the service times of a request's route; nil if they are not kept.
func (t *Table) routeTimes(now time.Time, svc *service, q *Query) *routeTimes {
	if !t.rules.TimesByRoute || q.Route == "" {
		return nil
	}
	r := svc.routes[q.Route]
	if r == nil {
		if len(svc.routes) >= maxRoutes {
			return nil
		}
		if svc.routes == nil {
			svc.routes = map[string]*routeTimes{}
		}
		r = &routeTimes{}
		svc.routes[q.Route] = r
	}
	r.usedAt = now
	return r
}

// pruneRoutes removes the service times of routes that are no longer used.
func (s *service) pruneRoutes(now time.Time) {
	for name, r := range s.routes {
		if now.Sub(r.usedAt) > routeTTL {
			delete(s.routes, name)
		}
	}
}
