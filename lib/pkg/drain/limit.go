package drain

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// idleBytes is the memory of an open connection without a request: its buffers and its goroutine. 900 of them added 5 MB.
	idleBytes = 8 << 10
	// headFactor is the memory of a request's head as a multiple of the bytes read: it is read, decoded and forwarded. While heads of 15 KB
	// were being read, each took 28 KB.
	headFactor = 3
	// headStallTime is how long a head must have been incomplete for its connection to be closed in favour of others.
	headStallTime = time.Second
)

// Limit bounds the connections of a server and the memory that they and the heads of their requests occupy. Above it, the connection
// that has been idle longest is closed, then one whose request head has been incomplete for longest; otherwise new connections are not
// admitted. It is made for callers that open connections and send nothing, or only a part of a head. It is safe for concurrent use.
type Limit struct {
	maxConns int
	maxBytes int64

	mu    sync.Mutex
	conns int
	bytes int64
	// idle and heads hold the *limitedConn that are idle or whose request head is incomplete, that for the longest time first.
	idle, heads list.List
	refused     int64
}

// NewLimit returns a limit of the number of connections and of their memory; 0 means no limit of memory.
func NewLimit(maxConns int, maxBytes int64) *Limit {
	return &Limit{maxConns: maxConns, maxBytes: maxBytes}
}

// Open returns the number of open connections.
func (l *Limit) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns
}

// Ended returns the number of connections that were closed because of the limit.
func (l *Limit) Ended() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refused
}

// limitedConn is a connection that counts towards a Limit. The limit's lock protects all fields but the embedded connection and active.
type limitedConn struct {
	net.Conn

	limit *Limit
	bytes int64
	since time.Time
	// in is the list that contains the connection at place; both are nil while a request is in progress.
	in     *list.List
	place  *list.Element
	closed bool
	// active is true from the end of a request's head until the response is complete.
	active atomic.Bool
}

// Admit returns the connection to use in place of c. If there is no room for it, it closes c and returns false. A nil limit admits all.
func (l *Limit) Admit(now time.Time, c net.Conn) (net.Conn, bool) {
	if l == nil {
		return c, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.conns >= l.maxConns || l.isOver(idleBytes) {
		if !l.evict(now) {
			l.refused++
			_ = c.Close()
			return nil, false
		}
	}
	limited := &limitedConn{Conn: c, limit: l, bytes: idleBytes}
	l.conns++
	l.bytes += idleBytes
	limited.moveTo(&l.idle, now)
	return limited, true
}

// isOver reports whether n more bytes exceed the limit.
func (l *Limit) isOver(n int64) bool { return l.maxBytes > 0 && l.bytes+n > l.maxBytes }

// evict closes the connection that has been idle longest, or one with an incomplete head. It returns false if there is none.
func (l *Limit) evict(now time.Time) bool {
	for _, row := range []struct {
		from *list.List
		age  time.Duration
	}{{&l.idle, minIdleTime}, {&l.heads, headStallTime}} {
		if first := row.from.Front(); first != nil {
			if c, ok := first.Value.(*limitedConn); ok && now.Sub(c.since) >= row.age {
				l.refused++
				c.end()
				return true
			}
		}
	}
	return false
}

// moveTo puts the connection at the end of a list, or in none. The limit's lock must be held, as for end.
func (c *limitedConn) moveTo(to *list.List, now time.Time) {
	if c.place != nil {
		c.in.Remove(c.place)
	}
	c.in, c.place, c.since = to, nil, now
	if to != nil {
		c.place = to.PushBack(c)
	}
}

// end closes the connection and stops counting it.
func (c *limitedConn) end() {
	if c.closed {
		return
	}
	c.closed = true
	c.moveTo(nil, c.since)
	c.limit.conns--
	c.limit.bytes -= c.bytes
	_ = c.Conn.Close()
}

// Read implements net.Conn. Bytes that arrive while the connection is being closed are discarded, so that their request does not run.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.active.Load() && !c.receiveHead(time.Now(), n) {
		return 0, net.ErrClosed
	}
	return n, err
}

// receiveHead counts bytes of a request's head. It returns false if the connection is closed, or was closed as there is no room for them.
func (c *limitedConn) receiveHead(now time.Time, n int) bool {
	l := c.limit
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.closed {
		return false
	}
	if c.in != &l.heads {
		c.moveTo(&l.heads, now)
	}
	c.bytes += int64(n) * headFactor
	l.bytes += int64(n) * headFactor
	for l.isOver(0) && !c.closed {
		if !l.evict(now) {
			l.refused++
			c.end()
		}
	}
	return !c.closed
}

// trackState records a change of the connection's state.
func (c *limitedConn) trackState(now time.Time, state http.ConnState) {
	c.limit.mu.Lock()
	defer c.limit.mu.Unlock()
	if c.closed {
		return
	}
	switch state {
	case http.StateActive:
		c.active.Store(true)
		c.moveTo(nil, now)
	case http.StateIdle:
		c.active.Store(false)
		c.limit.bytes -= c.bytes - idleBytes
		c.bytes = idleBytes
		c.moveTo(&c.limit.idle, now)
	default:
		// Admit and Close count new and closed connections.
	}
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.limit.mu.Lock()
	defer c.limit.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.end()
	return nil
}

// CloseWrite closes the sending side, see conn.
func (c *limitedConn) CloseWrite() error { return closeWrite(c.Conn) }

// SetLinger sets what happens to unsent data when the connection closes; see net.TCPConn.
func (c *limitedConn) SetLinger(seconds int) error { return setLinger(c.Conn, seconds) }
