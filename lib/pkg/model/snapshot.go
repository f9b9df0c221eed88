package model

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"rosemarygrade.dev/lib/pkg/wire"
)

// SiteID names a service's backend servers in one data centre.
type SiteID struct {
	Service    string
	DataCentre string
}

// String returns the id as one word.
func (id SiteID) String() string { return id.Service + "@" + id.DataCentre }

// Site is a service's backend servers in one data centre.
type Site struct {
	id      SiteID
	region  string
	servers []Server
	slots   int
}

// ID returns the site's id.
func (s *Site) ID() SiteID { return s.id }

// Region returns the region of the site's data centre.
func (s *Site) Region() string { return s.region }

// Servers returns the servers that may take new work.
func (s *Site) Servers() []Server { return s.servers }

// Slots returns how many requests the site takes at once.
func (s *Site) Slots() int { return s.slots }

// Snapshot is an immutable view of all objects in force.
type Snapshot struct {
	services map[string]*Service
	sites    map[SiteID]*Site
	byName   map[string][]*Site
	regions  map[string]*Region
	centres  map[string]string
	shifts   []*Shift
	drains   []*Drain
	recalls  []*Recall
	stops    map[string][]Exclusion
	leaving  map[string]bool
}

// NewSnapshot builds a snapshot. References to unknown objects are left out, not refused,
// because objects reach a process one at a time and in any order.
func NewSnapshot(objects []Object) *Snapshot {
	s := &Snapshot{
		services: map[string]*Service{}, sites: map[SiteID]*Site{}, byName: map[string][]*Site{},
		regions: map[string]*Region{}, centres: map[string]string{}, stops: map[string][]Exclusion{}, leaving: map[string]bool{},
	}
	var placements []*Placement
	for _, o := range objects {
		switch o := o.(type) {
		case *Service:
			s.services[o.name] = o
		case *Placement:
			placements = append(placements, o)
		case *Region:
			s.addRegion(o)
		case *Shift:
			s.shifts = append(s.shifts, o)
		case *Drain:
			s.drains = append(s.drains, o)
		case *Recall:
			s.recalls = append(s.recalls, o)
		case *Hosts:
			for _, h := range o.leaving {
				s.leaving[h] = true
			}
		}
	}
	slices.SortFunc(s.shifts, func(a, b *Shift) int { return cmp.Compare(a.name, b.name) })
	for _, p := range placements {
		s.addPlacement(p)
	}
	for _, sites := range s.byName {
		slices.SortFunc(sites, func(a, b *Site) int { return cmp.Compare(a.id.DataCentre, b.id.DataCentre) })
	}
	return s
}

func (s *Snapshot) addRegion(r *Region) {
	s.regions[r.name] = r
	for _, dc := range r.dataCentres {
		s.centres[dc] = r.name
	}
}

func (s *Snapshot) addPlacement(p *Placement) {
	for _, v := range p.servers {
		region, ok := s.centres[v.dataCentre]
		if !ok {
			continue
		}
		site := s.siteFor(SiteID{Service: p.service, DataCentre: v.dataCentre}, region)
		if stops := s.stopsOf(v); len(stops) > 0 {
			s.stops[v.address] = stops
			continue
		}
		site.servers = append(site.servers, v)
		site.slots += v.slots
	}
}

func (s *Snapshot) siteFor(id SiteID, region string) *Site {
	site, ok := s.sites[id]
	if !ok {
		site = &Site{id: id, region: region}
		s.sites[id] = site
		s.byName[id.Service] = append(s.byName[id.Service], site)
	}
	return site
}

// Exclusion is an object that keeps new work from a backend server.
type Exclusion struct {
	Kind string
	Name string
}

// Exclusions returns what keeps new work from the server at an address; none means that it may take work.
func (s *Snapshot) Exclusions(address string) []Exclusion { return s.stops[address] }

