// Package serve runs the listeners and loops of a process as one group that stops together.
package serve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"rosemarygrade.dev/lib/pkg/fault"
)

// Kind is the kind of a serving error.
type Kind string

// Kinds of errors.
const (
	KindListen Kind = "listen"
	KindServe  Kind = "serve"
)

// Error is the error type of the package.
type Error = fault.Error[Kind]

// Limits of HTTP servers.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 16 << 10
	closeTimeout  = 2 * time.Second
)

// Listen opens listeners for all addresses, or none.
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

// Group runs parts until one fails or the context ends.
type Group struct {
	group *errgroup.Group
	ctx   context.Context //nolint:containedctx // The group's own life is what the context stands for.
}

// NewGroup returns a group that lives as long as ctx.
func NewGroup(ctx context.Context) *Group {
	g, ctx := errgroup.WithContext(ctx)
	return &Group{group: g, ctx: ctx}
}

// Context returns the context that ends when the group stops.
func (g *Group) Context() context.Context { return g.ctx }

// Go runs a part.
func (g *Group) Go(f func(ctx context.Context) error) {
	g.group.Go(func() error { return f(g.ctx) })
}

// Every runs f at each tick of the interval.
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

// HTTP serves a handler until the group stops.
func (g *Group) HTTP(l net.Listener, h http.Handler) {
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
	}
	g.Go(func(context.Context) error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return fault.Wrap("http", KindServe, err)
		}
		return nil
	})
	g.Go(func(ctx context.Context) error {
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
		defer cancel()
		if s.Shutdown(stop) != nil {
			_ = s.Close()
		}
		return nil
	})
}

// GRPC serves a gRPC server until the group stops.
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

// Wait returns the first error once every part has ended.
func (g *Group) Wait() error { return g.group.Wait() }
