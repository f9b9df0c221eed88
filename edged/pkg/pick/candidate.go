package pick

import (
	"slices"
	"time"

	"rosemarygrade.dev/lib/pkg/plan"
)

// remotePenalty is the share of its slots by which a backend server in another region must be less loaded to be chosen.
const remotePenalty = 0.35

// tieBreak is less than the load per slot of one request at any backend server.
const tieBreak = 1e-4

// candidate is a backend server that may get a request, with the expected times.
type candidate struct {
	server *server
	// immediate means that the request can be sent now; otherwise it is queued on this host for about wait.
	immediate bool
	// held means that only a learned concurrency limit keeps it from being sent now.
	held bool
	wait time.Duration
	work time.Duration
	warm bool
	// completes means that the request is expected to complete before its deadline. It is always set without CompleteInTime.
	completes bool
}

// cost is the expected time until the response, with the service time weighted by WorkWeight because it also delays other
// requests.
func (r *Rules) cost(c candidate) time.Duration {
	return c.wait + time.Duration(r.WorkWeight*float64(c.work))
}

// spillover reports whether a request may be sent to others than its preferred servers, of which best is the best, and whether only
// to warm ones.
func (t *Table) spillover(now time.Time, svc *service, best candidate) (further, onlyWarm bool) {
	if best.completes && best.immediate {
		return false, false
	}
	busy := svc.utilizationNow(now, t) > t.rules.SpilloverUtilization
	return !best.completes || !busy, busy
}

// better reports whether a request is sent to a rather than to b.
func (r *Rules) better(a, b candidate) bool {
	if a.completes != b.completes {
		return a.completes
	}
	return r.cost(a) < r.cost(b)
}

type rankedServer struct {
	server *server
	rank   float64
}

// bestCandidate returns the candidate with the lowest cost, of those that complete the request in time if there are any, and reports
// whether there is one. Requests for an object spill over from its preferred servers only if none of these is immediate and the
// service's utilization is low, or if none of them completes.
func (t *Table) bestCandidate(now time.Time, v *plan.View, svc *service, q *Query) (candidate, bool) {
	list := t.eligibleServers(now, v, svc, q)
	var best candidate
	found := false
	for i, s := range list {
		further, onlyWarm := true, false
		if i >= t.rules.PreferredServers && q.Sticky && found {
			further, onlyWarm = t.spillover(now, svc, best)
		}
		if !further {
			break
		}
		c := t.evaluate(now, svc, s, q)
		if !found || (t.rules.better(c, best) && (c.warm || !onlyWarm)) {
			best, found = c, true
		}
		if !q.Sticky && found && best.immediate && best.completes {
			break
		}
	}
	return best, found
}

// utilizationTTL is how long a computed utilization is reused.
const utilizationTTL = 50 * time.Millisecond

// utilizationNow returns the share of the service's slots that is in use.
func (s *service) utilizationNow(now time.Time, t *Table) float64 {
	if now.Sub(s.utilizationAt) < utilizationTTL && now.After(s.utilizationAt) {
		return s.utilization
	}
	busy, slots := 0, 0
	for _, m := range s.rendezvous.members {
		n := min(m.server.backend.Slots(), t.learnedLimit(now, s, m.server))
		slots += n
		busy += min(n, t.load(now, m.server))
	}
	s.utilization, s.utilizationAt = float64(busy)/float64(max(1, slots)), now
	return s.utilization
}

// evaluate returns the expected times of a request at one backend server.
func (t *Table) evaluate(now time.Time, svc *service, s *server, q *Query) candidate {
	factor := t.factorNow(now, s)
	_, warm := s.warmObjects[q.objectID()]
	warm = warm && q.Sticky
	c := candidate{server: s, warm: warm, work: time.Duration(float64(t.meanTime(svc, q, warm)) * factor)}
	if s.backend.Region() != q.Region {
		c.wait = t.rules.RemoteRoundTrip
	}
	c = t.admit(now, svc, q, c, factor)
	if begun, running := s.firstRuns[q.objectID()]; running && q.Sticky && !warm && t.rules.WaitForFirstRun {
		// The object's first run is in progress: the request is faster if it waits for the end of that run.
		remaining := begun.Add(c.work).Sub(now)
		warmWork := time.Duration(float64(t.meanTime(svc, q, true)) * factor)
		if remaining > 0 && remaining+warmWork < c.work {
			c.immediate, c.held, c.wait, c.work = false, false, c.wait+remaining, warmWork
		}
	}
	return t.fitDeadline(now, svc, q, c)
}

// maxCandidates is how many backend servers are considered for a request.
const maxCandidates = 6

