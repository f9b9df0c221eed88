package pick

import (
	"math"

	"rosemarygrade.dev/lib/pkg/plan"
)

// shares is how the objects of one region are spread over the backend servers of one service.
type shares struct {
	view   *plan.View
	region string
	// members are the usable backend servers with the inverse of their weight.
	members []member
}

type member struct {
	s *server
	// inverse is 1 / weight; the lower, the more objects.
	inverse float64
	far     bool
}

// newShares divides the slots of a service among the regions: each keeps its own objects as far as its slots
// go, and what is left goes where there are more slots than needed.
func (t *Table) newShares(v *plan.View, service, origin string) *shares {
	out := &shares{view: v, region: origin}
	slots, total := map[string]float64{}, 0.0
	for _, b := range v.Usable(service) {
		slots[b.Region()] += float64(b.Slots())
		total += float64(b.Slots())
	}
	weight := t.weights(slots, total, origin)
	for _, b := range v.Usable(service) {
		out.members = append(out.members, member{
			s: t.server(b), inverse: 1 / (weight[b.Region()] * float64(b.Slots())), far: b.Region() != origin,
		})
	}
	return out
}

// weights returns the weight of one slot in each region for the objects of one of them.
func (t *Table) weights(slots map[string]float64, total float64, origin string) map[string]float64 {
	demand := t.fleet.Demand()
	spare, left := map[string]float64{}, 0.0
	for region, n := range slots {
		spare[region] = n/total - min(demand[region], n/total)
		left += spare[region]
	}
	need := demand[origin]
	kept := min(need, slots[origin]/total)
	out := map[string]float64{}
	for region, n := range slots {
		part := n / total
		if need > 0 {
			part = 0
			if left > 0 {
				part = (need - kept) / need * spare[region] / left
			}
			if region == origin {
				part += kept / need
			}
			part = (1-t.rules.FreeShare)*part + t.rules.FreeShare*n/total
		}
		out[region] = max(part, leastPart) / n
	}
	return out
}

// leastPart keeps a region in the order of objects that it should hold none of.
const leastPart = 1e-6

// rank places a backend server in the order of an object: the lowest is its first home.
func (m member) rank(object uint64) float64 {
	return -math.Log1p(-unit(object^m.s.backend.Hash())) * m.inverse
}
