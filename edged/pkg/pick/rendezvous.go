package pick

import (
	"math"

	"rosemarygrade.dev/lib/pkg/plan"
)

// rendezvous ranks the backend servers of one service for objects of one region by weighted rendezvous hashing.
type rendezvous struct {
	// usable is the list of backend servers from which the members were made.
	usable []*plan.Backend
	region string
	// members are the usable backend servers.
	members []member
	// rankings caches the ranking of each requested object.
	rankings map[uint64][]*server
}

type member struct {
	server *server
	// inverseFirst and inverseFurther are 1/weight for the first and the further ranks; a lower value gets more objects.
	inverseFirst, inverseFurther float64
	remote                       bool
}

// isCurrent reports whether the rendezvous still holds for a list of usable backend servers, which views share until it
// changes.
func (r *rendezvous) isCurrent(usable []*plan.Backend, region string) bool {
	return r.region == region && len(r.usable) == len(usable) && (len(usable) == 0 || &r.usable[0] == &usable[0])
}

// newRendezvous weights the backend servers for the objects of a region. A region serves its own demand as far as its
// slots suffice, and the rest goes to regions with spare slots.
func (t *Table) newRendezvous(v *plan.View, service, origin string) *rendezvous {
	out := &rendezvous{usable: v.Usable(service), region: origin, rankings: map[uint64][]*server{}}
	slots, total := map[string]float64{}, 0.0
	for _, b := range v.Usable(service) {
		slots[b.Region()] += float64(b.Slots())
		total += float64(b.Slots())
	}
	first := t.slotWeights(slots, total, origin, t.rules.FirstSpread)
	further := t.slotWeights(slots, total, origin, t.rules.FurtherSpread)
	for _, b := range v.Usable(service) {
		s := t.server(b)
		s.backend = b
		out.members = append(out.members, member{
			server: s, inverseFirst: 1 / (first[b.Region()] * float64(b.Slots())), inverseFurther: 1 / (further[b.Region()] * float64(b.Slots())),
			remote: b.Region() != origin,
		})
	}
	return out
}

// slotWeights returns the weight of one slot in each region for objects of the origin region. spread is the share
// of the objects that is spread over all regions by slots.
func (t *Table) slotWeights(slots map[string]float64, total float64, origin string, spread float64) map[string]float64 {
	demand := t.fleet.Demand()
	spare, totalSpare := map[string]float64{}, 0.0
	for region, n := range slots {
		spare[region] = n/total - min(demand[region], n/total)
		totalSpare += spare[region]
	}
	need := demand[origin]
	local := min(need, slots[origin]/total)
	out := map[string]float64{}
	for region, n := range slots {
		share := n / total
		if need > 0 {
			share = 0
			if totalSpare > 0 {
				share = (need - local) / need * spare[region] / totalSpare
			}
			if region == origin {
				share += local / need
			}
			share = (1-spread)*share + spread*n/total
		}
		out[region] = max(share, minWeightShare) / n
	}
	return out
}

// minWeightShare keeps regions with a share of 0 in the ranking, at its end.
const minWeightShare = 1e-6

// Bounds of the cached rankings.
const (
	// rankingLength is the length of a ranking: the preferred backend servers, and others for when some are ejected.
	rankingLength = 12
	// maxRankings bounds the memory to about half a megabyte a service.
	maxRankings = 4096
)

// ranking returns the cached ranking for an object, and computes it if needed.
func (r *rendezvous) ranking(object uint64) []*server {
	if cached, ok := r.rankings[object]; ok {
		return cached
	}
	if len(r.rankings) >= maxRankings {
		clear(r.rankings)
	}
	list := r.rank(object, rankingLength)
	r.rankings[object] = list
	return list
}

// rank returns the first n backend servers for an object: the first by inverseFirst, the further by inverseFurther.
func (r *rendezvous) rank(object uint64, n int) []*server {
	list := make([]rankedServer, 0, n+1)
	var preferred rankedServer
	for _, m := range r.members {
		sample := m.sample(object)
		if first := sample * m.inverseFirst; preferred.server == nil || first < preferred.rank {
			preferred = rankedServer{server: m.server, rank: first}
		}
		list = insertRanked(list, rankedServer{server: m.server, rank: sample * m.inverseFurther}, n)
	}
	out := make([]*server, 0, n)
	if preferred.server != nil {
		out = append(out, preferred.server)
	}
	for _, c := range list {
		if c.server != preferred.server && len(out) < n {
			out = append(out, c.server)
		}
	}
	return out
}

// sample returns an exponentially distributed value, derived from the object's and the backend server's hashes.
func (m member) sample(object uint64) float64 {
	return -math.Log1p(-unitInterval(object ^ m.server.backend.Hash()))
}
