package gossip

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"rosemarygrade.dev/edged/pkg/watch"
	"rosemarygrade.dev/lib/pkg/fault"
	"rosemarygrade.dev/lib/pkg/plan"
)

// Limits of pulls.
const (
	// pullTimeout covers the transfer of a large configuration over a link of 10 Mbit/s that several pulls share.
	pullTimeout = 2 * time.Second
	// maxConcurrentPulls is how many pulls a host serves at the same time. Rejected peers can pull from those that were
	// served.
	maxConcurrentPulls = 4
	// minCompressBytes is the size from which a response is compressed: for a smaller one, compression costs more than
	// it saves.
	minCompressBytes = 32 << 10
	// maxPullBytes has room for 20,000 backend servers, uncompressed.
	maxPullBytes = 8 << 20
	// maxCacheAge is how long a response is used for further pulls. It holds durations, which count from its encoding.
	maxCacheAge = 100 * time.Millisecond
	// PathState is the HTTP path at which a host serves its resources to peers.
	PathState = "/state"
)

// Delays of pulls in a large fleet. A host pulls from its own data centre if it can, and the delay before it pulls from
// elsewhere differs between hosts, so that most of them find the resources in their data centre by then.
const (
	minFarPullDelay    = 250 * time.Millisecond
	farPullDelaySpread = 500 * time.Millisecond
	// pullInterval is the shortest time between two pulls of a host.
	pullInterval = 100 * time.Millisecond
	// pullHedgeDelay is how long a host waits for a pull before it also pulls from another peer, and maxOwnPulls how many pulls it
	// makes at a time.
	pullHedgeDelay = 400 * time.Millisecond
	maxOwnPulls    = 3
)

// exchangedTopics returns the topics whose resources hosts pass on to each other, in the order in which they are applied.
func exchangedTopics() []plan.Topic {
	return []plan.Topic{plan.TopicConfig, plan.TopicBackends, plan.TopicDrains}
}

// entry is the JSON form of a resource, or of its removal, between hosts.
type entry struct {
	Name            string            `json:"name"`
	Revision        uint64            `json:"revision"`
	Config          *plan.ConfigSpec  `json:"config,omitempty"`
	Backend         *plan.BackendSpec `json:"backend,omitempty"`
	SlowStartMillis int64             `json:"coldMillis,omitempty"`
	Member          *plan.Member      `json:"member,omitempty"`
	Drained         bool              `json:"drained,omitempty"`
	Unreadable      bool              `json:"unreadable,omitempty"`
	Gone            bool              `json:"gone,omitempty"`
	HoldMillis      int64             `json:"holdMillis,omitempty"`
	// Gaps and Backends are those of a delta, in its first entry.
	Gaps     [][2]uint64 `json:"gaps,omitempty"`
	Backends uint64      `json:"backendsRevision,omitempty"`
}

// snapshot is the JSON form of a watch.Snapshot.
type snapshot struct {
	Topic    plan.Topic `json:"topic"`
	Revision uint64     `json:"revision"`
	Full     bool       `json:"full,omitempty"`
	Entries  []entry    `json:"entries"`
	// Gaps holds the ends of each gap, Backends the revision of the sender's backend servers. Hosts of earlier versions ignore them.
	Gaps     [][2]uint64 `json:"gaps,omitempty"`
	Backends uint64      `json:"backendsRevision,omitempty"`
}

// pulls holds which pulls are in progress and due.
type pulls struct {
	inProgress map[netip.Addr]bool
	lastAt     time.Time
	// near and far are the peers of this data centre and of others that last had newer resources, behindSince is since
	// when there is one.
	near, far   netip.Addr
	behindSince time.Time
	farDelay    time.Duration
}

// mayStart reports whether a host of a large fleet may start a pull now. It does not wait for a peer that is slow to respond.
func (p *pulls) mayStart(now time.Time) bool {
	interval := pullInterval
	if len(p.inProgress) > 0 {
		interval = pullHedgeDelay
	}
	return len(p.inProgress) < maxOwnPulls && now.Sub(p.lastAt) >= interval
}

// notePeerRevisions stores that a peer has newer resources than this host, if so.
func (m *Membership) notePeerRevisions(now time.Time, ip netip.Addr, revisions []uint64) {
	if !m.isBehind(revisions) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p, h := &m.pulls, m.hosts[ip]
	if h == nil {
		return
	}
	if p.behindSince.IsZero() {
		p.behindSince, p.farDelay = now, minFarPullDelay+time.Duration(m.random.Int64N(int64(farPullDelaySpread)))
	}
	if h.distance == SameDataCentre {
		p.near = ip
		return
	}
	p.far = ip
}

