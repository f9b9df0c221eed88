package pick

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosemarygrade.dev/lib/pkg/header"
	"rosemarygrade.dev/lib/pkg/plan"
)

func rampUp() Rules {
	rules := DefaultRules()
	rules.RampUp = true
	return rules
}

// rampView returns n backend servers of one region with 9 slots each, of which the first is changed.
func rampView(n int, rate float64, change func(s *plan.BackendSpec)) *plan.View {
	var specs []plan.BackendSpec
	for i := range n {
		s := plan.BackendSpec{ID: fmt.Sprintf("b%02d", i), Service: "alpha", Address: "x", DataCentre: "n", Slots: rampSlots}
		if i == 0 && change != nil {
			change(&s)
		}
		specs = append(specs, s)
	}
	config, err := plan.NewConfig(plan.ConfigSpec{Services: []plan.ServiceSpec{{Name: "alpha", SlowStartRate: rate}}})
	if err != nil {
		panic(err)
	}
	return plan.NewView(config, specs, nil, map[string]string{"n": "north"})
}

// rampClient asks one host for decisions on requests that only the first backend server of a view has not tried yet, unless others may
// take them.
type rampClient struct {
	table *Table
	view  *plan.View
}

func newRampClient(v *plan.View, f testFleet) *rampClient {
	c := &rampClient{table: New(rampUp(), f), view: v}
	c.table.random = rand.New(rand.NewPCG(1, 1))
	return c
}

func (c *rampClient) first() *plan.Backend { return c.view.Usable("alpha")[0] }

// query returns a request that only the first backend server may get.
func (c *rampClient) query(now time.Time, object uint64) Query {
	q := query(object)
	q.Objective, q.Deadline = now.Add(time.Second), now.Add(3*time.Second)
	for _, b := range c.view.Usable("alpha")[1:] {
		q.Tried = append(q.Tried, b.Key())
	}
	return q
}

// send reports whether a request is sent to the first backend server now.
func (c *rampClient) send(now time.Time, object uint64) (Query, bool) {
	q := c.query(now, object)
	switch r := c.table.Choose(now, c.view, q).(type) {
	case Chosen:
		return q, true
	case Queued:
		c.table.Cancel(r.Ticket)
	}
	return q, false
}

func (c *rampClient) done(now time.Time, q Query, took time.Duration, o Outcome) {
	c.table.Done(now, c.first(), &q, took, o, Load{Reported: o == Answered, Running: 1, Slots: rampSlots, LatencyFactor: 1})
}

// sendFor sends a request every millisecond, each with an outcome after a millisecond, and returns when they were sent.
func (c *rampClient) sendFor(from time.Time, length time.Duration, outcome func(n int) Outcome) []time.Time {
	var sends []time.Time
	for at := time.Duration(0); at < length; at += time.Millisecond {
		now := from.Add(at)
		if q, sent := c.send(now, uint64(at)); sent {
			c.done(now.Add(time.Millisecond/2), q, time.Millisecond/2, outcome(len(sends)))
			sends = append(sends, now)
		}
	}
	return sends
}

func always(o Outcome) func(int) Outcome { return func(int) Outcome { return o } }

// eject ends three requests with failures, so that the first backend server is ejected.
func (c *rampClient) eject(now time.Time) {
	for range ejectionFailures {
		q := c.query(now, 1)
		c.table.server(c.first()).begin(now, &q)
		c.done(now, q, 0, Failed)
	}
}

// ramp returns the shared ramp-up of the first backend server.
func (c *rampClient) ramp(now time.Time) *sharedPhase {
	q := c.query(now, 1)
	c.table.eligibleServers(now, c.view, c.table.service("alpha"), &q)
	return c.table.sharedRamp(now, c.table.server(c.first()))
}

func maxInSecond(sends []time.Time) int {
	highest, from := 0, 0
	for i := range sends {
		for sends[i].Sub(sends[from]) >= time.Second {
			from++
		}
		highest = max(highest, i-from+1)
	}
	return highest
}

