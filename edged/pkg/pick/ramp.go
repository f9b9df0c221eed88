package pick

import (
	"math"
	"time"

	"rosemarygrade.dev/lib/pkg/plan"
)

// Parameters of ramp-ups. docs/design/rampup.md has the reasons.
const (
	// rampStartShare is where a ramp-up begins, as a share of what the slots can do and of the rate in slow start.
	rampStartShare = 0.25
	// rampPeriod is the time in which the rate doubles. A request of usual length ends within it, so that each rate is tried out.
	rampPeriod = 500 * time.Millisecond
	// flapWindow is the time within which a further interruption makes the ramp-up begin at half the last initial rate, maxFlaps times.
	flapWindow = time.Minute
	maxFlaps   = 4
	// lowestShare is the lowest rate, as a share of the rate at which a ramp-up begins after the first interruption.
	lowestShare = 1.0 / (1 << maxFlaps)
	// minHold is how long the rate stays the same after the first bad response. The hold doubles with each further one, up to maxHold.
	minHold, maxHold = time.Second, 16 * time.Second
	// probeInterval is the time between the requests of one host to a backend server whose last response was bad.
	probeInterval = 10 * time.Second
	// rampTTL ends a ramp-up without responses. It is longer than maxHold and probeInterval together, so that a host with requests for
	// the backend server has a response by then.
	rampTTL = 30 * time.Second
	// goodTime and slowTime bound the service time of a good and of a slow response, as multiples of the expected one. Only the second
	// slow response in a row is a bad one: 3% of requests take several times the usual work.
	goodTime, slowTime = 2, 3
	// bearableRate and bearableRequests limit two hosts that both send in slow start to what the backend server bears: in any second
	// 1.5 times its rate and 8 requests more. Each of them exceeds its rate by up to one request.
	bearableRate, bearableRequests = 1.5, 8
	// rampApplyTTL is how long a decision whether ramp-ups apply is reused, rampLoadTTL how old the load reports that it uses may be: a
	// host of a large fleet gets few responses of each backend server.
	rampApplyTTL, rampLoadTTL = 50 * time.Millisecond, time.Second
	// A ramp-up applies if the ramping backend servers have at most majorRampShare of the service's slots while this host has no queue
	// and at most rampUtilization of the other slots are in use. Where that is not so, but they have at most minorRampShare of the slots,
	// a request costs fullLoadCost tokens: the rate then begins at what the slots can do. At full load, a ramp-up that begins at a quarter
	// of it costs more rejections by the other backend servers than it saves.
	fullLoadCost                                    = rampStartShare
	minorRampShare, majorRampShare, rampUtilization = 0.1, 0.5, 0.8
)

// RampReason tells what a ramp-up follows.
type RampReason string

// Reasons of ramp-ups.
const (
	RampInSlowStart    RampReason = "slowStart"
	RampAfterSlowStart RampReason = "afterSlowStart"
	RampAfterEjection  RampReason = "afterEjection"
	RampAfterPause     RampReason = "afterPause"
	// RampAfterJoin follows a start without a slow start, or the end of a drain.
	RampAfterJoin RampReason = "afterJoin"
)

// rampPhase is the present part of a ramp-up: *slowPhase or *sharedPhase.
type rampPhase interface{ isRampPhase() }

// slowPhase is the slow start, in which the elected host alone sends.
type slowPhase struct {
	until time.Time
	// share is the share of the rate that is allowed in slow start, interval the time between requests at that rate.
	share            float64
	interval         time.Duration
	sentAt, halvedAt time.Time
}

// sharedPhase is the time after an interruption, when all hosts may send. The rate is that of all hosts together: they derive it from the
// same facts, and each uses its share.
type sharedPhase struct {
	reason RampReason
	// quarter is the rate at which a ramp-up begins after the first interruption, full the one at which it ends.
	quarter, full float64
	// doubleAt is when the rate doubles next.
	doubleAt time.Time
	// badResponses counts the bad responses since the last good one. While it is not 0, the rate stays below that of probes.
	badResponses    int
	badAt, halvedAt time.Time
	bucket          rateLimit
}