// isBehind reports whether a peer with these revisions has newer resources than this host.
func (m *Membership) isBehind(revisions []uint64) bool {
	for i, t := range plan.Topics() {
		if t == plan.TopicMembers {
			continue
		}
		if rev, loaded := m.state.Revision(t); revisions[i] > rev || (!loaded && revisions[i] > 0) {
			return true
		}
	}
	return false
}

// pullIfDue starts a pull if a peer has newer resources. In a small fleet it pulls at once from each such peer.
func (m *Membership) pullIfDue(ctx context.Context, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := &m.pulls
	from := p.near
	if !from.IsValid() && (!m.isLargeFleet() || now.Sub(p.behindSince) >= p.farDelay) {
		from = p.far
	}
	if !from.IsValid() || p.inProgress[from] {
		return
	}
	if m.isLargeFleet() && !p.mayStart(now) {
		return
	}
	p.near, p.far, p.behindSince, p.lastAt = netip.Addr{}, netip.Addr{}, time.Time{}, now
	p.inProgress[from] = true
	address := netip.AddrPortFrom(from, uint16(m.self.Port))
	m.network.start(func() {
		if err := m.pull(ctx, address); err != nil {
			m.log.Warn("pulling resources from a peer failed", "event", "pull", "peer", address, "error", err)
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.pulls.inProgress, from)
	})
}

// pull fetches from a peer the resources that are newer there.
func (m *Membership) pull(ctx context.Context, address netip.AddrPort) error {
	have := map[plan.Topic]uint64{}
	for _, t := range exchangedTopics() {
		if rev, loaded := m.state.Revision(t); loaded {
			have[t] = rev
		}
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	snapshots, err := m.network.pull(ctx, address, have)
	if err != nil {
		return err
	}
	now := m.network.now()
	for _, s := range snapshots {
		if err := m.applySnapshot(now, plan.Origin{Via: plan.ViaPull, Peer: address.Addr().String()}, s); err != nil {
			return err
		}
	}
	return nil
}

// applySnapshot applies a snapshot. Durations in it count from when it was encoded.
func (m *Membership) applySnapshot(now time.Time, origin plan.Origin, s snapshot) error {
	snap, err := decodeSnapshot(now.Add(-origin.Age), s)
	if err != nil {
		return err
	}
	snap.Origin = origin
	m.state.ApplySnapshot(now, snap)
	return nil
}

// Handler returns a handler of the pulls of other hosts. A pull gives the puller's revision of each topic as a query
// parameter; the response is a JSON array of snapshots, or 503 while maxConcurrentPulls others are being served.
func (m *Membership) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathState, func(w http.ResponseWriter, r *http.Request) {
		have := map[plan.Topic]uint64{}
		for _, t := range exchangedTopics() {
			if n, err := strconv.ParseUint(r.URL.Query().Get(string(t)), 10, 64); err == nil {
				have[t] = n
			}
		}
		select {
		case m.pullSlots <- struct{}{}:
			defer func() { <-m.pullSlots }()
		default:
			// The peer can pull from one of the hosts that are being served now.
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		m.respond(w, r, have)
	})
	return mux
}

