package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// runs holds which service ran each request, by attempt id.
type runs struct {
	mu       sync.Mutex
	services map[string][]string
}

func (r *runs) add(id, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.services[id] = append(r.services[id], service)
}

func (r *runs) of(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.services[id]
}

const (
	workTime = 20 * time.Millisecond
	slots    = 9
)

// target stands in for a target of a service.
type target struct {
	id, service, zone, address string
	runs                       *runs
}

func startTarget(id, service, zone string, r *runs) (*target, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &target{id: id, service: service, zone: zone, address: l.Addr().String(), runs: r}
	go func() { _ = (&http.Server{Handler: t}).Serve(l) }()
	return t, nil
}

func (t *target) entry() string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold_left_s":0,"seq":1,"born":1700000000000}`,
		t.service, t.address, t.zone, slots)
}

func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Rosemarygrade-Attempt-Id")
	h := w.Header()
	h.Set("Rosemarygrade-Attempt-Id", id)
	h.Set("Rosemarygrade-Instance-Id", t.id)
	h.Set("Rosemarygrade-Server-Load", fmt.Sprintf("1,0,%d,100", slots))
	if expected := r.Header.Get("Rosemarygrade-Expect-Instance"); expected != "" && expected != t.id {
		h.Set("Rosemarygrade-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	t.runs.add(id, t.service)
	time.Sleep(workTime)
	h.Set("Rosemarygrade-Response-Stamp", t.id+"."+id)
	_, _ = w.Write(body)
}
