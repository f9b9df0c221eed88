// Package reply decides which responses of other systems a client may use, where net/http is more lenient than its callers can be.
package reply

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a client's connection on which a response without a length ends only where the peer ended it. The kernel reports the failure
// of a connection once: if a write of the request gets it, a read sees an ordinary end. Conn returns the failure to both. It also refuses
// heads with folded lines, which a client can't see in what net/http has parsed, and with too many fields.
type Conn struct {
	net.Conn

	// writing is held during a write. It protects failure, the first failure that a write met.
	writing sync.Mutex
	failure error

	// scanning protects head.
	scanning sync.Mutex
	head     headScan
}

// NewConn returns a Conn on a connection.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.recordWrite(err)
	return n, err
}

// WriteBuffers writes buffers, in one system call for many of them where the connection below can.
func (c *Conn) WriteBuffers(buffers net.Buffers) (int64, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := buffers.WriteTo(c.Conn)
	c.recordWrite(err)
	return n, err
}

// recordWrite stores the failure that a write met, if any. EPIPE is none: the kernel returns it where the peer had ended its side before,
// so that all that it sent has arrived. A write past its deadline has met none yet.
func (c *Conn) recordWrite(err error) {
	if c.failure == nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.failure = err
	}
}

// ExpectHead announces that the head of a response comes next, after what was already read of it. It returns an error if that is refused.
func (c *Conn) ExpectHead(read []byte) error {
	c.scanning.Lock()
	defer c.scanning.Unlock()
	c.head.begin()
	return c.head.scan(read)
}

func (c *Conn) scan(p []byte) error {
	c.scanning.Lock()
	defer c.scanning.Unlock()
	return c.head.scan(p)
}

// Read implements net.Conn. At the end of what the peer sent, it also ends a write in progress: no response can follow.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if refused := c.scan(p[:n]); refused != nil {
		return 0, refused
	}
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if failure := c.endWrites(); failure != nil {
		return n, failure
	}
	return n, err
}

// endWrites makes writes fail from now on, waits for the one in progress, and returns the failure that writes met before.
func (c *Conn) endWrites() error {
	if err := c.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.failure
}
