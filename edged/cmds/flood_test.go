package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"net/http"
	"os"
	"os/exec" //nolint:house // The memory of an edged can only be measured in a process of its own, without the race detector.
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/platform/fake"
)

// Limits of the floods' process, and the size of the floods.
const (
	floodMemory      = 96
	floodDescriptors = 600
	floodBodyBytes   = 4 << 20
	// floodCallers is the number of connections that send bodies, and floodConns the number of those that only occupy descriptors.
	floodCallers = 40
	floodReaders = 100
	floodConns   = 900
	// floodWriteTimeout ends the writes of callers whose connection the process no longer reads.
	floodWriteTimeout = 5 * time.Second
	floodBlockBytes   = 64 << 10
	// The smallest host and the longest body of the deployments.
	smallestMemory = 184
	largestBody    = 64 << 20
)

// flood is a real edged process with lowered limits, and the connections that a test opens to it.
type flood struct {
	*fleet

	host    *testHost
	command *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
	// descriptors is the highest number of open descriptors that was seen.
	descriptors atomic.Int64
}

// newFlood starts a process with the limits of the floods.
func newFlood(t *testing.T) *flood {
	t.Helper()
	return newFloodWith(t, floodMemory, floodBodyBytes)
}

// newFloodWith is newFlood with another limit of the process's memory and one of bodies.
func newFloodWith(t *testing.T, megabytes, bodyBytes int) *flood {
	t.Helper()
	return startFlood(t, newFleet(t), megabytes, bodyBytes)
}

// TestMain removes the program that startFlood has built.
func TestMain(m *testing.M) {
	code := m.Run()
	if built.Load() {
		if program, err := buildProgram(); err == nil {
			_ = os.RemoveAll(filepath.Dir(program))
		}
	}
	os.Exit(code)
}

var built atomic.Bool

// buildProgram builds edged, once for all tests, and returns its path.
var buildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "edged")
	if err != nil {
		return "", err
	}
	built.Store(true)
	program := filepath.Join(dir, "edged")
	out, err := exec.Command("go", "build", "-o", program, "rosemarygrade.dev/edged").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return program, nil
})

// startFlood builds edged, starts a process on a fleet with a limit of its memory and one of bodies, and waits until it serves.
func startFlood(t *testing.T, fleet *fleet, megabytes, bodyBytes int) *flood {
	t.Helper()
	f := &flood{fleet: fleet, exited: make(chan struct{})}
	config := fake.Config(1, fake.Route{Prefix: "/read/", Idempotent: true, Service: "alpha", Timeout: 30},
		fake.Route{Prefix: "/write/", Service: "alpha", Timeout: 30})
	limited := strings.Replace(config, `"max_body_bytes":1048576`, fmt.Sprintf(`"max_body_bytes":%d`, bodyBytes), 1)
	assert.Assert(t, limited != config)
	f.store.Set(fake.KindConfig, fake.NameConfig, limited)
	program, err := buildProgram()
	assert.NilError(t, err)
	const ip = "127.0.9.1"
	ports := freePorts(t, ip, 7)
	at := func(n int) string { return fmt.Sprintf("%s:%d", ip, ports[n]) }
	s := NewSettings()
	s.Host, s.IP, s.DataCentre, s.Region, s.Regions = "flooded", ip, "north-a", "north", map[string]string{"north-a": "north", "south-a": "south"}
	s.CallerAddress, s.ReadyAddress, s.LookupAddress, s.AdminAddress = at(0), at(1), at(2), at(3)
	s.PeerPorts, s.StoreAddress, s.RepeatSlack, s.MetricsPort = []int{ports[4], ports[5]}, f.storeAddress, 60, ports[6]
	s.MemoryMegabytes, s.MaxDescriptors = megabytes, floodDescriptors
	data, err := json.Marshal(s)
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(path, data, 0o600))
	f.host = &testHost{settings: s}
	f.hosts = []*testHost{f.host}
	f.command = exec.Command(program, "--settings", path)
	f.command.Stderr = os.Stderr
	assert.NilError(t, f.command.Start())
	go func() {
		_ = f.command.Wait()
		close(f.exited)
	}()
	t.Cleanup(func() {
		_ = f.command.Process.Kill()
		<-f.exited
	})
	f.eventually("the process serves", func() bool { return f.isReady(f.host) && f.ordinary() })
	go f.countDescriptors()
	return f
}

// ordinary sends a request with a small body on a new connection, and reports whether its response arrives.
func (f *flood) ordinary() bool {
	f.t.Helper()
	const body = "ordinary"
	http.DefaultClient.CloseIdleConnections()
	got := f.call(f.host, http.MethodPost, "/write/x", body, "ordinary")
	return got.err == nil && got.status == http.StatusOK && got.body == "hello "+body
}

// countDescriptors records the highest number of open descriptors until the process ends.
func (f *flood) countDescriptors() {
	for {
		select {
		case <-f.exited:
			return
		case <-time.After(20 * time.Millisecond):
			f.sampleDescriptors()
		}
	}
}

