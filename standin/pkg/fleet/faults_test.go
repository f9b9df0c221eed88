package fleet_test

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/lib/pkg/object"
	"rosemarygrade.dev/lib/pkg/wire"
	"rosemarygrade.dev/standin/pkg/bksrv"
	"rosemarygrade.dev/standin/pkg/load"
	"rosemarygrade.dev/standin/pkg/objapi"
)

const (
	// settleTime is how long traffic runs between the steps of a test, such as before and after a fault.
	settleTime = 1500 * time.Millisecond
	workers    = 6
	// overlapFactor bounds a server's concurrent requests, as a multiple of its slots, while requests of a killed or suspended
	// owner may still run and a new owner already sends its own.
	overlapFactor = 2
)

// setServerFaults sets the faults of all backend servers in a data centre.
func (f *fleet) setServerFaults(centre string, x bksrv.Faults) {
	for a, s := range f.servers {
		if f.dataCentreOf[a] == centre {
			s.SetFaults(x)
		}
	}
}

// faultCase is a fault, how to inject and revert it, and the largest number of concurrent requests that a server may get.
type faultCase struct {
	name        string
	inject      func(f *fleet)
	revert      func(f *fleet)
	maxInFlight int
}

// faultCases returns all faults: first those of processes, then those of the platform and of backend servers.
func faultCases() []faultCase {
	return []faultCase{
		{"entryd killed", func(f *fleet) { f.entryds[0].kill() }, func(f *fleet) { f.entryds[0].start() }, slots * overlapFactor},
		{"entryd suspended", func(f *fleet) { f.entryds[0].signal(syscall.SIGSTOP) }, func(f *fleet) { f.entryds[0].signal(syscall.SIGCONT) }, slots * overlapFactor},
		{"steerd killed", func(f *fleet) { f.steerds[0].kill() }, func(f *fleet) { f.steerds[0].start() }, slots},
		{"steerd suspended", func(f *fleet) { f.steerds[0].signal(syscall.SIGSTOP) }, func(f *fleet) { f.steerds[0].signal(syscall.SIGCONT) }, slots},
		{"host lost", func(f *fleet) { f.entryds[0].kill(); f.steerds[0].kill() }, func(f *fleet) { f.steerds[0].start(); f.entryds[0].start() }, slots * overlapFactor},
		{"region lost", func(f *fleet) {
			for _, i := range []int{0, 1} {
				f.entryds[i].kill()
				f.steerds[i].kill()
			}
		}, func(*fleet) {}, slots * overlapFactor},
		{"platform down", func(f *fleet) { f.platform.SetFaults(objapi.Faults{Outage: true}) }, func(f *fleet) { f.platform.SetFaults(objapi.Faults{}) }, slots},
		{"servers stall", func(f *fleet) { f.setServerFaults("ala-1", bksrv.Faults{Stall: true}) }, func(f *fleet) { f.setServerFaults("ala-1", bksrv.Faults{}) }, slots},
		{"servers reset", func(f *fleet) { f.setServerFaults("ala-1", bksrv.Faults{Reset: true}) }, func(f *fleet) { f.setServerFaults("ala-1", bksrv.Faults{}) }, slots},
		{"servers truncate responses", func(f *fleet) { f.setServerFaults("ala-1", bksrv.Faults{Truncate: true}) }, func(f *fleet) { f.setServerFaults("ala-1", bksrv.Faults{}) }, slots},
		{"servers send overlong responses", func(f *fleet) { f.setServerFaults("ala-1", bksrv.Faults{Overlong: true}) }, func(f *fleet) { f.setServerFaults("ala-1", bksrv.Faults{}) }, slots},
		{"servers respond with another request's id", func(f *fleet) { f.setServerFaults("ala-1", bksrv.Faults{WrongRequestID: true}) }, func(f *fleet) { f.setServerFaults("ala-1", bksrv.Faults{}) }, slots},
		{"servers send malformed responses", func(f *fleet) { f.setServerFaults("ala-1", bksrv.Faults{Malformed: true}) }, func(f *fleet) { f.setServerFaults("ala-1", bksrv.Faults{}) }, slots},
		{"servers shed", func(f *fleet) { f.setServerFaults("ala-1", bksrv.Faults{Shed: true}) }, func(f *fleet) { f.setServerFaults("ala-1", bksrv.Faults{}) }, slots},
	}
}

// runFaults runs traffic, injects the faults one after the other so that they overlap, reverts them, and checks the outcome of
// every request.
func runFaults(t *testing.T, rows ...faultCase) []outcome {
	t.Helper()
	f := newFleet(t)
	tr := f.startTraffic(workers)
	most := 0
	for _, r := range rows {
		time.Sleep(settleTime)
		r.inject(f)
		most = max(most, r.maxInFlight)
	}
	time.Sleep(2 * settleTime)
	for _, r := range rows {
		r.revert(f)
	}
	time.Sleep(settleTime)
	outcomes := tr.finish()
	assertOutcomes(t, f, outcomes)
	assertMaxInFlight(t, f, most)
	return outcomes
}

