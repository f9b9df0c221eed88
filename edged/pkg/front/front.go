// Package front takes callers' connections and serves each within the limits that are in force when it is opened.
package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"rosemarygrade.dev/lib/pkg/fault"
	"rosemarygrade.dev/lib/pkg/plan"
)

// Kind is the kind of an error of the package.
type Kind string

// Kinds of errors.
const (
	// KindAccept means that no more connections can be taken.
	KindAccept Kind = "accept"
	// KindStop means that requests were cut by the end of a stop.
	KindStop Kind = "stop"
)

// Error is the error type of the package.
type Error = fault.Error[Kind]

// Limits while the configuration says nothing: those of the users' sites, the idle time a multiple of theirs.
const (
	defaultHeaderWait  = 3 * time.Second
	defaultIdleWait    = 60 * time.Second
	defaultHeaderBytes = 16 << 10
)

// acceptPause is the pause after a connection that could not be taken, such as for want of descriptors.
const acceptPause = 10 * time.Millisecond

// Times of a stop.
const (
	// stopPoll is how often it is looked whether all connections have ended.
	stopPoll = 2 * time.Millisecond
	// firstWait is how long a connection on which nothing was sent yet may still send its first request: callers give
	// a new connection a second.
	firstWait = time.Second
	// restWait is how long a connection must have rested before it is closed: what came with the last request is
	// taken up in far less.
	restWait = 50 * time.Millisecond
)

// Front serves callers. It is safe for concurrent use.
type Front struct {
	handler  http.Handler
	listener net.Listener
	// taken is closed when no more connections are taken.
	taken chan struct{}

	mu      sync.Mutex
	limits  plan.Limits
	current *lane
	lanes   []*lane
}

// lane is a server with the connections that were opened under its limits.
type lane struct {
	server *http.Server
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
	addr   net.Addr

	mu sync.Mutex
	// handed is how many connections were given to the server, known how many it has begun to serve.
	handed, known int
	// open holds the connections, and since when they rest; a zero time says that they don't. served are those that
	// have had a request.
	open   map[*guard]time.Time
	served map[*guard]bool
}

// guard is a connection that is closed only while nothing of a request has been read from it.
type guard struct {
	net.Conn

	mu    sync.Mutex
	busy  bool
	ended bool
}

// Read implements net.Conn. What comes after the end is not read: nobody may act on it.
func (g *guard) Read(p []byte) (int, error) {
	n, err := g.Conn.Read(p)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		return 0, net.ErrClosed
	}
	g.busy = g.busy || n > 0
	return n, err
}

// CloseWrite lets the server end its side first, so that the caller can read an answer to what it still sends.
func (g *guard) CloseWrite() error {
	if c, ok := g.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return nil
}

// rest says that all requests that were read are answered.
func (g *guard) rest() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.busy = false
}

// end closes the connection unless something of a request has been read.
func (g *guard) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.busy && !g.ended {
		g.ended = true
		_ = g.Close()
	}
}

// watch follows the states of connections.
func (l *lane) watch(now time.Time, g *guard, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew:
		l.known++
		l.open[g] = now
	case http.StateActive:
		l.open[g] = time.Time{}
	case http.StateIdle:
		g.rest()
		l.open[g], l.served[g] = now, true
	case http.StateClosed, http.StateHijacked:
		delete(l.open, g)
		delete(l.served, g)
	}
}

// hand gives a connection to the server, and tells whether it takes it.
func (l *lane) hand(c net.Conn) bool {
	select {
	case l.conns <- c:
		l.mu.Lock()
		defer l.mu.Unlock()
		l.handed++
		return true
	case <-l.closed:
		return false
	}
}

// left closes the connections that rest, and the new ones on which nothing has come for a while of the stop, and
// returns how many connections are left.
func (l *lane) left(now, begin time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for g, since := range l.open {
		rests := !since.IsZero() && now.Sub(since) > restWait
		if rests && (l.served[g] || now.Sub(begin) > firstWait) {
			g.end()
		}
	}
	return len(l.open) + l.handed - l.known
}

