package gossip

import (
	"cmp"
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"rosemarygrade.dev/edged/pkg/pick"
	"rosemarygrade.dev/edged/pkg/watch"
	"rosemarygrade.dev/lib/pkg/fault"
	"rosemarygrade.dev/lib/pkg/plan"
	"rosemarygrade.dev/lib/pkg/rank"
)

// Timeouts of the failure detection.
const (
	// regionTimeout is how long a host of the same region counts as alive after its last heartbeat in a small fleet: three
	// times unchangedInterval.
	regionTimeout = 1200 * time.Millisecond
	// remoteTimeout is the same for hosts of remote regions in a small fleet.
	remoteTimeout = 3 * time.Second
	// nearTimeout is the same for hosts of the same data centre in a large fleet. From silentAge on they are asked for a heartbeat.
	nearTimeout = 3500 * time.Millisecond
	// otherTimeout is the same for all other hosts in a large fleet.
	otherTimeout = 5 * time.Second
	// silentRegionAge and silentRemoteAge are the ages of the newest heartbeat of any host of a data centre, of this region and of another
	// one, from which the whole data centre counts as silent in a large fleet.
	silentRegionAge = 2500 * time.Millisecond
	silentRemoteAge = 4 * time.Second
	// removeAfter is the time since the last heartbeat after which a host is removed and gets no more heartbeats. It is
	// long enough that no other host still believes it alive, so that no old record of it brings it back.
	removeAfter = time.Minute
)

const (
	// fullMeshHosts is the highest number of known peers at which a host sends heartbeats to all of them. A fleet with
	// more is a large fleet.
	fullMeshHosts = 20
	// maxHosts bounds the hosts that are stored, against messages that name hosts without end.
	maxHosts    = 32768
	maxDatagram = 60 << 10
	// pullIdleTimeout is how long an idle connection for pulls stays open.
	pullIdleTimeout = 10 * time.Second
)

// Self describes this host.
type Self struct {
	Name, DataCentre, Region, IP string
	// Seed reports whether this host is one of the seeds, which other hosts contact first.
	Seed bool
	// Port is the UDP and TCP port for peers, the same on all hosts.
	Port int
	// Regions maps each data centre to its region.
	Regions map[string]string
}

// network carries messages to other hosts.
type network interface {
	// send sends a datagram.
	send(to netip.AddrPort, data []byte) error
	// pull gets from a host the snapshots of the topics that are newer there than the revisions in have.
	pull(ctx context.Context, from netip.AddrPort, have map[plan.Topic]uint64) ([]snapshot, error)
	// start runs f without waiting for it.
	start(f func())
	// now returns the present time, for what happens after a pull.
	now() time.Time
}

// Membership exchanges heartbeats with the other hosts, keeps the list of those that are alive and obtains newer
// resources from them. It is safe for concurrent use.
type Membership struct {
	self      Self
	address   netip.Addr
	startedAt time.Time
	state     *watch.State
	table     *pick.Table
	log       *slog.Logger
	// conn is nil where another network takes its place.
	conn    *net.UDPConn
	network network
	traffic Traffic
	// pullSlots limits the pulls that are served concurrently; cached is the last response to one.
	pullSlots chan struct{}
	cached    cachedResponse

	mu          sync.Mutex
	random      *rand.Rand
	incarnation int64
	seq         uint64
	// hosts maps a peer's IP to its state, sorted holds the same hosts in order of their IPs. heardHosts counts those that were
	// heard, and peakHeard is the highest number of these so far.
	hosts                 map[netip.Addr]*Host
	sorted                []*Host
	heardHosts, peakHeard int
	serving               bool
	// leaving means that the host is stopping, so that others have to take over its roles.
	leaving bool
	store   storeState
	// alive is the number of hosts that were alive at the last Tick, this one included, peakAlive the highest so far.
	alive, peakAlive int
	// fleetSize is the highest number of hosts in the store, or known to a peer.
	fleetSize int
	// lastLoad is the load at the last Tick.
	lastLoad map[uint32]uint32
	// watcher caches the result of IsWatcher, which was computed at watcherAt. elected is closed while it is true; watcherSince is when it
	// last became true.
	watcher                 bool
	watcherAt, watcherSince time.Time
	elected                 chan struct{}
	// freshest maps each other data centre to the host of it with the newest heartbeat.
	freshest map[string]*Host
	// timeouts is how long a host counts as alive after its last heartbeat, by its distance.
	timeouts [distanceCount]time.Duration
	// outgoing holds the messages to send once mu is unlocked.
	outgoing  []outgoing
	elections elections
	spread    spread
	pulls     pulls
	changes   changes
}

