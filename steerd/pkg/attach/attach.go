// Package attach serves the Attach streams of entryds: it stores their reports in the member table
// and sends them views of configuration and membership.
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

// New returns a server that sends each entryd a view after every configuration change and at least
// once an interval.
func New(n *node.Node, interval time.Duration, log *slog.Logger) *Server {
	return &Server{node: n, interval: interval, log: log}
}

// Serve runs one stream until it ends and returns the stream's error.
func (s *Server) Serve(stream peerpb.Control_AttachServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	s.observe(first)
	s.log.Info("entryd attached", "host", first.GetSelf().GetHost())
	defer s.log.Info("entryd detached", "host", first.GetSelf().GetHost())
	var nonce atomic.Uint64
	nonce.Store(first.GetNonce())
	go s.receive(stream, &nonce)
	return s.send(stream, &nonce)
}

func (s *Server) observe(r *peerpb.Report) {
	s.node.WithTable(func(t *member.Table) { t.Observe(time.Now(), r.GetSelf()) })
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

// send sends views until the stream ends: the records changed since the last view, and the full list
// of members if it has changed.
func (s *Server) send(stream peerpb.Control_AttachServer, nonce *atomic.Uint64) error {
	var (
		position    uint64
		membersHash uint64
	)
	tick := time.NewTicker(s.interval)
	defer tick.Stop()
	for {
		changed := s.node.Store().Changed()
		v := &peerpb.View{Echo: nonce.Load(), Ready: s.node.Ready(), ConfigHash: s.node.Store().Hash()}
		v.Records, position = s.node.Store().Since(position)
		alive := s.node.Alive(time.Now())
		if h := member.Hash(alive); h != membersHash {
			membersHash = h
			v.Members, v.FullMembers = alive, true
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
