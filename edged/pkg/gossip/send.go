package gossip

import (
	"maps"
	"net/netip"
	"time"

	"rosemarygrade.dev/lib/pkg/plan"
)

// Tick sends the heartbeats that are due, adds the hosts of the store as peers and removes those that failed long ago.
// If urgent is set, it sends to all alive hosts without waiting for the interval, in a large fleet only to remoteFanout of
// those in remote regions.
func (m *Membership) Tick(now time.Time, urgent bool) {
	load := packLoad(m.table.Reports(now))
	warm := packWarm(m.table.WarmObjects(now, now.Add(-m.warmWindow())))
	members := m.state.Members()
	recoveryAge := m.state.RecoveryAge(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, member := range members {
		m.addPeerLocked(now, member.IP)
	}
	m.registered = len(members)
	hb := &heartbeat{
		Name: m.self.Name, DataCentre: m.self.DataCentre, Incarnation: m.incarnation, Serving: m.serving, Store: m.store,
		StoreRecoveryAgeMillis: recoveryAge.Milliseconds(), Load: load, Warm: warm,
	}
	for _, t := range plan.Topics() {
		hb.Revisions = append(hb.Revisions, m.state.ContentRevision(t))
	}
	m.peakAlive = max(m.peakAlive, m.countAlive(now)+1)
	unchanged := maps.Equal(load, m.lastLoad)
	m.lastLoad = load
	out := outbox{membership: m, heartbeat: hb}
	remote := m.remoteTargets(now, urgent)
	interval := m.heartbeatInterval(unchanged)
	for address, h := range m.hosts {
		sinceHeartbeat := now.Sub(h.lastHeartbeat)
		m.logFailure(now, h)
		switch {
		case sinceHeartbeat > removeAfter:
			delete(m.hosts, address)
		case remote[address]:
			out.send(now, h, !m.isAlive(now, h))
		case h.region != m.self.Region && h.region != "":
		case !m.isAlive(now, h):
			if now.Sub(h.lastSent) >= failedInterval {
				out.send(now, h, true)
			}
		case urgent || now.Sub(h.lastSent) >= interval-regionInterval/2:
			out.send(now, h, false)
		}
	}
}

// logFailure logs once when a host of the same region fails.
func (m *Membership) logFailure(now time.Time, h *Host) {
	alive := m.isAlive(now, h)
	if h.loggedAlive && !alive && h.region == m.self.Region {
		m.log.Warn("host failed: no heartbeat within the timeout", "event", "silent", "host", h.name, "dataCentre", h.dataCentre,
			"heardMillisAgo", now.Sub(h.lastHeartbeat).Milliseconds())
	}
	h.loggedAlive = alive
}

// isLargeFleet reports whether there are too many hosts for each to send heartbeats to all others.
func (m *Membership) isLargeFleet() bool { return len(m.hosts) > fullMeshHosts }

// warmWindow returns how long a newly warm object is advertised: long enough that one heartbeat may be lost.
func (m *Membership) warmWindow() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isLargeFleet() {
		return 2 * maxRegionInterval
	}
	return unchangedInterval + regionInterval
}

// heartbeatInterval returns the time between heartbeats to one host of the same region. In a large fleet it grows with
// the number of hosts in the region; otherwise it is longer while the load is unchanged.
func (m *Membership) heartbeatInterval(unchanged bool) time.Duration {
	if !m.isLargeFleet() {
		if unchanged {
			return unchangedInterval
		}
		return regionInterval
	}
	inRegion := 0
	for _, h := range m.hosts {
		if h.region == m.self.Region {
			inRegion++
		}
	}
	return min(maxRegionInterval, regionInterval*time.Duration(1+inRegion/regionFanout))
}

// remoteTargets returns the addresses of the hosts of remote regions that are to get a heartbeat now: in a large fleet
// a random remoteFanout of them every remoteInterval, otherwise each one whose interval has passed.
func (m *Membership) remoteTargets(now time.Time, urgent bool) map[string]bool {
	out := map[string]bool{}
	if m.isLargeFleet() && !urgent && now.Sub(m.remoteSentAt) < remoteInterval {
		return out
	}
	for address, h := range m.hosts {
		if h.region == m.self.Region || h.region == "" || now.Sub(h.lastHeartbeat) > removeAfter {
			continue
		}
		if m.isLargeFleet() {
			// The iteration order of a map is random, so the first remoteFanout hosts are a random choice.
			if m.remoteSentAt = now; len(out) < remoteFanout {
				out[address] = true
			}
			continue
		}
		interval := remoteInterval
		if !m.isAlive(now, h) {
			interval = failedInterval
		}
		if (urgent && m.isAlive(now, h)) || now.Sub(h.lastSent) >= interval-regionInterval/2 {
			out[address] = true
		}
	}
	return out
}

// outbox sends one heartbeat to several hosts. It encodes each form of it once: regular, withPeers (adds the addresses
// of all peers) and withoutLoad (leaves out load and warm objects).
type outbox struct {
	membership                      *Membership
	heartbeat                       *heartbeat
	regular, withPeers, withoutLoad []byte
}

// send sends the heartbeat to a host: withPeers if the host may not know all others, withoutLoad if it is in a remote
// region of a large fleet, and otherwise regular.
func (o *outbox) send(now time.Time, h *Host, withPeers bool) {
	h.lastSent = now
	data := &o.regular
	if withPeers {
		data = &o.withPeers
	} else if h.region != o.membership.self.Region && o.membership.isLargeFleet() {
		data = &o.withoutLoad
	}
	if *data == nil {
		hb := *o.heartbeat
		if data == &o.withoutLoad {
			hb.Load, hb.Warm = nil, nil
		}
		*data = o.membership.encode(&hb, withPeers)
	}
	o.membership.send(h.address, *data)
}

func (m *Membership) encode(hb *heartbeat, withPeers bool) []byte {
	m.seq++
	hb.Seq, hb.PeerIPs = m.seq, nil
	if withPeers {
		for _, h := range m.hosts {
			if h.name != "" {
				hb.PeerIPs = append(hb.PeerIPs, netip.MustParseAddrPort(h.address).Addr().String())
			}
		}
	}
	data, err := hb.encode()
	if err != nil {
		m.log.Error("encoding a heartbeat failed", "event", "mesh", "error", err)
	}
	return data
}

func (m *Membership) send(address string, data []byte) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		m.log.Error("heartbeat not sent: the peer's address is invalid", "event", "mesh", "address", address, "error", err)
		return
	}
	if _, err := m.conn.WriteToUDPAddrPort(data, to); err != nil {
		m.log.Debug("sending a heartbeat failed", "event", "mesh", "address", address, "error", err)
	}
}
