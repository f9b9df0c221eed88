package pick

import (
	"sync"

	"rosemarygrade.dev/lib/pkg/plan"
)

// Splits shares the requests of each route among its services, exactly by weight. It is safe for
// concurrent use.
type Splits struct {
	mu     sync.Mutex
	routes map[*plan.Route][]float64
}

// NewSplits returns an empty table.
func NewSplits() *Splits { return &Splits{routes: map[*plan.Route][]float64{}} }

// Next returns the service of the next request on a route: the one that is furthest behind its share.
func (s *Splits) Next(r *plan.Route) string {
	parts := r.WeightedServices()
	if len(parts) == 1 {
		return parts[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	debt := s.routes[r]
	if debt == nil {
		debt = make([]float64, len(parts))
		s.routes[r] = debt
	}
	total, best := 0.0, 0
	for i, p := range parts {
		total += p.Weight
		debt[i] += p.Weight
		if debt[i] > debt[best] {
			best = i
		}
	}
	debt[best] -= total
	return parts[best].Service
}

// Prune forgets the routes of other configurations.
func (s *Splits) Prune(c *plan.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for r := range s.routes {
		if !c.Has(r) {
			delete(s.routes, r)
		}
	}
}
