// Package fleet_test starts small fleets of steerd and entryd processes on loopback, injects faults, and checks the responses
// that callers get against the requests that the backend servers ran.
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

	"rosemarygrade.dev/lib/pkg/object"
	"rosemarygrade.dev/lib/pkg/wire"
	"rosemarygrade.dev/standin/pkg/bksrv"
	"rosemarygrade.dev/standin/pkg/load"
	"rosemarygrade.dev/standin/pkg/objapi"
)

// Sizes and times of a test fleet. It has two regions with two data centres each, and in each data centre one host and two
// backend servers of each service.
const (
	serversPerDataCentre = 2
	slots                = 3
	serviceTime          = 10 * time.Millisecond
	eventuallyTimeout    = 30 * time.Second
)

// binaries is the directory into which make build writes the programs.
var binaries = filepath.Join("..", "..", "..", ".build", "bin")

// dataCentre is a data centre with the name of its only host.
type dataCentre struct{ host, name, region string }

var dataCentres = []dataCentre{
	{"h1", "ala-1", "almaty"}, {"h2", "ala-2", "almaty"}, {"h3", "nqz-1", "astana"}, {"h4", "nqz-2", "astana"},
}

// process is a steerd or entryd process. kill and start restart it with the same arguments and an empty log.
type process struct {
	t    testing.TB
	cmd  *exec.Cmd
	args []string
	log  *logBuffer
	done chan struct{}
}

// logBuffer collects a log. It is safe for concurrent use, as tests read it while the process writes it.
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

