package gossip

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/edged/pkg/pick"
	"rosemarygrade.dev/edged/pkg/watch"
	"rosemarygrade.dev/lib/pkg/plan"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type noFleet struct{}

func (noFleet) IsElectedFor(*plan.Backend) bool { return false }

func (noFleet) SlowStartShare() float64 { return 1 }

func (noFleet) Hosts() int { return 1 }

func (noFleet) Demand() map[string]float64 { return nil }

// newTestMembership returns the Membership of host i: even hosts are in region north, odd ones in south.
func newTestMembership(t *testing.T, i int) *Membership {
	t.Helper()
	regions := map[string]string{"n": "north", "s": "south"}
	log := slog.New(slog.DiscardHandler)
	dc := []string{"n", "s"}[i%2]
	self := Self{Name: fmt.Sprintf("host-%d", i), DataCentre: dc, Region: regions[dc], IP: fmt.Sprintf("127.0.1.%d", i), Regions: regions}
	m, err := New(start.Add(-time.Minute), self, watch.NewState(regions, log), pick.New(pick.DefaultRules(), noFleet{}), log)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = m.conn.Close() })
	addr, ok := m.conn.LocalAddr().(*net.UDPAddr)
	assert.Assert(t, ok)
	m.self.Port = addr.Port
	return m
}

// receiveHeartbeat makes m handle a heartbeat of host i.
func receiveHeartbeat(t *testing.T, m *Membership, i int, now time.Time, change func(hb *heartbeat)) {
	t.Helper()
	hb := &heartbeat{
		Name: fmt.Sprintf("host-%d", i), DataCentre: []string{"n", "s"}[i%2], Incarnation: 1, Seq: uint64(now.UnixNano()),
		Serving: true, Revisions: make([]uint64, len(plan.Topics())), StoreRecoveryAgeMillis: -1,
	}
	if change != nil {
		change(hb)
	}
	data, _, err := hb.encode()
	assert.NilError(t, err)
	got, err := decodeHeartbeat(data)
	assert.NilError(t, err)
	m.handleHeartbeat(t.Context(), now, netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), got)
}

func TestLive(t *testing.T) {
	m := newTestMembership(t, 0)
	receiveHeartbeat(t, m, 1, start, nil)
	receiveHeartbeat(t, m, 2, start, nil)
	t.Run("hosts whose heartbeats arrive are alive", func(t *testing.T) { assert.Equal(t, len(m.AliveHosts(start)), 2) })
	t.Run("a host of the same region fails before a remote one", func(t *testing.T) {
		alive := m.AliveHosts(start.Add(regionTimeout))
		assert.Equal(t, len(alive), 1)
		assert.Equal(t, alive[0].Region(), "south")
	})
	t.Run("a heartbeat that arrives out of order is ignored", func(t *testing.T) {
		receiveHeartbeat(t, m, 2, start.Add(time.Second), nil)
		receiveHeartbeat(t, m, 2, start, func(hb *heartbeat) { hb.Serving = false })
		for _, h := range m.AliveHosts(start.Add(time.Second)) {
			assert.Assert(t, h.Serving())
		}
	})
	t.Run("the heartbeats of a restarted host count although its sequence numbers start again", func(t *testing.T) {
		receiveHeartbeat(t, m, 2, start.Add(time.Second), func(hb *heartbeat) { hb.Incarnation, hb.Seq, hb.Serving = 2, 1, false })
		serving := 0
		for _, h := range m.AliveHosts(start.Add(time.Second)) {
			if h.Serving() {
				serving++
			}
		}
		assert.Equal(t, serving, 1)
	})
}

func TestWatchers(t *testing.T) {
	const hosts = 8
	count := func(failing map[int]bool) int {
		n := 0
		for i := range hosts {
			m := newTestMembership(t, i)
			for j := range hosts {
				if j != i {
					receiveHeartbeat(t, m, j, start, func(hb *heartbeat) {
						if failing[j] {
							hb.Store = storeUnreachable
						}
					})
				}
			}
			if !failing[i] && m.IsWatcher(start) {
				n++
			}
		}
		return n
	}
	t.Run("one host of each region watches the store", func(t *testing.T) { assert.Equal(t, count(nil), 2) })
	t.Run("other hosts watch in place of those that can't reach the store", func(t *testing.T) {
		for i := range hosts {
			assert.Equal(t, count(map[int]bool{i: true, (i + 3) % hosts: true}), 2)
		}
	})
	t.Run("a host without peers watches", func(t *testing.T) { assert.Assert(t, newTestMembership(t, 0).IsWatcher(start)) })
}