func (*slowPhase) isRampPhase()   {}
func (*sharedPhase) isRampPhase() {}

// ramp is the ramp-up of one backend server after interruptions.
type ramp struct {
	// phase is nil while no ramp-up is in progress.
	phase rampPhase
	// joinedAt is when the backend server became usable, if this host saw that.
	joinedAt time.Time
	// resumedAt is the end of the last interruption. flaps counts further ones that began within flapWindow of the one before.
	resumedAt time.Time
	begunAt   time.Time
	flaps     int
	// lastSlow means that the last response was slow. usualFactor is the backend server's unreported factor before that.
	lastSlow    bool
	usualFactor float64
}

// rampCheck caches how far ramp-ups apply to a service.
type rampCheck struct {
	at   time.Time
	cost float64
}

// begin counts an interruption that ended at a time.
func (r *ramp) begin(at time.Time, next rampPhase) {
	_, wasSlow := r.phase.(*slowPhase)
	_, isShared := next.(*sharedPhase)
	switch continues := wasSlow && isShared; {
	case continues:
	case !r.begunAt.IsZero() && at.Sub(r.begunAt) < flapWindow:
		r.flaps = min(maxFlaps, r.flaps+1)
	default:
		r.flaps = 0
	}
	r.begunAt, r.phase, r.lastSlow, r.usualFactor = at, next, false, 0
}

// flapShare is the share of the initial rate that is left after interruptions in short succession.
func (r *ramp) flapShare() float64 { return math.Exp2(-float64(r.flaps)) }

// lastInterruption returns when the last interruption that is over ended, and what it was.
func (s *server) lastInterruption(now time.Time) (time.Time, RampReason) {
	var at time.Time
	var reason RampReason
	for _, e := range []struct {
		at     time.Time
		reason RampReason
	}{
		{s.ramp.joinedAt, RampAfterJoin},
		{s.backend.SlowStartUntil(), RampAfterSlowStart},
		{s.slowStartUntil, RampAfterSlowStart},
		{s.ejectedUntil, RampAfterEjection},
		{s.backpressure.pausedUntil, RampAfterPause},
	} {
		if e.at.After(at) && !e.at.After(now) {
			at, reason = e.at, e.reason
		}
	}
	return at, reason
}

// sharedRamp returns the ramp-up in which all hosts share the rate to a backend server, or nil. It begins one if an interruption is over.
func (t *Table) sharedRamp(now time.Time, s *server) *sharedPhase {
	if s.inSlowStart(now) {
		return nil
	}
	if at, reason := s.lastInterruption(now); at.After(s.ramp.resumedAt) {
		svc := t.service(s.backend.Service())
		slots := float64(s.backend.Slots())
		p := &sharedPhase{
			reason: reason, quarter: rampStartShare * slots / svc.meanTime(false).Seconds(),
			full:     slots * (1 + t.rules.ServerQueueShare) / svc.meanTime(true).Seconds(),
			doubleAt: at.Add(rampPeriod),
			bucket:   rateLimit{active: true, tokens: t.division().initialTokens(), refilledAt: at},
		}
		if reason == RampAfterEjection && s.consecutiveFailures > 0 {
			// Nothing but the time says that the backend server has recovered.
			p.badResponses, p.badAt = 1, at
		}
		s.ramp.resumedAt = at
		s.ramp.begin(at, p)
		p.bucket.perSecond = p.quarter * s.ramp.flapShare()
	}
	switch p := s.ramp.phase.(type) {
	case *sharedPhase:
		if p.advance(now, t.division()) {
			return p
		}
		s.ramp.phase = nil
	case *slowPhase:
	}
	return nil
}

