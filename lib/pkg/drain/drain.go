// Package drain ends the connections of an HTTP server without dropping a request. http.Server's Shutdown and Close can
// drop a request that is being read while they run, or close its connection.
package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Times of a shutdown.
const (
	// pollInterval is the time between checks whether all connections have ended.
	pollInterval = 2 * time.Millisecond
	// firstRequestTimeout is how long after the start of a shutdown a connection may still send its first request: callers
	// allow a new connection one second.
	firstRequestTimeout = time.Second
	// minIdleTime is how long a connection must have been idle before a shutdown closes it. A request that arrived
	// together with the previous one is read in far less.
	minIdleTime = 50 * time.Millisecond
)

// Tracker follows the connections of one HTTP server, whose listener returns them as wrapped by Wrap and whose ConnState is
// TrackState. It is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// expected counts the connections that were or will be passed to the server, begun those of them that it has begun to serve.
	expected, begun int
	// idleSince holds the time since which each open connection has been idle, or zero if it has a request in flight.
	// served holds the connections that have completed a request.
	idleSince map[*conn]time.Time
	served    map[*conn]bool
}

// New returns a Tracker without connections.
func New() *Tracker {
	return &Tracker{idleSince: map[*conn]time.Time{}, served: map[*conn]bool{}}
}

// Expect announces a connection that will be passed to the server.
func (t *Tracker) Expect() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expected++
}

// Forget withdraws a call of Expect: the connection was not passed to the server.
func (t *Tracker) Forget() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expected--
}

// Wrap returns the connection to pass to the server.
func (*Tracker) Wrap(c net.Conn) net.Conn { return &conn{Conn: c} }

// TrackState records a change of a connection's state.
func (t *Tracker) TrackState(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*conn); ok {
		now := time.Now()
		if limited, ok := c.Conn.(*limitedConn); ok {
			limited.trackState(now, state)
		}
		t.track(now, c, state)
	}
}

func (t *Tracker) track(now time.Time, c *conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew:
		t.begun++
		t.idleSince[c] = now
	case http.StateActive:
		t.idleSince[c] = time.Time{}
	case http.StateIdle:
		c.setIdle()
		t.idleSince[c], t.served[c] = now, true
	case http.StateClosed, http.StateHijacked:
		delete(t.idleSince, c)
		delete(t.served, c)
	}
}

// Begun returns how many connections the server has begun to serve.
func (t *Tracker) Begun() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.begun
}

// Open returns the number of connections that have not ended.
func (t *Tracker) Open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open()
}

func (t *Tracker) open() int { return len(t.idleSince) + t.expected - t.begun }

// Wait closes the connections as they become idle and waits until all have ended. If ctx ends before, it returns the context's
// error; connections are then still open. No connection may be expected any more once it runs.
func (t *Tracker) Wait(ctx context.Context) error {
	begin := time.Now()
	for t.CloseIdle(time.Now(), begin) > 0 {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// CloseIdle closes connections that have been idle for minIdleTime; those without a request yet only when
// firstRequestTimeout has passed since begin, when the connections began to be drained. It returns the number of connections that are still open.
func (t *Tracker) CloseIdle(now, begin time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, since := range t.idleSince {
		idle := !since.IsZero() && now.Sub(since) > minIdleTime
		if idle && (t.served[c] || now.Sub(begin) > firstRequestTimeout) {
			c.closeIfIdle()
		}
	}
	return t.open()
}

// conn is a connection that can be closed safely during a shutdown: closeIfIdle never closes it after the first byte of an
// unanswered request has been read.
type conn struct {
	net.Conn

	mu sync.Mutex
	// busy is true from the first byte of a request until all requests that were read are answered.
	busy   bool
	closed bool
}

// Read implements net.Conn. It discards bytes that arrive after closeIfIdle has closed the connection, so that no
// request is run that can't be answered.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.busy = c.busy || n > 0
	return n, err
}

// CloseWrite closes the sending side. net/http calls it before Close, so that a caller that is still sending can read the
// response.
func (c *conn) CloseWrite() error { return closeWrite(c.Conn) }

func closeWrite(c net.Conn) error {
	if half, ok := c.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets what happens to unsent data when the connection closes; see net.TCPConn.
func (c *conn) SetLinger(seconds int) error { return setLinger(c.Conn, seconds) }

func setLinger(c net.Conn, seconds int) error {
	if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// setIdle records that all requests that were read are answered.
func (c *conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
}

// closeIfIdle closes the connection unless a part of an unanswered request has been read.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy && !c.closed {
		c.closed = true
		_ = c.Close()
	}
}