func TestElectedHost(t *testing.T) {
	const hosts = 6
	b := plan.NewBackend(plan.BackendSpec{ID: "b", Service: "alpha"}, "south")
	elected := 0
	for i := range hosts {
		m := newTestMembership(t, i)
		m.SetServing(true)
		for j := range hosts {
			if j != i {
				receiveHeartbeat(t, m, j, start, nil)
			}
		}
		if m.IsElectedFor(start, b) {
			elected++
			assert.Equal(t, m.self.Region, "south")
		}
	}
	assert.Equal(t, elected, 1)
}

// TestElectedWhileStopping guards against several hosts that send to a backend server in slow start, because those that are stopping go on
// after the others have chosen another host.
func TestElectedWhileStopping(t *testing.T) {
	const hosts = 6
	b := plan.NewBackend(plan.BackendSpec{ID: "b", Service: "alpha"}, "south")
	elected := func(stopping map[int]bool) (list []int) {
		for i := range hosts {
			m := newTestMembership(t, i)
			m.SetServing(true)
			for j := range hosts {
				if j != i {
					receiveHeartbeat(t, m, j, start, func(hb *heartbeat) { hb.Serving = !stopping[j] })
				}
			}
			m.IsElectedFor(start, b)
			if stopping[i] {
				m.Leave()
			}
			if m.IsElectedFor(start, b) {
				list = append(list, i)
			}
		}
		return list
	}
	t.Run("one host goes on in place of those that are stopping", func(t *testing.T) {
		for i := range hosts {
			for j := range hosts {
				stopping := map[int]bool{i: true, j: true}
				list := elected(stopping)
				assert.Equal(t, len(list), 1, "%v", stopping)
				assert.Assert(t, !stopping[list[0]])
			}
		}
	})
	t.Run("one goes on if all are stopping", func(t *testing.T) {
		assert.Equal(t, len(elected(map[int]bool{0: true, 1: true, 2: true, 3: true, 4: true, 5: true})), 1)
	})
}

// TestSlowStartShare guards against groups of hosts that are cut off from each other and together send more than two elected hosts.
func TestSlowStartShare(t *testing.T) {
	const size = 12
	share := func(t *testing.T, group int) float64 {
		t.Helper()
		m := newTestMembership(t, 0)
		for i := 1; i < size; i++ {
			receiveHeartbeat(t, m, i, start, func(hb *heartbeat) { hb.FleetSize = size })
		}
		later := start.Add(time.Minute)
		for i := 1; i < group; i++ {
			receiveHeartbeat(t, m, i, later, nil)
		}
		return m.SlowStartShare(later)
	}
	t.Run("all groups of one size together have at most two whole shares", func(t *testing.T) {
		for _, group := range []int{1, 2, 3, 4, 6, 12} {
			assert.Assert(t, share(t, group)*float64(size/group) <= bearableSenders+1e-9, "groups of %d", group)
		}
	})
	t.Run("half of the hosts have a whole share", func(t *testing.T) { assert.Equal(t, share(t, size/2), 1.0) })
	t.Run("a host without peers has a whole share", func(t *testing.T) {
		assert.Equal(t, newTestMembership(t, 0).SlowStartShare(start), 1.0)
	})
}

// TestOddEntriesOfPeers guards against an entry that a peer of another version accepts and that names no backend server to use.
func TestOddEntriesOfPeers(t *testing.T) {
	good := plan.BackendSpec{ID: "b", Service: "alpha", Address: "127.0.0.1:1", DataCentre: "n", Slots: 2}
	for name, alter := range map[string]func(s *plan.BackendSpec){
		"most slots":     func(s *plan.BackendSpec) { s.Slots = math.MaxInt },
		"no slots":       func(s *plan.BackendSpec) { s.Slots = 0 },
		"port 0":         func(s *plan.BackendSpec) { s.Address = "127.0.0.1:0" },
		"port 65536":     func(s *plan.BackendSpec) { s.Address = "127.0.0.1:65536" },
		"no service":     func(s *plan.BackendSpec) { s.Service = "" },
		"no data centre": func(s *plan.BackendSpec) { s.DataCentre = "" },
	} {
		t.Run(name, func(t *testing.T) {
			spec := good
			alter(&spec)
			out, err := decodeSnapshot(start, snapshot{Topic: plan.TopicBackends, Revision: 9, Entries: []entry{{Name: "b", Backend: &spec}, {Name: "c", Backend: &good}}})
			assert.NilError(t, err)
			_, unreadable := out.Changes[0].Resource.(plan.Unreadable)
			assert.Assert(t, unreadable)
			assert.DeepEqual(t, out.Changes[1].Resource, plan.Resource(good))
		})
	}
	t.Run("durations that would overflow", func(t *testing.T) {
		out, err := decodeSnapshot(start, snapshot{Topic: plan.TopicBackends, Revision: 9, Entries: []entry{
			{Name: "b", Backend: &good, SlowStartMillis: math.MaxInt64}, {Name: "c", Gone: true, HoldMillis: math.MaxInt64},
		}})
		assert.NilError(t, err)
		spec, _ := out.Changes[0].Resource.(plan.BackendSpec)
		assert.Equal(t, spec.SlowStartUntil, start.Add(24*time.Hour))
		removed, _ := out.Changes[1].Resource.(plan.Removed)
		assert.Equal(t, removed.HoldUntil, start.Add(24*time.Hour))
	})
}

