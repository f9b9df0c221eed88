package cmds

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rosemarygrade.dev/platform/adapt"
	"rosemarygrade.dev/platform/fake"
)

// fleet is up to three edged hosts with a fake store and fake backend servers. The first two hosts are in different data
// centres of one region, the third is in another region.
type fleet struct {
	t            *testing.T
	store        *fake.Store
	storeAddress string
	hosts        []*testHost
	backends     map[string]*fake.BackendServer
	next         int
	// layers are those whose debug lines the hosts log.
	layers string
}

type testHost struct {
	settings *Settings
	stop     context.CancelFunc
	done     chan error
}

const (
	// callerTimeout is the timeout that callers send with a request.
	callerTimeout = 4 * time.Second
	// testTimeout bounds each wait of a test.
	testTimeout = 15 * time.Second
)

func baseConfig(version int) string {
	return fake.Config(version,
		fake.Route{Prefix: "/read/", Idempotent: true, Service: "alpha", Timeout: 5},
		fake.Route{Prefix: "/write/", Service: "alpha", Timeout: 5},
		fake.Route{Prefix: "/short/", Service: "alpha", Timeout: 0.3},
		fake.Route{Prefix: "/home/", Idempotent: true, Service: "alpha", Timeout: 5, AllowedRegions: []string{"north"}},
		fake.Route{Prefix: "/mix/", Idempotent: true, Timeout: 5, Split: map[string]int{"alpha": 75, "beta": 25}},
	)
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	store := fake.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	f := &fleet{t: t, store: store, storeAddress: server.Listener.Addr().String(), backends: map[string]*fake.BackendServer{}}
	store.Set(fake.KindConfig, fake.NameConfig, baseConfig(1))
	f.addBackend("i-a1", "alpha", "north-a")
	f.addBackend("i-a2", "alpha", "south-a")
	f.addBackend("i-b1", "beta", "north-a")
	return f
}

func (f *fleet) addBackend(id, service, dataCentre string) *fake.BackendServer {
	f.t.Helper()
	x, err := fake.NewBackendServer(id, "127.0.0.1")
	assert.NilError(f.t, err)
	f.t.Cleanup(x.Close)
	f.backends[id] = x
	f.store.Set(fake.KindBackends, id, x.Spec(service, dataCentre, "ready", 4))
	return x
}

// freePorts returns n ports that are free at this IP address, each once: all are held until the last one is chosen.
func freePorts(t *testing.T, ip string, n int) []int {
	t.Helper()
	out := make([]int, n)
	for i := range out {
		l, err := net.Listen("tcp", ip+":0")
		assert.NilError(t, err)
		defer func() { _ = l.Close() }()
		addr, ok := l.Addr().(*net.TCPAddr)
		assert.Assert(t, ok)
		out[i] = addr.Port
	}
	return out
}

// start starts n hosts and waits until they are ready. They use the same ports and differ by their IP address.
func (f *fleet) start(n int) {
	f.t.Helper()
	ip := func(i int) string { return fmt.Sprintf("127.0.%d.%d", 10+f.next, 10+i) }
	ports := freePorts(f.t, ip(0), 7)
	dataCentres := []string{"north-a", "north-b", "south-a"}
	regions := map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"}
	for i := range n {
		at := func(p int) string { return fmt.Sprintf("%s:%d", ip(i), ports[p]) }
		s := NewSettings()
		s.Host, s.IP, s.DataCentre, s.Region, s.Regions = fmt.Sprintf("host-%d", i), ip(i), dataCentres[i], regions[dataCentres[i]], regions
		s.CallerAddress, s.ReadyAddress, s.LookupAddress, s.AdminAddress = at(0), at(1), at(2), at(3)
		s.PeerPorts, s.StoreAddress, s.RepeatSlack, s.MetricsPort = []int{ports[4], ports[5]}, f.storeAddress, 60, ports[6]
		f.run(s)
	}
	f.waitReady()
}

