package gossip

import (
	"maps"
	"slices"
	"time"

	"rosemarygrade.dev/lib/pkg/plan"
)

// Intervals and numbers of receivers in a large fleet, in which each host sends to a few others at random. They do not
// depend on the size of the fleet.
const (
	// spreadInterval is the time between messages to spreadHosts hosts of the same data centre.
	spreadInterval = 400 * time.Millisecond
	spreadHosts    = 2
	// urgentInterval is the shortest time between messages that changes of resources cause.
	urgentInterval = 100 * time.Millisecond
	// regionSpreadInterval is the time between messages to a host of another data centre of the region.
	regionSpreadInterval = 800 * time.Millisecond
	// remoteSpreadInterval is the time between messages to a host of another region.
	remoteSpreadInterval = 2 * time.Second
	// originHosts is how many hosts of each other data centre of the region get a change first from the watcher.
	originHosts = 2
	// crossings is how many hosts of a data centre, on average, pass a change on to another data centre of the region.
	crossings = 1
	// probeInterval is the time between messages to hosts that are not alive, of which probeHosts are tried, or lonelyHosts
	// while less than minNeighbours hosts of the data centre are alive.
	probeInterval = time.Second
	probeHosts    = 1
	lonelyHosts   = 8
	minNeighbours = 2
	// silentAge is the age of the last heartbeat of a host of the data centre from which it is asked for a new one directly, each
	// askInterval until it counts as failed.
	silentAge   = 2500 * time.Millisecond
	askInterval = 200 * time.Millisecond
	// maxAsks and maxReplies are how many hosts are asked, and how many get a reply, between two calls of Tick.
	maxAsks    = 8
	maxReplies = 64
	// tickTolerance is how much earlier than their interval messages are sent, because Tick runs at fixed times.
	tickTolerance = 50 * time.Millisecond
)

// Sizes of a message in a large fleet.
const (
	// maxRecords is how many records of other hosts a message holds, nearRecords how many of these are at most for hosts of the
	// sender's or the receiver's data centre. A message to another data centre has farRecords, of which half are at most
	// for those.
	maxRecords  = 32
	nearRecords = 24
	farRecords  = 20
	// freshAge is the age of a record up to which it is preferred: an older one is less likely to be new to the receiver.
	freshAge = time.Second
	// watcherRecords is how many records are for the hosts that come first as watchers of the region, so that all hosts
	// agree on them.
	watcherRecords = 3
	// remoteFreshest is how many records are for the hosts with the newest heartbeats of data centres of other regions.
	remoteFreshest = 2
	// maxWarmObjects is how many warm objects a message holds.
	maxWarmObjects = 128
	// warmSpreadWindow is how long a host passes on that an object has become warm.
	warmSpreadWindow = time.Second
	// maxSeedWelcomes and maxWelcomes are how many hosts get a welcome from a seed and from another host between two calls of
	// Tick, and welcomeInterval is the time between two to the same host.
	maxSeedWelcomes = 50
	maxWelcomes     = 1
	welcomeInterval = 200 * time.Millisecond
)

// spread holds when a host of a large fleet last sent messages.
type spread struct {
	nearAt, regionAt, remoteAt, probedAt time.Time
	// urgent means that there are changes of resources to pass on, and originated that this host learned them from the store.
	urgent, originated bool
	// wholeRegion means that the changes that this host learned from the store go to all hosts of the region directly.
	wholeRegion bool
	// announceAll means that all hosts of the data centre must learn at once that this host serves now, or no longer.
	announceAll bool
	// notifyStandbys means that the standbys must learn at once whether this host watches the store.
	notifyStandbys bool
	// stride is the distance to the last receiver in the order of the hosts of the data centre.
	stride int
	// welcomes and replies count what was sent in return to a message since the last Tick.
	welcomes, replies int
}

// groups are the other hosts by state and distance, each list in order of the hosts' IPs.
type groups struct {
	near, region, remote, failed []*Host
}

func (m *Membership) group(now time.Time) groups {
	var g groups
	for _, h := range m.sorted {
		switch {
		case !m.isAlive(now, h):
			g.failed = append(g.failed, h)
		case h.distance == SameDataCentre:
			g.near = append(g.near, h)
		case h.distance == SameRegion:
			g.region = append(g.region, h)
		default:
			g.remote = append(g.remote, h)
		}
	}
	return g
}

// sample moves n random elements of the list to its front and returns them.
func (m *Membership) sample(list []*Host, n int) []*Host {
	n = min(n, len(list))
	for i := range n {
		j := i + m.random.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:n]
}

