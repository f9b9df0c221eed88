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

// The benchmark compares the owner's queue with the plain rival: each of six hosts sends alone, to
// the better of two servers by load reports that are a second late. Time is a counted number, the
// queue under test is the real one.
//
// Sizes of a Desk service.
const (
	benchServers  = 12
	benchSlots    = 3
	benchRequests = 40_000
	benchMean     = 10 * time.Millisecond
	reportEvery   = time.Second
	benchDeadline = 60_000
)

// event is an arrival, or the end of a request at a server.
type event struct {
	at     time.Duration
	done   func(now time.Duration)
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

// world is the servers and the clock that both ways run on.
type world struct {
	rnd        *rand.Rand
	queue      events
	number     int
	slowed     int
	stragglers bool
	hist       *hdrhistogram.Histogram
	overrun    int
}

func newWorld(slowed int, stragglers bool) *world {
	return &world{
		rnd: rand.New(rand.NewPCG(1, 2)), slowed: slowed, stragglers: stragglers,
		hist: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
	}
}

func (w *world) after(at time.Duration, f func(now time.Duration)) {
	w.number++
	heap.Push(&w.queue, event{at: at, done: f, number: w.number})
}

// work returns how long a request takes at a server.
func (w *world) work(server int, need time.Duration) time.Duration {
	if server < w.slowed {
		return 10 * need
	}
	return need
}

func (w *world) need() time.Duration {
	d := time.Duration(w.rnd.ExpFloat64() * float64(benchMean))
	if w.stragglers && w.rnd.IntN(100) == 0 {
		d *= 50
	}
	return d
}

// run sends requests at a share of what the servers carry and lets a way place each.
func (w *world) run(load float64, place func(now, need time.Duration)) {
	gap := float64(benchMean) / (benchServers * benchSlots * load)
	at := time.Duration(0)
	for range benchRequests {
		at += time.Duration(w.rnd.ExpFloat64() * gap)
		need := w.need()
		w.after(at, func(now time.Duration) { place(now, need) })
	}
	for w.queue.Len() > 0 {
		e, _ := heap.Pop(&w.queue).(event)
		e.done(e.at)
	}
}

func (w *world) record(took time.Duration) { _ = w.hist.RecordValue(max(1, took.Microseconds())) }

// byOwner places with the real queue.
func byOwner(w *world) func(now, need time.Duration) {
	q := site(benchServers, benchSlots)
	type waiting struct{ begin, need time.Duration }
	all := map[*queue.Ticket]waiting{}
	clock := func(d time.Duration) time.Time { return start.Add(d) }
	var pump func(now time.Duration)
	pump = func(now time.Duration) {
		for _, t := range q.Dispatch(clock(now)) {
			x := all[t]
			var server int
			_, _ = fmt.Sscanf(t.Server(), "127.0.0.%d:1", &server)
			w.after(now+w.work(server-1, x.need), func(now time.Duration) {
				w.record(now - x.begin)
				delete(all, t)
				q.Done(clock(now), t, queue.End{Ran: true})
				pump(now)
			})
		}
	}
	return func(now, need time.Duration) {
		t := queue.NewTicket("own", false, clock(now+benchDeadline*time.Millisecond))
		if q.Admit(clock(now), t) != nil {
			return
		}
		all[t] = waiting{now, need}
		pump(now)
	}
}

// Shape of the Desk: three regions of two data centres, two servers of the service in each.
const (
	centres    = 6
	perCentre  = benchServers / centres
	perRegion  = 2
	regionHop  = 20 * time.Millisecond
	siblingHop = time.Millisecond
)

func centre(i int) string { return fmt.Sprintf("d%d", i) }

func deskSnapshot() *model.Snapshot {
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

// bySites places as a fleet does: one owner for each data centre's site, and each host orders the
// sites by what owners told it with their answers.
func bySites(w *world) func(now, need time.Duration) {
	snap := deskSnapshot()
	clock := func(d time.Duration) time.Time { return start.Add(d) }
	owners := map[string]*ownedSite{}
	views := make([]*place.Loads, centres)
	for i := range centres {
		id := model.SiteID{Service: "s", DataCentre: centre(i)}
		q := queue.New(snap.RegionOf(centre(i)))
		q.SetServers(snap.Site(id).Servers())
		owners[centre(i)] = &ownedSite{w: w, q: q, all: map[*queue.Ticket]func(time.Duration){}, needs: map[*queue.Ticket]time.Duration{}}
		views[i] = place.NewLoads()
	}
	return func(now, need time.Duration) {
		home := w.rnd.IntN(centres)
		region := snap.RegionOf(centre(home))
		v := views[home]
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
			case c.Reason == place.WhySibling:
				hop = 2 * siblingHop
			}
			v.Sent(c.Site.ID())
			o.needs[t] = need
			o.all[t] = func(end time.Duration) {
				w.record(end - now + hop)
				v.Observe(clock(end), c.Site.ID(), o.q.Load())
			}
			o.pump(now)
			return
		}
	}
}

