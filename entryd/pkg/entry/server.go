package entry

import (
	"context"
	"sync/atomic"
	"time"

	"rosemarygrade.dev/entryd/pkg/dedup"
	"rosemarygrade.dev/entryd/pkg/flow"
	"rosemarygrade.dev/entryd/pkg/links"
	"rosemarygrade.dev/entryd/pkg/owner"
	"rosemarygrade.dev/lib/pkg/fault"
	"rosemarygrade.dev/lib/pkg/model"
	"rosemarygrade.dev/lib/pkg/peerpb"
)

// Handler is what the process does for its peers.
type Handler interface {
	// AsOwner serves a request of a site that this process owns.
	AsOwner(ctx context.Context, req *flow.Request, sink flow.Sink) flow.Result
	// AsHome serves a request whose key names this process, as if the caller had sent it here.
	AsHome(ctx context.Context, req *flow.Request, sink flow.Sink) flow.Result
	// Outcome tells what this process knows of a key.
	Outcome(now time.Time, key string) dedup.Known
	// Inherit keeps the records of a process that stops.
	Inherit(book *peerpb.InheritRequest)
}

// Server serves peers.
type Server struct {
	peerpb.UnimplementedDataServer

	incarnation uint64
	handler     Handler
	owner       *owner.Owner
	links       *links.Links
	active      atomic.Int64
}

// NewServer returns a server.
func NewServer(incarnation uint64, h Handler, o *owner.Owner, l *links.Links) *Server {
	return &Server{incarnation: incarnation, handler: h, owner: o, links: l}
}

// Active returns how many requests of peers are under way.
func (s *Server) Active() int64 { return s.active.Load() }

// Serve implements the Data service.
func (s *Server) Serve(stream peerpb.Data_ServeServer) error {
	s.active.Add(1)
	defer s.active.Add(-1)
	f, err := stream.Recv()
	if err != nil {
		return err
	}
	open := f.GetOpen()
	if open == nil {
		return fault.New("serve", KindProtocol, "the first frame must open a request")
	}
	if open.GetTargetIncarnation() != s.incarnation {
		return refuse(stream, s.wrongProcess(open))
	}
	body, refused := requestBody(stream, open)
	if refused != nil {
		return refuse(stream, *refused)
	}
	req := fromOpen(time.Now(), open, body)
	ctx, cancel := context.WithDeadline(stream.Context(), req.Deadline)
	defer cancel()
	class := links.Live
	if req.Background {
		class = links.Background
	}
	out := &answerSink{ctx: ctx, id: req.ID, sender: newSender(stream, path{links: s.links, region: open.GetSenderRegion(), class: class})}
	res := s.dispatch(ctx, open.GetStage(), req, out)
	return finish(stream, out, res)
}

// wrongProcess refuses a request that was meant for another process at this address. It did not
// run here; of a key that the other process held nothing is known.
func (s *Server) wrongProcess(open *peerpb.Open) flow.Rejected {
	if open.GetStage() == peerpb.Stage_STAGE_HOME {
		return flow.Unknown(flow.RefusedKeyGone, "the process that the key names is gone")
	}
	return flow.NotRun(flow.RejectedNotOwner, "another process runs at this address now")
}

// requestBody reads a short body whole, so that it can be sent again.
func requestBody(stream peerpb.Data_ServeServer, open *peerpb.Open) (*flow.Body, *flow.Rejected) {
	r := newBodyReader(stream)
	b, err := flow.NewBody(r, open.GetBodyBytes())
	if err != nil {
		refused := flow.NotRun(flow.RefusedBadBody, err.Error())
		return nil, &refused
	}
	return b, nil
}

func (s *Server) dispatch(ctx context.Context, stage peerpb.Stage, req *flow.Request, sink flow.Sink) flow.Result {
	switch stage {
	case peerpb.Stage_STAGE_OWNER:
		return s.handler.AsOwner(ctx, req, sink)
	case peerpb.Stage_STAGE_HOME:
		return s.handler.AsHome(ctx, req, sink)
	default:
		return flow.NotRun(flow.RefusedBadBody, "unknown stage")
	}
}

