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

	objectapi "rosemarygrade.dev/lib/pkg/object"
	"rosemarygrade.dev/lib/pkg/wire"
	"rosemarygrade.dev/standin/pkg/bksrv"
	"rosemarygrade.dev/standin/pkg/load"
	"rosemarygrade.dev/standin/pkg/objapi"
)

const (
	// settle is how long traffic runs before and after a fault.
	settle  = 1500 * time.Millisecond
	workers = 6
	// overlap is the worst use of a server's slots while a silent owner's work may still run.
	overlap = 2
)

func (f *fleet) serverFaults(centre string, x bksrv.Faults) {
	for a, s := range f.servers {
		if f.centreOf[a] == centre {
			s.SetFaults(x)
		}
	}
}

// faultRow is a fault, how it is mended, and how much of its slots a server may see used.
type faultRow struct {
	name  string
	harm  func(f *fleet)
	mend  func(f *fleet)
	slots int
}

func faults() []faultRow {
	return []faultRow{
		{"entryd killed", func(f *fleet) { f.entryds[0].kill() }, func(f *fleet) { f.entryds[0].start() }, slots * overlap},
		{"entryd suspended", func(f *fleet) { f.entryds[0].signal(syscall.SIGSTOP) }, func(f *fleet) { f.entryds[0].signal(syscall.SIGCONT) }, slots * overlap},
		{"steerd killed", func(f *fleet) { f.steerds[0].kill() }, func(f *fleet) { f.steerds[0].start() }, slots},
		{"steerd suspended", func(f *fleet) { f.steerds[0].signal(syscall.SIGSTOP) }, func(f *fleet) { f.steerds[0].signal(syscall.SIGCONT) }, slots},
		{"host lost", func(f *fleet) { f.entryds[0].kill(); f.steerds[0].kill() }, func(f *fleet) { f.steerds[0].start(); f.entryds[0].start() }, slots * overlap},
		{"region lost", func(f *fleet) {
			for _, i := range []int{0, 1} {
				f.entryds[i].kill()
				f.steerds[i].kill()
			}
		}, func(*fleet) {}, slots * overlap},
		{"platform down", func(f *fleet) { f.platform.SetFaults(objapi.Faults{Outage: true}) }, func(f *fleet) { f.platform.SetFaults(objapi.Faults{}) }, slots},
		{"servers stall", func(f *fleet) { f.serverFaults("ala-1", bksrv.Faults{Stall: true}) }, func(f *fleet) { f.serverFaults("ala-1", bksrv.Faults{}) }, slots},
		{"servers reset", func(f *fleet) { f.serverFaults("ala-1", bksrv.Faults{Reset: true}) }, func(f *fleet) { f.serverFaults("ala-1", bksrv.Faults{}) }, slots},
		{"servers answer short", func(f *fleet) { f.serverFaults("ala-1", bksrv.Faults{Short: true}) }, func(f *fleet) { f.serverFaults("ala-1", bksrv.Faults{}) }, slots},
		{"servers answer long", func(f *fleet) { f.serverFaults("ala-1", bksrv.Faults{Long: true}) }, func(f *fleet) { f.serverFaults("ala-1", bksrv.Faults{}) }, slots},
		{"servers answer another's", func(f *fleet) { f.serverFaults("ala-1", bksrv.Faults{Foreign: true}) }, func(f *fleet) { f.serverFaults("ala-1", bksrv.Faults{}) }, slots},
		{"servers answer garbage", func(f *fleet) { f.serverFaults("ala-1", bksrv.Faults{Garbage: true}) }, func(f *fleet) { f.serverFaults("ala-1", bksrv.Faults{}) }, slots},
		{"servers shed", func(f *fleet) { f.serverFaults("ala-1", bksrv.Faults{Shed: true}) }, func(f *fleet) { f.serverFaults("ala-1", bksrv.Faults{}) }, slots},
	}
}

// bringAbout runs traffic, brings about the faults one after the other while the earlier ones last,
// mends them in turn, and checks what must hold of every answer.
func bringAbout(t *testing.T, rows ...faultRow) []seen {
	t.Helper()
	f := newFleet(t)
	tr := f.send(workers)
	most := 0
	for _, r := range rows {
		time.Sleep(settle)
		r.harm(f)
		most = max(most, r.slots)
	}
	time.Sleep(2 * settle)
	for _, r := range rows {
		r.mend(f)
	}
	time.Sleep(settle)
	all := tr.end()
	assertTrue(t, f, all)
	assertSlots(t, f, most)
	return all
}

