package gossip

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/edged/pkg/pick"
	"rosemarygrade.dev/edged/pkg/watch"
	"rosemarygrade.dev/lib/pkg/plan"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type noFleet struct{}

func (noFleet) ElectedFor(*plan.Backend) bool { return false }

func (noFleet) Demand() map[string]float64 { return nil }

// newMesh returns the mesh of host i; hosts stand in two regions in turn.
func newMesh(t *testing.T, i int) *Membership {
	t.Helper()
	regions := map[string]string{"n": "north", "s": "south"}
	log := slog.New(slog.DiscardHandler)
	probe, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	addr, ok := probe.LocalAddr().(*net.UDPAddr)
	assert.Assert(t, ok)
	assert.NilError(t, probe.Close())
	dc := []string{"n", "s"}[i%2]
	self := Self{Name: fmt.Sprintf("host-%d", i), DataCentre: dc, Region: regions[dc], IP: "127.0.0.1", Port: addr.Port, Regions: regions}
	m, err := New(start.Add(-time.Minute), self, watch.NewState(regions, log), pick.New(pick.DefaultRules(), noFleet{}), log)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = m.conn.Close() })
	return m
}

// hear lets a mesh hear another host.
func hear(t *testing.T, m *Membership, i int, now time.Time, change func(b *beat)) {
	t.Helper()
	b := &beat{
		Name: fmt.Sprintf("host-%d", i), DataCentre: []string{"n", "s"}[i%2], Incarnation: 1, Seq: uint64(now.UnixNano()),
		Serving: true, Revisions: make([]uint64, len(plan.Topics())), BackMillis: -1,
	}
	if change != nil {
		change(b)
	}
	data, err := b.encode()
	assert.NilError(t, err)
	got, err := decodeBeat(data)
	assert.NilError(t, err)
	m.take(t.Context(), now, fmt.Sprintf("127.0.1.%d", i), got)
}

func TestLive(t *testing.T) {
	m := newMesh(t, 0)
	hear(t, m, 1, start, nil)
	hear(t, m, 2, start, nil)
	t.Run("hosts that are heard live", func(t *testing.T) { assert.Equal(t, len(m.AliveHosts(start)), 2) })
	t.Run("a silent one of the own region is out first", func(t *testing.T) {
		live := m.AliveHosts(start.Add(liveFor))
		assert.Equal(t, len(live), 1)
		assert.Equal(t, live[0].Region(), "south")
	})
	t.Run("an old beat changes nothing", func(t *testing.T) {
		hear(t, m, 2, start.Add(time.Second), nil)
		hear(t, m, 2, start, func(b *beat) { b.Serving = false })
		for _, h := range m.AliveHosts(start.Add(time.Second)) {
			assert.Assert(t, h.Serving())
		}
	})
	t.Run("a new incarnation counts although its numbers begin anew", func(t *testing.T) {
		hear(t, m, 2, start.Add(time.Second), func(b *beat) { b.Incarnation, b.Seq, b.Serving = 2, 1, false })
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
			m := newMesh(t, i)
			for j := range hosts {
				if j != i {
					hear(t, m, j, start, func(b *beat) {
						if failing[j] {
							b.Store = storeFails
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
	t.Run("one host of each region follows the store", func(t *testing.T) { assert.Equal(t, count(nil), 2) })
	t.Run("others follow for those that can't reach it", func(t *testing.T) {
		for i := range hosts {
			assert.Equal(t, count(map[int]bool{i: true, (i + 3) % hosts: true}), 2)
		}
	})
	t.Run("a host that knows no other follows", func(t *testing.T) { assert.Assert(t, newMesh(t, 0).IsWatcher(start)) })
}

func TestKeepers(t *testing.T) {
	const hosts = 6
	b := plan.NewBackend(plan.BackendSpec{ID: "b", Service: "alpha"}, "south")
	keepers := 0
	for i := range hosts {
		m := newMesh(t, i)
		m.SetServing(true)
		for j := range hosts {
			if j != i {
				hear(t, m, j, start, nil)
			}
		}
		if m.IsElectedFor(start, b) {
			keepers++
			assert.Equal(t, m.self.Region, "south")
		}
	}
	assert.Equal(t, keepers, 1)
}

func TestSnapshotsBetweenHosts(t *testing.T) {
	config, err := plan.NewConfig(plan.ConfigSpec{Version: 4, Services: []plan.ServiceSpec{{Name: "alpha"}}})
	assert.NilError(t, err)
	in := watch.Snapshot{Topic: plan.TopicBackends, Revision: 9, Full: true, Changes: []plan.Change{
		{Name: "main", Revision: 1, Resource: config},
		{Name: "b", Revision: 2, Resource: plan.BackendSpec{ID: "b", Incarnation: 3, Service: "alpha", Slots: 2, SlowStartUntil: start.Add(2 * time.Second)}},
		{Name: "n", Revision: 3, Resource: plan.Drained{}},
		{Name: "host", Revision: 4, Resource: plan.Member{Name: "host", IP: "127.0.0.1"}},
		{Name: "old", Revision: 5, Resource: plan.Removed{}},
	}}
	data, err := json.Marshal(pack(start, in))
	assert.NilError(t, err)
	var between snapshot
	assert.NilError(t, json.Unmarshal(data, &between))
	// The clocks of hosts differ: a cold time is passed on as what is left of it.
	later := start.Add(time.Hour)
	out, err := unpack(later, between)
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

func TestUnreadableBeats(t *testing.T) {
	for _, data := range [][]byte{nil, {1}, []byte("hello"), {0x91, 0xa0}} {
		_, err := decodeBeat(data)
		assert.Assert(t, err != nil)
	}
}

// TestLargePulls passes on a configuration of many routes, which is packed.
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
	from, to := newMesh(t, 0), newMesh(t, 1)
	from.state.Replace(start, plan.TopicConfig, plan.Listing{Revision: 7, Changes: []plan.Change{{Name: "main", Revision: 7, Resource: config}}})
	server := httptest.NewServer(from.Handler())
	t.Cleanup(server.Close)
	to.pull(t.Context(), server.Listener.Addr().String())
	assert.Equal(t, to.state.View().Config().Version(), uint64(2))
	assert.Assert(t, from.kept.packed)
	assert.Assert(t, len(from.kept.data) < 64<<10, "%d bytes", len(from.kept.data))
	t.Run("a host that serves enough others says so", func(t *testing.T) {
		for range servesAtMost {
			from.serves <- struct{}{}
		}
		resp, err := http.Get(server.URL + PathState)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	})
}

// TestLargeRegion has more hosts than each speaks to ten times a second.
func TestLargeRegion(t *testing.T) {
	const hosts = 200
	m := newMesh(t, 0)
	for i := 2; i <= hosts; i += 2 {
		hear(t, m, i, start, nil)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	assert.Assert(t, m.big())
	every := m.nearEvery(false)
	assert.Assert(t, 2*every < farLiveFor, "a lost beat makes a host silent: %s", every)
}