// ownedSite is one site with its real queue.
type ownedSite struct {
	w     *world
	q     *queue.Queue
	all   map[*queue.Ticket]func(time.Duration)
	needs map[*queue.Ticket]time.Duration
}

func (o *ownedSite) pump(now time.Duration) {
	for _, t := range o.q.Dispatch(start.Add(now)) {
		var server int
		_, _ = fmt.Sscanf(t.Server(), "127.0.0.%d:1", &server)
		o.w.after(now+o.w.work(server-1, o.needs[t]), func(end time.Duration) {
			o.q.Done(start.Add(end), t, queue.End{Ran: true})
			o.all[t](end)
			delete(o.all, t)
			delete(o.needs, t)
			o.pump(end)
		})
	}
}

// byTwoChoices places each request on the better of two servers by late reports; a server queues
// what is above its slots.
func byTwoChoices(w *world) func(now, need time.Duration) {
	var (
		held, seen [benchServers]int
		reported   time.Duration
		line       [benchServers][]func(now time.Duration)
	)
	finish := func(s int, now time.Duration) {
		held[s]--
		if len(line[s]) > 0 {
			next := line[s][0]
			line[s] = line[s][1:]
			next(now)
		}
	}
	return func(now, need time.Duration) {
		if now-reported >= reportEvery {
			seen, reported = held, now
		}
		a, b := w.rnd.IntN(benchServers), w.rnd.IntN(benchServers)
		if seen[b] < seen[a] {
			a = b
		}
		begin := func(start time.Duration) {
			w.after(start+w.work(a, need), func(end time.Duration) {
				w.record(end - now)
				finish(a, end)
			})
		}
		held[a]++
		if held[a] > benchSlots {
			w.overrun++
			line[a] = append(line[a], begin)
			return
		}
		begin(now)
	}
}

// BenchmarkDispatch prints, for each way, the requests that found a server's slots full and the
// latency by percentile.
func BenchmarkDispatch(b *testing.B) {
	cases := []struct {
		name       string
		slowed     int
		stragglers bool
	}{{"even", 0, false}, {"2of12slowed10x", 2, false}, {"1percentStragglers50x", 0, true}}
	ways := []struct {
		name string
		way  func(w *world) func(now, need time.Duration)
	}{{"oneOwner", byOwner}, {"ownerPerCentre", bySites}, {"twoChoices", byTwoChoices}}
	for _, c := range cases {
		for _, load := range []int{50, 80, 95} {
			for _, way := range ways {
				b.Run(fmt.Sprintf("%s/load%d/%s", c.name, load, way.name), func(b *testing.B) {
					for b.Loop() {
						w := newWorld(c.slowed, c.stragglers)
						w.run(float64(load)/100, way.way(w))
						ms := func(q float64) float64 { return float64(w.hist.ValueAtQuantile(q)) / 1000 }
						b.ReportMetric(float64(w.overrun), "overrun")
						b.ReportMetric(ms(50), "p50-ms")
						b.ReportMetric(ms(99), "p99-ms")
						b.ReportMetric(ms(99.9), "p99.9-ms")
						b.ReportMetric(float64(w.hist.TotalCount())/benchRequests, "answered")
					}
				})
			}
		}
	}
}
