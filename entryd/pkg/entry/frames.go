// Package entry speaks with the entryds of other hosts: requests and answers pass as frames.
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

// Kind is the kind of a peer error.
type Kind string

// Kinds of errors.
const (
	KindProtocol Kind = "protocol"
	KindPeer     Kind = "peer"
)

// Error is the error type of the package.
type Error = fault.Error[Kind]

// Sizes of frames.
const (
	chunkBytes    = 32 << 10
	frameOverhead = 64
	// clockSkew is how far apart the clocks of two hosts may be.
	clockSkew = 500 * time.Millisecond
)

// frames is one direction of a stream.
type frames interface {
	Send(f *peerpb.Frame) error
}

// receiver is the other direction.
type receiver interface {
	Recv() (*peerpb.Frame, error)
}

// path is the way to the peer: the links that limit it and the class of what is sent.
type path struct {
	links  *links.Links
	region string
	class  links.Class
}

// sender sends bodies in chunks that the link allows.
type sender struct {
	frames frames
	path   path
	sum    *xxhash.Digest
	sent   int64
}

func newSender(f frames, p path) *sender { return &sender{frames: f, path: p, sum: xxhash.New()} }

// data sends bytes, waiting for the link.
func (s *sender) data(ctx context.Context, p []byte) error {
	_, _ = s.sum.Write(p)
	s.sent += int64(len(p))
	for len(p) > 0 {
		n, err := s.path.links.Wait(ctx, s.path.region, min(len(p), chunkBytes), s.path.class)
		if err != nil {
			return err
		}
		if err := s.frames.Send(&peerpb.Frame{Kind: &peerpb.Frame_Data{Data: p[:n]}}); err != nil {
			return err
		}
		p = p[n:]
	}
	return nil
}

// small sends a frame that is no body, counting it against the link.
func (s *sender) small(ctx context.Context, f *peerpb.Frame, bytes int) error {
	for left := bytes + frameOverhead; left > 0; {
		n, err := s.path.links.Wait(ctx, s.path.region, left, s.path.class)
		if err != nil {
			return err
		}
		left -= n
	}
	return s.frames.Send(f)
}

func (s *sender) end() error {
	return s.frames.Send(&peerpb.Frame{Kind: &peerpb.Frame_End{
		End: &peerpb.End{BodyBytes: s.sent, Checksum: s.sum.Sum64()},
	}})
}

// body sends a request's body and its end.
func (s *sender) body(ctx context.Context, b *flow.Body) error {
	if held, all := b.Bytes(); all {
		if err := s.data(ctx, held); err != nil {
			return err
		}
		return s.end()
	}
	r := b.Reader()
	buf := make([]byte, chunkBytes)
	for {
		n, err := r.Read(buf)
		if n > 0 {
			if serr := s.data(ctx, buf[:n]); serr != nil {
				return serr
			}
		}
		if errors.Is(err, io.EOF) {
			return s.end()
		}
		if err != nil {
			return err
		}
	}
}

// bodyReader reads a body from frames and fails unless its end was explicit and agrees.
type bodyReader struct {
	in   receiver
	left []byte
	sum  *xxhash.Digest
	got  int64
	err  error
}

func newBodyReader(in receiver) *bodyReader { return &bodyReader{in: in, sum: xxhash.New()} }

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	for len(b.left) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		b.err = b.next()
	}
	n := copy(p, b.left)
	b.left = b.left[n:]
	return n, nil
}

// next takes in one frame. It returns io.EOF at a right end.
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
		b.left = k.Data
		b.got += int64(len(k.Data))
		_, _ = b.sum.Write(k.Data)
		return nil
	case *peerpb.Frame_End:
		if k.End.GetBodyBytes() != b.got || k.End.GetChecksum() != b.sum.Sum64() {
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

// fromOpen returns the request. Its deadline is the earlier of the time left when it was sent and
// the sender's clock plus skew, so that a request that waited unread in a socket has aged too.
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
