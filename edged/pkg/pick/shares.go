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
	// orders keeps the order of objects that were asked for.
	orders map[uint64][]*server
}

type member struct {
	s *server
	// first and further are 1 / weight for the first home of objects and for the others; the lower, the more objects.
	first, further float64
	far            bool
}

// newShares divides the slots of a service among the regions: each keeps its own objects as far as its slots
// go, and what is left goes where there are more slots than needed.
func (t *Table) newShares(v *plan.View, service, origin string) *shares {
	out := &shares{view: v, region: origin, orders: map[uint64][]*server{}}
	slots, total := map[string]float64{}, 0.0
	for _, b := range v.Usable(service) {
		slots[b.Region()] += float64(b.Slots())
		total += float64(b.Slots())
	}
	first := t.weights(slots, total, origin, t.rules.FirstFree)
	further := t.weights(slots, total, origin, t.rules.FurtherFree)
	for _, b := range v.Usable(service) {
		out.members = append(out.members, member{
			s: t.server(b), first: 1 / (first[b.Region()] * float64(b.Slots())), further: 1 / (further[b.Region()] * float64(b.Slots())),
			far: b.Region() != origin,
		})
	}
	return out
}

// weights returns the weight of one slot in each region for the objects of one of them. free is which part of the
// objects is spread over all regions by their slots.
func (t *Table) weights(slots map[string]float64, total float64, origin string, free float64) map[string]float64 {
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
			part = (1-free)*part + free*n/total
		}
		out[region] = max(part, leastPart) / n
	}
	return out
}

// leastPart keeps a region in the order of objects that it should hold none of.
const leastPart = 1e-6

// Bounds of the orders that are kept.
const (
	// orderLength is how many backend servers of an order are kept: its homes, and others while some are out.
	orderLength = 12
	// ordersMost bounds the memory, to about half a megabyte a service.
	ordersMost = 4096
)

// order returns the first backend servers for an object: its first home, then its others.
func (s *shares) order(object uint64) []*server {
	if known, ok := s.orders[object]; ok {
		return known
	}
	if len(s.orders) >= ordersMost {
		clear(s.orders)
	}
	list := s.rank(object, orderLength)
	s.orders[object] = list
	return list
}

// rank puts the first n backend servers for an object in order.
func (s *shares) rank(object uint64, n int) []*server {
	list := make([]candidate, 0, n+1)
	var home candidate
	for _, m := range s.members {
		draw := m.draw(object)
		if first := draw * m.first; home.s == nil || first < home.rank {
			home = candidate{s: m.s, rank: first}
		}
		list = place(list, candidate{s: m.s, rank: draw * m.further}, n)
	}
	out := make([]*server, 0, n)
	if home.s != nil {
		out = append(out, home.s)
	}
	for _, c := range list {
		if c.s != home.s && len(out) < n {
			out = append(out, c.s)
		}
	}
	return out
}

// draw is the object's own number at a backend server; by a weight it is the place in an order.
func (m member) draw(object uint64) float64 {
	return -math.Log1p(-unit(object ^ m.s.backend.Hash()))
}