func (f *fleet) run(s *Settings) *testHost {
	f.t.Helper()
	assert.NilError(f.t, s.Check())
	ctx, stop := context.WithCancel(f.t.Context())
	h := &testHost{settings: s, stop: stop, done: make(chan error, 1)}
	path := filepath.Join(f.t.TempDir(), "settings.json")
	go func() { h.done <- run(ctx, s, path, f.layers) }()
	f.hosts = append(f.hosts, h)
	f.t.Cleanup(func() { stop() })
	return h
}

// waitReady waits until each host is ready and its look-ups return all hosts. A process that has ended fails the test at once.
func (f *fleet) waitReady() {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		for _, h := range f.hosts {
			select {
			case err := <-h.done:
				return poll.Error(fmt.Errorf("%s ended: %w", h.settings.Host, err))
			default:
			}
			if !f.isReady(h) {
				return poll.Continue("%s is not ready", h.settings.Host)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(testTimeout), poll.WithDelay(20*time.Millisecond))
}

// isReady reports whether a host is ready and its look-ups return all hosts.
func (f *fleet) isReady(h *testHost) bool {
	f.t.Helper()
	resp, err := http.Get("http://" + h.settings.ReadyAddress + adapt.PathReady)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK && len(f.lookup(h, "nowhere", "nowhere")) == len(f.hosts)
}

func (f *fleet) eventually(what string, check func() bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if check() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(testTimeout), poll.WithDelay(20*time.Millisecond))
}

func (f *fleet) lookup(h *testHost, region, dataCentre string) []string {
	f.t.Helper()
	resp, err := http.Get("http://" + h.settings.LookupAddress + adapt.PathLookup + "?name=web.example&region=" + region + "&zone=" + dataCentre)
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var a adapt.LookupAnswer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return nil
	}
	return a.Addresses
}

// result is what a caller gets for a request.
type result struct {
	status int
	body   string
	header http.Header
	err    error
}

func (f *fleet) call(h *testHost, method, path, body, attempt string) result {
	return f.callFor(f.t.Context(), h, method, path, body, attempt)
}

func (f *fleet) callFor(ctx context.Context, h *testHost, method, path, body, attempt string) result {
	f.t.Helper()
	return f.callWith(ctx, h, method, path, body, attempt, nil)
}

// callWith sends a request with further headers.
func (f *fleet) callWith(ctx context.Context, h *testHost, method, path, body, attempt string, further http.Header) result {
	f.t.Helper()
	return f.callWithin(ctx, h, method, path, body, attempt, further, callerTimeout)
}

// callWithin is callWith with the time that the caller waits.
func (f *fleet) callWithin(ctx context.Context, h *testHost, method, path, body, attempt string, further http.Header, timeout time.Duration) result {
	f.t.Helper()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.settings.CallerAddress+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	r.Host = fake.RouteHost
	maps.Copy(r.Header, further)
	fake.SetCallerHeaders(r.Header, attempt, "7", timeout)
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return result{status: resp.StatusCode, body: string(data), header: resp.Header, err: err}
}

func (f *fleet) setFaults(fault fake.Fault) {
	for _, x := range f.backends {
		x.SetFault(fault)
	}
}

func (f *fleet) runs(attempt string) int {
	n := 0
	for _, x := range f.backends {
		n += x.Runs(attempt)
	}
	return n
}

func assertServed(t *testing.T, a result, body string) {
	t.Helper()
	assert.NilError(t, a.err)
	assert.Equal(t, a.status, http.StatusOK)
	assert.Equal(t, a.body, "hello "+body)
	assert.Equal(t, fake.Stamp(a.header), "s")
}

