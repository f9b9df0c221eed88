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

// Response statuses that check compares with the runs at the backend servers.
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
	// Each request has its own connection: one that is kept alive would break when its host is killed, which is no violation.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerTimeout + time.Second}
	for n := 0; ctx.Err() == nil; n++ {
		o := outcome{id: fmt.Sprintf("%d-%d", caller, n), idempotent: rng.IntN(2) == 0}
		o.target = "/read/" + randomPath(rng)
		if !o.idempotent {
			o.target = "/write/" + randomPath(rng)
			o.requestBody = strings.Repeat("b", rng.IntN(maxBodyBytes))
		}
		hosts := run.fleet.allHosts()
		h := hosts[rng.IntN(len(hosts))]
		// The request in flight at the end of the run is not cancelled, as the host would take that for a caller that disconnects.
		run.send(context.WithoutCancel(ctx), client, h, &o, rng.IntN(objectCount))
		run.mu.Lock()
		run.report.requests++
		run.report.statuses[o.status]++
		run.outcomes = append(run.outcomes, o)
		run.mu.Unlock()
		sleep(ctx, requestPause)
	}
}

func (run *testRun) send(ctx context.Context, client *http.Client, h *host, o *outcome, object int) {
	method := http.MethodPost
	if o.idempotent {
		method = http.MethodGet
	}
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.callerAddress, strings.NewReader(o.requestBody))
	if err != nil {
		run.addViolation("request not made: %v", err)
		return
	}
	// The client writes an opaque URL unchanged.
	r.URL.Opaque = o.target
	r.Host = fake.RouteHost
	fake.SetCallerHeaders(r.Header, o.id, fmt.Sprint(object), callerTimeout)
	faults := h.faultCount()
	resp, err := client.Do(r)
	if err != nil {
		// A refused connection or the caller's own timeout does not count as a dropped request.
		o.dropped = strings.Contains(err.Error(), "EOF") && faults == h.faultCount() && !h.isFaulted()
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	o.status, o.responseBody, o.stamped = resp.StatusCode, string(body), fake.Stamp(resp.Header) != ""
}
