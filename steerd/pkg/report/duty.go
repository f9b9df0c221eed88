package report

import (
	"rosemarygrade.dev/lib/pkg/member"
	"rosemarygrade.dev/lib/pkg/peerpb"
	"rosemarygrade.dev/lib/pkg/rank"
	"rosemarygrade.dev/lib/pkg/store"
)

// duty remembers which objects this steerd reports, for as long as the list of steerds stays the same.
type duty struct {
	host    string
	members uint64
	centres []string
	hosts   map[string][]*peerpb.Member
	mine    map[store.Key]bool
}

// renew takes in the present steerds.
func (d *duty) renew(steerds []*peerpb.Member) {
	if h := member.Hash(steerds); d.mine == nil || h != d.members {
		d.members = h
		d.mine = map[store.Key]bool{}
		d.centres, d.hosts = nil, map[string][]*peerpb.Member{}
		for _, m := range steerds {
			if d.hosts[m.GetDataCentre()] == nil {
				d.centres = append(d.centres, m.GetDataCentre())
			}
			d.hosts[m.GetDataCentre()] = append(d.hosts[m.GetDataCentre()], m)
		}
	}
}

// has tells whether the object falls to this steerd: its data centre comes first by rank, and then
// the host in it, so that not every host is ranked for every object.
func (d *duty) has(key store.Key) bool {
	mine, known := d.mine[key]
	if known {
		return mine
	}
	role := "reporter/" + key.Kind + "/" + key.Name
	centre, _ := rank.First(role, d.centres, func(name string) string { return name })
	holder, ok := rank.First(role, d.hosts[centre], (*peerpb.Member).GetHost)
	d.mine[key] = ok && holder.GetHost() == d.host
	return d.mine[key]
}
