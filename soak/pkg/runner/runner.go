// Package runner runs a fleet of real processes under seeded faults.
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
	// KindPlan means that the plan can't be carried out.
	KindPlan Kind = "plan"
	// KindCheck means that something was seen that must not be.
	KindCheck Kind = "check"
)

// Error is the error type of the package.
type Error = fault.Error[Kind]

// Plan describes a run.
type Plan struct {
	Seed    uint64
	Length  time.Duration
	Hosts   int
	Program string
	// Logs is a directory for the processes' output; empty means that none is kept.
	Logs string
	// Faults are names of faults to bring about in this order; none means that the seed chooses.
	Faults []string
}

// Check returns an error where a fault is unknown.
func (p *Plan) Check() error {
	names := map[string]bool{}
	for _, f := range (&drill{}).faults() {
		names[f.name] = true
	}
	for _, name := range p.Faults {
		if !names[name] {
			return fault.New("plan", KindPlan, "no fault is named "+name)
		}
	}
	return nil
}

// Times of a run.
const (
	callers = 8
	// leaveWait is how long after its word a leaving backend server may still get work.
	leaveWait = 2500 * time.Millisecond
	// settleWait is how long after the faults a late run may still show itself.
	settleWait = 3 * time.Second
	readyWait  = 20 * time.Second
	// pauseMost bounds the pause between faults, in milliseconds: some overlap what the last one left.
	pauseMost = 700
)

// Report is what was seen.
type Report struct {
	seed     uint64
	requests int
	statuses map[int]int
	faults   []string
	wrong    []string
}

// Err returns an error that names what must not have been seen.
func (r *Report) Err() error {
	if len(r.wrong) == 0 {
		return nil
	}
	return fault.New(fmt.Sprintf("seed %d", r.seed), KindCheck, strings.Join(r.wrong, "; "))
}

// String tells the counts and the faults in order.
func (r *Report) String() string {
	return fmt.Sprintf("seed %d: %d requests, statuses %v (0: no answer), %d wrong, faults: %s",
		r.seed, r.requests, r.statuses, len(r.wrong), strings.Join(r.faults, ", "))
}

// drill is one run.
type drill struct {
	plan  Plan
	fleet *fleet
	rng   *rand.Rand

	mu       sync.Mutex
	report   *Report
	attempts []attempt
}

// attempt is what a caller knows of one request.
type attempt struct {
	id         string
	idempotent bool
	body       string
	status     int
	answer     string
	signed     bool
	// cut tells that a host that was stopping by plan, or not at all, closed without an answer.
	cut bool
}

// Run runs a plan. An error means that it could not be run; what was seen is in the report.
func Run(ctx context.Context, p Plan) (*Report, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, fault.Wrap("run", KindStart, err)
	}
	d := &drill{plan: p, rng: rand.New(rand.NewPCG(p.Seed, p.Seed)), report: &Report{seed: p.Seed, statuses: map[int]int{}}}
	d.fleet, err = startFleet(ctx, p, dir)
	if err != nil {
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	work, stop := context.WithTimeout(ctx, p.Length)
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() { d.call(work, i) })
	}
	d.trouble(work)
	stop()
	group.Wait()
	sleep(ctx, settleWait)
	d.check()
	return d.report, errors.Join(d.fleet.stop(), os.RemoveAll(dir))
}

// trouble brings about one fault after the other.
func (d *drill) trouble(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		f := d.next(n)
		pause := time.Duration(d.rng.IntN(pauseMost)) * time.Millisecond
		d.mu.Lock()
		d.report.faults = append(d.report.faults, f.name)
		d.mu.Unlock()
		f.run(ctx)
		sleep(ctx, pause)
	}
}

// next returns the n-th fault.
func (d *drill) next(n int) trouble {
	faults := d.faults()
	if len(d.plan.Faults) == 0 {
		return faults[d.rng.IntN(len(faults))]
	}
	i := slices.IndexFunc(faults, func(f trouble) bool { return f.name == d.plan.Faults[n%len(d.plan.Faults)] })
	return faults[i]
}

func (d *drill) wrong(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.report.wrong = append(d.report.wrong, fmt.Sprintf(format, args...))
}

// check compares what callers were told with what the backend servers ran.
func (d *drill) check() {
	for _, a := range d.attempts {
		runs := d.fleet.runs(a.id)
		switch {
		case !a.idempotent && runs > 1:
			d.wrong("%s ran %d times", a.id, runs)
		case !a.idempotent && a.status == notRun && runs > 0:
			d.wrong("%s was answered as not run and ran", a.id)
		case a.status == ok && (a.answer != "hello "+a.body || !a.signed):
			d.wrong("%s got another answer: %q", a.id, a.answer)
		case a.cut:
			d.wrong("%s was cut by a host that runs or stops by plan", a.id)
		}
	}
	if d.report.statuses[ok] == 0 {
		d.wrong("nothing was served")
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
