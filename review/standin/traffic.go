package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// sent is one request with its answer.
type sent struct {
	id, host string
	at, end  time.Time
	// kept is true where the connection had carried a request before.
	kept   bool
	answer answer
}

// traffic is a group of clients, each of which keeps a connection to one host and sends one request after the other.
type traffic struct {
	name   string
	rec    *record
	method string
	uri    string
	// pace is the time between two requests of a client, if the answer arrives sooner.
	pace     time.Duration
	deadline time.Duration
	bytes    int64

	mu   sync.Mutex
	sent []sent
	stop chan struct{}
	wait sync.WaitGroup
}

func newTraffic(rec *record, name, method, uri string, pace, deadline time.Duration, bytes int64) *traffic {
	return &traffic{name: name, rec: rec, method: method, uri: uri, pace: pace, deadline: deadline, bytes: bytes, stop: make(chan struct{})}
}

// start starts n clients of each host.
func (t *traffic) start(hosts []*host, n int) {
	for i, h := range hosts {
		for j := range n {
			t.wait.Add(1)
			go t.run(h, fmt.Sprintf("%s-%d-%d", t.name, i, j), t.pace*time.Duration(j)/time.Duration(n))
		}
	}
}

func (t *traffic) run(h *host, name string, offset time.Duration) {
	defer t.wait.Done()
	c := &caller{address: h.front}
	defer c.close()
	next := time.Now().Add(offset)
	for n := 0; ; n++ {
		select {
		case <-t.stop:
			return
		case <-time.After(time.Until(next)):
		}
		next = time.Now().Add(t.pace)
		r := request{id: fmt.Sprintf("%s-%d", name, n), method: t.method, uri: t.uri, host: routeHost, deadline: t.deadline}
		if t.method != http.MethodGet {
			r.body, r.length = strings.NewReader(strings.Repeat("b", int(t.bytes))), t.bytes
		}
		one := sent{id: r.id, host: h.name, at: time.Now(), kept: c.conn != nil && c.uses > 0}
		one.answer = c.send(r)
		one.end = time.Now()
		t.rec.line("%s to %s (kept connection: %v): %v after %d ms", r.id, h.name, one.kept, one.answer, one.end.Sub(one.at).Milliseconds())
		t.mu.Lock()
		t.sent = append(t.sent, one)
		t.mu.Unlock()
	}
}

// finish stops the clients after their requests in flight and returns what they sent.
func (t *traffic) finish() []sent {
	close(t.stop)
	t.wait.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sent
}

// countByAnswer returns how many requests ended with each answer.
func countByAnswer(list []sent) map[string]int {
	out := map[string]int{}
	for _, s := range list {
		name := s.answer.String()
		if s.answer.err != nil {
			name = "no answer"
		}
		out[name]++
	}
	return out
}