// TestUnplannedFaults checks under each fault what must hold of every answer.
func TestUnplannedFaults(t *testing.T) {
	for _, r := range faults() {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			all := bringAbout(t, r)
			assert.Assert(t, count(all, whole) > len(all)/2, "most requests are answered")
			assert.Equal(t, count(all, load.KindLookup), 0, "some host answers every look-up")
		})
	}
}

// TestPairsOfFaults checks pairs that a fixed seed chooses; FLEET_SEED chooses others. The first
// fault is of the platform or of servers, the second of processes: two of a kind would undo each other.
func TestPairsOfFaults(t *testing.T) {
	const pairs, processFaults = 5, 6
	seed, err := strconv.ParseUint(cmp.Or(os.Getenv("FLEET_SEED"), "20261204"), 10, 64)
	assert.NilError(t, err)
	rnd := rand.New(rand.NewPCG(seed, 0))
	rows := faults()
	for range pairs {
		first, second := rows[processFaults+rnd.IntN(len(rows)-processFaults)], rows[rnd.IntN(processFaults)]
		t.Run(first.name+" and "+second.name, func(t *testing.T) {
			t.Parallel()
			t.Logf("seed %d", seed)
			bringAbout(t, first, second)
		})
	}
}

// TestPlannedStop checks that a stop by signal cuts and refuses nothing.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	tr := f.send(workers)
	time.Sleep(settle)
	f.entryds[0].signal(syscall.SIGTERM)
	<-f.entryds[0].done
	time.Sleep(settle)
	all := tr.end()
	assertTrue(t, f, all)
	assertAllWhole(t, all)
	assertNoneCut(t, f, all)
	assertSlots(t, f, slots)
	assert.Equal(t, f.entryds[0].cmd.ProcessState.ExitCode(), 0)
}

// TestKeysOutliveAStop checks that the keys of a process that stopped keep their meaning.
func TestKeysOutliveAStop(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	c := f.caller(0)
	post := load.Request{Method: http.MethodPost, Path: "/corrections", Body: []byte("notice"), Keyed: true}
	first, err := c.Do(t.Context(), post)
	assert.NilError(t, err)
	home := f.homeOf(first.Key)
	again := post
	again.Key = first.Key
	other := f.at((home+1)%len(places), 7200)
	t.Run("a repeat at another host gets the first answer", func(t *testing.T) {
		got, err := c.Send(t.Context(), other, again)
		assert.NilError(t, err)
		assert.Equal(t, string(got.Body), string(first.Body))
		assert.Equal(t, f.runs()[first.Token], 1)
	})
	f.entryds[home].signal(syscall.SIGTERM)
	<-f.entryds[home].done
	f.eventually("the stopped process is gone from the view", func() bool {
		st, _ := f.state((home + 1) % len(places))
		return len(st.Members) == 2*len(places)-1
	})
	t.Run("a repeat after the stop does not run", func(t *testing.T) {
		_, err := c.Send(t.Context(), other, again)
		assert.Equal(t, f.runs()[first.Token], 1, "%v", err)
	})
	t.Run("an unused key is truly not run", func(t *testing.T) {
		unused := post
		unused.Key = first.Key + "-unused"
		ans, err := c.Send(t.Context(), other, unused)
		assert.ErrorContains(t, err, "notRun")
		assert.Equal(t, f.runs()[ans.Token], 0)
	})
}

// homeOf returns the host that the key names.
func (f *fleet) homeOf(key string) int {
	f.t.Helper()
	for i := range places {
		if st, ok := f.state(i); ok && strings.HasPrefix(key, strconv.FormatUint(st.Incarnation, 16)+"-") {
			return i
		}
	}
	f.t.Fatal("no host holds the key")
	return 0
}

// TestRecall checks that recalled servers get no new work and keep what they have.
func TestRecall(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	tr := f.send(workers)
	time.Sleep(settle)
	f.apply(object("recall", "bad-batch", wire.RecallSpec{Batch: "batch-0"}))
	f.waitDone("recall", "bad-batch")
	before := f.batchRuns()
	time.Sleep(settle)
	assert.Equal(t, f.batchRuns(), before, "recalled servers got new work")
	all := tr.end()
	assertTrue(t, f, all)
	assertAllWhole(t, all)
	assertNoneCut(t, f, all)
	assertSlots(t, f, slots)
}

