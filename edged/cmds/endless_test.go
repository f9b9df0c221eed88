package cmds

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/platform/fake"
)

// Size of the crowds of requests to backend servers that send bytes without end, and for how long these are sent. The bounds are those of
// the floods' process.
const (
	endlessRequests = 100
	endlessTime     = 2 * time.Second
	endlessBytes    = 1 << 30
	// endlessWait is how long a response waits for others, to begin at the same time: failures keep further requests away.
	endlessWait = 500 * time.Millisecond
)

// endlessServer sends text without end to each request, first that of begin, until its connection is closed. All connections together send at
// most endlessBytes.
type endlessServer struct {
	endlessRow

	// open is the number of connections that are being written to, sent the number of bytes written.
	// most is the highest number of open ones.
	open, sent, most atomic.Int64
}

func (s *endlessServer) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.respond(c)
	}
}

func (s *endlessServer) respond(c net.Conn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	s.open.Add(1)
	defer s.open.Add(-1)
	for end := time.Now().Add(endlessWait); s.open.Load() < endlessRequests && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	s.most.Store(max(s.most.Load(), s.open.Load()))
	block := s.repeat
	if s.pause == 0 {
		block = strings.Repeat(s.repeat, max(1, floodBlockBytes/len(s.repeat)))
	}
	n, err := io.WriteString(c, s.begin(r.Header.Get(fake.HeaderAttempt)))
	for ; err == nil && s.sent.Add(int64(n)) < endlessBytes; n, err = io.WriteString(c, block) {
		time.Sleep(s.pause)
	}
}

// newEndless starts a process of which one service has a single backend server, which sends text without end.
func newEndless(t *testing.T, row endlessRow) (*flood, *endlessServer) {
	t.Helper()
	f := newFlood(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &endlessServer{endlessRow: row}
	go s.serve(l)
	// Not the same ID with another address: connections are kept for as long as an incarnation lives, and could be to the address before.
	f.store.Remove(fake.KindBackends, "i-b1")
	f.store.Set(fake.KindBackends, "i-e1", f.backends["i-b1"].SpecWithAddress(l.Addr().String(), "beta", "north-a", "ready", endlessRequests))
	config := fake.Config(2, fake.Route{Prefix: "/read/", Idempotent: true, Service: "alpha", Timeout: 30},
		fake.Route{Prefix: "/write/", Service: "alpha", Timeout: 30}, fake.Route{Prefix: "/endless/", Idempotent: true, Service: "beta", Timeout: 30})
	f.store.Set(fake.KindConfig, fake.NameConfig, config)
	f.eventually("the endless backend server is used", func() bool {
		_ = f.call(f.host, http.MethodGet, "/endless/x", "", "probe")
		return s.sent.Load() > 0
	})
	return f, s
}

// crowd sends requests to the endless backend server for endlessTime, and reads what it gets if read is set.
func (f *flood) crowd(read bool) {
	f.t.Helper()
	end := time.Now().Add(endlessTime)
	var group sync.WaitGroup
	for i := range endlessRequests {
		group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				c := f.dial()
				if c == nil {
					return
				}
				_ = c.SetDeadline(end)
				_, _ = fmt.Fprintf(c, "GET /endless/x HTTP/1.1\r\nHost: %s\r\n%s: endless-%d-%d\r\n\r\n", fake.RouteHost, fake.HeaderAttempt, i, n)
				if read {
					_, _ = io.Copy(io.Discard, c)
				} else if _, err := c.Read(make([]byte, 1)); err == nil {
					time.Sleep(time.Until(end))
				}
				_ = c.Close()
			}
		})
	}
	group.Wait()
}

// distinctLines returns header lines without values, each with another name, that are longer than a head may be.
func distinctLines() string {
	var b strings.Builder
	for i := range 1 << 14 {
		_, _ = fmt.Fprintf(&b, "%04x:\r\n", i)
	}
	return b.String()
}

// endlessRow is a text that a faulty backend server sends.
type endlessRow struct {
	name   string
	begin  func(attempt string) string
	repeat string
	// pause is the time between two blocks of the repeated text.
	pause time.Duration
}

// endlessHeads returns texts of which the process has to keep what it has read until it refuses them.
func endlessHeads() []endlessRow {
	line := "X-Filler: " + strings.Repeat("x", 1000) + "\r\n"
	fixed := func(text string) func(string) string { return func(string) string { return text } }
	chunked := endlessHead("Transfer-Encoding: chunked\r\n")
	return []endlessRow{
		{name: "bytes that are no response", begin: fixed(""), repeat: "\x00\xff"},
		{name: "a status line", begin: fixed("HTTP/1.1 200 "), repeat: "OK"},
		{name: "header lines", begin: fixed("HTTP/1.1 200 OK\r\n"), repeat: line},
		{name: "short header lines", begin: fixed("HTTP/1.1 200 OK\r\n"), repeat: "a:\r\n"},
		{name: "short header lines with distinct names", begin: fixed("HTTP/1.1 200 OK\r\n"), repeat: distinctLines()},
		{name: "many header lines with distinct names, then a few at a time", begin: fixed("HTTP/1.1 200 OK\r\n" + distinctLines()[:60<<10]), repeat: "x:\r\n", pause: endlessWait},
		{name: "one header line", begin: fixed("HTTP/1.1 200 OK\r\nX-Filler: "), repeat: "x"},
		{name: "interim responses", begin: fixed(""), repeat: "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n"},
		{name: "a long header line, then a few bytes at a time", begin: fixed("HTTP/1.1 200 OK\r\nX-Filler: " + strings.Repeat("x", 60<<10)), repeat: "x", pause: endlessWait},
		{name: "a chunk extension", begin: func(id string) string { return chunked(id) + "1;" }, repeat: "x"},
		{name: "a trailer", begin: func(id string) string { return chunked(id) + "0\r\n" }, repeat: line},
		{name: "a trailer with distinct names", begin: func(id string) string { return chunked(id) + "0\r\n" }, repeat: distinctLines()},
	}
}

