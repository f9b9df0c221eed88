// Package engine simulates a scenario in virtual time: hosts that decide with edged's own code, backend servers with
// slots, short queues and warm objects, and callers with latency objectives and timeouts.
package engine

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"rosemarygrade.dev/edged/pkg/pick"
	"rosemarygrade.dev/lib/pkg/plan"
	"rosemarygrade.dev/simul/pkg/spec"
)

// Service is the name of the only service of a scenario.
const Service = "service"

// budgetSeconds is the window of the retry budget, as in edged's settings.
const budgetSeconds = 10

// epoch is the time at which each run begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Simulation is one run of a scenario. It is used by one goroutine.
type Simulation struct {
	scenario  *spec.Scenario
	rng       *rand.Rand
	now       time.Duration
	pending   eventQueue
	lastOrder uint64
	hosts     []*host
	backends  map[string]*backend
	view      *plan.View
	regions   map[string]string
	demand    map[string]float64
	result    *Result
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].order < q[j].order)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) {
	if e, ok := x.(event); ok {
		*q = append(*q, e)
	}
}

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// host is a simulated edged host.
type host struct {
	name, dataCentre, region string
	table                    *pick.Table
	queued                   map[*pick.Ticket]*request
	budget                   *pick.RetryBudget
	down                     bool
}

// Run simulates a scenario with the given rules and returns how the callers' requests ended.
func Run(s *spec.Scenario, rules pick.Rules, seed uint64) *Result {
	sim := &Simulation{
		scenario: s, rng: rand.New(rand.NewPCG(seed, seed)), backends: map[string]*backend{}, regions: map[string]string{},
		demand: map[string]float64{}, result: newResult(s),
	}
	sim.build(rules)
	for _, h := range sim.hosts {
		sim.schedule(millis(sim.rng.Float64()*s.ReportMillis), func() { sim.sendReport(h) })
	}
	for i := range s.DataCentres {
		sim.scheduleArrival(&s.DataCentres[i])
	}
	for _, e := range s.Events {
		sim.schedule(seconds(e.AtSeconds), func() { sim.startEvent(e) })
	}
	end := seconds(s.Seconds) + millis(s.Work.CallerTimeoutMillis)
	for len(sim.pending) > 0 {
		e, _ := heap.Pop(&sim.pending).(event)
		if e.at > end {
			break
		}
		sim.now = e.at
		e.run()
	}
	return sim.result
}

func (sim *Simulation) build(rules pick.Rules) {
	var specs []plan.BackendSpec
	for _, d := range sim.scenario.DataCentres {
		sim.regions[d.Name] = d.Region
		sim.demand[d.Region] += 1 / float64(len(sim.scenario.DataCentres))
		for i := range d.Backends {
			id := fmt.Sprintf("%s-%d-%d", d.Name, i, sim.rng.Uint64())
			specs = append(specs, plan.BackendSpec{
				ID: id, Service: Service, Address: id, DataCentre: d.Name, Slots: sim.scenario.Backend.Slots,
			})
			sim.backends[id] = newBackend(sim, d.Name)
		}
		for i := range d.Hosts {
			sim.hosts = append(sim.hosts, &host{
				name: fmt.Sprintf("%s-%d", d.Name, i), dataCentre: d.Name, region: d.Region,
				table: pick.New(rules, sim), queued: map[*pick.Ticket]*request{}, budget: pick.NewRetryBudget(pick.BudgetRule{
					Window: seconds(budgetSeconds), Ratio: sim.scenario.Work.HostRetryRatio, FreeRetries: sim.scenario.Work.HostFreeRetries,
				}),
			})
		}
	}
	sim.view = plan.NewView(nil, specs, nil, sim.regions)
}

// IsElectedFor implements pick.Fleet.
func (sim *Simulation) IsElectedFor(*plan.Backend) bool { return true }

