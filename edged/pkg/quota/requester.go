package quota

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

const (
	// resendAfter is how long a request is unanswered when it is sent again; round trips take up to 40 ms.
	resendAfter = 60 * time.Millisecond
	// giveUpAfter is how long a caller's request waits, and a request to the coordinator is unanswered, at most.
	giveUpAfter = 100 * time.Millisecond
	// lostAfter is how long the coordinator has not responded when requests no longer wait for it, but for one each probeInterval.
	lostAfter     = 300 * time.Millisecond
	probeInterval = 250 * time.Millisecond
	// leaseMargin is added to leaseTime by the host that lent its share, for the time that its messages take.
	leaseMargin = 200 * time.Millisecond
	// leaseInterval is the longest time between messages of a host that has lent its share: two may be lost.
	leaseInterval = 320 * time.Millisecond
	// leaseRate is the demand per second from which a host lends its share; it stops doing so at half of it. At lower rates the
	// messages would cost more than the requests.
	leaseRate = 1
	// fastTime and slowTime are the time constants of the averages of demand.
	fastTime = 300 * time.Millisecond
	slowTime = 2 * time.Second
	// aheadTime is the time for which credits are requested in advance, refillTime the one for which credits are in hand when more are
	// requested. It covers a round trip.
	aheadTime  = 350 * time.Millisecond
	refillTime = 150 * time.Millisecond
	// minAhead is the demand in aheadTime from which credits are requested in advance.
	minAhead = 2
	// maxReturnAge is the age up to which a credit that was not used is returned. Later returns would allow more requests in a window than
	// the quota.
	maxReturnAge = time.Second
	// firstReserve is the number of credits, over all hosts, that they have at once when the coordinator does not respond.
	firstReserve = 8
	// accountIdleTime is how long an organisation without demand is stored.
	accountIdleTime = time.Minute
	// maxWaiting bounds the requests of an organisation that wait on a host.
	maxWaiting = 1024
	// maxHops is how often a request is passed on to the coordinator that the receiver names.
	maxHops = 2
)

// credits are those of one answer that are in hand.
type credits struct {
	n       uint32
	expires time.Duration
}

// ask is an outstanding request to the coordinator.
type ask struct {
	message message
	to      netip.Addr
	// sentAt is when it was first sent.
	sentAt time.Duration
	resent bool
	hops   int
}

// account is the state of an organisation on a host that has demand for it.
type account struct {
	organisation string
	limit        Limit
	usedAt       time.Duration
	fast, slow   meter
	inHand       []credits
	returned     uint32
	waiting      []*Waiting
	ask          *ask
	// askedAt is when the last request was first sent.
	askedAt time.Duration
	// coordinator is the host that another one has named as the coordinator, while it responds.
	coordinator netip.Addr
	// dataCentre is the coordinator's.
	dataCentre string
	// lent is true while the host lends its share; the coordinator lentTo may use it until lentUntil.
	lent      bool
	lentTo    netip.Addr
	lentUntil time.Duration
	// deniedUntil is when to ask again after an answer without credit, creditAt when there is credit.
	deniedUntil, creditAt time.Duration
	// lost is true since lostSince, when a request was sent that the coordinator did not answer.
	lost      bool
	lostSince time.Duration
	// reported means that this was logged.
	reported bool
	reserve  bucket
}

// Take requests a credit for a request of an organisation. If the result is *Waiting, a later call of Receive or Tick delivers the
// final one.
func (n *Node) Take(now time.Duration, organisation string, l Limit) Result {
	if !l.limited() {
		return Allowed{}
	}
	a := n.account(now, organisation)
	if a == nil {
		return n.refuse(maxRetryAfter)
	}
	a.limit, a.usedAt = l, now
	a.fast.add(now, fastTime, 1)
	a.slow.add(now, slowTime, 1)
	a.expire(now)
	switch {
	case len(a.waiting) == 0 && a.spend():
		n.askAhead(now, a)
		return Allowed{takenAt: now, from: fromCoordinator}
	case a.lost && now-a.lostSince >= lostAfter && (a.ask != nil || now-a.askedAt < probeInterval):
		return n.takeReserve(now, a)
	case now < a.deniedUntil:
		return n.refuse(a.creditAt - now)
	case len(a.waiting) >= maxWaiting:
		return n.refuse(giveUpAfter)
	}
	w := &Waiting{since: now, done: make(chan Result, 1)}
	a.waiting = append(a.waiting, w)
	if a.ask == nil {
		n.send(now, a)
	}
	select {
	case r := <-w.done:
		return r
	default:
		return w
	}
}

