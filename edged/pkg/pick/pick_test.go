package pick

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/lib/pkg/plan"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type testFleet struct {
	elected bool
	hosts   int
	// share is that of a slow-start rate; 0 means all of it.
	share float64
}

func (f testFleet) IsElectedFor(*plan.Backend) bool { return f.elected }

func (f testFleet) SlowStartShare() float64 { return cmp.Or(f.share, 1) }

func (f testFleet) Hosts() int { return max(1, f.hosts) }

func (testFleet) Demand() map[string]float64 { return map[string]float64{"north": 0.5, "south": 0.5} }

// view returns n backend servers with two slots each, alternating between two regions.
func view(n int, change func(s *plan.BackendSpec)) *plan.View {
	var specs []plan.BackendSpec
	for i := range n {
		s := plan.BackendSpec{ID: fmt.Sprintf("b%d", i), Service: "alpha", Address: "x", DataCentre: []string{"n", "s"}[i%2], Slots: 2}
		if change != nil {
			change(&s)
		}
		specs = append(specs, s)
	}
	config, err := plan.NewConfig(plan.ConfigSpec{Services: []plan.ServiceSpec{{Name: "alpha", SlowStartRate: 2}}})
	if err != nil {
		panic(err)
	}
	return plan.NewView(config, specs, nil, map[string]string{"n": "north", "s": "south"})
}

func query(object uint64) Query {
	return Query{
		Service: "alpha", Region: "north", Allows: func(string) bool { return true }, Object: object, Sticky: true,
		Objective: start.Add(time.Second), Deadline: start.Add(3 * time.Second),
	}
}

func chosen(t *testing.T, r Result) *plan.Backend {
	t.Helper()
	c, ok := r.(Chosen)
	assert.Assert(t, ok, "%T", r)
	return c.Backend
}

// finish ends a request with the mean service time for a warm or a cold object.
func finish(table *Table, now time.Time, b *plan.Backend, q Query) {
	took := defaultColdTime
	if _, warm := table.server(b).warmObjects[q.objectID()]; warm {
		took = defaultWarmTime
	}
	table.Done(now, b, &q, took, Answered, Load{})
}

func TestPreferredServers(t *testing.T) {
	table, v := New(DefaultRules(), testFleet{}), view(10, nil)
	preferred := map[uint64]string{}
	for object := range uint64(100) {
		b := chosen(t, table.Choose(start, v, query(object)))
		preferred[object] = b.ID()
		finish(table, start, b, query(object))
	}
	t.Run("an object is sent to the same backend server again", func(t *testing.T) {
		for object, id := range preferred {
			b := chosen(t, table.Choose(start, v, query(object)))
			assert.Equal(t, b.ID(), id)
			finish(table, start, b, query(object))
		}
	})
	t.Run("another host prefers the same backend server", func(t *testing.T) {
		other := New(DefaultRules(), testFleet{})
		for object, id := range preferred {
			b := chosen(t, other.Choose(start, v, query(object)))
			assert.Equal(t, b.ID(), id)
			finish(other, start, b, query(object))
		}
	})
	t.Run("few objects move when a backend server joins", func(t *testing.T) {
		wider, fresh, moved := view(11, nil), New(DefaultRules(), testFleet{}), 0
		for object, id := range preferred {
			b := chosen(t, fresh.Choose(start, wider, query(object)))
			if b.ID() != id {
				moved++
			}
			finish(fresh, start, b, query(object))
		}
		assert.Assert(t, moved <= 2*100/11+5, "%d of 100 moved", moved)
	})
}

func TestPreferredServersByRegion(t *testing.T) {
	const objects = 400
	table, v := New(DefaultRules(), testFleet{}), view(10, nil)
	remote := [2]int{}
	for object := range uint64(objects) {
		q := query(object)
		list := table.eligibleServers(start, v, table.service("alpha"), &q)
		for place := range remote {
			if list[place].backend.Region() != "north" {
				remote[place]++
			}
		}
	}
	t.Run("a region with enough slots for its callers holds the first preferred servers of their objects", func(t *testing.T) {
		assert.Equal(t, remote[0], 0)
	})
	t.Run("some of the second preferred servers are in another region", func(t *testing.T) {
		// The second is remote if the best of the whole ranking is, or if the best is local and the next best is remote.
		p, others := DefaultRules().FurtherSpread/2, 4.0/5
		expected := objects * (p + (1-p)*p/(p+(1-p)*others))
		assert.Assert(t, remote[1] > int(expected/2) && remote[1] < int(2*expected), "%d", remote[1])
	})
}

