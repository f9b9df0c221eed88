package pick

import (
	"cmp"
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
	list := t.candidates(now, v, q)
	var out option
	found := false
	for i, c := range list {
		if i >= t.rules.Homes && q.Sticky && (found && (out.now || t.use(now, v, q.Service) > t.rules.SpillUse)) {
			break
		}
		o := t.option(now, svc, c.s, q)
		if !found || t.rules.cost(o) < t.rules.cost(out) {
			out, found = o, true
		}
		if !q.Sticky && found && out.now {
			break
		}
	}
	return out, found
}

// use returns which part of a service's slots is in use.
func (t *Table) use(now time.Time, v *plan.View, service string) float64 {
	busy, slots := 0, 0
	for _, b := range v.Usable(service) {
		slots += b.Slots()
		busy += min(b.Slots(), t.load(now, t.server(b)))
	}
	return float64(busy) / float64(max(1, slots))
}

// option returns what becomes of a request at one backend server.
func (t *Table) option(now time.Time, svc *service, s *server, q *Query) option {
	slow := s.slow(now)
	_, warm := s.warm[q.Object]
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
	if begun, running := s.running[q.Object]; running && q.Sticky && !warm && t.rules.Hold {
		// The object is being made warm: its next request is faster after that.
		rest := begun.Add(o.work).Sub(now)
		soon := time.Duration(float64(svc.usual(true)) * slow)
		if rest > 0 && rest+soon < o.work {
			o.now, o.wait, o.work = false, o.wait+rest, soon
		}
	}
	return o
}

// candidates returns the backend servers that may get the request, in the order of its object.
func (t *Table) candidates(now time.Time, v *plan.View, q *Query) []candidate {
	usable := v.Usable(q.Service)
	list := make([]candidate, 0, len(usable))
	sh := t.sharesOf(v, q.Service)
	for _, b := range usable {
		if !q.Allows(b.Region()) || slices.Contains(q.Tried, b.Key()) {
			continue
		}
		s := t.server(b)
		if now.Before(s.outUntil) {
			continue
		}
		if b.Cold(now) && (now.Before(s.coldNext) || !t.fleet.Keeper(b)) {
			continue
		}
		var rank float64
		if q.Sticky {
			rank = sh.rank(q.Region, q.Object, b)
		} else {
			rank = float64(t.load(now, s)) / float64(b.Slots())
			if b.Region() != q.Region {
				rank += farPush
			}
		}
		list = append(list, candidate{s: s, rank: rank})
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
	return list
}

// sharesOf returns the spread of a service's objects in a view.
func (t *Table) sharesOf(v *plan.View, service string) *shares {
	svc := t.service(service)
	if svc.shares == nil || svc.shares.view != v {
		svc.shares = newShares(v, service, t.fleet.Demand(), t.rules.FreeShare)
	}
	return svc.shares
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