func TestServe(t *testing.T) {
	f := newFleet(t)
	f.start(3)
	h := f.hosts[0]
	t.Run("a request gets its complete response", func(t *testing.T) {
		assertServed(t, f.call(h, "GET", "/read/x?y=%20z", "", "s1"), "")
	})
	t.Run("a body arrives unchanged, with the remaining time and the backend server's ID", func(t *testing.T) {
		body := strings.Repeat("b", 20000)
		assertServed(t, f.call(h, "POST", "/write/x", body, "s2"), body)
		for _, x := range f.backends {
			if head, got := x.ReceivedRequest("s2"); head != nil {
				assert.Equal(t, got, body)
				remaining, backendID := fake.ReadServerHeaders(head)
				assert.Assert(t, remaining > 0 && remaining <= callerTimeout)
				assert.Assert(t, backendID != "")
			}
		}
	})
	t.Run("a path without a route gets 404", func(t *testing.T) {
		assert.Equal(t, f.call(h, "GET", "/none/x", "", "s3").status, http.StatusNotFound)
	})
	t.Run("a route with home regions is not served elsewhere", func(t *testing.T) {
		for i := range 20 {
			id := fmt.Sprintf("home-%d", i)
			assertServed(t, f.call(h, "GET", "/home/x", "", id), "")
			assert.Equal(t, f.backends["i-a2"].Runs(id), 0)
		}
	})
	t.Run("a traffic split is exact", func(t *testing.T) {
		before := f.backends["i-b1"].TotalRuns()
		for i := range 40 {
			assertServed(t, f.call(h, "GET", "/mix/x", "", fmt.Sprintf("mix-%d", i)), "")
		}
		assert.Equal(t, f.backends["i-b1"].TotalRuns()-before, 10)
	})
	t.Run("a look-up prefers the caller's data centre and returns two hosts if the region has them", func(t *testing.T) {
		got := f.lookup(h, "south", "south-a")
		assert.DeepEqual(t, got, []string{f.hosts[2].settings.CallerAddress})
		assert.Equal(t, len(f.lookup(h, "north", "north-a")), 2)
	})
}

// TestDump checks the fields of the state dump that rosectl fleet reads.
func TestDump(t *testing.T) {
	f := newFleet(t)
	f.start(3)
	for _, h := range f.hosts {
		resp, err := http.Get(fmt.Sprintf("http://%s:%d/debug/state", h.settings.IP, h.settings.MetricsPort))
		assert.NilError(t, err)
		var got map[string]any
		err = json.NewDecoder(resp.Body).Decode(&got)
		_ = resp.Body.Close()
		assert.NilError(t, err)
		assert.Equal(t, got["host"], h.settings.Host)
		assert.Equal(t, got["dataCentre"], h.settings.DataCentre)
		assert.Equal(t, got["ready"], true)
		revisions, _ := got["revisions"].(map[string]any)
		assert.DeepEqual(t, slices.Sorted(maps.Keys(revisions)), []string{"backends", "config", "drains"})
		hosts, _ := got["hosts"].(map[string]any)
		assert.Equal(t, len(hosts), 2)
		sent, _ := got["sentBytes"].(float64)
		assert.Assert(t, sent > 0)
		memory, _ := got["memory"].(map[string]any)
		budget, _ := memory["budgetBytes"].(float64)
		assert.Assert(t, budget > 0)
		open, _ := memory["conns"].(map[string]any)
		assert.Equal(t, open["metrics"], 1.)
	}
}

func TestFaultsOfBackends(t *testing.T) {
	f := newFleet(t)
	f.start(1)
	h := f.hosts[0]
	rows := []struct {
		fault        fake.Fault
		method, path string
		status, runs int
	}{
		{fake.FaultNoResponse, "POST", "/write/x", http.StatusBadGateway, 1},
		{fake.FaultNoResponse, "GET", "/read/x", http.StatusBadGateway, 2},
		{fake.FaultTruncated, "POST", "/write/x", http.StatusBadGateway, 1},
		{fake.FaultMalformed, "POST", "/write/x", http.StatusBadGateway, 1},
		{fake.FaultStatus, "POST", "/write/x", http.StatusBadGateway, 1},
		{fake.FaultFieldName, "POST", "/write/x", http.StatusBadGateway, 1},
		{fake.FaultShed, "POST", "/write/x", http.StatusServiceUnavailable, 0},
		{fake.FaultError, "POST", "/write/x", http.StatusInternalServerError, 1},
		{fake.FaultExtra, "POST", "/write/x", http.StatusOK, 1},
		{fake.FaultNone, "POST", "/write/x", http.StatusOK, 1},
	}
	for i, r := range rows {
		t.Run(string(r.fault)+" "+r.method, func(t *testing.T) {
			f.setFaults(r.fault)
			id := fmt.Sprintf("f%d", i)
			a := f.call(h, r.method, r.path, "", id)
			assert.NilError(t, a.err)
			assert.Equal(t, a.status, r.status)
			assert.Equal(t, f.runs(id), r.runs)
			if a.status == http.StatusServiceUnavailable {
				assert.Assert(t, a.header.Get("Retry-After") != "")
			}
		})
		// Backend servers that failed three times in a row are ejected for a second.
		f.setFaults(fake.FaultNone)
		f.eventually("backend servers used again", func() bool {
			return f.call(h, "GET", "/read/x", "", "again").status == http.StatusOK
		})
	}
}

