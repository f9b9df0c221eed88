// Package entry implements the client and the server of the protocol between entryd processes.
// Requests and responses are sent as frames of a gRPC stream.
package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosemarygrade.dev/entryd/pkg/flow"
	"rosemarygrade.dev/entryd/pkg/links"
	"rosemarygrade.dev/lib/pkg/fault"
	"rosemarygrade.dev/lib/pkg/peerpb"
)

// Kind is the kind of an error of the package.
type Kind string

// Kinds of errors.
const (
	// KindProtocol means that a peer sent invalid frames.
	KindProtocol Kind = "protocol"
	// KindPeer means that a peer was unreachable, returned an error or was replaced by another process.
	KindPeer Kind = "peer"
	// KindBody means that the body of a request could not be read or sent completely.
	KindBody Kind = "body"
)

// Error is the error type of the package.
type Error = fault.Error[Kind]

const (
	// chunkBytes is the largest number of body bytes in one frame.
	chunkBytes = 32 << 10
	// frameOverhead is the number of bytes that a frame without body counts against the link in
	// addition to its headers.
	frameOverhead = 64
	// clockSkew is the largest tolerated difference between the clocks of two hosts.
	clockSkew = 500 * time.Millisecond
)

// frameSender is the sending side of a stream.
type frameSender interface {
	Send(f *peerpb.Frame) error
}

// frameReceiver is the receiving side of a stream.
type frameReceiver interface {
	Recv() (*peerpb.Frame, error)
}

// linkPath selects the bandwidth limit for sending to a peer: that of the link to the peer's
// region, and the traffic class.
type linkPath struct {
	links  *links.Links
	region string
	class  links.Class
}

// sender sends frames at the rate that the link allows, and computes the length and checksum of the
// body.
type sender struct {
	out  frameSender
	link linkPath
	sum  *xxhash.Digest
	sent int64
}

func newSender(out frameSender, link linkPath) *sender {
	return &sender{out: out, link: link, sum: xxhash.New()}
}

// sendData sends body bytes in frames, waiting for bandwidth of the link.
func (s *sender) sendData(ctx context.Context, p []byte) error {
	_, _ = s.sum.Write(p)
	s.sent += int64(len(p))
	for len(p) > 0 {
		n, err := s.link.links.Wait(ctx, s.link.region, min(len(p), chunkBytes), s.link.class)
		if err != nil {
			return err
		}
		if err := s.out.Send(&peerpb.Frame{Kind: &peerpb.Frame_Data{Data: p[:n]}}); err != nil {
			return err
		}
		p = p[n:]
	}
	return nil
}

// sendFrame sends a frame that carries no body, waiting for bandwidth of the link. Bytes is the
// size of its headers.
func (s *sender) sendFrame(ctx context.Context, f *peerpb.Frame, bytes int) error {
	for left := bytes + frameOverhead; left > 0; {
		n, err := s.link.links.Wait(ctx, s.link.region, left, s.link.class)
		if err != nil {
			return err
		}
		left -= n
	}
	return s.out.Send(f)
}

func (s *sender) sendEnd() error {
	return s.out.Send(&peerpb.Frame{Kind: &peerpb.Frame_End{
		End: &peerpb.End{BodyBytes: s.sent, Checksum: s.sum.Sum64()},
	}})
}

// sendBody sends a request's body and the end frame.
func (s *sender) sendBody(ctx context.Context, b *flow.Body) error {
	if buffered, all := b.Bytes(); all {
		if err := s.sendData(ctx, buffered); err != nil {
			return err
		}
		return s.sendEnd()
	}
	r := b.Reader()
	buf := make([]byte, chunkBytes)
	for {
		n, err := r.Read(buf)
		if n > 0 {
			if serr := s.sendData(ctx, buf[:n]); serr != nil {
				return serr
			}
		}
		if errors.Is(err, io.EOF) {
			return s.sendEnd()
		}
		if err != nil {
			return err
		}
	}
}

// bodyReader reads a body from frames. It returns an error unless an end frame with the right
// length and checksum ends the body.
type bodyReader struct {
	in       frameReceiver
	unread   []byte
	sum      *xxhash.Digest
	received int64
	err      error
}