// TestCachedRankings compares the cached rankings with the full ranking, also with more backend servers ejected than a
// cached ranking holds.
func TestCachedRankings(t *testing.T) {
	table, v := New(DefaultRules(), testFleet{}), view(3*rankingLength, nil)
	svc := table.service("alpha")
	ids := func(object uint64) []string {
		q := query(object)
		var out []string
		for _, s := range table.eligibleServers(start, v, svc, &q) {
			out = append(out, s.backend.ID())
		}
		return out
	}
	full := func(object uint64) []string {
		var out []string
		for _, s := range svc.rendezvous.rank(object, len(svc.rendezvous.members)) {
			if len(out) < maxCandidates && !start.Before(s.ejectedUntil) {
				out = append(out, s.backend.ID())
			}
		}
		return out
	}
	for object := range uint64(50) {
		first := ids(object)
		assert.DeepEqual(t, first, full(object))
		assert.DeepEqual(t, ids(object), first)
	}
	for i, s := range svc.rendezvous.rank(7, len(svc.rendezvous.members)) {
		if i < 2*rankingLength {
			s.ejectedUntil = start.Add(time.Minute)
		}
	}
	assert.DeepEqual(t, ids(7), full(7))
	assert.Equal(t, len(ids(7)), maxCandidates)
}

// BenchmarkChoose measures a choice among 279 backend servers, the size of a large service.
func BenchmarkChoose(b *testing.B) {
	table, v := New(DefaultRules(), testFleet{}), view(279, nil)
	for i := range b.N {
		q := query(uint64(i % 216))
		now := start.Add(time.Duration(i) * time.Millisecond)
		if c, ok := table.Choose(now, v, q).(Chosen); ok {
			finish(table, now, c.Backend, q)
		}
	}
}

func TestWarmObjectsAdvertised(t *testing.T) {
	v := view(2, nil)
	one, other := New(DefaultRules(), testFleet{}), New(DefaultRules(), testFleet{})
	first := chosen(t, one.Choose(start, v, query(1)))
	finish(one, start, first, query(1))
	updates := one.WarmObjects(start, start, maxWarmObjects)
	assert.DeepEqual(t, updates, []WarmObject{{Server: ShortID(first), Object: 1}})
	t.Run("a host that received the update sends there although a request is in flight", func(t *testing.T) {
		other.Choose(start, v, query(1))
		other.ReceiveWarmObjects(start, updates, false)
		c, ok := other.Choose(start, v, query(1)).(Chosen)
		assert.Assert(t, ok)
		assert.Equal(t, c.Backend.ID(), first.ID())
		assert.Assert(t, c.Explanation.Warm)
	})
	t.Run("an advertised object is not advertised again", func(t *testing.T) {
		assert.Equal(t, len(one.WarmObjects(start.Add(time.Second), start.Add(time.Second), maxWarmObjects)), 0)
		finish(one, start.Add(time.Second), first, query(1))
		assert.Equal(t, len(one.WarmObjects(start.Add(time.Second), start.Add(time.Second), maxWarmObjects)), 0)
	})
	t.Run("an update about an unknown backend server is skipped", func(*testing.T) {
		other.ReceiveWarmObjects(start, []WarmObject{{Server: 7, Object: 7}}, false)
	})
}

func TestQueue(t *testing.T) {
	fill := func(table *Table, v *plan.View) []*plan.Backend {
		var busy []*plan.Backend
		for object := uint64(100); ; object++ {
			r := table.Choose(start, v, query(object))
			c, ok := r.(Chosen)
			if !ok {
				if q, waits := r.(Queued); waits {
					table.Cancel(q.Ticket)
				}
				return busy
			}
			busy = append(busy, c.Backend)
		}
	}
	t.Run("a request is queued while its preferred servers are full, and sent when a slot is free", func(t *testing.T) {
		table, v := New(DefaultRules(), testFleet{}), view(2, nil)
		busy := fill(table, v)
		q, ok := table.Choose(start, v, query(1)).(Queued)
		assert.Assert(t, ok)
		for _, b := range busy {
			finish(table, start, b, query(1))
		}
		table.Dispatch(start, v, "alpha")
		chosen(t, <-q.Ticket.Result())
	})
	t.Run("the request with the higher priority is sent first", func(t *testing.T) {
		table, v := New(DefaultRules(), testFleet{}), view(1, nil)
		busy := fill(table, v)
		low, high := query(1), query(2)
		low.Priority, high.Priority = 2, 0
		later, ok := table.Choose(start, v, low).(Queued)
		assert.Assert(t, ok)
		first, ok := table.Choose(start, v, high).(Queued)
		assert.Assert(t, ok)
		finish(table, start, busy[0], query(1))
		table.Dispatch(start, v, "alpha")
		assert.Equal(t, len(first.Ticket.Result()), 1)
		assert.Equal(t, len(later.Ticket.Result()), 0)
	})
	t.Run("a request that would finish too late is rejected without being queued", func(t *testing.T) {
		table, v := New(DefaultRules(), testFleet{}), view(1, nil)
		fill(table, v)
		rejected := 0
		for range 50 {
			if f, ok := table.Choose(start, v, query(1)).(Rejected); ok {
				assert.Assert(t, f.RetryAfter > 0)
				rejected++
			}
		}
		assert.Assert(t, rejected > 0)
	})
	t.Run("a cancelled request returns the backend server chosen for it", func(t *testing.T) {
		table, v := New(DefaultRules(), testFleet{}), view(1, nil)
		busy := fill(table, v)
		q, ok := table.Choose(start, v, query(1)).(Queued)
		assert.Assert(t, ok)
		finish(table, start, busy[0], query(1))
		table.Dispatch(start, v, "alpha")
		assert.Assert(t, table.Cancel(q.Ticket) != nil)
		assert.Equal(t, table.QueueLength(), 0)
	})
}

