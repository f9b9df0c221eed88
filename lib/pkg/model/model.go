// Package model holds the internal types of the configuration: checked, immutable, and read through accessors.
package model

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Object is a checked configuration object.
type Object interface{ sealed() }

// Service is a checked service.
type Service struct {
	name         string
	routes       []Route
	background   bool
	deadline     time.Duration
	maxBody      int64
	retryShare   float64
	hedgeShare   float64
	keyOptional  bool
	echoOptional bool
}

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// Background tells whether the service's work yields to live work.
func (s *Service) Background() bool { return s.background }

// Deadline returns the longest time that a request may take.
func (s *Service) Deadline() time.Duration { return s.deadline }

// MaxBody returns the largest request body in bytes.
func (s *Service) MaxBody() int64 { return s.maxBody }

// RetryShare returns the share of requests that may be retried.
func (s *Service) RetryShare() float64 { return s.retryShare }

// HedgeShare returns the share of requests that may be hedged.
func (s *Service) HedgeShare() float64 { return s.hedgeShare }

// KeyOptional tells whether a non-idempotent request may come without a request key.
func (s *Service) KeyOptional() bool { return s.keyOptional }

// EchoOptional tells whether backend servers may leave out the request id in answers.
func (s *Service) EchoOptional() bool { return s.echoOptional }

// Route is one route of a service.
type Route struct {
	prefix        string
	methods       []string
	nonIdempotent bool
}

// NonIdempotent tells whether requests of the route may run at most once.
func (r Route) NonIdempotent() bool { return r.nonIdempotent }

func (r Route) matches(method, path string) bool {
	if !strings.HasPrefix(path, r.prefix) {
		return false
	}
	return len(r.methods) == 0 || slices.Contains(r.methods, method)
}

// Placement is the checked list of a service's backend servers.
type Placement struct {
	service string
	servers []Server
}

// Server is one backend server.
type Server struct {
	address    string
	dataCentre string
	batch      string
	slots      int
}

// Address returns the server's IP and port.
func (s Server) Address() string { return s.address }

// DataCentre returns the data centre that the server is in.
func (s Server) DataCentre() string { return s.dataCentre }

// Batch returns the label by which the server can be recalled.
func (s Server) Batch() string { return s.batch }

// Slots returns how many requests the server takes at once.
func (s Server) Slots() int { return s.slots }

// Region is a checked region.
type Region struct {
	name        string
	dataCentres []string
	links       []Link
	blocks      []netip.Prefix
	maxHosts    int
}

// Name returns the region's name.
func (r *Region) Name() string { return r.name }

// DataCentres returns the region's data centres.
func (r *Region) DataCentres() []string { return r.dataCentres }

// Links returns the links that leave the region.
func (r *Region) Links() []Link { return r.links }

// Blocks returns the blocks of callers that belong to the region.
func (r *Region) Blocks() []netip.Prefix { return r.blocks }

// MaxHosts returns the largest number of entry hosts that share the region's links.
func (r *Region) MaxHosts() int { return r.maxHosts }

// Link is a directed link to another region.
type Link struct {
	to             string
	bytesPerSecond int64
	latency        time.Duration
}

// To returns the region at the far end.
func (l Link) To() string { return l.to }

// BytesPerSecond returns the link's limit.
func (l Link) BytesPerSecond() int64 { return l.bytesPerSecond }

// Latency returns the one-way latency.
func (l Link) Latency() time.Duration { return l.latency }

// Shift is a checked traffic shift.
type Shift struct {
	name    string
	service string
	from    string
	to      string
	capOf1  float64
	ramp    time.Duration
}

// Name returns the shift's name.
func (s *Shift) Name() string { return s.name }

// Service returns the service whose requests move.
func (s *Shift) Service() string { return s.service }

// From returns the region that requests leave.
func (s *Shift) From() string { return s.from }

// To returns the region that requests go to.
func (s *Shift) To() string { return s.to }

// Cap returns the largest share of requests that may move, from 0 to 1.
func (s *Shift) Cap() float64 { return s.capOf1 }

// Ramp returns the time in which the share grows to the cap.
func (s *Shift) Ramp() time.Duration { return s.ramp }

// Scope is what a drain takes out of use.
type Scope string

// Scopes of a drain.
const (
	ScopeDataCentre Scope = "dataCentre"
	ScopeRegion     Scope = "region"
	ScopeHost       Scope = "host"
)

// Drain is a checked drain.
type Drain struct {
	object string
	scope  Scope
	name   string
}

// Object returns the name of the drain itself.
func (d *Drain) Object() string { return d.object }

// Scope returns what the drain takes out of use.
func (d *Drain) Scope() Scope { return d.scope }

// Name returns the name of the data centre, region or host.
func (d *Drain) Name() string { return d.name }

// Recall is a checked recall of a batch.
type Recall struct {
	object string
	batch  string
}

// Object returns the name of the recall itself.
func (r *Recall) Object() string { return r.object }

// Batch returns the recalled batch.
func (r *Recall) Batch() string { return r.batch }

// Hosts is the platform's checked list of leaving hosts.
type Hosts struct{ leaving []string }

func (*Hosts) sealed()     {}
func (*Service) sealed()   {}
func (*Placement) sealed() {}
func (*Region) sealed()    {}
func (*Shift) sealed()     {}
func (*Drain) sealed()     {}
func (*Recall) sealed()    {}
