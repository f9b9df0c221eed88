package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// rollCold lets a target join, which is cold for warmup, and stops the two processes of its zone as planned at that time.
func rollCold(ctx context.Context, f *fleet, trouble bool) (broken []string, err error) {
	const (
		hosts, slots, perSecond, workers = 4, 9, 150, 120
		work, warmup                     = 90 * time.Millisecond, 3 * time.Second
		bound                            = 15*1.5 + 5
		service, zone                    = "scanvault", "north-a"
	)
	var targets []*coldTarget
	for i := range 2 {
		t, err := newColdTarget(fmt.Sprintf("i-scan-%d", i+1), slots, work, f.record)
		if err != nil {
			return nil, err
		}
		targets = append(targets, t)
	}
	f.store.set("servers", targets[0].id, targets[0].spec(service, zone, time.Now(), 0))
	f.store.set("config", "main", fmt.Sprintf(evacConfig, 7))
	f.zones = []string{zone, zone, "south-a", "south-a"}
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
	joined := targets[1]
	born := time.Now()
	joined.mu.Lock()
	joined.coldUntil = born.Add(warmup)
	joined.mu.Unlock()
	f.store.set("servers", joined.id, joined.spec(service, zone, born, warmup))
	f.record.add("target %s has joined, cold for %v; its entry is acknowledged", joined.id, warmup)
	sleepUntil(ctx, born.Add(200*time.Millisecond))
	if trouble {
		for _, h := range f.hosts[:2] {
			f.signal(h, syscall.SIGTERM)
		}
	}
	sleepUntil(ctx, born.Add(warmup+500*time.Millisecond))
	stop()
	group.Wait()
	f.record.add("clients: %d sent, %d answered 200, %d others", cs.sent.Load(), cs.ok.Load(), cs.other.Load())
	most := joined.mostInSecond()
	f.record.add("target %s got at most %d requests in a second while it was cold; allowed are %.1f", joined.id, most, float64(bound))
	if float64(most) > bound {
		broken = append(broken, fmt.Sprintf("FAILBACK: the cold target %s got %d requests in one second; %.1f are allowed", joined.id, most, float64(bound)))
	}
	return broken, nil
}
