// Package engine plays a scene over simulated time: hosts that decide with the product's own code, backend
// servers with slots, short queues and warm objects, and callers with objectives and patience.
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

// Service is the name of the one service of a scene.
const Service = "service"

// repeatSeconds is the window of the repeat budget, as in the product's settings.
const repeatSeconds = 10

// epoch is the time at which each play begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// World is one play of a scene. It is used by one goroutine.
type World struct {
	scene    *spec.Scene
	rng      *rand.Rand
	now      time.Duration
	events   queue
	order    uint64
	hosts    []*host
	backends map[string]*backend
	view     *plan.View
	regions  map[string]string
	demand   map[string]float64
	result   *Result
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].order < q[j].order)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	if e, ok := x.(event); ok {
		*q = append(*q, e)
	}
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// host is an entry host.
type host struct {
	name, dataCentre, region string
	table                    *pick.Table
	waiting                  map[*pick.Ticket]*request
	repeats                  *pick.RetryBudget
	gone                     bool
}

// Play plays a scene with the given rules and returns what callers got.
func Play(s *spec.Scene, rules pick.Rules, seed uint64) *Result {
	w := &World{
		scene: s, rng: rand.New(rand.NewPCG(seed, seed)), backends: map[string]*backend{}, regions: map[string]string{},
		demand: map[string]float64{}, result: newResult(s),
	}
	w.build(rules)
	for _, h := range w.hosts {
		w.at(millis(w.rng.Float64()*s.ReportMillis), func() { w.report(h) })
	}
	for i := range s.DataCentres {
		w.arrive(&s.DataCentres[i])
	}
	for _, e := range s.Events {
		w.at(seconds(e.AtSeconds), func() { w.begin(e) })
	}
	end := seconds(s.Seconds) + millis(s.Work.PatienceMillis)
	for len(w.events) > 0 {
		e, _ := heap.Pop(&w.events).(event)
		if e.at > end {
			break
		}
		w.now = e.at
		e.run()
	}
	return w.result
}

func (w *World) build(rules pick.Rules) {
	var specs []plan.BackendSpec
	for _, d := range w.scene.DataCentres {
		w.regions[d.Name] = d.Region
		w.demand[d.Region] += 1 / float64(len(w.scene.DataCentres))
		for i := range d.Backends {
			id := fmt.Sprintf("%s-%d-%d", d.Name, i, w.rng.Uint64())
			specs = append(specs, plan.BackendSpec{
				ID: id, Service: Service, Address: id, DataCentre: d.Name, Slots: w.scene.Backend.Slots,
			})
			w.backends[id] = newBackend(w, d.Name)
		}
		for i := range d.Hosts {
			w.hosts = append(w.hosts, &host{
				name: fmt.Sprintf("%s-%d", d.Name, i), dataCentre: d.Name, region: d.Region,
				table: pick.New(rules, w), waiting: map[*pick.Ticket]*request{}, repeats: pick.NewRetryBudget(pick.BudgetRule{
					Window: seconds(repeatSeconds), Ratio: w.scene.Work.RepeatRatio, FreeRetries: w.scene.Work.RepeatSlack,
				}),
			})
		}
	}
	w.view = plan.NewView(nil, specs, nil, w.regions)
}

// ElectedFor implements pick.Fleet.
func (w *World) ElectedFor(*plan.Backend) bool { return true }

// Demand implements pick.Fleet.
func (w *World) Demand() map[string]float64 { return w.demand }

func (w *World) at(at time.Duration, run func()) {
	w.order++
	heap.Push(&w.events, event{at: max(at, w.now), order: w.order, run: run})
}

func (w *World) after(d time.Duration, run func()) { w.at(w.now+d, run) }

func (w *World) time() time.Time { return epoch.Add(w.now) }

// delay returns the time of the way between two data centres.
func (w *World) delay(a, b string) time.Duration {
	switch {
	case a == b:
		return 0
	case w.regions[a] == w.regions[b]:
		return millis(w.scene.NearMillis)
	default:
		return millis(w.scene.FarMillis)
	}
}

// report sends a host's notes to the others.
func (w *World) report(h *host) {
	if !h.gone {
		notes, warm := h.table.Reports(w.time()), h.table.WarmObjects(w.time(), w.time().Add(-millis(w.scene.ReportMillis)))
		far := int(w.scene.FarReportMillis / w.scene.ReportMillis)
		turn := int(w.now/millis(w.scene.ReportMillis))%max(1, far) == 0
		for _, peer := range w.hosts {
			if peer != h && (peer.region == h.region || turn) {
				w.after(w.delay(h.dataCentre, peer.dataCentre), func() {
					peer.table.ReceiveReports(w.time(), h.name, notes)
					peer.table.ReceiveWarmObjects(w.time(), warm)
				})
			}
		}
		h.table.DispatchAll(w.time(), w.view)
		w.collect(h)
	}
	w.after(millis(w.scene.ReportMillis), func() { w.report(h) })
}

// rate returns the requests a second that a data centre's callers send now.
func (w *World) rate(d *spec.DataCentre) float64 {
	rate := d.Rate
	if w.scene.Wave.Swing > 0 {
		angle := 2 * math.Pi * (w.now.Seconds()/w.scene.Wave.PeriodSeconds + d.Phase)
		rate *= 1 + w.scene.Wave.Swing*math.Sin(angle)
	}
	for _, e := range w.active(spec.WhatBurst) {
		if e.DataCentre == "" || e.DataCentre == d.Name {
			rate *= e.Factor
		}
	}
	return rate
}

// active returns the events of a kind that last now.
func (w *World) active(what string) []spec.Event {
	var out []spec.Event
	for _, e := range w.scene.Events {
		if e.What == what && w.now >= seconds(e.AtSeconds) && w.now < seconds(e.AtSeconds+e.ForSeconds) {
			out = append(out, e)
		}
	}
	return out
}

// begin starts the events that change state.
func (w *World) begin(e spec.Event) {
	switch e.What {
	case spec.WhatCold:
		for _, b := range w.backends {
			if e.DataCentre == "" || b.dataCentre == e.DataCentre {
				b.warm = map[uint64]time.Duration{}
			}
		}
	case spec.WhatHostsGone:
		for i, h := range w.hosts {
			h.gone = float64(i%len(w.hosts)) < e.Share*float64(len(w.hosts))
		}
		w.after(seconds(e.ForSeconds), func() {
			for _, h := range w.hosts {
				h.gone = false
			}
		})
	}
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