func TestLimitsOfBackends(t *testing.T) {
	t.Run("only the elected host sends during slow start, at the limited rate", func(t *testing.T) {
		starting := view(1, func(s *plan.BackendSpec) { s.SlowStartUntil = start.Add(time.Minute) })
		_, sent := New(DefaultRules(), testFleet{}).Choose(start, starting, query(1)).(Chosen)
		assert.Assert(t, !sent)
		elected, count := New(DefaultRules(), testFleet{elected: true}), 0
		for ms := range 3000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			if c, ok := elected.Choose(now, starting, query(uint64(ms))).(Chosen); ok {
				count++
				finish(elected, now, c.Backend, query(uint64(ms)))
			}
		}
		assert.Assert(t, count >= 4 && count <= 6, "%d sends in 3 s at 2 a second", count)
	})
	t.Run("two hosts that are both elected for a moment stay below what the backend server bears", func(t *testing.T) {
		// It bears 1.5 times its rate and 5 more in a second.
		const bearable = 1.5*2 + 5
		starting := view(1, func(s *plan.BackendSpec) { s.SlowStartUntil = start.Add(time.Minute) })
		one, other := New(DefaultRules(), testFleet{elected: true}), New(DefaultRules(), testFleet{elected: true})
		var sends []time.Time
		for ms := range 5000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			for _, table := range []*Table{one, other} {
				if c, ok := table.Choose(now, starting, query(uint64(ms))).(Chosen); ok {
					sends = append(sends, now)
					finish(table, now, c.Backend, query(uint64(ms)))
				}
			}
		}
		for i := range sends {
			inSecond := 0
			for _, at := range sends[i:] {
				if at.Sub(sends[i]) < time.Second {
					inSecond++
				}
			}
			assert.Assert(t, inSecond <= bearable, "%d sends in a second", inSecond)
		}
	})
	t.Run("consecutive failures eject a backend server", func(t *testing.T) {
		table, v := New(DefaultRules(), testFleet{}), view(2, nil)
		first := chosen(t, table.Choose(start, v, query(1)))
		q := query(1)
		for range ejectionFailures {
			table.Done(start, first, &q, 0, Failed, Load{})
		}
		assert.Assert(t, chosen(t, table.Choose(start, v, query(1))) != first)
	})
	t.Run("a request without an eligible backend server is rejected without being queued", func(t *testing.T) {
		table, v := New(DefaultRules(), testFleet{}), view(1, nil)
		q := query(1)
		q.Tried = []string{v.Usable("alpha")[0].Key()}
		f, rejected := table.Choose(start, v, q).(Rejected)
		assert.Assert(t, rejected)
		assert.Assert(t, f.RetryAfter > 0)
	})
	t.Run("a queued request is rejected when the last backend server is ejected", func(t *testing.T) {
		table, v := New(DefaultRules(), testFleet{}), view(1, nil)
		var busy []*plan.Backend
		for object := uint64(1); ; object++ {
			c, ok := table.Choose(start, v, query(object)).(Chosen)
			if !ok {
				break
			}
			busy = append(busy, c.Backend)
		}
		q, ok := table.Choose(start, v, query(1)).(Queued)
		assert.Assert(t, ok)
		for range ejectionFailures {
			lost := query(1)
			table.Done(start, busy[0], &lost, 0, Failed, Load{})
		}
		table.Dispatch(start, v, "alpha")
		_, rejected := (<-q.Ticket.Result()).(Rejected)
		assert.Assert(t, rejected)
	})
	t.Run("the retry delay is shorter after a rejection by a backend server with spare slots", func(t *testing.T) {
		table := New(DefaultRules(), testFleet{})
		room, full := Load{Reported: true, Running: 1, Slots: 2}, Load{Reported: true, Running: 2, Slots: 2}
		assert.Assert(t, table.RetryAfter(room) < table.RetryAfter(full))
		assert.Equal(t, table.RetryAfter(Load{}), table.RetryAfter(full))
	})
	t.Run("a backend server that was tried is not chosen again", func(t *testing.T) {
		table, v := New(DefaultRules(), testFleet{}), view(2, nil)
		q := query(1)
		first := chosen(t, table.Choose(start, v, q))
		q.Tried = []string{first.Key()}
		assert.Assert(t, chosen(t, table.Choose(start, v, q)) != first)
	})
	t.Run("other hosts' requests in flight count as load", func(t *testing.T) {
		table, v := New(DefaultRules(), testFleet{}), view(1, nil)
		b := v.Usable("alpha")[0]
		table.server(b)
		table.ReceiveReports(start, "peer", map[uint32]ServerReport{ShortID(b): {InFlight: 10}})
		_, sent := table.Choose(start, v, query(1)).(Chosen)
		assert.Assert(t, !sent)
	})
}

