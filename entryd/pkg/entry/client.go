package entry

import (
	"context"
	"errors"
	"io"
	"time"

	"rosemarygrade.dev/entryd/pkg/dedup"
	"rosemarygrade.dev/entryd/pkg/flow"
	"rosemarygrade.dev/entryd/pkg/links"
	"rosemarygrade.dev/entryd/pkg/owner"
	"rosemarygrade.dev/lib/pkg/fault"
	"rosemarygrade.dev/lib/pkg/model"
	"rosemarygrade.dev/lib/pkg/peer"
	"rosemarygrade.dev/lib/pkg/peerpb"
	"rosemarygrade.dev/lib/pkg/reply"
)

// Connection classes. Each has its own connection, so that large background transfers do not delay
// live requests, and neither delays the control calls.
const (
	classLive       = "live"
	classBackground = "background"
	classControl    = "control"
)

// Client calls the entryd processes of other hosts. It is safe for concurrent use.
type Client struct {
	pool  *peer.Pool
	links *links.Links
}

// NewClient returns a Client that connects through the pool and sends within the limits of the links.
func NewClient(pool *peer.Pool, l *links.Links) *Client { return &Client{pool: pool, links: l} }

func (c *Client) dataClient(p *peerpb.Member, class string) (peerpb.DataClient, error) {
	conn, err := c.pool.Conn(p.GetPeerAddress(), class)
	if err != nil {
		return nil, fault.Wrap("connect", KindPeer, err)
	}
	return peerpb.NewDataClient(conn), nil
}

// Serve sends a request to a peer and writes the peer's response to the sink.
func (c *Client) Serve(ctx context.Context, p *peerpb.Member, req *flow.Request, stage peerpb.Stage, sink flow.Sink) flow.Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	class, conn := links.Live, classLive
	if req.Background {
		class, conn = links.Background, classBackground
	}
	client, err := c.dataClient(p, conn)
	if err != nil {
		return flow.NotRun(flow.RejectedConnect, err.Error())
	}
	stream, err := client.Serve(ctx)
	if err != nil {
		// No frame was sent, so the peer cannot have run the request.
		return flow.NotRun(flow.RejectedConnect, err.Error())
	}
	s := newSender(stream, linkPath{links: c.links, region: p.GetRegion(), class: class})
	open := toOpen(time.Now(), req, p.GetIncarnation(), stage, c.links.Region())
	if err := s.sendFrame(ctx, &peerpb.Frame{Kind: &peerpb.Frame_Open{Open: open}}, headerBytes(open.GetHeaders())+len(open.GetPath())); err != nil {
		return flow.Aborted{Reason: err.Error()}
	}
	send := func() {
		// An EOF means that the peer has ended the stream; receiving returns the reason.
		if err := c.sendBody(ctx, s, stream, req.Body); err != nil && !errors.Is(err, io.EOF) {
			// The peer would wait for the rest of the body until the deadline.
			cancel(fault.Wrap("body", KindBody, err))
		}
	}
	if _, all := req.Body.Bytes(); all {
		send()
	} else {
		go send()
	}
	result := receiveResponse(stream, req.ID, sink)
	if a, ok := result.(flow.Aborted); ok && ctx.Err() != nil {
		a.Reason = context.Cause(ctx).Error()
		return a
	}
	return result
}

func (c *Client) sendBody(ctx context.Context, s *sender, stream peerpb.Data_ServeClient, b *flow.Body) error {
	if err := s.sendBody(ctx, b); err != nil {
		return err
	}
	return stream.CloseSend()
}

// receiveResponse receives a response from frames and writes it to the sink.
func receiveResponse(in frameReceiver, id string, sink flow.Sink) flow.Result {
	f, err := in.Recv()
	if err != nil {
		return flow.Aborted{Reason: err.Error()}
	}
	switch k := f.GetKind().(type) {
	case *peerpb.Frame_Refusal:
		return fromRefusal(k.Refusal)
	case *peerpb.Frame_Head:
		if k.Head.GetRequestId() != id {
			return flow.Aborted{Reason: "the peer answered another request"}
		}
		return receiveBody(in, k.Head, sink)
	default:
		return flow.Aborted{Reason: "the peer sent an unexpected frame"}
	}
}

func receiveBody(in frameReceiver, h *peerpb.Head, sink flow.Sink) flow.Result {
	head := flow.Head{
		Status: int(h.GetStatus()), Header: fromHeaders(h.GetHeaders()), Size: h.GetBodyBytes(),
		Server: h.GetServer(), Load: fromLoad(h.GetLoad()),
	}
	if err := reply.CheckHead(head.Status, head.Header); err != nil {
		return flow.Aborted{Reason: err.Error()}
	}
	body := newBodyReader(in)
	// The first frame of the body is received before the head is written, so that the caller can
	// still get an error response if the body fails there.
	first := body.next()
	if first != nil && !errors.Is(first, io.EOF) {
		return flow.Aborted{Reason: first.Error()}
	}
	if err := sink.Head(head); err != nil {
		return flow.Aborted{HeadSent: true, Reason: err.Error()}
	}
	for err := first; ; err = body.next() {
		if errors.Is(err, io.EOF) {
			return flow.Complete{Load: head.Load}
		}
		if err != nil {
			return flow.Aborted{HeadSent: true, Reason: err.Error()}
		}
		if serr := sink.Data(body.unread); serr != nil {
			return flow.Aborted{HeadSent: true, Reason: serr.Error()}
		}
	}
}

