package reply_test

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/lib/pkg/reply"
)

// endedConn is a connection whose writes fail and whose reads see an ordinary end.
type endedConn struct {
	net.Conn
	writeErr error
}

func (c endedConn) Write([]byte) (int, error) { return 0, c.writeErr }

func (endedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (endedConn) SetWriteDeadline(time.Time) error { return nil }

// blockedConn is a connection whose write blocks until its deadline is set, and then meets a failure.
type blockedConn struct {
	endedConn
	begun, deadline chan struct{}
	once            sync.Once
}

func (c *blockedConn) Write(p []byte) (int, error) {
	close(c.begun)
	<-c.deadline
	return c.endedConn.Write(p)
}

func (c *blockedConn) SetWriteDeadline(time.Time) error {
	c.once.Do(func() { close(c.deadline) })
	return nil
}

func assertRead(t *testing.T, c *reply.Conn, want error) {
	t.Helper()
	_, err := c.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, want), "%v", err)
}

// TestEnds guards against a failed connection on which a read sees the ordinary end of a response, as a write got the failure.
func TestEnds(t *testing.T) {
	rows := []struct {
		name           string
		write, readErr error
	}{
		{"no failure", nil, io.EOF},
		{"a reset", syscall.ECONNRESET, syscall.ECONNRESET},
		{"no acknowledgement in time", syscall.ETIMEDOUT, syscall.ETIMEDOUT},
		{"a reset after the peer's end", syscall.EPIPE, io.EOF},
		{"a deadline", os.ErrDeadlineExceeded, io.EOF},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			c := reply.NewConn(endedConn{writeErr: r.write})
			_, _ = c.Write([]byte("x"))
			assertRead(t, c, r.readErr)
		})
		t.Run(r.name+", of several buffers", func(t *testing.T) {
			c := reply.NewConn(endedConn{writeErr: r.write})
			_, _ = c.WriteBuffers(net.Buffers{[]byte("x"), []byte("y")})
			assertRead(t, c, r.readErr)
		})
		t.Run(r.name+", of a write in progress", func(t *testing.T) {
			blocked := &blockedConn{endedConn: endedConn{writeErr: r.write}, begun: make(chan struct{}), deadline: make(chan struct{})}
			c := reply.NewConn(blocked)
			go func() { _, _ = c.Write([]byte("x")) }()
			<-blocked.begun
			assertRead(t, c, r.readErr)
		})
	}
	t.Run("the first failure counts", func(t *testing.T) {
		below := &endedConn{writeErr: syscall.ECONNRESET}
		c := reply.NewConn(below)
		_, _ = c.Write([]byte("x"))
		below.writeErr = syscall.EPIPE
		_, _ = c.Write([]byte("x"))
		assertRead(t, c, syscall.ECONNRESET)
	})
}
