package meter

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"

	"rosemarygrade.dev/lib/pkg/plan"
)

const (
	// maxOrganisations is how many organisations have metrics of their own: those with the most requests. A configuration may contain
	// thousands, and each label costs the systems that collect metrics.
	maxOrganisations = 20
	// otherOrganisations is the label of all others together. An organisation of this name counts as one of them.
	otherOrganisations = "other"
)

// organisationCounts counts the requests of one organisation.
type organisationCounts struct{ requests, rejected int64 }

func (c *organisationCounts) add(other organisationCounts) {
	c.requests += other.requests
	c.rejected += other.rejected
}

// organisations counts requests by organisation and by key, for those of the active configuration.
type organisations struct {
	mu     sync.Mutex
	byName map[string]organisationCounts
	byKey  map[plan.KeyHash]int64
	// removed sums up the organisations that are no longer in the configuration.
	removed organisationCounts
}

func newOrganisations() *organisations {
	return &organisations{byName: map[string]organisationCounts{}, byKey: map[plan.KeyHash]int64{}}
}

// RecordOrganisation counts a request that carries a key of an organisation.
func (s *Set) RecordOrganisation(name string, key plan.KeyHash) {
	o := s.organisations
	o.mu.Lock()
	defer o.mu.Unlock()
	counts := o.byName[name]
	counts.requests++
	o.byName[name] = counts
	o.byKey[key]++
}

// RecordOrganisationRejected counts a request that was rejected because of its organisation's quota.
func (s *Set) RecordOrganisationRejected(name string) {
	o := s.organisations
	o.mu.Lock()
	defer o.mu.Unlock()
	counts := o.byName[name]
	counts.rejected++
	o.byName[name] = counts
}

// OrganisationRequests returns how many requests and how many rejections of an organisation were counted.
func (s *Set) OrganisationRequests(name string) (requests, rejected int64) {
	o := s.organisations
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.byName[name].requests, o.byName[name].rejected
}

// KeyRequests returns how many requests with a key were counted.
func (s *Set) KeyRequests(key plan.KeyHash) int64 {
	o := s.organisations
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.byKey[key]
}

// PruneOrganisations drops the counts of keys that are not in the configuration, and adds those of organisations that are not in it to the
// others.
func (s *Set) PruneOrganisations(c *plan.Config) {
	o := s.organisations
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, counts := range o.byName {
		if c.OrganisationByName(name) == nil {
			o.removed.add(counts)
			delete(o.byName, name)
		}
	}
	for key := range o.byKey {
		if _, found := c.Organisation(key); !found {
			delete(o.byKey, key)
		}
	}
}

// samples returns the metrics of the organisations with the most requests, and of all others together.
func (o *organisations) samples() []Sample {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.byName) == 0 && o.removed == (organisationCounts{}) {
		return nil
	}
	names := slices.SortedFunc(maps.Keys(o.byName), func(a, b string) int {
		return cmp.Or(cmp.Compare(o.byName[b].requests, o.byName[a].requests), cmp.Compare(a, b))
	})
	var out []Sample
	add := func(name string, c organisationCounts) {
		label := fmt.Sprintf("organisation=%q", name)
		out = append(out, Sample{Family: OrganisationRequests, Labels: label, Value: c.requests}, Sample{Family: OrganisationRejected, Labels: label, Value: c.rejected})
	}
	others := o.removed
	for i, name := range names {
		if i < maxOrganisations && name != otherOrganisations {
			add(name, o.byName[name])
			continue
		}
		others.add(o.byName[name])
	}
	add(otherOrganisations, others)
	return out
}