// TestRampInSlowStart guards against a rate in slow start that does not follow how the backend server responds: a single start.
func TestRampInSlowStart(t *testing.T) {
	const rate = 20
	starting := func(s *plan.BackendSpec) { s.SlowStartUntil = start.Add(time.Minute) }
	t.Run("begins at a quarter, grows with good responses to at most 0.8 of the rate", func(t *testing.T) {
		c := newRampClient(rampView(24, rate, starting), testFleet{elected: true})
		sends := c.sendFor(start, 10*time.Second, always(Answered))
		assert.Assert(t, sends[1].Sub(sends[0]) >= 120*time.Millisecond, "%s", sends[1].Sub(sends[0]))
		assert.Assert(t, maxInSecond(sends) <= rate*slowStartRateShare+1)
		assert.Assert(t, len(sends) >= 9*rate*slowStartRateShare, "%d", len(sends))
	})
	t.Run("falls with rejections", func(t *testing.T) {
		c := newRampClient(rampView(24, rate, starting), testFleet{elected: true})
		c.sendFor(start, 3*time.Second, always(Answered))
		sends := c.sendFor(start.Add(3*time.Second), 10*time.Second, always(Shed))
		assert.Assert(t, len(sends) <= 10*rate/4, "%d", len(sends))
		assert.Assert(t, len(sends) >= 2, "%d", len(sends))
	})
	t.Run("falls with the second slow response in a row", func(t *testing.T) {
		c := newRampClient(rampView(24, rate, starting), testFleet{elected: true})
		svc := c.table.service("alpha")
		for range 100 {
			svc.add(start, 100*time.Millisecond, false)
		}
		q, sent := c.send(start, 1)
		assert.Assert(t, sent)
		p, ok := c.table.server(c.first()).ramp.phase.(*slowPhase)
		assert.Assert(t, ok)
		before := p.share
		c.done(start.Add(time.Second), q, time.Second, Answered)
		assert.Equal(t, p.share, before)
		q, sent = c.send(start.Add(time.Second), 2)
		assert.Assert(t, sent)
		c.done(start.Add(2*time.Second), q, time.Second, Answered)
		assert.Equal(t, p.share, before/2)
	})
	t.Run("a backend server that is slower for good is used again", func(t *testing.T) {
		c, now := newRampClient(rampView(24, rate, starting), testFleet{elected: true}), start
		svc := c.table.service("alpha")
		for range 100 {
			svc.add(start, 100*time.Millisecond, false)
		}
		for object := range uint64(30) {
			for {
				now = now.Add(time.Millisecond)
				if q, sent := c.send(now, object); sent {
					now = now.Add(400 * time.Millisecond)
					c.done(now, q, 400*time.Millisecond, Answered)
					break
				}
			}
		}
		p, ok := c.table.server(c.first()).ramp.phase.(*slowPhase)
		assert.Assert(t, ok)
		assert.Equal(t, p.share, 1.0)
	})
	t.Run("the whole rate is used where all start together", func(t *testing.T) {
		v := rampView(1, rate, starting)
		c := newRampClient(v, testFleet{elected: true})
		sends := c.sendFor(start, time.Second, always(Shed))
		assert.Assert(t, len(sends) >= rate*slowStartRateShare-1, "%d", len(sends))
	})
}

