// Package fleet_test starts small fleets of real processes on loopback and brings about faults.
package fleet_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
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

// Sizes of a test fleet: two regions with two data centres each, one host and two servers of each
// service in each data centre.
const (
	serversPerSite = 2
	slots          = 3
	serviceTime    = 10 * time.Millisecond
	patience       = 30 * time.Second
)

var binaries = filepath.Join("..", "..", "..", ".build", "bin")

// place is one data centre.
type place struct{ host, centre, region string }

var places = []place{
	{"h1", "ala-1", "almaty"}, {"h2", "ala-2", "almaty"}, {"h3", "nqz-1", "astana"}, {"h4", "nqz-2", "astana"},
}

// process is one daemon.
type process struct {
	t    testing.TB
	cmd  *exec.Cmd
	args []string
	log  *logBuffer
	done chan struct{}
}

// logBuffer is a log that is read while it is written.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (p *process) logged() string {
	p.log.mu.Lock()
	defer p.log.mu.Unlock()
	return p.log.buf.String()
}

func launch(t testing.TB, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, args: append([]string{program}, args...)}
	p.start()
	t.Cleanup(func() { p.signal(syscall.SIGKILL); <-p.done })
	return p
}

func (p *process) start() {
	p.t.Helper()
	p.cmd = exec.Command(filepath.Join(binaries, p.args[0]), p.args[1:]...)
	p.log = &logBuffer{}
	p.cmd.Stderr = p.log
	p.done = make(chan struct{})
	assert.NilError(p.t, p.cmd.Start(), "run make build first")
	go func(cmd *exec.Cmd, done chan struct{}) { _ = cmd.Wait(); close(done) }(p.cmd, p.done)
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// fleet is a running fleet and its stand-ins, which live in the test's own process.
type fleet struct {
	t        testing.TB
	net      int
	platform *objapi.API
	client   objectapi.Client
	servers  map[string]*bksrv.Server
	centreOf map[string]string
	steerds  []*process
	entryds  []*process
	dir      string
}

// lastNet numbers the fleets, so that several run side by side on their own loopback networks.
var lastNet atomic.Int32

func newFleet(t testing.TB) *fleet {
	t.Helper()
	f := &fleet{
		t: t, net: int(100 + lastNet.Add(1)), platform: objapi.New(), dir: t.TempDir(),
		servers: map[string]*bksrv.Server{}, centreOf: map[string]string{},
	}
	f.listen(f.platformAddress(), f.platform.Handler())
	f.client = objectapi.NewHTTP(f.platformAddress())
	for s := range services() {
		for c := range places {
			for i := range serversPerSite {
				a := f.serverAddress(s, c, i)
				f.servers[a] = bksrv.New(a, serviceTime)
				f.centreOf[a] = places[c].centre
				f.listen(a, f.servers[a])
			}
		}
	}
	f.apply(f.objects()...)
	for i := range places {
		f.settings(i)
		f.steerds = append(f.steerds, launch(t, "steerd", "--settings", f.file(i, "steerd")))
		f.entryds = append(f.entryds, launch(t, "entryd", "--settings", f.file(i, "entryd")))
	}
	f.waitReady(len(places))
	t.Cleanup(f.logs)
	return f
}

// logs prints the daemons' logs of a failed test.
func (f *fleet) logs() {
	if !f.t.Failed() {
		return
	}
	for i := range places {
		st, ok := f.state(i)
		f.t.Logf("%s answers %t: %+v", places[i].host, ok, st)
	}
	for _, p := range append(f.steerds, f.entryds...) {
		p.kill()
		f.t.Logf("%v\n%s", p.args, p.logged())
	}
}

func (f *fleet) ip(last int) string { return fmt.Sprintf("127.%d.0.%d", f.net, last) }

func (f *fleet) platformAddress() string { return f.ip(200) + ":7000" }

func (f *fleet) at(host, port int) string { return fmt.Sprintf("%s:%d", f.ip(host+1), port) }

func (f *fleet) serverAddress(service, centre, i int) string {
	return fmt.Sprintf("%s:%d", f.ip(10+centre), 9000+10*service+i)
}

func (f *fleet) listen(address string, h http.Handler) {
	f.t.Helper()
	l, err := net.Listen("tcp", address)
	assert.NilError(f.t, err)
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	f.t.Cleanup(func() { _ = s.Close() })
}

func (f *fleet) file(host int, program string) string {
	return filepath.Join(f.dir, places[host].host+"-"+program+".json")
}

// settings writes both daemons' settings of a host.
func (f *fleet) settings(i int) {
	p := places[i]
	common := map[string]any{
		"host": p.host, "dataCentre": p.centre, "region": p.region,
		"peerAddress": f.at(i, 7101), "adminAddress": f.at(i, 7102),
	}
	steerd := map[string]any{
		"lookupAddress": f.at(i, 7100), "platformAddress": f.platformAddress(), "gossipMillis": 200, "deadMillis": 1500,
		"seeds": []string{f.at(0, 7101), f.at(2, 7101)}, "centreDeadMillis": 5000, "lookupTtlMillis": 500,
	}
	entryd := map[string]any{
		"callerAddress": f.at(i, 7200), "peerAddress": f.at(i, 7201), "adminAddress": f.at(i, 7202),
		"steerds": []string{f.at(i, 7101)}, "lameDuckMillis": 1500,
	}
	f.write(f.file(i, "steerd"), common, steerd)
	f.write(f.file(i, "entryd"), common, entryd)
}

func (f *fleet) write(name string, parts ...map[string]any) {
	f.t.Helper()
	all := map[string]any{}
	for _, p := range parts {
		for k, v := range p {
			all[k] = v
		}
	}
	data, err := json.Marshal(all)
	assert.NilError(f.t, err)
	assert.NilError(f.t, os.WriteFile(name, data, 0o600))
}

func services() []string { return []string{"search", "corrections"} }

// objects returns the fleet's configuration.
func (f *fleet) objects() []wire.Object {
	out := []wire.Object{
		object("region", "almaty", wire.RegionSpec{DataCentres: []string{"ala-1", "ala-2"}, MaxHosts: 3, CallerBlocks: []string{"10.1.0.0/16"}, Links: []wire.LinkSpec{{To: "astana", BitsPerSecond: 4e9, LatencyMillis: 20}}}),
		object("region", "astana", wire.RegionSpec{DataCentres: []string{"nqz-1", "nqz-2"}, MaxHosts: 3, CallerBlocks: []string{"10.2.0.0/16"}, Links: []wire.LinkSpec{{To: "almaty", BitsPerSecond: 4e9, LatencyMillis: 20}}}),
		object("service", "search", wire.ServiceSpec{Class: "live", DeadlineMillis: 4000, Routes: []wire.RouteSpec{{Prefix: "/search"}}}),
		object("service", "corrections", wire.ServiceSpec{Class: "live", DeadlineMillis: 4000, Routes: []wire.RouteSpec{{Prefix: "/corrections", NonIdempotent: true}}}),
	}
	for s, name := range services() {
		spec := wire.PlacementSpec{Service: name}
		for c, p := range places {
			for i := range serversPerSite {
				spec.Servers = append(spec.Servers, wire.ServerSpec{
					Address: f.serverAddress(s, c, i), DataCentre: p.centre, Batch: fmt.Sprintf("batch-%d", i), Slots: slots,
				})
			}
		}
		out = append(out, object("placement", name, spec))
	}
	return out
}

func object[S any](kind, name string, spec S) wire.Object {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return wire.Object{Kind: kind, Name: name, Spec: raw}
}

// apply writes objects over whatever version stands.
func (f *fleet) apply(objects ...wire.Object) {
	f.t.Helper()
	for _, o := range objects {
		standing, err := f.client.Get(f.t.Context(), o.Kind, o.Name)
		if err != nil {
			assert.Assert(f.t, objectapi.Is(err, objectapi.KindNotFound), "%v", err)
		}
		_, err = f.client.Put(f.t.Context(), o, standing.Version)
		assert.NilError(f.t, err)
	}
}

// eventually waits until the condition holds.
func (f *fleet) eventually(what string, holds func() bool) {
	f.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return
		}
	}
	f.t.Fatalf("never: %s", what)
}