// stopsOf finds the drains, the recalls and the host list entry that name a server.
func (s *Snapshot) stopsOf(v Server) []Exclusion {
	var out []Exclusion
	for _, r := range s.recalls {
		if r.batch == v.batch {
			out = append(out, Exclusion{Kind: wire.KindRecall, Name: r.object})
		}
	}
	for _, d := range s.drains {
		if s.covers(d, v.dataCentre) {
			out = append(out, Exclusion{Kind: wire.KindDrain, Name: d.object})
		}
	}
	if s.hostLeaving(v.address) {
		out = append(out, Exclusion{Kind: wire.KindHosts, Name: wire.NameHosts})
	}
	return out
}

func (s *Snapshot) covers(d *Drain, dc string) bool {
	switch d.scope {
	case ScopeDataCentre:
		return d.name == dc
	case ScopeRegion:
		return d.name == s.centres[dc]
	default:
		return false
	}
}

func (s *Snapshot) hostLeaving(address string) bool {
	if len(s.leaving) == 0 {
		return false
	}
	ap, err := netip.ParseAddrPort(address)
	return s.leaving[address] || (err == nil && s.leaving[ap.Addr().String()])
}

// CentreDrained tells whether a drain names the data centre or its region.
func (s *Snapshot) CentreDrained(dc string) bool {
	for _, d := range s.drains {
		if s.covers(d, dc) {
			return true
		}
	}
	return false
}

// HostDrained tells whether a drain names the entry host or where it stands.
func (s *Snapshot) HostDrained(host, dc string) bool {
	for _, d := range s.drains {
		if d.scope == ScopeHost && d.name == host {
			return true
		}
	}
	return s.leaving[host] || s.CentreDrained(dc)
}

// Service returns the service of that name, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Services returns how many services there are.
func (s *Snapshot) Services() int { return len(s.services) }

// Site returns the site, or nil.
func (s *Snapshot) Site(id SiteID) *Site { return s.sites[id] }

// Sites returns every site.
func (s *Snapshot) Sites() map[SiteID]*Site { return s.sites }

// SitesOf returns the sites of a service, sorted by data centre.
func (s *Snapshot) SitesOf(service string) []*Site { return s.byName[service] }

// Region returns the region of that name, or nil.
func (s *Snapshot) Region(name string) *Region { return s.regions[name] }

// Regions returns every region.
func (s *Snapshot) Regions() map[string]*Region { return s.regions }

// RegionOf returns the region of a data centre.
func (s *Snapshot) RegionOf(dc string) string { return s.centres[dc] }

// ShiftsOf returns the shifts of a service that leave the region.
func (s *Snapshot) ShiftsOf(service, from string) []*Shift {
	var out []*Shift
	for _, sh := range s.shifts {
		if sh.service == service && sh.from == from {
			out = append(out, sh)
		}
	}
	return out
}

// ShiftNames returns the names of all shifts.
func (s *Snapshot) ShiftNames() []string {
	out := make([]string, 0, len(s.shifts))
	for _, sh := range s.shifts {
		out = append(out, sh.name)
	}
	return out
}

// Latency returns the latency of the link between two regions, and whether there is a link.
func (s *Snapshot) Latency(from, to string) (time.Duration, bool) {
	r := s.regions[from]
	if r == nil {
		return 0, false
	}
	for _, l := range r.links {
		if l.to == to {
			return l.latency, true
		}
	}
	return 0, false
}

// Route returns the service and route with the longest prefix that match a request.
func (s *Snapshot) Route(method, path string) (*Service, Route, bool) {
	var (
		bestService *Service
		best        Route
	)
	for _, svc := range s.services {
		for _, r := range svc.routes {
			if !r.matches(method, path) {
				continue
			}
			if bestService == nil || len(r.prefix) > len(best.prefix) || (len(r.prefix) == len(best.prefix) && svc.name < bestService.name) {
				bestService, best = svc, r
			}
		}
	}
	return bestService, best, bestService != nil
}

// CallerBlock is a block of callers and its region.
type CallerBlock struct {
	Prefix netip.Prefix
	Region string
}

// CallerBlocks returns every block of callers.
func (s *Snapshot) CallerBlocks() []CallerBlock {
	var out []CallerBlock
	for _, r := range s.regions {
		for _, p := range r.blocks {
			out = append(out, CallerBlock{Prefix: p, Region: r.name})
		}
	}
	return out
}
