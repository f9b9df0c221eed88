package main

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"time"
)

const evacConfig = `{"version":%d,"routes":{"columns":["name","host","path_prefix","type","timeout_s","slo_s","priority","service","max_attempts","sticky","home_regions","traffic_split"],` +
	`"rows":[["r0","web.example","/read/","safe",1.2,0.3,2,"scanvault",2,true,[],null]]},` +
	`"services":{"columns":["name","health_path","max_conns","protocol","tls","warmup_s","cold_per_s"],"rows":[["scanvault","/health",390,"h1",false,3.0,15.0]]},` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}`

// evacuateOrder lets the two targets of a zone become cold shortly before the operator takes back the evacuation of the zone. Both entries
// are acknowledged before that.
func evacuateOrder(ctx context.Context, f *fleet, trouble bool) (broken []string, err error) {
	const (
		hosts, slots, perSecond, workers  = 4, 9, 150, 120
		zoneTargets, otherTargets, cycles = 2, 1, 5
		work, warmup                      = 90 * time.Millisecond, 3 * time.Second
		evacuated, shortly                = 4 * time.Second, 200 * time.Millisecond
		bound                             = 15*1.5 + 5
		service, zone                     = "scanvault", "north-a"
	)
	var targets []*coldTarget
	born := time.Now()
	for i := range zoneTargets + otherTargets {
		z := zone
		if i >= zoneTargets {
			z = "south-a"
		}
		t, err := newColdTarget(fmt.Sprintf("i-scan-%d", i+1), slots, work, f.record)
		if err != nil {
			return nil, err
		}
		targets = append(targets, t)
		f.store.set("servers", t.id, t.spec(service, z, born, 0))
	}
	f.store.set("config", "main", fmt.Sprintf(evacConfig, 7))
	if err := f.startHosts(hosts, nil); err != nil {
		return nil, err
	}
	load, stop := context.WithCancel(ctx)
	defer stop()
	var cs clients
	var group sync.WaitGroup
	group.Add(1)
	go func() { defer group.Done(); cs.run(load, f, perSecond, workers) }()
	sleepUntil(ctx, time.Now().Add(6*time.Second))
	random := rand.New(rand.NewSource(35))
	for cycle := range cycles {
		if trouble {
			f.store.set("evacuations", zone, "{}")
			f.record.add("cycle %d: the operator evacuates %s; acknowledged", cycle, zone)
		}
		back := time.Now().Add(evacuated)
		var group sync.WaitGroup
		for _, t := range targets[:zoneTargets] {
			at := back.Add(-time.Duration(random.Int63n(int64(shortly))))
			group.Add(1)
			go func() {
				defer group.Done()
				sleepUntil(ctx, at)
				now := time.Now()
				t.mu.Lock()
				t.coldUntil = now.Add(warmup)
				t.mu.Unlock()
				f.store.set("servers", t.id, t.spec(service, zone, born, warmup))
				f.record.add("target %s has become cold for %v; its entry is acknowledged", t.id, warmup)
			}()
		}
		group.Wait()
		sleepUntil(ctx, back)
		if trouble {
			f.store.remove("evacuations", zone)
			f.record.add("cycle %d: the operator takes the evacuation of %s back; acknowledged", cycle, zone)
		}
		sleepUntil(ctx, back.Add(warmup))
		for _, t := range targets[:zoneTargets] {
			f.store.set("servers", t.id, t.spec(service, zone, born, 0))
		}
		for _, t := range targets[:zoneTargets] {
			most := t.mostInSecond()
			t.mu.Lock()
			t.arrivals = nil
			t.mu.Unlock()
			f.record.add("cycle %d: target %s got at most %d requests in a second while it was cold; allowed are %.1f", cycle, t.id, most, float64(bound))
			if float64(most) > bound {
				broken = append(broken, fmt.Sprintf("FAILBACK: cycle %d: the cold target %s got %d requests in one second; %.1f are allowed", cycle, t.id, most, float64(bound)))
			}
		}
		sleepUntil(ctx, time.Now().Add(2*time.Second))
	}
	stop()
	group.Wait()
	f.record.add("clients: %d sent, %d answered 200, %d others", cs.sent.Load(), cs.ok.Load(), cs.other.Load())
	return broken, nil
}

// mostInSecond returns the highest number of requests that arrived in one second while the target was cold.
func (t *coldTarget) mostInSecond() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	most := 0
	for i, first := range t.arrivals {
		n := 0
		for _, a := range t.arrivals[i:] {
			if a.Sub(first) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