// Return gives back the credit of a request that did not run.
func (n *Node) Return(now time.Duration, organisation string, r Allowed) {
	a := n.accounts[organisation]
	switch {
	case a == nil || now-r.takenAt > maxReturnAge:
	case r.from == fromCoordinator:
		a.giveBack(1)
	case r.from == fromReserve:
		a.reserve.level++
	}
}

// account returns the state of an organisation, which it adds if needed, or nil if there are too many.
func (n *Node) account(now time.Duration, organisation string) *account {
	a := n.accounts[organisation]
	if a == nil && len(n.accounts) < maxOrganisations && len(organisation) <= maxNameBytes && organisation != "" {
		// The level of the reserve is random, so that all hosts together have firstReserve credits at once and then get their
		// rate, also if it is less than one credit a host.
		first := n.random.Float64() * (1 + firstReserve/float64(max(firstReserve, n.peak())))
		a = &account{organisation: organisation, reserve: bucket{level: first, at: now}}
		n.accounts[organisation] = a
		n.ordered = append(n.ordered, a)
	}
	return a
}

func (a *account) expire(now time.Duration) {
	i := 0
	for ; i < len(a.inHand) && now >= a.inHand[i].expires; i++ {
		if now-a.inHand[i].expires <= maxReturnAge-creditLifetime {
			a.giveBack(a.inHand[i].n)
		}
	}
	a.inHand = slices.Delete(a.inHand, 0, i)
}

func (a *account) giveBack(n uint32) { a.returned = min(a.returned+n, maxCredits) }

// spend takes the oldest credit in hand and reports whether there was one.
func (a *account) spend() bool {
	if len(a.inHand) == 0 {
		return false
	}
	a.inHand[0].n--
	if a.inHand[0].n == 0 {
		a.inHand = slices.Delete(a.inHand, 0, 1)
	}
	return true
}

func (a *account) count() uint32 {
	var n uint32
	for _, c := range a.inHand {
		n += c.n
	}
	return n
}

// wanted returns the number of credits to request in advance, 0 unless there are few in hand.
func (a *account) wanted(now time.Duration) uint32 {
	rate := a.fast.decay(now, fastTime)
	expected := rate * aheadTime.Seconds()
	have := float64(a.count())
	if expected < minAhead || have >= max(1, rate*refillTime.Seconds()) {
		return 0
	}
	return uint32(min(maxCredits, math.Ceil(expected-have)))
}

func (n *Node) askAhead(now time.Duration, a *account) {
	if a.ask == nil && !a.lost && now >= a.deniedUntil && a.wanted(now) > 0 {
		n.send(now, a)
	}
}

// send requests credits for the requests that wait and for those that are expected.
func (n *Node) send(now time.Duration, a *account) {
	e := n.elect(a.organisation)
	if a.dataCentre != e.dataCentre {
		// The coordinator that another host has named was in another data centre.
		a.dataCentre, a.coordinator = e.dataCentre, netip.Addr{}
	}
	target := e.ip
	if a.coordinator.IsValid() {
		target = a.coordinator
	}
	slow := a.slow.decay(now, slowTime)
	a.lent = !a.lost && (slow >= leaseRate || (a.lent && slow >= leaseRate/2))
	m := message{
		Kind: kindRequest, Organisation: a.organisation, Seq: n.nextSeq(), Urgent: uint32(len(a.waiting)), Ahead: a.wanted(now),
		Returned: a.returned, Rate: a.limit.RatePerSecond, Burst: a.limit.Burst,
	}
	if a.lost {
		m.Ahead = max(m.Ahead, 1)
	}
	a.returned = 0
	a.ask = &ask{message: m, to: target, sentAt: now}
	a.askedAt = now
	n.counts.asked++
	n.transmit(now, a)
}

