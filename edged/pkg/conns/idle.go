package conns

import "time"

// Limits for connections that were idle when the backend server closed them without notice.
const (
	// idleLimitTTL is how long a backend server's idle limit applies. Some backend servers close connections earlier than
	// their Keep-Alive timeout for some seconds.
	idleLimitTTL = 10 * time.Second
	// idleLimitShare is the new limit as a share of the time that the closed connection had been idle.
	idleLimitShare = 0.5
)

// idleLimits holds, for each backend server, the longest idle time after which a connection to it may be reused.
type idleLimits struct {
	targets map[string]idleLimit
	// strictest is the shortest limit of all targets. For requests that may not run twice, it applies to all targets: such a
	// request must not be the one that finds a connection closed, since its outcome would then be unknown.
	strictest idleLimit
}

type idleLimit struct {
	limit time.Duration
	until time.Time
}

// current returns the limit and reports whether it still applies.
func (l idleLimit) current(now time.Time) (time.Duration, bool) { return l.limit, now.Before(l.until) }

func (l idleLimit) shorten(now time.Time, idleFor time.Duration) idleLimit {
	limit := time.Duration(idleLimitShare * float64(idleFor))
	if old, valid := l.current(now); valid {
		limit = min(limit, old)
	}
	return idleLimit{limit: limit, until: now.Add(idleLimitTTL)}
}

// recordIdleClose shortens the limits after the backend server closed a connection that was idle for idleFor.
func (l *idleLimits) recordIdleClose(now time.Time, target string, idleFor time.Duration) {
	l.targets[target] = l.targets[target].shorten(now, idleFor)
	l.strictest = l.strictest.shorten(now, idleFor)
}

// allows reports whether a connection to a target may be used after being idle for idleFor.
func (l *idleLimits) allows(now time.Time, target string, idleFor time.Duration, idempotent bool) bool {
	if limit, valid := l.targets[target].current(now); valid && idleFor > limit {
		return false
	}
	limit, valid := l.strictest.current(now)
	return idempotent || !valid || idleFor <= limit
}

// prune removes the limits that no longer apply.
func (l *idleLimits) prune(now time.Time) {
	for target, limit := range l.targets {
		if _, valid := limit.current(now); !valid {
			delete(l.targets, target)
		}
	}
}
