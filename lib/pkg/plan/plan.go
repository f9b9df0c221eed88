// Package plan holds the configuration of edged: the resources that operators and backend servers write to the
// store, such as routes, services, backend servers and drained data centres. Values are immutable once built, so
// that readers share them without locks. Package model holds the configuration of entryd and steerd.
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

// KindInvalid means that a configuration failed validation.
const KindInvalid Kind = "invalid"

// Error is the error type of the package.
type Error = fault.Error[Kind]

// WeightedService is a service with its weight in a traffic split; weights are relative to their sum.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// RouteSpec is the desired state of a route.
type RouteSpec struct {
	Name string `json:"name"`
	// Host and Prefix select requests by host name and path; the longest matching prefix wins.
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Idempotent is true where a request may run more than once.
	Idempotent bool `json:"idempotent"`
	// Timeout is the longest time that a request may take.
	Timeout time.Duration `json:"timeoutNanos"`
	// LatencyObjective is the latency up to which a response counts in full; a later one is worth less to the caller.
	LatencyObjective time.Duration `json:"objectiveNanos"`
	// Priority orders queued requests; 0 is the highest.
	Priority int `json:"priority"`
	// WeightedServices has one element for a route to one service, several for a traffic split.
	WeightedServices []WeightedService `json:"parts"`
	// MaxAttempts is the number of backend servers that one request may be sent to, the first included.
	MaxAttempts int `json:"maxAttempts"`
	// Sticky is true where backend servers cache the objects of the route's requests (a cached object is warm).
	Sticky bool `json:"sticky"`
	// AllowedRegions lists the regions that may serve the route; empty means all.
	AllowedRegions []string `json:"homes,omitempty"`
	// Public is true where requests need no key of an organisation.
	Public bool `json:"public,omitempty"`
}

// ServiceSpec is the desired state of a service.
type ServiceSpec struct {
	Name       string `json:"name"`
	HealthPath string `json:"healthPath"`
	// MaxConns is the largest number of connections that a backend server accepts from all hosts together.
	MaxConns int `json:"maxConns"`
	// SlowStart is how long a backend server is in slow start after its process starts.
	SlowStart time.Duration `json:"warmupNanos"`
	// SlowStartRate is the number of requests a second that a backend server can handle in slow start.
	SlowStartRate float64 `json:"coldRate"`
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	HeaderBytes   int           `json:"headerBytes"`
	BodyBytes     int64         `json:"bodyBytes"`
	HeaderTimeout time.Duration `json:"headerTimeoutNanos"`
	IdleTimeout   time.Duration `json:"idleTimeoutNanos"`
}

// ConfigSpec is the desired state of the whole configuration.
type ConfigSpec struct {
	Version  uint64        `json:"version"`
	Routes   []RouteSpec   `json:"routes"`
	Services []ServiceSpec `json:"services"`
	Limits   Limits        `json:"limits"`
	// RequiresKeys is true where requests on routes that are not public need the key of an organisation.
	RequiresKeys  bool               `json:"requiresKeys,omitempty"`
	Organisations []OrganisationSpec `json:"organisations,omitempty"`
}

// Route is a validated route.
type Route struct{ spec RouteSpec }

// Name returns the route's name.
func (r *Route) Name() string { return r.spec.Name }

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool { return r.spec.Idempotent }

// Timeout returns the longest time that a request may take.
func (r *Route) Timeout() time.Duration { return r.spec.Timeout }

// LatencyObjective returns the latency up to which a response counts in full.
func (r *Route) LatencyObjective() time.Duration { return r.spec.LatencyObjective }

// Priority returns the priority of the route's requests; 0 is the highest.
func (r *Route) Priority() int { return r.spec.Priority }

// WeightedServices returns the services with their weights.
func (r *Route) WeightedServices() []WeightedService { return r.spec.WeightedServices }

// MaxAttempts returns the number of backend servers that one request may be sent to, the first included.
func (r *Route) MaxAttempts() int { return r.spec.MaxAttempts }

// Sticky reports whether backend servers cache the objects of the route's requests.
func (r *Route) Sticky() bool { return r.spec.Sticky }

// Allows reports whether a region may serve the route.
func (r *Route) Allows(region string) bool {
	return len(r.spec.AllowedRegions) == 0 || slices.Contains(r.spec.AllowedRegions, region)
}

// Public reports whether the route's requests need no key of an organisation.
func (r *Route) Public() bool { return r.spec.Public }

// Config is a validated version of the configuration.
type Config struct {
	spec     ConfigSpec
	byHost   map[string][]*Route
	services map[string]*ServiceSpec
	// organisations is keyed by name.
	organisations map[string]*Organisation
	byKey         map[KeyHash]*Organisation
}

// NewConfig validates a configuration as a whole. Its errors have the kind KindInvalid.
func NewConfig(spec ConfigSpec) (*Config, error) {
	c := &Config{
		spec: spec, byHost: map[string][]*Route{}, services: map[string]*ServiceSpec{},
		organisations: map[string]*Organisation{}, byKey: map[KeyHash]*Organisation{},
	}
	for i := range spec.Services {
		s := &spec.Services[i]
		if s.Name == "" || c.services[s.Name] != nil {
			return nil, invalid("service name %q is empty or used twice", s.Name)
		}
		c.services[s.Name] = s
	}
	for _, r := range spec.Routes {
		if err := c.checkRoute(r); err != nil {
			return nil, err
		}
		c.byHost[r.Host] = append(c.byHost[r.Host], &Route{spec: r})
	}
	for _, o := range spec.Organisations {
		if err := c.addOrganisation(o); err != nil {
			return nil, err
		}
	}
	for _, routes := range c.byHost {
		slices.SortFunc(routes, func(a, b *Route) int {
			return cmp.Or(cmp.Compare(len(b.spec.Prefix), len(a.spec.Prefix)), cmp.Compare(a.spec.Prefix, b.spec.Prefix))
		})
		for i := 1; i < len(routes); i++ {
			if routes[i].spec.Prefix == routes[i-1].spec.Prefix {
				return nil, invalid("route %q has the host and prefix of another route", routes[i].spec.Name)
			}
		}
	}
	return c, nil
}

func (c *Config) checkRoute(r RouteSpec) error {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return invalid("route %q needs a host, and a prefix that starts and ends with a slash", r.Name)
	}
	if r.Timeout <= 0 || r.MaxAttempts < 1 || len(r.WeightedServices) == 0 {
		return invalid("route %q needs a timeout above 0, at least one attempt and at least one service", r.Name)
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
		return invalid("route %q has only weights of 0", r.Name)
	}
	return nil
}

// Version returns the configuration's version.
func (c *Config) Version() uint64 { return c.spec.Version }

// Spec returns the desired state that the configuration was built from. It must not be changed.
func (c *Config) Spec() ConfigSpec { return c.spec }

// Limits returns the bounds of callers' requests and connections.
func (c *Config) Limits() Limits { return c.spec.Limits }

// Service returns the service with that name, or nil.
func (c *Config) Service(name string) *ServiceSpec { return c.services[name] }

// Route returns the route of a host name with the longest prefix of the path, or nil.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.spec.Prefix) {
			return r
		}
	}
	return nil
}

// Has reports whether the route belongs to this configuration, rather than to another version.
func (c *Config) Has(r *Route) bool { return slices.Contains(c.byHost[r.spec.Host], r) }
