package pick

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/lib/pkg/plan"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type testFleet struct{ keeper bool }

func (f testFleet) ElectedFor(*plan.Backend) bool { return f.keeper }

func (testFleet) Demand() map[string]float64 { return map[string]float64{"north": 0.5, "south": 0.5} }

// view has n backend servers with two slots, in turn in both regions.
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

// finish ends a request, which took a third of the time where its object was warm.
func finish(table *Table, now time.Time, b *plan.Backend, q Query) {
	took := firstCold
	if _, warm := table.server(b).warm[q.short()]; warm {
		took = firstWarm
	}
	table.Done(now, b, &q, took, Answered, Load{})
}

func TestHomes(t *testing.T) {
	table, v := New(DefaultRules(), testFleet{}), view(10, nil)
	home := map[uint64]string{}
	for object := range uint64(100) {
		b := chosen(t, table.Choose(start, v, query(object)))
		home[object] = b.ID()
		finish(table, start, b, query(object))
	}
	t.Run("an object stays where it is warm", func(t *testing.T) {
		for object, id := range home {
			b := chosen(t, table.Choose(start, v, query(object)))
			assert.Equal(t, b.ID(), id)
			finish(table, start, b, query(object))
		}
	})
	t.Run("another host finds the same home", func(t *testing.T) {
		other := New(DefaultRules(), testFleet{})
		for object, id := range home {
			b := chosen(t, other.Choose(start, v, query(object)))
			assert.Equal(t, b.ID(), id)
			finish(other, start, b, query(object))
		}
	})
	t.Run("few objects move when a backend server joins", func(t *testing.T) {
		wider, fresh, moved := view(11, nil), New(DefaultRules(), testFleet{}), 0
		for object, id := range home {
			b := chosen(t, fresh.Choose(start, wider, query(object)))
			if b.ID() != id {
				moved++
			}
			finish(fresh, start, b, query(object))
		}
		assert.Assert(t, moved <= 2*100/11+5, "%d of 100 moved", moved)
	})
}

func TestHomesByRegion(t *testing.T) {
	const objects = 400
	table, v := New(DefaultRules(), testFleet{}), view(10, nil)
	far := [2]int{}
	for object := range uint64(objects) {
		q := query(object)
		list := table.candidates(start, v, table.service("alpha"), &q)
		for home := range far {
			if list[home].backend.Region() != "north" {
				far[home]++
			}
		}
	}
	t.Run("where a region has the slots for its callers, their objects have their first home there", func(t *testing.T) {
		assert.Equal(t, far[0], 0)
	})
	t.Run("some of the second homes are elsewhere", func(t *testing.T) {
		// An object whose best place of all is far has it as its second home; of the rest, those whose next best is.
		p, others := DefaultRules().FurtherFree/2, 4.0/5
		expected := objects * (p + (1-p)*p/(p+(1-p)*others))
		assert.Assert(t, far[1] > int(expected/2) && far[1] < int(2*expected), "%d", far[1])
	})
}

// TestOrders compares the orders that are kept with the whole order, also while many backend servers are out.
func TestOrders(t *testing.T) {
	table, v := New(DefaultRules(), testFleet{}), view(3*orderLength, nil)
	svc := table.service("alpha")
	ids := func(object uint64) []string {
		q := query(object)
		var out []string
		for _, s := range table.candidates(start, v, svc, &q) {
			out = append(out, s.backend.ID())
		}
		return out
	}
	whole := func(object uint64) []string {
		var out []string
		for _, s := range svc.shares.rank(object, len(svc.shares.members)) {
			if len(out) < candidatesMost && !start.Before(s.outUntil) {
				out = append(out, s.backend.ID())
			}
		}
		return out
	}
	for object := range uint64(50) {
		first := ids(object)
		assert.DeepEqual(t, first, whole(object))
		assert.DeepEqual(t, ids(object), first)
	}
	for i, s := range svc.shares.rank(7, len(svc.shares.members)) {
		if i < 2*orderLength {
			s.outUntil = start.Add(time.Minute)
		}
	}
	assert.DeepEqual(t, ids(7), whole(7))
	assert.Equal(t, len(ids(7)), candidatesMost)
}

// BenchmarkChoose is a choice among the 279 backend servers of the users' largest service.
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

