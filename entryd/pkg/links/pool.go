package links

import "time"

// Timing of lending. The hosts of a region lend the bandwidth of a link that they don't need to the
// link's elected host, which grants it to other hosts. Each process measures durations on its own
// clock only; the clocks of two processes are never compared.
const (
	// offerLifetime is how long after its arrival an offer's bandwidth may be granted.
	offerLifetime = 500 * time.Millisecond
	// maxTimestampAge is the age up to which an offer's timestamp is accepted. It excludes offers that
	// were delayed on the way or in a queue.
	maxTimestampAge = 500 * time.Millisecond
	// lendDuration is how long a lender doesn't use the bandwidth that it has offered. The offer may
	// be accepted until maxTimestampAge after its timestamp was issued, and its bandwidth may then be
	// in use for offerLifetime.
	lendDuration = maxTimestampAge + offerLifetime
	// minLease is the shortest lease that is granted.
	minLease = 50 * time.Millisecond
)

// Offer is a host's message to the elected host of a link: the bandwidth that it lends and the
// bandwidth that it wants, in bytes a second.
type Offer struct {
	// Host is the incarnation of the host.
	Host uint64
	// Timestamp is the one of the elected host's last reply, or 0 before the first reply.
	Timestamp uint64
	Lent      float64
	Wanted    float64
}

// Reply is the elected host's response to an offer.
type Reply struct {
	// Timestamp is the elected host's time in milliseconds, for the next offer.
	Timestamp uint64
	// Granted is the bandwidth that the host may use besides its own share, in bytes a second.
	Granted float64
	// Lease is how long Granted is valid, counted from when the host sent its offer.
	Lease time.Duration
	// Wanted reports whether any host wants more than its own share, so that others should lend.
	Wanted bool
}

// timedRate is a bandwidth in bytes a second that is valid until a time.
type timedRate struct {
	rate  float64
	until time.Time
}

// grant is a part of a lender's bandwidth that was granted to a borrower.
type grant struct {
	lender   uint64
	borrower uint64
	rate     float64
	until    time.Time
}

// Pool is the state of one link at its elected host: the bandwidth lent to it and the grants from
// it. A pool never grants more than was lent to it, and a host lends to one elected host at a time,
// so two hosts that both act as the elected host don't grant the same bandwidth twice. It is not
// safe for concurrent use.
type Pool struct {
	start   time.Time
	lent    map[uint64]timedRate
	grants  []grant
	wanters map[uint64]time.Time
}

// NewPool returns a pool without lent bandwidth.
func NewPool(now time.Time) *Pool {
	return &Pool{start: now, lent: map[uint64]timedRate{}, wanters: map[uint64]time.Time{}}
}

// HandleOffer records the bandwidth that a host lends, and grants bandwidth to a host that wants
// more than its own share.
func (p *Pool) HandleOffer(now time.Time, o Offer) Reply {
	p.deleteExpired(now)
	if p.fresh(now, o.Timestamp) {
		p.lent[o.Host] = timedRate{rate: o.Lent, until: now.Add(offerLifetime)}
	}
	r := Reply{Timestamp: p.timestamp(now)}
	if o.Wanted <= 0 {
		delete(p.wanters, o.Host)
		r.Wanted = len(p.wanters) > 0
		return r
	}
	p.wanters[o.Host] = now
	r.Wanted = true
	r.Granted, r.Lease = p.grant(now, o)
	return r
}

func (p *Pool) timestamp(now time.Time) uint64 { return uint64(now.Sub(p.start)/time.Millisecond) + 1 }

func (p *Pool) fresh(now time.Time, timestamp uint64) bool {
	issued := p.start.Add(time.Duration(timestamp) * time.Millisecond)
	return timestamp > 0 && !issued.After(now.Add(time.Millisecond)) && now.Sub(issued) < maxTimestampAge
}

func (p *Pool) deleteExpired(now time.Time) {
	kept := p.grants[:0]
	for _, x := range p.grants {
		if now.Before(x.until) {
			kept = append(kept, x)
		}
	}
	p.grants = kept
	for host, l := range p.lent {
		if !now.Before(l.until) {
			delete(p.lent, host)
		}
	}
	for host, at := range p.wanters {
		if now.Sub(at) > offerLifetime {
			delete(p.wanters, host)
		}
	}
}

