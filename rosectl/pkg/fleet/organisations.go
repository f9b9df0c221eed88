package fleet

import (
	"cmp"
	"slices"
	"strings"
)

// OrganisationState is what a host shows of an organisation.
type OrganisationState struct {
	Name string `json:"name"`
	// Keys maps the fingerprint of each key to the number of requests with it since the start of the process.
	Keys          map[string]int64 `json:"keys"`
	Priority      *int             `json:"priority,omitempty"`
	Regions       []string         `json:"regions,omitempty"`
	RatePerSecond float64          `json:"perSecond"`
	Burst         float64          `json:"burst"`
	Requests      int64            `json:"requests"`
	Rejected      int64            `json:"rejected"`
}

// Organisation is an organisation as the hosts with the newest configuration show it, with the counts of all hosts summed up.
type Organisation struct {
	OrganisationState
	// Hosts is the number of hosts whose configuration contains the organisation.
	Hosts int `json:"hosts"`
}

// Organisations sums up the organisations of hosts, sorted by name. Those that only hosts with an older configuration have are left out;
// of the others, so are withdrawn keys.
func Organisations(states []State) []Organisation {
	if len(states) == 0 {
		return nil
	}
	newest := slices.MaxFunc(states, func(a, b State) int { return cmp.Compare(a.ConfigVersion, b.ConfigVersion) })
	index := map[string]int{}
	out := make([]Organisation, 0, len(newest.Organisations))
	for _, o := range newest.Organisations {
		index[o.Name] = len(out)
		keys := make(map[string]int64, len(o.Keys))
		for fingerprint := range o.Keys {
			keys[fingerprint] = 0
		}
		o.Keys, o.Requests, o.Rejected = keys, 0, 0
		out = append(out, Organisation{OrganisationState: o})
	}
	for _, s := range states {
		for _, o := range s.Organisations {
			if i, found := index[o.Name]; found {
				out[i].add(o)
			}
		}
	}
	slices.SortFunc(out, func(a, b Organisation) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func (o *Organisation) add(s OrganisationState) {
	o.Hosts++
	o.Requests += s.Requests
	o.Rejected += s.Rejected
	for fingerprint, n := range s.Keys {
		if _, held := o.Keys[fingerprint]; held {
			o.Keys[fingerprint] += n
		}
	}
}
