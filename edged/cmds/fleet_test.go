package cmds

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rosemarygrade.dev/platform/adapt"
	"rosemarygrade.dev/platform/fake"
)

// fleet is two hosts in two data centres of one region and one in another region, with the stand-ins.
type fleet struct {
	t       *testing.T
	store   *fake.Store
	address string
	hosts   []*testHost
	targets map[string]*fake.BackendServer
	next    int
}

type testHost struct {
	settings *Settings
	stop     context.CancelFunc
	done     chan error
}

// Times of callers and of the tests' patience.
const (
	patience = 4 * time.Second
	waitMost = 15 * time.Second
)

func baseConfig(version int) string {
	return fake.Config(version,
		fake.Route{Prefix: "/read/", Idempotent: true, Service: "alpha", Timeout: 5},
		fake.Route{Prefix: "/write/", Service: "alpha", Timeout: 5},
		fake.Route{Prefix: "/short/", Service: "alpha", Timeout: 0.3},
		fake.Route{Prefix: "/home/", Idempotent: true, Service: "alpha", Timeout: 5, Homes: []string{"north"}},
		fake.Route{Prefix: "/mix/", Idempotent: true, Timeout: 5, Split: map[string]int{"alpha": 75, "beta": 25}},
	)
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	store := fake.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	f := &fleet{t: t, store: store, address: server.Listener.Addr().String(), targets: map[string]*fake.BackendServer{}}
	store.Set(fake.KindConfig, fake.NameConfig, baseConfig(1))
	f.target("i-a1", "alpha", "north-a")
	f.target("i-a2", "alpha", "south-a")
	f.target("i-b1", "beta", "north-a")
	return f
}

func (f *fleet) target(id, service, zone string) *fake.BackendServer {
	f.t.Helper()
	x, err := fake.NewBackendServer(id, "127.0.0.1")
	assert.NilError(f.t, err)
	f.t.Cleanup(x.Close)
	f.targets[id] = x
	f.store.Set(fake.KindBackends, id, x.Spec(service, zone, "ready", 4))
	return x
}

func freePort(t *testing.T, ip string) int {
	t.Helper()
	l, err := net.Listen("tcp", ip+":0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	addr, ok := l.Addr().(*net.TCPAddr)
	assert.Assert(t, ok)
	return addr.Port
}

// ports are the same on all hosts of a fleet; hosts differ by their address.
func (f *fleet) start(n int) {
	f.t.Helper()
	ip := func(i int) string { return fmt.Sprintf("127.0.%d.%d", 10+f.next, 10+i) }
	var ports [6]int
	for i := range ports {
		ports[i] = freePort(f.t, ip(0))
	}
	zones := []string{"north-a", "north-b", "south-a"}
	regions := map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"}
	for i := range n {
		at := func(p int) string { return fmt.Sprintf("%s:%d", ip(i), ports[p]) }
		s := NewSettings()
		s.Host, s.IP, s.DataCentre, s.Region, s.Regions = fmt.Sprintf("host-%d", i), ip(i), zones[i], regions[zones[i]], regions
		s.CallerAddress, s.ReadyAddress, s.LookupAddress, s.AdminAddress = at(0), at(1), at(2), at(3)
		s.PeerPorts, s.StoreAddress, s.RepeatSlack, s.MetricsPort = []int{ports[4], ports[4] + 1}, f.address, 60, ports[5]
		f.run(s)
	}
	f.ready()
}

func (f *fleet) run(s *Settings) *testHost {
	f.t.Helper()
	assert.NilError(f.t, s.Check())
	ctx, stop := context.WithCancel(f.t.Context())
	h := &testHost{settings: s, stop: stop, done: make(chan error, 1)}
	path := filepath.Join(f.t.TempDir(), "settings.json")
	go func() { h.done <- run(ctx, s, path, "") }()
	f.hosts = append(f.hosts, h)
	f.t.Cleanup(func() { stop() })
	return h
}

// ready waits until every host serves and knows the others.
func (f *fleet) ready() {
	f.t.Helper()
	f.eventually("hosts ready", func() bool {
		for _, h := range f.hosts {
			resp, err := http.Get("http://" + h.settings.ReadyAddress + adapt.PathReady)
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK || len(f.lookup(h, "nowhere", "nowhere")) != len(f.hosts) {
				return false
			}
		}
		return true
	})
}

func (f *fleet) eventually(what string, check func() bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if check() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(waitMost), poll.WithDelay(20*time.Millisecond))
}

func (f *fleet) lookup(h *testHost, region, zone string) []string {
	f.t.Helper()
	resp, err := http.Get("http://" + h.settings.LookupAddress + adapt.PathLookup + "?name=web.example&region=" + region + "&zone=" + zone)
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

// answer is what a caller got.
type answer struct {
	status int
	body   string
	header http.Header
	err    error
}

func (f *fleet) call(h *testHost, method, path, body, attempt string) answer {
	return f.callFor(f.t.Context(), h, method, path, body, attempt)
}

func (f *fleet) callFor(ctx context.Context, h *testHost, method, path, body, attempt string) answer {
	f.t.Helper()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.settings.CallerAddress+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	r.Host = fake.RouteHost
	fake.SetCallerHeaders(r.Header, attempt, "7", patience)
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(data), header: resp.Header, err: err}
}

