// Package runner runs a fleet of edged processes, injects faults in an order fixed by a seed, and checks the responses
// that callers got against the requests that the backend servers ran.
package runner

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"rosemarygrade.dev/lib/pkg/fault"
)

// Kind is the kind of an error of the package.
type Kind string

// Kinds of errors.
const (
	// KindStart means that the fleet could not be started.
	KindStart Kind = "start"
	// KindPlan means that the plan names an unknown fault.
	KindPlan Kind = "plan"
	// KindCheck means that the run found violations.
	KindCheck Kind = "check"
)

// Error is the error type of the package.
type Error = fault.Error[Kind]

// Plan describes a test run.
type Plan struct {
	Seed    uint64
	Length  time.Duration
	Hosts   int
	Program string
	// Logs is the directory for the processes' output; if empty, output is discarded.
	Logs string
	// Faults are the names of the faults to inject, in this order, repeated until the run ends. If empty, the seed selects them.
	Faults []string
}

// Check returns an error of KindPlan if Faults names an unknown fault.
func (p *Plan) Check() error {
	names := map[string]bool{}
	for _, f := range (&testRun{}).faultTable() {
		names[f.name] = true
	}
	for _, name := range p.Faults {
		if !names[name] {
			return fault.New("plan", KindPlan, "no fault is named "+name)
		}
	}
	return nil
}

// Limits of a run.
const (
	callers = 8
	// configGrace is how long after a new configuration its limits apply to all connections.
	configGrace = 2500 * time.Millisecond
	// drainGrace is how long a backend server may still receive requests after it is set to draining.
	drainGrace = 2500 * time.Millisecond
	// settleWait is the delay between the last fault and the check, so that requests still running at backend servers are counted.
	settleWait   = 3 * time.Second
	readyTimeout = 20 * time.Second
	// maxPauseMillis bounds the pause between faults. Short pauses let a fault begin while the effects of the last one continue.
	maxPauseMillis = 700
)

// Report is the result of a run: counts of responses, the injected faults and the violations.
type Report struct {
	seed       uint64
	requests   int
	statuses   map[int]int
	faults     []string
	violations []string
}

// Err returns an error of KindCheck that lists the violations, or nil if there are none.
func (r *Report) Err() error {
	if len(r.violations) == 0 {
		return nil
	}
	return fault.New(fmt.Sprintf("seed %d", r.seed), KindCheck, strings.Join(r.violations, "; "))
}

// String returns the counts and the injected faults in order.
func (r *Report) String() string {
	return fmt.Sprintf("seed %d: %d requests, statuses %v (0: no answer), %d wrong, faults: %s",
		r.seed, r.requests, r.statuses, len(r.violations), strings.Join(r.faults, ", "))
}

// testRun is the state of one run.
type testRun struct {
	plan  Plan
	fleet *fleet
	rng   *rand.Rand
	// newHosts counts the hosts that were started under load.
	newHosts int

	mu       sync.Mutex
	report   *Report
	outcomes []outcome
}

// outcome is one request with the response that its caller got.
type outcome struct {
	id         string
	idempotent bool
	// target is the request target as sent.
	target       string
	requestBody  string
	status       int
	responseBody string
	// stamped is set if the response has the backend server's signature.
	stamped bool
	// dropped is set if the host closed the connection without a response although it was not killed or suspended.
	dropped bool
}

// Run runs a plan. It returns an error if the plan is invalid or the fleet could not be started or shut down; violations are
// in the report.
func Run(ctx context.Context, p Plan) (*Report, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, fault.Wrap("run", KindStart, err)
	}
	run := &testRun{plan: p, rng: rand.New(rand.NewPCG(p.Seed, p.Seed)), report: &Report{seed: p.Seed, statuses: map[int]int{}}}
	run.fleet, err = startFleet(ctx, p, dir)
	if err != nil {
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	runCtx, stop := context.WithTimeout(ctx, p.Length)
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() { run.sendRequests(runCtx, i) })
	}
	run.injectFaults(runCtx)
	stop()
	group.Wait()
	sleep(ctx, settleWait)
	run.check()
	return run.report, errors.Join(run.fleet.shutDown(), os.RemoveAll(dir))
}

// injectFaults injects one fault after the other until ctx ends.
func (run *testRun) injectFaults(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		f := run.nextFault(n)
		pause := time.Duration(run.rng.IntN(maxPauseMillis)) * time.Millisecond
		run.mu.Lock()
		run.report.faults = append(run.report.faults, f.name)
		run.mu.Unlock()
		f.inject(ctx)
		sleep(ctx, pause)
	}
}

// nextFault returns the n-th fault to inject.
func (run *testRun) nextFault(n int) injectedFault {
	faults := run.faultTable()
	if len(run.plan.Faults) == 0 {
		return faults[run.rng.IntN(len(faults))]
	}
	i := slices.IndexFunc(faults, func(f injectedFault) bool { return f.name == run.plan.Faults[n%len(run.plan.Faults)] })
	return faults[i]
}

func (run *testRun) addViolation(format string, args ...any) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.report.violations = append(run.report.violations, fmt.Sprintf(format, args...))
}

// check compares the responses that callers got with the requests that the backend servers ran.
func (run *testRun) check() {
	for _, o := range run.outcomes {
		for _, target := range run.fleet.receivedTargets(o.id) {
			if target != o.target {
				run.addViolation("%s was sent to %q and arrived as %q", o.id, o.target, target)
			}
		}
		runs := run.fleet.runCount(o.id)
		switch {
		case !o.idempotent && runs > 1:
			run.addViolation("%s ran %d times", o.id, runs)
		case !o.idempotent && o.status == statusNotRun && runs > 0:
			run.addViolation("%s was answered as not run and ran", o.id)
		case o.status == statusOK && (o.responseBody != "hello "+o.requestBody || !o.stamped):
			run.addViolation("%s got another answer: %q", o.id, o.responseBody)
		case o.dropped:
			run.addViolation("%s was cut by a host that runs or stops by plan", o.id)
		}
	}
	if run.report.statuses[statusOK] == 0 {
		run.addViolation("nothing was served")
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