// entrydState is what the tests read of an entryd's dump.
type entrydState struct {
	Incarnation uint64 `json:"incarnation"`
	Ready       bool   `json:"ready"`
	Members     []struct {
		Role int `json:"role"`
	} `json:"members"`
	Sites []struct {
		Site  string `json:"site"`
		Owned bool   `json:"owned"`
	} `json:"sites"`
}

func (f *fleet) state(host int) (entrydState, bool) {
	var st entrydState
	resp, err := http.Get("http://" + f.at(host, 7202) + "/debug/state")
	if err != nil {
		return st, false
	}
	defer func() { _ = resp.Body.Close() }()
	return st, json.NewDecoder(resp.Body).Decode(&st) == nil
}

// waitReady waits until the first n hosts know each other and every site has an owner.
func (f *fleet) waitReady(n int) {
	f.t.Helper()
	f.eventually("the fleet is ready", func() bool {
		owned := 0
		for i := range n {
			st, ok := f.state(i)
			if !ok || !st.Ready || len(st.Members) != 2*n {
				return false
			}
			for _, s := range st.Sites {
				if s.Owned {
					owned++
				}
			}
		}
		return owned == len(services())*len(places)
	})
}

// caller returns a caller in a region, by its number. It may ask every host, those of its region first.
func (f *fleet) caller(region int) *load.Caller {
	lookups := make([]string, 0, len(places))
	for i := range places {
		lookups = append(lookups, f.at((2*region+i)%len(places), 7100))
	}
	return load.NewCaller(lookups, fmt.Sprintf("10.%d.0.5", region+1))
}
