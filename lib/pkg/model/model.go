// Package model holds the configuration objects of entryd and steerd in their internal form: validated,
// immutable and read through accessors. Package wire holds the form in which operators write them.
package model

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Object is a validated configuration object.
type Object interface{ isObject() }

// Service is a validated service.
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

// Background reports whether the service's requests have a lower priority than live requests.
func (s *Service) Background() bool { return s.background }

// Deadline returns the longest time that a request may take.
func (s *Service) Deadline() time.Duration { return s.deadline }

// MaxBody returns the largest allowed request body in bytes.
func (s *Service) MaxBody() int64 { return s.maxBody }

// RetryShare returns the retry budget as a share of the requests, from 0 to 1.
func (s *Service) RetryShare() float64 { return s.retryShare }

// HedgeShare returns the hedging budget as a share of the requests, from 0 to 1.
func (s *Service) HedgeShare() float64 { return s.hedgeShare }

// KeyOptional reports whether a non-idempotent request may lack a request key.
func (s *Service) KeyOptional() bool { return s.keyOptional }

// EchoOptional reports whether responses of backend servers may lack the request ID.
func (s *Service) EchoOptional() bool { return s.echoOptional }

// Route selects requests of a service by path prefix and method.
type Route struct {
	prefix        string
	methods       []string
	nonIdempotent bool
}

// NonIdempotent reports whether a request of the route may run at most once.
func (r Route) NonIdempotent() bool { return r.nonIdempotent }

func (r Route) matches(method, path string) bool {
	if !strings.HasPrefix(path, r.prefix) {
		return false
	}
	return len(r.methods) == 0 || slices.Contains(r.methods, method)
}

// Placement is the validated list of a service's backend servers.
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

// Batch returns the label by which a recall selects the server.
func (s Server) Batch() string { return s.batch }

// Slots returns how many requests the server runs at a time.
func (s Server) Slots() int { return s.slots }

// Region is a validated region.
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

// Links returns the links from the region to other regions.
func (r *Region) Links() []Link { return r.links }

// Blocks returns the address blocks of the region's callers.
func (r *Region) Blocks() []netip.Prefix { return r.blocks }

// MaxHosts returns the largest number of entry hosts that share the region's links.
func (r *Region) MaxHosts() int { return r.maxHosts }

// Link is a directed link to another region.
type Link struct {
	to             string
	bytesPerSecond int64
	latency        time.Duration
}

// To returns the region that the link leads to.
func (l Link) To() string { return l.to }

// BytesPerSecond returns the link's capacity.
func (l Link) BytesPerSecond() int64 { return l.bytesPerSecond }

// Latency returns the one-way latency.
func (l Link) Latency() time.Duration { return l.latency }

// Shift is a validated traffic shift: it moves a share of a service's requests from one region to another.
type Shift struct {
	name     string
	service  string
	from     string
	to       string
	capShare float64
	ramp     time.Duration
}

// Name returns the shift's name.
func (s *Shift) Name() string { return s.name }

// Service returns the service whose requests move.
func (s *Shift) Service() string { return s.service }

// From returns the region that requests are moved from.
func (s *Shift) From() string { return s.from }

// To returns the region that requests are moved to.
func (s *Shift) To() string { return s.to }

// Cap returns the largest share of requests that may be moved, from 0 to 1.
func (s *Shift) Cap() float64 { return s.capShare }

// Ramp returns the time over which the share grows to the cap.
func (s *Shift) Ramp() time.Duration { return s.ramp }

// Scope is the type of thing that a drain takes out of use: a data centre, a region or a host.
type Scope string

// Scopes of a drain.
const (
	ScopeDataCentre Scope = "dataCentre"
	ScopeRegion     Scope = "region"
	ScopeHost       Scope = "host"
)

// Drain is a validated drain: it takes a data centre, a region or an entry host out of use.
type Drain struct {
	object string
	scope  Scope
	name   string
}

// Object returns the name of the drain object.
func (d *Drain) Object() string { return d.object }

// Scope returns the type of thing that the drain takes out of use.
func (d *Drain) Scope() Scope { return d.scope }

// Name returns the name of the data centre, region or host that the drain takes out of use.
func (d *Drain) Name() string { return d.name }

// Recall is a validated recall: it takes every backend server of a batch out of use.
type Recall struct {
	object string
	batch  string
}

// Object returns the name of the recall object.
func (r *Recall) Object() string { return r.object }

// Batch returns the batch that is recalled.
func (r *Recall) Batch() string { return r.batch }

// Hosts is the platform's list of leaving hosts, each by address, IP or name.
type Hosts struct{ leaving []string }

func (*Hosts) isObject()     {}
func (*Service) isObject()   {}
func (*Placement) isObject() {}
func (*Region) isObject()    {}
func (*Shift) isObject()     {}
func (*Drain) isObject()     {}
func (*Recall) isObject()    {}
