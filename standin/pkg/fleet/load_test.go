package fleet_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/lib/pkg/fault"
	"rosemarygrade.dev/standin/pkg/load"
)

// outcome is the result of one request at its caller. keyed is set for requests that may run at most once.
type outcome struct {
	token string
	keyed bool
	kind  load.Kind
	err   error
}

// traffic sends requests until it is stopped and records their outcomes.
type traffic struct {
	stop     context.CancelFunc
	wg       sync.WaitGroup
	mu       sync.Mutex
	outcomes []outcome
}

// requestPause keeps the load below the capacity of half the fleet, as faults take down a whole region.
const requestPause = 20 * time.Millisecond

// startTraffic starts workers in each region. Every second one sends requests that may run at most once.
func (f *fleet) startTraffic(workers int) *traffic {
	ctx, cancel := context.WithCancel(f.t.Context())
	tr := &traffic{stop: cancel}
	for region := range 2 {
		c := f.caller(region)
		for w := range workers {
			keyed := w%2 == 0
			tr.wg.Go(func() { tr.worker(ctx, c, keyed) })
		}
	}
	return tr
}

func (tr *traffic) worker(ctx context.Context, c *load.Caller, keyed bool) {
	req := load.Request{Method: http.MethodGet, Path: "/search"}
	if keyed {
		req = load.Request{Method: http.MethodPost, Path: "/corrections", Body: []byte("notice"), Keyed: true}
	}
	for ctx.Err() == nil {
		// Requests in flight at the end of the traffic are not cancelled, so that the outcome of each one can be checked.
		result, err := c.Do(context.Background(), req)
		tr.mu.Lock()
		tr.outcomes = append(tr.outcomes, outcome{token: result.Token, keyed: keyed, kind: fault.KindOf[load.Kind](err), err: err})
		tr.mu.Unlock()
		time.Sleep(requestPause)
	}
}

// finish stops the traffic, waits for the requests in flight and returns all outcomes.
func (tr *traffic) finish() []outcome {
	tr.stop()
	tr.wg.Wait()
	return tr.outcomes
}

// runsByToken returns how often the request with each token ran, summed over all backend servers.
func (f *fleet) runsByToken() map[string]int {
	sum := map[string]int{}
	for _, s := range f.servers {
		for token, n := range s.Recorded().Runs {
			sum[token] += n
		}
	}
	return sum
}

func count(outcomes []outcome, kind load.Kind) int {
	n := 0
	for _, o := range outcomes {
		if o.kind == kind {
			n++
		}
	}
	return n
}

// noError is the kind of an outcome without an error.
const noError = load.Kind("")

// assertOutcomes checks what must hold under any fault: each response belongs to its request, a request reported as not run
// did not run, and a keyed request ran at most once, and exactly once if it succeeded.
func assertOutcomes(t *testing.T, f *fleet, outcomes []outcome) {
	t.Helper()
	runs := f.runsByToken()
	for _, o := range outcomes {
		assert.Assert(t, o.kind != load.KindForeign, "%v", o.err)
		if o.kind == load.KindNotRun {
			assert.Equal(t, runs[o.token], 0, "reported as not run, but ran: %v", o.err)
		}
		if !o.keyed {
			continue
		}
		assert.Assert(t, runs[o.token] <= 1, "ran %d times", runs[o.token])
		if o.kind == noError {
			assert.Equal(t, runs[o.token], 1)
		}
	}
	t.Logf("succeeded %d, not run %d, unknown %d, broken %d, look-up failed %d", count(outcomes, noError), count(outcomes, load.KindNotRun),
		count(outcomes, load.KindUnknown), count(outcomes, load.KindBroken), count(outcomes, load.KindLookup))
}

// assertNoErrors checks that there are outcomes and that all requests succeeded.
func assertNoErrors(t *testing.T, outcomes []outcome) {
	t.Helper()
	assert.Assert(t, len(outcomes) > 0)
	for _, o := range outcomes {
		assert.NilError(t, o.err)
	}
}

// assertMaxInFlight checks that no server ever ran more than limit requests concurrently.
func assertMaxInFlight(t *testing.T, f *fleet, limit int) {
	t.Helper()
	for a, s := range f.servers {
		r := s.Recorded()
		assert.Assert(t, r.MaxInFlight <= limit, "server %s ran %d requests concurrently", a, r.MaxInFlight)
	}
}

// assertNoneAborted checks that no request was aborted at a server. Hedging is exempt: it cancels the slower attempt of an
// idempotent request, which has succeeded by its other attempt.
func assertNoneAborted(t *testing.T, f *fleet, outcomes []outcome) {
	t.Helper()
	mayBeHedged := map[string]bool{}
	for _, o := range outcomes {
		mayBeHedged[o.token] = o.kind == noError && !o.keyed
	}
	for a, s := range f.servers {
		for token := range s.Recorded().Aborted {
			assert.Assert(t, mayBeHedged[token], "at server %s, request %s was aborted", a, token)
		}
	}
}