// batchRuns counts the runs at the servers of the first batch.
func (f *fleet) batchRuns() int {
	n := 0
	for s := range services() {
		for c := range places {
			n += f.servers[f.serverAddress(s, c, 0)].Witness().Total
		}
	}
	return n
}

func (f *fleet) waitDone(kind, name string) {
	f.t.Helper()
	f.eventually(kind+" is done", func() bool {
		o, err := f.client.Get(f.t.Context(), kind, name)
		return err == nil && o.Status != nil && o.Status.Done && o.Status.ObservedVersion == o.Version
	})
}

// TestDrainOfARegion checks that a region's work goes elsewhere without a cut and without overload,
// and that a shift's cap holds meanwhile.
func TestDrainOfARegion(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	tr := f.send(workers)
	time.Sleep(settle)
	f.apply(object("drain", "almaty", wire.DrainSpec{Scope: "region", Name: "almaty"}))
	f.waitDone("drain", "almaty")
	time.Sleep(settle)
	all := tr.end()
	assertTrue(t, f, all)
	assertNoneCut(t, f, all)
	assertSlots(t, f, slots)
	assert.Equal(t, count(all, load.KindBroken), 0)
}

// TestHostList checks that the platform's late list alone keeps new work from a leaving server.
func TestHostList(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.platform.SetHosts([]wire.HostEntry{{Host: f.ip(10), Leaving: true}, {Host: f.ip(11)}})
	f.eventually("the leaving host's servers are out of use", func() bool {
		return f.idle("ala-1", func() { f.probe(t) })
	})
}

// probe sends a few requests of the first region.
func (f *fleet) probe(t *testing.T) {
	t.Helper()
	for range 20 {
		_, err := f.caller(0).Do(t.Context(), load.Request{Method: http.MethodGet, Path: "/search"})
		assert.NilError(t, err)
	}
}

// idle tells whether the servers of a data centre ran nothing during the work.
func (f *fleet) idle(centre string, work func()) bool {
	total := func() int {
		n := 0
		for a, s := range f.servers {
			if f.centreOf[a] == centre {
				n += s.Witness().Total
			}
		}
		return n
	}
	before := total()
	work()
	return total() == before
}

// TestConfigurationNeverReverts checks that an accepted recall stays in force with the platform
// down, with a stale replica, and on hosts that come up meanwhile.
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
			f.apply(object("drain", "ala-1", wire.DrainSpec{Scope: "dataCentre", Name: "ala-1"}))
			f.waitDone("drain", "ala-1")
			f.platform.SetFaults(r.faults(l.Revision))
			f.steerds[1].kill()
			f.entryds[1].kill()
			f.steerds[1].start()
			f.entryds[1].start()
			f.waitReady(len(places))
			assert.Assert(t, f.idle("ala-1", func() { f.probe(t) }), "the drain was undone")
		})
	}
}

// TestWritesToThePlatform checks writes whose answers are lost, and races.
func TestWritesToThePlatform(t *testing.T) {
	api := objapi.New()
	f := &fleet{t: t, net: int(100 + lastNet.Add(1))}
	f.listen(f.platformAddress(), api.Handler())
	c := objectapi.NewHTTP(f.platformAddress())
	o := object("recall", "x", wire.RecallSpec{Batch: "b"})
	t.Run("a lost answer is read back", func(t *testing.T) {
		api.SetFaults(objapi.Faults{LoseAnswers: true})
		got, err := c.Put(t.Context(), o, 0)
		assert.NilError(t, err)
		assert.Equal(t, got.Version, uint64(1))
		api.SetFaults(objapi.Faults{})
	})
	t.Run("the loser of a race changes nothing", func(t *testing.T) {
		_, err := c.Put(t.Context(), o, 0)
		assert.Assert(t, objectapi.Is(err, objectapi.KindConflict), "%v", err)
		got, err := c.Get(t.Context(), "recall", "x")
		assert.NilError(t, err)
		assert.Equal(t, got.Version, uint64(1))
	})
	t.Run("a deleted object can be made anew", func(t *testing.T) {
		_, err := c.Delete(t.Context(), "recall", "x", 1)
		assert.NilError(t, err)
		got, err := c.Put(t.Context(), o, 0)
		assert.NilError(t, err)
		assert.Equal(t, got.Version, uint64(3))
	})
}
