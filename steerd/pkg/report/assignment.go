package report

import (
	"rosemarygrade.dev/lib/pkg/member"
	"rosemarygrade.dev/lib/pkg/peerpb"
	"rosemarygrade.dev/lib/pkg/rank"
	"rosemarygrade.dev/lib/pkg/store"
)

// assignment decides which objects this steerd reports. It caches the decisions until the list of
// steerds changes.
type assignment struct {
	host string
	// steerdsHash is the hash of the list of steerds.
	steerdsHash uint64
	dataCentres []string
	// steerds holds the steerds of each data centre.
	steerds map[string][]*peerpb.Member
	elected map[store.Key]bool
}

// update sets the list of steerds and clears the cached decisions if the list has changed.
func (a *assignment) update(steerds []*peerpb.Member) {
	if h := member.Hash(steerds); a.elected == nil || h != a.steerdsHash {
		a.steerdsHash = h
		a.elected = map[store.Key]bool{}
		a.dataCentres, a.steerds = nil, map[string][]*peerpb.Member{}
		for _, m := range steerds {
			if a.steerds[m.GetDataCentre()] == nil {
				a.dataCentres = append(a.dataCentres, m.GetDataCentre())
			}
			a.steerds[m.GetDataCentre()] = append(a.steerds[m.GetDataCentre()], m)
		}
	}
}

// isElected reports whether this steerd is the reporter of the object. Rendezvous hashing selects a data
// centre and then a host in it, so that not every host is scored for every object.
func (a *assignment) isElected(key store.Key) bool {
	elected, cached := a.elected[key]
	if cached {
		return elected
	}
	role := "reporter/" + key.Kind + "/" + key.Name
	dataCentre, _ := rank.First(role, a.dataCentres, func(name string) string { return name })
	reporter, ok := rank.First(role, a.steerds[dataCentre], (*peerpb.Member).GetHost)
	a.elected[key] = ok && reporter.GetHost() == a.host
	return a.elected[key]
}
