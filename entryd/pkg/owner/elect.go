package owner

import (
	"cmp"
	"slices"

	"rosemarygrade.dev/lib/pkg/model"
	"rosemarygrade.dev/lib/pkg/peerpb"
	"rosemarygrade.dev/lib/pkg/rank"
)

// Candidates orders the entryds that may own a site, the owner first: the site's data centre, then
// its region, then others; hosts that are leaving or drained come last and never own.
func Candidates(snap *model.Snapshot, site *model.Site, members []*peerpb.Member) (able, rest []*peerpb.Member) {
	for _, m := range members {
		if m.GetRole() != peerpb.Role_ROLE_ENTRYD {
			continue
		}
		if m.GetLeaving() || snap.HostDrained(m.GetHost(), m.GetDataCentre()) {
			rest = append(rest, m)
			continue
		}
		able = append(able, m)
	}
	if len(able) == 0 {
		able, rest = notLeaving(rest)
	}
	able = rank.Order("owner/"+site.ID().String(), able, (*peerpb.Member).GetHost)
	slices.SortStableFunc(able, func(a, b *peerpb.Member) int {
		return cmp.Compare(tier(site, a), tier(site, b))
	})
	return able, rest
}

// notLeaving keeps drained hosts as owners where there are no others.
func notLeaving(members []*peerpb.Member) (able, rest []*peerpb.Member) {
	for _, m := range members {
		if m.GetLeaving() {
			rest = append(rest, m)
			continue
		}
		able = append(able, m)
	}
	return able, rest
}

// Tiers of distance between a site and a host.
const (
	tierCentre = iota
	tierRegion
	tierAway
)

func tier(site *model.Site, m *peerpb.Member) int {
	switch {
	case m.GetDataCentre() == site.ID().DataCentre:
		return tierCentre
	case m.GetRegion() == site.Region():
		return tierRegion
	default:
		return tierAway
	}
}

// Of returns the owner of a site, or nil.
func Of(snap *model.Snapshot, site *model.Site, members []*peerpb.Member) *peerpb.Member {
	able, _ := Candidates(snap, site, members)
	if len(able) == 0 {
		return nil
	}
	return able[0]
}
