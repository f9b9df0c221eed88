package links

import "time"

// Rules of lending. Hosts lend shares that they do not need to a keeper, which grants them to
// others. Every time is a duration on one process's own clock; no two clocks are compared.
const (
	// lendTime is how long a keeper may grant from a loan after it came.
	lendTime = 500 * time.Millisecond
	// timestampTime is how old the token of a loan may be. A request that waited unread carries an old one.
	timestampTime = 500 * time.Millisecond
	// holdTime is how long a lender does without a share after it began to offer it: the token
	// may be used until tokenTime after it was made, and the loan then lasts loanTime.
	holdTime = timestampTime + lendTime
	// minLease is the shortest grant that is worth giving.
	minLease = 50 * time.Millisecond
)

// Offer is what a host tells a keeper.
type Offer struct {
	Host      uint64
	Timestamp uint64
	Lent      float64
	Wanted    float64
}

// Reply is what the keeper answers.
type Reply struct {
	Timestamp uint64
	Granted   float64
	// Lease counts from when the host sent its offer.
	Lease time.Duration
	// Wanted says that some host wants more than its share, so that others should offer theirs.
	Wanted bool
}

type timedRate struct {
	rate  float64
	until time.Time
}

// piece is a part of a loan that was granted to a borrower.
type piece struct {
	lender   uint64
	borrower uint64
	amount   float64
	until    time.Time
}

// Pool is a keeper's view of one link. It is not safe for concurrent use. A pool never grants more
// than it holds on loan, so that two keepers at once do no harm: each share is lent to one.
type Pool struct {
	start   time.Time
	lent    map[uint64]timedRate
	grants  []piece
	wanters map[uint64]time.Time
}

// NewPool returns an empty pool.
func NewPool(now time.Time) *Pool {
	return &Pool{start: now, lent: map[uint64]timedRate{}, wanters: map[uint64]time.Time{}}
}

// HandleOffer takes in an offer and grants what the borrower may use besides its own share.
func (p *Pool) HandleOffer(now time.Time, o Offer) Reply {
	p.expire(now)
	if p.fresh(now, o.Timestamp) {
		p.lent[o.Host] = timedRate{rate: o.Lent, until: now.Add(lendTime)}
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

func (p *Pool) fresh(now time.Time, token uint64) bool {
	made := p.start.Add(time.Duration(token) * time.Millisecond)
	return token > 0 && !made.After(now.Add(time.Millisecond)) && now.Sub(made) < timestampTime
}

func (p *Pool) expire(now time.Time) {
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
		if now.Sub(at) > lendTime {
			delete(p.wanters, host)
		}
	}
}

// grant takes pieces from the loans, an equal share of each for every host that wants some.
func (p *Pool) grant(now time.Time, o Offer) (float64, time.Duration) {
	lease := lendTime
	var taken []piece
	total := 0.0
	for lender, l := range p.lent {
		left := l.until.Sub(now)
		if lender == o.Host || left < minLease || total >= o.Wanted {
			continue
		}
		share := l.rate / float64(len(p.wanters))
		amount := min(o.Wanted-total, share, l.rate-p.grantedToOthers(lender, o.Host))
		if amount <= 0 {
			continue
		}
		lease = min(lease, left)
		total += amount
		taken = append(taken, piece{lender: lender, borrower: o.Host, amount: amount})
	}
	for _, x := range taken {
		x.until = now.Add(lease)
		p.grants = append(p.grants, x)
	}
	return total, lease
}

// grantedToOthers sums what other borrowers may be using of a loan. A borrower uses its last grant
// or, where that answer was lost, an earlier one: the larger piece counts.
func (p *Pool) grantedToOthers(lender, borrower uint64) float64 {
	largest := map[uint64]float64{}
	for _, x := range p.grants {
		if x.lender == lender && x.borrower != borrower {
			largest[x.borrower] = max(largest[x.borrower], x.amount)
		}
	}
	sum := 0.0
	for _, a := range largest {
		sum += a
	}
	return sum
}

// Share is a host's side of lending on one link. It is not safe for concurrent use.
type Share struct {
	own       float64
	elected   uint64
	timestamp uint64
	lent      []timedRate
	granted   timedRate
}

// NewShare returns the share of a host that lends nothing.
func NewShare(own float64) *Share { return &Share{own: own} }

// SetOwn changes the host's own share.
func (s *Share) SetOwn(own float64) { s.own = own }

// Rate returns what the host may use now.
func (s *Share) Rate(now time.Time) float64 {
	rate := s.own - s.lentRate(now)
	if now.Before(s.granted.until) {
		rate += s.granted.rate
	}
	return max(0, rate)
}

func (s *Share) lentRate(now time.Time) float64 {
	most := 0.0
	for _, h := range s.lent {
		if now.Before(h.until) {
			most = max(most, h.rate)
		}
	}
	return most
}

// Offer returns what to tell the keeper, and does without what it lends from now on.
func (s *Share) Offer(now time.Time, host, keeper uint64, lent, wanted float64) Offer {
	kept := s.lent[:0]
	for _, h := range s.lent {
		if now.Before(h.until) {
			kept = append(kept, h)
		}
	}
	s.lent = kept
	if keeper != s.elected {
		if len(s.lent) > 0 {
			// What the last keeper may still grant must not be lent twice.
			return Offer{Host: host, Wanted: 0}
		}
		s.elected, s.timestamp = keeper, 0
	}
	o := Offer{Host: host, Timestamp: s.timestamp, Wanted: wanted}
	if s.timestamp > 0 {
		o.Lent = min(lent, s.own)
		s.lent = append(s.lent, timedRate{rate: o.Lent, until: now.Add(holdTime)})
	}
	return o
}

// HandleReply takes in the keeper's answer to an offer that was sent at a time.
func (s *Share) HandleReply(sent time.Time, keeper uint64, r Reply) {
	if keeper != s.elected {
		return
	}
	s.timestamp = r.Timestamp
	s.granted = timedRate{rate: r.Granted, until: sent.Add(r.Lease)}
}
