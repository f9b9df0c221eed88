package queue_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rosemarygrade.dev/entryd/pkg/place"
	"rosemarygrade.dev/entryd/pkg/queue"
	"rosemarygrade.dev/lib/pkg/model"
)

// Sizes of the simulated service.
const (
	benchServers   = 12
	benchSlots     = 3
	benchRequests  = 40_000
	benchMean      = 10 * time.Millisecond
	reportInterval = time.Second
	benchDeadline  = 60_000
)

// event is the arrival of a request, or its end at a server.
type event struct {
	at     time.Duration
	run    func(now time.Duration)
	number int
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// simulation holds the simulated clock and servers that every dispatch method runs on.
type simulation struct {
	rnd        *rand.Rand
	queue      events
	number     int
	slowed     int
	stragglers bool
	hist       *hdrhistogram.Histogram
	overrun    int
}

func newSimulation(slowed int, stragglers bool) *simulation {
	return &simulation{
		rnd: rand.New(rand.NewPCG(1, 2)), slowed: slowed, stragglers: stragglers,
		hist: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
	}
}

func (sim *simulation) schedule(at time.Duration, f func(now time.Duration)) {
	sim.number++
	heap.Push(&sim.queue, event{at: at, run: f, number: sim.number})
}

// timeAt returns how long a request takes at a server: a slowed server takes 10 times serviceTime.
func (sim *simulation) timeAt(server int, serviceTime time.Duration) time.Duration {
	if server < sim.slowed {
		return 10 * serviceTime
	}
	return serviceTime
}

func (sim *simulation) drawServiceTime() time.Duration {
	d := time.Duration(sim.rnd.ExpFloat64() * float64(benchMean))
	if sim.stragglers && sim.rnd.IntN(100) == 0 {
		d *= 50
	}
	return d
}

// run sends requests at a rate of load times the servers' total capacity. The place function
// dispatches each of them.
func (sim *simulation) run(load float64, place func(now, serviceTime time.Duration)) {
	gap := float64(benchMean) / (benchServers * benchSlots * load)
	at := time.Duration(0)
	for range benchRequests {
		at += time.Duration(sim.rnd.ExpFloat64() * gap)
		serviceTime := sim.drawServiceTime()
		sim.schedule(at, func(now time.Duration) { place(now, serviceTime) })
	}
	for sim.queue.Len() > 0 {
		e, _ := heap.Pop(&sim.queue).(event)
		e.run(e.at)
	}
}

func (sim *simulation) record(took time.Duration) {
	_ = sim.hist.RecordValue(max(1, took.Microseconds()))
}

// byOwner dispatches all requests through one queue.
func byOwner(sim *simulation) func(now, serviceTime time.Duration) {
	q := site(benchServers, benchSlots)
	type waiting struct{ begin, serviceTime time.Duration }
	all := map[*queue.Ticket]waiting{}
	clock := func(d time.Duration) time.Time { return start.Add(d) }
	var dispatch func(now time.Duration)
	dispatch = func(now time.Duration) {
		for _, t := range q.Dispatch(clock(now)) {
			x := all[t]
			var server int
			_, _ = fmt.Sscanf(t.Server(), "127.0.0.%d:1", &server)
			sim.schedule(now+sim.timeAt(server-1, x.serviceTime), func(now time.Duration) {
				sim.record(now - x.begin)
				delete(all, t)
				q.Done(clock(now), t, queue.End{Ran: true})
				dispatch(now)
			})
		}
	}
	return func(now, serviceTime time.Duration) {
		t := queue.NewTicket("own", false, clock(now+benchDeadline*time.Millisecond))
		if q.Admit(clock(now), t) != nil {
			return
		}
		all[t] = waiting{now, serviceTime}
		dispatch(now)
	}
}

// Layout of the simulated deployment: three regions of two data centres, two servers of the service
// in each data centre.
const (
	centres    = 6
	perCentre  = benchServers / centres
	perRegion  = 2
	regionHop  = 20 * time.Millisecond
	siblingHop = time.Millisecond
)

func centre(i int) string { return fmt.Sprintf("d%d", i) }

func deploymentSnapshot() *model.Snapshot {
	var objects []model.Object
	add := func(kind, name, spec string) {
		o, err := model.Parse(kind, name, []byte(spec))
		if err != nil {
			panic(err)
		}
		objects = append(objects, o)
	}
	servers := ""
	for r := range centres / perRegion {
		links := ""
		for o := range centres / perRegion {
			if o != r {
				links += fmt.Sprintf(`{"to":"r%d","bitsPerSecond":4000000000,"latencyMillis":20},`, o)
			}
		}
		add("region", fmt.Sprintf("r%d", r), fmt.Sprintf(`{"dataCentres":[%q,%q],"maxHosts":2,"links":[%s]}`,
			centre(r*perRegion), centre(r*perRegion+1), links[:len(links)-1]))
	}
	for i := range benchServers {
		servers += fmt.Sprintf(`{"address":"127.0.0.%d:1","dataCentre":%q,"slots":%d},`, i+1, centre(i/perCentre), benchSlots)
	}
	add("placement", "s", fmt.Sprintf(`{"service":"s","servers":[%s]}`, servers[:len(servers)-1]))
	return model.NewSnapshot(objects)
}

// bySites dispatches as a deployment does: each data centre's site has one owner with its queue,
// and each entry host orders the sites by the loads that owners report with their responses.
func bySites(sim *simulation) func(now, serviceTime time.Duration) {
	snap := deploymentSnapshot()
	clock := func(d time.Duration) time.Time { return start.Add(d) }
	owners := map[string]*ownedSite{}
	loads := make([]*place.Loads, centres)
	for i := range centres {
		id := model.SiteID{Service: "s", DataCentre: centre(i)}
		q := queue.New(snap.RegionOf(centre(i)))
		q.SetServers(snap.Site(id).Servers())
		owners[centre(i)] = &ownedSite{sim: sim, q: q, all: map[*queue.Ticket]func(time.Duration){}, serviceTimes: map[*queue.Ticket]time.Duration{}}
		loads[i] = place.NewLoads()
	}
	return func(now, serviceTime time.Duration) {
		home := sim.rnd.IntN(centres)
		region := snap.RegionOf(centre(home))
		v := loads[home]
		v.Observe(clock(now), model.SiteID{Service: "s", DataCentre: centre(home)}, owners[centre(home)].q.Load())
		hop := time.Duration(0)
		for _, c := range place.Order(clock(now), snap, v, place.Location{DataCentre: centre(home), Region: region}, "s") {
			o := owners[c.Site.ID().DataCentre]
			t := queue.NewTicket(region, false, clock(now+benchDeadline*time.Millisecond))
			if r := o.q.Admit(clock(now), t); r != nil {
				v.Observe(clock(now), c.Site.ID(), *r.Load)
				continue
			}
			switch {
			case c.OtherRegion:
				hop = 2 * regionHop
			case c.Reason == place.ReasonOwnRegion:
				hop = 2 * siblingHop
			}
			v.Sent(c.Site.ID())
			o.serviceTimes[t] = serviceTime
			o.all[t] = func(end time.Duration) {
				sim.record(end - now + hop)
				v.Observe(clock(end), c.Site.ID(), o.q.Load())
			}
			o.dispatch(now)
			return
		}
	}
}

// ownedSite is one site with its queue.
type ownedSite struct {
	sim          *simulation
	q            *queue.Queue
	all          map[*queue.Ticket]func(time.Duration)
	serviceTimes map[*queue.Ticket]time.Duration
}

func (o *ownedSite) dispatch(now time.Duration) {
	for _, t := range o.q.Dispatch(start.Add(now)) {
		var server int
		_, _ = fmt.Sscanf(t.Server(), "127.0.0.%d:1", &server)
		o.sim.schedule(now+o.sim.timeAt(server-1, o.serviceTimes[t]), func(end time.Duration) {
			o.q.Done(start.Add(end), t, queue.End{Ran: true})
			o.all[t](end)
			delete(o.all, t)
			delete(o.serviceTimes, t)
			o.dispatch(end)
		})
	}
}

// byTwoChoices sends each request to the less loaded of two random servers by load reports that are
// up to reportInterval old. A server queues the requests beyond its slots.
func byTwoChoices(sim *simulation) func(now, serviceTime time.Duration) {
	var (
		load, reportedLoad [benchServers]int
		reportedAt         time.Duration
		waiting            [benchServers][]func(now time.Duration)
	)
	finish := func(s int, now time.Duration) {
		load[s]--
		if len(waiting[s]) > 0 {
			next := waiting[s][0]
			waiting[s] = waiting[s][1:]
			next(now)
		}
	}
	return func(now, serviceTime time.Duration) {
		if now-reportedAt >= reportInterval {
			reportedLoad, reportedAt = load, now
		}
		a, b := sim.rnd.IntN(benchServers), sim.rnd.IntN(benchServers)
		if reportedLoad[b] < reportedLoad[a] {
			a = b
		}
		begin := func(start time.Duration) {
			sim.schedule(start+sim.timeAt(a, serviceTime), func(end time.Duration) {
				sim.record(end - now)
				finish(a, end)
			})
		}
		load[a]++
		if load[a] > benchSlots {
			sim.overrun++
			waiting[a] = append(waiting[a], begin)
			return
		}
		begin(now)
	}
}

// BenchmarkDispatch compares the owner's queue with power of two choices, where a request goes to the
// less loaded of two random servers by load reports that are up to a second old. Time is simulated;
// the queue is the real one. The benchmark reports, for each dispatch method, the number of requests
// sent to a server whose slots were full ("overrun"), latency percentiles, and the share of requests
// with a response.
func BenchmarkDispatch(b *testing.B) {
	cases := []struct {
		name       string
		slowed     int
		stragglers bool
	}{{"even", 0, false}, {"2of12slowed10x", 2, false}, {"1percentStragglers50x", 0, true}}
	methods := []struct {
		name     string
		dispatch func(sim *simulation) func(now, serviceTime time.Duration)
	}{{"oneOwner", byOwner}, {"ownerPerCentre", bySites}, {"twoChoices", byTwoChoices}}
	for _, c := range cases {
		for _, load := range []int{50, 80, 95} {
			for _, method := range methods {
				b.Run(fmt.Sprintf("%s/load%d/%s", c.name, load, method.name), func(b *testing.B) {
					for b.Loop() {
						sim := newSimulation(c.slowed, c.stragglers)
						sim.run(float64(load)/100, method.dispatch(sim))
						ms := func(q float64) float64 { return float64(sim.hist.ValueAtQuantile(q)) / 1000 }
						b.ReportMetric(float64(sim.overrun), "overrun")
						b.ReportMetric(ms(50), "p50-ms")
						b.ReportMetric(ms(99), "p99-ms")
						b.ReportMetric(ms(99.9), "p99.9-ms")
						b.ReportMetric(float64(sim.hist.TotalCount())/benchRequests, "answered")
					}
				})
			}
		}
	}
}
