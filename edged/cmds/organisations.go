package cmds

import "rosemarygrade.dev/lib/pkg/plan"

// organisationState is what operators read of an organisation. It holds no complete hash of a key.
type organisationState struct {
	Name string `json:"name"`
	// Keys maps the fingerprint of each key to the number of requests with it on this host since its start.
	Keys map[string]int64 `json:"keys"`
	// Priority is missing where that of the route counts, Regions where all are allowed.
	Priority      *int     `json:"priority,omitempty"`
	Regions       []string `json:"regions,omitempty"`
	RatePerSecond float64  `json:"perSecond"`
	Burst         float64  `json:"burst"`
	Requests      int64    `json:"requests"`
	Rejected      int64    `json:"rejected"`
}

// organisationStates returns the state of each organisation of a configuration, sorted by name.
func (p *process) organisationStates(c *plan.Config) []organisationState {
	list := c.Organisations()
	out := make([]organisationState, 0, len(list))
	for _, o := range list {
		s := organisationState{Name: o.Name(), Keys: map[string]int64{}, Regions: o.AllowedRegions(), RatePerSecond: o.RatePerSecond(), Burst: o.Burst()}
		for _, h := range o.KeyHashes() {
			s.Keys[h.Fingerprint()] += p.meter.KeyRequests(h)
		}
		if priority, ok := o.Priority(); ok {
			s.Priority = &priority
		}
		s.Requests, s.Rejected = p.meter.OrganisationRequests(o.Name())
		out = append(out, s)
	}
	return out
}
