// Package quota limits the requests of organisations, summed over all hosts. Each organisation has one coordinator among the
// hosts, which grants credits from a token bucket; the other hosts request credits from it as they need them and spend a
// share of their own while it does not respond. docs/design/quotas.md gives the reasons.
//
// The decision code (Node) takes the current time as an argument: the time since the host's boot, including the time for
// which it was suspended. It opens no connection and starts no goroutine; Service adds both.
package quota

import (
	"math"
	"time"

	"rosemarygrade.dev/lib/pkg/fault"
)

// Kind is the kind of an error of the package.
type Kind string

// Kinds of errors.
const (
	// KindFormat means that a message could not be decoded.
	KindFormat Kind = "format"
	// KindListen means that the UDP address could not be opened.
	KindListen Kind = "listen"
)

// Error is the error type of the package.
type Error = fault.Error[Kind]

// Limit is the quota of an organisation over all hosts. A rate of 0 means that there is no limit.
type Limit struct{ RatePerSecond, Burst float64 }

// limited reports whether there is a limit.
func (l Limit) limited() bool { return l.RatePerSecond > 0 }

// extraBurst is added to the burst: requests of an organisation that uses its whole burst reach the coordinator less evenly than they
// arrived. The bound of a window of 5 s allows 20 requests more than the quota.
const extraBurst = 3

// capacity returns the size of the bucket for a share of the hosts.
func (l Limit) capacity(share float64) float64 { return l.Burst*share + extraBurst }

// lower reports whether l allows less than o.
func (l Limit) lower(o Limit) bool { return l.RatePerSecond < o.RatePerSecond || l.Burst < o.Burst }

// valid reports whether a limit that a peer sent can be used in calculations.
func (l Limit) valid() bool {
	const highest = 1e9
	return l.RatePerSecond > 0 && l.RatePerSecond < highest && l.Burst >= 0 && l.Burst < highest
}

// Rates that hosts may use before the others can know of them. The bound of a window of 5 s allows a tenth more than the quota, and
// 20 requests; credits in hand need part of it.
const (
	uncoordinatedRatio = 0.05
	uncoordinatedRate  = 3
)

// uncoordinated returns the rate, over all hosts, that is allowed in addition to what another coordinator may grant.
func (l Limit) uncoordinated() float64 {
	return min(l.RatePerSecond, uncoordinatedRatio*l.RatePerSecond+uncoordinatedRate)
}

// Result is the result of a request for a credit: Allowed, Refused or *Waiting.
type Result interface{ result() }

// Allowed means that the request may run.
type Allowed struct {
	// takenAt is when the credit was taken, by the time since boot.
	takenAt time.Duration
	from    origin
}

// origin tells where a credit comes from.
type origin uint8

const (
	// unlimited means that no credit was needed.
	unlimited origin = iota
	fromCoordinator
	fromReserve
)

// Refused means that the organisation is over its quota.
type Refused struct{ retryAfter time.Duration }

// NewRefused returns a result with the time until there is credit.
func NewRefused(retryAfter time.Duration) Refused { return Refused{retryAfter: retryAfter} }

// RetryAfter returns the time until there is credit.
func (r Refused) RetryAfter() time.Duration { return r.retryAfter }

// Waiting is a request for which credit has been requested from the coordinator.
type Waiting struct {
	since time.Duration
	done  chan Result
}

// Done returns the channel that receives the result.
func (w *Waiting) Done() <-chan Result { return w.done }

func (Allowed) result()  {}
func (Refused) result()  {}
func (*Waiting) result() {}

// meter estimates the rate of events as an exponentially weighted average.
type meter struct {
	perSecond float64
	at        time.Duration
}

func (m *meter) decay(now, constant time.Duration) float64 {
	if now > m.at {
		m.perSecond *= math.Exp(-float64(now-m.at) / float64(constant))
		m.at = now
	}
	return m.perSecond
}

func (m *meter) add(now, constant time.Duration, n float64) {
	m.decay(now, constant)
	m.perSecond += n / constant.Seconds()
}

// bucket is a token bucket whose rate may change.
type bucket struct {
	level float64
	at    time.Duration
}

func (b *bucket) fill(now time.Duration, rate, capacity float64) {
	if now > b.at {
		b.level += rate * (now - b.at).Seconds()
		b.at = now
	}
	b.level = min(b.level, capacity)
}

// until returns the time until the level is at least n at a rate.
func (b *bucket) until(n, rate float64) time.Duration {
	if rate <= 0 {
		return maxRetryAfter
	}
	wait := max(0, n-b.level) / rate
	return time.Duration(min(wait, maxRetryAfter.Seconds()) * float64(time.Second))
}