// New returns a Membership that listens on the host's port for peers. It fails with KindListen.
func New(now time.Time, self Self, state *watch.State, table *pick.Table, log *slog.Logger) (*Membership, error) {
	addr := net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr(self.IP), uint16(self.Port)))
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, fault.Wrap("listen", KindListen, err)
	}
	m := newMembership(now, self, state, table, log, newSockets(conn))
	m.conn = conn
	return m, nil
}

func newMembership(now time.Time, self Self, state *watch.State, table *pick.Table, log *slog.Logger, n network) *Membership {
	m := &Membership{
		self: self, address: netip.MustParseAddr(self.IP), incarnation: now.UnixNano(), startedAt: now, state: state, table: table, log: log,
		network: n, random: rand.New(rand.NewPCG(uint64(now.UnixNano()), uint64(packIP(netip.MustParseAddr(self.IP))))),
		hosts: map[netip.Addr]*Host{}, freshest: map[string]*Host{}, elected: make(chan struct{}), pullSlots: make(chan struct{}, maxConcurrentPulls),
		pulls: pulls{inProgress: map[netip.Addr]bool{}}, changes: changes{announced: map[plan.Topic]uint64{}},
	}
	m.timeouts = m.currentTimeouts()
	return m
}

// Traffic returns the counts of what this host has sent to others.
func (m *Membership) Traffic() *Traffic { return &m.traffic }

// AddPeer adds a host by its IP to the peers that get heartbeats. An invalid IP is ignored.
func (m *Membership) AddPeer(now time.Time, ip string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a, err := netip.ParseAddr(ip); err == nil {
		m.addPeerLocked(now, a)
	}
}

// addPeerLocked returns the state of a host, which it adds if needed, or nil if the IP is this host's own or there are too
// many hosts. A new peer counts as failed until its first heartbeat arrives.
func (m *Membership) addPeerLocked(now time.Time, ip netip.Addr) *Host {
	h := m.hosts[ip]
	if h != nil || ip == m.address || !ip.Is4() || len(m.hosts) >= maxHosts {
		return h
	}
	h = &Host{
		address: netip.AddrPortFrom(ip, uint16(m.self.Port)), watcherScore: rank.Score(watcherRole, ip.String()),
		distance: OtherRegion, lastHeartbeat: now.Add(-otherTimeout),
	}
	m.hosts[ip] = h
	at, _ := m.position(ip)
	m.sorted = slices.Insert(m.sorted, at, h)
	return h
}

// position returns where a host is, or would be, in the order of the hosts' IPs.
func (m *Membership) position(ip netip.Addr) (int, bool) {
	return slices.BinarySearchFunc(m.sorted, ip, compareIP)
}

func compareIP(h *Host, ip netip.Addr) int { return h.address.Addr().Compare(ip) }

// SetServing sets whether this host accepts callers' requests. Heartbeats report it.
func (m *Membership) SetServing(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.serving != on {
		m.serving, m.spread.announceAll = on, true
		m.elections.clear()
	}
}

// Leave begins a planned stop: this host no longer accepts callers' requests, and other hosts are to take over its roles.
func (m *Membership) Leave() {
	m.SetServing(false)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving, m.spread.notifyStandbys = true, true
	m.watcherAt = time.Time{}
}

// SetStoreReachable sets whether this host reaches the store. Heartbeats report it.
func (m *Membership) SetStoreReachable(ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.store
	m.store, m.watcherAt = storeUnreachable, time.Time{}
	if ok {
		m.store = storeReachable
	}
	m.spread.notifyStandbys = m.spread.notifyStandbys || m.store != before
}

// reportedStore returns the state of the store that heartbeats report.
func (m *Membership) reportedStore() storeState {
	if m.leaving {
		return storeResigned
	}
	return m.store
}

// AliveHosts returns the other hosts that are alive, sorted by name.
func (m *Membership) AliveHosts(now time.Time) []Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Host
	for _, h := range m.sorted {
		if m.isAlive(now, h) {
			out = append(out, *h)
		}
	}
	slices.SortFunc(out, func(a, b Host) int { return cmp.Compare(a.Name(), b.Name()) })
	return out
}

