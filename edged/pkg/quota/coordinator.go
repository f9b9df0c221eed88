package quota

import (
	"math"
	"net/netip"
	"time"
)

const (
	// creditLifetime is how long the credits of an answer may be used, from the sending of the request.
	creditLifetime = 500 * time.Millisecond
	// leaseTime is how long a coordinator uses the share of a host that has lent it, after the host's last message.
	leaseTime = time.Second
	// noticeTime is the time after which hosts that can't reach each other have noticed it, with a margin: heartbeats time out after at
	// most 5 s.
	noticeTime = 6 * time.Second
	// probationTime is how long a new coordinator grants only from the shares that hosts have lent to it, or at the
	// uncoordinated rate: the previous one may go on granting until it knows that it no longer is the coordinator.
	probationTime = 5 * time.Second
	// handoverTime takes the place of probationTime while all hosts are alive: the previous coordinator is then among them and learns of
	// the new one within about a second. With the longer time most requests of the first 6 s after a restart of all hosts were refused.
	handoverTime = 1200 * time.Millisecond
	// raiseTime is how long no host may have stated the lower limit before a higher one applies. Hosts learn of a new
	// configuration within 3 s.
	raiseTime = 3 * time.Second
	// bucketIdleTime is how long the bucket of an organisation without demand is stored.
	bucketIdleTime = 30 * time.Second
	// aheadShare is the part of the level that one answer may grant for requests that are only expected, so that hosts with much
	// demand leave credits for the others.
	aheadShare = 0.25
	// scanInterval is how often the lent shares of a bucket are counted.
	scanInterval = 50 * time.Millisecond
	// deniedTime is the time for which credits that were not granted count as demand.
	deniedTime = time.Second
	// minWait and maxWait bound the time after which a host asks again. Each requesting host adds hostWait, so that all
	// hosts together ask at most 400 times a second.
	minWait  = 30 * time.Millisecond
	maxWait  = 250 * time.Millisecond
	hostWait = 2500 * time.Microsecond
	// maxRetryAfter bounds the Retry-After of callers.
	maxRetryAfter = 2 * time.Second
	// maxOrganisations bounds the organisations that are stored, maxRequesters the hosts for each.
	maxOrganisations = 4096
	maxRequesters    = 4096
)

// requester is what a coordinator knows of a host that requests credits of an organisation.
type requester struct {
	seq    uint64
	answer message
	stance stance
	at     time.Duration
}

// grants is the state of an organisation at its coordinator.
type grants struct {
	limit   Limit
	limitAt time.Duration
	bucket  bucket
	// since is when this host became the coordinator.
	since      time.Duration
	usedAt     time.Duration
	requesters map[netip.Addr]*requester
	// lent and missing count the hosts that have lent their share to this host, and those that use it themselves, at scannedAt.
	lent, missing int
	scannedAt     time.Duration
	denied        meter
}

// grant answers a request for credits of a host.
func (n *Node) grant(now time.Duration, from netip.Addr, m *message) message {
	out := message{Kind: kindAnswer, Organisation: m.Organisation, Seq: m.Seq}
	g := n.granting(now, m)
	if g == nil {
		out.Refused = true
		if c := n.elect(m.Organisation).ip; c != n.self && n.settledAt != 0 {
			out.Coordinator = packIP(c)
		}
		return out
	}
	r := g.requesters[from]
	if r == nil {
		if len(g.requesters) >= maxRequesters {
			out.Refused = true
			return out
		}
		r = &requester{}
		g.requesters[from] = r
	}
	if m.Seq == r.seq {
		return r.answer
	}
	if r.stance != m.Stance {
		g.scannedAt = 0
	}
	r.seq, r.at, r.stance, g.usedAt = m.Seq, now, m.Stance, now
	g.setLimit(now, m.limit())
	g.fill(now, n.view)
	g.bucket.level = min(g.bucket.level+float64(m.Returned), g.limit.capacity(1))
	g.take(now, n.view, m, &out)
	n.counts.granted += int64(out.Granted)
	r.answer = out
	return out
}

