package runner

import (
	"context"
	"syscall"
	"time"

	"rosemarygrade.dev/platform/fake"
	"rosemarygrade.dev/soak/pkg/relay"
)

type trouble struct {
	name string
	run  func(ctx context.Context)
}

// Times of faults.
const (
	shortFault = time.Second
	longFault  = 2 * time.Second
	faultsMost = 24
	// recoverWait is how long after their start all hosts may take until one serves: the users' limit is 15 s.
	recoverWait = 5 * time.Second
)

// faults is the table of all faults.
func (d *drill) faults() []trouble {
	f := d.fleet
	answers := []fake.Fault{
		fake.FaultNoResponse, fake.FaultTruncated, fake.FaultMalformed, fake.FaultExtra, fake.FaultShed, fake.FaultError,
	}
	list := make([]trouble, 0, faultsMost)
	list = append(list, []trouble{
		{"kill", func(ctx context.Context) { f.restart(ctx, d.host(), syscall.SIGKILL) }},
		{"planned stop", func(ctx context.Context) { f.restart(ctx, d.host(), syscall.SIGTERM) }},
		{"suspend", func(ctx context.Context) {
			f.suspend(ctx, d.host(), shortFault+time.Duration(d.rng.IntN(1000))*time.Millisecond)
		}},
		{"all killed", d.herd},
		{"settings signal", func(context.Context) { f.signal(d.host(), syscall.SIGHUP) }},
		{"store away", func(ctx context.Context) {
			f.store.SetUnavailable(true)
			sleep(ctx, longFault)
			f.store.SetUnavailable(false)
		}},
		{"store deaf", func(ctx context.Context) {
			f.store.SetWatchesStalled(true)
			f.configure()
			sleep(ctx, longFault)
			f.store.SetWatchesStalled(false)
		}},
		{"configuration", func(context.Context) { f.configure() }},
		{"leaving backend server", d.leave},
		{"drained data centre", func(ctx context.Context) {
			f.store.Set(fake.KindDrains, zones[0], "{}")
			sleep(ctx, longFault)
			f.store.Remove(fake.KindDrains, zones[0])
		}},
	}...)
	for _, h := range []relay.Harm{relay.HarmDelay, relay.HarmDeafBack, relay.HarmSilent} {
		list = append(list, trouble{"link to a backend server: " + string(h), func(ctx context.Context) { d.harm(ctx, d.link(), h) }},
			trouble{"link to the store: " + string(h), func(ctx context.Context) { d.harm(ctx, f.storeLink, h) }})
	}
	list = append(list, trouble{"link to a backend server: reset", func(context.Context) { d.link().Reset() }},
		trouble{"link to the store: reset", func(context.Context) { f.storeLink.Reset() }})
	for _, x := range answers {
		list = append(list, trouble{"backend servers: " + string(x), func(ctx context.Context) {
			t := f.targets[d.rng.IntN(len(f.targets))]
			t.SetFault(x)
			sleep(ctx, shortFault)
			t.SetFault(fake.FaultNone)
		}})
	}
	return list
}

// host chooses a host for a fault; the first is spared, so that some host always serves.
func (d *drill) host() *host { return d.fleet.hosts[1+d.rng.IntN(len(d.fleet.hosts)-1)] }

// link chooses the link to a backend server.
func (d *drill) link() *relay.Relay { return d.fleet.links[d.rng.IntN(len(d.fleet.links))] }

func (d *drill) harm(ctx context.Context, r *relay.Relay, h relay.Harm) {
	r.SetHarm(h)
	sleep(ctx, longFault)
	r.SetHarm(relay.HarmNone)
}

// herd kills all hosts at once and checks that callers are served again in time.
func (d *drill) herd(ctx context.Context) {
	d.fleet.herd(ctx)
	before := d.served()
	for end := time.Now().Add(recoverWait); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, callPause) {
		if d.served() > before {
			return
		}
	}
	if ctx.Err() == nil {
		d.wrong("nothing was served %s after all hosts were back", recoverWait)
	}
}

func (d *drill) served() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.report.statuses[ok]
}

// leave lets a backend server say that it leaves, and checks that it gets no work after its time.
func (d *drill) leave(ctx context.Context) {
	i := d.rng.IntN(len(d.fleet.targets))
	d.fleet.declare(i, "draining")
	sleep(ctx, leaveWait)
	before := d.fleet.targets[i].TotalRuns()
	sleep(ctx, shortFault)
	if after := d.fleet.targets[i].TotalRuns(); ctx.Err() == nil && after != before {
		d.wrong("backend server %d got %d requests after its time", i, after-before)
	}
	d.fleet.declare(i, "ready")
}
