package peer

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// Traffic counts the message bytes of a process's gRPC connections, as they pass on the wire.
type Traffic struct {
	in  atomic.Uint64
	out atomic.Uint64
}

// In returns the bytes that came.
func (t *Traffic) In() uint64 { return t.in.Load() }

// Out returns the bytes that went.
func (t *Traffic) Out() uint64 { return t.out.Load() }

// meter is a grpc stats handler that feeds a Traffic.
type meter struct{ traffic *Traffic }

// TagRPC implements stats.Handler.
func (m meter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (m meter) HandleRPC(_ context.Context, s stats.RPCStats) {
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
func (m meter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (m meter) HandleConn(context.Context, stats.ConnStats) {}