// CallerHost is a host that a look-up may name.
type CallerHost struct {
	ip                 netip.Addr
	dataCentre, region string
}

// IP returns the host's IP address.
func (h CallerHost) IP() netip.Addr { return h.ip }

// DataCentre returns the host's data centre.
func (h CallerHost) DataCentre() string { return h.dataCentre }

// Region returns the region of the host's data centre.
func (h CallerHost) Region() string { return h.region }

// HostsForCallers returns the other hosts that are alive and serve, in order of their IPs, but for those of data centres that are
// silent: in a large fleet these may have failed as a whole some seconds before their hosts count as failed. If all data
// centres are silent, it returns all.
func (m *Membership) HostsForCallers(now time.Time) []CallerHost {
	m.mu.Lock()
	defer m.mu.Unlock()
	silent := map[string]bool{}
	for dataCentre := range m.freshest {
		silent[dataCentre] = m.isSilent(now, dataCentre)
	}
	var heard, unheard []CallerHost
	for _, h := range m.sorted {
		switch c := (CallerHost{ip: h.address.Addr(), dataCentre: h.dataCentre, region: h.region}); {
		case !h.serving || !m.isAlive(now, h):
		case silent[h.dataCentre]:
			unheard = append(unheard, c)
		default:
			heard = append(heard, c)
		}
	}
	if len(heard) == 0 {
		return unheard
	}
	return heard
}

// isSilent reports whether no heartbeat of any host of another data centre has arrived for long.
func (m *Membership) isSilent(now time.Time, dataCentre string) bool {
	h := m.freshest[dataCentre]
	if h == nil || !m.isLargeFleet() {
		return false
	}
	limit := silentRegionAge
	if h.distance == OtherRegion {
		limit = silentRemoteAge
	}
	return now.Sub(h.lastHeartbeat) >= limit
}

// CountAlive returns the number of other hosts that are alive.
func (m *Membership) CountAlive(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, h := range m.sorted {
		if m.isAlive(now, h) {
			n++
		}
	}
	return n
}

func (m *Membership) isAlive(now time.Time, h *Host) bool {
	return h.heard && now.Sub(h.lastHeartbeat) < m.timeouts[h.distance]
}

// currentTimeouts returns how long a host counts as alive after its last heartbeat, by its distance.
func (m *Membership) currentTimeouts() [distanceCount]time.Duration {
	if !m.isLargeFleet() {
		return [distanceCount]time.Duration{regionTimeout, regionTimeout, remoteTimeout}
	}
	return [distanceCount]time.Duration{nearTimeout, otherTimeout, otherTimeout}
}

// isLargeFleet reports whether there are too many hosts for each to send heartbeats to all others.
func (m *Membership) isLargeFleet() bool { return m.heardHosts > fullMeshHosts }

// IsLargeFleet reports whether this host sends heartbeats to a few others only, and so less often.
func (m *Membership) IsLargeFleet() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isLargeFleet()
}

// distanceTo returns the distance to a data centre.
func (m *Membership) distanceTo(dataCentre string) Distance {
	switch {
	case dataCentre == m.self.DataCentre:
		return SameDataCentre
	case m.self.Regions[dataCentre] == m.self.Region:
		return SameRegion
	default:
		return OtherRegion
	}
}

// PeakHosts returns the highest number of hosts that the system is known to have had, this one included.
func (m *Membership) PeakHosts() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peakHosts()
}

func (m *Membership) peakHosts() int { return max(1, m.peakAlive, m.fleetSize) }

// Run receives and handles heartbeats until the context ends; then it closes the socket. Tick sends them.
func (m *Membership) Run(ctx context.Context) error {
	go func() {
		<-ctx.Done()
		if err := m.conn.Close(); err != nil {
			m.log.Warn("gossip socket not closed", "event", "mesh", "error", err)
		}
	}()
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := m.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			m.log.Warn("receiving a gossip datagram failed", "event", "mesh", "error", err)
			continue
		}
		m.receive(ctx, time.Now(), from.Addr().Unmap(), buf[:n])
	}
}

// receive decodes and handles a datagram.
func (m *Membership) receive(ctx context.Context, now time.Time, from netip.Addr, data []byte) {
	hb, err := decodeHeartbeat(data)
	if err != nil {
		m.log.Warn("gossip datagram ignored: it could not be decoded", "event", "mesh", "from", from, "error", err)
		return
	}
	m.handleHeartbeat(ctx, now, from, hb)
}

