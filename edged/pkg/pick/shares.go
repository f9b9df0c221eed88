package pick

import (
	"math"

	"rosemarygrade.dev/lib/pkg/plan"
)

// shares is how the objects of each region are spread over the backend servers of one service.
type shares struct {
	view *plan.View
	// weight is, for an origin region and a backend server's region, the weight of one slot.
	weight map[string]map[string]float64
}

// newShares divides the slots of a service among the regions: each keeps its own objects as far as its slots
// go, and what is left goes where there are more slots than needed. Regions count by their data centres,
// which have about the same number of callers each.
func newShares(v *plan.View, service string, demand map[string]float64, freeShare float64) *shares {
	slots, total := map[string]float64{}, 0.0
	for _, b := range v.Usable(service) {
		slots[b.Region()] += float64(b.Slots())
		total += float64(b.Slots())
	}
	keep, spare, left := map[string]float64{}, map[string]float64{}, 0.0
	for region, n := range slots {
		keep[region] = min(demand[region], n/total)
		spare[region] = n/total - keep[region]
		left += spare[region]
	}
	s := &shares{view: v, weight: map[string]map[string]float64{}}
	for origin, need := range demand {
		w := map[string]float64{}
		for region, n := range slots {
			part := 0.0
			if left > 0 {
				part = (need - keep[origin]) * spare[region] / left
			}
			if region == origin {
				part += keep[origin]
			}
			part = (1-freeShare)*part/need + freeShare*n/total
			w[region] = part / n
		}
		s.weight[origin] = w
	}
	return s
}

// rank places a backend server in the order of an object: the lowest is its first home.
func (s *shares) rank(origin string, object uint64, b *plan.Backend) float64 {
	w, ok := s.weight[origin][b.Region()]
	if !ok {
		w = 1
	}
	u := unit(object ^ b.Hash())
	return -math.Log1p(-u) / (w * float64(b.Slots()))
}