// SlowStartShare implements pick.Fleet.
func (sim *Simulation) SlowStartShare() float64 { return 1 }

// Hosts implements pick.Fleet.
func (sim *Simulation) Hosts() int { return len(sim.hosts) }

// Demand implements pick.Fleet.
func (sim *Simulation) Demand() map[string]float64 { return sim.demand }

func (sim *Simulation) schedule(at time.Duration, run func()) {
	sim.lastOrder++
	heap.Push(&sim.pending, event{at: max(at, sim.now), order: sim.lastOrder, run: run})
}

func (sim *Simulation) after(d time.Duration, run func()) { sim.schedule(sim.now+d, run) }

func (sim *Simulation) time() time.Time { return epoch.Add(sim.now) }

// networkDelay returns the one-way latency between two data centres.
func (sim *Simulation) networkDelay(a, b string) time.Duration {
	switch {
	case a == b:
		return 0
	case sim.regions[a] == sim.regions[b]:
		return millis(sim.scenario.RegionMillis)
	default:
		return millis(sim.scenario.RemoteMillis)
	}
}

// sendReport sends a host's reports to the others: to its own region always, to others every RemoteReportMillis.
func (sim *Simulation) sendReport(h *host) {
	if !h.down {
		reports, warm := h.table.Reports(sim.time()), h.table.WarmObjects(sim.time(), sim.time().Add(-millis(sim.scenario.ReportMillis)), math.MaxInt)
		remoteEvery := int(sim.scenario.RemoteReportMillis / sim.scenario.ReportMillis)
		remoteDue := int(sim.now/millis(sim.scenario.ReportMillis))%max(1, remoteEvery) == 0
		for _, peer := range sim.hosts {
			if peer != h && (peer.region == h.region || remoteDue) {
				sim.after(sim.networkDelay(h.dataCentre, peer.dataCentre), func() {
					peer.table.ReceiveReports(sim.time(), h.name, reports)
					peer.table.ReceiveWarmObjects(sim.time(), warm, false)
				})
			}
		}
		h.table.DispatchAll(sim.time(), sim.view)
		sim.applyDispatched(h)
	}
	sim.after(millis(sim.scenario.ReportMillis), func() { sim.sendReport(h) })
}

// rate returns the present rate of a data centre's callers in requests a second.
func (sim *Simulation) rate(d *spec.DataCentre) float64 {
	rate := d.Rate
	if sim.scenario.Wave.Amplitude > 0 {
		angle := 2 * math.Pi * (sim.now.Seconds()/sim.scenario.Wave.PeriodSeconds + d.Phase)
		rate *= 1 + sim.scenario.Wave.Amplitude*math.Sin(angle)
	}
	for _, e := range sim.active(spec.EventBurst) {
		if e.DataCentre == "" || e.DataCentre == d.Name {
			rate *= e.Factor
		}
	}
	return rate
}

// active returns the events of a type that are in progress.
func (sim *Simulation) active(eventType string) []spec.Event {
	var out []spec.Event
	for _, e := range sim.scenario.Events {
		if e.Type == eventType && sim.now >= seconds(e.AtSeconds) && sim.now < seconds(e.AtSeconds+e.ForSeconds) {
			out = append(out, e)
		}
	}
	return out
}

// startEvent applies events that change state; those of other types take effect while active returns them.
func (sim *Simulation) startEvent(e spec.Event) {
	switch e.Type {
	case spec.EventCold:
		for _, b := range sim.backends {
			if e.DataCentre == "" || b.dataCentre == e.DataCentre {
				b.warm = map[uint64]time.Duration{}
			}
		}
	case spec.EventHostsGone:
		for i, h := range sim.hosts {
			h.down = float64(i%len(sim.hosts)) < e.Share*float64(len(sim.hosts))
		}
		sim.after(seconds(e.ForSeconds), func() {
			for _, h := range sim.hosts {
				h.down = false
			}
		})
	}
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
