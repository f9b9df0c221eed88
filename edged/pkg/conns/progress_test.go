package conns

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"rosemarygrade.dev/edged/pkg/memory"
	"rosemarygrade.dev/lib/pkg/fault"
)

// newReader starts a backend server with a small receive buffer that handles one connection.
func newReader(t *testing.T, handle func(c *net.TCPConn)) string {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 16<<10) })
	}}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if tcp, ok := c.(*net.TCPConn); ok {
			handle(tcp)
		}
	}()
	t.Cleanup(func() { _ = l.Close(); <-done })
	return l.Addr().String()
}

// loseMachine makes the system ignore all packets that arrive for a connection, as if its machine were lost.
func loseMachine(t *testing.T, c *net.TCPConn) {
	t.Helper()
	raw, err := c.SyscallConn()
	assert.NilError(t, err)
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	var opt error
	assert.NilError(t, raw.Control(func(fd uintptr) {
		opt = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop[0]})
	}))
	assert.NilError(t, opt)
}

// upload sends a body of a length, and returns how long that took.
func upload(t *testing.T, address string, bytes int) (resp *Response, took time.Duration, err error) {
	t.Helper()
	body, _ := newBody(t, memory.Unlimited(), bytes)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	begin := time.Now()
	resp, err = NewPool(Dialer(), echo).Send(ctx, "t", address, &Request{ID: "a", Method: "POST", URI: "/", Host: "h", Body: body})
	return resp, time.Since(begin), err
}

// TestSlowReader guards against an upload that ends because its backend server, which is alive, does not read for longer than
// unackedTimeout.
func TestSlowReader(t *testing.T) {
	const bytes = 2 << 20
	for name, pauses := range map[string][]time.Duration{
		"one pause": {unackedTimeout + time.Second}, "a pause in which probes become rare": {3*unackedTimeout + time.Second},
		"several pauses": {unackedTimeout + time.Second/2, unackedTimeout + time.Second/2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := newReader(t, func(c *net.TCPConn) {
				r := bufio.NewReader(c)
				for _, pause := range pauses {
					_, _ = io.CopyN(io.Discard, r, 64<<10)
					time.Sleep(pause)
				}
				_, _ = io.CopyN(io.Discard, r, bytes-int64(len(pauses)*64<<10))
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok")
				_, _ = io.Copy(io.Discard, r)
			})
			resp, _, err := upload(t, address, bytes)
			assert.NilError(t, err)
			assert.Equal(t, resp.Head().Status, 200)
		})
	}
}

// TestLostMachine guards against requests that wait until their deadline for a backend server whose machine is lost.
func TestLostMachine(t *testing.T) {
	for name, row := range map[string]struct {
		bytes int
		// longest is the longest time that the request may take.
		longest time.Duration
		handle  func(t *testing.T, c *net.TCPConn)
	}{
		"before it reads a short request": {1 << 10, unackedTimeout + 2*time.Second, func(t *testing.T, c *net.TCPConn) {
			t.Helper()
			loseMachine(t, c)
			time.Sleep(6 * time.Second)
		}},
		"while it reads an upload": {2 << 20, unackedTimeout + 2*time.Second, func(t *testing.T, c *net.TCPConn) {
			t.Helper()
			_, _ = io.CopyN(io.Discard, c, 256<<10)
			loseMachine(t, c)
			time.Sleep(6 * time.Second)
		}},
		// Probes of a closed window come at intervals that double.
		"after it ceased to read an upload": {2 << 20, 2*time.Second + unackedTimeout + 2*time.Second, func(t *testing.T, c *net.TCPConn) {
			t.Helper()
			time.Sleep(time.Second)
			loseMachine(t, c)
			time.Sleep(8 * time.Second)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, took, err := upload(t, newReader(t, func(c *net.TCPConn) { row.handle(t, c) }), row.bytes)
			assert.Assert(t, err != nil)
			assert.Equal(t, fault.KindOf[Kind](err), KindLost)
			assert.Assert(t, took <= row.longest, "%s", took)
		})
	}
}

// TestSilence guards against taking a backend server for lost that acknowledges what it gets, and the reverse.
func TestSilence(t *testing.T) {
	// lostAfter plays a connection that is looked at every progressInterval, and returns when it counts as lost; 0 means never.
	lostAfter := func(look func(at time.Duration) flight) time.Duration {
		var s silence
		begin := time.Now()
		for at := time.Duration(0); at < 10*time.Second; at += progressInterval {
			if s.isLost(begin.Add(at), look(at)) {
				return at
			}
		}
		return 0
	}
	rows := map[string]struct {
		look func(at time.Duration) flight
		lost time.Duration
	}{
		"nothing to acknowledge": {func(at time.Duration) flight { return flight{sinceSent: at, sinceAck: at} }, 0},
		"bytes sent and answered": {func(time.Duration) flight {
			return flight{unacked: true, sinceSent: 0, sinceAck: 20 * time.Millisecond}
		}, 0},
		"no answer": {func(at time.Duration) flight {
			return flight{unacked: true, sinceSent: at % time.Second, sinceAck: time.Second + at}
		}, unackedTimeout},
		"no answer after long idle": {func(at time.Duration) flight { return flight{unacked: true, sinceSent: at, sinceAck: time.Hour + at} }, unackedTimeout},
		"no answer to a probe":      {func(at time.Duration) flight { return flight{probes: true, sinceSent: at, sinceAck: at} }, unackedTimeout},
		"probes answered at times": {func(at time.Duration) flight {
			return flight{probes: at%time.Second == 0, sinceSent: at, sinceAck: at % time.Second}
		}, 0},
		// Bytes that a shrunk window does not accept are sent again at intervals that double, and answered each time.
		"a shrunk window": {func(at time.Duration) flight { return flight{unacked: true, sinceSent: at, sinceAck: at} }, 0},
	}
	for name, r := range rows {
		t.Run(name, func(t *testing.T) { assert.Equal(t, lostAfter(r.look), r.lost) })
	}
}
