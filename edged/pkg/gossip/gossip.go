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

// Times of the mesh.
const (
	// tickEvery is the time between beats to hosts of the own region while work changes.
	tickEvery = 100 * time.Millisecond
	// farEvery is the time between beats to other regions, whose bytes are dear.
	farEvery = 900 * time.Millisecond
	// liveFor is how long a host counts as alive after its last beat: three beats without changes.
	liveFor = 1200 * time.Millisecond
	// farLiveFor is the same for hosts of other regions.
	farLiveFor = 3 * time.Second
	// unchangedEvery is the time between beats while no work changes.
	unchangedEvery = 400 * time.Millisecond
	// deadEvery is the time between beats to hosts that are not heard.
	deadEvery = time.Second
	// forgetAfter is when a host that is not heard is no longer written to.
	forgetAfter = time.Minute
	// failedFor is how long a host that can't reach the store is passed over as a watcher.
	failedFor = 3 * time.Second
	// watchersAtLeast is how many hosts follow the store, also where there is one region.
	watchersAtLeast = 2
	// smallFleet is up to how many hosts each speaks to all others.
	smallFleet = 20
	// nearPerTick is how many hosts of its region a host speaks to in one tick of a large fleet.
	nearPerTick = 2
	// nearLongest is the longest time between beats to a host of the region: one may be lost within
	// farLiveFor, by which large fleets go, and a report counts until the next one.
	nearLongest = 1200 * time.Millisecond
	// farFew is how many hosts of other regions a host speaks to at a time in a large fleet.
	farFew      = 2
	maxDatagram = 60 << 10
	// settle is how long a host that has started waits for the others before it follows the store itself:
	// a round trip to a seed and back, and a pull.
	settle      = 1200 * time.Millisecond
	watcherRole = "watcher"
	// idlePeer is how long a connection for pulls is kept.
	idlePeer = 10 * time.Second
)

// Self describes this host.
type Self struct {
	Name, DataCentre, Region, IP string
	// Seed tells that other hosts ask this one first.
	Seed bool
	// Port is the port for peers, the same on all hosts.
	Port int
	// Regions gives the region of each data centre.
	Regions map[string]string
}

// Membership is safe for concurrent use.
type Membership struct {
	self   Self
	inc    int64
	start  time.Time
	state  *watch.State
	table  *pick.Table
	log    *slog.Logger
	conn   *net.UDPConn
	client *http.Client
	// serves bounds the pulls that are answered at once; kept is the last answer.
	serves chan struct{}
	kept   keptAnswer

	mu      sync.Mutex
	hosts   map[string]*Host
	seq     uint64
	serving bool
	store   storeState
	pulling map[string]bool
	most    int
	// farSent is when a few hosts of other regions were told last, in a large fleet.
	farSent time.Time
	// declared is how many hosts the store names.
	declared int
	// lastWork is what the last beats told.
	lastWork map[uint32]uint32
	// watcher is the last answer of Watcher, which was worked out at watcherAt.
	watcher   bool
	watcherAt time.Time
}

// New returns a mesh that listens on the host's port for peers.
func New(now time.Time, self Self, state *watch.State, table *pick.Table, log *slog.Logger) (*Membership, error) {
	addr := net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr(self.IP), uint16(self.Port)))
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, fault.Wrap("listen", KindListen, err)
	}
	dialer := conns.Dialer()
	m := &Membership{
		self: self, inc: now.UnixNano(), start: now, state: state, table: table, log: log, conn: conn,
		hosts: map[string]*Host{}, pulling: map[string]bool{},
		serves: make(chan struct{}, servesAtMost),
		client: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: idlePeer}},
	}
	return m, nil
}

// AddPeer adds a host's IP to write to.
func (m *Membership) AddPeer(now time.Time, ip string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.meet(now, ip)
}

// meet adds an address to write to.
func (m *Membership) meet(now time.Time, ip string) {
	if ip == m.self.IP || ip == "" {
		return
	}
	address := net.JoinHostPort(ip, strconv.Itoa(m.self.Port))
	if m.hosts[address] == nil {
		m.hosts[address] = &Host{address: address, heard: now.Add(-farLiveFor)}
	}
}

// SetServing says whether this host takes callers' requests.
func (m *Membership) SetServing(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.serving = on
}

// SetStore says whether this host reaches the store.
func (m *Membership) SetStore(ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.store, m.watcherAt = storeFails, time.Time{}
	if ok {
		m.store = storeAnswers
	}
}

// AliveHosts returns the hosts that are alive, without this one.
func (m *Membership) AliveHosts(now time.Time) []Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.live(now)
}

func (m *Membership) live(now time.Time) []Host {
	var out []Host
	for _, h := range m.hosts {
		if h.name != "" && m.alive(now, h) {
			out = append(out, *h)
		}
	}
	slices.SortFunc(out, func(a, b Host) int { return cmp.Compare(a.name, b.name) })
	return out
}

func (m *Membership) countLive(now time.Time) int {
	n := 0
	for _, h := range m.hosts {
		if h.name != "" && m.alive(now, h) {
			n++
		}
	}
	return n
}

func (m *Membership) alive(now time.Time, h *Host) bool {
	if h.region == m.self.Region && !m.big() {
		return now.Sub(h.heard) < liveFor
	}
	return now.Sub(h.heard) < farLiveFor
}

// PeakHosts returns the highest number of hosts that were alive at once, this one included.
func (m *Membership) PeakHosts() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(1, m.most, m.declared)
}