// nextNeighbours returns the receivers of the next message in the data centre: the host that follows this one at the next
// power of two in the order of addresses, so that a heartbeat reaches all hosts in a bounded number of rounds, and a random
// one, so that no single failure keeps it from a host.
func (m *Membership) nextNeighbours(near []*Host) []*Host {
	if len(near) < spreadHosts {
		return near
	}
	own, _ := slices.BinarySearchFunc(near, m.address, compareIP)
	if m.spread.stride *= 2; m.spread.stride == 0 || m.spread.stride > len(near) {
		m.spread.stride = 1
	}
	next := (own + m.spread.stride - 1) % len(near)
	near[0], near[next] = near[next], near[0]
	return append(near[:1:1], m.sample(near[1:], spreadHosts-1)...)
}

// sendToSome sends a heartbeat to the random hosts of each distance that are due. If urgent is set, there are changes of
// resources to pass on.
func (m *Membership) sendToSome(now time.Time, hb *heartbeat, urgent bool) {
	s := &m.spread
	s.urgent = s.urgent || urgent
	passOn := s.urgent && now.Sub(s.nearAt) >= urgentInterval
	if !passOn && !s.announceAll && !due(now, s.nearAt, spreadInterval) {
		return
	}
	g := m.group(now)
	if s.announceAll {
		s.announceAll = false
		m.sendBare(now, hb, g.near)
	}
	hb.Deltas = m.changes.toSend(now)
	near := g.near
	if !s.wholeRegion {
		near = m.nextNeighbours(near)
	}
	m.sendForm(now, hb, near)
	s.nearAt = now
	m.sendToRegion(now, hb, g, passOn)
	if passOn {
		s.urgent, s.originated, s.wholeRegion = false, false, false
	}
	far := *hb
	far.Deltas, far.Warm = nil, nil
	if due(now, s.remoteAt, remoteSpreadInterval) {
		m.sendForm(now, &far, m.sample(g.remote, 1))
		s.remoteAt = now
	}
	if due(now, s.probedAt, probeInterval) {
		n := probeHosts
		if len(g.near) < minNeighbours {
			n = lonelyHosts
		}
		m.sendForm(now, &far, m.sample(g.failed, n))
		s.probedAt = now
	}
}

// askSilent asks hosts of the data centre for a heartbeat before they count as failed: by chance, messages with a newer one may
// all have missed this host.
func (m *Membership) askSilent(now time.Time, hb *heartbeat) {
	var silent []*Host
	for _, h := range m.sorted {
		if h.distance == SameDataCentre && now.Sub(h.lastHeartbeat) >= silentAge && m.isAlive(now, h) && due(now, h.askedAt, askInterval) {
			silent = append(silent, h)
		}
	}
	m.ask(now, hb, m.sample(silent, maxAsks))
}

// ask asks hosts for a heartbeat in return.
func (m *Membership) ask(now time.Time, hb *heartbeat, hosts []*Host) {
	if len(hosts) == 0 {
		return
	}
	question := *hb
	question.WantsReply = true
	for _, h := range hosts {
		h.recordQuestion(now)
	}
	m.sendBare(now, &question, hosts)
}

// due reports whether an interval has passed since the last message.
func due(now, at time.Time, interval time.Duration) bool {
	return now.Sub(at) >= interval-tickTolerance
}

// sendToRegion sends a heartbeat to hosts of other data centres of the region: if there are changes to pass on, to some of
// each if this host learned them from the store, and otherwise to one with a probability that makes for crossings hosts of
// the data centre.
func (m *Membership) sendToRegion(now time.Time, hb *heartbeat, g groups, passOn bool) {
	s := &m.spread
	switch {
	case passOn && s.wholeRegion:
		m.sendForm(now, hb, g.region)
	case passOn && s.originated:
		m.sendForm(now, hb, m.sampleEach(g.region, originHosts))
	case passOn && m.random.IntN(len(g.near)+1) < crossings:
		m.sendForm(now, hb, m.sample(g.region, 1))
	case due(now, s.regionAt, regionSpreadInterval):
		m.sendForm(now, hb, m.sample(g.region, 1))
		s.regionAt = now
	}
}

// sendBare sends a heartbeat without anything but what it says of this host.
func (m *Membership) sendBare(now time.Time, hb *heartbeat, to []*Host) {
	bare := *hb
	bare.Warm = nil
	msg := m.encode(&bare)
	for _, h := range to {
		m.send(now, h, msg)
	}
}

// sampleEach returns n random hosts of each data centre in the list.
func (m *Membership) sampleEach(list []*Host, n int) []*Host {
	counts := map[string]int{}
	var out []*Host
	for _, h := range m.sample(list, len(list)) {
		if counts[h.dataCentre] < n {
			counts[h.dataCentre]++
			out = append(out, h)
		}
	}
	return out
}

// sendForm sends a heartbeat to several hosts, encoded once for each data centre among them.
func (m *Membership) sendForm(now time.Time, hb *heartbeat, to []*Host) {
	encoded := map[string]message{}
	for _, h := range to {
		msg, found := encoded[h.dataCentre]
		if !found {
			form := *hb
			form.Records = m.selectRecords(now, h)
			msg = m.encode(&form)
			encoded[h.dataCentre] = msg
		}
		m.send(now, h, msg)
	}
}