func TestTimes(t *testing.T) {
	f := newFleet(t)
	f.start(1)
	h := f.hosts[0]
	for _, x := range f.backends {
		x.SetServiceTime(2 * time.Second)
	}
	t.Run("a request that exceeds its route's timeout gets 504", func(t *testing.T) {
		assert.Equal(t, f.call(h, "POST", "/short/x", "", "t1").status, http.StatusGatewayTimeout)
		assert.Equal(t, f.runs("t1"), 1)
	})
	t.Run("a caller that disconnects cancels the work", func(t *testing.T) {
		before := f.backends["i-a1"].Cancelled() + f.backends["i-a2"].Cancelled()
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		assert.Assert(t, f.callFor(ctx, h, "GET", "/read/x", "", "t2").err != nil)
		f.eventually("work cancelled", func() bool {
			return f.backends["i-a1"].Cancelled()+f.backends["i-a2"].Cancelled() > before
		})
	})
}

// TestOptionsOfServer guards against a response other than 404 to a request that has no path, so that no route allows it.
func TestOptionsOfServer(t *testing.T) {
	f := newFleet(t)
	f.start(1)
	line, _ := sendRaw(t, f.hosts[0], "OPTIONS * HTTP/1.1\r\nHost: web.example\r\nConnection: close\r\n\r\n")
	assert.Equal(t, line, "HTTP/1.1 404 Not Found")
}

func TestSlowBody(t *testing.T) {
	f := newFleet(t)
	f.start(1)
	line, closed := sendRaw(t, f.hosts[0], "POST /short/x HTTP/1.1\r\nHost: web.example\r\nContent-Length: 10\r\n\r\nabc")
	assert.Equal(t, line, "HTTP/1.1 408 Request Timeout")
	assert.Assert(t, closed)
}

// sendRaw sends bytes on a new connection, and returns the first line of the response and whether the connection
// was closed after it.
func sendRaw(t *testing.T, h *testHost, text string) (string, bool) {
	t.Helper()
	c, err := net.Dial("tcp", h.settings.CallerAddress)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, text)
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(testTimeout)))
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n')
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, r)
	return strings.TrimSpace(line), err == nil
}

func TestMalformed(t *testing.T) {
	f := newFleet(t)
	f.start(1)
	rows := map[string]string{
		"two content lengths":          "POST /write/x HTTP/1.1\r\nHost: web.example\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
		"a malformed content length":   "POST /write/x HTTP/1.1\r\nHost: web.example\r\nContent-Length: +3\r\n\r\nabc",
		"no Host header":               "GET /read/x HTTP/1.1\r\n\r\n",
		"a space in a header name":     "GET /read/x HTTP/1.1\r\nHost: web.example\r\nBad Name: x\r\n\r\n",
		"an unknown transfer encoding": "POST /write/x HTTP/1.1\r\nHost: web.example\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"no request line":              "hello\r\n\r\n",
		"a malformed chunk size":       "POST /write/x HTTP/1.1\r\nHost: web.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
	}
	for name, text := range rows {
		t.Run(name, func(t *testing.T) {
			line, closed := sendRaw(t, f.hosts[0], text)
			assert.Assert(t, strings.HasPrefix(line, "HTTP/1.1 400") || strings.HasPrefix(line, "HTTP/1.1 501"), line)
			assert.Assert(t, closed)
		})
	}
	for id, x := range f.backends {
		assert.Equal(t, x.TotalRuns(), 0, id)
	}
}