func TestRetryBudget(t *testing.T) {
	rule := BudgetRule{Window: 10 * time.Second, Ratio: 0.2, FreeRetries: 50}
	t.Run("all hosts together stay below the budget in every window", func(t *testing.T) {
		const hosts, requests = 10, 100
		budgets, retries := make([]*RetryBudget, hosts), 0
		for i := range budgets {
			budgets[i] = NewRetryBudget(rule)
			for range requests {
				budgets[i].RecordRequest(start, "alpha")
				if budgets[i].TryWithdraw(start, "alpha", hosts) {
					retries++
				}
			}
		}
		assert.Assert(t, float64(retries) <= rule.Ratio*requests*hosts+rule.FreeRetries, "%d retries", retries)
		assert.Assert(t, retries > 0)
	})
	t.Run("the budget is restored after the window", func(t *testing.T) {
		r := NewRetryBudget(rule)
		for r.TryWithdraw(start, "alpha", 1) {
			continue
		}
		assert.Assert(t, r.TryWithdraw(start.Add(rule.Window+rule.Window/windowBuckets), "alpha", 1))
	})
}

func TestSplits(t *testing.T) {
	config, err := plan.NewConfig(plan.ConfigSpec{
		Services: []plan.ServiceSpec{{Name: "a"}, {Name: "b"}},
		Routes: []plan.RouteSpec{{
			Host: "h", Prefix: "/", Timeout: time.Second, MaxAttempts: 1,
			WeightedServices: []plan.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}},
		}},
	})
	assert.NilError(t, err)
	splits, count := NewSplits(), map[string]int{}
	for range 100 {
		count[splits.Next(config.Route("h", "/x"))]++
	}
	assert.DeepEqual(t, count, map[string]int{"a": 90, "b": 10})
	t.Run("routes of earlier configurations are dropped", func(t *testing.T) {
		next, err := plan.NewConfig(config.Spec())
		assert.NilError(t, err)
		splits.Prune(config)
		assert.Equal(t, len(splits.routes), 1)
		splits.Prune(next)
		assert.Equal(t, len(splits.routes), 0)
	})
}

// TestSpreadWithoutReports sends requests without an object from many hosts that know only their own load, as in a large fleet:
// they must not all choose the same backend server.
func TestSpreadWithoutReports(t *testing.T) {
	const (
		hosts, backends, requests = 100, 40, 20
		mean                      = hosts * requests / backends
	)
	v := view(backends, func(s *plan.BackendSpec) { s.DataCentre = "n" })
	counts := map[string]int{}
	for h := range hosts {
		table := New(DefaultRules(), testFleet{})
		for i := range requests {
			q := query(uint64(h*requests + i))
			q.Sticky = false
			b := chosen(t, table.Choose(start, v, q))
			counts[b.ID()]++
			finish(table, start, b, q)
		}
	}
	busiest := 0
	for _, n := range counts {
		busiest = max(busiest, n)
	}
	assert.Assert(t, busiest <= 2*mean, "the busiest backend server got %d requests, the mean is %d", busiest, mean)
}
