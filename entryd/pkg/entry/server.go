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

// Handler handles the requests of peers.
type Handler interface {
	// ServeAsOwner serves a request for a site that this process owns.
	ServeAsOwner(ctx context.Context, req *flow.Request, sink flow.Sink) flow.Result
	// ServeAsIssuer serves a request whose key this process issued, as if the caller had sent it here.
	ServeAsIssuer(ctx context.Context, req *flow.Request, sink flow.Sink) flow.Result
	// Outcome returns the state of a key in the deduplication tables of this process.
	Outcome(now time.Time, key string) dedup.KeyState
	// Import adds records of the deduplication table of a stopping process.
	Import(table *peerpb.InheritRequest)
}

// Server implements the Data service for the entryd processes of other hosts.
type Server struct {
	peerpb.UnimplementedDataServer

	incarnation uint64
	handler     Handler
	owner       *owner.Owner
	links       *links.Links
	inFlight    atomic.Int64
}

// NewServer returns the Server of a process with the incarnation.
func NewServer(incarnation uint64, h Handler, o *owner.Owner, l *links.Links) *Server {
	return &Server{incarnation: incarnation, handler: h, owner: o, links: l}
}

// InFlight returns the number of peers' requests in flight.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Serve implements the Data service: it receives one request of a peer and sends the response.
func (s *Server) Serve(stream peerpb.Data_ServeServer) error {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	f, err := stream.Recv()
	if err != nil {
		return err
	}
	open := f.GetOpen()
	if open == nil {
		return fault.New("serve", KindProtocol, "the first frame must open a request")
	}
	if open.GetTargetIncarnation() != s.incarnation {
		return sendRejection(stream, s.rejectWrongTarget(open))
	}
	body, rejected := requestBody(stream, open)
	if rejected != nil {
		return sendRejection(stream, *rejected)
	}
	req := fromOpen(time.Now(), open, body)
	ctx, cancel := context.WithDeadline(stream.Context(), req.Deadline)
	defer cancel()
	class := links.Live
	if req.Background {
		class = links.Background
	}
	out := &responseSink{ctx: ctx, id: req.ID, sender: newSender(stream, linkPath{links: s.links, region: open.GetSenderRegion(), class: class})}
	res := s.handle(ctx, open.GetStage(), req, out)
	return finish(stream, out, res)
}

// rejectWrongTarget returns the rejection of a request for another process, which had this address
// before. A request for a site has not run. The outcome of a request with a key that the other
// process issued is unknown, as an earlier attempt may have run there.
func (s *Server) rejectWrongTarget(open *peerpb.Open) flow.Rejected {
	if open.GetStage() == peerpb.Stage_STAGE_HOME {
		return flow.Unknown(flow.RejectedKeyGone, "the process that the key names is gone")
	}
	return flow.NotRun(flow.RejectedNotOwner, "another process runs at this address now")
}

// requestBody returns the request's body. A short body is received completely, so that it can be
// sent again.
func requestBody(stream peerpb.Data_ServeServer, open *peerpb.Open) (*flow.Body, *flow.Rejected) {
	r := newBodyReader(stream)
	b, err := flow.NewBody(r, open.GetBodyBytes())
	if err != nil {
		rejected := flow.NotRun(flow.RejectedBadRequest, err.Error())
		return nil, &rejected
	}
	return b, nil
}

func (s *Server) handle(ctx context.Context, stage peerpb.Stage, req *flow.Request, sink flow.Sink) flow.Result {
	switch stage {
	case peerpb.Stage_STAGE_OWNER:
		return s.handler.ServeAsOwner(ctx, req, sink)
	case peerpb.Stage_STAGE_HOME:
		return s.handler.ServeAsIssuer(ctx, req, sink)
	default:
		return flow.NotRun(flow.RejectedBadRequest, "unknown stage")
	}
}

func sendRejection(stream peerpb.Data_ServeServer, r flow.Rejected) error {
	return stream.Send(&peerpb.Frame{Kind: &peerpb.Frame_Refusal{Refusal: toRefusal(r)}})
}