// transmit sends the outstanding request, or answers it if this host is the coordinator.
func (n *Node) transmit(now time.Duration, a *account) {
	a.ask.message.Stance = n.stance(now, a, a.ask.to)
	if a.ask.to != n.self {
		n.out = append(n.out, outgoing{to: a.ask.to, message: a.ask.message})
		return
	}
	answer := n.grant(now, n.self, &a.ask.message)
	n.receiveAnswer(now, a, &answer)
}

// stance returns what to tell a coordinator of this host's share. A share that is lent to another coordinator is not available to this
// one before that has ended.
func (n *Node) stance(now time.Duration, a *account, to netip.Addr) stance {
	switch {
	case a.keepsShare(now, to):
		return stanceOwn
	case a.lent && n.mayLend(now, a):
		a.lentTo, a.lentUntil = to, now+leaseTime+leaseMargin
		return stanceLent
	default:
		a.lentUntil = 0
		return stanceNone
	}
}

// mayLend reports whether this host may lend its share to a coordinator. For noticeTime after a host seems to have failed, there may be
// two: the former one, if it is alive, uses the shares of hosts that have not lent theirs to it lately.
func (n *Node) mayLend(now time.Duration, a *account) bool {
	withheld := a.lentTo.IsValid() && now < a.lentUntil+noticeTime-leaseTime-leaseMargin
	return withheld || n.lostAt == 0 || now-n.lostAt >= noticeTime
}

// keepsShare reports whether a coordinator may not use this host's share: the host uses it itself, or has lent it to another one.
func (a *account) keepsShare(now time.Duration, to netip.Addr) bool {
	return a.lost || (to != a.lentTo && now < a.lentUntil)
}

// receiveAnswer handles the answer to the outstanding request.
func (n *Node) receiveAnswer(now time.Duration, a *account, m *message) {
	if a.ask == nil || m.Seq != a.ask.message.Seq {
		return
	}
	if m.Refused {
		n.redirect(now, a, m)
		return
	}
	k := a.ask
	if a.reported {
		a.reported = false
		n.changes = append(n.changes, change{organisation: a.organisation, coordinator: k.to})
	}
	a.ask, a.lost = nil, false
	if m.Granted > 0 {
		lifetime := min(creditLifetime, time.Duration(m.LifetimeMillis)*time.Millisecond)
		a.inHand = append(a.inHand, credits{n: m.Granted, expires: k.sentAt + lifetime})
	}
	a.expire(now)
	n.serveWaiting(a, now)
	if m.WaitMillis > 0 {
		a.deniedUntil = now + time.Duration(m.WaitMillis)*time.Millisecond
		a.creditAt = now + time.Duration(m.CreditMillis)*time.Millisecond
		for _, w := range a.waiting {
			w.done <- n.refuse(a.creditAt - now)
		}
		a.waiting = nil
	}
	if len(a.waiting) > 0 || (k.message.Stance == stanceOwn && !a.keepsShare(now, k.to)) {
		// The coordinator counts the host's share as used by the host until it hears otherwise, also if that is only seconds later.
		n.send(now, a)
	}
}

// redirect sends the outstanding request to the host that the receiver named as the coordinator.
func (n *Node) redirect(now time.Duration, a *account, m *message) {
	k := a.ask
	to := unpackIP(m.Coordinator)
	if m.Coordinator == 0 || to == k.to || k.hops == maxHops {
		n.fail(now, a)
		return
	}
	k.hops++
	k.to, a.coordinator = to, to
	n.transmit(now, a)
}