func newBodyReader(in frameReceiver) *bodyReader { return &bodyReader{in: in, sum: xxhash.New()} }

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	for len(b.unread) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		b.err = b.next()
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// next receives one frame. It returns io.EOF for an end frame with the right length and checksum.
func (b *bodyReader) next() error {
	f, err := b.in.Recv()
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	switch k := f.GetKind().(type) {
	case *peerpb.Frame_Data:
		b.unread = k.Data
		b.received += int64(len(k.Data))
		_, _ = b.sum.Write(k.Data)
		return nil
	case *peerpb.Frame_End:
		if k.End.GetBodyBytes() != b.received || k.End.GetChecksum() != b.sum.Sum64() {
			return fault.New("body", KindProtocol, "length or checksum does not agree")
		}
		return io.EOF
	default:
		return fault.New("body", KindProtocol, "unexpected frame")
	}
}

func toHeaders(h http.Header) []*peerpb.Header {
	out := make([]*peerpb.Header, 0, len(h))
	for name, values := range h {
		for _, v := range values {
			out = append(out, &peerpb.Header{Name: name, Value: v})
		}
	}
	return out
}

func fromHeaders(list []*peerpb.Header) http.Header {
	out := make(http.Header, len(list))
	for _, h := range list {
		out[h.GetName()] = append(out[h.GetName()], h.GetValue())
	}
	return out
}

func headerBytes(list []*peerpb.Header) int {
	n := 0
	for _, h := range list {
		n += len(h.GetName()) + len(h.GetValue())
	}
	return n
}

func toLoad(l *flow.Load) *peerpb.Load {
	if l == nil {
		return nil
	}
	return &peerpb.Load{FreeSlots: uint32(l.Free), Queued: uint32(l.Queued), Slots: uint32(l.Slots)}
}

func fromLoad(l *peerpb.Load) *flow.Load {
	if l == nil {
		return nil
	}
	return &flow.Load{Free: int(l.GetFreeSlots()), Queued: int(l.GetQueued()), Slots: int(l.GetSlots())}
}

func toRefusal(r flow.Rejected) *peerpb.Refusal {
	return &peerpb.Refusal{
		Kind: string(r.Kind), Outcome: string(r.Outcome), Reason: r.Reason,
		RetryAfterMillis: uint32(r.RetryAfter.Milliseconds()), Load: toLoad(r.Load),
	}
}

func fromRefusal(r *peerpb.Refusal) flow.Rejected {
	return flow.Rejected{
		Kind: flow.RejectionKind(r.GetKind()), Outcome: flow.Outcome(r.GetOutcome()), Reason: r.GetReason(),
		RetryAfter: time.Duration(r.GetRetryAfterMillis()) * time.Millisecond, Load: fromLoad(r.GetLoad()),
	}
}

func toOpen(now time.Time, req *flow.Request, target uint64, stage peerpb.Stage, region string) *peerpb.Open {
	left := max(0, req.Deadline.Sub(now))
	return &peerpb.Open{
		RequestId: req.ID, Service: req.Service, DataCentre: req.DataCentre, Method: req.Method, Path: req.Path,
		Headers: toHeaders(req.Header), TimeoutMillis: uint32(left.Milliseconds()),
		DeadlineUnixMillis: now.Add(left).UnixMilli(), SourceRegion: req.Source, Idempotent: req.Idempotent,
		Background: req.Background, Key: req.Key, TargetIncarnation: target, Stage: stage,
		BodyBytes: req.Body.Size(), EchoNeeded: req.EchoNeeded, SenderRegion: region,
	}
}

// fromOpen returns the request of an open frame. Its deadline is the earlier of now plus the time
// left when it was sent, and the sender's absolute deadline plus clockSkew. The latter accounts for
// the time that the frame waited unread in a socket.
func fromOpen(now time.Time, o *peerpb.Open, body *flow.Body) *flow.Request {
	deadline := now.Add(time.Duration(o.GetTimeoutMillis()) * time.Millisecond)
	byClock := time.UnixMilli(o.GetDeadlineUnixMillis()).Add(clockSkew)
	if left := byClock.Sub(now); left < deadline.Sub(now) {
		deadline = now.Add(left)
	}
	return &flow.Request{
		ID: o.GetRequestId(), Service: o.GetService(), DataCentre: o.GetDataCentre(), Method: o.GetMethod(),
		Path: o.GetPath(), Header: fromHeaders(o.GetHeaders()), Body: body, Deadline: deadline,
		Source: o.GetSourceRegion(), Idempotent: o.GetIdempotent(), Background: o.GetBackground(),
		Key: o.GetKey(), EchoNeeded: o.GetEchoNeeded(),
	}
}