// respond sends the resources that are newer than the revisions in have.
func (m *Membership) respond(w http.ResponseWriter, r *http.Request, have map[plan.Topic]uint64) {
	data, compressed, err := m.cachedChanges(time.Now(), have)
	if err != nil {
		m.log.Error("encoding the response to a pull failed", "event", "mesh", "error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	m.countPull(r.RemoteAddr, len(data))
	w.Header().Set("Content-Type", "application/json")
	if compressed {
		w.Header().Set("Content-Encoding", "gzip")
	}
	if _, err := w.Write(data); err != nil {
		m.log.Debug("sending the response to a pull failed", "event", "mesh", "error", err)
	}
}

// countPull counts a response to the pull of the host at a remote address.
func (m *Membership) countPull(remote string, size int) {
	d := OtherRegion
	if host, _, err := net.SplitHostPort(remote); err == nil {
		if ip, err := netip.ParseAddr(host); err == nil {
			m.mu.Lock()
			if h := m.hosts[ip]; h != nil {
				d = h.distance
			}
			m.mu.Unlock()
		}
	}
	var sizes sectionBytes
	sizes[SectionResources] = size
	m.traffic.add(d, sizes)
}

// cachedResponse is the last response to a pull. Its key is the puller's and the content's revision of each topic.
type cachedResponse struct {
	sync.Mutex
	key        string
	encodedAt  time.Time
	data       []byte
	compressed bool
}

// cachedChanges returns the encoded resources that are newer than the revisions in have. After a change many peers have the
// same revisions, so the last result is cached.
func (m *Membership) cachedChanges(now time.Time, have map[plan.Topic]uint64) (data []byte, compressed bool, err error) {
	key := ""
	for _, t := range exchangedTopics() {
		key += strconv.FormatUint(have[t], 10) + "-" + strconv.FormatUint(m.state.ContentRevision(t), 10) + "/"
	}
	c := &m.cached
	c.Lock()
	defer c.Unlock()
	if c.key != key || now.Sub(c.encodedAt) > maxCacheAge {
		data, compressed, err := m.encodeChanges(now, have)
		if err != nil {
			return nil, false, err
		}
		c.key, c.encodedAt, c.data, c.compressed = key, now, data, compressed
	}
	return c.data, c.compressed, nil
}

// encodeChanges encodes the resources that are newer than the revisions in have, compressed from minCompressBytes on.
func (m *Membership) encodeChanges(now time.Time, have map[plan.Topic]uint64) (data []byte, compressed bool, err error) {
	if data, err = json.Marshal(m.snapshots(now, have)); err != nil || len(data) < minCompressBytes {
		return data, false, err
	}
	data, err = compress(data)
	return data, true, err
}

// snapshots returns a snapshot of each exchanged topic that is newer than the revision in have. They are taken in reverse order, so that
// the backend servers, which the receiver applies first, are not older than the drains.
func (m *Membership) snapshots(now time.Time, have map[plan.Topic]uint64) []snapshot {
	out := []snapshot{}
	for _, t := range slices.Backward(exchangedTopics()) {
		if s, ok := m.state.Snapshot(t, have[t]); ok {
			out = append(out, encodeSnapshot(now, s))
		}
	}
	slices.Reverse(out)
	return out
}

// encodeSnapshot encodes the ends of slow starts and holds as the time left at now, because the clocks of hosts differ.
func encodeSnapshot(now time.Time, s watch.Snapshot) snapshot {
	out := snapshot{Topic: s.Topic, Revision: s.Revision, Full: s.Full, Backends: s.Backends}
	for _, g := range s.Gaps {
		out.Gaps = append(out.Gaps, [2]uint64{g.From, g.To})
	}
	for _, c := range s.Changes {
		e := entry{Name: c.Name, Revision: c.Revision}
		switch item := c.Resource.(type) {
		case *plan.Config:
			spec := item.Spec()
			e.Config = &spec
		case plan.BackendSpec:
			e.Backend = &item
			if left := item.SlowStartUntil.Sub(now); left > 0 {
				e.SlowStartMillis = left.Milliseconds()
			}
		case plan.Member:
			e.Member = &item
		case plan.Drained:
			e.Drained = true
		case plan.Removed:
			e.Gone = true
			if left := item.HoldUntil.Sub(now); left > 0 {
				e.HoldMillis = left.Milliseconds()
			}
		case plan.Unreadable:
			e.Unreadable = true
		}
		out.Entries = append(out.Entries, e)
	}
	return out
}

// decodeBackend checks an entry by the rule of this host, as that of a peer of another version may differ.
func decodeBackend(now time.Time, spec plan.BackendSpec, slowStartMillis int64) plan.Resource {
	if err := spec.Check(); err != nil {
		return plan.Unreadable{Err: err}
	}
	spec.SlowStartUntil = time.Time{}
	if slowStartMillis > 0 {
		spec.SlowStartUntil = now.Add(time.Duration(min(slowStartMillis, maxMillis)) * time.Millisecond)
	}
	return spec
}

// maxMillis bounds the durations in a peer's entries, whose conversion would overflow.
const maxMillis = int64(24 * time.Hour / time.Millisecond)

func decodeSnapshot(now time.Time, s snapshot) (watch.Snapshot, error) {
	out := watch.Snapshot{Topic: s.Topic, Revision: s.Revision, Full: s.Full, Backends: s.Backends}
	for _, g := range s.Gaps {
		out.Gaps = append(out.Gaps, watch.Gap{From: g[0], To: g[1]})
	}
	for _, e := range s.Entries {
		c := plan.Change{Name: e.Name, Revision: e.Revision}
		switch {
		case e.Config != nil:
			config, err := plan.NewConfig(*e.Config)
			if err != nil {
				return out, fault.Wrap("pull", KindFormat, err)
			}
			c.Resource = config
		case e.Backend != nil:
			c.Resource = decodeBackend(now, *e.Backend, e.SlowStartMillis)
		case e.Member != nil:
			c.Resource = *e.Member
		case e.Gone:
			removed := plan.Removed{}
			if e.HoldMillis > 0 {
				removed.HoldUntil = now.Add(time.Duration(min(e.HoldMillis, maxMillis)) * time.Millisecond)
			}
			c.Resource = removed
		case e.Drained:
			c.Resource = plan.Drained{}
		default:
			c.Resource = plan.Unreadable{Err: fault.New("pull", KindFormat, "the peer could not decode the resource")}
		}
		out.Changes = append(out.Changes, c)
	}
	return out, nil
}