// Accept implements net.Listener.
func (l *lane) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return &guard{Conn: c}, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *lane) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *lane) Addr() net.Addr { return l.addr }

// New returns a front on a listener. Nothing is taken before Run.
func New(handler http.Handler, listener net.Listener) *Front {
	f := &Front{handler: handler, listener: listener, taken: make(chan struct{})}
	f.open(plan.Limits{})
	return f
}

// SetLimits puts limits into force for connections that are opened from now on, and tells whether they are others
// than before.
func (f *Front) SetLimits(limits plan.Limits) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	// The length of bodies is checked for each request.
	limits.BodyBytes = 0
	if limits == f.limits {
		return false
	}
	f.open(limits)
	return true
}

// open starts a server with the limits. Earlier ones keep their connections.
func (f *Front) open(limits plan.Limits) {
	l := &lane{conns: make(chan net.Conn), closed: make(chan struct{}), addr: f.listener.Addr(), open: map[*guard]time.Time{}, served: map[*guard]bool{}}
	l.server = &http.Server{
		Handler: f.handler, ReadHeaderTimeout: defaultHeaderWait, IdleTimeout: defaultIdleWait, MaxHeaderBytes: defaultHeaderBytes,
		ConnState: func(c net.Conn, state http.ConnState) {
			if g, ok := c.(*guard); ok {
				l.watch(time.Now(), g, state)
			}
		},
	}
	if limits.HeaderTimeout > 0 {
		l.server.ReadHeaderTimeout = limits.HeaderTimeout
	}
	if limits.IdleTimeout > 0 {
		l.server.IdleTimeout = limits.IdleTimeout
	}
	if limits.HeaderBytes > 0 {
		l.server.MaxHeaderBytes = limits.HeaderBytes
	}
	f.limits, f.current = limits, l
	f.lanes = append(f.lanes, l)
	go func() {
		// It returns when the lane is closed, which its own Accept says.
		_ = l.server.Serve(l)
	}()
}

// Run takes connections until the front is shut down.
func (f *Front) Run(context.Context) error {
	defer close(f.taken)
	for {
		c, err := f.listener.Accept()
		var temporary net.Error
		switch {
		case err == nil:
			f.hand(c)
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.As(err, &temporary):
			time.Sleep(acceptPause)
		default:
			return fault.Wrap("accept", KindAccept, err)
		}
	}
}

// hand gives a connection to the server of the present limits.
func (f *Front) hand(c net.Conn) {
	f.mu.Lock()
	l := f.current
	f.mu.Unlock()
	if !l.hand(c) {
		_ = c.Close()
	}
}

// Shutdown takes no more connections and waits until all requests are answered or the context ends.
func (f *Front) Shutdown(ctx context.Context) error {
	closing := f.listener.Close()
	<-f.taken
	f.mu.Lock()
	lanes := f.lanes
	f.mu.Unlock()
	var group sync.WaitGroup
	finishing := make([]error, len(lanes))
	for i, l := range lanes {
		group.Go(func() { finishing[i] = l.finish(ctx) })
	}
	group.Wait()
	if err := errors.Join(closing, errors.Join(finishing...)); err != nil {
		return fault.Wrap("shutdown", KindStop, err)
	}
	return nil
}

// finish waits for the answers to all requests. The server's own ways of a stop drop a request that is read beside them
// or close its connection, so they are not used before the last connection has ended. The handler asks callers
// to close theirs.
func (l *lane) finish(ctx context.Context) error {
	begin := time.Now()
	for l.left(time.Now(), begin) > 0 {
		if ctx.Err() != nil {
			return errors.Join(ctx.Err(), l.server.Close())
		}
		time.Sleep(stopPoll)
	}
	return l.server.Close()
}
