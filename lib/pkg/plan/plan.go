// Package plan holds what operators and backend servers declare: routes, services, backend servers and
// drained data centres. Values are immutable once built, so that readers share them without locks.
package plan

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"rosemarygrade.dev/lib/pkg/fault"
)

// Kind is the kind of an error of the package.
type Kind string

// KindInvalid means that a declaration breaks a rule of its type.
const KindInvalid Kind = "invalid"

// Error is the error type of the package.
type Error = fault.Error[Kind]

// WeightedService is one service of a traffic split.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// RouteSpec declares a route.
type RouteSpec struct {
	Name string `json:"name"`
	// Host and Prefix select requests; the longest prefix of a host wins.
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Idempotent requests may run more than once.
	Idempotent bool `json:"idempotent"`
	// Timeout is the longest time in which a request is answered.
	Timeout time.Duration `json:"timeoutNanos"`
	// LatencyObjective is the time within which an answer has its full worth.
	LatencyObjective time.Duration `json:"objectiveNanos"`
	// Priority is the rank; 0 is the highest.
	Priority int `json:"priority"`
	// WeightedServices has one element for a route to one service, more for a traffic split.
	WeightedServices []WeightedService `json:"parts"`
	// MaxAttempts is how many backend servers one request may be sent to.
	MaxAttempts int `json:"maxAttempts"`
	// Sticky routes have objects that backend servers keep warm.
	Sticky bool `json:"sticky"`
	// AllowedRegions are the only regions that may serve the route; empty means all.
	AllowedRegions []string `json:"homes,omitempty"`
}

// ServiceSpec declares a service.
type ServiceSpec struct {
	Name       string `json:"name"`
	HealthPath string `json:"healthPath"`
	// MaxConns is how many connections a backend server takes from all hosts together.
	MaxConns int `json:"maxConns"`
	// SlowStart is how long a backend server stays cold after its start.
	SlowStart time.Duration `json:"warmupNanos"`
	// SlowStartRate is how many requests a second a cold backend server bears.
	SlowStartRate float64 `json:"coldRate"`
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int           `json:"headerBytes"`
	BodyBytes     int64         `json:"bodyBytes"`
	HeaderTimeout time.Duration `json:"headerTimeoutNanos"`
	IdleTimeout   time.Duration `json:"idleTimeoutNanos"`
}

// ConfigSpec declares a whole configuration.
type ConfigSpec struct {
	Version  uint64        `json:"version"`
	Routes   []RouteSpec   `json:"routes"`
	Services []ServiceSpec `json:"services"`
	Limits   Limits        `json:"limits"`
}

// Route is one checked route.
type Route struct{ spec RouteSpec }

// Name returns the route's name.
func (r *Route) Name() string { return r.spec.Name }

// Idempotent tells whether its requests may run more than once.
func (r *Route) Idempotent() bool { return r.spec.Idempotent }

// Timeout returns the longest time in which a request is answered.
func (r *Route) Timeout() time.Duration { return r.spec.Timeout }

// LatencyObjective returns the time within which an answer has its full worth.
func (r *Route) LatencyObjective() time.Duration { return r.spec.LatencyObjective }

// Priority returns the rank; 0 is the highest.
func (r *Route) Priority() int { return r.spec.Priority }

// WeightedServices returns the services with their weights.
func (r *Route) WeightedServices() []WeightedService { return r.spec.WeightedServices }

// MaxAttempts returns how many backend servers one request may be sent to.
func (r *Route) MaxAttempts() int { return r.spec.MaxAttempts }

// Sticky tells whether backend servers keep the route's objects warm.
func (r *Route) Sticky() bool { return r.spec.Sticky }

// Allows tells whether a region may serve the route.
func (r *Route) Allows(region string) bool {
	return len(r.spec.AllowedRegions) == 0 || slices.Contains(r.spec.AllowedRegions, region)
}

// Config is one checked version of the configuration.
type Config struct {
	spec     ConfigSpec
	byHost   map[string][]*Route
	services map[string]*ServiceSpec
}

// NewConfig checks a declaration as a whole.
func NewConfig(spec ConfigSpec) (*Config, error) {
	c := &Config{spec: spec, byHost: map[string][]*Route{}, services: map[string]*ServiceSpec{}}
	for i := range spec.Services {
		s := &spec.Services[i]
		if s.Name == "" || c.services[s.Name] != nil {
			return nil, invalid("a service has no name of its own: %q", s.Name)
		}
		c.services[s.Name] = s
	}
	for _, r := range spec.Routes {
		if err := c.checkRoute(r); err != nil {
			return nil, err
		}
		c.byHost[r.Host] = append(c.byHost[r.Host], &Route{spec: r})
	}
	for _, routes := range c.byHost {
		slices.SortFunc(routes, func(a, b *Route) int {
			return cmp.Or(cmp.Compare(len(b.spec.Prefix), len(a.spec.Prefix)), cmp.Compare(a.spec.Prefix, b.spec.Prefix))
		})
		for i := 1; i < len(routes); i++ {
			if routes[i].spec.Prefix == routes[i-1].spec.Prefix {
				return nil, invalid("two routes have the host and prefix of %q", routes[i].spec.Name)
			}
		}
	}
	return c, nil
}

func (c *Config) checkRoute(r RouteSpec) error {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return invalid("route %q needs a host and a prefix between slashes", r.Name)
	}
	if r.Timeout <= 0 || r.MaxAttempts < 1 || len(r.WeightedServices) == 0 {
		return invalid("route %q needs a timeout, an attempt and a service", r.Name)
	}
	total := 0.0
	for _, p := range r.WeightedServices {
		if c.services[p.Service] == nil {
			return invalid("route %q names an unknown service", r.Name)
		}
		if p.Weight < 0 {
			return invalid("route %q has a negative weight", r.Name)
		}
		total += p.Weight
	}
	if total <= 0 {
		return invalid("route %q has no weight", r.Name)
	}
	return nil
}

// Version returns the version.
func (c *Config) Version() uint64 { return c.spec.Version }

// Spec returns the declaration, which must not be changed.
func (c *Config) Spec() ConfigSpec { return c.spec }

// Limits returns the bounds of what callers may send.
func (c *Config) Limits() Limits { return c.spec.Limits }

// Service returns a service, or nil.
func (c *Config) Service(name string) *ServiceSpec { return c.services[name] }

// Route returns the route with the longest prefix of the path, or nil.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.spec.Prefix) {
			return r
		}
	}
	return nil
}

// Has tells whether a route is one of this configuration's.
func (c *Config) Has(r *Route) bool { return slices.Contains(c.byHost[r.spec.Host], r) }
