package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// configApply is config_apply_s of the small deployments; the case waits a second longer.
	configApply = 2500 * time.Millisecond
	// raisedHeaderBytes is max_header_bytes of the second version; the first has that of usualLimits.
	raisedHeaderBytes = 65536
	// tokenBytes is the size of a header that only the second version allows, smallTokenBytes of one that both allow.
	tokenBytes, smallTokenBytes = 32768, 8192
	keptClients                 = 6
)

// runLimits raises max_header_bytes while clients keep their connections, and then sends requests that use it.
func runLimits(s setup) (bool, error) {
	st := newStore()
	address, err := st.serve()
	if err != nil {
		return false, err
	}
	orders := route{name: "orders", prefix: "/orders/", kind: "unsafe", service: "works", timeout: 2 * time.Second, attempts: 2}
	putConfig(st, 7, usualLimits, coldPerSecond, warmupSeconds, orders)
	for i := range 4 {
		spec := targetSpec{id: fmt.Sprintf("i-%d", i), service: "works", zone: zones[i%len(zones)], slots: 3, queue: 9, work: 50 * time.Millisecond}
		if _, err := startTarget(st, spec); err != nil {
			return false, err
		}
	}
	f, err := startFleet(s.rec, s.program, s.dir, address, 2)
	if err != nil {
		return false, err
	}
	defer f.stop()
	kept := []*caller{}
	for _, h := range f.hosts {
		for range keptClients / len(f.hosts) {
			kept = append(kept, &caller{address: h.front})
		}
	}
	defer func() {
		for _, c := range kept {
			c.close()
		}
	}()
	if !sendAll(s.rec, "before", kept, smallTokenBytes, usualLimits.HeaderBytes) {
		return false, fmt.Errorf("the clients were not served before the change")
	}
	limit, token := usualLimits, smallTokenBytes
	if s.trouble {
		limit.HeaderBytes, token = raisedHeaderBytes, tokenBytes
	}
	putConfig(st, 12, limit, coldPerSecond, warmupSeconds, orders)
	s.rec.say("version 12 acknowledged: max_header_bytes %d", limit.HeaderBytes)
	for end := time.Now().Add(configApply + time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		sendAll(s.rec, "meanwhile", kept, smallTokenBytes, usualLimits.HeaderBytes)
	}
	fresh := &caller{address: f.hosts[0].front}
	defer fresh.close()
	if !sendAll(s.rec, "new connection", []*caller{fresh}, token, limit.HeaderBytes) {
		return false, fmt.Errorf("version 12 is not in force for new connections either")
	}
	return !sendAll(s.rec, "kept connection", kept, token, limit.HeaderBytes), nil
}

// sendAll sends one request on the connection of each client, with a header of size bytes, and reports whether all were served.
func sendAll(rec *record, name string, clients []*caller, size, limit int) bool {
	served := 0
	for i, c := range clients {
		r := request{
			id: fmt.Sprintf("%s-%d-%d", strings.ReplaceAll(name, " ", "-"), i, time.Now().UnixMilli()), method: http.MethodPost,
			uri: "/orders/1", host: routeHost, deadline: 2 * time.Second, header: "Session-Token: " + strings.Repeat("t", size) + "\r\n",
			body: strings.NewReader("order"), length: 5,
		}
		use := c.uses + 1
		a := c.send(r)
		rec.line("%s: %s to %s, request %d of its connection, header of %d bytes, limit in force %d: %v", name, r.id, c.address, use, size, limit, a)
		if a.err == nil && a.status == http.StatusOK && a.stamped {
			served++
		}
	}
	rec.say("%s: %d of %d requests with a header of %d bytes served, limit in force %d", name, served, len(clients), size, limit)
	return served == len(clients)
}
