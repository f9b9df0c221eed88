package gossip

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"rosemarygrade.dev/edged/pkg/conns"
	"rosemarygrade.dev/edged/pkg/pick"
	"rosemarygrade.dev/edged/pkg/watch"
	"rosemarygrade.dev/lib/pkg/fault"
	"rosemarygrade.dev/lib/pkg/plan"
	"rosemarygrade.dev/lib/pkg/rank"
)

const (
	// regionInterval is the time between heartbeats to a host of the same region while the load changes.
	regionInterval = 100 * time.Millisecond
	// remoteInterval is the time between heartbeats to remote regions, to which traffic is expensive.
	remoteInterval = 900 * time.Millisecond
	// regionTimeout is how long a host of the same region counts as alive after its last heartbeat: three times
	// unchangedInterval.
	regionTimeout = 1200 * time.Millisecond
	// remoteTimeout is the same for hosts of remote regions, and for all hosts of a large fleet.
	remoteTimeout = 3 * time.Second
	// unchangedInterval is the time between heartbeats to a host of the same region while the load does not change.
	unchangedInterval = 400 * time.Millisecond
	// failedInterval is the time between heartbeats to hosts that have failed.
	failedInterval = time.Second
	// removeAfter is the time since the last heartbeat after which a host is removed and gets no more heartbeats.
	removeAfter = time.Minute
	// watcherExclusion is how long a host is not elected as a watcher after it reported that it can't reach the store.
	watcherExclusion = 3 * time.Second
	// minWatchers is how many hosts watch the store when there is only one region.
	minWatchers = 2
	// fullMeshHosts is the highest number of known peers at which a host sends heartbeats to all of them.
	fullMeshHosts = 20
	// regionFanout is the average number of heartbeats per regionInterval that a host of a large fleet sends within its
	// region.
	regionFanout = 2
	// maxRegionInterval is the longest time between heartbeats to a host of the same region. One heartbeat may be lost
	// within remoteTimeout, which applies to all hosts of a large fleet, and a load report counts until the next one.
	maxRegionInterval = 1200 * time.Millisecond
	// remoteFanout is the number of heartbeats per remoteInterval that a host of a large fleet sends to remote regions.
	remoteFanout = 2
	maxDatagram  = 60 << 10
	// startupDelay is how long a host that is not a seed waits after its start before it may watch the store. It covers
	// a round trip to a seed and one pull.
	startupDelay = 1200 * time.Millisecond
	watcherRole  = "watcher"
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

// Membership exchanges heartbeats with the other hosts, keeps the list of those that are alive and pulls newer
// resources from them. It is safe for concurrent use.
type Membership struct {
	self        Self
	incarnation int64
	startedAt   time.Time
	state       *watch.State
	table       *pick.Table
	log         *slog.Logger
	conn        *net.UDPConn
	client      *http.Client
	// pullSlots limits the pulls that are served concurrently; cached is the last response to one.
	pullSlots chan struct{}
	cached    cachedResponse

	mu sync.Mutex
	// hosts maps a peer's address to its state. pulling holds the addresses with a pull in progress.
	hosts     map[string]*Host
	seq       uint64
	serving   bool
	store     storeState
	pulling   map[string]bool
	peakAlive int
	// remoteSentAt is the time of the last heartbeats to remote regions, in a large fleet.
	remoteSentAt time.Time
	// registered is the number of hosts in the store.
	registered int
	// lastLoad is the load at the last Tick.
	lastLoad map[uint32]uint32
	// watcher caches the result of IsWatcher, which was computed at watcherAt.
	watcher   bool
	watcherAt time.Time
}

// New returns a Membership that listens on the host's port for peers. It fails with KindListen.
func New(now time.Time, self Self, state *watch.State, table *pick.Table, log *slog.Logger) (*Membership, error) {
	addr := net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr(self.IP), uint16(self.Port)))
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, fault.Wrap("listen", KindListen, err)
	}
	dialer := conns.Dialer()
	m := &Membership{
		self: self, incarnation: now.UnixNano(), startedAt: now, state: state, table: table, log: log, conn: conn,
		hosts: map[string]*Host{}, pulling: map[string]bool{},
		pullSlots: make(chan struct{}, maxConcurrentPulls),
		client:    &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: pullIdleTimeout}},
	}
	return m, nil
}