// IsWatcher tells whether this host is one of those that follow the store: the first by rank of each region.
func (m *Membership) IsWatcher(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.watcherAt.IsZero() || now.Sub(m.watcherAt) >= tickEvery || now.Before(m.watcherAt) {
		m.watcher, m.watcherAt = m.ranksAsWatcher(now), now
	}
	return m.watcher
}

func (m *Membership) ranksAsWatcher(now time.Time) bool {
	if now.Sub(m.start) < settle {
		return m.self.Seed
	}
	if m.store == storeFails {
		return true
	}
	type entry struct{ name, region string }
	all := []entry{{m.self.Name, m.self.Region}}
	regions := map[string]bool{m.self.Region: true}
	for _, h := range m.live(now) {
		if now.Before(h.storeUntil) {
			continue
		}
		all = append(all, entry{h.name, h.region})
		regions[h.region] = true
	}
	taken := map[string]bool{}
	for i, e := range rank.Order(watcherRole, all, func(e entry) string { return e.name }) {
		first := !taken[e.region]
		taken[e.region] = true
		if e.name == m.self.Name {
			return first || (i < watchersAtLeast && len(regions) < watchersAtLeast)
		}
	}
	return true
}

// IsElectedFor tells whether this host is the one that sends to a cold backend server: the first by rank among
// the live hosts of its region, or of all where its region has none.
func (m *Membership) IsElectedFor(now time.Time, b *plan.Backend) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	names, near := []string{m.self.Name}, m.self.Region == b.Region()
	for _, h := range m.live(now) {
		if !h.serving {
			continue
		}
		here := h.region == b.Region()
		if here && !near {
			names, near = nil, true
		}
		if here == near {
			names = append(names, h.name)
		}
	}
	first, ok := rank.First(b.Key(), names, func(n string) string { return n })
	return ok && first == m.self.Name
}

// Run sends beats and takes those of others until the context ends.
func (m *Membership) Run(ctx context.Context) error {
	go func() {
		<-ctx.Done()
		if err := m.conn.Close(); err != nil {
			m.log.Warn("mesh not closed", "event", "mesh", "error", err)
		}
	}()
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := m.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			m.log.Warn("datagram not read", "event", "mesh", "error", err)
			continue
		}
		b, err := decodeBeat(buf[:n])
		if err != nil {
			m.log.Warn("datagram unreadable", "event", "mesh", "from", from, "error", err)
			continue
		}
		m.take(ctx, time.Now(), from.Addr().Unmap().String(), b)
	}
}

// take takes a beat.
func (m *Membership) take(ctx context.Context, now time.Time, ip string, b *beat) {
	m.mu.Lock()
	m.meet(now, ip)
	h := m.hosts[net.JoinHostPort(ip, strconv.Itoa(m.self.Port))]
	if h == nil || h.newerThan(b) {
		m.mu.Unlock()
		return
	}
	fresh := h.incarnation != b.Incarnation
	if fresh || (!m.alive(now, h) && !m.big()) {
		m.log.Info("host alive", "event", "alive", "host", b.Name, "dataCentre", b.DataCentre)
	}
	h.hear(now, b, m.self.Regions[b.DataCentre])
	for _, p := range b.Peers {
		m.meet(now, p)
	}
	pull := m.behind(b) && !m.pulling[h.address]
	if pull {
		m.pulling[h.address] = true
	}
	address := h.address
	m.mu.Unlock()
	if b.Store == storeAnswers && b.BackMillis >= 0 {
		m.state.ReportRecovery(now, time.Duration(b.BackMillis)*time.Millisecond)
	}
	m.table.ReceiveReports(now, b.Name, unpackWork(b.Work))
	m.table.ReceiveWarmObjects(now, unpackWarm(b.Warm))
	if pull {
		go m.pull(ctx, address)
	}
	if fresh {
		m.greet(now, address)
	}
}

// greet tells a host that has just started of all others at once.
func (m *Membership) greet(now time.Time, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.hosts[address]
	if h == nil || now.Sub(h.sent) < tickEvery {
		return
	}
	b := &beat{
		Name: m.self.Name, DataCentre: m.self.DataCentre, Incarnation: m.inc, Serving: m.serving, Store: m.store, BackMillis: -1,
	}
	for _, t := range plan.Topics() {
		b.Revisions = append(b.Revisions, m.state.Content(t))
	}
	out := mail{mesh: m, beat: b}
	out.send(now, h, true)
}

// newerThan tells whether a beat is older than what is known of the host.
func (h *Host) newerThan(b *beat) bool {
	return b.Incarnation < h.incarnation || (b.Incarnation == h.incarnation && b.Seq <= h.seq)
}

// hear takes what a host says of itself.
func (h *Host) hear(now time.Time, b *beat, region string) {
	h.name, h.dataCentre, h.region = b.Name, b.DataCentre, region
	h.incarnation, h.seq, h.heard, h.serving, h.store = b.Incarnation, b.Seq, now, b.Serving, b.Store
	switch b.Store {
	case storeFails:
		h.storeUntil = now.Add(failedFor)
	case storeAnswers:
		h.storeUntil = time.Time{}
	case storeUntried:
	}
}

// behind tells whether a peer knows a topic at a higher revision.
func (m *Membership) behind(b *beat) bool {
	for i, t := range plan.Topics() {
		if rev, known := m.state.Revision(t); b.Revisions[i] > rev || (!known && b.Revisions[i] > 0) {
			return true
		}
	}
	return false
}
