package pick

import (
	"sync"

	"rosemarygrade.dev/lib/pkg/plan"
)

// Splits splits the requests of each route among its services, exactly by weight. It is safe for concurrent use.
type Splits struct {
	mu     sync.Mutex
	routes map[*plan.Route][]float64
}

// NewSplits returns a Splits without routes.
func NewSplits() *Splits { return &Splits{routes: map[*plan.Route][]float64{}} }

// Next returns the service of the next request on a route: the one that is furthest behind its share.
func (s *Splits) Next(r *plan.Route) string {
	parts := r.Parts()
	if len(parts) == 1 {
		return parts[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	deficit := s.routes[r]
	if deficit == nil {
		deficit = make([]float64, len(parts))
		s.routes[r] = deficit
	}
	total, best := 0.0, 0
	for i, p := range parts {
		total += p.Weight
		deficit[i] += p.Weight
		if deficit[i] > deficit[best] {
			best = i
		}
	}
	deficit[best] -= total
	return parts[best].Service
}

// Prune removes the routes that are not in the configuration.
func (s *Splits) Prune(c *plan.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for r := range s.routes {
		if !c.Has(r) {
			delete(s.routes, r)
		}
	}
}