// granting returns the bucket of an organisation if this host is its coordinator, else nil.
func (n *Node) granting(now time.Duration, m *message) *grants {
	since, ok := n.coordinatorSince(now, m.Organisation)
	if !ok {
		delete(n.buckets, m.Organisation)
		return nil
	}
	g := n.buckets[m.Organisation]
	if g == nil {
		if len(n.buckets) >= maxOrganisations {
			return nil
		}
		g = &grants{
			limit: m.limit(), limitAt: now, since: since, usedAt: now, bucket: bucket{at: max(since, now-bucketIdleTime)},
			requesters: map[netip.Addr]*requester{},
		}
		n.buckets[m.Organisation] = g
	}
	return g
}

// setLimit applies a lower limit at once, and a higher one when no host has stated the lower one for raiseTime.
func (g *grants) setLimit(now time.Duration, l Limit) {
	if !g.limit.lower(l) || now-g.limitAt >= raiseTime {
		g.limit, g.limitAt = l, now
	}
}

// scan counts the hosts by who uses their share.
func (g *grants) scan(now time.Duration) {
	if g.scannedAt != 0 && now-g.scannedAt < scanInterval {
		return
	}
	g.scannedAt, g.lent, g.missing = now, 0, 0
	for ip, r := range g.requesters {
		switch {
		case now-r.at >= noticeTime:
			// By now the host counts as alive or not by its heartbeats.
			delete(g.requesters, ip)
		case r.stance == stanceOwn, r.stance == stanceLent && now-r.at >= leaseTime:
			g.missing++
		case r.stance == stanceLent:
			g.lent++
		}
	}
}

// share returns the share of the hosts that this host believes alive and that do not use their share themselves.
func (g *grants) share(v View) float64 {
	return float64(max(1, v.Alive-g.missing)) / float64(v.Peak)
}

// probationEnd returns the time until which this host grants as a new coordinator.
func (g *grants) probationEnd(v View) time.Duration {
	if v.Alive >= v.Peak {
		return g.since + handoverTime
	}
	return g.since + probationTime
}

// rate returns the rate at which the bucket is refilled.
func (g *grants) rate(now time.Duration, v View) float64 {
	if now < g.probationEnd(v) {
		return max(g.limit.uncoordinated(), g.limit.RatePerSecond*float64(g.lent)/float64(v.Peak))
	}
	return g.limit.RatePerSecond * g.share(v)
}

// fill refills the bucket.
func (g *grants) fill(now time.Duration, v View) {
	g.scan(now)
	capacity := g.limit.capacity(min(1, float64(v.Alive)/float64(v.Peak)))
	if end := g.probationEnd(v); g.bucket.at < end {
		g.bucket.fill(min(now, end), g.rate(g.bucket.at, v), capacity)
	}
	g.bucket.fill(now, g.rate(now, v), capacity)
}

// take grants credits from the bucket.
func (g *grants) take(now time.Duration, v View, m *message, out *message) {
	level := math.Floor(max(0, g.bucket.level))
	urgent := min(float64(m.Urgent), level)
	ahead := min(float64(m.Ahead), math.Floor((level-urgent)*aheadShare))
	g.bucket.level -= urgent + ahead
	out.Granted = uint32(urgent + ahead)
	out.LifetimeMillis = uint32(creditLifetime.Milliseconds())
	g.denied.decay(now, deniedTime)
	if missing := float64(m.Urgent) - urgent; missing > 0 || (m.Urgent+m.Ahead > 0 && g.bucket.level < 1) {
		rate := g.rate(now, v)
		wait := g.bucket.until(1, rate)
		out.WaitMillis = millis(min(max(wait, minWait), maxWait) + time.Duration(len(g.requesters))*hostWait)
		out.CreditMillis = max(out.WaitMillis, millis(g.bucket.until(1+g.denied.perSecond*deniedTime.Seconds(), rate)))
		g.denied.add(now, deniedTime, missing)
	}
}

func millis(d time.Duration) uint32 { return uint32((d + time.Millisecond - 1) / time.Millisecond) }