func refuse(stream peerpb.Data_ServeServer, r flow.Rejected) error {
	return stream.Send(&peerpb.Frame{Kind: &peerpb.Frame_Refusal{Refusal: toRefusal(r)}})
}

// finish ends the answer. A broken one ends the stream with an error, never with an end frame.
func finish(stream peerpb.Data_ServeServer, out *answerSink, res flow.Result) error {
	switch r := res.(type) {
	case flow.Complete:
		return out.sender.end()
	case flow.Rejected:
		return refuse(stream, r)
	case flow.Aborted:
		return fault.New("serve", KindPeer, r.Reason)
	default:
		return fault.New("serve", KindProtocol, "no result")
	}
}

// answerSink sends an answer as frames.
type answerSink struct {
	ctx    context.Context //nolint:containedctx // The sink lives as long as one request.
	id     string
	sender *sender
}

// Head implements flow.Sink.
func (a *answerSink) Head(h flow.Head) error {
	head := &peerpb.Head{
		RequestId: a.id, Status: uint32(h.Status), Headers: toHeaders(h.Header),
		BodyBytes: h.Size, Server: h.Server, Load: toLoad(h.Load),
	}
	return a.sender.small(a.ctx, &peerpb.Frame{Kind: &peerpb.Frame_Head{Head: head}}, headerBytes(head.GetHeaders()))
}

// Data implements flow.Sink.
func (a *answerSink) Data(p []byte) error { return a.sender.data(a.ctx, p) }

// Void implements the Data service.
func (s *Server) Void(_ context.Context, req *peerpb.VoidRequest) (*peerpb.VoidResponse, error) {
	if req.GetTargetIncarnation() != s.incarnation {
		return &peerpb.VoidResponse{WrongIncarnation: true}, nil
	}
	now := time.Now()
	// Kept from this clock, so that a sender's clock can't make the record short-lived.
	left := max(0, min(maxVoid, time.UnixMilli(req.GetDeadlineUnixMillis()).Sub(now)))
	ok := s.owner.Dispatches().Cancel(now, req.GetRequestId(), now.Add(left))
	return &peerpb.VoidResponse{Voided: ok, Dispatched: !ok}, nil
}

// maxVoid bounds how long a voided request is remembered past its deadline.
const maxVoid = 24 * time.Hour

// Claim implements the Data service.
func (s *Server) Claim(_ context.Context, req *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	c := s.owner.Release(time.Now(), model.SiteID{Service: req.GetService(), DataCentre: req.GetDataCentre()})
	out := &peerpb.ClaimResponse{Owned: c.Owned}
	for _, v := range c.Servers {
		out.Servers = append(out.Servers, &peerpb.ServerLoad{Address: v.Address, InFlight: uint32(v.InFlight)})
	}
	return out, nil
}

// Outcome implements the Data service.
func (s *Server) Outcome(_ context.Context, req *peerpb.OutcomeRequest) (*peerpb.OutcomeResponse, error) {
	k := s.handler.Outcome(time.Now(), req.GetKey())
	return &peerpb.OutcomeResponse{
		Outcome: string(k.Outcome), Status: uint32(k.Answer.Status), Headers: toHeaders(k.Answer.Header),
		Body: k.Answer.Body, BodyKept: k.Answer.Kept,
	}, nil
}

// Lend implements the Data service.
func (s *Server) Lend(_ context.Context, req *peerpb.LendRequest) (*peerpb.LendResponse, error) {
	r := s.links.HandleOffer(time.Now(), req.GetToRegion(), links.Offer{
		Host: req.GetIncarnation(), Timestamp: req.GetToken(),
		Lent: float64(req.GetLentBytesPerSecond()), Wanted: float64(req.GetWantedBytesPerSecond()),
	})
	return &peerpb.LendResponse{
		Token: r.Timestamp, GrantedBytesPerSecond: uint64(r.Granted), LeaseMillis: uint32(r.Lease.Milliseconds()), Wanted: r.Wanted,
	}, nil
}

// Inherit implements the Data service.
func (s *Server) Inherit(_ context.Context, req *peerpb.InheritRequest) (*peerpb.InheritResponse, error) {
	s.handler.Inherit(req)
	return &peerpb.InheritResponse{}, nil
}
