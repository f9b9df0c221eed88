package owner

import (
	"sync"

	"rosemarygrade.dev/lib/pkg/model"
	"rosemarygrade.dev/lib/pkg/peerpb"
	"rosemarygrade.dev/lib/pkg/rank"
)

// Directory maps each site to its owner, for one configuration and one list of members. The owner
// is chosen by rendezvous hashing among the hosts of the site's data centre; if there are none,
// among those of its region; else among all. It is safe for concurrent use.
type Directory struct {
	centres map[string][]*peerpb.Member
	regions map[string][]*peerpb.Member
	all     []*peerpb.Member
	// former lists the hosts that are leaving or drained. They own no site in this directory but
	// may not have released their sites yet.
	former []*peerpb.Member
	owners sync.Map
}

// NewDirectory returns the directory of the configuration and members. Drained hosts own sites only
// if there are no other hosts.
func NewDirectory(snap *model.Snapshot, members []*peerpb.Member) *Directory {
	var eligible, drained, leaving []*peerpb.Member
	for _, m := range members {
		switch {
		case m.GetRole() != peerpb.Role_ROLE_ENTRYD:
		case m.GetLeaving():
			leaving = append(leaving, m)
		case snap.HostDrained(m.GetHost(), m.GetDataCentre()):
			drained = append(drained, m)
		default:
			eligible = append(eligible, m)
		}
	}
	if len(eligible) == 0 {
		eligible, drained = drained, nil
	}
	d := &Directory{
		centres: map[string][]*peerpb.Member{}, regions: map[string][]*peerpb.Member{},
		all: eligible, former: append(leaving, drained...),
	}
	for _, m := range eligible {
		d.centres[m.GetDataCentre()] = append(d.centres[m.GetDataCentre()], m)
		d.regions[m.GetRegion()] = append(d.regions[m.GetRegion()], m)
	}
	return d
}

// nearest returns the hosts among which the site's owner is chosen.
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

// Owner returns the owner of a site, or nil if no host can own it.
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

// OtherCandidates returns the hosts besides the owner that may still own a site under an older
// view: up to n by rank, first among the nearest hosts and then among those of the region, and all
// former hosts.
func (d *Directory) OtherCandidates(site *model.Site, n int) []*peerpb.Member {
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
	return append(out, d.former...)
}

// DirectoryCache holds the directory of the latest configuration and members. It is safe for
// concurrent use.
type DirectoryCache struct {
	mu      sync.Mutex
	snap    *model.Snapshot
	members []*peerpb.Member
	dir     *Directory
}

// For returns the directory, rebuilt if the configuration or the members have changed. Lists of
// members are immutable, so the same list means the same members.
func (d *DirectoryCache) For(snap *model.Snapshot, members []*peerpb.Member) *Directory {
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
