// Package serve runs the servers and loops of a process as one group that stops together.
package serve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"rosemarygrade.dev/lib/pkg/drain"
	"rosemarygrade.dev/lib/pkg/fault"
)

// Kind is the kind of an error of the package.
type Kind string

// Kinds of errors.
const (
	// KindListen means that an address could not be listened on.
	KindListen Kind = "listen"
	// KindServe means that a server stopped with an error.
	KindServe Kind = "serve"
	// KindAbort means that a caller's connection could not be reset.
	KindAbort Kind = "abort"
)

// Error is the error type of the package.
type Error = fault.Error[Kind]

// Limits of HTTP servers.
const (
	headerTimeout   = 5 * time.Second
	idleTimeout     = 2 * time.Minute
	maxHeaderBytes  = 16 << 10
	shutdownTimeout = 2 * time.Second
)

// Listen opens TCP listeners for all addresses. If one fails, it closes the others and returns an error.
func Listen(addresses ...string) ([]net.Listener, error) {
	var out []net.Listener
	for _, a := range addresses {
		l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", a)
		if err != nil {
			for _, open := range out {
				_ = open.Close()
			}
			return nil, fault.Wrap("listen "+a, KindListen, err)
		}
		out = append(out, l)
	}
	return out, nil
}

// Group runs functions concurrently until one fails or the context ends, and then stops all of them.
type Group struct {
	group *errgroup.Group
	ctx   context.Context //nolint:containedctx // The context ends with the group itself, not with a call.
	// stopBy is the time set by StopBy.
	stopBy atomic.Pointer[time.Time]
}

// NewGroup returns a group that stops when ctx ends.
func NewGroup(ctx context.Context) *Group {
	g, ctx := errgroup.WithContext(ctx)
	return &Group{group: g, ctx: ctx}
}

// Context returns the context that ends when the group stops.
func (g *Group) Context() context.Context { return g.ctx }

// StopBy sets the time by which HTTP servers must have ended when the group stops, if that is before shutdownTimeout.
func (g *Group) StopBy(deadline time.Time) { g.stopBy.Store(&deadline) }

// stopContext returns the context in which an HTTP server drains its connections.
func (g *Group) stopContext(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline := time.Now().Add(shutdownTimeout)
	if t := g.stopBy.Load(); t != nil && t.Before(deadline) {
		deadline = *t
	}
	return context.WithDeadline(context.WithoutCancel(ctx), deadline)
}

// Go runs f, which must return when its context ends. An error stops the group.
func (g *Group) Go(f func(ctx context.Context) error) {
	g.group.Go(func() error { return f(g.ctx) })
}

// Every calls f at each interval until the group stops; calls do not overlap.
func (g *Group) Every(interval time.Duration, f func(ctx context.Context, now time.Time)) {
	g.Go(func(ctx context.Context) error {
		t := time.NewTicker(interval)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case now := <-t.C:
				f(ctx, now)
			}
		}
	})
}

// HTTP serves a handler on l until the group stops. Then no more connections are accepted, and requests on those that are open
// get a short time to arrive and to end.
func (g *Group) HTTP(l net.Listener, h http.Handler) { g.HTTPWithLimit(l, h, nil) }

// HTTPWithLimit is HTTP with a limit of the connections; nil means none.
func (g *Group) HTTPWithLimit(l net.Listener, h http.Handler, limit *drain.Limit) {
	d := &drainedListener{Listener: drain.NewListener(l), tracker: drain.New(), limit: limit}
	s := &http.Server{
		Handler: d.closing(h), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: d.tracker.TrackState,
	}
	served := make(chan struct{})
	g.Go(func(context.Context) error {
		defer close(served)
		if err := s.Serve(d); !d.stopping.Load() {
			return fault.Wrap("http", KindServe, err)
		}
		return nil
	})
	g.Go(func(ctx context.Context) error {
		<-ctx.Done()
		d.stopping.Store(true)
		// Serve closes the listener when it returns, so Stop may fail.
		_ = d.Stop()
		<-served
		stop, cancel := g.stopContext(ctx)
		defer cancel()
		_ = d.tracker.Wait(stop)
		_ = s.Close()
		return nil
	})
}

// drainedListener is the listener of an HTTP server whose connections are drained when it stops.
type drainedListener struct {
	*drain.Listener

	tracker  *drain.Tracker
	limit    *drain.Limit
	stopping atomic.Bool
}

// Accept implements net.Listener.
func (d *drainedListener) Accept() (net.Conn, error) {
	for {
		c, err := d.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, admitted := d.limit.Admit(time.Now(), c); admitted {
			d.tracker.Expect()
			return d.tracker.Wrap(c), nil
		}
	}
}

// closing returns a handler that asks callers to close their connections while the server stops.
func (d *drainedListener) closing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// GRPC runs a gRPC server on l until the group stops. Calls in flight are then cancelled.
func (g *Group) GRPC(l net.Listener, s *grpc.Server) {
	g.Go(func(context.Context) error {
		if err := s.Serve(l); err != nil {
			return fault.Wrap("grpc", KindServe, err)
		}
		return nil
	})
	g.Go(func(ctx context.Context) error {
		<-ctx.Done()
		s.Stop()
		return nil
	})
}

// AbortResponse ends a caller's connection in the middle of a response, by http.ErrAbortHandler. To a caller that speaks HTTP/1.0
// the end of the connection can mean the end of the body, so its connection is reset; a failure to do that is passed to
// onError.
func AbortResponse(w http.ResponseWriter, r *http.Request, onError func(err error)) {
	if !r.ProtoAtLeast(1, 1) {
		if err := resetConn(w); err != nil {
			onError(err)
		}
	}
	panic(http.ErrAbortHandler)
}

// resetConn closes a caller's connection with a reset.
func resetConn(w http.ResponseWriter) error {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return fault.Wrap("reset connection", KindAbort, err)
	}
	if l, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		err = l.SetLinger(0)
	}
	return errors.Join(err, c.Close())
}

// Wait waits until all functions have returned and returns the first error.
func (g *Group) Wait() error { return g.group.Wait() }
