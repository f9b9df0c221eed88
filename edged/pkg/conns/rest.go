package conns

import "time"

// Rules of connections that rest.
const (
	// restMemory is how long it is remembered that a backend server forgets connections sooner than it says: the
	// users' fault lasts some seconds.
	restMemory = 10 * time.Second
	// restPart is the part of a forgotten connection's rest that is still trusted.
	restPart = 0.5
)

// rests remembers how long connections may rest before they are forgotten without notice.
type rests struct {
	targets map[string]rest
	// any is the shortest of all targets: a request that may not run twice must not find out.
	any rest
}

type rest struct {
	most  time.Duration
	until time.Time
}

// allow returns the longest rest that is trusted, and whether there is a bound.
func (r rest) allow(now time.Time) (time.Duration, bool) { return r.most, now.Before(r.until) }

func (r rest) shorten(now time.Time, rested time.Duration) rest {
	most := time.Duration(restPart * float64(rested))
	if known, bound := r.allow(now); bound {
		most = min(most, known)
	}
	return rest{most: most, until: now.Add(restMemory)}
}

// forgot takes that a connection to a target had been forgotten after a rest.
func (r *rests) forgot(now time.Time, target string, rested time.Duration) {
	r.targets[target] = r.targets[target].shorten(now, rested)
	r.any = r.any.shorten(now, rested)
}

// trusts tells whether a connection to a target that has rested so long may be used.
func (r *rests) trusts(now time.Time, target string, rested time.Duration, repeatable bool) bool {
	if most, bound := r.targets[target].allow(now); bound && rested > most {
		return false
	}
	most, bound := r.any.allow(now)
	return repeatable || !bound || rested <= most
}

// trim forgets what is over.
func (r *rests) trim(now time.Time) {
	for target, x := range r.targets {
		if _, bound := x.allow(now); !bound {
			delete(r.targets, target)
		}
	}
}