func TestWarmIsTold(t *testing.T) {
	v := view(2, nil)
	one, other := New(DefaultRules(), testFleet{}), New(DefaultRules(), testFleet{})
	first := chosen(t, one.Choose(start, v, query(1)))
	finish(one, start, first, query(1))
	news := one.WarmObjects(start, start)
	assert.DeepEqual(t, news, []WarmObject{{Server: Short(first), Object: 1}})
	t.Run("another host that hears it goes there although work is under way", func(t *testing.T) {
		other.Choose(start, v, query(1))
		other.ReceiveWarmObjects(start, news)
		c, ok := other.Choose(start, v, query(1)).(Chosen)
		assert.Assert(t, ok)
		assert.Equal(t, c.Backend.ID(), first.ID())
		assert.Assert(t, c.Explanation.Warm)
	})
	t.Run("what is told is no news", func(t *testing.T) {
		assert.Equal(t, len(one.WarmObjects(start.Add(time.Second), start.Add(time.Second))), 0)
		finish(one, start.Add(time.Second), first, query(1))
		assert.Equal(t, len(one.WarmObjects(start.Add(time.Second), start.Add(time.Second))), 0)
	})
	t.Run("what is told of an unknown backend server is passed over", func(*testing.T) {
		other.ReceiveWarmObjects(start, []WarmObject{{Server: 7, Object: 7}})
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
	t.Run("a request waits while its homes are full, and goes when a slot is free", func(t *testing.T) {
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
	t.Run("the urgent one goes first", func(t *testing.T) {
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
	t.Run("a request that would come too late is turned away at once", func(t *testing.T) {
		table, v := New(DefaultRules(), testFleet{}), view(1, nil)
		fill(table, v)
		full := 0
		for range 50 {
			if f, ok := table.Choose(start, v, query(1)).(Rejected); ok {
				assert.Assert(t, f.RetryAfter > 0)
				full++
			}
		}
		assert.Assert(t, full > 0)
	})
	t.Run("a request that gives up frees what it was given", func(t *testing.T) {
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
	t.Run("only the keeper sends to a cold one, at its rate", func(t *testing.T) {
		cold := view(1, func(s *plan.BackendSpec) { s.SlowStartUntil = start.Add(time.Minute) })
		_, sent := New(DefaultRules(), testFleet{}).Choose(start, cold, query(1)).(Chosen)
		assert.Assert(t, !sent)
		keeper, count := New(DefaultRules(), testFleet{keeper: true}), 0
		for ms := range 3000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			if c, ok := keeper.Choose(now, cold, query(uint64(ms))).(Chosen); ok {
				count++
				finish(keeper, now, c.Backend, query(uint64(ms)))
			}
		}
		assert.Assert(t, count >= 4 && count <= 6, "%d sends in 3 s at 2 a second", count)
	})
	t.Run("one that fails is left out for a while", func(t *testing.T) {
		table, v := New(DefaultRules(), testFleet{}), view(2, nil)
		first := chosen(t, table.Choose(start, v, query(1)))
		q := query(1)
		for range failuresOut {
			table.Done(start, first, &q, 0, Failed, Load{})
		}
		assert.Assert(t, chosen(t, table.Choose(start, v, query(1))) != first)
	})
	t.Run("a request that no backend server may take is turned away at once", func(t *testing.T) {
		table, v := New(DefaultRules(), testFleet{}), view(1, nil)
		q := query(1)
		q.Tried = []string{v.Usable("alpha")[0].Key()}
		f, full := table.Choose(start, v, q).(Rejected)
		assert.Assert(t, full)
		assert.Assert(t, f.RetryAfter > 0)
	})
	t.Run("a request that waits when the last one is left out is turned away", func(t *testing.T) {
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
		for range failuresOut {
			lost := query(1)
			table.Done(start, busy[0], &lost, 0, Failed, Load{})
		}
		table.Dispatch(start, v, "alpha")
		_, full := (<-q.Ticket.Result()).(Rejected)
		assert.Assert(t, full)
	})
	t.Run("who was turned away comes back sooner where there was room", func(t *testing.T) {
		table := New(DefaultRules(), testFleet{})
		room, full := Load{Reported: true, Running: 1, Slots: 2}, Load{Reported: true, Running: 2, Slots: 2}
		assert.Assert(t, table.RetryAfter(room) < table.RetryAfter(full))
		assert.Equal(t, table.RetryAfter(Load{}), table.RetryAfter(full))
	})
	t.Run("one that was tried is not tried again", func(t *testing.T) {
		table, v := New(DefaultRules(), testFleet{}), view(2, nil)
		q := query(1)
		first := chosen(t, table.Choose(start, v, q))
		q.Tried = []string{first.Key()}
		assert.Assert(t, chosen(t, table.Choose(start, v, q)) != first)
	})
	t.Run("other hosts' work counts", func(t *testing.T) {
		table, v := New(DefaultRules(), testFleet{}), view(1, nil)
		b := v.Usable("alpha")[0]
		table.server(b)
		table.ReceiveReports(start, "peer", map[uint32]ServerReport{Short(b): {InFlight: 10}})
		_, sent := table.Choose(start, v, query(1)).(Chosen)
		assert.Assert(t, !sent)
	})
}

func TestRepeats(t *testing.T) {
	rule := BudgetRule{Window: 10 * time.Second, Ratio: 0.2, FreeRetries: 50}
	t.Run("all hosts together stay below the budget in every window", func(t *testing.T) {
		const hosts, asked = 10, 100
		repeats, spent := make([]*RetryBudget, hosts), 0
		for i := range repeats {
			repeats[i] = NewRetryBudget(rule)
			for range asked {
				repeats[i].RecordRequest(start, "alpha")
				if repeats[i].TryWithdraw(start, "alpha", hosts) {
					spent++
				}
			}
		}
		assert.Assert(t, float64(spent) <= rule.Ratio*asked*hosts+rule.FreeRetries, "%d repeats", spent)
		assert.Assert(t, spent > 0)
	})
	t.Run("the budget comes back after the window", func(t *testing.T) {
		r := NewRetryBudget(rule)
		for r.TryWithdraw(start, "alpha", 1) {
			continue
		}
		assert.Assert(t, r.TryWithdraw(start.Add(rule.Window+rule.Window/buckets), "alpha", 1))
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
}
