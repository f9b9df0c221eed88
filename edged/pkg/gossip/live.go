package gossip

import "time"

// rememberTime is how long a host of another data centre of a large fleet is counted as alive after its last heartbeat, while its data
// centre is not silent. Records of it arrive at random; hosts that fail alone are few.
const rememberTime = 30 * time.Second

// Live is what a host knows of the hosts that are alive.
type Live struct {
	hosts       []CallerHost
	alive, peak int
}

// Hosts returns the other hosts that are alive, whether they serve or not, in order of their IPs. In a large fleet they are complete for the own
// data centre only. Hosts of data centres that are silent are left out.
func (l Live) Hosts() []CallerHost { return l.hosts }

// Alive returns the number of hosts that are alive, this one included, of which Hosts may be a part.
func (l Live) Alive() int { return l.alive }

// Peak returns the highest number of hosts that the system is known to have had, this one included.
func (l Live) Peak() int { return l.peak }

// LiveHosts returns what this host knows of the hosts that are alive.
func (m *Membership) LiveHosts(now time.Time) Live {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := Live{hosts: make([]CallerHost, 0, len(m.sorted)), alive: 1, peak: m.peakHosts()}
	silent := map[string]bool{}
	for dataCentre := range m.freshest {
		silent[dataCentre] = m.isSilent(now, dataCentre)
	}
	remember := m.isLargeFleet()
	for _, h := range m.sorted {
		switch {
		case !h.heard || silent[h.dataCentre]:
		case m.isAlive(now, h):
			out.hosts = append(out.hosts, CallerHost{ip: h.address.Addr(), dataCentre: h.dataCentre, region: h.region})
			out.alive++
		case remember && h.distance != SameDataCentre && now.Sub(h.lastHeartbeat) < rememberTime:
			out.alive++
		}
	}
	// Hosts of which no heartbeat or record has arrived yet fail as often as the others.
	unheard := max(0, out.peak-m.peakHeard-1)
	out.alive += unheard * out.alive / (m.heardHosts + 1)
	out.alive = min(out.alive, out.peak)
	return out
}