func TestSnapshotsBetweenHosts(t *testing.T) {
	config, err := plan.NewConfig(plan.ConfigSpec{Version: 4, Services: []plan.ServiceSpec{{Name: "alpha"}}})
	assert.NilError(t, err)
	in := watch.Snapshot{Topic: plan.TopicBackends, Revision: 9, Full: true, Changes: []plan.Change{
		{Name: "main", Revision: 1, Resource: config},
		{Name: "b", Revision: 2, Resource: plan.BackendSpec{
			ID: "b", Incarnation: 3, Service: "alpha", Address: "127.0.0.1:1", DataCentre: "n", Slots: 2, SlowStartUntil: start.Add(2 * time.Second),
		}},
		{Name: "n", Revision: 3, Resource: plan.Drained{}},
		{Name: "host", Revision: 4, Resource: plan.Member{Name: "host", IP: "127.0.0.1"}},
		{Name: "old", Revision: 5, Resource: plan.Removed{}},
	}}
	data, err := json.Marshal(encodeSnapshot(start, in))
	assert.NilError(t, err)
	var decoded snapshot
	assert.NilError(t, json.Unmarshal(data, &decoded))
	// The clocks of hosts differ, so the end of a slow start is sent as the time left.
	later := start.Add(time.Hour)
	out, err := decodeSnapshot(later, decoded)
	assert.NilError(t, err)
	assert.Equal(t, len(out.Changes), len(in.Changes))
	assert.Assert(t, out.Full)
	spec, ok := out.Changes[1].Resource.(plan.BackendSpec)
	assert.Assert(t, ok)
	assert.Assert(t, spec.SlowStartUntil.Equal(later.Add(2*time.Second)))
	got, ok := out.Changes[0].Resource.(*plan.Config)
	assert.Assert(t, ok)
	assert.Equal(t, got.Version(), uint64(4))
}

func TestInvalidHeartbeats(t *testing.T) {
	for _, data := range [][]byte{nil, {1}, []byte("hello"), {0x91, 0xa0}} {
		_, err := decodeHeartbeat(data)
		assert.Assert(t, err != nil)
	}
}

// TestLargePulls pulls a configuration with many routes, whose response is compressed.
func TestLargePulls(t *testing.T) {
	const routes = 900
	spec := plan.ConfigSpec{Version: 2, Services: []plan.ServiceSpec{{Name: "alpha"}}}
	for i := range routes {
		spec.Routes = append(spec.Routes, plan.RouteSpec{
			Name: fmt.Sprintf("r%d", i), Host: "web", Prefix: fmt.Sprintf("/r%d/", i), Timeout: time.Second, MaxAttempts: 1,
			WeightedServices: []plan.WeightedService{{Service: "alpha", Weight: 1}},
		})
	}
	config, err := plan.NewConfig(spec)
	assert.NilError(t, err)
	from, to := newTestMembership(t, 0), newTestMembership(t, 1)
	from.state.Replace(start, plan.TopicConfig, plan.Listing{Revision: 7, Changes: []plan.Change{{Name: "main", Revision: 7, Resource: config}}})
	server := httptest.NewServer(from.Handler())
	t.Cleanup(server.Close)
	assert.NilError(t, to.pull(t.Context(), netip.MustParseAddrPort(server.Listener.Addr().String())))
	assert.Equal(t, to.state.View().Config().Version(), uint64(2))
	assert.Assert(t, from.cached.compressed)
	assert.Assert(t, len(from.cached.data) < 64<<10, "%d bytes", len(from.cached.data))
	t.Run("a host that is serving the maximum number of pulls responds with 503", func(t *testing.T) {
		for range maxConcurrentPulls {
			from.pullSlots <- struct{}{}
		}
		resp, err := http.Get(server.URL + PathState)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	})
}