// advance raises the rate as of now and reports whether the ramp-up goes on.
func (p *sharedPhase) advance(now time.Time, d division) bool {
	if p.badResponses > 0 && now.Sub(p.badAt) > rampTTL {
		return false
	}
	for !p.doubleAt.After(now) && p.bucket.perSecond < p.full {
		p.bucket.refill(p.doubleAt, d)
		next := 2 * p.bucket.perSecond
		if p.badResponses > 0 {
			next = min(next, max(p.bucket.perSecond, p.quarter, float64(d.hosts)/probeInterval.Seconds()))
		}
		p.bucket.perSecond = next
		p.doubleAt = p.doubleAt.Add(rampPeriod)
	}
	return p.bucket.perSecond < p.full
}

// wait returns how long this host may send no request.
func (p *sharedPhase) wait(now time.Time, d division, cost float64) time.Duration {
	p.bucket.refill(now, d)
	if p.bucket.tokens >= cost {
		return 0
	}
	return secondsOf((cost - p.bucket.tokens) / p.bucket.share(d))
}

// receive changes the rate by a response to a request that was sent at sentAt.
func (p *sharedPhase) receive(now, sentAt time.Time, v verdict, d division) {
	switch {
	case v == good && p.badResponses > 0:
		p.badResponses, p.doubleAt = 0, now.Add(rampPeriod)
	case v == bad && !sentAt.Before(p.halvedAt):
		p.bucket.refill(now, d)
		p.bucket.perSecond = max(p.quarter*lowestShare, p.bucket.perSecond/2)
		p.badAt, p.halvedAt = now, now
		p.doubleAt = now.Add(min(maxHold, minHold<<min(p.badResponses, maxFlaps)))
		p.badResponses++
	}
}

// receive changes the share of the rate by a response to a request that was sent at sentAt. Requests that were sent at the same rate lower
// it once.
func (p *slowPhase) receive(now, sentAt time.Time, v verdict) {
	switch {
	case v == good:
		p.share = min(1, 2*p.share)
	case v == bad && !sentAt.Before(p.halvedAt):
		p.share, p.halvedAt = max(rampStartShare*lowestShare, p.share/2), now
	}
}

// verdict is what a response says of a backend server's condition; a higher one is worse.
type verdict int

const (
	good verdict = iota
	neutral
	bad
)

// judge returns what an outcome says of a backend server. It must be called before the service time is added to the means.
func (t *Table) judge(now time.Time, svc *service, s *server, q *Query, took time.Duration, o Outcome, l Load, warm bool) verdict {
	// Under overload a backend server rejects and queues requests as all others do, while it uses all its slots.
	full := l.Reported && l.Running >= s.backend.Slots() && t.rampCost(now, svc) < 1
	switch o {
	case Failed:
		return bad
	case Shed:
		if !full {
			return bad
		}
	case Answered:
		if v := t.judgeTime(now, svc, s, q, took, warm); !full {
			return max(v, t.judgeLoad(s, l))
		}
	case TimedOut:
		if t.judgeTime(now, svc, s, q, took, warm) == bad {
			return bad
		}
	case Cancelled:
	}
	return neutral
}

// judgeLoad returns what a load report says of a backend server.
func (t *Table) judgeLoad(s *server, l Load) verdict {
	switch {
	case l.Reported && l.Waiting > t.maxQueued(s):
		return bad
	case l.Reported && (l.Waiting > 0 || l.Running >= s.backend.Slots()):
		return neutral
	default:
		return good
	}
}

// judgeTime returns what a service time says of a backend server.
func (t *Table) judgeTime(now time.Time, svc *service, s *server, q *Query, took time.Duration, warm bool) verdict {
	if !svc.hasTime(warm) {
		return good
	}
	wasSlow := s.ramp.lastSlow
	if !wasSlow || s.ramp.usualFactor == 0 {
		s.ramp.usualFactor = max(1, s.unreportedFactor)
	}
	expected := t.expectedTime(now, svc, s, q, warm)
	slow := took > slowTime*expected
	s.ramp.lastSlow = slow && !wasSlow
	switch {
	case slow && wasSlow:
		return bad
	case took > goodTime*expected:
		return neutral
	default:
		return good
	}
}