// TestRampSlowStartBound guards against two hosts that are both elected for a moment and together send more than the backend server bears,
// whatever the order of the responses.
func TestRampSlowStartBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.SampledFrom([]float64{0.5, 2, 8, 20, 60, 200}).Draw(rt, "rate")
		servers := rapid.SampledFrom([]int{1, 2, 24}).Draw(rt, "servers")
		v := rampView(servers, rate, func(s *plan.BackendSpec) { s.SlowStartUntil = start.Add(time.Hour) })
		type flight struct {
			c  *rampClient
			q  Query
			at time.Time
		}
		clients := []*rampClient{newRampClient(v, testFleet{elected: true}), newRampClient(v, testFleet{elected: true})}
		var open []flight
		var sends []time.Time
		now := start
		rt.Repeat(map[string]func(*rapid.T){
			"send": func(rt *rapid.T) {
				// Both hosts always have requests.
				for range rapid.IntRange(1, 150).Draw(rt, "ms") {
					now = now.Add(time.Millisecond)
					for _, c := range clients {
						if q, sent := c.send(now, uint64(now.UnixMilli())); sent {
							sends, open = append(sends, now), append(open, flight{c, q, now})
						}
					}
				}
			},
			"respond": func(rt *rapid.T) {
				outcome := rapid.SampledFrom([]Outcome{Answered, Answered, Answered, Shed, Failed, TimedOut, Cancelled})
				for len(open) > 0 && rapid.Bool().Draw(rt, "more") {
					i := rapid.IntRange(0, len(open)-1).Draw(rt, "request")
					f := open[i]
					open = append(open[:i:i], open[i+1:]...)
					f.c.done(now, f.q, now.Sub(f.at), outcome.Draw(rt, "outcome"))
				}
			},
			"": func(rt *rapid.T) {
				if n := maxInSecond(sends); float64(n) > 1.5*rate+8 {
					rt.Fatalf("%d sends in a second at a rate of %v", n, rate)
				}
			},
		})
	})
}

// TestRampSlowStartBoundAtHighRate guards against the same at a rate at which twice 0.8 of it is more than the backend server bears.
func TestRampSlowStartBoundAtHighRate(t *testing.T) {
	const rate, step = 200, 250 * time.Microsecond
	v := rampView(24, rate, func(s *plan.BackendSpec) { s.SlowStartUntil = start.Add(time.Hour) })
	clients := []*rampClient{newRampClient(v, testFleet{elected: true}), newRampClient(v, testFleet{elected: true})}
	var sends []time.Time
	for at := time.Duration(0); at < 3*time.Second; at += step {
		now := start.Add(at)
		for _, c := range clients {
			if q, sent := c.send(now, uint64(at)); sent {
				sends = append(sends, now)
				c.done(now, q, time.Millisecond, Answered)
			}
		}
	}
	n := maxInSecond(sends)
	assert.Assert(t, float64(n) <= 1.5*rate+8, "%d", n)
	assert.Assert(t, float64(n) >= 1.4*rate, "%d", n)
}

// TestRampSlowStartBoundOfLoneHosts guards against hosts that are cut off each for itself, all elected by their own view, and together send
// more than the backend server bears.
func TestRampSlowStartBoundOfLoneHosts(t *testing.T) {
	const hosts, step = 12, 5 * time.Millisecond
	for _, rate := range []float64{2.7, 15} {
		t.Run(fmt.Sprintf("rate %v", rate), func(t *testing.T) {
			v := rampView(24, rate, nil)
			var clients []*rampClient
			for i := range hosts {
				c := newRampClient(v, testFleet{elected: true, hosts: hosts, share: 2.0 / hosts})
				c.table.random = rand.New(rand.NewPCG(1, uint64(i)))
				c.table.DispatchAll(start, v)
				c.table.ReceiveSlowStart(start, v.Usable("alpha")[0], time.Minute)
				clients = append(clients, c)
			}
			var sends []time.Time
			for at := time.Duration(0); at < 20*time.Second; at += step {
				for _, c := range clients {
					if q, sent := c.send(start.Add(at), uint64(at)); sent {
						sends = append(sends, start.Add(at))
						c.done(start.Add(at), q, time.Millisecond, Answered)
					}
				}
			}
			assert.Assert(t, float64(maxInSecond(sends)) <= 1.5*rate+5, "%d", maxInSecond(sends))
			assert.Assert(t, float64(len(sends)) >= 20*rate, "%d sends in 20 s", len(sends))
		})
	}
}

