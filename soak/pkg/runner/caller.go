package runner

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"rosemarygrade.dev/platform/fake"
)

// Statuses that promise something.
const (
	ok     = http.StatusOK
	notRun = http.StatusServiceUnavailable
)

// Times of callers.
const (
	patience  = 3 * time.Second
	callPause = 15 * time.Millisecond
	objects   = 40
	longBody  = 8000
)

// call sends requests one after the other until the context ends.
func (d *drill) call(ctx context.Context, caller int) {
	rng := rand.New(rand.NewPCG(d.plan.Seed, uint64(caller)+1))
	// A connection for each request: what a host that is gone does to kept ones is not its fault.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience + time.Second}
	for n := 0; ctx.Err() == nil; n++ {
		a := attempt{id: fmt.Sprintf("%d-%d", caller, n), idempotent: rng.IntN(2) == 0}
		if !a.idempotent {
			a.body = strings.Repeat("b", rng.IntN(longBody))
		}
		h := d.fleet.hosts[rng.IntN(len(d.fleet.hosts))]
		// The run's end must not look like a caller that leaves.
		d.ask(context.WithoutCancel(ctx), client, h, &a, rng.IntN(objects))
		d.mu.Lock()
		d.report.requests++
		d.report.statuses[a.status]++
		d.attempts = append(d.attempts, a)
		d.mu.Unlock()
		sleep(ctx, callPause)
	}
}

func (d *drill) ask(ctx context.Context, client *http.Client, h *host, a *attempt, object int) {
	method, path := http.MethodPost, "/write/x"
	if a.idempotent {
		method, path = http.MethodGet, "/read/x"
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.caller+path, strings.NewReader(a.body))
	if err != nil {
		d.wrong("request not made: %v", err)
		return
	}
	r.Host = fake.RouteHost
	fake.SetCallerHeaders(r.Header, a.id, fmt.Sprint(object), patience)
	hurt := h.hurts()
	resp, err := client.Do(r)
	if err != nil {
		// A refused connection and an end of one's own patience are no answers cut off.
		a.cut = strings.Contains(err.Error(), "EOF") && hurt == h.hurts() && !h.hurt()
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	a.status, a.answer, a.signed = resp.StatusCode, string(body), fake.Stamp(resp.Header) != ""
}
