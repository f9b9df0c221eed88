package peer

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// Traffic counts the message bytes of a process's gRPC connections in their encoded and compressed form.
type Traffic struct {
	in  atomic.Uint64
	out atomic.Uint64
}

// In returns the number of bytes received.
func (t *Traffic) In() uint64 { return t.in.Load() }

// Out returns the number of bytes sent.
func (t *Traffic) Out() uint64 { return t.out.Load() }

// trafficHandler is a gRPC stats handler that adds to a Traffic.
type trafficHandler struct{ traffic *Traffic }

// TagRPC implements stats.Handler.
func (m trafficHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (m trafficHandler) HandleRPC(_ context.Context, s stats.RPCStats) {
	switch s := s.(type) {
	case *stats.InPayload:
		m.traffic.in.Add(uint64(s.WireLength))
	case *stats.InHeader:
		m.traffic.in.Add(uint64(max(0, s.WireLength)))
	case *stats.OutPayload:
		m.traffic.out.Add(uint64(s.WireLength))
	}
}

// TagConn implements stats.Handler.
func (m trafficHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn implements stats.Handler.
func (m trafficHandler) HandleConn(context.Context, stats.ConnStats) {}