// TestRampSharedRate guards against many hosts that send at the same moment when a slow start, a drain or an ejection ends: a single start
// in a large fleet under full load.
func TestRampSharedRate(t *testing.T) {
	const hosts = 83
	sendsIn := func(rules Rules, length time.Duration) int {
		v := rampView(24, 20, func(s *plan.BackendSpec) { s.SlowStartUntil = start })
		n := 0
		for i := range hosts {
			c := newRampClient(v, testFleet{hosts: hosts})
			c.table.rules, c.table.random = rules, rand.New(rand.NewPCG(1, uint64(i)))
			for at := time.Duration(0); at < length; at += 10 * time.Millisecond {
				if _, sent := c.send(start.Add(at), uint64(i)); sent {
					n++
				}
			}
		}
		return n
	}
	t.Run("the hosts together begin at a quarter of what the slots can do", func(t *testing.T) {
		without := DefaultRules()
		without.RampUp = false
		off, on := sendsIn(without, rampPeriod), sendsIn(rampUp(), rampPeriod)
		t.Logf("%d hosts in the first %s: off %d sends, on %d", hosts, rampPeriod, off, on)
		assert.Assert(t, off >= hosts)
		assert.Assert(t, on <= rampSlots, "%d", on)
	})
	t.Run("the rate grows, also without responses, until the ramp-up ends", func(t *testing.T) {
		assert.Assert(t, sendsIn(rampUp(), 2*time.Second) > 3*sendsIn(rampUp(), time.Second))
		c := newRampClient(rampView(24, 20, func(s *plan.BackendSpec) { s.SlowStartUntil = start }), testFleet{hosts: hosts})
		assert.Assert(t, c.ramp(start.Add(2*time.Second)) != nil)
		assert.Assert(t, c.ramp(start.Add(3*time.Second)) == nil)
	})
	t.Run("a host that starts later finds no ramp-up", func(t *testing.T) {
		c := newRampClient(rampView(24, 20, func(s *plan.BackendSpec) { s.SlowStartUntil = start }), testFleet{hosts: hosts})
		_, sent := c.send(start.Add(time.Minute), 1)
		assert.Assert(t, sent)
	})
}

// TestRampElsewhere guards against requests that wait or are rejected because of a ramp-up that nobody needs.
func TestRampElsewhere(t *testing.T) {
	ended := func(s *plan.BackendSpec) { s.SlowStartUntil = start }
	t.Run("a request goes to another backend server", func(t *testing.T) {
		c := newRampClient(rampView(24, 20, ended), testFleet{hosts: 83})
		for object := range uint64(100) {
			chosen(t, c.table.Choose(start, c.view, query(object)))
		}
		assert.Assert(t, c.table.HeldBack() > 0)
	})
	t.Run("a request that can go nowhere else waits, or is told when to come back", func(t *testing.T) {
		c := newRampClient(rampView(24, 20, ended), testFleet{hosts: 83})
		_, queued := c.table.Choose(start, c.view, c.query(start, 1)).(Queued)
		assert.Assert(t, !queued, "the share is one request in 11 s")
		r, rejected := c.table.Choose(start, c.view, c.query(start, 1)).(Rejected)
		assert.Assert(t, rejected)
		assert.Equal(t, r.RetryAfter, maxRetryAfter)
		c = newRampClient(rampView(24, 20, ended), testFleet{hosts: 3})
		_, queued = c.table.Choose(start, c.view, c.query(start, 1)).(Queued)
		assert.Assert(t, queued)
	})
	t.Run("there is no ramp-up where all start together", func(t *testing.T) {
		v := rampView(1, 20, ended)
		c := newRampClient(v, testFleet{hosts: 83})
		for object := range uint64(rampSlots) {
			chosen(t, c.table.Choose(start, v, c.query(start, object)))
		}
	})
	t.Run("the rate is higher while the others are full", func(t *testing.T) {
		c := newRampClient(rampView(24, 20, ended), testFleet{hosts: 3})
		svc := c.table.service("alpha")
		c.ramp(start)
		assert.Equal(t, c.table.newRampCost(start, svc), 1.0)
		for _, m := range svc.rendezvous.members {
			m.server.loadAt, m.server.othersInFlight = start, rampSlots
		}
		assert.Equal(t, c.table.newRampCost(start, svc), fullLoadCost)
	})
}

