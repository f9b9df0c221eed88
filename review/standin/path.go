package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// rawPaths hold characters that a client may leave as they are in a path, plainPaths the same objects without them.
var (
	rawPaths   = []string{"/orders/liner|38.5", "/orders/shell^9", "/orders/{17}", "/orders/caf\xc3\xa9"}
	plainPaths = []string{"/orders/liner-38.5", "/orders/shell%5E9", "/orders/%7B17%7D", "/orders/caf%C3%A9"}
)

// runPath sends orders whose paths hold characters that need no encoding for HTTP, and compares them with what the targets ran.
func runPath(s setup) (bool, error) {
	st := newStore()
	address, err := st.serve()
	if err != nil {
		return false, err
	}
	putConfig(st, 1, usualLimits, coldPerSecond, warmupSeconds,
		route{name: "orders", prefix: "/orders/", kind: "unsafe", service: "works", timeout: 2 * time.Second, attempts: 2})
	targets := []*target{}
	for i := range 4 {
		spec := targetSpec{id: fmt.Sprintf("i-%d", i), service: "works", zone: zones[i%len(zones)], slots: 3, queue: 9, work: 50 * time.Millisecond}
		t, err := startTarget(st, spec)
		if err != nil {
			return false, err
		}
		targets = append(targets, t)
	}
	f, err := startFleet(s.rec, s.program, s.dir, address, 2)
	if err != nil {
		return false, err
	}
	defer f.stop()
	paths := rawPaths
	if !s.trouble {
		paths = plainPaths
	}
	changed, ran := 0, 0
	for n, uri := range paths {
		for i, h := range f.hosts {
			c := &caller{address: h.front}
			id := fmt.Sprintf("order-%d-%d", n, i)
			a := c.send(request{id: id, method: http.MethodPost, uri: uri, host: routeHost, deadline: 2 * time.Second, body: strings.NewReader("order"), length: 5})
			c.close()
			for _, t := range targets {
				one, found := t.runOf(id)
				if !found {
					continue
				}
				ran++
				s.rec.line("%s: sent %q, %s ran %q, answer %v", id, uri, t.spec.id, one.uri, a)
				if one.uri != uri {
					changed++
				}
			}
		}
	}
	if ran == 0 {
		return false, fmt.Errorf("no order ran")
	}
	s.rec.say("UNASKED: %d of %d orders ran with another path than the client sent", changed, ran)
	return changed > 0, nil
}
