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

// Response statuses that check compares with what the backend servers ran.
const (
	statusOK     = http.StatusOK
	statusNotRun = http.StatusServiceUnavailable
)

// Limits of callers and their requests.
const (
	callerTimeout = 3 * time.Second
	requestPause  = 15 * time.Millisecond
	objectCount   = 40
	maxBodyBytes  = 8000
)

// sendRequests sends a caller's requests one after the other until ctx ends.
func (run *testRun) sendRequests(ctx context.Context, caller int) {
	rng := rand.New(rand.NewPCG(run.plan.Seed, uint64(caller)+1))
	// Each request has its own connection: a kept one would break when its host is killed, which is no violation.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerTimeout + time.Second}
	for n := 0; ctx.Err() == nil; n++ {
		a := attempt{id: fmt.Sprintf("%d-%d", caller, n), idempotent: rng.IntN(2) == 0}
		if !a.idempotent {
			a.requestBody = strings.Repeat("b", rng.IntN(maxBodyBytes))
		}
		h := run.fleet.hosts[rng.IntN(len(run.fleet.hosts))]
		// The request in flight at the end of the run is not cancelled; the host would see a caller that disconnects.
		run.send(context.WithoutCancel(ctx), client, h, &a, rng.IntN(objectCount))
		run.mu.Lock()
		run.report.requests++
		run.report.statuses[a.status]++
		run.attempts = append(run.attempts, a)
		run.mu.Unlock()
		sleep(ctx, requestPause)
	}
}

func (run *testRun) send(ctx context.Context, client *http.Client, h *host, a *attempt, object int) {
	method, path := http.MethodPost, "/write/x"
	if a.idempotent {
		method, path = http.MethodGet, "/read/x"
	}
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.callerAddress+path, strings.NewReader(a.requestBody))
	if err != nil {
		run.addViolation("request not made: %v", err)
		return
	}
	r.Host = fake.RouteHost
	fake.SetCallerHeaders(r.Header, a.id, fmt.Sprint(object), callerTimeout)
	faults := h.faultCount()
	resp, err := client.Do(r)
	if err != nil {
		// A refused connection or the caller's own timeout does not count as a dropped request.
		a.dropped = strings.Contains(err.Error(), "EOF") && faults == h.faultCount() && !h.isFaulted()
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	a.status, a.responseBody, a.stamped = resp.StatusCode, string(body), fake.Stamp(resp.Header) != ""
}
