package runner

import (
	"context"
	"syscall"
	"time"

	"rosemarygrade.dev/platform/fake"
	"rosemarygrade.dev/soak/pkg/relay"
)

// injectedFault is a fault, named as in reports and flags. inject injects the fault and removes it before it returns.
type injectedFault struct {
	name   string
	inject func(ctx context.Context)
}

const (
	shortFaultDuration = time.Second
	longFaultDuration  = 2 * time.Second
	faultTableSize     = 34
	// recoverTimeout is how long after the restart of all hosts the first request must be served; the specified limit is 15 s.
	recoverTimeout = 5 * time.Second
	// joinTimeout is how long after its start a new host must be ready, maxNewHosts how many are started in a run.
	joinTimeout = 3 * time.Second
	maxNewHosts = 4
)

// faultTable returns all faults. A seed selects them by index, so their order decides which ones a run injects.
func (run *testRun) faultTable() []injectedFault {
	f := run.fleet
	responseFaults := []fake.Fault{
		fake.FaultNoResponse, fake.FaultTruncated, fake.FaultMalformed, fake.FaultExtra, fake.FaultShed, fake.FaultError,
		fake.FaultLate, fake.FaultReset, fake.FaultEndlessHead, fake.FaultEndlessInterim, fake.FaultEndlessChunk, fake.FaultDrip,
		fake.FaultStatus, fake.FaultFieldName,
	}
	list := make([]injectedFault, 0, faultTableSize)
	list = append(list, []injectedFault{
		{"kill", func(ctx context.Context) { f.restart(ctx, run.randomHost(), syscall.SIGKILL) }},
		{"planned stop", func(ctx context.Context) { f.restart(ctx, run.randomHost(), syscall.SIGTERM) }},
		{"suspend", func(ctx context.Context) {
			f.suspend(ctx, run.randomHost(), shortFaultDuration+time.Duration(run.rng.IntN(1000))*time.Millisecond)
		}},
		{"all killed", run.killAllHosts},
		{"settings signal", func(context.Context) { f.signal(run.randomHost(), syscall.SIGHUP) }},
		{"store away", func(ctx context.Context) {
			f.store.SetUnavailable(true)
			sleep(ctx, longFaultDuration)
			f.store.SetUnavailable(false)
		}},
		{"store deaf", func(ctx context.Context) {
			f.store.SetWatchesStalled(true)
			f.writeConfig()
			sleep(ctx, longFaultDuration)
			f.store.SetWatchesStalled(false)
		}},
		{"configuration", func(context.Context) { f.writeConfig() }},
		{"leaving backend server", run.drainBackendServer},
		{"drained data centre", func(ctx context.Context) {
			f.store.Set(fake.KindDrains, dataCentres[0], "{}")
			sleep(ctx, longFaultDuration)
			f.store.Remove(fake.KindDrains, dataCentres[0])
		}},
	}...)
	for _, x := range []relay.Fault{relay.FaultDelay, relay.FaultHoldResponses, relay.FaultBlackhole} {
		list = append(list, injectedFault{"link to a backend server: " + string(x), func(ctx context.Context) { run.injectLinkFault(ctx, run.randomLink(), x) }},
			injectedFault{"link to the store: " + string(x), func(ctx context.Context) { run.injectLinkFault(ctx, f.storeLink, x) }})
	}
	list = append(list, injectedFault{"link to a backend server: reset", func(context.Context) { run.randomLink().Reset() }},
		injectedFault{"link to the store: reset", func(context.Context) { f.storeLink.Reset() }})
	for _, x := range responseFaults {
		list = append(list, injectedFault{"backend servers: " + string(x), func(ctx context.Context) {
			s := f.servers[run.rng.IntN(len(f.servers))]
			s.SetFault(x)
			sleep(ctx, shortFaultDuration)
			s.SetFault(fake.FaultNone)
		}})
	}
	return append(list, injectedFault{"new host", run.addHost}, injectedFault{"header limits", run.changeHeaderLimits})
}

// randomHost returns a host to inject a fault into. It never returns the first host, so that one host always serves.
func (run *testRun) randomHost() *host {
	hosts := run.fleet.allHosts()
	return hosts[1+run.rng.IntN(len(hosts)-1)]
}

// randomLink returns the link to one of the backend servers.
func (run *testRun) randomLink() *relay.Relay {
	return run.fleet.links[run.rng.IntN(len(run.fleet.links))]
}

func (run *testRun) injectLinkFault(ctx context.Context, r *relay.Relay, x relay.Fault) {
	r.SetFault(x)
	sleep(ctx, longFaultDuration)
	r.SetFault(relay.FaultNone)
}

// addHost starts a host under load and checks that it is ready within joinTimeout. Callers use it at once; until it listens,
// their connections are refused.
func (run *testRun) addHost(ctx context.Context) {
	if run.newHosts >= maxNewHosts {
		return
	}
	run.newHosts++
	h, err := run.fleet.addHost()
	if err != nil {
		run.addViolation("a new host could not be started: %v", err)
		return
	}
	if err := run.fleet.waitReady(ctx, joinTimeout, h); err != nil && ctx.Err() == nil {
		run.addViolation("the new host %s was not ready after %s", h.name, joinTimeout)
	}
}

// killAllHosts kills and restarts all hosts in parallel and checks that a request is served within recoverTimeout.
func (run *testRun) killAllHosts(ctx context.Context) {
	run.fleet.restartAll(ctx)
	before := run.servedCount()
	for end := time.Now().Add(recoverTimeout); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, requestPause) {
		if run.servedCount() > before {
			return
		}
	}
	if ctx.Err() == nil {
		run.addViolation("nothing was served %s after all hosts were back", recoverTimeout)
	}
}

func (run *testRun) servedCount() int {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.report.statuses[statusOK]
}

// drainBackendServer sets a backend server to draining and checks that it receives no request after drainGrace.
func (run *testRun) drainBackendServer(ctx context.Context) {
	i := run.rng.IntN(len(run.fleet.servers))
	run.fleet.setServerState(i, "draining")
	sleep(ctx, drainGrace)
	before := run.fleet.servers[i].TotalRuns()
	sleep(ctx, shortFaultDuration)
	if after := run.fleet.servers[i].TotalRuns(); ctx.Err() == nil && after != before {
		run.addViolation("backend server %d got %d requests after its time", i, after-before)
	}
	run.fleet.setServerState(i, "ready")
}