// expectedTime returns the time from the send to the response that is expected of a backend server in its usual state.
func (t *Table) expectedTime(now time.Time, svc *service, s *server, q *Query, warm bool) time.Duration {
	expected := time.Duration(float64(t.meanTime(svc, q, warm)) * s.ramp.usualFactor * s.reportedFactorNow(now))
	if s.backend.Region() != q.Region {
		expected += t.rules.RemoteRoundTrip
	}
	return expected
}

// maxQueued returns how many requests may be queued at a backend server.
func (t *Table) maxQueued(s *server) int {
	return int(math.Ceil(t.rules.ServerQueueShare * float64(s.backend.Slots())))
}

// recordRampOutcome changes the ramp-up of a backend server by the outcome of a request. It must be called before recordLatency.
func (t *Table) recordRampOutcome(now time.Time, svc *service, s *server, q *Query, took time.Duration, o Outcome, l Load, warm bool) {
	if !t.rules.RampUp || s.ramp.phase == nil {
		return
	}
	v := t.judge(now, svc, s, q, took, o, l, warm)
	switch p := s.ramp.phase.(type) {
	case *slowPhase:
		p.receive(now, now.Add(-took), v)
	case *sharedPhase:
		if p.advance(now, t.division()) {
			p.receive(now, now.Add(-took), v, t.division())
		}
	}
}

// recordRampSend counts a request that is sent to a backend server.
func (t *Table) recordRampSend(now time.Time, v *plan.View, s *server) {
	if !t.rules.RampUp {
		return
	}
	if s.inSlowStart(now) {
		p, running := s.ramp.phase.(*slowPhase)
		if !running || p.until.Before(now) {
			p = &slowPhase{}
			s.ramp.begin(now, p)
			p.share = rampStartShare * s.ramp.flapShare()
		}
		p.until, p.sentAt, p.interval = s.slowStartEnd(), now, t.bearableInterval(v, s.backend)
		return
	}
	if p := t.sharedRamp(now, s); p != nil {
		p.bucket.refill(now, t.division())
		p.bucket.tokens -= t.rampCost(now, t.service(s.backend.Service()))
	}
}

// slowStartEnd returns when the slow start ends.
func (s *server) slowStartEnd() time.Time {
	if until := s.backend.SlowStartUntil(); until.After(s.slowStartUntil) {
		return until
	}
	return s.slowStartUntil
}

// bearableInterval returns the shortest time between requests of one host in slow start.
func (t *Table) bearableInterval(v *plan.View, b *plan.Backend) time.Duration {
	interval := t.slowStartInterval(v, b)
	svc := v.Config().Service(b.Service())
	if svc == nil || svc.SlowStartRate <= 0 {
		return interval
	}
	return max(interval, secondsOf(1/((bearableRate*svc.SlowStartRate+bearableRequests)/2-1)))
}

// nextSlowStartSend returns from when this host, if it is elected, may send to a backend server in slow start.
func (t *Table) nextSlowStartSend(now time.Time, s *server) time.Time {
	p, running := s.ramp.phase.(*slowPhase)
	if !t.rules.RampUp || !running || p.until.Before(now) {
		return s.nextSlowStartSend
	}
	cost := t.rampCost(now, t.service(s.backend.Service()))
	if at := p.sentAt.Add(time.Duration(float64(p.interval) * max(1, cost/p.share))); at.After(s.nextSlowStartSend) {
		return at
	}
	return s.nextSlowStartSend
}

// rampWait returns how long a ramp-up keeps this host from sending a request to a backend server that is neither ejected nor paused.
func (t *Table) rampWait(now time.Time, s *server) time.Duration {
	switch {
	case !t.rules.RampUp || now.Before(s.ejectedUntil):
		return 0
	case s.inSlowStart(now):
		return max(0, t.nextSlowStartSend(now, s).Sub(now))
	}
	p := t.sharedRamp(now, s)
	if p == nil {
		return 0
	}
	return p.wait(now, t.division(), t.rampCost(now, t.service(s.backend.Service())))
}

