package conns

import (
	"net"
	"sync/atomic"
)

// openCount counts the open connections.
type openCount struct{ n, max atomic.Int64 }

func (o *openCount) remove() { o.n.Add(-1) }

// SetMaxConns sets the number of open connections above which idle ones are closed, those that have been idle longest first. Connections
// in use are bounded by those of callers.
func (p *Pool) SetMaxConns(n int) { p.open.max.Store(int64(n)) }

// Open returns the number of connections that are open or being opened.
func (p *Pool) Open() int { return int(p.open.n.Load()) }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closed.Do(c.open.remove)
	return c.Conn.Close()
}

// abort closes the connection by a reset. After an ordinary close, the system goes on delivering what was written: a request that was given
// up could arrive, and run, seconds later.
func (c *conn) abort() {
	if tcp, ok := c.NetConn().(*net.TCPConn); ok {
		// A connection that can't be reset is closed all the same.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// makeRoom counts a connection that is about to be opened, and closes idle ones if there are too many.
func (p *Pool) makeRoom() {
	limit := p.open.max.Load()
	for n := p.open.n.Add(1); limit > 0 && n > limit && p.closeOldestIdle(); n = p.open.n.Load() {
	}
}

// closeOldestIdle closes the connection that has been idle longest, and reports whether there was one.
func (p *Pool) closeOldestIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest *conn
	for _, list := range p.idle {
		// The first of a list has been idle longest.
		if len(list) > 0 && (oldest == nil || list[0].idleSince.Before(oldest.idleSince)) {
			oldest = list[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.idle[oldest.target] = p.idle[oldest.target][1:]
	_ = oldest.Close()
	return true
}