func TestDeclarations(t *testing.T) {
	f := newFleet(t)
	f.start(3)
	h := f.hosts[0]
	waitNoWork := func(id string) {
		t.Helper()
		f.eventually("no work at "+id, func() bool {
			before := f.backends[id].TotalRuns()
			for i := range 20 {
				for _, x := range f.hosts {
					f.call(x, "GET", fmt.Sprintf("/read/%d", i), "", fmt.Sprintf("gone-%s-%d", id, i))
				}
			}
			return f.backends[id].TotalRuns() == before
		})
	}
	t.Run("a drained data centre gets no work", func(t *testing.T) {
		f.store.Set(fake.KindDrains, "south-a", "{}")
		waitNoWork("i-a2")
		f.store.Remove(fake.KindDrains, "south-a")
	})
	t.Run("a draining backend server gets no work", func(t *testing.T) {
		f.store.Set(fake.KindBackends, "i-a1", f.backends["i-a1"].Spec("alpha", "north-a", "draining", 4))
		waitNoWork("i-a1")
		f.store.Set(fake.KindBackends, "i-a1", f.backends["i-a1"].Spec("alpha", "north-a", "ready", 4))
	})
	t.Run("malformed entries and configurations change nothing", func(t *testing.T) {
		f.store.Set(fake.KindBackends, "i-odd", `{"service":7,"state":"ready"}`)
		f.store.Set(fake.KindConfig, fake.NameConfig, `{"version":2,"routes":{"columns":["name"],"rows":[["x","y"]]}}`)
		f.store.Set(fake.KindConfig, fake.NameConfig, fake.Config(2, fake.Route{Prefix: "/read", Idempotent: true, Service: "alpha", Timeout: 1}))
		time.Sleep(300 * time.Millisecond)
		assertServed(t, f.call(h, "GET", "/read/x", "", "d1"), "")
	})
	t.Run("a new configuration becomes active on every host and an older version does not replace it", func(t *testing.T) {
		f.store.Set(fake.KindConfig, fake.NameConfig, fake.Config(9, fake.Route{Prefix: "/new/", Idempotent: true, Service: "beta", Timeout: 5}))
		f.eventually("new route on all hosts", func() bool {
			for _, x := range f.hosts {
				if f.call(x, "GET", "/new/x", "", "d2").status != http.StatusOK {
					return false
				}
			}
			return true
		})
		f.store.Set(fake.KindConfig, fake.NameConfig, baseConfig(8))
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, f.call(h, "GET", "/read/x", "", "d3").status, http.StatusNotFound)
	})
}

