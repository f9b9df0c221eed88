package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rosemarygrade.dev/lib/pkg/plan"
)

// patience is how long a test waits for what must come.
const patience = 10 * time.Second

func newFront(t *testing.T, h http.HandlerFunc) (*Front, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := New(h, l)
	done := make(chan error, 1)
	go func() { done <- f.Run(t.Context()) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		_ = f.Shutdown(ctx)
		assert.NilError(t, <-done)
	})
	return f, l.Addr().String()
}

func open(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(patience)))
	return c, bufio.NewReader(c)
}

// ask sends a request with a header of some length and returns the status.
func ask(t *testing.T, c net.Conn, r *bufio.Reader, headerBytes int) int {
	t.Helper()
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\nLong: "+strings.Repeat("x", headerBytes)+"\r\n\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode
}

func fine(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

func TestLimits(t *testing.T) {
	const long = 40 << 10
	f, address := newFront(t, fine)
	old, oldReader := open(t, address)
	assert.Equal(t, ask(t, old, oldReader, 10), http.StatusOK)
	t.Run("a header that is too long is refused", func(t *testing.T) {
		c, r := open(t, address)
		assert.Equal(t, ask(t, c, r, long), http.StatusRequestHeaderFieldsTooLarge)
	})
	t.Run("new limits hold for new connections", func(t *testing.T) {
		assert.Assert(t, f.SetLimits(plan.Limits{HeaderBytes: 2 * long}))
		c, r := open(t, address)
		assert.Equal(t, ask(t, c, r, long), http.StatusOK)
	})
	t.Run("a connection from before goes on", func(t *testing.T) {
		assert.Equal(t, ask(t, old, oldReader, 10), http.StatusOK)
	})
	t.Run("the same limits change nothing", func(t *testing.T) {
		assert.Assert(t, !f.SetLimits(plan.Limits{HeaderBytes: 2 * long, BodyBytes: 7}))
	})
	for name, limits := range map[string]plan.Limits{
		"an idle connection is closed":             {IdleTimeout: 50 * time.Millisecond},
		"a header that does not arrive is refused": {HeaderTimeout: 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			f.SetLimits(limits)
			c, r := open(t, address)
			if limits.IdleTimeout > 0 {
				assert.Equal(t, ask(t, c, r, 10), http.StatusOK)
			}
			_, err := io.Copy(io.Discard, r)
			assert.NilError(t, err, "the host closes")
		})
	}
}

func TestShutdown(t *testing.T) {
	running, leave := make(chan struct{}, 2), make(chan struct{})
	f, address := newFront(t, func(w http.ResponseWriter, _ *http.Request) {
		running <- struct{}{}
		<-leave
		w.WriteHeader(http.StatusOK)
	})
	status := make(chan int, 2)
	for _, limits := range []plan.Limits{{}, {IdleTimeout: time.Minute}} {
		f.SetLimits(limits)
		c, r := open(t, address)
		go func() { status <- ask(t, c, r, 10) }()
		<-running
	}
	ended := make(chan error, 1)
	go func() { ended <- f.Shutdown(context.Background()) }()
	select {
	case err := <-ended:
		t.Fatalf("requests were cut: %v", err)
	case <-time.After(200 * time.Millisecond):
	}
	close(leave)
	assert.NilError(t, <-ended)
	assert.Equal(t, <-status, http.StatusOK)
	assert.Equal(t, <-status, http.StatusOK)
	_, err := net.Dial("tcp", address)
	assert.Assert(t, err != nil, "no connection is taken")
}

// TestShutdownAnswersLateRequests sends requests after the stop has begun, on connections from before it: one that the
// server knows, and one that is still between the listener and the server, as on a busy machine.
func TestShutdownAnswersLateRequests(t *testing.T) {
	f, address := newFront(t, fine)
	known, knownReader := open(t, address)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.current.left(time.Time{}, time.Time{}) == 1 {
			return poll.Success()
		}
		return poll.Continue("connection not known")
	})
	held, release := make(chan struct{}), make(chan struct{})
	free := sync.OnceFunc(func() { close(release) })
	t.Cleanup(free)
	f.mu.Lock()
	f.current.server.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		close(held)
		<-release
		return ctx
	}
	f.mu.Unlock()
	late, lateReader := open(t, address)
	<-held
	ended := make(chan error, 1)
	go func() { ended <- f.Shutdown(context.Background()) }()
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, ask(t, known, knownReader, 10), http.StatusOK)
	free()
	assert.Equal(t, ask(t, late, lateReader, 10), http.StatusOK)
	assert.NilError(t, <-ended)
}

// TestGuard checks that a connection from which something was read is not closed, and that nothing is read after its end.
func TestGuard(t *testing.T) {
	pair := func() (*guard, net.Conn) {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close(); _ = near.Close() })
		return &guard{Conn: near}, far
	}
	t.Run("read before the end", func(t *testing.T) {
		g, far := pair()
		go func() { _, _ = far.Write([]byte("GET")) }()
		buf := make([]byte, 2)
		_, err := io.ReadFull(g, buf)
		assert.NilError(t, err)
		g.end()
		_, err = io.ReadFull(g, buf[:1])
		assert.NilError(t, err, "it goes on")
		g.rest()
		g.end()
		_, err = g.Read(buf)
		assert.Assert(t, err != nil)
	})
	t.Run("what arrives with the end is not read", func(t *testing.T) {
		g, far := pair()
		g.mu.Lock()
		got := make(chan int, 1)
		go func() {
			n, _ := g.Read(make([]byte, 3))
			got <- n
		}()
		_, err := far.Write([]byte("GET"))
		assert.NilError(t, err)
		g.ended = true
		g.mu.Unlock()
		assert.Equal(t, <-got, 0)
	})
}

func TestShutdownClosesWhatStaysSilent(t *testing.T) {
	f, address := newFront(t, fine)
	_, silent := open(t, address)
	c, idle := open(t, address)
	assert.Equal(t, ask(t, c, idle, 10), http.StatusOK)
	assert.NilError(t, f.Shutdown(context.Background()))
	for _, r := range []*bufio.Reader{silent, idle} {
		_, err := r.ReadByte()
		assert.ErrorIs(t, err, io.EOF)
	}
}
