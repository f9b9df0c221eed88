package plan

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosemarygrade.dev/lib/pkg/fault"
)

func invalid(format string, args ...any) error {
	return fault.New("check", KindInvalid, fmt.Sprintf(format, args...))
}

// BackendSpec is what a backend server says of itself.
type BackendSpec struct {
	ID string `json:"id"`
	// Incarnation tells the incarnation: the Unix millisecond of the process's start.
	Incarnation int64  `json:"born"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	DataCentre  string `json:"dataCentre"`
	Slots       int    `json:"slots"`
	// Leaving backend servers get no new work.
	Leaving bool `json:"leaving,omitempty"`
	// SlowStartUntil is the end of the time after a start in which few requests are borne.
	SlowStartUntil time.Time `json:"coldUntil"`
}

// Backend is a backend server in a view.
type Backend struct {
	spec   BackendSpec
	region string
	hash   uint64
	key    string
}

// NewBackend returns a backend server in a region.
func NewBackend(spec BackendSpec, region string) *Backend {
	key := fmt.Sprintf("%s/%d", spec.ID, spec.Incarnation)
	return &Backend{spec: spec, region: region, hash: xxhash.Sum64String(spec.ID), key: key}
}

// ID returns the id by which a send names the backend server.
func (b *Backend) ID() string { return b.spec.ID }

// Key returns the id with the incarnation.
func (b *Backend) Key() string { return b.key }

// Hash returns a hash of the id.
func (b *Backend) Hash() uint64 { return b.hash }

// Service returns the service's name.
func (b *Backend) Service() string { return b.spec.Service }

// Address returns the IP:port.
func (b *Backend) Address() string { return b.spec.Address }

// DataCentre returns where it stands.
func (b *Backend) DataCentre() string { return b.spec.DataCentre }

// Region returns the region of its data centre.
func (b *Backend) Region() string { return b.region }

// Slots returns how many requests it runs at once.
func (b *Backend) Slots() int { return b.spec.Slots }

// Cold tells whether it bears few requests at a time.
func (b *Backend) Cold(now time.Time) bool { return now.Before(b.spec.SlowStartUntil) }

// View is what a host believes at one moment.
type View struct {
	config   *Config
	usable   map[string][]*Backend
	drained  map[string]bool
	backends map[string]*Backend
}

// NewView returns a view. Backend servers that leave or stand in drained data centres are not usable.
func NewView(c *Config, specs []BackendSpec, drained map[string]bool, regions map[string]string) *View {
	v := &View{config: c, usable: map[string][]*Backend{}, drained: drained, backends: map[string]*Backend{}}
	for _, s := range specs {
		b := NewBackend(s, regions[s.DataCentre])
		v.backends[s.ID] = b
		if !s.Leaving && !drained[s.DataCentre] {
			v.usable[s.Service] = append(v.usable[s.Service], b)
		}
	}
	for _, list := range v.usable {
		slices.SortFunc(list, func(a, b *Backend) int { return strings.Compare(a.spec.ID, b.spec.ID) })
	}
	return v
}

// Config returns the configuration, or nil while none is known.
func (v *View) Config() *Config { return v.config }

// Usable returns the backend servers of a service that may get work, in order of their ids.
func (v *View) Usable(service string) []*Backend { return v.usable[service] }

// Backend returns a backend server by its id, or nil.
func (v *View) Backend(id string) *Backend { return v.backends[id] }

// Backends returns how many backend servers are known.
func (v *View) Backends() int { return len(v.backends) }

// Drained tells whether a data centre is drained.
func (v *View) Drained(dataCentre string) bool { return v.drained[dataCentre] }

// HasKey tells whether a backend server's incarnation is in the view, by its key.
func (v *View) HasKey(key string) bool {
	id, _, _ := strings.Cut(key, "/")
	b := v.backends[id]
	return b != nil && b.key == key
}