// rampAllows reports whether a ramp-up lets this host send a request to a backend server that is not in slow start.
func (t *Table) rampAllows(now time.Time, s *server) bool {
	held := t.rules.RampUp && t.rampWait(now, s) > 0
	t.ramps.held = t.ramps.held || held
	return !held
}

// rampCost returns how much of a token a request takes while backend servers of a service ramp up: 1 if the others can take the demand,
// fullLoadCost if they can't but those that ramp up are few, and 0 if there is nothing to spare them for.
func (t *Table) rampCost(now time.Time, svc *service) float64 {
	if c := &svc.rampCheck; now.Sub(c.at) >= rampApplyTTL || now.Before(c.at) {
		c.at, c.cost = now, t.newRampCost(now, svc)
	}
	return svc.rampCheck.cost
}

func (t *Table) newRampCost(now time.Time, svc *service) float64 {
	if svc.rendezvous == nil {
		return 0
	}
	c := t.countSlots(now, svc)
	share := float64(c.ramping) / float64(max(1, c.ramping+c.others))
	switch {
	case c.others == 0 || share > majorRampShare:
		return 0
	case len(svc.queue) == 0 && float64(c.busy) <= rampUtilization*float64(c.reported):
		return 1
	case share <= minorRampShare:
		return fullLoadCost
	default:
		return 0
	}
}

// slotCounts are slots of a service: of the backend servers that ramp up, and of the others that may get requests. Of the slots of others,
// reported are those of which this host knows whether they are in use, busy those that are.
type slotCounts struct{ ramping, others, reported, busy int }

func (t *Table) countSlots(now time.Time, svc *service) slotCounts {
	var c slotCounts
	for _, m := range svc.rendezvous.members {
		s := m.server
		wait, ends := s.backpressure.wait(now, t.division())
		switch slots := s.backend.Slots(); {
		case now.Before(s.ejectedUntil) || !ends || wait > 0:
		case s.inSlowStart(now) || t.sharedRamp(now, s) != nil:
			c.ramping += slots
		default:
			c.others += slots
			// In a large fleet, this host sees other hosts' requests only in the load reports of its own responses.
			if now.Sub(s.loadAt) < rampLoadTTL {
				c.reported += slots
				c.busy += min(slots, s.inFlight+s.othersInFlight)
			}
		}
	}
	return c
}

// withJoins records which backend servers of a new rendezvous were not usable in the service's present one, and returns the new one.
func (t *Table) withJoins(now time.Time, svc *service, next *rendezvous) *rendezvous {
	if !t.rules.RampUp || svc.rendezvous == nil {
		return next
	}
	before := make(map[*server]bool, len(svc.rendezvous.members))
	for _, m := range svc.rendezvous.members {
		before[m.server] = true
	}
	for _, m := range next.members {
		if !before[m.server] {
			m.server.ramp.joinedAt = now
		}
	}
	return next
}

// inheritedRamp returns the history of a backend server's earlier incarnation, which tells whether it flaps.
func (t *Table) inheritedRamp(b *plan.Backend) ramp {
	if s := t.serversByID[ShortID(b)]; s != nil && s.backend.ID() == b.ID() {
		return ramp{begunAt: s.ramp.begunAt, flaps: s.ramp.flaps}
	}
	return ramp{}
}

// keepsRamp reports whether the ramp-up of a backend server without an entry is still needed for the next incarnation.
func (t *Table) keepsRamp(now time.Time, s *server) bool {
	return t.rules.RampUp && t.serversByID[ShortID(s.backend)] == s && !s.ramp.begunAt.IsZero() && now.Sub(s.ramp.begunAt) < flapWindow
}