// CancelBeforeDispatch cancels a request at the peer to which it was sent. It reports whether the
// request was cancelled before dispatch; if not, it may have run. The error is of KindPeer.
func (c *Client) CancelBeforeDispatch(ctx context.Context, p *peerpb.Member, id string, deadline time.Time) (bool, error) {
	client, err := c.dataClient(p, classControl)
	if err != nil {
		return false, err
	}
	resp, err := client.Void(ctx, &peerpb.VoidRequest{
		RequestId: id, TargetIncarnation: p.GetIncarnation(), DeadlineUnixMillis: deadline.UnixMilli(),
	})
	if err != nil {
		return false, fault.Wrap("void", KindPeer, err)
	}
	if resp.GetWrongIncarnation() {
		return false, fault.New("void", KindPeer, "the process is gone")
	}
	return resp.GetVoided(), nil
}

// Acquire implements owner.Acquirer. The error is of KindPeer.
func (c *Client) Acquire(ctx context.Context, p *peerpb.Member, id model.SiteID) (owner.Released, error) {
	client, err := c.dataClient(p, classControl)
	if err != nil {
		return owner.Released{}, err
	}
	resp, err := client.Claim(ctx, &peerpb.ClaimRequest{Service: id.Service, DataCentre: id.DataCentre})
	if err != nil {
		return owner.Released{}, fault.Wrap("claim", KindPeer, err)
	}
	out := owner.Released{Owned: resp.GetOwned()}
	for _, s := range resp.GetServers() {
		out.Servers = append(out.Servers, owner.ServerLoad{Address: s.GetAddress(), InFlight: int(s.GetInFlight())})
	}
	return out, nil
}

// Outcome returns a peer's state of a request key. The error is of KindPeer.
func (c *Client) Outcome(ctx context.Context, p *peerpb.Member, key string) (dedup.KeyState, error) {
	client, err := c.dataClient(p, classControl)
	if err != nil {
		return dedup.KeyState{}, err
	}
	resp, err := client.Outcome(ctx, &peerpb.OutcomeRequest{Key: key})
	if err != nil {
		return dedup.KeyState{}, fault.Wrap("outcome", KindPeer, err)
	}
	return dedup.KeyState{Outcome: flow.Outcome(resp.GetOutcome()), Response: dedup.Response{
		Status: int(resp.GetStatus()), Header: fromHeaders(resp.GetHeaders()), Body: resp.GetBody(), BodyKept: resp.GetBodyKept(),
	}}, nil
}

// Lend sends an offer of bandwidth to the elected host of the link to a region. The error is of KindPeer.
func (c *Client) Lend(ctx context.Context, p *peerpb.Member, to string, o links.Offer) (links.Reply, error) {
	client, err := c.dataClient(p, classControl)
	if err != nil {
		return links.Reply{}, err
	}
	resp, err := client.Lend(ctx, &peerpb.LendRequest{
		Incarnation: o.Host, ToRegion: to, Token: o.Timestamp,
		LentBytesPerSecond: uint64(o.Lent), WantedBytesPerSecond: uint64(o.Wanted),
	})
	if err != nil {
		return links.Reply{}, fault.Wrap("lend", KindPeer, err)
	}
	return links.Reply{
		Timestamp: resp.GetToken(), Granted: float64(resp.GetGrantedBytesPerSecond()),
		Lease: time.Duration(resp.GetLeaseMillis()) * time.Millisecond, Wanted: resp.GetWanted(),
	}, nil
}

// handOverBatch is the number of records in one message.
const handOverBatch = 200

// HandOver sends the records of a deduplication table to a peer in batches. The last one is marked
// complete. The error is of KindPeer.
func (c *Client) HandOver(ctx context.Context, p *peerpb.Member, table *peerpb.InheritRequest) error {
	client, err := c.dataClient(p, classControl)
	if err != nil {
		return err
	}
	records := table.GetRecords()
	for {
		n := min(handOverBatch, len(records))
		batch := &peerpb.InheritRequest{
			Incarnation: table.GetIncarnation(), LowestSlot: table.GetLowestSlot(),
			Records: records[:n], Complete: n == len(records),
		}
		if _, err := client.Inherit(ctx, batch); err != nil {
			return fault.Wrap("hand over", KindPeer, err)
		}
		if batch.GetComplete() {
			return nil
		}
		records = records[n:]
	}
}

var _ owner.Acquirer = (*Client)(nil)
