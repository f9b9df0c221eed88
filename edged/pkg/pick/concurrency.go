package pick

import (
	"math"
	"time"
)

const (
	// decreaseFactor is the factor on a concurrency limit at a rejection, increaseStep the increase over as many responses as the
	// limit allows requests.
	decreaseFactor = 0.7
	increaseStep   = 0.5
	// concurrencyTTL is how long a concurrency limit lasts without a rejection, so that backend servers that accept again get their
	// full load within about a second. It is also how long a load with which a backend server accepted a request counts.
	concurrencyTTL = time.Second
	// rejectingShare is the share of rejections among a service's recent outcomes above which it rejects as a whole; outcomeWeight is
	// the weight of one outcome. A single backend server that rejects everything does not reach the share in a service with four.
	rejectingShare = 1.0 / 3
	outcomeWeight  = 0.1
	// loadDifference is by how many requests the load at rejections must exceed that at responses for rejections to depend on the
	// load. If they don't, a lower load prevents none.
	loadDifference = 0.5
)

// concurrency is the limit on the load of one backend server, as learned from its rejections: it decreases by a factor at each, but
// not below the load with which the backend server has just accepted a request, and increases with its responses.
type concurrency struct {
	// limit is 0 while none is learned.
	limit                   float64
	decreasedAt, rejectedAt time.Time
	// accepted is the highest load with which it accepted a request lately, as of acceptedAt.
	accepted   float64
	acceptedAt time.Time
}

// limitNow returns the limit, or 0 if there is none.
func (c *concurrency) limitNow(now time.Time) float64 {
	if now.Sub(c.rejectedAt) > concurrencyTTL {
		c.limit = 0
	}
	return c.limit
}

// lowest returns the load below which the limit does not decrease.
func (c *concurrency) lowest(now time.Time) float64 {
	if now.Sub(c.acceptedAt) > concurrencyTTL {
		return 1
	}
	return max(1, c.accepted)
}

// recordRejection decreases the limit after the rejection of a request that was sent at sentAt, when the load was as given, the request
// included. A request that was sent before the last decrease does not decrease it again.
func (c *concurrency) recordRejection(now, sentAt time.Time, load, most float64) {
	limit := c.limitNow(now)
	c.rejectedAt = now
	if limit > 0 && sentAt.Before(c.decreasedAt) {
		return
	}
	if limit == 0 {
		limit = most
	}
	c.limit, c.decreasedAt = min(most, max(c.lowest(now), decreaseFactor*min(limit, load))), now
}

// recordResponse increases the limit after a response of a backend server whose load was as given, the request included.
func (c *concurrency) recordResponse(now time.Time, load, most float64) {
	if load >= c.accepted || now.Sub(c.acceptedAt) > concurrencyTTL {
		c.accepted, c.acceptedAt = load, now
	}
	if c.limitNow(now) > 0 {
		c.limit = min(most, c.limit+increaseStep/c.limit)
	}
}

// rejections is what this host knows of the rejections by a service as a whole. The loads are mean loads for each slot, without the
// request itself.
type rejections struct {
	// share is the share of rejections among recent outcomes.
	share                       float64
	loadRejected, loadResponded float64
	rejectedAt                  time.Time
}

func (r *rejections) record(now time.Time, rejected bool, load float64) {
	if rejected {
		r.share += outcomeWeight * (1 - r.share)
		r.loadRejected += outcomeWeight * (load - r.loadRejected)
		r.rejectedAt = now
		return
	}
	r.share -= outcomeWeight * r.share
	r.loadResponded += outcomeWeight * (load - r.loadResponded)
}

// dependOnLoad reports whether rejections come from backend servers with more load than responses.
func (r *rejections) dependOnLoad(slots int) bool {
	return (r.loadRejected-r.loadResponded)*float64(slots) >= loadDifference
}

// limitNow returns the limit of a backend server from which this host has no recent rejection, or 0 if there is none. A host of a large
// fleet sends only a few requests to each backend server.
func (r *rejections) limitNow(now time.Time, slots int) float64 {
	if r.share <= rejectingShare || now.Sub(r.rejectedAt) > concurrencyTTL {
		return 0
	}
	return 1 + r.loadResponded*float64(slots)
}

// mostLoad returns how many requests a backend server is given at a time: its slots, and as many as may be queued there.
func (t *Table) mostLoad(s *server) int {
	slots := s.backend.Slots()
	return slots + int(math.Ceil(t.rules.ServerQueueShare*float64(slots)))
}

// learnedLimit returns how many requests a backend server accepts at a time as far as it is known from rejections: at least 1, at most
// mostLoad, which means that nothing is known.
func (t *Table) learnedLimit(now time.Time, svc *service, s *server) int {
	most, slots := t.mostLoad(s), s.backend.Slots()
	if !t.rules.LearnConcurrency || !svc.rejections.dependOnLoad(slots) {
		return most
	}
	limit := s.concurrency.limitNow(now)
	if limit == 0 {
		limit = svc.rejections.limitNow(now, slots)
	}
	if limit == 0 {
		return most
	}
	return min(most, max(1, int(limit)))
}

// admit sets when a candidate may get the request, given its load, and how long it waits there. A request waits for a learned limit as
// long as it can still meet its latency objective. After that it is sent like without one: callers gain nothing from a wait that makes
// the response late.
func (t *Table) admit(now time.Time, svc *service, q *Query, c candidate, factor float64) candidate {
	n, slots, limit := t.load(now, c.server), c.server.backend.Slots(), t.learnedLimit(now, svc, c.server)
	waitFor := func(excess, slots int) time.Duration {
		return time.Duration(float64(excess) / float64(slots) * float64(svc.meanTime(true)) * factor)
	}
	c.immediate = n+1 <= t.mostLoad(c.server)
	if c.immediate && n+1 > limit {
		wait := waitFor(n+1-limit, limit)
		if !now.Add(c.wait + wait + c.work).After(q.Objective) {
			c.immediate, c.held = false, true
			c.wait += wait
			return c
		}
	}
	if n+1 > slots {
		c.wait += waitFor(n+1-slots, slots)
	}
	return c
}

// recordAdmission learns from whether a backend server ran or rejected a request.
func (t *Table) recordAdmission(now time.Time, svc *service, s *server, took time.Duration, o Outcome) {
	if !t.rules.LearnConcurrency || (o != Answered && o != Shed) {
		return
	}
	load, most := t.load(now, s), float64(t.mostLoad(s))
	if o == Shed {
		s.concurrency.recordRejection(now, now.Add(-took), float64(load+1), most)
	} else {
		s.concurrency.recordResponse(now, float64(load+1), most)
	}
	svc.rejections.record(now, o == Shed, float64(load)/float64(s.backend.Slots()))
}
