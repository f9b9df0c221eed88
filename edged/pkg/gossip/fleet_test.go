package gossip

import (
	"container/heap"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/edged/pkg/pick"
	"rosemarygrade.dev/edged/pkg/watch"
	"rosemarygrade.dev/lib/pkg/plan"
)

// fleet runs many Memberships in simulated time: three regions of three data centres, datagrams that take from 0.5 ms to
// 20 ms and are lost at a rate, and a store that the elected watchers read.
type fleet struct {
	t        testing.TB
	now      time.Time
	events   eventQueue
	order    int
	random   *rand.Rand
	loss     float64
	regions  map[string]string
	hosts    []*fleetHost
	byIP     map[netip.Addr]*fleetHost
	revision uint64
	objects  map[plan.Topic]map[string]plan.Change
	// cut reports whether no message passes from one host to another; nil means that all do.
	cut func(a, b *fleetHost) bool
	// storeAway reports whether the store does not respond to a host; nil means that it does to all.
	storeAway func(h *fleetHost) bool
	// pullTime returns how long a pull takes until it is served; nil means fleetPullTime.
	pullTime func() time.Duration
}

type fleetHost struct {
	fleet *fleet
	m     *Membership
	state *watch.State
	// down means that its process has ended, stopping that a planned stop has begun.
	down, stopping bool
	// receiving is true while it handles a message; what it sends then is a reply.
	receiving, listed bool
	// probedAt is when it last called a store that did not respond.
	probedAt time.Time
	// learnedAt is when the host had the newest backend servers for the first time since the last change of them.
	learnedAt time.Time
}

type fleetEvent struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue []fleetEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].order < q[j].order)
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) {
	e, ok := x.(fleetEvent)
	if !ok {
		panic("not an event")
	}
	*q = append(*q, e)
}

func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

const (
	fleetSeeds       = 3
	fleetDataCentres = 9
	fleetTick        = 100 * time.Millisecond
	fleetPullTime    = 10 * time.Millisecond
	// fleetRetryInterval is the time between calls of a host to a store that does not respond.
	fleetRetryInterval = 2 * time.Second
)

func newFleet(t testing.TB, size, backends int) *fleet {
	t.Helper()
	return newSeededFleet(t, 1, size, backends)
}

// newSeededFleet returns a fleet whose run depends on nothing but its arguments.
func newSeededFleet(t testing.TB, seed uint64, size, backends int) *fleet {
	t.Helper()
	f := &fleet{
		t: t, now: start.Add(time.Duration(seed)), random: rand.New(rand.NewPCG(seed, uint64(size))), regions: map[string]string{}, byIP: map[netip.Addr]*fleetHost{},
		revision: 10, objects: map[plan.Topic]map[string]plan.Change{},
	}
	for _, topic := range plan.Topics() {
		f.objects[topic] = map[string]plan.Change{}
	}
	for i := range fleetDataCentres {
		f.regions[fmt.Sprintf("dc-%d", i)] = fmt.Sprintf("region-%d", i%3)
	}
	config, err := plan.NewConfig(plan.ConfigSpec{Version: 1, Services: []plan.ServiceSpec{{Name: "alpha"}}})
	assert.NilError(t, err)
	f.declare(plan.TopicConfig, "main", config)
	for i := range backends {
		f.declareBackend(fmt.Sprintf("b-%d", i), 1)
	}
	for range size {
		f.addHost()
	}
	return f
}

func (f *fleet) declare(topic plan.Topic, name string, r plan.Resource) {
	f.revision++
	f.objects[topic][name] = plan.Change{Name: name, Revision: f.revision, Resource: r}
	for _, h := range f.hosts {
		h.learnedAt = time.Time{}
	}
}

func (f *fleet) declareBackend(id string, incarnation int64) {
	f.declare(plan.TopicBackends, id, plan.BackendSpec{ID: id, Incarnation: incarnation, Service: "alpha", Address: "127.0.0.1:1", DataCentre: "dc-0", Slots: 3})
}

// addHost starts a host in the data centre with the next number.
func (f *fleet) addHost() *fleetHost {
	h := &fleetHost{fleet: f}
	f.hosts = append(f.hosts, h)
	f.boot(h, len(f.hosts)-1)
	return h
}