// endlessBodies returns texts that the process passes on.
func endlessBodies() []endlessRow {
	return []endlessRow{
		{name: "a body without a length", begin: endlessHead(""), repeat: "x"},
		{name: "a body in chunks", begin: endlessHead("Transfer-Encoding: chunked\r\n"), repeat: fmt.Sprintf("%x\r\n%s\r\n", 8<<10, strings.Repeat("x", 8<<10))},
		{name: "a body of another request", begin: func(string) string { return endlessHead("")("another") }, repeat: "x"},
	}
}

// endlessHead returns the head of a response to an attempt with a header line that frames its body.
func endlessHead(framing string) func(attempt string) string {
	return func(attempt string) string { return fake.ResponseHead(attempt, framing) }
}

// TestEndlessResponses guards against the memory for bytes without end that a faulty backend server sends in a head or in a body: the process
// must live, stay within its memory, and serve requests to other backend servers.
func TestEndlessResponses(t *testing.T) {
	check := func(row endlessRow, read bool) {
		t.Run(fmt.Sprintf("%s, read by callers: %t", row.name, read), func(t *testing.T) {
			f, s := newEndless(t, row)
			f.crowd(read)
			t.Logf("%d connections at a time, %d bytes", s.most.Load(), s.sent.Load())
			f.check()
			f.eventually("the connections to the backend server end", func() bool { return s.open.Load() == 0 })
		})
	}
	for _, row := range endlessHeads() {
		check(row, true)
	}
	for _, row := range endlessBodies() {
		check(row, true)
		check(row, false)
	}
}

// faultyStore is a store that can respond to all calls with text without end instead.
type faultyStore struct {
	store *fake.Store
	row   atomic.Pointer[endlessRow]
	sent  atomic.Int64
}

// ServeHTTP implements http.Handler.
func (s *faultyStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	row := s.row.Load()
	if row == nil {
		s.store.ServeHTTP(w, r)
		return
	}
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	c, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	block := strings.Repeat(row.repeat, max(1, floodBlockBytes/len(row.repeat)))
	n, err := io.WriteString(c, row.begin(""))
	for ; err == nil && s.row.Load() == row; n, err = io.WriteString(c, block) {
		s.sent.Add(int64(n))
	}
}

// TestEndlessStore guards against the memory for bytes without end that the store sends: the process must live, stay within its memory, serve
// requests meanwhile, and follow the store again afterwards.
func TestEndlessStore(t *testing.T) {
	const (
		ok   = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
		item = `{"metadata":{"name":"i-a1","revision":9},"spec":{"service":"alpha"}},`
	)
	fixed := func(text string) func(string) string { return func(string) string { return text } }
	for _, row := range []endlessRow{
		{name: "a body that is no JSON", begin: fixed(ok), repeat: "x"},
		{name: "a list", begin: fixed(ok + `{"current_rev":9,"has_more":false,"items":[`), repeat: item},
		{name: "changes", begin: fixed(ok + `{"current_rev":9,"events":[`), repeat: `{"deleted":false,"object":` + strings.TrimSuffix(item, ",") + "},"},
		{name: "nested lists", begin: fixed(ok + `{"current_rev":9,"items":`), repeat: "["},
		{name: "a name", begin: fixed(ok + `{"current_rev":9,"items":[{"metadata":{"name":"`), repeat: "x"},
		{name: "header lines", begin: fixed("HTTP/1.1 200 OK\r\n"), repeat: "a:\r\n"},
		{name: "a header line", begin: fixed("HTTP/1.1 200 OK\r\nX-Filler: "), repeat: "x"},
		{name: "interim responses", begin: fixed(""), repeat: "HTTP/1.1 103 Early Hints\r\n\r\n"},
	} {
		t.Run(row.name, func(t *testing.T) {
			fleet := newFleet(t)
			store := &faultyStore{store: fleet.store}
			server := httptest.NewServer(store)
			t.Cleanup(server.Close)
			t.Cleanup(func() { store.row.Store(nil) })
			fleet.storeAddress = server.Listener.Addr().String()
			f := startFlood(t, fleet, floodMemory, floodBodyBytes)
			store.row.Store(&row)
			server.CloseClientConnections()
			time.Sleep(endlessTime)
			t.Logf("%d bytes", store.sent.Load())
			f.check()
			store.row.Store(nil)
			f.store.Set(fake.KindConfig, fake.NameConfig, fake.Config(3, fake.Route{Prefix: "/write/", Service: "alpha", Timeout: 30},
				fake.Route{Prefix: "/later/", Service: "alpha", Timeout: 30}))
			f.eventually("the process follows the store again", func() bool {
				return f.call(f.host, http.MethodGet, "/later/x", "", "later").status == http.StatusOK
			})
			f.check()
		})
	}
}
