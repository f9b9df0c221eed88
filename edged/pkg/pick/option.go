package pick

import (
	"math"
	"slices"
	"time"

	"rosemarygrade.dev/lib/pkg/plan"
)

// farPush is how much more of its slots must be free at a backend server of another region.
const farPush = 0.35

// option is a way for a request.
type option struct {
	server *server
	// now tells that the request can be sent at once; otherwise it waits here for about wait.
	now  bool
	wait time.Duration
	work time.Duration
	warm bool
}

// cost is the time until the answer, with the work counted more: it keeps others waiting.
func (r *Rules) cost(o option) time.Duration {
	return o.wait + time.Duration(r.WorkWeight*float64(o.work))
}

type candidate struct {
	s    *server
	rank float64
}

// best returns the best way for a request; ok is false where there is none.
func (t *Table) best(now time.Time, v *plan.View, svc *service, q *Query) (option, bool) {
	list := t.candidates(now, v, svc, q)
	var out option
	found := false
	for i, s := range list {
		if i >= t.rules.Homes && q.Sticky && (found && (out.now || svc.use(now, t) > t.rules.SpillUse)) {
			break
		}
		o := t.option(now, svc, s, q)
		if !found || t.rules.cost(o) < t.rules.cost(out) {
			out, found = o, true
		}
		if !q.Sticky && found && out.now {
			break
		}
	}
	return out, found
}

// useLife is how long the use of a service's slots counts before it is added up again.
const useLife = 50 * time.Millisecond

// use returns which part of the service's slots is in use.
func (s *service) use(now time.Time, t *Table) float64 {
	if now.Sub(s.usedAt) < useLife && now.After(s.usedAt) {
		return s.used
	}
	busy, slots := 0, 0
	for _, m := range s.shares.members {
		n := m.s.backend.Slots()
		slots += n
		busy += min(n, t.load(now, m.s))
	}
	s.used, s.usedAt = float64(busy)/float64(max(1, slots)), now
	return s.used
}

// option returns what becomes of a request at one backend server.
func (t *Table) option(now time.Time, svc *service, s *server, q *Query) option {
	slow := s.slow(now)
	_, warm := s.warm[q.short()]
	warm = warm && q.Sticky
	o := option{server: s, warm: warm, work: time.Duration(float64(svc.usual(warm)) * slow)}
	if s.backend.Region() != q.Region {
		o.wait = t.rules.FarTime
	}
	n, slots := t.load(now, s), s.backend.Slots()
	over := n + 1 - slots
	if over > 0 {
		o.wait += time.Duration(float64(over) / float64(slots) * float64(svc.usual(true)) * slow)
	}
	o.now = over <= int(math.Ceil(t.rules.Parked*float64(slots)))
	if begun, running := s.running[q.short()]; running && q.Sticky && !warm && t.rules.Hold {
		// The object is being made warm: its next request is faster after that.
		rest := begun.Add(o.work).Sub(now)
		soon := time.Duration(float64(svc.usual(true)) * slow)
		if rest > 0 && rest+soon < o.work {
			o.now, o.wait, o.work = false, o.wait+rest, soon
		}
	}
	return o
}

// candidatesMost is how many backend servers are considered for a request.
const candidatesMost = 6

// candidates returns the first backend servers that may get the request, in the order of its object, or by
// their load where it has none.
func (t *Table) candidates(now time.Time, v *plan.View, svc *service, q *Query) []*server {
	if svc.shares == nil || svc.shares.view != v || svc.shares.region != q.Region {
		svc.shares = t.newShares(v, q.Service, q.Region)
	}
	if !q.Sticky {
		return t.idlest(now, svc, q)
	}
	list := t.usables(now, svc.shares.order(q.Object), q)
	if len(list) < min(t.rules.Homes, len(svc.shares.members)) {
		// Most of those that are kept in order are out.
		list = t.usables(now, svc.shares.rank(q.Object, len(svc.shares.members)), q)
	}
	return list
}

// usables returns the first of a list that may get the request.
func (t *Table) usables(now time.Time, order []*server, q *Query) []*server {
	list := make([]*server, 0, candidatesMost)
	for _, s := range order {
		if len(list) < candidatesMost && t.usable(now, s, q) {
			list = append(list, s)
		}
	}
	return list
}

// idlest returns the backend servers with the least load for their slots, near ones first.
func (t *Table) idlest(now time.Time, svc *service, q *Query) []*server {
	list := make([]candidate, 0, candidatesMost+1)
	for _, m := range svc.shares.members {
		if !t.usable(now, m.s, q) {
			continue
		}
		rank := float64(t.load(now, m.s)) / float64(m.s.backend.Slots())
		if m.far {
			rank += farPush
		}
		list = place(list, candidate{s: m.s, rank: rank}, candidatesMost)
	}
	out := make([]*server, 0, len(list))
	for _, c := range list {
		out = append(out, c.s)
	}
	return out
}

// place puts a candidate into an ordered list of the first n.
func place(list []candidate, c candidate, n int) []candidate {
	if len(list) == n && c.rank >= list[len(list)-1].rank {
		return list
	}
	i := len(list)
	for i > 0 && c.rank < list[i-1].rank {
		i--
	}
	list = slices.Insert(list, i, c)
	return list[:min(len(list), n)]
}

// usable tells whether a backend server may get a request now.
func (t *Table) usable(now time.Time, s *server, q *Query) bool {
	b := s.backend
	if !allowed(b, q) || now.Before(s.outUntil) {
		return false
	}
	return !b.Cold(now) || (!now.Before(s.coldNext) && t.fleet.ElectedFor(b))
}

func allowed(b *plan.Backend, q *Query) bool {
	return q.Allows(b.Region()) && !slices.Contains(q.Tried, b.Key())
}

// opens tells whether some backend server that can't be used now may be in a moment: a cold one that this host
// sends to.
func (t *Table) opens(now time.Time, v *plan.View, q *Query) bool {
	return slices.ContainsFunc(v.Usable(q.Service), func(b *plan.Backend) bool {
		return allowed(b, q) && b.Cold(now) && t.fleet.ElectedFor(b)
	})
}

// unit spreads a hash over 0 to 1.
func unit(h uint64) float64 {
	const (
		mul1, mul2 = 0xff51afd7ed558ccd, 0xc4ceb9fe1a85ec53
		shift      = 33
		bits, kept = 64, 11
	)
	h ^= h >> shift
	h *= mul1
	h ^= h >> shift
	h *= mul2
	h ^= h >> shift
	return float64(h>>kept) / (1 << (bits - kept))
}
