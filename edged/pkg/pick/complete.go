package pick

import "time"

const (
	// completionShare is the share of the expected service time that must fit into the time left for a request to be started. Service
	// times are skewed: their mean contains a tail of several times the work, and a request that has 0.85 of the mean completes in
	// half of the cases. Below that, its caller more often waits until the deadline for an unknown outcome than it gets a response,
	// and is better off with an immediate rejection, after which any request may be repeated.
	completionShare = 0.85
	// minCompletionSamples is how many service times must be known before requests are rejected because of them.
	minCompletionSamples = 5
	// completionTTL is how long an estimate rejects requests without a new sample. Requests that are rejected give none, so the next
	// one is started then, and a wrong estimate is corrected.
	completionTTL = 10 * time.Second
)

// fitDeadline sets whether a candidate is expected to complete the request before its deadline. One that is not may be if it is started
// later: after the object's first run there, or when the load factor that the backend server reported has expired.
func (t *Table) fitDeadline(now time.Time, svc *service, q *Query, c candidate) candidate {
	c.completes = true
	if !t.rules.CompleteInTime {
		return c
	}
	s, share := c.server, completionShare
	if now.Sub(s.unreportedAt) > completionTTL {
		// The backend server's own factor is too old to reject requests.
		share /= max(1, t.ownFactor(s))
	}
	fits := func(c candidate) bool {
		return c.wait+time.Duration(share*float64(c.work)) <= q.Deadline.Sub(now)
	}
	if fits(c) {
		return c
	}
	if begun, running := s.firstRuns[q.objectID()]; running && q.Sticky && !c.warm {
		later := c
		later.immediate, later.wait = false, c.wait+max(0, begun.Add(c.work).Sub(now))
		later.work = time.Duration(float64(t.meanTime(svc, q, true)) * t.factorNow(now, s))
		if fits(later) {
			return later
		}
	}
	if remaining := s.reportedFactorRemaining(now); remaining > 0 {
		later := c
		later.immediate, later.wait, later.work = false, c.wait+remaining, time.Duration(float64(c.work)/s.latencyFactor)
		if fits(later) {
			return later
		}
	}
	c.completes = false
	return c
}

// reportedFactorRemaining returns how much longer a latency factor above 1 that the backend server reported is valid.
func (s *server) reportedFactorRemaining(now time.Time) time.Duration {
	if s.latencyFactor <= 1 {
		return 0
	}
	return s.latencyFactorAt.Add(latencyFactorTTL).Sub(now)
}

// mustReject reports whether a request is rejected because its best candidate is not expected to complete it in time. It is not while
// there are few service times or only old ones.
func (t *Table) mustReject(now time.Time, svc *service, q *Query, c candidate) bool {
	if c.completes || !t.knowsTimes(svc, q) {
		return false
	}
	if !c.immediate {
		return true
	}
	m := t.meanOf(svc, q, c.warm)
	if m.n >= minCompletionSamples && now.Sub(m.sampledAt) > completionTTL {
		m.sampledAt = now
		return false
	}
	return m.n >= minCompletionSamples
}

// knowsTimes reports whether service times of the request's kind are known. Those of a service say little of a route that was just added:
// its requests may be much shorter than the others, and would be rejected before there is a sample of them.
func (t *Table) knowsTimes(svc *service, q *Query) bool {
	r := svc.routes[q.Route]
	return !t.rules.TimesByRoute || (r != nil && r.cold.n+r.warm.n >= minCompletionSamples)
}

// meanOf returns the mean that is used for a request's service time.
func (t *Table) meanOf(svc *service, q *Query, warm bool) *mean {
	r := svc.routes[q.Route]
	switch {
	case t.rules.TimesByRoute && r != nil && warm:
		return &r.warm
	case t.rules.TimesByRoute && r != nil:
		return &r.cold
	case warm:
		return &svc.warmTime
	default:
		return &svc.coldTime
	}
}

// retryAfterMiss returns the delay after which the caller may retry a request that could not be completed in time: the wait that did not
// fit, or the time until the load factor in the way has expired. If the service time itself does not fit, it is the time after which
// another request may have made the object warm.
func (t *Table) retryAfterMiss(now time.Time, c candidate) time.Duration {
	after := max(c.wait, c.server.reportedFactorRemaining(now))
	if after <= 0 {
		after = c.work
	}
	return min(maxRetryAfter, max(minRetryAfter, after))
}

// tooLate reports whether a queued request can't complete in time even if it runs at once for a warm object.
func (t *Table) tooLate(now time.Time, svc *service, q *Query) bool {
	return t.rules.CompleteInTime && t.knowsTimes(svc, q) && q.Deadline.Sub(now) < time.Duration(completionShare*float64(t.meanTime(svc, q, true)))
}
