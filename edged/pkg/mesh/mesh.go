package mesh

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"rosemarygrade.dev/edged/pkg/conns"
	"rosemarygrade.dev/edged/pkg/follow"
	"rosemarygrade.dev/edged/pkg/pick"
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
	maxDatagram     = 60 << 10
	watcherRole     = "watcher"
	// idlePeer is how long a connection for pulls is kept.
	idlePeer = 10 * time.Second
)

// Self describes this host.
type Self struct {
	Name, DataCentre, Region, IP string
	// Port is the port for peers, the same on all hosts.
	Port int
	// Regions gives the region of each data centre.
	Regions map[string]string
}

// Mesh is safe for concurrent use.
type Mesh struct {
	self   Self
	inc    int64
	state  *follow.State
	table  *pick.Table
	log    *slog.Logger
	conn   *net.UDPConn
	client *http.Client

	mu      sync.Mutex
	hosts   map[string]*Host
	seq     uint64
	serving bool
	store   storeState
	pulling map[string]bool
	most    int
	// lastWork is what the last beats told.
	lastWork map[uint32]uint32
}

// New returns a mesh that listens on the host's port for peers.
func New(now time.Time, self Self, state *follow.State, table *pick.Table, log *slog.Logger) (*Mesh, error) {
	addr := net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr(self.IP), uint16(self.Port)))
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, fault.Wrap("listen", KindListen, err)
	}
	dialer := conns.Dialer()
	m := &Mesh{
		self: self, inc: now.UnixNano(), state: state, table: table, log: log, conn: conn,
		hosts: map[string]*Host{}, pulling: map[string]bool{},
		client: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, IdleConnTimeout: idlePeer}},
	}
	return m, nil
}

// Meet adds a host's IP to write to.
func (m *Mesh) Meet(now time.Time, ip string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.meet(now, ip)
}

// meet adds an address to write to.
func (m *Mesh) meet(now time.Time, ip string) {
	if ip == m.self.IP || ip == "" {
		return
	}
	address := net.JoinHostPort(ip, strconv.Itoa(m.self.Port))
	if m.hosts[address] == nil {
		m.hosts[address] = &Host{address: address, heard: now.Add(-farLiveFor)}
	}
}

// SetServing says whether this host takes callers' requests.
func (m *Mesh) SetServing(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.serving = on
}

// SetStore says whether this host reaches the store.
func (m *Mesh) SetStore(ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.store = storeFails
	if ok {
		m.store = storeAnswers
	}
}

// Live returns the hosts that are alive, without this one.
func (m *Mesh) Live(now time.Time) []Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.live(now)
}

func (m *Mesh) live(now time.Time) []Host {
	var out []Host
	for _, h := range m.hosts {
		if h.name != "" && m.alive(now, h) {
			out = append(out, *h)
		}
	}
	slices.SortFunc(out, func(a, b Host) int { return cmp.Compare(a.name, b.name) })
	return out
}

func (m *Mesh) alive(now time.Time, h *Host) bool {
	if h.region == m.self.Region {
		return now.Sub(h.heard) < liveFor
	}
	return now.Sub(h.heard) < farLiveFor
}

// Most returns the highest number of hosts that were alive at once, this one included.
func (m *Mesh) Most() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(1, m.most)
}

// Watcher tells whether this host is one of those that follow the store: the first by rank of each region.
func (m *Mesh) Watcher(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
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

// Keeper tells whether this host is the one that sends to a cold backend server: the first by rank among
// the live hosts of its region, or of all where its region has none.
func (m *Mesh) Keeper(now time.Time, b *plan.Backend) bool {
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
func (m *Mesh) Run(ctx context.Context) error {
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
func (m *Mesh) take(ctx context.Context, now time.Time, ip string, b *beat) {
	m.mu.Lock()
	m.meet(now, ip)
	h := m.hosts[net.JoinHostPort(ip, strconv.Itoa(m.self.Port))]
	if h == nil || b.Incarnation < h.incarnation || (b.Incarnation == h.incarnation && b.Seq <= h.seq) {
		m.mu.Unlock()
		return
	}
	if h.incarnation != b.Incarnation || !m.alive(now, h) {
		m.log.Info("host alive", "event", "alive", "host", b.Name, "dataCentre", b.DataCentre)
	}
	h.hear(now, b, m.self.Regions[b.DataCentre])
	for _, p := range b.Peers {
		m.meet(now, p)
	}
	m.most = max(m.most, len(m.live(now))+1)
	pull := m.behind(b) && !m.pulling[h.address]
	if pull {
		m.pulling[h.address] = true
	}
	address := h.address
	m.mu.Unlock()
	if b.Store == storeAnswers && b.BackMillis >= 0 {
		m.state.BackSince(now, time.Duration(b.BackMillis)*time.Millisecond)
	}
	m.table.Report(now, b.Name, unpackWork(b.Work))
	if pull {
		go m.pull(ctx, address)
	}
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
func (m *Mesh) behind(b *beat) bool {
	for i, t := range plan.Topics() {
		if rev, known := m.state.Revision(t); b.Revisions[i] > rev || (!known && b.Revisions[i] > 0) {
			return true
		}
	}
	return false
}

// Tick sends beats that are due. urgent sends to all.
func (m *Mesh) Tick(now time.Time, urgent bool) {
	work := packWork(m.table.Notes(now))
	members := m.state.Members()
	back := m.state.BackAge(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, mem := range members {
		m.meet(now, mem.IP)
	}
	b := &beat{
		Name: m.self.Name, DataCentre: m.self.DataCentre, Incarnation: m.inc, Serving: m.serving, Store: m.store,
		BackMillis: back.Milliseconds(), Work: work,
	}
	for _, t := range plan.Topics() {
		b.Revisions = append(b.Revisions, m.state.Content(t))
	}
	same := maps.Equal(work, m.lastWork)
	m.lastWork = work
	var plain, full []byte
	for address, h := range m.hosts {
		silent := now.Sub(h.heard)
		if silent > forgetAfter {
			delete(m.hosts, address)
			continue
		}
		dead := !m.alive(now, h)
		if !urgent && !due(now, h, m.self.Region, dead, same) || (dead && now.Sub(h.sent) < deadEvery) {
			continue
		}
		h.sent = now
		// Hosts that may not know others are told of all.
		data := &plain
		if dead {
			data = &full
		}
		if *data == nil {
			*data = m.encode(b, dead)
		}
		m.send(address, *data)
	}
}

func due(now time.Time, h *Host, region string, dead, same bool) bool {
	every := tickEvery
	if same {
		every = unchangedEvery
	}
	if h.region != region {
		every = farEvery
	}
	if dead {
		every = deadEvery
	}
	return now.Sub(h.sent) >= every-tickEvery/2
}

func (m *Mesh) encode(b *beat, full bool) []byte {
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

func (m *Mesh) send(address string, data []byte) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		m.log.Error("peer's address unreadable", "event", "mesh", "address", address, "error", err)
		return
	}
	if _, err := m.conn.WriteToUDPAddrPort(data, to); err != nil {
		m.log.Debug("beat not sent", "event", "mesh", "address", address, "error", err)
	}
}
