package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Headers of PROTOCOL.md.
const (
	headerAttempt  = "Rosemarygrade-Attempt-Id"
	headerDeadline = "Rosemarygrade-Deadline-Ms"
	headerExpect   = "Rosemarygrade-Expect-Instance"
	headerStamp    = "Rosemarygrade-Response-Stamp"
	headerNotRun   = "Rosemarygrade-Not-Executed"
	headerInstance = "Rosemarygrade-Instance-Id"
	headerLoad     = "Rosemarygrade-Server-Load"
	headerCold     = "Rosemarygrade-Cold-Ms"
)

const (
	// heartbeat is about heartbeat_s, which is 1.5 s.
	heartbeat  = 1450 * time.Millisecond
	healthPath = "/health"
	kindTarget = "servers"
)

// run is one request that a target began to work on.
type run struct {
	id, method, uri string
	at              time.Time
	// complete is true once the run ended and its answer was handed to the connection.
	complete bool
}

// arrival is a request that reached a target and named it.
type arrival struct {
	id   string
	at   time.Time
	cold bool
}

// targetSpec describes a target.
type targetSpec struct {
	id, service, zone string
	slots, queue      int
	work              time.Duration
}

// target is a stand-in of a back end as PROTOCOL.md describes a sound one.
type target struct {
	spec   targetSpec
	store  *store
	server *http.Server
	addr   string
	born   int64
	end    chan struct{}

	mu        sync.Mutex
	seq       int
	running   int
	waiting   int
	free      chan struct{}
	coldUntil time.Time
	runs      map[string]*run
	repeats   int
	arrivals  []arrival
	crashed   bool
	onArrival func(t *target, now time.Time)
}

// startTarget starts a target on a free loopback port, writes its entry and goes on writing it each heartbeat.
func startTarget(s *store, spec targetSpec) (*target, error) { return launch(s, spec, 0, nil) }

// startColdTarget starts a target that is cold for warmup_s, as those that start during traffic.
func startColdTarget(s *store, spec targetSpec, onArrival func(t *target, now time.Time)) (*target, error) {
	return launch(s, spec, time.Duration(warmupSeconds*float64(time.Second)), onArrival)
}

func launch(s *store, spec targetSpec, cold time.Duration, onArrival func(t *target, now time.Time)) (*target, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &target{
		spec: spec, store: s, addr: l.Addr().String(), born: time.Now().UnixMilli(), end: make(chan struct{}),
		free: make(chan struct{}, spec.slots), runs: map[string]*run{}, onArrival: onArrival,
	}
	if cold > 0 {
		t.coldUntil = time.Now().Add(cold)
	}
	for range spec.slots {
		t.free <- struct{}{}
	}
	t.server = &http.Server{Handler: t, IdleTimeout: 10 * time.Second}
	go func() { _ = t.server.Serve(l) }()
	t.writeEntry()
	go t.beat()
	return t, nil
}

func (t *target) beat() {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			t.writeEntry()
		case <-t.end:
			return
		}
	}
}

// writeEntry writes the entry. The store's revision only grows where more than seq has changed.
func (t *target) writeEntry() {
	t.mu.Lock()
	left := max(0, time.Until(t.coldUntil).Seconds())
	t.mu.Unlock()
	t.store.put(kindTarget, t.spec.id, map[string]any{
		"service": t.spec.service, "address": t.addr, "zone": t.spec.zone, "version": "v1", "slots": t.spec.slots,
		"state": "ready", "cold_left_s": left, "seq": 1, "born": t.born,
	})
}

// becomeCold makes the target cold for d and writes that into its entry at once.
func (t *target) becomeCold(d time.Duration) {
	t.mu.Lock()
	t.coldUntil = time.Now().Add(d)
	t.mu.Unlock()
	t.writeEntry()
}

func (t *target) isCold(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.coldUntil)
}

// unfinished returns the number of runs that began and did not end.
func (t *target) unfinished() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, one := range t.runs {
		if !one.complete {
			n++
		}
	}
	return n
}

