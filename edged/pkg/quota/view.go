package quota

import (
	"net/netip"
	"slices"
	"time"

	"rosemarygrade.dev/lib/pkg/rank"
)

// Peer is a host that this one believes alive.
type Peer struct {
	IP         netip.Addr
	DataCentre string
}

// View is what a host knows of the fleet. In a large fleet a host knows all hosts of its own data centre and a part of the others.
type View struct {
	// Peers are the other hosts that are alive.
	Peers []Peer
	// Alive is the number of hosts that are alive, this one included, of which Peers may be a part.
	Alive int
	// Peak is the highest number of hosts that the fleet is known to have had.
	Peak int
}

const (
	// settleTime is how long a process that has started must have known the same number of hosts, at least one other, before it acts as coordinator
	// and trusts that number. A host learns of the others within about a second.
	settleTime = time.Second
	// maxSettleTime is the time after which it does so in any case.
	maxSettleTime = 5 * time.Second
	// unknownPeak is the number of hosts that a host assumes at least until then.
	unknownPeak = 300
	// staleView is the age of the view from which the process must have been suspended, so that another host may have become
	// coordinator.
	staleView = time.Second
	// maxTopologies bounds the history of views.
	maxTopologies = 16
)

// topology is the part of the view that determines which organisations this host coordinates. All hosts of a data centre agree on it but
// for the time in which a change spreads.
type topology struct {
	from        time.Duration
	dataCentres []string
	// own are the hosts of this host's data centre.
	own []netip.Addr
}

// elected is the coordinator of an organisation.
type elected struct {
	ip         netip.Addr
	dataCentre string
}

func ipName(a netip.Addr) string { return a.String() }

// elects reports whether a host is the coordinator: the first in rendezvous order of the first data centre.
func (t *topology) elects(organisation, dataCentre string, self netip.Addr) bool {
	if first, ok := rank.First(organisation, t.dataCentres, func(s string) string { return s }); !ok || first != dataCentre {
		return false
	}
	first, ok := rank.First(organisation, t.own, ipName)
	return ok && first == self
}

// SetView tells the node which hosts are alive. It must be called at least every staleView/2.
func (n *Node) SetView(now time.Duration, v View) {
	if n.viewAt != 0 && now-n.viewAt > staleView {
		clear(n.buckets)
		n.topologies, n.settledAt = nil, 0
		n.startedAt, n.peakAt = now, now
	}
	n.viewAt = now
	v.Peak, v.Alive = max(1, v.Peak, v.Alive), max(1, v.Alive)
	if v.Peak != n.view.Peak {
		n.peakAt = now
	}
	if v.Alive < n.view.Alive {
		n.lostAt = now
	}
	if n.settledAt == 0 && ((len(v.Peers) > 0 && now-n.peakAt >= settleTime) || now-n.startedAt >= maxSettleTime) {
		n.settledAt = now
	}
	changed := !slices.Equal(v.Peers, n.view.Peers)
	n.view = v
	if changed || n.elected == nil {
		n.elected = map[string]elected{}
		n.members = map[string][]netip.Addr{n.dataCentre: {n.self}}
		for _, p := range v.Peers {
			n.members[p.DataCentre] = append(n.members[p.DataCentre], p.IP)
		}
	}
	// Also before this host acts as coordinator: the others know of it from its first heartbeat on.
	if changed || len(n.topologies) == 0 {
		n.updateTopology(now)
	}
}

func (n *Node) updateTopology(now time.Duration) {
	t := topology{from: now, own: n.members[n.dataCentre]}
	for dataCentre := range n.members {
		t.dataCentres = append(t.dataCentres, dataCentre)
	}
	slices.Sort(t.dataCentres)
	if len(n.topologies) > 0 {
		last := n.topologies[len(n.topologies)-1]
		if slices.Equal(last.dataCentres, t.dataCentres) && slices.Equal(last.own, t.own) {
			return
		}
	}
	if len(n.topologies) == maxTopologies {
		n.topologies = slices.Delete(n.topologies, 0, 1)
	}
	n.topologies = append(n.topologies, t)
	for organisation := range n.buckets {
		if !t.elects(organisation, n.dataCentre, n.self) {
			delete(n.buckets, organisation)
		}
	}
}

// coordinatorSince returns since when this host has been the coordinator of an organisation; ok is false if it is not.
func (n *Node) coordinatorSince(now time.Duration, organisation string) (since time.Duration, ok bool) {
	if n.settledAt == 0 || now-n.viewAt > staleView {
		return 0, false
	}
	for _, t := range slices.Backward(n.topologies) {
		if !t.elects(organisation, n.dataCentre, n.self) {
			break
		}
		since, ok = t.from, true
	}
	return since, ok
}

// elect returns the host that is the coordinator of an organisation as far as this one knows. It may know only a part of the hosts of
// another data centre; each of these knows the coordinator among them.
func (n *Node) elect(organisation string) elected {
	if e, found := n.elected[organisation]; found {
		return e
	}
	dataCentres := make([]string, 0, len(n.members))
	for dataCentre := range n.members {
		dataCentres = append(dataCentres, dataCentre)
	}
	dataCentre, _ := rank.First(organisation, dataCentres, func(s string) string { return s })
	e := elected{dataCentre: dataCentre}
	// Each data centre in the map has a host.
	e.ip, _ = rank.First(organisation, n.members[dataCentre], ipName)
	if len(n.elected) < maxOrganisations {
		n.elected[organisation] = e
	}
	return e
}