func TestStoreTroubles(t *testing.T) {
	next := func(v int) string {
		return fake.Config(v, fake.Route{Prefix: fmt.Sprintf("/v%d/", v), Idempotent: true, Service: "alpha", Timeout: 5})
	}
	waitActive := func(f *fleet, v int) {
		f.t.Helper()
		f.eventually(fmt.Sprintf("version %d active on all hosts", v), func() bool {
			for _, h := range f.hosts {
				if f.call(h, "GET", fmt.Sprintf("/v%d/x", v), "", "c").status != http.StatusOK {
					return false
				}
			}
			return true
		})
	}
	f := newFleet(t)
	f.start(3)
	t.Run("hosts serve while the store is unavailable and read its changes afterwards", func(t *testing.T) {
		f.store.SetUnavailable(true)
		assertServed(t, f.call(f.hosts[0], "GET", "/read/x", "", "o1"), "")
		f.store.Set(fake.KindConfig, fake.NameConfig, next(20))
		f.store.SetUnavailable(false)
		waitActive(f, 20)
	})
	t.Run("a stalled watch is detected by the store's revision", func(t *testing.T) {
		f.store.SetWatchesStalled(true)
		f.store.Set(fake.KindConfig, fake.NameConfig, next(21))
		waitActive(f, 21)
		f.store.SetWatchesStalled(false)
	})
	t.Run("a change after the loss of the store's history is read", func(t *testing.T) {
		f.store.Set(fake.KindConfig, fake.NameConfig, next(22))
		waitActive(f, 22)
	})
	t.Run("a host that starts while the store is unavailable gets the configuration from its peers", func(t *testing.T) {
		f.store.SetUnavailable(true)
		defer f.store.SetUnavailable(false)
		s := *f.hosts[0].settings
		s.Host, s.DataCentre, s.Seeds = "host-new", "north-b", []string{f.hosts[0].settings.AdminAddress}
		s.IP = strings.Replace(s.IP, ".10", ".77", 1)
		withNewIP := func(a string) string { return strings.Replace(a, f.hosts[0].settings.IP, s.IP, 1) }
		s.CallerAddress, s.ReadyAddress, s.LookupAddress, s.AdminAddress =
			withNewIP(s.CallerAddress), withNewIP(s.ReadyAddress), withNewIP(s.LookupAddress), withNewIP(s.AdminAddress)
		f.run(&s)
		waitActive(f, 22)
	})
}

// restart stops a host as planned and starts its process again with the same settings.
func (f *fleet) restart(i int) {
	f.t.Helper()
	old := f.hosts[i]
	old.stop()
	assert.NilError(f.t, <-old.done)
	f.run(old.settings)
	last := len(f.hosts) - 1
	f.hosts[i], f.hosts = f.hosts[last], f.hosts[:last]
	f.waitReady()
}

// TestRestartsInTurn restarts every process, one after the other, while the store is away: none may use a backend server, a data centre or
// a configuration that has left, also when the state has passed through new processes only.
func TestRestartsInTurn(t *testing.T) {
	f := newFleet(t)
	f.start(3)
	f.store.Remove(fake.KindBackends, "i-a1")
	f.store.Set(fake.KindDrains, "south-a", "{}")
	f.addBackend("i-a3", "alpha", "north-a")
	f.store.Set(fake.KindConfig, fake.NameConfig, fake.Config(9, fake.Route{Prefix: "/new/", Idempotent: true, Service: "alpha", Timeout: 5}))
	request := func(h *testHost, path, id string) int { return f.call(h, "GET", path, "", id).status }
	f.eventually("the changes active on all hosts", func() bool {
		before := f.backends["i-a1"].TotalRuns() + f.backends["i-a2"].TotalRuns()
		for i := range 10 {
			for _, h := range f.hosts {
				if request(h, "/new/x", fmt.Sprintf("w%d", i)) != http.StatusOK {
					return false
				}
			}
		}
		return f.backends["i-a1"].TotalRuns()+f.backends["i-a2"].TotalRuns() == before
	})
	f.store.SetUnavailable(true)
	left := f.backends["i-a1"].TotalRuns() + f.backends["i-a2"].TotalRuns()
	for i := range f.hosts {
		f.restart(i)
		for n := range 30 {
			for k, h := range f.hosts {
				assert.Equal(t, request(h, "/new/x", fmt.Sprintf("r%d-%d-%d", i, n, k)), http.StatusOK)
				assert.Equal(t, request(h, "/read/x", fmt.Sprintf("g%d-%d-%d", i, n, k)), http.StatusNotFound)
			}
		}
		assert.Equal(t, f.backends["i-a1"].TotalRuns()+f.backends["i-a2"].TotalRuns(), left, "used again after %d restarts", i+1)
	}
}