// handleHeartbeat updates the state of the host at ip and of the hosts that it reports on, passes its reports to the
// table, applies the changes of resources, and pulls those that it lacks. Of a heartbeat that is not newer than the last one
// of the host, only what it says of others is used.
func (m *Membership) handleHeartbeat(ctx context.Context, now time.Time, ip netip.Addr, hb *heartbeat) {
	m.mu.Lock()
	h := m.addPeerLocked(now, ip)
	if h == nil {
		m.mu.Unlock()
		return
	}
	newer := h.isNewer(hb.Incarnation, hb.Seq)
	restarted := newer && h.incarnation != hb.Incarnation
	h.name = hb.Name
	m.learn(now, h, hb.record())
	if newer {
		m.receiveRecords(now, hb)
	}
	if newer && m.needsWelcome(now, h, hb, restarted) {
		m.sendWelcome(now, h)
	} else if newer && hb.WantsReply && m.spread.replies < maxReplies {
		m.sendReply(now, h)
	}
	m.unlockAndSend()
	if newer && hb.Store == storeReachable && hb.StoreRecoveryAgeMillis >= 0 {
		m.state.ReportRecovery(now, time.Duration(hb.StoreRecoveryAgeMillis)*time.Millisecond)
	}
	m.receiveLoad(now, hb, newer)
	m.receiveDeltas(now, ip, hb.Deltas)
	m.notePeerRevisions(now, ip, hb.Revisions)
	m.pullIfDue(ctx, now)
}

// receiveLoad passes a peer's load and warm objects to the table.
func (m *Membership) receiveLoad(now time.Time, hb *heartbeat, newer bool) {
	m.mu.Lock()
	large := m.isLargeFleet()
	m.mu.Unlock()
	if newer && (!large || len(hb.Load) > 0) {
		m.table.ReceiveReports(now, hb.Name, unpackLoad(hb.Load))
	}
	if len(hb.Warm) > 0 {
		m.table.ReceiveWarmObjects(now, unpackWarm(hb.Warm), large)
	}
}

// learn updates a host by a heartbeat or a record of it, unless it is older than the last one.
func (m *Membership) learn(now time.Time, h *Host, r record) {
	if !h.isNewer(r.Incarnation, r.Seq) {
		return
	}
	wasAlive, wasServing, restarted := m.isAlive(now, h), h.serving, h.incarnation != r.Incarnation
	if !h.heard {
		m.heardHosts++
		m.peakHeard = max(m.peakHeard, m.heardHosts)
		m.timeouts = m.currentTimeouts()
	}
	h.update(now, r, m.self.Regions[r.DataCentre], m.distanceTo(r.DataCentre))
	m.noteFreshest(h)
	if (restarted || !wasAlive) && h.distance == SameDataCentre {
		m.log.Info("host alive", "event", "alive", "host", h.Name(), "dataCentre", h.dataCentre)
	}
	if !wasAlive || wasServing != h.serving {
		m.elections.clear()
	}
}

// noteFreshest stores a host of another known data centre if its heartbeat is the newest of all hosts there.
func (m *Membership) noteFreshest(h *Host) {
	f := m.freshest[h.dataCentre]
	if h.distance != SameDataCentre && h.region != "" && (f == nil || h.lastHeartbeat.After(f.lastHeartbeat)) {
		m.freshest[h.dataCentre] = h
	}
}

// receiveRecords learns what a heartbeat says of hosts other than its sender. A record of this host from an incarnation
// that seems newer was sent by a process on this host before it, while the clock was ahead; this one then takes a newer
// incarnation, since the others ignore its heartbeats otherwise.
func (m *Membership) receiveRecords(now time.Time, hb *heartbeat) {
	m.fleetSize = max(m.fleetSize, min(hb.FleetSize, maxHosts))
	for _, text := range hb.PeerIPs {
		if ip, err := netip.ParseAddr(text); err == nil {
			m.addPeerLocked(now, ip)
		}
	}
	for _, r := range hb.Records {
		r.DataCentre = cmp.Or(r.DataCentre, hb.DataCentre)
		ip := unpackIP(r.IP)
		if ip == m.address {
			if r.Incarnation > m.incarnation && r.Incarnation < math.MaxInt64 {
				m.incarnation = r.Incarnation + 1
			}
			continue
		}
		if h := m.addPeerLocked(now, ip); h != nil {
			m.learn(now, h, r)
		}
	}
}
