package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Bounds of the small deployments (SYSTEM.md) for FAILBACK.
const (
	coldPerSecond = 2.7
	warmupSeconds = 3.0
	coldOver      = 1.5
	coldSlack     = 5
	coldBound     = coldPerSecond*coldOver + coldSlack
	// crashRate is the rate "well above" cold_per_s at which a cold target crashes, over crashWindow.
	crashRate   = 5 * coldPerSecond
	crashWindow = 2 * time.Second
	// notice is how long after the entry was written requests are not counted: hosts learn of it in much less.
	notice = 500 * time.Millisecond
)

// Times after the start of the new target at which it becomes cold again.
const (
	// soonAfterSlowStart is when it has been warm for half a second, and has not said so in its entry yet.
	soonAfterSlowStart = 3500 * time.Millisecond
	// longAfterSlowStart is when its entry has said for long that it is warm.
	longAfterSlowStart = 9 * time.Second
)

// runColdSoon lets a target become cold again shortly after its slow start.
func runColdSoon(s setup) (bool, error) { return runCold(s, soonAfterSlowStart, 100*time.Millisecond) }

// runColdBusy lets a target become cold again that has been warm for long and is at work on requests.
func runColdBusy(s setup) (bool, error) { return runCold(s, longAfterSlowStart, 200*time.Millisecond) }

// runCold starts a target during traffic and lets it become cold again some time after its start.
func runCold(s setup, againAfter, work time.Duration) (bool, error) {
	st := newStore()
	address, err := st.serve()
	if err != nil {
		return false, err
	}
	putConfig(st, 1, usualLimits, coldPerSecond, warmupSeconds,
		route{name: "orders", prefix: "/orders/", kind: "unsafe", service: "works", timeout: 2 * time.Second, attempts: 2})
	spec := targetSpec{service: "works", slots: 3, queue: 9, work: work}
	for i := range 3 {
		spec.id, spec.zone = fmt.Sprintf("i-old-%d", i), zones[i%len(zones)]
		if _, err := startTarget(st, spec); err != nil {
			return false, err
		}
	}
	f, err := startFleet(s.rec, s.program, s.dir, address, 2)
	if err != nil {
		return false, err
	}
	defer f.stop()
	load := newTraffic(s.rec, "order", http.MethodPost, "/orders/1", 250*time.Millisecond, 2*time.Second, 300)
	load.start(f.hosts, 8)
	time.Sleep(4 * time.Second)

	spec.id, spec.zone = "i-new", zones[0]
	fresh, err := startColdTarget(st, spec, crashWhenFlooded(s.rec))
	if err != nil {
		return false, err
	}
	s.rec.say("target i-new starts, cold for %.1f s", warmupSeconds)
	time.Sleep(againAfter)
	var again time.Time
	if s.trouble {
		again = time.Now()
		fresh.becomeCold(time.Duration(warmupSeconds * float64(time.Second)))
		s.rec.say("target i-new becomes cold again for %.1f s and says so in its entry", warmupSeconds)
	}
	time.Sleep(5 * time.Second)
	requests := load.finish()
	s.rec.say("orders by answer: %v; runs that did not end: %d", countByAnswer(requests), fresh.unfinished())
	return failback(s.rec, fresh, requests, again), nil
}

// crashWhenFlooded returns a function that ends a cold target at crashRate.
func crashWhenFlooded(rec *record) func(t *target, now time.Time) {
	var (
		mu     sync.Mutex
		recent []time.Time
	)
	return func(t *target, now time.Time) {
		mu.Lock()
		defer mu.Unlock()
		if !t.isCold(now) {
			return
		}
		kept := recent[:0]
		for _, at := range recent {
			if now.Sub(at) < crashWindow {
				kept = append(kept, at)
			}
		}
		recent = append(kept, now)
		if float64(len(recent)) > crashRate*crashWindow.Seconds() {
			rec.say("target %s crashes: %d requests in %v while cold", t.spec.id, len(recent), crashWindow)
			go t.crash()
		}
	}
}

// failback checks FAILBACK: the requests in each second that were sent and arrived inside it while the target was cold. Those sent up to
// notice after it became cold again are left out.
func failback(rec *record, t *target, requests []sent, again time.Time) bool {
	sentAt := map[string]time.Time{}
	for _, r := range requests {
		sentAt[r.id] = r.at
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	worst, at := 0, time.Time{}
	for _, first := range t.arrivals {
		begin, n := sentAt[first.id], 0
		if since := begin.Sub(again); since >= 0 && since < notice {
			continue
		}
		for _, a := range t.arrivals {
			if a.cold && a.at.Before(again) == first.at.Before(again) && !sentAt[a.id].Before(begin) && a.at.Sub(begin) < time.Second {
				n++
			}
		}
		if n > worst {
			worst, at = n, begin
		}
	}
	for _, a := range t.arrivals {
		rec.line("arrival %s at %s after its start: %d ms, cold: %v", a.id, t.spec.id, a.at.UnixMilli()-t.born, a.cold)
	}
	rec.say("FAILBACK: most requests in one second at the cold target: %d (from %.3f s after its start), bound %.2f",
		worst, at.Sub(time.UnixMilli(t.born)).Seconds(), coldBound)
	return float64(worst) > coldBound
}
