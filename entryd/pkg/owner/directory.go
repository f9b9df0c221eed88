package owner

import (
	"sync"

	"rosemarygrade.dev/lib/pkg/model"
	"rosemarygrade.dev/lib/pkg/peerpb"
	"rosemarygrade.dev/lib/pkg/rank"
)

// Directory tells who owns which site, for one configuration and one list of members. The nearest
// hosts to a site own it: those of its data centre, else of its region, else any. It is safe for
// concurrent use.
type Directory struct {
	centres map[string][]*peerpb.Member
	regions map[string][]*peerpb.Member
	all     []*peerpb.Member
	// rest are hosts that are leaving or drained; they may still hold a site but own none.
	rest   []*peerpb.Member
	owners sync.Map
}

// NewDirectory builds a directory. Drained hosts own sites only where there are no others.
func NewDirectory(snap *model.Snapshot, members []*peerpb.Member) *Directory {
	var able, drained, leaving []*peerpb.Member
	for _, m := range members {
		switch {
		case m.GetRole() != peerpb.Role_ROLE_ENTRYD:
		case m.GetLeaving():
			leaving = append(leaving, m)
		case snap.HostDrained(m.GetHost(), m.GetDataCentre()):
			drained = append(drained, m)
		default:
			able = append(able, m)
		}
	}
	if len(able) == 0 {
		able, drained = drained, nil
	}
	d := &Directory{
		centres: map[string][]*peerpb.Member{}, regions: map[string][]*peerpb.Member{},
		all: able, rest: append(leaving, drained...),
	}
	for _, m := range able {
		d.centres[m.GetDataCentre()] = append(d.centres[m.GetDataCentre()], m)
		d.regions[m.GetRegion()] = append(d.regions[m.GetRegion()], m)
	}
	return d
}

// nearest returns the hosts of which the first by rank owns the site.
func (d *Directory) nearest(site *model.Site) []*peerpb.Member {
	if near := d.centres[site.ID().DataCentre]; len(near) > 0 {
		return near
	}
	if near := d.regions[site.Region()]; len(near) > 0 {
		return near
	}
	return d.all
}

func role(site *model.Site) string { return "owner/" + site.ID().String() }

// Owner returns the owner of a site, or nil.
func (d *Directory) Owner(site *model.Site) *peerpb.Member {
	if m, ok := d.owners.Load(site.ID()); ok {
		found, _ := m.(*peerpb.Member)
		return found
	}
	first, ok := rank.First(role(site), d.nearest(site), (*peerpb.Member).GetHost)
	if ok {
		d.owners.Store(site.ID(), first)
	}
	return first
}

// Others returns hosts besides the owner that may hold a site: the next ones by rank among the
// nearest, among those of the region, and the ones that own nothing any more.
func (d *Directory) Others(site *model.Site, n int) []*peerpb.Member {
	first := d.Owner(site)
	seen := map[uint64]bool{first.GetIncarnation(): true}
	var out []*peerpb.Member
	for _, tier := range [][]*peerpb.Member{d.nearest(site), d.regions[site.Region()]} {
		for _, m := range rank.Order(role(site), tier, (*peerpb.Member).GetHost) {
			if len(out) < n && !seen[m.GetIncarnation()] {
				seen[m.GetIncarnation()] = true
				out = append(out, m)
			}
		}
	}
	return append(out, d.rest...)
}

// Directories keeps the directory of the present configuration and members. It is safe for
// concurrent use.
type Directories struct {
	mu      sync.Mutex
	snap    *model.Snapshot
	members []*peerpb.Member
	dir     *Directory
}

// For returns the directory, built anew if either has changed. A list of members is never changed
// in place, so the same list is the same members.
func (d *Directories) For(snap *model.Snapshot, members []*peerpb.Member) *Directory {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.dir == nil || d.snap != snap || !sameList(d.members, members) {
		d.snap, d.members, d.dir = snap, members, NewDirectory(snap, members)
	}
	return d.dir
}

func sameList(a, b []*peerpb.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