// finish ends the response. An aborted response ends the stream with an error, never with an end frame.
func finish(stream peerpb.Data_ServeServer, out *responseSink, res flow.Result) error {
	switch r := res.(type) {
	case flow.Complete:
		return out.sender.sendEnd()
	case flow.Rejected:
		return sendRejection(stream, r)
	case flow.Aborted:
		return fault.New("serve", KindPeer, r.Reason)
	default:
		return fault.New("serve", KindProtocol, "no result")
	}
}

// responseSink sends a response as frames.
type responseSink struct {
	ctx    context.Context //nolint:containedctx // The sink lives as long as one request.
	id     string
	sender *sender
}

// Head implements flow.Sink.
func (s *responseSink) Head(h flow.Head) error {
	head := &peerpb.Head{
		RequestId: s.id, Status: uint32(h.Status), Headers: toHeaders(h.Header),
		BodyBytes: h.Size, Server: h.Server, Load: toLoad(h.Load),
	}
	return s.sender.sendFrame(s.ctx, &peerpb.Frame{Kind: &peerpb.Frame_Head{Head: head}}, headerBytes(head.GetHeaders()))
}

// Data implements flow.Sink.
func (s *responseSink) Data(p []byte) error { return s.sender.sendData(s.ctx, p) }

// Void implements the Data service: it cancels a request unless the owner has dispatched it.
func (s *Server) Void(_ context.Context, req *peerpb.VoidRequest) (*peerpb.VoidResponse, error) {
	if req.GetTargetIncarnation() != s.incarnation {
		return &peerpb.VoidResponse{WrongIncarnation: true}, nil
	}
	now := time.Now()
	// The cancellation is kept until at least now by this host's clock, so that a sender's clock
	// that runs behind cannot make it expire too early.
	left := max(0, min(maxCancelRetention, time.UnixMilli(req.GetDeadlineUnixMillis()).Sub(now)))
	cancelled := s.owner.Dispatches().Cancel(now, req.GetRequestId(), now.Add(left))
	return &peerpb.VoidResponse{Voided: cancelled, Dispatched: !cancelled}, nil
}

// maxCancelRetention bounds the time for which a cancellation is kept, whatever deadline the sender states.
const maxCancelRetention = 24 * time.Hour

// Claim implements the Data service: a peer acquires ownership of a site, and gets the number of
// requests that this process still has in flight at each of the site's backend servers.
func (s *Server) Claim(_ context.Context, req *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	released := s.owner.Release(time.Now(), model.SiteID{Service: req.GetService(), DataCentre: req.GetDataCentre()})
	out := &peerpb.ClaimResponse{Owned: released.Owned}
	for _, v := range released.Servers {
		out.Servers = append(out.Servers, &peerpb.ServerLoad{Address: v.Address, InFlight: uint32(v.InFlight)})
	}
	return out, nil
}

// Outcome implements the Data service: it returns the state of a key in this process.
func (s *Server) Outcome(_ context.Context, req *peerpb.OutcomeRequest) (*peerpb.OutcomeResponse, error) {
	state := s.handler.Outcome(time.Now(), req.GetKey())
	return &peerpb.OutcomeResponse{
		Outcome: string(state.Outcome), Status: uint32(state.Response.Status), Headers: toHeaders(state.Response.Header),
		Body: state.Response.Body, BodyKept: state.Response.BodyKept,
	}, nil
}

// Lend implements the Data service: as the elected host of a link, this process handles an offer of bandwidth.
func (s *Server) Lend(_ context.Context, req *peerpb.LendRequest) (*peerpb.LendResponse, error) {
	r := s.links.HandleOffer(time.Now(), req.GetToRegion(), links.Offer{
		Host: req.GetIncarnation(), Timestamp: req.GetToken(),
		Lent: float64(req.GetLentBytesPerSecond()), Wanted: float64(req.GetWantedBytesPerSecond()),
	})
	return &peerpb.LendResponse{
		Token: r.Timestamp, GrantedBytesPerSecond: uint64(r.Granted), LeaseMillis: uint32(r.Lease.Milliseconds()), Wanted: r.Wanted,
	}, nil
}

// Inherit implements the Data service: it imports records of a stopping process.
func (s *Server) Inherit(_ context.Context, req *peerpb.InheritRequest) (*peerpb.InheritResponse, error) {
	s.handler.Import(req)
	return &peerpb.InheritResponse{}, nil
}