// serveWaiting allows the requests that wait, in order of arrival, while there are credits in hand.
func (n *Node) serveWaiting(a *account, now time.Duration) {
	i := 0
	for ; i < len(a.waiting) && a.spend(); i++ {
		a.waiting[i].done <- Allowed{takenAt: now, from: fromCoordinator}
	}
	a.waiting = slices.Delete(a.waiting, 0, i)
}

// fail handles an outstanding request that was not answered: the requests that wait get credits from the reserve.
func (n *Node) fail(now time.Duration, a *account) {
	n.counts.lost++
	if !a.lost {
		a.lost, a.lostSince = true, a.ask.sentAt
		a.reserve.at = max(a.reserve.at, now)
	} else if !a.reported {
		// One lost message is not worth a line.
		a.reported = true
		n.changes = append(n.changes, change{organisation: a.organisation, coordinator: a.ask.to, lost: true})
	}
	a.ask, a.coordinator = nil, netip.Addr{}
	for _, w := range a.waiting {
		w.done <- n.takeReserve(now, a)
	}
	a.waiting = nil
}

// reserveRate returns this host's share of the quota that it may use while the coordinator does not respond. The whole share is
// available once the coordinator no longer uses it.
func (n *Node) reserveRate(now time.Duration, a *account) float64 {
	rate := a.limit.uncoordinated()
	whole := a.lostSince + noticeTime
	if a.lentUntil > a.lostSince {
		whole = a.lentUntil
	}
	if now >= whole && n.settledAt != 0 {
		rate = a.limit.RatePerSecond
	}
	return rate / float64(n.peak())
}

// peak returns the highest number of hosts of the fleet, or a safe assumption.
func (n *Node) peak() int {
	if n.settledAt == 0 {
		return max(unknownPeak, n.view.Peak)
	}
	return n.view.Peak
}

// takeReserve takes a credit from this host's own share.
func (n *Node) takeReserve(now time.Duration, a *account) Result {
	rate := n.reserveRate(now, a)
	a.reserve.fill(now, rate, max(2, rate*leaseTime.Seconds()))
	if a.reserve.level < 1 {
		return n.refuse(max(minWait, a.reserve.until(1, rate)))
	}
	a.reserve.level--
	n.counts.reserve++
	return Allowed{takenAt: now, from: fromReserve}
}

func (n *Node) refuse(retryAfter time.Duration) Result {
	n.counts.refused++
	return Refused{retryAfter: min(max(retryAfter, time.Millisecond), maxRetryAfter)}
}

// tickAccount does what is due for an organisation and returns when it is to be called again, 0 if only by the next view.
func (n *Node) tickAccount(now time.Duration, a *account) time.Duration {
	a.expire(now)
	if k := a.ask; k != nil {
		switch {
		case now-k.sentAt >= giveUpAfter:
			n.fail(now, a)
		case now-k.sentAt >= resendAfter && !k.resent:
			k.resent = true
			n.transmit(now, a)
		}
	}
	i := 0
	for ; i < len(a.waiting) && now-a.waiting[i].since >= giveUpAfter; i++ {
		a.waiting[i].done <- n.takeReserve(now, a)
	}
	a.waiting = slices.Delete(a.waiting, 0, i)
	if a.ask == nil && a.lent && !a.lost && now-a.askedAt >= leaseInterval {
		n.send(now, a)
	}
	return a.due()
}

// idle reports whether the account can be forgotten.
func (a *account) idle(now time.Duration) bool { return a.ask == nil && now-a.usedAt > accountIdleTime }

// due returns when the account needs the next call of Tick, 0 if the call with the next view is soon enough.
func (a *account) due() time.Duration {
	if a.ask == nil {
		return 0
	}
	due := a.ask.sentAt + giveUpAfter
	if !a.ask.resent {
		due = a.ask.sentAt + resendAfter
	}
	if len(a.waiting) > 0 {
		due = min(due, a.waiting[0].since+giveUpAfter)
	}
	return due
}