func (f *fleet) setFaults(fault fake.Fault) {
	for _, x := range f.targets {
		x.SetFault(fault)
	}
}

func (f *fleet) runs(attempt string) int {
	n := 0
	for _, x := range f.targets {
		n += x.Runs(attempt)
	}
	return n
}

func assertServed(t *testing.T, a answer, body string) {
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
	t.Run("a request gets its whole answer", func(t *testing.T) {
		assertServed(t, f.call(h, "GET", "/read/x?y=%20z", "", "s1"), "")
	})
	t.Run("a body arrives unchanged and the deadline is what is left", func(t *testing.T) {
		body := strings.Repeat("b", 20000)
		assertServed(t, f.call(h, "POST", "/write/x", body, "s2"), body)
		for _, x := range f.targets {
			if head, got := x.ReceivedRequest("s2"); head != nil {
				assert.Equal(t, got, body)
				left, meant := fake.ReadServerHeaders(head)
				assert.Assert(t, left > 0 && left <= patience)
				assert.Assert(t, meant != "")
			}
		}
	})
	t.Run("a path without a route is not found", func(t *testing.T) {
		assert.Equal(t, f.call(h, "GET", "/none/x", "", "s3").status, http.StatusNotFound)
	})
	t.Run("a route with homes stays there", func(t *testing.T) {
		for i := range 20 {
			id := fmt.Sprintf("home-%d", i)
			assertServed(t, f.call(h, "GET", "/home/x", "", id), "")
			assert.Equal(t, f.targets["i-a2"].Runs(id), 0)
		}
	})
	t.Run("a split is exact", func(t *testing.T) {
		before := f.targets["i-b1"].TotalRuns()
		for i := range 40 {
			assertServed(t, f.call(h, "GET", "/mix/x", "", fmt.Sprintf("mix-%d", i)), "")
		}
		assert.Equal(t, f.targets["i-b1"].TotalRuns()-before, 10)
	})
	t.Run("a look-up prefers the caller's data centre and names two", func(t *testing.T) {
		got := f.lookup(h, "south", "south-a")
		assert.DeepEqual(t, got, []string{f.hosts[2].settings.CallerAddress})
		assert.Equal(t, len(f.lookup(h, "north", "north-a")), 2)
	})
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
		// Backend servers that failed are left out for a second.
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
	for _, x := range f.targets {
		x.SetServiceTime(2 * time.Second)
	}
	t.Run("the route's timeout is answered and may have run", func(t *testing.T) {
		assert.Equal(t, f.call(h, "POST", "/short/x", "", "t1").status, http.StatusGatewayTimeout)
		assert.Equal(t, f.runs("t1"), 1)
	})
	t.Run("a caller that leaves cancels the work", func(t *testing.T) {
		before := f.targets["i-a1"].Cancelled() + f.targets["i-a2"].Cancelled()
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		assert.Assert(t, f.callFor(ctx, h, "GET", "/read/x", "", "t2").err != nil)
		f.eventually("work cancelled", func() bool {
			return f.targets["i-a1"].Cancelled()+f.targets["i-a2"].Cancelled() > before
		})
	})
}

func TestSlowBody(t *testing.T) {
	f := newFleet(t)
	f.start(1)
	line, closed := raw(t, f.hosts[0], "POST /short/x HTTP/1.1\r\nHost: web.example\r\nContent-Length: 10\r\n\r\nabc")
	assert.Equal(t, line, "HTTP/1.1 408 Request Timeout")
	assert.Assert(t, closed)
}

// raw sends bytes and returns the first line of the answer and whether the connection was closed after it.
func raw(t *testing.T, h *testHost, text string) (string, bool) {
	t.Helper()
	c, err := net.Dial("tcp", h.settings.CallerAddress)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, text)
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(waitMost)))
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
		"two lengths":      "POST /write/x HTTP/1.1\r\nHost: web.example\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
		"a bad length":     "POST /write/x HTTP/1.1\r\nHost: web.example\r\nContent-Length: +3\r\n\r\nabc",
		"no host":          "GET /read/x HTTP/1.1\r\n\r\n",
		"space in a name":  "GET /read/x HTTP/1.1\r\nHost: web.example\r\nBad Name: x\r\n\r\n",
		"a bad encoding":   "POST /write/x HTTP/1.1\r\nHost: web.example\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"no request":       "hello\r\n\r\n",
		"a bad chunk size": "POST /write/x HTTP/1.1\r\nHost: web.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
	}
	for name, text := range rows {
		t.Run(name, func(t *testing.T) {
			line, closed := raw(t, f.hosts[0], text)
			assert.Assert(t, strings.HasPrefix(line, "HTTP/1.1 400") || strings.HasPrefix(line, "HTTP/1.1 501"), line)
			assert.Assert(t, closed)
		})
	}
	for id, x := range f.targets {
		assert.Equal(t, x.TotalRuns(), 0, id)
	}
}