func (f *flood) sampleDescriptors() {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", f.command.Process.Pid))
	if err != nil {
		// The process has ended.
		return
	}
	for n, old := int64(len(entries)), f.descriptors.Load(); n > old && !f.descriptors.CompareAndSwap(old, n); old = f.descriptors.Load() {
	}
}

// peakMegabytes returns the peak resident memory of the process.
func (f *flood) peakMegabytes() int {
	f.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.command.Process.Pid))
	assert.NilError(f.t, err, "the process lives")
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			assert.NilError(f.t, err)
			return kilobytes / 1024
		}
	}
	f.t.Fatal("no VmHWM: the process has ended")
	return 0
}

// check checks the bounds of the settings while the connections of the flood are still open, and again after an ordinary request.
func (f *flood) check() {
	f.t.Helper()
	f.checkBounds()
	f.eventually("an ordinary request is answered", f.ordinary)
	f.checkBounds()
}

func (f *flood) checkBounds() {
	f.t.Helper()
	select {
	case <-f.exited:
		f.t.Fatalf("the process ended: %v", f.command.ProcessState)
	default:
	}
	f.sampleDescriptors()
	peak, descriptors, megabytes := f.peakMegabytes(), f.descriptors.Load(), f.host.settings.MemoryMegabytes
	f.t.Logf("peak resident memory %d MB, %d descriptors", peak, descriptors)
	assert.Check(f.t, peak <= megabytes, "peak resident memory %d MB, limit %d MB", peak, megabytes)
	assert.Check(f.t, descriptors <= floodDescriptors, "%d open descriptors, limit %d", descriptors, floodDescriptors)
}

// dial opens a connection that stays open until the test ends. It returns nil if the process does not accept it.
func (f *flood) dial() net.Conn {
	f.t.Helper()
	c, err := (&net.Dialer{Timeout: testTimeout}).DialContext(f.t.Context(), "tcp", f.host.settings.CallerAddress)
	if err != nil {
		return nil
	}
	f.t.Cleanup(func() { _ = c.Close() })
	return c
}

// send opens n connections at the same time and sends the head of a request and the blocks of its body on each. A process that closes
// a connection, or no longer reads it, ends the writes on it.
func (f *flood) send(n int, head string, blocks func(write func(block string) bool)) {
	f.t.Helper()
	var group sync.WaitGroup
	for i := range n {
		c := f.dial()
		if c == nil {
			continue
		}
		group.Go(func() {
			_ = c.SetWriteDeadline(time.Now().Add(floodWriteTimeout))
			write := func(block string) bool {
				_, err := io.WriteString(c, block)
				return err == nil
			}
			line := fmt.Sprintf("POST /write/x HTTP/1.1\r\nHost: %s\r\n%s: flood-%d\r\n", fake.RouteHost, fake.HeaderAttempt, i)
			if write(line + head) {
				blocks(write)
			}
		})
	}
	group.Wait()
}

// filler writes a number of bytes in blocks.
func filler(bytes int) func(write func(block string) bool) {
	block := strings.Repeat("x", floodBlockBytes)
	return func(write func(block string) bool) {
		for left := bytes; left > 0 && write(block[:min(left, len(block))]); left -= len(block) {
		}
	}
}

// TestFloodAnnounced guards against memory for bodies of permitted length that stop short of their end.
func TestFloodAnnounced(t *testing.T) {
	f := newFlood(t)
	f.send(floodCallers, fmt.Sprintf("Content-Length: %d\r\n\r\n", floodBodyBytes), filler(floodBodyBytes-10))
	f.check()
}