// TestCachedPull changes nothing between two pulls: the second one must not repeat the time left of a slow start from the first.
func TestCachedPull(t *testing.T) {
	m := newTestMembership(t, 0)
	spec := plan.BackendSpec{ID: "b", Incarnation: 1, Service: "alpha", Address: "127.0.0.1:1", DataCentre: "n", Slots: 3, SlowStartUntil: start.Add(5 * time.Second)}
	m.state.Replace(start, plan.TopicBackends, plan.Listing{Revision: 3, Changes: []plan.Change{{Name: "b", Revision: 3, Resource: spec}}})
	for _, after := range []time.Duration{0, time.Second, 4 * time.Second} {
		data, _, err := m.cachedChanges(start.Add(after), map[plan.Topic]uint64{})
		assert.NilError(t, err)
		var got []snapshot
		assert.NilError(t, json.Unmarshal(data, &got))
		assert.Equal(t, got[0].Entries[0].SlowStartMillis, (5*time.Second - after).Milliseconds())
	}
}

func TestPackedLoads(t *testing.T) {
	rows := map[string]struct{ in, out pick.ServerReport }{
		"usual":                       {pick.ServerReport{InFlight: 3, LatencyFactor: 1.5}, pick.ServerReport{InFlight: 3, LatencyFactor: 1.5}},
		"a latency beyond the format": {pick.ServerReport{InFlight: 3, LatencyFactor: 1e6}, pick.ServerReport{InFlight: 3, LatencyFactor: 6553.5}},
		"requests beyond the format":  {pick.ServerReport{InFlight: 1 << 20, LatencyFactor: 2}, pick.ServerReport{InFlight: 65535, LatencyFactor: 2}},
	}
	for name, r := range rows {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, unpackLoad(packLoad(map[uint32]pick.ServerReport{7: r.in}))[7], r.out)
		})
	}
}

// TestUnencodable sends a heartbeat that could not be encoded: no empty datagram may go out.
func TestUnencodable(t *testing.T) {
	m := newTestMembership(t, 0)
	receiveHeartbeat(t, m, 1, start, nil)
	m.send(start, m.sorted[0], message{})
	assert.Equal(t, len(m.outgoing), 0)
}

// TestRetry lets a host lose the store: it leaves the watch to the others, and watches again when no other one can.
func TestRetry(t *testing.T) {
	m := newTestMembership(t, 0)
	receiveHeartbeat(t, m, 2, start, nil)
	m.SetStoreReachable(false)
	assert.Assert(t, !m.IsWatcher(start))
	assert.Assert(t, m.MustRetry())
	receiveHeartbeat(t, m, 2, start.Add(time.Second), func(hb *heartbeat) { hb.Store = storeUnreachable })
	assert.Assert(t, m.IsWatcher(start.Add(time.Second)))
	m.SetStoreReachable(true)
	assert.Assert(t, !m.MustRetry())
}

// TestRecordAges lets a host learn of another one only by records: it fails at a fixed time after its own last heartbeat, however
// late the last record arrived.
func TestRecordAges(t *testing.T) {
	m := newTestMembership(t, 0)
	const age = 20
	receiveHeartbeat(t, m, 2, start, func(hb *heartbeat) {
		hb.Records = []record{{IP: packIP(netip.AddrFrom4([4]byte{127, 0, 1, 4})), DataCentre: "n", Incarnation: 1, Seq: 7, Age: age, Serving: true}}
	})
	alive := func(now time.Time) bool {
		for _, h := range m.AliveHosts(now) {
			if h.Address().Addr().As4()[3] == 4 {
				return true
			}
		}
		return false
	}
	assert.Assert(t, alive(start))
	assert.Assert(t, !alive(start.Add(regionTimeout-age*ageUnit)))
}

// TestClockStepsBack restarts a host while its clock is behind: the other hosts take its heartbeats for old ones, so it must take a
// newer incarnation once it learns of that.
func TestClockStepsBack(t *testing.T) {
	m := newTestMembership(t, 0)
	before := m.incarnation
	receiveHeartbeat(t, m, 2, start, func(hb *heartbeat) {
		hb.Records = []record{{IP: packIP(m.address), DataCentre: "n", Incarnation: before + 1000, Seq: 7}}
	})
	assert.Assert(t, m.incarnation > before+1000)
	t.Run("a record of an older incarnation changes nothing", func(t *testing.T) {
		now := m.incarnation
		receiveHeartbeat(t, m, 2, start.Add(time.Second), func(hb *heartbeat) {
			hb.Records = []record{{IP: packIP(m.address), DataCentre: "n", Incarnation: before, Seq: 9}}
		})
		assert.Equal(t, m.incarnation, now)
	})
}
