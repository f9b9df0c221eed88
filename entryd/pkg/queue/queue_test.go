package queue_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosemarygrade.dev/entryd/pkg/flow"
	"rosemarygrade.dev/entryd/pkg/queue"
	"rosemarygrade.dev/lib/pkg/model"
)

// init sets a fixed seed, so that every run tests the same cases; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// servers returns n servers with the given number of slots each.
func servers(n, slots int) []model.Server {
	spec := `{"service":"s","servers":[`
	for i := range n {
		if i > 0 {
			spec += ","
		}
		spec += fmt.Sprintf(`{"address":"127.0.0.%d:1","dataCentre":"d","slots":%d}`, i+1, slots)
	}
	p, err := model.Parse("placement", "s", []byte(spec+"]}"))
	if err != nil {
		panic(err)
	}
	r, _ := model.Parse("region", "own", []byte(`{"dataCentres":["d"],"maxHosts":1}`))
	return model.NewSnapshot([]model.Object{p, r}).Site(model.SiteID{Service: "s", DataCentre: "d"}).Servers()
}

func site(n, slots int) *queue.Queue {
	q := queue.New("own")
	q.SetServers(servers(n, slots))
	return q
}

func live(source string, deadline int) *queue.Ticket {
	return queue.NewTicket(source, false, at(deadline))
}

func admit(t *testing.T, q *queue.Queue, now int, tickets ...*queue.Ticket) {
	t.Helper()
	for _, x := range tickets {
		r := q.Admit(at(now), x)
		assert.Assert(t, r == nil, "rejected: %v", r)
	}
}

func assertRejected(t *testing.T, r *flow.Rejected, kind flow.RejectionKind) {
	t.Helper()
	assert.Assert(t, r != nil)
	assert.Equal(t, r.Kind, kind)
	assert.Equal(t, r.Outcome, flow.OutcomeNotRun)
}

func assertDispatched(t *testing.T, q *queue.Queue, now int, want ...*queue.Ticket) {
	t.Helper()
	got := q.Dispatch(at(now))
	assert.Equal(t, len(got), len(want))
	for i := range want {
		assert.Assert(t, got[i] == want[i], "dispatched ticket %d is not the expected one", i)
		assert.Assert(t, got[i].Server() != "")
	}
}

func TestOrder(t *testing.T) {
	t.Run("earliest deadline first", func(t *testing.T) {
		q := site(1, 1)
		a, b := live("own", 900), live("own", 500)
		admit(t, q, 0, a, b)
		assertDispatched(t, q, 0, b)
		q.Done(at(1), b, queue.End{Ran: true})
		assertDispatched(t, q, 1, a)
	})
	t.Run("live before background", func(t *testing.T) {
		q := site(1, 1)
		bg, l := queue.NewTicket("own", true, at(100)), live("own", 900)
		admit(t, q, 0, bg, l)
		assertDispatched(t, q, 0, l)
	})
	t.Run("background uses only a share of the slots", func(t *testing.T) {
		q := site(2, 2)
		var bg []*queue.Ticket
		for range 4 {
			bg = append(bg, queue.NewTicket("own", true, at(10_000)))
		}
		admit(t, q, 0, bg...)
		assertDispatched(t, q, 0, bg[0], bg[1])
	})
	t.Run("requests spread over free servers", func(t *testing.T) {
		q := site(3, 1)
		admit(t, q, 0, live("own", 900), live("own", 900), live("own", 900))
		seen := map[string]bool{}
		for _, x := range q.Dispatch(at(0)) {
			seen[x.Server()] = true
		}
		assert.Equal(t, len(seen), 3)
	})
}

func TestAdmit(t *testing.T) {
	t.Run("no server", func(t *testing.T) {
		assertRejected(t, queue.New("own").Admit(at(0), live("own", 900)), flow.RejectedNoServer)
	})
	t.Run("past deadline", func(t *testing.T) {
		assertRejected(t, site(1, 1).Admit(at(10), live("own", 10)), flow.RejectedExpired)
	})
	t.Run("would miss its deadline", func(t *testing.T) {
		q := site(1, 1)
		first := live("own", 1000)
		admit(t, q, 0, first)
		q.Dispatch(at(0))
		q.Done(at(100), first, queue.End{Ran: true})
		admit(t, q, 100, live("own", 5000), live("own", 5000))
		q.Dispatch(at(100))
		assertRejected(t, q.Admit(at(100), live("own", 150)), flow.RejectedWouldExpire)
	})
	t.Run("queue is bounded", func(t *testing.T) {
		q := site(1, 1)
		for range q.Capacity() {
			admit(t, q, 0, live("own", 1000))
		}
		assertRejected(t, q.Admit(at(0), live("own", 1000)), flow.RejectedQuota)
	})
}

func except(all []model.Server, address string) []model.Server {
	return slices.DeleteFunc(slices.Clone(all), func(v model.Server) bool { return v.Address() == address })
}