// TestFloodLargeChunks guards against memory for bodies that consist of one large unfinished chunk.
func TestFloodLargeChunks(t *testing.T) {
	f := newFlood(t)
	f.send(floodCallers, fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", floodBodyBytes), filler(floodBodyBytes-10))
	f.check()
}

// TestFloodSmallChunks guards against memory for unfinished bodies in chunks of one byte.
func TestFloodSmallChunks(t *testing.T) {
	const (
		chunk  = "1\r\nx\r\n"
		chunks = 3 << 20
		block  = 10 << 10
	)
	f := newFlood(t)
	text := strings.Repeat(chunk, block)
	f.send(floodCallers, "Transfer-Encoding: chunked\r\n\r\n", func(write func(block string) bool) {
		for left := chunks; left > 0 && write(text); left -= block {
		}
	})
	f.check()
}

// TestFloodTooLongAnnounced guards against memory for bodies whose announced length is far over the limit.
func TestFloodTooLongAnnounced(t *testing.T) {
	f := newFlood(t)
	f.send(floodCallers, fmt.Sprintf("Content-Length: %d\r\n\r\n", 1<<40), filler(4*floodBodyBytes))
	f.check()
}

// TestFloodTooLongChunked guards against memory for bodies that grow far over the limit without an announced length.
func TestFloodTooLongChunked(t *testing.T) {
	f := newFlood(t)
	block := fmt.Sprintf("%x\r\n%s\r\n", floodBlockBytes, strings.Repeat("x", floodBlockBytes))
	f.send(floodCallers, "Transfer-Encoding: chunked\r\n\r\n", func(write func(block string) bool) {
		for left := 4 * floodBodyBytes; left > 0 && write(block); left -= floodBlockBytes {
		}
	})
	f.check()
}

// TestFloodUnreadResponses guards against memory for pipelined requests whose responses nobody reads.
func TestFloodUnreadResponses(t *testing.T) {
	const (
		bytes    = 240 << 10
		requests = 40
	)
	f := newFlood(t)
	head := fmt.Sprintf("Content-Length: %d\r\n\r\n", bytes)
	next := fmt.Sprintf("POST /write/x HTTP/1.1\r\nHost: %s\r\n%s: next\r\n%s", fake.RouteHost, fake.HeaderAttempt, head)
	body := strings.Repeat("x", bytes)
	f.send(floodReaders, head, func(write func(block string) bool) {
		for n := 0; n < requests && write(body) && write(next); n++ {
		}
	})
	f.check()
}

// TestFloodHeaders guards against memory and descriptors for request headers that are not sent completely.
func TestFloodHeaders(t *testing.T) {
	f := newFlood(t)
	half := "X: " + strings.Repeat("x", 15<<10)
	for range floodConns {
		c := f.dial()
		if c == nil {
			continue
		}
		_ = c.SetWriteDeadline(time.Now().Add(floodWriteTimeout))
		_, err := io.WriteString(c, "GET /read/x HTTP/1.1\r\nHost: "+fake.RouteHost+"\r\n"+half)
		assert.Check(t, !errors.Is(err, fs.ErrClosed))
	}
	f.check()
}

// TestFloodIdle guards against running out of descriptors by idle connections: the process must keep some for its own use.
func TestFloodIdle(t *testing.T) {
	f := newFlood(t)
	for range floodConns {
		f.dial()
	}
	f.check()
}

// TestFloodOtherPorts guards against idle connections to the other ports that keep callers, look-ups, the platform's check or operators out.
func TestFloodOtherPorts(t *testing.T) {
	f := newFlood(t)
	s := f.host.settings
	ports := []string{s.ReadyAddress, s.LookupAddress, s.AdminAddress, fmt.Sprintf("%s:%d", s.IP, s.MetricsPort), fmt.Sprintf("%s:%d", s.IP, s.PeerPorts[0])}
	for _, address := range ports {
		for range floodConns / len(ports) {
			c, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			t.Cleanup(func() { _ = c.Close() })
		}
	}
	f.eventually("the other servers respond", func() bool {
		resp, err := http.Get("http://" + s.AdminAddress + pathMetrics)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK && f.isReady(f.host)
	})
	f.check()
}

// TestFloodMixed guards against floods that are bounded one by one but not together.
func TestFloodMixed(t *testing.T) {
	const callers = 20
	f := newFlood(t)
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", floodBodyBytes)
	var group sync.WaitGroup
	for _, flood := range []func(){
		func() { f.send(callers, length, filler(floodBodyBytes-10)) },
		func() { f.send(callers, length, filler(floodBodyBytes)) },
		func() { f.send(callers, "Transfer-Encoding: chunked\r\n\r\n400000\r\n", filler(floodBodyBytes-10)) },
		func() { f.send(callers, "Transfer-Encoding: chunked\r\n\r\n", filler(0)) },
		func() { f.send(callers, "X: "+strings.Repeat("x", 15<<10), filler(0)) },
		func() {
			request := fmt.Sprintf("Content-Length: 200000\r\n\r\n%sPOST /write/x HTTP/1.1\r\nHost: %s\r\n", strings.Repeat("x", 200000), fake.RouteHost)
			f.send(callers, strings.Repeat(request, 10), filler(0))
		},
	} {
		group.Go(flood)
	}
	group.Wait()
	f.check()
}

// TestFloodComplete guards against memory for complete bodies of permitted length that are all in progress at the same time.
func TestFloodComplete(t *testing.T) {
	f := newFlood(t)
	for _, b := range f.backends {
		b.SetServiceTime(time.Second)
	}
	f.send(floodCallers, fmt.Sprintf("Content-Length: %d\r\n\r\n", floodBodyBytes), filler(floodBodyBytes))
	f.check()
}

// TestFloodLargest guards against rejecting a single body of the permitted length where the process has no other load.
func TestFloodLargest(t *testing.T) {
	f := newFloodWith(t, smallestMemory, largestBody)
	// The time of the route: on a busy machine a body of 64 MiB and its echo take longer than other callers wait.
	const timeout = 30 * time.Second
	ctx, cancel := context.WithTimeout(t.Context(), 2*timeout)
	defer cancel()
	body := strings.Repeat("x", largestBody)
	assertServed(t, f.callWithin(ctx, f.host, http.MethodPost, "/write/x", body, "largest", nil, timeout), body)
	f.check()
}