// grant grants bandwidth of the lenders to a host: of each lender at most its lent bandwidth divided
// by the number of hosts that want some. It returns the total in bytes a second and the lease.
func (p *Pool) grant(now time.Time, o Offer) (float64, time.Duration) {
	lease := offerLifetime
	var taken []grant
	total := 0.0
	for lender, l := range p.lent {
		left := l.until.Sub(now)
		if lender == o.Host || left < minLease || total >= o.Wanted {
			continue
		}
		share := l.rate / float64(len(p.wanters))
		rate := min(o.Wanted-total, share, l.rate-p.grantedToOthers(lender, o.Host))
		if rate <= 0 {
			continue
		}
		lease = min(lease, left)
		total += rate
		taken = append(taken, grant{lender: lender, borrower: o.Host, rate: rate})
	}
	for _, x := range taken {
		x.until = now.Add(lease)
		p.grants = append(p.grants, x)
	}
	return total, lease
}

// grantedToOthers returns how much of a lender's bandwidth other borrowers may be using. A borrower
// uses its last grant or, if that reply was lost, an earlier one, so its largest grant counts.
func (p *Pool) grantedToOthers(lender, borrower uint64) float64 {
	largest := map[uint64]float64{}
	for _, x := range p.grants {
		if x.lender == lender && x.borrower != borrower {
			largest[x.borrower] = max(largest[x.borrower], x.rate)
		}
	}
	sum := 0.0
	for _, a := range largest {
		sum += a
	}
	return sum
}

// Share is the bandwidth of one link that a host may use: its own share, less what it lends, plus
// what it borrows. It is not safe for concurrent use.
type Share struct {
	own       float64
	elected   uint64
	timestamp uint64
	lent      []timedRate
	granted   timedRate
}

// NewShare returns the share of a host that neither lends nor borrows. The rate is in bytes a second.
func NewShare(own float64) *Share { return &Share{own: own} }

// SetOwn sets the host's own share in bytes a second.
func (s *Share) SetOwn(own float64) { s.own = own }

// Rate returns the bandwidth that the host may use now, in bytes a second.
func (s *Share) Rate(now time.Time) float64 {
	rate := s.own - s.lentRate(now)
	if now.Before(s.granted.until) {
		rate += s.granted.rate
	}
	return max(0, rate)
}

// lentRate returns the largest bandwidth that was offered within lendDuration, because any of these
// offers may still apply at the elected host.
func (s *Share) lentRate(now time.Time) float64 {
	most := 0.0
	for _, h := range s.lent {
		if now.Before(h.until) {
			most = max(most, h.rate)
		}
	}
	return most
}

// Offer returns an offer for the elected host and reduces the host's rate by the lent bandwidth.
func (s *Share) Offer(now time.Time, host, elected uint64, lent, wanted float64) Offer {
	kept := s.lent[:0]
	for _, h := range s.lent {
		if now.Before(h.until) {
			kept = append(kept, h)
		}
	}
	s.lent = kept
	if elected != s.elected {
		if len(s.lent) > 0 {
			// The former elected host may still grant the lent bandwidth, so it must not be lent again.
			return Offer{Host: host, Wanted: 0}
		}
		s.elected, s.timestamp = elected, 0
	}
	o := Offer{Host: host, Timestamp: s.timestamp, Wanted: wanted}
	if s.timestamp > 0 {
		o.Lent = min(lent, s.own)
		s.lent = append(s.lent, timedRate{rate: o.Lent, until: now.Add(lendDuration)})
	}
	return o
}

// HandleReply applies the elected host's reply to an offer that was sent at the given time.
func (s *Share) HandleReply(sent time.Time, elected uint64, r Reply) {
	if elected != s.elected {
		return
	}
	s.timestamp = r.Timestamp
	s.granted = timedRate{rate: r.Granted, until: sent.Add(r.Lease)}
}