// AddPeer adds a host by its IP to the peers that get heartbeats.
func (m *Membership) AddPeer(now time.Time, ip string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addPeerLocked(now, ip)
}

// addPeerLocked is AddPeer for callers that hold mu. A new peer counts as failed until its first heartbeat arrives.
func (m *Membership) addPeerLocked(now time.Time, ip string) {
	if ip == m.self.IP || ip == "" {
		return
	}
	address := net.JoinHostPort(ip, strconv.Itoa(m.self.Port))
	if m.hosts[address] == nil {
		m.hosts[address] = &Host{address: address, lastHeartbeat: now.Add(-remoteTimeout)}
	}
}

// SetServing sets whether this host accepts callers' requests. Heartbeats report it.
func (m *Membership) SetServing(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.serving = on
}

// SetStoreReachable sets whether this host reaches the store. Heartbeats report it.
func (m *Membership) SetStoreReachable(ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.store, m.watcherAt = storeUnreachable, time.Time{}
	if ok {
		m.store = storeReachable
	}
}

// AliveHosts returns the other hosts that are alive, sorted by name.
func (m *Membership) AliveHosts(now time.Time) []Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.aliveLocked(now)
}

func (m *Membership) aliveLocked(now time.Time) []Host {
	var out []Host
	for _, h := range m.hosts {
		if h.name != "" && m.isAlive(now, h) {
			out = append(out, *h)
		}
	}
	slices.SortFunc(out, func(a, b Host) int { return cmp.Compare(a.name, b.name) })
	return out
}

func (m *Membership) countAlive(now time.Time) int {
	n := 0
	for _, h := range m.hosts {
		if h.name != "" && m.isAlive(now, h) {
			n++
		}
	}
	return n
}

func (m *Membership) isAlive(now time.Time, h *Host) bool {
	if h.region == m.self.Region && !m.isLargeFleet() {
		return now.Sub(h.lastHeartbeat) < regionTimeout
	}
	return now.Sub(h.lastHeartbeat) < remoteTimeout
}

// PeakHosts returns the highest number of hosts that have been alive at the same time, this one included, or the
// number of hosts in the store if that is higher.
func (m *Membership) PeakHosts() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(1, m.peakAlive, m.registered)
}

// IsWatcher reports whether this host is one of those that watch the store: the first of each region in rendezvous
// order, and at least minWatchers. A host that can't reach the store keeps trying.
func (m *Membership) IsWatcher(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.watcherAt.IsZero() || now.Sub(m.watcherAt) >= regionInterval || now.Before(m.watcherAt) {
		m.watcher, m.watcherAt = m.isElectedWatcher(now), now
	}
	return m.watcher
}

func (m *Membership) isElectedWatcher(now time.Time) bool {
	if now.Sub(m.startedAt) < startupDelay {
		return m.self.Seed
	}
	if m.store == storeUnreachable {
		return true
	}
	type candidate struct{ name, region string }
	all := []candidate{{m.self.Name, m.self.Region}}
	regions := map[string]bool{m.self.Region: true}
	for _, h := range m.aliveLocked(now) {
		if now.Before(h.notWatcherUntil) {
			continue
		}
		all = append(all, candidate{h.name, h.region})
		regions[h.region] = true
	}
	covered := map[string]bool{}
	for i, c := range rank.Order(watcherRole, all, func(c candidate) string { return c.name }) {
		first := !covered[c.region]
		covered[c.region] = true
		if c.name == m.self.Name {
			return first || (i < minWatchers && len(regions) < minWatchers)
		}
	}
	return true
}