func TestDeclarations(t *testing.T) {
	f := newFleet(t)
	f.start(3)
	h := f.hosts[0]
	gone := func(id string) {
		t.Helper()
		f.eventually("no work at "+id, func() bool {
			before := f.targets[id].TotalRuns()
			for i := range 20 {
				for _, x := range f.hosts {
					f.call(x, "GET", fmt.Sprintf("/read/%d", i), "", fmt.Sprintf("gone-%s-%d", id, i))
				}
			}
			return f.targets[id].TotalRuns() == before
		})
	}
	t.Run("a drained data centre gets no work", func(t *testing.T) {
		f.store.Set(fake.KindDrains, "south-a", "{}")
		gone("i-a2")
		f.store.Remove(fake.KindDrains, "south-a")
	})
	t.Run("a leaving backend server gets no work", func(t *testing.T) {
		f.store.Set(fake.KindBackends, "i-a1", f.targets["i-a1"].Spec("alpha", "north-a", "draining", 4))
		gone("i-a1")
		f.store.Set(fake.KindBackends, "i-a1", f.targets["i-a1"].Spec("alpha", "north-a", "ready", 4))
	})
	t.Run("unreadable entries and configurations change nothing", func(t *testing.T) {
		f.store.Set(fake.KindBackends, "i-odd", `{"service":7,"state":"ready"}`)
		f.store.Set(fake.KindConfig, fake.NameConfig, `{"version":2,"routes":{"columns":["name"],"rows":[["x","y"]]}}`)
		f.store.Set(fake.KindConfig, fake.NameConfig, fake.Config(2, fake.Route{Prefix: "/read", Idempotent: true, Service: "alpha", Timeout: 1}))
		time.Sleep(300 * time.Millisecond)
		assertServed(t, f.call(h, "GET", "/read/x", "", "d1"), "")
	})
	t.Run("a new configuration is in force on every host and never goes back", func(t *testing.T) {
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
	inForce := func(f *fleet, v int) {
		f.t.Helper()
		f.eventually(fmt.Sprintf("version %d everywhere", v), func() bool {
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
	t.Run("hosts serve while the store is away, and follow after it", func(t *testing.T) {
		f.store.SetUnavailable(true)
		assertServed(t, f.call(f.hosts[0], "GET", "/read/x", "", "o1"), "")
		f.store.Set(fake.KindConfig, fake.NameConfig, next(20))
		f.store.SetUnavailable(false)
		inForce(f, 20)
	})
	t.Run("a watch that hears nothing is found by the store's revision", func(t *testing.T) {
		f.store.SetWatchesStalled(true)
		f.store.Set(fake.KindConfig, fake.NameConfig, next(21))
		inForce(f, 21)
		f.store.SetWatchesStalled(false)
	})
	t.Run("a change after lost history is found", func(t *testing.T) {
		f.store.Set(fake.KindConfig, fake.NameConfig, next(22))
		inForce(f, 22)
	})
	t.Run("a host that starts while the store is away learns from its peers", func(t *testing.T) {
		f.store.SetUnavailable(true)
		defer f.store.SetUnavailable(false)
		s := *f.hosts[0].settings
		s.Host, s.DataCentre, s.Seeds = "host-new", "north-b", []string{f.hosts[0].settings.AdminAddress}
		s.IP = strings.Replace(s.IP, ".10", ".77", 1)
		move := func(a string) string { return strings.Replace(a, f.hosts[0].settings.IP, s.IP, 1) }
		s.CallerAddress, s.ReadyAddress, s.LookupAddress, s.AdminAddress =
			move(s.CallerAddress), move(s.ReadyAddress), move(s.LookupAddress), move(s.AdminAddress)
		f.run(&s)
		inForce(f, 22)
	})
}

func TestStop(t *testing.T) {
	f := newFleet(t)
	f.start(3)
	for _, x := range f.targets {
		x.SetServiceTime(700 * time.Millisecond)
	}
	got := make(chan answer, 1)
	go func() { got <- f.call(f.hosts[0], "POST", "/write/x", "", "p1") }()
	f.eventually("request under way", func() bool { return f.runs("p1") == 1 })
	f.hosts[0].stop()
	t.Run("look-ups of other hosts leave it out", func(t *testing.T) {
		f.eventually("left out", func() bool { return len(f.lookup(f.hosts[1], "none", "none")) == 2 })
	})
	t.Run("it is not ready and still answers", func(t *testing.T) {
		resp, err := http.Get("http://" + f.hosts[0].settings.ReadyAddress + adapt.PathReady)
		assert.NilError(t, err)
		_ = resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	})
	t.Run("the request under way is answered", func(t *testing.T) { assertServed(t, <-got, "") })
	t.Run("it ends by itself", func(t *testing.T) { assert.NilError(t, <-f.hosts[0].done) })
}