// boot starts the process of host i, which knows only the seeds.
func (f *fleet) boot(h *fleetHost, i int) {
	log := slog.New(slog.DiscardHandler)
	ip := fleetIP(i)
	dc := fmt.Sprintf("dc-%d", i%fleetDataCentres)
	self := Self{Name: fmt.Sprintf("host-%d", i), DataCentre: dc, Region: f.regions[dc], IP: ip.String(), Seed: i < fleetSeeds, Port: 7000, Regions: f.regions}
	h.state = watch.NewState(f.regions, log)
	h.down, h.listed, h.learnedAt = false, false, time.Time{}
	m := newMembership(f.now, self, h.state, pick.New(pick.DefaultRules(), noFleet{}), log, &fleetNetwork{f, h})
	h.m = m
	f.byIP[ip] = h
	for s := range fleetSeeds {
		m.AddPeer(f.now, fleetIP(s).String())
	}
	f.after(time.Duration(f.random.Int64N(int64(fleetTick))), func() { f.tick(h, m) })
	f.after(time.Second, func() { f.register(h, m) })
}

// register registers a host in the store once it is a contact.
func (f *fleet) register(h *fleetHost, m *Membership) {
	switch {
	case h.m != m || h.down:
	case m.IsContact(f.now):
		f.declare(plan.TopicMembers, m.self.Name, plan.Member{Name: m.self.Name, IP: m.self.IP})
	default:
		f.after(time.Second, func() { f.register(h, m) })
	}
}

func fleetIP(i int) netip.Addr { return netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}) }

func (f *fleet) after(d time.Duration, run func()) {
	f.order++
	heap.Push(&f.events, fleetEvent{at: f.now.Add(d), order: f.order, run: run})
}

// run plays the events of a time.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && f.events[0].at.Before(end) {
		e, ok := heap.Pop(&f.events).(fleetEvent)
		if !ok {
			panic("not an event")
		}
		f.now = e.at
		e.run()
	}
	f.now = end
}

// tick calls a process's Tick until the host's process is another one.
func (f *fleet) tick(h *fleetHost, m *Membership) {
	if h.m != m || h.down {
		return
	}
	h.readStore()
	h.state.ExpireHeld(f.now)
	m.SetServing(h.state.View().Config() != nil && !h.stopping)
	m.Tick(f.now, false)
	h.handleChanges()
	f.after(fleetTick, func() { f.tick(h, m) })
}

// readStore lists the store, or reads its changes, if the host is a watcher.
func (h *fleetHost) readStore() {
	f := h.fleet
	if h.m.MustRetry() && f.now.Sub(h.probedAt) < fleetRetryInterval {
		return
	}
	watcher := h.m.IsWatcher(f.now)
	if !watcher {
		h.listed = false
		h.state.Relinquish()
		if !h.m.MustRetry() {
			return
		}
	}
	if f.storeAway != nil && f.storeAway(h) {
		h.listed, h.probedAt = false, f.now
		h.m.SetStoreReachable(false)
		if watcher {
			h.state.SetLocalOutage(h.m.PeersReachStore(f.now))
			h.state.SetUnavailable(f.now)
		}
		return
	}
	h.m.SetStoreReachable(true)
	if !watcher {
		return
	}
	if !h.listed {
		h.state.SetLocalOutage(h.m.PeersReachStore(f.now))
	}
	defer h.state.SetAvailable(f.now)
	for _, topic := range plan.Topics() {
		rev, _ := h.state.Revision(topic)
		l := plan.Listing{Revision: f.revision}
		for _, c := range f.objects[topic] {
			if _, removed := c.Resource.(plan.Removed); (!h.listed && !removed) || (h.listed && c.Revision > rev) {
				l.Changes = append(l.Changes, c)
			}
		}
		switch {
		case !h.listed:
			h.state.Replace(f.now, topic, l)
		case len(l.Changes) > 0:
			h.state.Update(f.now, topic, l)
		}
	}
	h.listed = true
}

// handleChanges does what the process does when the resources have changed.
func (h *fleetHost) handleChanges() {
	select {
	case <-h.state.Changed():
		h.m.Tick(h.fleet.now, true)
	default:
	}
	if h.learnedAt.IsZero() && h.upToDate() {
		h.learnedAt = h.fleet.now
	}
}

// upToDate reports whether the host has the newest configuration and backend servers.
func (h *fleetHost) upToDate() bool {
	v := h.state.View()
	newest, backends := uint64(0), 0
	for _, c := range h.fleet.objects[plan.TopicBackends] {
		newest = max(newest, c.Revision)
		if _, removed := c.Resource.(plan.Removed); !removed {
			backends++
		}
	}
	if v.Config() == nil || v.Backends() != backends {
		return false
	}
	rev, _ := h.state.Revision(plan.TopicBackends)
	return rev >= newest
}