// selectRecords returns records of hosts that are alive for a message: the first watchers of the region, hosts of the
// receiver's and this host's data centre, and others, at random.
func (m *Membership) selectRecords(now time.Time, to *Host) []record {
	limit, nearLimit := maxRecords, nearRecords
	if to.heard && to.distance != SameDataCentre {
		limit, nearLimit = farRecords, farRecords/2
	}
	var fresh, old, others []*Host
	for _, h := range m.sorted {
		switch near := h.distance == SameDataCentre || (to.heard && h.dataCentre == to.dataCentre); {
		case h == to || !m.isAlive(now, h):
		case !near:
			others = append(others, h)
		case now.Sub(h.lastHeartbeat) < freshAge:
			fresh = append(fresh, h)
		default:
			old = append(old, h)
		}
	}
	chosen := m.freshestOfOthers(now, to)
	if len(m.hosts) > maxRecords {
		chosen = append(chosen, m.firstWatchers(now, watcherRecords)...)
	}
	fresh = m.sample(fresh, nearLimit)
	chosen = append(chosen, fresh...)
	chosen = append(chosen, m.sample(old, nearLimit-len(fresh))...)
	chosen = append(chosen, m.sample(others, limit-len(chosen))...)
	return recordsOf(now, chosen, to)
}

// freshestOfOthers returns the host with the newest heartbeat of each other data centre of the region, and of some of other regions,
// so that all hosts notice soon when a whole data centre has failed.
func (m *Membership) freshestOfOthers(now time.Time, to *Host) []*Host {
	if len(m.hosts) <= maxRecords {
		return nil
	}
	var region, remote []*Host
	for _, dataCentre := range slices.Sorted(maps.Keys(m.freshest)) {
		switch h := m.freshest[dataCentre]; {
		case !m.isAlive(now, h) || h.dataCentre == to.dataCentre:
		case h.distance == SameRegion:
			region = append(region, h)
		default:
			remote = append(remote, h)
		}
	}
	return append(region, m.sample(remote, remoteFreshest)...)
}

// recordsOf returns the records of hosts, each of them once, for a message to a host.
func recordsOf(now time.Time, hosts []*Host, to *Host) []record {
	out := make([]record, 0, len(hosts))
	sent := make(map[*Host]bool, len(hosts))
	for _, h := range hosts {
		if h == to || sent[h] {
			continue
		}
		sent[h] = true
		r := h.record(now)
		if h.distance == SameDataCentre {
			r.DataCentre = ""
		}
		out = append(out, r)
	}
	return out
}

// firstWatchers returns the first n alive hosts of this region in the election of its watcher.
func (m *Membership) firstWatchers(now time.Time, n int) []*Host {
	best := make([]*Host, 0, n+1)
	for _, h := range m.sorted {
		if h.region != m.self.Region || !m.isAlive(now, h) {
			continue
		}
		i := len(best)
		for i > 0 && best[i-1].watcherScore < h.watcherScore {
			i--
		}
		if i < n {
			best = slices.Insert(best, i, h)
			best = best[:min(len(best), n)]
		}
	}
	return best
}

// needsWelcome reports whether a host that sent a heartbeat is to get a message in return: in a small fleet if it has just
// started, in a large one if it knows far fewer hosts than this one.
func (m *Membership) needsWelcome(now time.Time, h *Host, hb *heartbeat, restarted bool) bool {
	if !m.isLargeFleet() {
		return restarted && now.Sub(h.lastSent) >= regionInterval
	}
	limit := maxWelcomes
	if m.self.Seed {
		limit = maxSeedWelcomes
	}
	// Hosts of earlier versions do not report how many they know.
	return hb.AliveHosts > 0 && 2*hb.AliveHosts < m.alive && m.spread.welcomes < limit && now.Sub(h.lastSent) >= welcomeInterval
}

// sendWelcome sends records of other hosts to a host, without waiting for the next Tick.
func (m *Membership) sendWelcome(now time.Time, h *Host) {
	m.spread.welcomes++
	hb := m.newReply()
	hb.Records = m.selectRecords(now, h)
	m.send(now, h, m.encode(hb))
}

// sendReply sends what this host says of itself to a host that asked for it.
func (m *Membership) sendReply(now time.Time, h *Host) {
	m.spread.replies++
	m.send(now, h, m.encode(m.newReply()))
}

// newReply returns a heartbeat without what comes from the table.
func (m *Membership) newReply() *heartbeat {
	hb := &heartbeat{
		Name: m.self.Name, DataCentre: m.self.DataCentre, Incarnation: m.incarnation, Serving: m.serving, Store: m.reportedStore(),
		StoreRecoveryAgeMillis: -1, FleetSize: m.peakHosts(), AliveHosts: m.alive,
	}
	for _, t := range plan.Topics() {
		hb.Revisions = append(hb.Revisions, m.state.ContentRevision(t))
	}
	return hb
}
