package gossip

import (
	"maps"
	"net/netip"
	"time"

	"rosemarygrade.dev/lib/pkg/plan"
)

// Tick sends beats that are due. urgent sends to all of the region.
func (m *Membership) Tick(now time.Time, urgent bool) {
	work := packWork(m.table.Reports(now))
	warm := packWarm(m.table.WarmObjects(now, now.Add(-m.warmSpan())))
	members := m.state.Members()
	back := m.state.BackAge(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, mem := range members {
		m.meet(now, mem.IP)
	}
	m.declared = len(members)
	b := &beat{
		Name: m.self.Name, DataCentre: m.self.DataCentre, Incarnation: m.inc, Serving: m.serving, Store: m.store,
		BackMillis: back.Milliseconds(), Work: work, Warm: warm,
	}
	for _, t := range plan.Topics() {
		b.Revisions = append(b.Revisions, m.state.Content(t))
	}
	m.most = max(m.most, m.countLive(now)+1)
	same := maps.Equal(work, m.lastWork)
	m.lastWork = work
	out := mail{mesh: m, beat: b}
	far := m.farTargets(now, urgent)
	near := m.nearEvery(same)
	for address, h := range m.hosts {
		silent := now.Sub(h.heard)
		m.note(now, h)
		switch {
		case silent > forgetAfter:
			delete(m.hosts, address)
		case far[address]:
			out.send(now, h, !m.alive(now, h))
		case h.region != m.self.Region && h.region != "":
		case !m.alive(now, h):
			if now.Sub(h.sent) >= deadEvery {
				out.send(now, h, true)
			}
		case urgent || now.Sub(h.sent) >= near-tickEvery/2:
			out.send(now, h, false)
		}
	}
}

// note logs once that a host of the region is not heard any more.
func (m *Membership) note(now time.Time, h *Host) {
	alive := m.alive(now, h)
	if h.told && !alive && h.region == m.self.Region {
		m.log.Warn("host silent", "event", "silent", "host", h.name, "dataCentre", h.dataCentre, "heardMillisAgo", now.Sub(h.heard).Milliseconds())
	}
	h.told = alive
}

// big tells whether there are too many hosts for each to speak to all of them.
func (m *Membership) big() bool { return len(m.hosts) > smallFleet }

// warmSpan is how long news of warm objects are told: one beat may be lost.
func (m *Membership) warmSpan() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.big() {
		return 2 * nearLongest
	}
	return unchangedEvery + tickEvery
}

// nearEvery returns the time between beats to one host of the region: the more hosts, the longer.
func (m *Membership) nearEvery(same bool) time.Duration {
	if !m.big() {
		if same {
			return unchangedEvery
		}
		return tickEvery
	}
	near := 0
	for _, h := range m.hosts {
		if h.region == m.self.Region {
			near++
		}
	}
	return min(nearLongest, tickEvery*time.Duration(1+near/nearPerTick))
}

// farTargets returns the hosts of other regions that are due: all in turn in a small fleet, else a few.
func (m *Membership) farTargets(now time.Time, urgent bool) map[string]bool {
	out := map[string]bool{}
	if m.big() && !urgent && now.Sub(m.farSent) < farEvery {
		return out
	}
	for address, h := range m.hosts {
		if h.region == m.self.Region || h.region == "" || now.Sub(h.heard) > forgetAfter {
			continue
		}
		if m.big() {
			// The order of a map is random, so each time others are told.
			if m.farSent = now; len(out) < farFew {
				out[address] = true
			}
			continue
		}
		every := farEvery
		if !m.alive(now, h) {
			every = deadEvery
		}
		if (urgent && m.alive(now, h)) || now.Sub(h.sent) >= every-tickEvery/2 {
			out[address] = true
		}
	}
	return out
}

// mail encodes a beat once for each form and sends it.
type mail struct {
	mesh              *Membership
	beat              *beat
	plain, full, lean []byte
}

// send sends to a host. Those that may not know others are told of all; in a large fleet other regions are
// not told of work.
func (o *mail) send(now time.Time, h *Host, full bool) {
	h.sent = now
	data := &o.plain
	if full {
		data = &o.full
	} else if h.region != o.mesh.self.Region && o.mesh.big() {
		data = &o.lean
	}
	if *data == nil {
		b := *o.beat
		if data == &o.lean {
			b.Work, b.Warm = nil, nil
		}
		*data = o.mesh.encode(&b, full)
	}
	o.mesh.send(h.address, *data)
}

func (m *Membership) encode(b *beat, full bool) []byte {
	m.seq++
	b.Seq, b.Peers = m.seq, nil
	if full {
		for _, h := range m.hosts {
			if h.name != "" {
				b.Peers = append(b.Peers, netip.MustParseAddrPort(h.address).Addr().String())
			}
		}
	}
	data, err := b.encode()
	if err != nil {
		m.log.Error("beat not encoded", "event", "mesh", "error", err)
	}
	return data
}

func (m *Membership) send(address string, data []byte) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		m.log.Error("peer's address unreadable", "event", "mesh", "address", address, "error", err)
		return
	}
	if _, err := m.conn.WriteToUDPAddrPort(data, to); err != nil {
		m.log.Debug("beat not sent", "event", "mesh", "address", address, "error", err)
	}
}
