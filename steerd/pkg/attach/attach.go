// Package attach serves the entryds that are attached to this steerd: their reports go into the
// member table, and views of configuration and membership go back.
package attach

import (
	"log/slog"
	"sync/atomic"
	"time"

	"rosemarygrade.dev/lib/pkg/member"
	"rosemarygrade.dev/lib/pkg/peerpb"
	"rosemarygrade.dev/steerd/pkg/node"
)

// Server serves Attach streams.
type Server struct {
	node     *node.Node
	interval time.Duration
	log      *slog.Logger
}

// New returns a server that sends a view at least once an interval.
func New(n *node.Node, interval time.Duration, log *slog.Logger) *Server {
	return &Server{node: n, interval: interval, log: log}
}

// Serve runs one stream.
func (s *Server) Serve(stream peerpb.Control_AttachServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	s.observe(first)
	s.log.Info("attached", "host", first.GetSelf().GetHost())
	defer s.log.Info("detached", "host", first.GetSelf().GetHost())
	var nonce atomic.Uint64
	nonce.Store(first.GetNonce())
	go s.receive(stream, &nonce)
	return s.send(stream, &nonce)
}

func (s *Server) observe(r *peerpb.Report) {
	s.node.With(func(t *member.Table) { t.Observe(time.Now(), r.GetSelf()) })
}

func (s *Server) receive(stream peerpb.Control_AttachServer, nonce *atomic.Uint64) {
	for {
		r, err := stream.Recv()
		if err != nil {
			return
		}
		s.observe(r)
		nonce.Store(r.GetNonce())
	}
}

func (s *Server) send(stream peerpb.Control_AttachServer, nonce *atomic.Uint64) error {
	var (
		position uint64
		members  uint64
	)
	tick := time.NewTicker(s.interval)
	defer tick.Stop()
	for {
		changed := s.node.Store().Changed()
		v := &peerpb.View{Echo: nonce.Load(), Ready: s.node.Ready(), ConfigHash: s.node.Store().Hash()}
		v.Records, position = s.node.Store().Since(position)
		live := s.node.Live(time.Now())
		if h := member.Hash(live); h != members {
			members = h
			v.Members, v.FullMembers = live, true
		}
		if err := stream.Send(v); err != nil {
			return err
		}
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-changed:
		case <-tick.C:
		}
	}
}