func TestLeavingServers(t *testing.T) {
	t.Run("a leaving server gets no new requests and finishes its own", func(t *testing.T) {
		q := site(2, 1)
		a := live("own", 1000)
		admit(t, q, 0, a)
		assertDispatched(t, q, 0, a)
		q.SetServers(except(servers(2, 1), a.Server()))
		b, c := live("own", 1000), live("own", 1000)
		admit(t, q, 1, b, c)
		assertDispatched(t, q, 1, b)
		assert.Assert(t, b.Server() != a.Server())
		assert.Equal(t, q.InFlight(), 2)
		q.Done(at(2), a, queue.End{Ran: true})
		assertDispatched(t, q, 2)
	})
	t.Run("free slots of a leaving server stay unused", func(t *testing.T) {
		q := site(2, 2)
		a := live("own", 1000)
		admit(t, q, 0, a)
		assertDispatched(t, q, 0, a)
		q.SetServers(except(servers(2, 2), a.Server()))
		admit(t, q, 1, live("own", 1000), live("own", 1000), live("own", 1000))
		for _, x := range q.Dispatch(at(1)) {
			assert.Assert(t, x.Server() != a.Server())
		}
	})
	t.Run("a restored server keeps its in-flight count", func(t *testing.T) {
		q := site(1, 1)
		a, b := live("own", 1000), live("own", 1000)
		admit(t, q, 0, a)
		q.Dispatch(at(0))
		q.SetServers(nil)
		q.SetServers(servers(1, 1))
		admit(t, q, 1, b)
		assertDispatched(t, q, 1)
		q.Done(at(2), a, queue.End{Ran: true})
		assertDispatched(t, q, 2, b)
	})
	t.Run("an added server starts with one slot", func(t *testing.T) {
		q := site(1, 4)
		q.SetServers(servers(2, 4))
		for range 8 {
			admit(t, q, 0, live("own", 1000))
		}
		assert.Equal(t, len(q.Dispatch(at(0))), 5)
	})
}

// TestOtherOwnersRequestsUseSlots checks that the requests in flight from a previous owner use
// slots, so that a server doesn't get more requests than it has slots after a change of owner.
func TestOtherOwnersRequestsUseSlots(t *testing.T) {
	q := site(1, 3)
	q.SetOtherInFlight("127.0.0.1:1", 2)
	a, b := live("own", 1000), live("own", 1000)
	admit(t, q, 0, a, b)
	assertDispatched(t, q, 0, a)
	q.SetOtherInFlight("127.0.0.1:1", 0)
	assertDispatched(t, q, 0, b)
}

func TestCancelAndExpire(t *testing.T) {
	q := site(1, 1)
	a, b, c := live("own", 1000), live("own", 50), live("own", 900)
	admit(t, q, 0, a, b, c)
	assertDispatched(t, q, 0, b)
	assert.Assert(t, !q.Cancel(at(1), b), "a dispatched ticket can't be cancelled")
	assert.Assert(t, q.Cancel(at(1), a))
	assert.Equal(t, len(q.Expire(at(899))), 0)
	assert.Equal(t, len(q.Expire(at(900))), 1)
	assert.Equal(t, q.Load().Queued, 0)
}

func TestHedge(t *testing.T) {
	t.Run("only to a free slot of another server", func(t *testing.T) {
		q := site(2, 1)
		a := live("own", 1000)
		admit(t, q, 0, a)
		q.Dispatch(at(0))
		h := q.Hedge(at(1), a)
		assert.Assert(t, h != nil && h.Server() != a.Server())
		assert.Assert(t, q.Hedge(at(1), a) == nil)
	})
	t.Run("not while requests are queued", func(t *testing.T) {
		q := site(1, 1)
		a := live("own", 1000)
		admit(t, q, 0, a, live("own", 1000))
		q.Dispatch(at(0))
		assert.Assert(t, q.Hedge(at(1), a) == nil)
	})
}

// TestSlotsHold runs random operations on a queue. After each one no server has more requests than
// slots, the counts match the tickets, and the admitted requests stay within the site's capacity.
func TestSlotsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, slots := rapid.IntRange(1, 4).Draw(t, "servers"), rapid.IntRange(1, 3).Draw(t, "slots")
		q := site(n, slots)
		m := &machine{t: t, q: q, slots: slots, n: n}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.step()
			m.check()
		}
	})
}

type machine struct {
	t       *rapid.T
	q       *queue.Queue
	n       int
	slots   int
	now     int
	waiting []*queue.Ticket
	running []*queue.Ticket
}

func (m *machine) step() {
	m.now += rapid.IntRange(0, 40).Draw(m.t, "ms")
	switch rapid.IntRange(0, 6).Draw(m.t, "action") {
	case 0, 1, 2:
		source := rapid.SampledFrom([]string{"own", "far", "farther"}).Draw(m.t, "source")
		x := queue.NewTicket(source, rapid.Bool().Draw(m.t, "background"), at(m.now+rapid.IntRange(1, 400).Draw(m.t, "deadline")))
		if m.q.Admit(at(m.now), x) == nil {
			m.waiting = append(m.waiting, x)
		}
	case 3:
		if len(m.running) > 0 {
			x := m.running[0]
			m.running = m.running[1:]
			m.q.Done(at(m.now), x, queue.End{Ran: rapid.Bool().Draw(m.t, "ran")})
		}
	case 4:
		m.q.SetServers(servers(m.n, m.slots)[rapid.IntRange(0, m.n).Draw(m.t, "removed"):])
	case 5:
		m.q.Expire(at(m.now))
	case 6:
		if len(m.running) > 0 {
			if h := m.q.Hedge(at(m.now), m.running[0]); h != nil {
				m.running = append(m.running, h)
			}
		}
	}
	m.running = append(m.running, m.q.Dispatch(at(m.now))...)
}

func (m *machine) check() {
	byServer := map[string]int{}
	for _, x := range m.running {
		byServer[x.Server()]++
	}
	for address, n := range byServer {
		if n > m.slots {
			m.t.Fatalf("server %s has %d requests on %d slots", address, n, m.slots)
		}
	}
	if m.q.InFlight() != len(m.running) {
		m.t.Fatalf("in flight %d, want %d", m.q.InFlight(), len(m.running))
	}
	admitted := 0
	for region, n := range m.q.AdmittedByRegion() {
		if n < 0 {
			m.t.Fatalf("region %s has %d admitted requests", region, n)
		}
		admitted += n
	}
	if limit := m.slots * m.n * 9; admitted > limit {
		m.t.Fatalf("%d requests admitted at a capacity of %d", admitted, limit)
	}
}