// TestUnplannedFaults injects each fault alone under traffic. It guards against responses to other requests, requests that ran
// twice or ran although reported as not run, overloaded servers, and faults that fail most requests or any look-up.
func TestUnplannedFaults(t *testing.T) {
	for _, r := range faultCases() {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			outcomes := runFaults(t, r)
			assert.Assert(t, count(outcomes, noError) > len(outcomes)/2, "most requests must succeed")
			assert.Equal(t, count(outcomes, load.KindLookup), 0, "every look-up must be answered by some host")
		})
	}
}

// TestPairsOfFaults injects two faults that overlap. The seed selects the pairs; FLEET_SEED sets another seed. The first fault is
// one of the platform or of backend servers and the second one of processes, as reverting one of two faults of the same kind
// could revert the other.
func TestPairsOfFaults(t *testing.T) {
	const pairs, processFaults = 5, 6
	seed, err := strconv.ParseUint(cmp.Or(os.Getenv("FLEET_SEED"), "20261204"), 10, 64)
	assert.NilError(t, err)
	rnd := rand.New(rand.NewPCG(seed, 0))
	rows := faultCases()
	for range pairs {
		first, second := rows[processFaults+rnd.IntN(len(rows)-processFaults)], rows[rnd.IntN(processFaults)]
		t.Run(first.name+" and "+second.name, func(t *testing.T) {
			t.Parallel()
			t.Logf("seed %d", seed)
			runFaults(t, first, second)
		})
	}
}

// TestPlannedStop checks that an entryd that gets SIGTERM under traffic exits with code 0, and that no request fails or is aborted.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	tr := f.startTraffic(workers)
	time.Sleep(settleTime)
	f.entryds[0].signal(syscall.SIGTERM)
	<-f.entryds[0].done
	time.Sleep(settleTime)
	outcomes := tr.finish()
	assertOutcomes(t, f, outcomes)
	assertNoErrors(t, outcomes)
	assertNoneAborted(t, f, outcomes)
	assertMaxInFlight(t, f, slots)
	assert.Equal(t, f.entryds[0].cmd.ProcessState.ExitCode(), 0)
}

// TestKeysOutliveAStop guards against a request that runs a second time when it is repeated, with the same key at another host,
// before and after the stop of the entryd that issued the key.
func TestKeysOutliveAStop(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	c := f.caller(0)
	post := load.Request{Method: http.MethodPost, Path: "/corrections", Body: []byte("notice"), Keyed: true}
	first, err := c.Do(t.Context(), post)
	assert.NilError(t, err)
	owner := f.keyOwner(first.Key)
	again := post
	again.Key = first.Key
	other := f.address((owner+1)%len(dataCentres), 7200)
	t.Run("a repeat at another host gets the first response", func(t *testing.T) {
		got, err := c.Send(t.Context(), other, again)
		assert.NilError(t, err)
		assert.Equal(t, string(got.Body), string(first.Body))
		assert.Equal(t, f.runsByToken()[first.Token], 1)
	})
	f.entryds[owner].signal(syscall.SIGTERM)
	<-f.entryds[owner].done
	f.eventually("the stopped process is no longer a member", func() bool {
		st, _ := f.readState((owner + 1) % len(dataCentres))
		return len(st.Members) == 2*len(dataCentres)-1
	})
	t.Run("a repeat after the stop does not run", func(t *testing.T) {
		_, err := c.Send(t.Context(), other, again)
		assert.Equal(t, f.runsByToken()[first.Token], 1, "%v", err)
	})
	t.Run("a request with an unused key is reported as not run and did not run", func(t *testing.T) {
		unused := post
		unused.Key = first.Key + "-unused"
		result, err := c.Send(t.Context(), other, unused)
		assert.ErrorContains(t, err, "notRun")
		assert.Equal(t, f.runsByToken()[result.Token], 0)
	})
}

// keyOwner returns the index of the host whose entryd issued the key. The key begins with the entryd's incarnation.
func (f *fleet) keyOwner(key string) int {
	f.t.Helper()
	for i := range dataCentres {
		if st, ok := f.readState(i); ok && strings.HasPrefix(key, strconv.FormatUint(st.Incarnation, 16)+"-") {
			return i
		}
	}
	f.t.Fatal("no host has the incarnation in the key")
	return 0
}

// TestRecall checks that recalled servers get no new requests once the recall is done, and that their requests in flight are
// not aborted.
func TestRecall(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	tr := f.startTraffic(workers)
	time.Sleep(settleTime)
	f.apply(newObject("recall", "bad-batch", wire.RecallSpec{Batch: "batch-0"}))
	f.waitDone("recall", "bad-batch")
	before := f.batchRuns()
	time.Sleep(settleTime)
	assert.Equal(t, f.batchRuns(), before, "recalled servers got new requests")
	outcomes := tr.finish()
	assertOutcomes(t, f, outcomes)
	assertNoErrors(t, outcomes)
	assertNoneAborted(t, f, outcomes)
	assertMaxInFlight(t, f, slots)
}