func (f *fleet) latency(a, b *fleetHost) time.Duration {
	switch {
	case a.m.self.DataCentre == b.m.self.DataCentre:
		return 500 * time.Microsecond
	case a.m.self.Region == b.m.self.Region:
		return 1400 * time.Microsecond
	default:
		return 20 * time.Millisecond
	}
}

func (f *fleet) reaches(a, b *fleetHost) bool {
	return !a.down && !b.down && (f.cut == nil || !f.cut(a, b))
}

// fleetNetwork is the network of one host.
type fleetNetwork struct {
	fleet *fleet
	host  *fleetHost
}

func (n *fleetNetwork) send(to netip.AddrPort, data []byte) error {
	f, target := n.fleet, n.fleet.byIP[to.Addr()]
	if target == nil || !f.reaches(n.host, target) || f.random.Float64() < f.loss {
		return nil
	}
	from := n.host.m.address
	f.after(f.latency(n.host, target), func() {
		if target.down {
			return
		}
		target.receiving = true
		target.m.receive(context.Background(), f.now, from, data)
		target.receiving = false
		target.handleChanges()
	})
	return nil
}

func (n *fleetNetwork) start(run func()) {
	m := n.host.m
	delay := fleetPullTime
	if n.fleet.pullTime != nil {
		delay = n.fleet.pullTime()
	}
	n.fleet.after(delay, func() {
		if n.host.m == m && !n.host.down {
			run()
			n.host.handleChanges()
		}
	})
}

func (n *fleetNetwork) now() time.Time { return n.fleet.now }

func (n *fleetNetwork) pull(_ context.Context, from netip.AddrPort, have map[plan.Topic]uint64) ([]snapshot, error) {
	target := n.fleet.byIP[from.Addr()]
	if target == nil || !n.fleet.reaches(n.host, target) {
		return nil, errors.New("unreachable")
	}
	out := target.m.snapshots(n.fleet.now, have)
	data, err := json.Marshal(out)
	if err != nil {
		return nil, err
	}
	target.m.countPull(netip.AddrPortFrom(n.host.m.address, 1).String(), len(data))
	return out, nil
}

// sentBytes returns the bytes of some sections that all hosts have sent.
func (f *fleet) sentBytes(sections ...Section) (total, crossing int64) {
	for _, h := range f.hosts {
		h.m.Traffic().Each(func(d Distance, s Section, n int64) {
			for _, wanted := range sections {
				if s == wanted {
					total += n
					if d != SameDataCentre {
						crossing += n
					}
				}
			}
		})
	}
	return total, crossing
}

// messages returns the number of messages that all hosts have sent.
func (f *fleet) messages() int64 {
	var n int64
	for _, h := range f.hosts {
		for _, d := range Distances() {
			n += h.m.Traffic().Messages(d)
		}
	}
	return n
}

func (f *fleet) resourceBytes() int64 {
	n, _ := f.sentBytes(SectionResources)
	return n
}

var allSections = []Section{SectionHeartbeat, SectionRecords, SectionResources, SectionLoads, SectionWarm}

// assertNeighboursKnown checks that each running host believes exactly the running hosts of its data centre alive.
func (f *fleet) assertNeighboursKnown() {
	f.t.Helper()
	wrong, example := 0, ""
	for _, h := range f.hosts {
		if h.down {
			continue
		}
		known := map[string]bool{}
		for _, a := range h.m.AliveHosts(f.now) {
			if a.DataCentre() == h.m.self.DataCentre {
				known[a.id()] = true
			}
		}
		for _, other := range f.hosts {
			if other != h && other.m.self.DataCentre == h.m.self.DataCentre && known[other.m.self.IP] == other.down {
				wrong++
				example = fmt.Sprintf("%s of %s, down %t", h.m.self.Name, other.m.self.Name, other.down)
			}
		}
	}
	f.assertZero(wrong, "wrong beliefs on hosts of the same data centre, such as "+example)
}

func (f *fleet) assertZero(n int, what string) {
	f.t.Helper()
	assert.Equal(f.t, n, 0, what)
}

// outdated returns how many running hosts lack the newest resources.
func (f *fleet) outdated() int {
	n := 0
	for _, h := range f.hosts {
		if !h.down && !h.upToDate() {
			n++
		}
	}
	return n
}