// eligibleServers returns up to maxCandidates eligible backend servers: in the order of the object's ranking, or of load
// if the request has no object.
func (t *Table) eligibleServers(now time.Time, v *plan.View, svc *service, q *Query) []*server {
	if svc.rendezvous == nil || !svc.rendezvous.isCurrent(v.Usable(q.Service), q.Region) {
		svc.rendezvous = t.withJoins(now, svc, t.newRendezvous(v, q.Service, q.Region))
	}
	if !q.Sticky {
		return t.leastLoaded(now, svc, q)
	}
	list := t.firstEligible(now, svc.rendezvous.ranking(q.Object), q)
	if len(list) < min(t.rules.PreferredServers, len(svc.rendezvous.members)) {
		// Most backend servers of the cached ranking are ejected, so the full ranking is needed.
		list = t.firstEligible(now, svc.rendezvous.rank(q.Object, len(svc.rendezvous.members)), q)
	}
	return list
}

// firstEligible returns the first maxCandidates eligible backend servers of a ranking.
func (t *Table) firstEligible(now time.Time, order []*server, q *Query) []*server {
	list := make([]*server, 0, maxCandidates)
	for _, s := range order {
		if len(list) < maxCandidates && t.eligible(now, s, q) {
			list = append(list, s)
		}
	}
	return list
}

// leastLoaded returns the backend servers with the lowest load per slot; remotePenalty is added in remote regions. Those of
// equal load are ordered by the request, as hosts that know only their own load would all choose the same one.
func (t *Table) leastLoaded(now time.Time, svc *service, q *Query) []*server {
	list := make([]rankedServer, 0, maxCandidates+1)
	for _, m := range svc.rendezvous.members {
		if !t.eligible(now, m.server, q) {
			continue
		}
		rank := float64(t.load(now, m.server)) / float64(m.server.backend.Slots())
		if m.remote {
			rank += remotePenalty
		}
		rank += tieBreak * unitInterval(q.Object^m.server.backend.Hash())
		list = insertRanked(list, rankedServer{server: m.server, rank: rank}, maxCandidates)
	}
	out := make([]*server, 0, len(list))
	for _, c := range list {
		out = append(out, c.server)
	}
	return out
}

// insertRanked inserts c into a list that is ordered by rank and holds at most n.
func insertRanked(list []rankedServer, c rankedServer, n int) []rankedServer {
	if len(list) == n && c.rank >= list[len(list)-1].rank {
		return list
	}
	i := len(list)
	for i > 0 && c.rank < list[i-1].rank {
		i--
	}
	list = slices.Insert(list, i, c)
	return list[:min(len(list), n)]
}

// eligible reports whether a backend server may get a request now.
func (t *Table) eligible(now time.Time, s *server, q *Query) bool {
	b := s.backend
	if !allowed(b, q) || now.Before(s.ejectedUntil) || !s.backpressure.allows(now, t.division()) {
		return false
	}
	return (!s.inSlowStart(now) && t.rampAllows(now, s)) || (s.inSlowStart(now) && !now.Before(t.nextSlowStartSend(now, s)) && t.fleet.IsElectedFor(b))
}

func allowed(b *plan.Backend, q *Query) bool {
	return q.Allows(b.Region()) && !slices.Contains(q.Tried, b.Key())
}

// untilEligible returns how long it takes at least until the request may be sent to a backend server that it may not be sent to now, and
// reports whether there is one that leaves enough time: one in slow start for which this host is elected, or one whose backpressure ends.
// If there is none, the time is that of the earliest backend server, or 0.
func (t *Table) untilEligible(now time.Time, svc *service, q *Query) (time.Duration, bool) {
	earliest, found := time.Duration(0), false
	for _, m := range svc.rendezvous.members {
		b := m.server.backend
		wait, ends := m.server.backpressure.wait(now, t.division())
		wait = max(wait, t.rampWait(now, m.server))
		if !ends || !allowed(b, q) || (wait == 0 && !m.server.inSlowStart(now)) || (m.server.inSlowStart(now) && !t.fleet.IsElectedFor(b)) {
			continue
		}
		if !found || wait < earliest {
			earliest, found = wait, true
		}
	}
	return earliest, found && now.Add(earliest).Before(q.Deadline)
}

// unitInterval maps a hash to [0, 1).
func unitInterval(h uint64) float64 {
	const (
		mul1, mul2 = 0xff51afd7ed558ccd, 0xc4ceb9fe1a85ec53
		shift      = 33
		bits, kept = 64, 11
	)
	h ^= h >> shift
	h *= mul1
	h ^= h >> shift
	h *= mul2
	h ^= h >> shift
	return float64(h>>kept) / (1 << (bits - kept))
}