func (p *process) logText() string {
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

// fleet holds the processes of a running fleet. The fake platform and the fake backend servers run inside the test process.
type fleet struct {
	t testing.TB
	// network is the second byte of all addresses of the fleet: 127.network.0.x.
	network      int
	platform     *objapi.API
	client       object.Client
	servers      map[string]*bksrv.Server // by address
	dataCentreOf map[string]string        // names of data centres by address of server
	steerds      []*process
	entryds      []*process
	dir          string
}

// lastNetwork numbers the fleets, so that tests in parallel use separate loopback networks.
var lastNetwork atomic.Int32

func newFleet(t testing.TB) *fleet {
	t.Helper()
	f := &fleet{
		t: t, network: int(100 + lastNetwork.Add(1)), platform: objapi.New(), dir: t.TempDir(),
		servers: map[string]*bksrv.Server{}, dataCentreOf: map[string]string{},
	}
	f.serve(f.platformAddress(), f.platform.Handler())
	f.client = object.NewHTTP(f.platformAddress())
	for s := range services() {
		for c := range dataCentres {
			for i := range serversPerDataCentre {
				a := f.serverAddress(s, c, i)
				f.servers[a] = bksrv.New(a, serviceTime)
				f.dataCentreOf[a] = dataCentres[c].name
				f.serve(a, f.servers[a])
			}
		}
	}
	f.apply(f.configuration()...)
	for i := range dataCentres {
		f.writeSettings(i)
		f.steerds = append(f.steerds, launch(t, "steerd", "--settings", f.settingsPath(i, "steerd")))
		f.entryds = append(f.entryds, launch(t, "entryd", "--settings", f.settingsPath(i, "entryd")))
	}
	f.waitReady(len(dataCentres))
	t.Cleanup(f.printLogs)
	return f
}

// printLogs kills the processes and prints their logs if the test failed.
func (f *fleet) printLogs() {
	if !f.t.Failed() {
		return
	}
	for i := range dataCentres {
		st, ok := f.readState(i)
		f.t.Logf("entryd of host %s responds: %t, state: %+v", dataCentres[i].host, ok, st)
	}
	for _, p := range append(f.steerds, f.entryds...) {
		p.kill()
		f.t.Logf("%v\n%s", p.args, p.logText())
	}
}

func (f *fleet) ip(last int) string { return fmt.Sprintf("127.%d.0.%d", f.network, last) }

func (f *fleet) platformAddress() string { return f.ip(200) + ":7000" }

func (f *fleet) address(host, port int) string { return fmt.Sprintf("%s:%d", f.ip(host+1), port) }

func (f *fleet) serverAddress(service, centre, i int) string {
	return fmt.Sprintf("%s:%d", f.ip(10+centre), 9000+10*service+i)
}

func (f *fleet) serve(address string, h http.Handler) {
	f.t.Helper()
	l, err := net.Listen("tcp", address)
	assert.NilError(f.t, err)
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	f.t.Cleanup(func() { _ = s.Close() })
}

func (f *fleet) settingsPath(host int, program string) string {
	return filepath.Join(f.dir, dataCentres[host].host+"-"+program+".json")
}

// writeSettings writes the settings files of the steerd and the entryd of a host.
func (f *fleet) writeSettings(i int) {
	dc := dataCentres[i]
	common := map[string]any{
		"host": dc.host, "dataCentre": dc.name, "region": dc.region,
		"peerAddress": f.address(i, 7101), "adminAddress": f.address(i, 7102),
	}
	steerd := map[string]any{
		"lookupAddress": f.address(i, 7100), "platformAddress": f.platformAddress(), "gossipMillis": 200, "deadMillis": 1500,
		"seeds": []string{f.address(0, 7101), f.address(2, 7101)}, "centreDeadMillis": 5000, "lookupTtlMillis": 500,
	}
	entryd := map[string]any{
		"callerAddress": f.address(i, 7200), "peerAddress": f.address(i, 7201), "adminAddress": f.address(i, 7202),
		"steerds": []string{f.address(i, 7101)}, "lameDuckMillis": 1500,
	}
	f.writeJSON(f.settingsPath(i, "steerd"), common, steerd)
	f.writeJSON(f.settingsPath(i, "entryd"), common, entryd)
}

// writeJSON writes the merged parts to a file as one JSON object.
func (f *fleet) writeJSON(name string, parts ...map[string]any) {
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

// configuration returns the objects of the fleet's configuration: regions, services and placements.
func (f *fleet) configuration() []wire.Object {
	out := []wire.Object{
		newObject("region", "almaty", wire.RegionSpec{DataCentres: []string{"ala-1", "ala-2"}, MaxHosts: 3, CallerBlocks: []string{"10.1.0.0/16"}, Links: []wire.LinkSpec{{To: "astana", BitsPerSecond: 4e9, LatencyMillis: 20}}}),
		newObject("region", "astana", wire.RegionSpec{DataCentres: []string{"nqz-1", "nqz-2"}, MaxHosts: 3, CallerBlocks: []string{"10.2.0.0/16"}, Links: []wire.LinkSpec{{To: "almaty", BitsPerSecond: 4e9, LatencyMillis: 20}}}),
		newObject("service", "search", wire.ServiceSpec{Class: "live", DeadlineMillis: 4000, Routes: []wire.RouteSpec{{Prefix: "/search"}}}),
		newObject("service", "corrections", wire.ServiceSpec{Class: "live", DeadlineMillis: 4000, Routes: []wire.RouteSpec{{Prefix: "/corrections", NonIdempotent: true}}}),
	}
	for s, name := range services() {
		spec := wire.PlacementSpec{Service: name}
		for c, dc := range dataCentres {
			for i := range serversPerDataCentre {
				spec.Servers = append(spec.Servers, wire.ServerSpec{
					Address: f.serverAddress(s, c, i), DataCentre: dc.name, Batch: fmt.Sprintf("batch-%d", i), Slots: slots,
				})
			}
		}
		out = append(out, newObject("placement", name, spec))
	}
	return out
}

func newObject[S any](kind, name string, spec S) wire.Object {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return wire.Object{Kind: kind, Name: name, Spec: raw}
}

// apply writes objects to the platform, over their stored version if there is one.
func (f *fleet) apply(objects ...wire.Object) {
	f.t.Helper()
	for _, o := range objects {
		stored, err := f.client.Get(f.t.Context(), o.Kind, o.Name)
		if err != nil {
			assert.Assert(f.t, object.Is(err, object.KindNotFound), "%v", err)
		}
		_, err = f.client.Put(f.t.Context(), o, stored.Version)
		assert.NilError(f.t, err)
	}
}

// eventually waits until the condition holds, and fails the test after eventuallyTimeout.
func (f *fleet) eventually(what string, holds func() bool) {
	f.t.Helper()
	for end := time.Now().Add(eventuallyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return
		}
	}
	f.t.Fatalf("timed out waiting until %s", what)
}

// entrydState is the part of an entryd's /debug/state that the tests read.
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

func (f *fleet) readState(host int) (entrydState, bool) {
	var st entrydState
	resp, err := http.Get("http://" + f.address(host, 7202) + "/debug/state")
	if err != nil {
		return st, false
	}
	defer func() { _ = resp.Body.Close() }()
	return st, json.NewDecoder(resp.Body).Decode(&st) == nil
}

// waitReady waits until the first n hosts are ready and list each other as members, and every site, which is a service in a
// data centre, has an owner.
func (f *fleet) waitReady(n int) {
	f.t.Helper()
	f.eventually("the fleet is ready", func() bool {
		owned := 0
		for i := range n {
			st, ok := f.readState(i)
			if !ok || !st.Ready || len(st.Members) != 2*n {
				return false
			}
			for _, s := range st.Sites {
				if s.Owned {
					owned++
				}
			}
		}
		return owned == len(services())*len(dataCentres)
	})
}

// caller returns a caller in a region, given by its index. It sends look-ups to the hosts of its region first, then to the others.
func (f *fleet) caller(region int) *load.Caller {
	lookups := make([]string, 0, len(dataCentres))
	for i := range dataCentres {
		lookups = append(lookups, f.address((2*region+i)%len(dataCentres), 7100))
	}
	return load.NewCaller(lookups, fmt.Sprintf("10.%d.0.5", region+1))
}
