// Package fleet summarizes the states of many edged processes: which are behind, not ready, or taken for failed by others.
package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// State is what a summary uses of the state dump of an edged.
type State struct {
	Host       string `json:"host"`
	DataCentre string `json:"dataCentre"`
	Ready      bool   `json:"ready"`
	// Revisions maps each kind of resource to the store's revision up to which the host has it.
	Revisions map[string]uint64 `json:"revisions"`
	InFlight  int64             `json:"inFlight"`
	Waiting   int               `json:"waiting"`
	Watcher   bool              `json:"watcher"`
	// SentBytes is what the host has sent to others since its start.
	SentBytes int64 `json:"sentBytes"`
	// Hosts maps the names of the other hosts that it believes alive to their data centres.
	Hosts map[string]string `json:"hosts"`
	// ConfigVersion is the version of the active configuration.
	ConfigVersion uint64              `json:"configVersion"`
	Organisations []OrganisationState `json:"organisations"`
}

// DataCentre sums up the hosts of a data centre.
type DataCentre struct {
	Name      string `json:"name"`
	Hosts     int    `json:"hosts"`
	Ready     int    `json:"ready"`
	Behind    int    `json:"behind"`
	Watchers  int    `json:"watchers"`
	InFlight  int64  `json:"inFlight"`
	Waiting   int    `json:"waiting"`
	SentBytes int64  `json:"sentBytes"`
}

// Finding is something about a host that an operator should look at.
type Finding struct {
	Host       string `json:"host"`
	DataCentre string `json:"dataCentre"`
	Reason     string `json:"reason"`
}

// Summary is the state of a fleet.
type Summary struct {
	DataCentres []DataCentre `json:"dataCentres"`
	Findings    []Finding    `json:"findings"`
}

// Summarize returns the summary of the states of hosts, sorted by data centre and host. A host is behind if another one has a
// newer revision of a kind of resource. Each host of a data centre is to believe all others of it alive.
func Summarize(states []State) Summary {
	newest := map[string]uint64{}
	byDataCentre := map[string][]State{}
	for _, s := range states {
		for kind, revision := range s.Revisions {
			newest[kind] = max(newest[kind], revision)
		}
		byDataCentre[s.DataCentre] = append(byDataCentre[s.DataCentre], s)
	}
	var out Summary
	for _, name := range slices.Sorted(maps.Keys(byDataCentre)) {
		hosts := byDataCentre[name]
		slices.SortFunc(hosts, func(a, b State) int { return cmp.Compare(a.Host, b.Host) })
		sum := DataCentre{Name: name, Hosts: len(hosts)}
		for _, s := range hosts {
			reasons := behind(s, newest)
			sum.add(s, len(reasons) > 0)
			if !s.Ready {
				reasons = append(reasons, "not ready")
			}
			if n := doubters(s, hosts); n > 0 {
				reasons = append(reasons, fmt.Sprintf("taken for failed by %d of %d other hosts of its data centre", n, len(hosts)-1))
			}
			for _, r := range reasons {
				out.Findings = append(out.Findings, Finding{Host: s.Host, DataCentre: name, Reason: r})
			}
		}
		out.DataCentres = append(out.DataCentres, sum)
	}
	return out
}

func (d *DataCentre) add(s State, behind bool) {
	count := func(n *int, on bool) {
		if on {
			*n++
		}
	}
	count(&d.Ready, s.Ready)
	count(&d.Behind, behind)
	count(&d.Watchers, s.Watcher)
	d.InFlight += s.InFlight
	d.Waiting += s.Waiting
	d.SentBytes += s.SentBytes
}

// behind returns a reason for each kind of resource of which a newer revision is known.
func behind(s State, newest map[string]uint64) []string {
	var out []string
	for _, kind := range slices.Sorted(maps.Keys(newest)) {
		if s.Revisions[kind] < newest[kind] {
			out = append(out, fmt.Sprintf("behind: %s at revision %d, newest %d", kind, s.Revisions[kind], newest[kind]))
		}
	}
	return out
}

// doubters returns how many of the other hosts do not believe a host alive.
func doubters(s State, hosts []State) int {
	n := 0
	for _, other := range hosts {
		if _, known := other.Hosts[s.Host]; other.Host != s.Host && !known {
			n++
		}
	}
	return n
}
