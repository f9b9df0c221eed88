package gossip

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"rosemarygrade.dev/lib/pkg/plan"
)

// Intervals of a small fleet, in which each host sends heartbeats to all others.
const (
	// regionInterval is the time between heartbeats to a host of the same region while the load changes.
	regionInterval = 100 * time.Millisecond
	// unchangedInterval is the same while the load does not change.
	unchangedInterval = 400 * time.Millisecond
	// remoteInterval is the time between heartbeats to remote regions, to which traffic is expensive.
	remoteInterval = 900 * time.Millisecond
	// failedInterval is the time between heartbeats to hosts that have failed.
	failedInterval = time.Second
)

// Tick sends the heartbeats that are due, adds the hosts of the store as peers and removes those that failed long ago.
// If urgent is set, it does not wait for the interval of heartbeats to hosts that are alive.
func (m *Membership) Tick(now time.Time, urgent bool) {
	m.originate(now)
	members := m.state.Members()
	hb := m.newHeartbeat(now)
	m.mu.Lock()
	defer m.unlockAndSend()
	for _, member := range members {
		if ip, err := netip.ParseAddr(member.IP); err == nil {
			m.addPeerLocked(now, ip)
		}
	}
	m.fleetSize = max(m.fleetSize, len(members))
	m.scanHosts(now)
	m.isWatcherLocked(now)
	hb.Incarnation, hb.Serving, hb.Store, hb.FleetSize, hb.AliveHosts = m.incarnation, m.serving, m.reportedStore(), m.peakHosts(), m.alive
	m.spread.welcomes, m.spread.replies = 0, 0
	if m.isLargeFleet() {
		m.askSilent(now, hb)
		m.askWatchers(now, hb)
		m.notifyStandbys(now, hb)
		m.sendToSome(now, hb, urgent)
		return
	}
	m.sendToAll(now, hb, urgent)
}

// newHeartbeat returns a heartbeat with what comes from the state and the table.
func (m *Membership) newHeartbeat(now time.Time) *heartbeat {
	hb := &heartbeat{
		Name: m.self.Name, DataCentre: m.self.DataCentre, StoreRecoveryAgeMillis: m.state.RecoveryAge(now).Milliseconds(),
	}
	for _, t := range plan.Topics() {
		hb.Revisions = append(hb.Revisions, m.state.ContentRevision(t))
	}
	m.mu.Lock()
	large := m.isLargeFleet()
	m.mu.Unlock()
	if large {
		hb.Warm = packWarm(m.table.WarmObjects(now, now.Add(-warmSpreadWindow), maxWarmObjects))
		return hb
	}
	hb.Load = packLoad(m.table.Reports(now))
	hb.Warm = packWarm(m.table.WarmObjects(now, now.Add(-unchangedInterval-regionInterval), maxWarmObjects))
	return hb
}

// scanHosts counts the hosts that are alive, logs new failures and removes the hosts that failed long ago.
func (m *Membership) scanHosts(now time.Time) {
	alive, removed := 1, false
	for _, h := range m.sorted {
		isAlive := m.isAlive(now, h)
		if h.loggedAlive != isAlive {
			m.logFailure(now, h, isAlive)
		}
		switch {
		case isAlive:
			alive++
		case now.Sub(h.lastHeartbeat) > removeAfter:
			if h.heard {
				m.heardHosts--
			}
			delete(m.hosts, h.address.Addr())
			removed = true
		}
	}
	if removed {
		m.sorted = slices.DeleteFunc(m.sorted, func(h *Host) bool { return m.hosts[h.address.Addr()] != h })
	}
	m.alive, m.peakAlive = alive, max(m.peakAlive, alive)
	m.timeouts = m.currentTimeouts()
}

// logFailure logs once when a host of the same data centre fails.
func (m *Membership) logFailure(now time.Time, h *Host, alive bool) {
	h.loggedAlive = alive
	if alive {
		return
	}
	m.elections.clear()
	if h.distance == SameDataCentre {
		m.log.Warn("host failed: no heartbeat within the timeout", "event", "silent", "host", h.Name(), "dataCentre", h.dataCentre,
			"heardMillisAgo", now.Sub(h.lastHeartbeat).Milliseconds())
	}
}

// sendToAll sends heartbeats to all hosts whose interval has passed, or to all that are alive if urgent is set.
func (m *Membership) sendToAll(now time.Time, hb *heartbeat, urgent bool) {
	regional := regionInterval
	if maps.Equal(hb.Load, m.lastLoad) {
		regional = unchangedInterval
	}
	m.lastLoad = hb.Load
	out := outbox{membership: m, heartbeat: hb}
	for _, h := range m.sorted {
		alive := m.isAlive(now, h)
		interval := failedInterval
		switch {
		case alive && h.region == m.self.Region:
			interval = regional
		case alive:
			interval = remoteInterval
		}
		if (urgent && alive) || now.Sub(h.lastSent) >= interval-regionInterval/2 {
			out.send(now, h, !alive)
		}
	}
}

// outbox sends one heartbeat to several hosts of a small fleet. It encodes each of its forms once: regular, and with
// records of the other hosts.
type outbox struct {
	membership           *Membership
	heartbeat            *heartbeat
	regular, withRecords message
}

// send sends the heartbeat to a host, with records if the host may not know all others.
func (o *outbox) send(now time.Time, h *Host, withRecords bool) {
	form := &o.regular
	if withRecords {
		form = &o.withRecords
	}
	if form.data == nil {
		hb := *o.heartbeat
		if withRecords {
			hb.Records = o.membership.selectRecords(now, h)
		}
		*form = o.membership.encode(&hb)
	}
	o.membership.send(now, h, *form)
}

// message is an encoded heartbeat. Data is nil if it could not be encoded.
type message struct {
	data  []byte
	sizes sectionBytes
}

// encode gives a heartbeat the next sequence number and encodes it.
func (m *Membership) encode(hb *heartbeat) message {
	m.seq++
	hb.Seq = m.seq
	data, sizes, err := hb.encode()
	if err != nil {
		m.log.Error("encoding a heartbeat failed", "event", "mesh", "error", err)
		return message{}
	}
	return message{data: data, sizes: sizes}
}

// outgoing is a message to a host.
type outgoing struct {
	to   netip.AddrPort
	data []byte
}

// send adds a message to those that unlockAndSend sends.
func (m *Membership) send(now time.Time, h *Host, msg message) {
	h.lastSent = now
	if msg.data != nil {
		m.traffic.add(h.distance, msg.sizes)
		m.outgoing = append(m.outgoing, outgoing{to: h.address, data: msg.data})
	}
}

// unlockAndSend unlocks mu and sends the messages that were added while it was locked.
func (m *Membership) unlockAndSend() {
	list := m.outgoing
	m.outgoing = nil
	m.mu.Unlock()
	for _, o := range list {
		if err := m.network.send(o.to, o.data); err != nil {
			m.log.Debug("sending a heartbeat failed", "event", "mesh", "address", o.to, "error", err)
		}
	}
}