// TestRampNeverRecovers guards against a ramp-up that ends although all responses are bad, and against one that ends never.
func TestRampNeverRecovers(t *testing.T) {
	const hosts = 3
	begin := func() (*rampClient, time.Time) {
		c := newRampClient(rampView(24, 20, func(s *plan.BackendSpec) { s.SlowStartUntil = start }), testFleet{hosts: hosts})
		c.sendFor(start, 2*time.Second, always(Shed))
		return c, start.Add(2 * time.Second)
	}
	t.Run("stays at the lowest rates", func(t *testing.T) {
		c, now := begin()
		sends := c.sendFor(now, time.Minute, always(Shed))
		assert.Assert(t, len(sends) <= 15, "%d sends in a minute", len(sends))
		assert.Assert(t, len(sends) >= 2, "%d sends in a minute", len(sends))
		assert.Assert(t, c.ramp(now.Add(time.Minute)).bucket.perSecond <= rampStartShare*rampSlots/defaultColdTime.Seconds())
	})
	t.Run("grows after a good response", func(t *testing.T) {
		c, now := begin()
		c.sendFor(now, 20*time.Second, always(Shed))
		c.sendFor(now.Add(20*time.Second), 25*time.Second, always(Answered))
		assert.Assert(t, c.ramp(now.Add(45*time.Second)) == nil)
	})
	t.Run("ends without responses", func(t *testing.T) {
		c, now := begin()
		assert.Assert(t, c.ramp(now) != nil)
		assert.Assert(t, c.ramp(now.Add(rampTTL-5*time.Second)) != nil, "the last response was bad")
		assert.Assert(t, c.ramp(now.Add(rampTTL)) == nil)
	})
	t.Run("responses to requests that were sent at the same rate halve it once", func(t *testing.T) {
		c, _ := begin()
		p := &sharedPhase{quarter: 8, full: 100, bucket: rateLimit{active: true, perSecond: 8, refilledAt: start}}
		for range 5 {
			p.receive(start, start.Add(-time.Millisecond), bad, c.table.division())
		}
		assert.Equal(t, p.bucket.perSecond, 4.0)
	})
}

