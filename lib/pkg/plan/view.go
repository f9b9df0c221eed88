package plan

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosemarygrade.dev/lib/pkg/fault"
)

func invalid(format string, args ...any) error {
	return fault.New("check", KindInvalid, fmt.Sprintf(format, args...))
}

// BackendSpec is the entry that a backend server registers for itself.
type BackendSpec struct {
	ID string `json:"id"`
	// Incarnation is the start time of the process in Unix milliseconds; it changes with each restart.
	Incarnation int64  `json:"born"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	DataCentre  string `json:"dataCentre"`
	Slots       int    `json:"slots"`
	// Leaving is true where the backend server is shutting down and must get no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// SlowStartUntil is when the slow start ends.
	SlowStartUntil time.Time `json:"coldUntil"`
}

// maxSlots bounds the slots of a backend server: sums and shares of them must not overflow.
const maxSlots = 100_000

// Check returns an error of KindInvalid for an entry that names no backend server to use: a field that is needed to send requests there is missing
// or out of range.
func (s *BackendSpec) Check() error {
	address, err := netip.ParseAddrPort(s.Address)
	switch {
	case s.ID == "" || s.Service == "" || s.DataCentre == "":
		return invalid("backend server %q has no ID, service or data centre", s.ID)
	case err != nil || address.Port() == 0:
		return invalid("backend server %q has no address, or one without a port", s.ID)
	case s.Slots < 1 || s.Slots > maxSlots:
		return invalid("backend server %q has %d slots, not 1 to %d", s.ID, s.Slots, maxSlots)
	}
	return nil
}

// Backend is a backend server with its region.
type Backend struct {
	spec   BackendSpec
	region string
	hash   uint64
	key    string
}

// NewBackend returns the backend server of a spec; region is that of its data centre.
func NewBackend(spec BackendSpec, region string) *Backend {
	key := fmt.Sprintf("%s/%d", spec.ID, spec.Incarnation)
	return &Backend{spec: spec, region: region, hash: xxhash.Sum64String(spec.ID), key: key}
}

// ID returns the ID, which stays the same across restarts and names the backend server in requests.
func (b *Backend) ID() string { return b.spec.ID }

// Key returns the ID and the incarnation as "id/incarnation".
func (b *Backend) Key() string { return b.key }

// Hash returns a hash of the ID.
func (b *Backend) Hash() uint64 { return b.hash }

// Service returns the service's name.
func (b *Backend) Service() string { return b.spec.Service }

// Address returns the IP:port.
func (b *Backend) Address() string { return b.spec.Address }

// DataCentre returns the data centre that the backend server is in.
func (b *Backend) DataCentre() string { return b.spec.DataCentre }

// Region returns the region of its data centre.
func (b *Backend) Region() string { return b.region }

// Slots returns how many requests the backend server runs at a time.
func (b *Backend) Slots() int { return b.spec.Slots }

// SlowStartUntil returns when its slow start ends by its entry.
func (b *Backend) SlowStartUntil() time.Time { return b.spec.SlowStartUntil }

// InSlowStart reports whether the backend server is in slow start and can handle few requests.
func (b *Backend) InSlowStart(now time.Time) bool { return now.Before(b.spec.SlowStartUntil) }

// View is an immutable snapshot of the store's resources as one host has read them.
type View struct {
	// number counts the calls of Next since NewView.
	number   uint64
	config   *Config
	usable   map[string][]*Backend
	drained  map[string]bool
	backends map[string]*Backend
}

// NewView returns a view. Drained holds the drained data centres; regions maps data centres to regions. A
// backend server that is leaving or whose data centre is drained is not usable.
func NewView(c *Config, specs []BackendSpec, drained map[string]bool, regions map[string]string) *View {
	return new(View).Next(c, specs, drained, regions)
}

// Next returns a view as NewView does. It takes over the backend servers of v that did not change, and the list of usable ones
// of each service in which none did, since most changes are of one backend server among very many.
func (v *View) Next(c *Config, specs []BackendSpec, drained map[string]bool, regions map[string]string) *View {
	out := &View{number: v.number + 1, config: c, usable: make(map[string][]*Backend, len(v.usable)), drained: drained, backends: make(map[string]*Backend, len(specs))}
	changed := map[string]bool{}
	counts := map[string]int{}
	for i := range specs {
		s := &specs[i]
		b, wasUsable := v.backends[s.ID], false
		if b == nil || b.spec != *s || b.region != regions[s.DataCentre] {
			b = NewBackend(*s, regions[s.DataCentre])
		} else {
			wasUsable = v.isUsable(b)
		}
		out.backends[s.ID] = b
		if out.isUsable(b) {
			counts[s.Service]++
			changed[s.Service] = changed[s.Service] || !wasUsable
		}
	}
	for service, n := range counts {
		if old := v.usable[service]; !changed[service] && len(old) == n {
			out.usable[service] = old
			delete(counts, service)
		}
	}
	for _, b := range out.backends {
		if s := b.spec.Service; counts[s] > 0 && out.isUsable(b) {
			out.usable[s] = append(out.usable[s], b)
		}
	}
	for service := range counts {
		slices.SortFunc(out.usable[service], func(a, b *Backend) int { return strings.Compare(a.spec.ID, b.spec.ID) })
	}
	return out
}

// OlderThan reports whether the other view was derived from v by Next, directly or in several steps.
func (v *View) OlderThan(other *View) bool { return v.number < other.number }

// isUsable reports whether a backend server of the view may get new requests.
func (v *View) isUsable(b *Backend) bool { return !b.spec.Leaving && !v.drained[b.spec.DataCentre] }

// Config returns the configuration, or nil before the first one has been read.
func (v *View) Config() *Config { return v.config }

// Usable returns the backend servers of a service that may get new requests, sorted by ID.
func (v *View) Usable(service string) []*Backend { return v.usable[service] }

// Backend returns the backend server with that ID, usable or not, or nil.
func (v *View) Backend(id string) *Backend { return v.backends[id] }

// Backends returns the number of backend servers, usable or not.
func (v *View) Backends() int { return len(v.backends) }

// Drained reports whether a data centre is drained.
func (v *View) Drained(dataCentre string) bool { return v.drained[dataCentre] }

// ByKey returns the backend server with that key, and so in the same incarnation, or nil.
func (v *View) ByKey(key string) *Backend {
	id, _, _ := strings.Cut(key, "/")
	if b := v.backends[id]; b != nil && b.key == key {
		return b
	}
	return nil
}

// HasKey reports whether the view holds the backend server with that key.
func (v *View) HasKey(key string) bool { return v.ByKey(key) != nil }
