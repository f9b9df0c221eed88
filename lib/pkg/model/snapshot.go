package model

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"rosemarygrade.dev/lib/pkg/wire"
)

// SiteID identifies a site by its service and data centre.
type SiteID struct {
	Service    string
	DataCentre string
}

// String returns the ID as "service@dataCentre".
func (id SiteID) String() string { return id.Service + "@" + id.DataCentre }

// Site is the group of a service's backend servers in one data centre.
type Site struct {
	id      SiteID
	region  string
	servers []Server
	slots   int
}

// ID returns the site's ID.
func (s *Site) ID() SiteID { return s.id }

// Region returns the region of the site's data centre.
func (s *Site) Region() string { return s.region }

// Servers returns the servers that may get new requests.
func (s *Site) Servers() []Server { return s.servers }

// Slots returns how many requests the servers run at a time, all together.
func (s *Site) Slots() int { return s.slots }

// Snapshot is an immutable view of all active objects.
type Snapshot struct {
	services       map[string]*Service
	sites          map[SiteID]*Site
	sitesByService map[string][]*Site
	regions        map[string]*Region
	regionByCentre map[string]string
	shifts         []*Shift
	drains         []*Drain
	recalls        []*Recall
	exclusions     map[string][]Exclusion
	leaving        map[string]bool
}

// NewSnapshot builds a snapshot. An object that refers to one that does not exist is no error: the reference is
// left out, because objects reach a process one at a time and in any order.
func NewSnapshot(objects []Object) *Snapshot {
	s := &Snapshot{
		services: map[string]*Service{}, sites: map[SiteID]*Site{}, sitesByService: map[string][]*Site{},
		regions: map[string]*Region{}, regionByCentre: map[string]string{}, exclusions: map[string][]Exclusion{}, leaving: map[string]bool{},
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
	for _, sites := range s.sitesByService {
		slices.SortFunc(sites, func(a, b *Site) int { return cmp.Compare(a.id.DataCentre, b.id.DataCentre) })
	}
	return s
}

func (s *Snapshot) addRegion(r *Region) {
	s.regions[r.name] = r
	for _, dc := range r.dataCentres {
		s.regionByCentre[dc] = r.name
	}
}

func (s *Snapshot) addPlacement(p *Placement) {
	for _, v := range p.servers {
		region, ok := s.regionByCentre[v.dataCentre]
		if !ok {
			continue
		}
		site := s.siteFor(SiteID{Service: p.service, DataCentre: v.dataCentre}, region)
		if exclusions := s.exclusionsOf(v); len(exclusions) > 0 {
			s.exclusions[v.address] = exclusions
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
		s.sitesByService[id.Service] = append(s.sitesByService[id.Service], site)
	}
	return site
}

// Exclusion names an object that excludes a backend server from new requests.
type Exclusion struct {
	Kind string
	Name string
}

// Exclusions returns the objects that exclude the server at an address from new requests, if any.
func (s *Snapshot) Exclusions(address string) []Exclusion { return s.exclusions[address] }

// exclusionsOf returns the recalls, the drains and the host list that apply to a server.
func (s *Snapshot) exclusionsOf(v Server) []Exclusion {
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
		return d.name == s.regionByCentre[dc]
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

// CentreDrained reports whether a drain names the data centre or its region.
func (s *Snapshot) CentreDrained(dc string) bool {
	for _, d := range s.drains {
		if s.covers(d, dc) {
			return true
		}
	}
	return false
}

// HostDrained reports whether the entry host is leaving, or a drain names it, its data centre or its region.
func (s *Snapshot) HostDrained(host, dc string) bool {
	for _, d := range s.drains {
		if d.scope == ScopeHost && d.name == host {
			return true
		}
	}
	return s.leaving[host] || s.CentreDrained(dc)
}

// Service returns the service with that name, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Services returns the number of services.
func (s *Snapshot) Services() int { return len(s.services) }

// Site returns the site with that ID, or nil.
func (s *Snapshot) Site(id SiteID) *Site { return s.sites[id] }

// Sites returns all sites. The map must not be changed.
func (s *Snapshot) Sites() map[SiteID]*Site { return s.sites }

// SitesOf returns the sites of a service, sorted by data centre.
func (s *Snapshot) SitesOf(service string) []*Site { return s.sitesByService[service] }

// Region returns the region with that name, or nil.
func (s *Snapshot) Region(name string) *Region { return s.regions[name] }

// Regions returns all regions. The map must not be changed.
func (s *Snapshot) Regions() map[string]*Region { return s.regions }

// RegionOf returns the region of a data centre, or an empty string.
func (s *Snapshot) RegionOf(dc string) string { return s.regionByCentre[dc] }

// ShiftsOf returns the shifts that move a service's requests from the region, sorted by name.
func (s *Snapshot) ShiftsOf(service, from string) []*Shift {
	var out []*Shift
	for _, sh := range s.shifts {
		if sh.service == service && sh.from == from {
			out = append(out, sh)
		}
	}
	return out
}

// ShiftNames returns the sorted names of all shifts.
func (s *Snapshot) ShiftNames() []string {
	out := make([]string, 0, len(s.shifts))
	for _, sh := range s.shifts {
		out = append(out, sh.name)
	}
	return out
}

// Latency returns the one-way latency of the link from one region to another, and whether there is a link.
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

// Route returns the matching route with the longest prefix, its service, and whether there is one. If routes of two
// services have the same prefix, the service whose name sorts first wins.
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

// CallerBlock is a block of caller addresses with its region.
type CallerBlock struct {
	Prefix netip.Prefix
	Region string
}

// CallerBlocks returns the blocks of all regions.
func (s *Snapshot) CallerBlocks() []CallerBlock {
	var out []CallerBlock
	for _, r := range s.regions {
		for _, p := range r.blocks {
			out = append(out, CallerBlock{Prefix: p, Region: r.name})
		}
	}
	return out
}