// IsElectedFor reports whether this host is the one that sends to a backend server during its slow start: the first in
// rendezvous order among the serving hosts of the backend server's region, or among all if its region has none.
func (m *Membership) IsElectedFor(now time.Time, b *plan.Backend) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	names, sameRegion := []string{m.self.Name}, m.self.Region == b.Region()
	for _, h := range m.aliveLocked(now) {
		if !h.serving {
			continue
		}
		inRegion := h.region == b.Region()
		if inRegion && !sameRegion {
			names, sameRegion = nil, true
		}
		if inRegion == sameRegion {
			names = append(names, h.name)
		}
	}
	first, ok := rank.First(b.Key(), names, func(n string) string { return n })
	return ok && first == m.self.Name
}

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
		hb, err := decodeHeartbeat(buf[:n])
		if err != nil {
			m.log.Warn("gossip datagram ignored: it could not be decoded", "event", "mesh", "from", from, "error", err)
			continue
		}
		m.handleHeartbeat(ctx, time.Now(), from.Addr().Unmap().String(), hb)
	}
}

// handleHeartbeat updates the state of the host at ip, passes its reports to the table, and pulls from it if it has newer
// resources. A heartbeat that is older than the last one of the host is ignored.
func (m *Membership) handleHeartbeat(ctx context.Context, now time.Time, ip string, hb *heartbeat) {
	m.mu.Lock()
	m.addPeerLocked(now, ip)
	h := m.hosts[net.JoinHostPort(ip, strconv.Itoa(m.self.Port))]
	if h == nil || h.supersedes(hb) {
		m.mu.Unlock()
		return
	}
	restarted := h.incarnation != hb.Incarnation
	if restarted || (!m.isAlive(now, h) && !m.isLargeFleet()) {
		m.log.Info("host alive", "event", "alive", "host", hb.Name, "dataCentre", hb.DataCentre)
	}
	h.update(now, hb, m.self.Regions[hb.DataCentre])
	for _, p := range hb.PeerIPs {
		m.addPeerLocked(now, p)
	}
	pull := m.isBehind(hb) && !m.pulling[h.address]
	if pull {
		m.pulling[h.address] = true
	}
	address := h.address
	m.mu.Unlock()
	if hb.Store == storeReachable && hb.StoreRecoveryAgeMillis >= 0 {
		m.state.ReportRecovery(now, time.Duration(hb.StoreRecoveryAgeMillis)*time.Millisecond)
	}
	m.table.ReceiveReports(now, hb.Name, unpackLoad(hb.Load))
	m.table.ReceiveWarmObjects(now, unpackWarm(hb.Warm))
	if pull {
		go m.pull(ctx, address)
	}
	if restarted {
		m.sendHandshake(now, address)
	}
}

// sendHandshake sends the addresses of all peers to a host that has just started, without waiting for the next Tick.
func (m *Membership) sendHandshake(now time.Time, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.hosts[address]
	if h == nil || now.Sub(h.lastSent) < regionInterval {
		return
	}
	hb := &heartbeat{
		Name: m.self.Name, DataCentre: m.self.DataCentre, Incarnation: m.incarnation, Serving: m.serving, Store: m.store,
		StoreRecoveryAgeMillis: -1,
	}
	for _, t := range plan.Topics() {
		hb.Revisions = append(hb.Revisions, m.state.ContentRevision(t))
	}
	out := outbox{membership: m, heartbeat: hb}
	out.send(now, h, true)
}

// supersedes reports whether the last heartbeat that was handled is as new as hb or newer.
func (h *Host) supersedes(hb *heartbeat) bool {
	return hb.Incarnation < h.incarnation || (hb.Incarnation == h.incarnation && hb.Seq <= h.seq)
}

// update records a heartbeat of the host, received at now.
func (h *Host) update(now time.Time, hb *heartbeat, region string) {
	h.name, h.dataCentre, h.region = hb.Name, hb.DataCentre, region
	h.incarnation, h.seq, h.lastHeartbeat, h.serving, h.store = hb.Incarnation, hb.Seq, now, hb.Serving, hb.Store
	switch hb.Store {
	case storeUnreachable:
		h.notWatcherUntil = now.Add(watcherExclusion)
	case storeReachable:
		h.notWatcherUntil = time.Time{}
	case storeNotContacted:
	}
}

// isBehind reports whether a peer has a newer revision of a topic than this host.
func (m *Membership) isBehind(hb *heartbeat) bool {
	for i, t := range plan.Topics() {
		if rev, loaded := m.state.Revision(t); hb.Revisions[i] > rev || (!loaded && hb.Revisions[i] > 0) {
			return true
		}
	}
	return false
}
