package links

import "time"

// Rules of lending. Hosts lend shares that they do not need to a keeper, which grants them to
// others. Every time is a duration on one process's own clock; no two clocks are compared.
const (
	// loanTime is how long a keeper may grant from a loan after it came.
	loanTime = 500 * time.Millisecond
	// tokenTime is how old the token of a loan may be. A request that waited unread carries an old one.
	tokenTime = 500 * time.Millisecond
	// holdTime is how long a lender does without a share after it began to offer it: the token
	// may be used until tokenTime after it was made, and the loan then lasts loanTime.
	holdTime = tokenTime + loanTime
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

type loan struct {
	amount float64
	until  time.Time
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
	loans   map[uint64]loan
	pieces  []piece
	wanters map[uint64]time.Time
}

// NewPool returns an empty pool.
func NewPool(now time.Time) *Pool {
	return &Pool{start: now, loans: map[uint64]loan{}, wanters: map[uint64]time.Time{}}
}

// Lend takes in an offer and grants what the borrower may use besides its own share.
func (p *Pool) Lend(now time.Time, o Offer) Reply {
	p.expire(now)
	if p.fresh(now, o.Timestamp) {
		p.loans[o.Host] = loan{amount: o.Lent, until: now.Add(loanTime)}
	}
	r := Reply{Timestamp: p.token(now)}
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

func (p *Pool) token(now time.Time) uint64 { return uint64(now.Sub(p.start)/time.Millisecond) + 1 }

func (p *Pool) fresh(now time.Time, token uint64) bool {
	made := p.start.Add(time.Duration(token) * time.Millisecond)
	return token > 0 && !made.After(now.Add(time.Millisecond)) && now.Sub(made) < tokenTime
}

func (p *Pool) expire(now time.Time) {
	kept := p.pieces[:0]
	for _, x := range p.pieces {
		if now.Before(x.until) {
			kept = append(kept, x)
		}
	}
	p.pieces = kept
	for host, l := range p.loans {
		if !now.Before(l.until) {
			delete(p.loans, host)
		}
	}
	for host, at := range p.wanters {
		if now.Sub(at) > loanTime {
			delete(p.wanters, host)
		}
	}
}

// grant takes pieces from the loans, an equal share of each for every host that wants some.
func (p *Pool) grant(now time.Time, o Offer) (float64, time.Duration) {
	lease := loanTime
	var taken []piece
	total := 0.0
	for lender, l := range p.loans {
		left := l.until.Sub(now)
		if lender == o.Host || left < minLease || total >= o.Wanted {
			continue
		}
		share := l.amount / float64(len(p.wanters))
		amount := min(o.Wanted-total, share, l.amount-p.grantedToOthers(lender, o.Host))
		if amount <= 0 {
			continue
		}
		lease = min(lease, left)
		total += amount
		taken = append(taken, piece{lender: lender, borrower: o.Host, amount: amount})
	}
	for _, x := range taken {
		x.until = now.Add(lease)
		p.pieces = append(p.pieces, x)
	}
	return total, lease
}

// grantedToOthers sums what other borrowers may be using of a loan. A borrower uses its last grant
// or, where that answer was lost, an earlier one: the larger piece counts.
func (p *Pool) grantedToOthers(lender, borrower uint64) float64 {
	largest := map[uint64]float64{}
	for _, x := range p.pieces {
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
	own    float64
	keeper uint64
	token  uint64
	holds  []loan
	grant  loan
}

// NewShare returns the share of a host that lends nothing.
func NewShare(own float64) *Share { return &Share{own: own} }

// SetOwn changes the host's own share.
func (s *Share) SetOwn(own float64) { s.own = own }

// Rate returns what the host may use now.
func (s *Share) Rate(now time.Time) float64 {
	rate := s.own - s.held(now)
	if now.Before(s.grant.until) {
		rate += s.grant.amount
	}
	return max(0, rate)
}

func (s *Share) held(now time.Time) float64 {
	most := 0.0
	for _, h := range s.holds {
		if now.Before(h.until) {
			most = max(most, h.amount)
		}
	}
	return most
}

// Offer returns what to tell the keeper, and does without what it lends from now on.
func (s *Share) Offer(now time.Time, host, keeper uint64, lent, wanted float64) Offer {
	kept := s.holds[:0]
	for _, h := range s.holds {
		if now.Before(h.until) {
			kept = append(kept, h)
		}
	}
	s.holds = kept
	if keeper != s.keeper {
		if len(s.holds) > 0 {
			// What the last keeper may still grant must not be lent twice.
			return Offer{Host: host, Wanted: 0}
		}
		s.keeper, s.token = keeper, 0
	}
	o := Offer{Host: host, Timestamp: s.token, Wanted: wanted}
	if s.token > 0 {
		o.Lent = min(lent, s.own)
		s.holds = append(s.holds, loan{amount: o.Lent, until: now.Add(holdTime)})
	}
	return o
}

// Take takes in the keeper's answer to an offer that was sent at a time.
func (s *Share) Take(sent time.Time, keeper uint64, r Reply) {
	if keeper != s.keeper {
		return
	}
	s.token = r.Timestamp
	s.grant = loan{amount: r.Granted, until: sent.Add(r.Lease)}
}
