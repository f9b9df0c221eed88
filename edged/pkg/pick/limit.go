package pick

import (
	"math/rand/v2"
	"time"

	"rosemarygrade.dev/lib/pkg/header"
)

const (
	// minLimit is the lowest rate, in requests a second of all hosts, that is used of a backend server's limit: without any request,
	// hosts would not learn that the limit has ended.
	minLimit = 0.25
	// savedWindow and savedRequests bound what all hosts together save up of a limit while they have no requests for the backend server:
	// what the limit allows in that time, and so many requests more.
	savedWindow   = 500 * time.Millisecond
	savedRequests = 1
	// minLimitTTL is the shortest time after which a limit ends that was not named again, because this host got no response.
	minLimitTTL = 30 * time.Second
	// limitTTLShares is the lifetime of a limit that is not named again, in units of the time in which a host's share is one request, so
	// that the first requests of hosts that forgot the limit stay well below it.
	limitTTLShares = 2
)

// division is how a limit of all hosts together is divided between them.
type division struct {
	hosts  int
	random *rand.Rand
}

// rateLimit is this host's share of the rate that a backend server accepts from all hosts together: a token bucket with an equal share
// of the rate. It is in force from the response that names it until one to a later request does not, or until there was none for long.
//
// If each of very many hosts kept a token until it had a request, all could send at the same time after a while without requests. So a
// token that is not used is lost after some time, and the bucket begins again with a random share of one.
type rateLimit struct {
	active bool
	// perSecond is the rate of all hosts together.
	perSecond float64
	// namedAt is when the last response that names the limit arrived.
	namedAt time.Time
	// tokens is the number of requests that this host may send as of refilledAt; it is negative after requests that were sent before
	// the limit was known. usableSince is since when it has been 1 or more.
	tokens                  float64
	refilledAt, usableSince time.Time
}

// receive records what a response says of the limit.
func (l *rateLimit) receive(now, sentAt time.Time, received header.Backpressure, d division) {
	switch {
	case received.Limited:
		if !l.active {
			l.active, l.tokens, l.refilledAt = true, d.initialTokens(), now
		}
		l.perSecond, l.namedAt = max(minLimit, received.RequestsPerSecond), now
	case l.active && sentAt.After(l.namedAt):
		*l = rateLimit{}
	}
}

// initialTokens returns a random share of a token, so that hosts that learn of a limit at the same time do not send at the same time.
func (d division) initialTokens() float64 { return d.random.Float64() }

// refill adds the tokens since the last call, and drops those that were not used in time.
func (l *rateLimit) refill(now time.Time, d division) {
	share := l.share(d)
	if l.tokens < 1 {
		l.usableSince = l.refilledAt.Add(secondsOf((1 - l.tokens) / share))
	}
	capacity := max(1, share*savedWindow.Seconds())
	l.tokens = min(capacity, l.tokens+share*max(0, now.Sub(l.refilledAt).Seconds()))
	l.refilledAt = now
	keep, bounded := l.keepTime(d)
	if l.tokens < 1 || !bounded || now.Sub(l.usableSince) <= keep {
		return
	}
	// In the meantime the bucket was full for keep and then, on average, filled up for half the time that a token takes, by turns.
	if full := keep.Seconds(); d.random.Float64() < full/(full+0.5/share) {
		l.tokens, l.usableSince = 1, now.Add(-time.Duration(d.random.Int64N(int64(keep)+1)))
		return
	}
	l.tokens = d.initialTokens()
}

// keepTime returns how long a host keeps a token that it does not use, if that is bounded: so long that all hosts together save up no more
// than savedWindow and savedRequests allow.
func (l *rateLimit) keepTime(d division) (time.Duration, bool) {
	n, saved := float64(d.hosts), l.perSecond*savedWindow.Seconds()+savedRequests
	if n <= saved {
		return 0, false
	}
	return secondsOf(0.5 * saved * n / (l.perSecond * (n - saved))), true
}

func secondsOf(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// share returns this host's share of the rate, in requests a second.
func (l *rateLimit) share(d division) float64 { return l.perSecond / float64(max(1, d.hosts)) }

// wait returns how long this host may send no request.
func (l *rateLimit) wait(now time.Time, d division) time.Duration {
	if l.active && now.Sub(l.namedAt) > l.ttl(d) {
		*l = rateLimit{}
	}
	if !l.active {
		return 0
	}
	l.refill(now, d)
	if l.tokens >= 1 {
		return 0
	}
	return secondsOf((1 - l.tokens) / l.share(d))
}

// ttl returns how long the limit stays in force without a response that names it.
func (l *rateLimit) ttl(d division) time.Duration {
	return max(minLimitTTL, secondsOf(limitTTLShares/l.share(d)))
}

// recordSend takes a token.
func (l *rateLimit) recordSend(now time.Time, d division) {
	if l.active {
		l.refill(now, d)
		l.tokens--
	}
}