// batchRuns counts the runs at the servers of the first batch.
func (f *fleet) batchRuns() int {
	n := 0
	for s := range services() {
		for c := range dataCentres {
			n += f.servers[f.serverAddress(s, c, 0)].Recorded().Total
		}
	}
	return n
}

// waitDone waits until the status of an object reports that its current version is done.
func (f *fleet) waitDone(kind, name string) {
	f.t.Helper()
	f.eventually(kind+" is done", func() bool {
		o, err := f.client.Get(f.t.Context(), kind, name)
		return err == nil && o.Status != nil && o.Status.Done && o.Status.ObservedVersion == o.Version
	})
}

// TestDrainOfARegion checks that the drain of a region under traffic aborts no request and overloads no server.
func TestDrainOfARegion(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	tr := f.startTraffic(workers)
	time.Sleep(settleTime)
	f.apply(newObject("drain", "almaty", wire.DrainSpec{Scope: "region", Name: "almaty"}))
	f.waitDone("drain", "almaty")
	time.Sleep(settleTime)
	outcomes := tr.finish()
	assertOutcomes(t, f, outcomes)
	assertNoneAborted(t, f, outcomes)
	assertMaxInFlight(t, f, slots)
	assert.Equal(t, count(outcomes, load.KindBroken), 0)
}

// TestHostList checks that the platform's host list, which is late and in this test the only notice of a leaving host, stops new
// requests to that host's servers.
func TestHostList(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.platform.SetHosts([]wire.HostEntry{{Host: f.ip(10), Leaving: true}, {Host: f.ip(11)}})
	f.eventually("the leaving host's servers get no requests", func() bool {
		return f.ranNothing("ala-1", func() { f.sendProbes(t) })
	})
}

// sendProbes sends requests from the first region, each by a new caller.
func (f *fleet) sendProbes(t *testing.T) {
	t.Helper()
	for range 20 {
		_, err := f.caller(0).Do(t.Context(), load.Request{Method: http.MethodGet, Path: "/search"})
		assert.NilError(t, err)
	}
}

// ranNothing reports whether the servers of a data centre ran no request while work ran.
func (f *fleet) ranNothing(centre string, work func()) bool {
	total := func() int {
		n := 0
		for a, s := range f.servers {
			if f.dataCentreOf[a] == centre {
				n += s.Recorded().Total
			}
		}
		return n
	}
	before := total()
	work()
	return total() == before
}

// TestConfigurationNeverReverts checks that an accepted drain stays active while the platform is down, slow or served by a
// stale replica, including on a host that restarts during the fault, which could start from the older configuration.
func TestConfigurationNeverReverts(t *testing.T) {
	rows := []struct {
		name   string
		faults func(revision uint64) objapi.Faults
	}{
		{"platform down", func(uint64) objapi.Faults { return objapi.Faults{Outage: true} }},
		{"stale replica", func(r uint64) objapi.Faults { return objapi.Faults{StaleRevision: r} }},
		{"slow platform", func(uint64) objapi.Faults { return objapi.Faults{SlowMillis: 6000} }},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			l, err := f.client.List(t.Context())
			assert.NilError(t, err)
			f.apply(newObject("drain", "ala-1", wire.DrainSpec{Scope: "dataCentre", Name: "ala-1"}))
			f.waitDone("drain", "ala-1")
			f.platform.SetFaults(r.faults(l.Revision))
			f.steerds[1].kill()
			f.entryds[1].kill()
			f.steerds[1].start()
			f.entryds[1].start()
			f.waitReady(len(dataCentres))
			assert.Assert(t, f.ranNothing("ala-1", func() { f.sendProbes(t) }), "the drain was reverted")
		})
	}
}

// TestWritesToThePlatform checks that a client detects that its write took effect when the response is lost, and that only one
// of two writes to the same version succeeds.
func TestWritesToThePlatform(t *testing.T) {
	api := objapi.New()
	f := &fleet{t: t, network: int(100 + lastNetwork.Add(1))}
	f.serve(f.platformAddress(), api.Handler())
	c := object.NewHTTP(f.platformAddress())
	o := newObject("recall", "x", wire.RecallSpec{Batch: "b"})
	t.Run("a write whose response is lost is read back", func(t *testing.T) {
		api.SetFaults(objapi.Faults{LoseResponses: true})
		got, err := c.Put(t.Context(), o, 0)
		assert.NilError(t, err)
		assert.Equal(t, got.Version, uint64(1))
		api.SetFaults(objapi.Faults{})
	})
	t.Run("a write to an outdated version changes nothing", func(t *testing.T) {
		_, err := c.Put(t.Context(), o, 0)
		assert.Assert(t, object.Is(err, object.KindConflict), "%v", err)
		got, err := c.Get(t.Context(), "recall", "x")
		assert.NilError(t, err)
		assert.Equal(t, got.Version, uint64(1))
	})
	t.Run("a deleted object can be created again", func(t *testing.T) {
		_, err := c.Delete(t.Context(), "recall", "x", 1)
		assert.NilError(t, err)
		got, err := c.Put(t.Context(), o, 0)
		assert.NilError(t, err)
		assert.Equal(t, got.Version, uint64(3))
	})
}