// crash ends the target with all its connections. Its entry stays, as that of a target that crashes.
func (t *target) crash() {
	t.mu.Lock()
	if t.crashed {
		t.mu.Unlock()
		return
	}
	t.crashed = true
	t.mu.Unlock()
	close(t.end)
	_ = t.server.Close()
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerAttempt)
	h := w.Header()
	h.Set("Keep-Alive", "timeout=10")
	if id != "" {
		h.Set(headerAttempt, id)
	}
	if r.URL.Path == healthPath && r.Method == http.MethodGet {
		t.serveHealth(w)
		return
	}
	if expected := r.Header.Get(headerExpect); expected != "" && expected != t.spec.id {
		h.Set(headerInstance, t.spec.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	now := time.Now()
	t.mu.Lock()
	t.arrivals = append(t.arrivals, arrival{id: id, at: now, cold: now.Before(t.coldUntil)})
	notify := t.onArrival
	t.mu.Unlock()
	if notify != nil {
		notify(t, now)
	}
	if id == "" {
		h.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.serveRequest(w, r, id, now)
}

func (t *target) serveHealth(w http.ResponseWriter) {
	t.mu.Lock()
	left := time.Until(t.coldUntil)
	t.mu.Unlock()
	w.Header().Set(headerInstance, t.spec.id)
	w.Header().Set(headerLoad, t.load())
	if left > 0 {
		w.Header().Set(headerCold, strconv.FormatInt(left.Milliseconds(), 10))
	}
	w.WriteHeader(http.StatusOK)
}

func (t *target) load() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", t.running, t.waiting, t.spec.slots)
}

// serveRequest waits for a slot, works and answers with the body's length and the whole answer.
func (t *target) serveRequest(w http.ResponseWriter, r *http.Request, id string, now time.Time) {
	ctx := r.Context()
	if ms, err := strconv.ParseFloat(r.Header.Get(headerDeadline), 64); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, now.Add(time.Duration(ms*float64(time.Millisecond))))
		defer cancel()
	}
	read, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if !t.takeSlot(ctx) {
		w.Header().Set(headerNotRun, "1")
		w.Header().Set(headerLoad, t.load())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	one := t.begin(id, r)
	defer t.giveSlot()
	select {
	case <-time.After(t.spec.work):
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			w.Header().Set(headerStamp, "stamp-"+t.spec.id)
			w.WriteHeader(http.StatusGatewayTimeout)
			return
		}
		panic(http.ErrAbortHandler)
	}
	t.mu.Lock()
	one.complete = true
	t.mu.Unlock()
	w.Header().Set(headerStamp, "stamp-"+t.spec.id)
	w.Header().Set(headerLoad, t.load())
	_, _ = fmt.Fprintf(w, "%s %s %s read %d", id, r.Method, r.RequestURI, read)
}

// takeSlot waits in the queue for a slot. It reports false if the queue is full or the deadline passes meanwhile.
func (t *target) takeSlot(ctx context.Context) bool {
	select {
	case <-t.free:
		return true
	default:
	}
	t.mu.Lock()
	full := t.waiting >= t.spec.queue
	if !full {
		t.waiting++
	}
	t.mu.Unlock()
	if full {
		return false
	}
	defer func() { t.mu.Lock(); t.waiting--; t.mu.Unlock() }()
	select {
	case <-t.free:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *target) begin(id string, r *http.Request) *run {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running++
	if t.runs[id] != nil {
		t.repeats++
	}
	one := &run{id: id, method: r.Method, uri: r.RequestURI, at: time.Now()}
	t.runs[id] = one
	return one
}

func (t *target) giveSlot() {
	t.mu.Lock()
	t.running--
	t.mu.Unlock()
	t.free <- struct{}{}
}

// runOf returns a copy of the run of a request, if the target ran it.
func (t *target) runOf(id string) (run, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if one := t.runs[id]; one != nil {
		return *one, true
	}
	return run{}, false
}