// TestLeavingWithoutStore guards against requests to a backend server that says in its responses that it leaves, while no host reaches
// the store.
func TestLeavingWithoutStore(t *testing.T) {
	f := newFleet(t)
	f.start(2)
	assertServed(t, f.call(f.hosts[0], http.MethodGet, "/read/x", "", "first"), "")
	var leaving *fake.BackendServer
	for _, b := range f.backends {
		if b.Runs("first") > 0 {
			leaving = b
		}
	}
	f.store.SetUnavailable(true)
	leaving.SetExtraHeaders(fake.LineLeaving)
	for n, h := range f.hosts {
		told := fmt.Sprintf("told-%d", n)
		assertServed(t, f.call(h, http.MethodGet, "/read/x", "", told), "")
		assert.Equal(t, leaving.Runs(told), 1, "the object's first choice")
		for i := range 20 {
			attempt := fmt.Sprintf("later-%d-%d", n, i)
			assertServed(t, f.call(h, http.MethodGet, "/read/x", "", attempt), "")
			assert.Equal(t, leaving.Runs(attempt), 0)
		}
	}
}

func TestStop(t *testing.T) {
	f := newFleet(t)
	f.start(3)
	for _, x := range f.backends {
		x.SetServiceTime(700 * time.Millisecond)
	}
	got := make(chan result, 1)
	go func() { got <- f.call(f.hosts[0], "POST", "/write/x", "", "p1") }()
	f.eventually("request in flight", func() bool { return f.runs("p1") == 1 })
	f.hosts[0].stop()
	t.Run("look-ups at other hosts no longer return it", func(t *testing.T) {
		f.eventually("host no longer returned", func() bool { return len(f.lookup(f.hosts[1], "none", "none")) == 2 })
	})
	t.Run("its readiness check gets 503", func(t *testing.T) {
		resp, err := http.Get("http://" + f.hosts[0].settings.ReadyAddress + adapt.PathReady)
		assert.NilError(t, err)
		_ = resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	})
	t.Run("the request in flight is answered", func(t *testing.T) { assertServed(t, <-got, "") })
	t.Run("its process ends without an error", func(t *testing.T) { assert.NilError(t, <-f.hosts[0].done) })
}

// TestLateInGrace guards against requests that a stopping host takes late in the grace time and aborts at its end, so that callers do not
// learn whether they ran.
func TestLateInGrace(t *testing.T) {
	const (
		grace    = 5 * time.Second
		work     = 2 * time.Second
		interval = 200 * time.Millisecond
		samples  = 6
	)
	f := newFleet(t)
	f.start(2)
	for _, b := range f.backends {
		b.SetServiceTime(work)
	}
	h := f.hosts[0]
	h.settings.GraceSeconds = grace.Seconds()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", h.settings.CallerAddress)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	// From these the host learns the service time.
	var early sync.WaitGroup
	for i := range samples {
		c := dial()
		early.Go(func() {
			status, err := writeAttempt(c, fmt.Sprintf("early-%d", i))
			assert.Check(t, err == nil && status == http.StatusOK, "%d %v", status, err)
		})
	}
	early.Wait()
	conns := make([]net.Conn, grace/interval)
	for i := range conns {
		conns[i] = dial()
	}
	begin := time.Now()
	h.stop()
	var late sync.WaitGroup
	for i, c := range conns {
		late.Go(func() {
			attempt := fmt.Sprintf("late-%d", i)
			time.Sleep(time.Until(begin.Add(time.Duration(i) * interval)))
			status, err := writeAttempt(c, attempt)
			switch runs := f.runs(attempt); {
			case err != nil:
				assert.Check(t, runs == 0, "%s, sent %s after the stop began: ran %d times, no answer: %v", attempt, time.Duration(i)*interval, runs, err)
			case status == http.StatusServiceUnavailable:
				assert.Check(t, runs == 0, "%s: ran %d times, 503", attempt, runs)
			default:
				assert.Check(t, status == http.StatusOK && runs == 1, "%s: ran %d times, status %d", attempt, runs, status)
			}
		})
	}
	late.Wait()
	assert.NilError(t, <-h.done)
}

// writeAttempt sends a request that may not run twice over a connection and returns the status of the complete response.
func writeAttempt(c net.Conn, attempt string) (int, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+fake.RouteHost+"/write/x", http.NoBody)
	if err != nil {
		return 0, err
	}
	fake.SetCallerHeaders(r.Header, attempt, "7", callerTimeout)
	if err := r.Write(c); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