// TestRampFlapping guards against a backend server that is interrupted again and again and gets the full load in between, and against state
// of it that is kept for ever.
func TestRampFlapping(t *testing.T) {
	first := rampStartShare * rampSlots / defaultColdTime.Seconds()
	t.Run("begins lower after each ejection within a minute", func(t *testing.T) {
		c, now := newRampClient(rampView(24, 20, nil), testFleet{hosts: 3}), start
		c.table.Choose(now, c.view, c.query(now, 1))
		for i := range 2 * maxFlaps {
			c.eject(now)
			now = now.Add(ejectionTime)
			expected := first / float64(int(1)<<min(i, maxFlaps))
			assert.Equal(t, c.ramp(now).bucket.perSecond, expected, "ejection %d", i)
			now = now.Add(5 * time.Second)
		}
		now = now.Add(flapWindow)
		c.eject(now)
		assert.Equal(t, c.ramp(now.Add(ejectionTime)).bucket.perSecond, first)
	})
	t.Run("after pauses", func(t *testing.T) {
		c, now := newRampClient(rampView(24, 20, nil), testFleet{hosts: 3}), start
		for i := range 3 {
			c.table.ReceiveBackpressure(now, now, c.first(), header.Backpressure{Pause: time.Second})
			now = now.Add(time.Second)
			assert.Equal(t, c.ramp(now).bucket.perSecond, first/float64(int(1)<<i))
			now = now.Add(5 * time.Second)
		}
	})
	t.Run("after a drain", func(t *testing.T) {
		c := newRampClient(rampView(24, 20, nil), testFleet{hosts: 3})
		assert.Assert(t, c.ramp(start) == nil, "a host that starts begins no ramp-up")
		restored, specs := c.view, []plan.BackendSpec{}
		for i := range 23 {
			specs = append(specs, plan.BackendSpec{ID: fmt.Sprintf("b%02d", i+1), Service: "alpha", Address: "x", DataCentre: "n", Slots: rampSlots})
		}
		drained := restored.Next(restored.Config(), specs, nil, map[string]string{"n": "north"})
		c.table.Choose(start, drained, query(1))
		specs = append(specs, plan.BackendSpec{ID: "b00", Service: "alpha", Address: "x", DataCentre: "n", Slots: rampSlots})
		c.view = drained.Next(restored.Config(), specs, nil, map[string]string{"n": "north"})
		p := c.ramp(start.Add(time.Second))
		assert.Assert(t, p != nil)
		assert.Equal(t, p.reason, RampAfterJoin)
	})
	t.Run("a new incarnation begins lower, and the old one is forgotten after a minute", func(t *testing.T) {
		c := newRampClient(rampView(24, 20, func(s *plan.BackendSpec) { s.SlowStartUntil = start }), testFleet{hosts: 3})
		assert.Assert(t, c.ramp(start) != nil)
		specs := []plan.BackendSpec{}
		for i := range 24 {
			s := plan.BackendSpec{ID: fmt.Sprintf("b%02d", i), Service: "alpha", Address: "x", DataCentre: "n", Slots: rampSlots}
			if i == 0 {
				s.Incarnation, s.SlowStartUntil = 1, start.Add(10*time.Second)
			}
			specs = append(specs, s)
		}
		next := c.view.Next(c.view.Config(), specs, nil, map[string]string{"n": "north"})
		gone := c.view.Next(c.view.Config(), specs[1:], nil, map[string]string{"n": "north"})
		c.table.Prune(start.Add(time.Second), gone)
		c.view = gone.Next(c.view.Config(), specs, nil, map[string]string{"n": "north"})
		assert.Assert(t, next != nil)
		assert.Equal(t, c.ramp(start.Add(10*time.Second)).bucket.perSecond, first/2)
		c.table.Prune(start.Add(flapWindow), c.view)
		assert.Equal(t, len(c.table.servers), 24)
	})
}

// TestRampOff guards against a change of decisions while the rule is off.
func TestRampOff(t *testing.T) {
	c := newRampClient(rampView(24, 20, func(s *plan.BackendSpec) { s.SlowStartUntil = start }), testFleet{hosts: 83})
	c.table.rules.RampUp = false
	c.eject(start)
	now := start.Add(ejectionTime)
	for object := range uint64(rampSlots) {
		_, sent := c.send(now, object)
		assert.Assert(t, sent)
	}
	assert.Equal(t, c.table.HeldBack(), int64(0))
	assert.Equal(t, len(c.table.Ramps(now)), 0)
	assert.Assert(t, c.table.server(c.first()).ramp == ramp{})
}

// TestRampStates guards against an admin dump that does not tell the present rate and its reason.
func TestRampStates(t *testing.T) {
	c := newRampClient(rampView(24, 20, nil), testFleet{hosts: 3})
	c.table.Choose(start, c.view, c.query(start, 1))
	c.eject(start)
	now := start.Add(ejectionTime)
	states := c.table.Ramps(now)
	assert.Equal(t, len(states), 1)
	assert.DeepEqual(t, states[0], RampState{
		Backend: "b00", Service: "alpha", Reason: RampAfterEjection, PerSecond: rampStartShare * rampSlots / defaultColdTime.Seconds(), BadResponses: 1, Applies: true,
	})
}
