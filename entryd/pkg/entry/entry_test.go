package entry_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/entryd/pkg/dedup"
	"rosemarygrade.dev/entryd/pkg/entry"
	"rosemarygrade.dev/entryd/pkg/flow"
	"rosemarygrade.dev/entryd/pkg/links"
	"rosemarygrade.dev/entryd/pkg/owner"
	"rosemarygrade.dev/entryd/pkg/server"
	"rosemarygrade.dev/lib/pkg/peer"
	"rosemarygrade.dev/lib/pkg/peerpb"
)

const incarnation = 7

// handler answers with the request's body and ends as told.
type handler struct {
	end   flow.Result
	req   *flow.Request
	books int
}

func (h *handler) AsOwner(_ context.Context, req *flow.Request, sink flow.Sink) flow.Result {
	h.req = req
	if r, ok := h.end.(flow.Rejected); ok {
		return r
	}
	body, err := io.ReadAll(req.Body.Reader())
	if err != nil {
		return flow.Aborted{Reason: err.Error()}
	}
	_ = sink.Head(flow.Head{Status: http.StatusOK, Size: int64(len(body)), Load: &flow.Load{Free: 3, Slots: 4}})
	_ = sink.Data(body)
	return h.end
}

func (h *handler) AsHome(ctx context.Context, req *flow.Request, sink flow.Sink) flow.Result {
	return h.AsOwner(ctx, req, sink)
}

func (*handler) Outcome(time.Time, string) dedup.Known {
	return dedup.Known{Outcome: flow.OutcomeRan, Answer: dedup.Answer{Status: 201, Body: []byte("kept"), Kept: true}}
}

func (h *handler) Inherit(*peerpb.InheritRequest) { h.books++ }

// setUp serves a handler on loopback and returns a client for it and the member to reach it at.
func setUp(t *testing.T, h *handler) (*entry.Client, *peerpb.Member, *peer.Pool) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	pool := peer.NewPool()
	t.Cleanup(pool.Close)
	o := owner.New(time.Now(), incarnation, server.NewClient(), nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	s := pool.NewServer()
	peerpb.RegisterDataServer(s, entry.NewServer(incarnation, h, o, links.New("far")))
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	m := &peerpb.Member{Incarnation: incarnation, PeerAddress: l.Addr().String(), Region: "far"}
	return entry.NewClient(pool, links.New("near")), m, pool
}

type sink struct {
	head flow.Head
	body bytes.Buffer
}

func (s *sink) Head(h flow.Head) error { s.head = h; return nil }

func (s *sink) Data(p []byte) error { _, err := s.body.Write(p); return err }

func request(body *flow.Body) *flow.Request {
	return &flow.Request{ID: "id", Method: "POST", Path: "/", Source: "near", Body: body, Deadline: time.Now().Add(10 * time.Second)}
}

func TestServe(t *testing.T) {
	big := bytes.Repeat([]byte("x"), 3<<20)
	bodies := map[string]func() *flow.Body{
		"empty":    func() *flow.Body { return flow.BytesBody(nil) },
		"short":    func() *flow.Body { return flow.BytesBody([]byte("hello")) },
		"streamed": func() *flow.Body { return flow.StreamBody(bytes.NewReader(big), int64(len(big))) },
	}
	for name, body := range bodies {
		t.Run(name+" body", func(t *testing.T) {
			h := &handler{end: flow.Complete{}}
			c, m, _ := setUp(t, h)
			got := &sink{}
			res := c.Serve(t.Context(), m, request(body()), peerpb.Stage_STAGE_OWNER, got)
			w, ok := res.(flow.Complete)
			assert.Assert(t, ok, "%#v", res)
			assert.DeepEqual(t, *w.Load, flow.Load{Free: 3, Slots: 4})
			assert.Equal(t, int64(got.body.Len()), got.head.Size)
			assert.Equal(t, h.req.Source, "near")
		})
	}
	t.Run("a broken answer never ends cleanly", func(t *testing.T) {
		c, m, _ := setUp(t, &handler{end: flow.Aborted{HeadSent: true, Reason: "cut"}})
		b, ok := c.Serve(t.Context(), m, request(flow.BytesBody([]byte("part"))), peerpb.Stage_STAGE_OWNER, &sink{}).(flow.Aborted)
		assert.Assert(t, ok && b.HeadSent)
	})
	t.Run("a refusal passes", func(t *testing.T) {
		want := flow.NotRun(flow.RejectedQuota, "share")
		want.RetryAfter = time.Second
		c, m, _ := setUp(t, &handler{end: want})
		res := c.Serve(t.Context(), m, request(flow.BytesBody(nil)), peerpb.Stage_STAGE_OWNER, &sink{})
		assert.DeepEqual(t, res, flow.Result(want))
	})
	rows := []struct {
		name    string
		stage   peerpb.Stage
		kind    flow.RejectionKind
		outcome flow.Outcome
	}{
		{"another process at the owner's address did not run it", peerpb.Stage_STAGE_OWNER, flow.RejectedNotOwner, flow.OutcomeNotRun},
		{"of a key of a process that is gone nothing is known", peerpb.Stage_STAGE_HOME, flow.RefusedKeyGone, flow.OutcomeUnknown},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			c, m, _ := setUp(t, &handler{})
			m.Incarnation = 8
			got, ok := c.Serve(t.Context(), m, request(flow.BytesBody(nil)), r.stage, &sink{}).(flow.Rejected)
			assert.Assert(t, ok)
			assert.Equal(t, got.Kind, r.kind)
			assert.Equal(t, got.Outcome, r.outcome)
		})
	}
}

// TestFrames sends frames by hand, as a broken peer would.
func TestFrames(t *testing.T) {
	data := &peerpb.Frame{Kind: &peerpb.Frame_Data{Data: []byte("abc")}}
	end := func(n int64, sum uint64) *peerpb.Frame {
		return &peerpb.Frame{Kind: &peerpb.Frame_End{End: &peerpb.End{BodyBytes: n, Checksum: sum}}}
	}
	open := func(late bool) *peerpb.Frame {
		at := time.Now().Add(time.Minute)
		if late {
			at = time.Now().Add(-time.Minute)
		}
		return &peerpb.Frame{Kind: &peerpb.Frame_Open{Open: &peerpb.Open{
			RequestId: "id", TargetIncarnation: incarnation, Stage: peerpb.Stage_STAGE_OWNER, TimeoutMillis: 60_000, DeadlineUnixMillis: at.UnixMilli(),
		}}}
	}
	rows := []struct {
		name   string
		frames []*peerpb.Frame
	}{
		{"wrong length", []*peerpb.Frame{open(false), data, end(2, 0x44bc2cf5ad770999)}},
		{"wrong checksum", []*peerpb.Frame{open(false), data, end(3, 1)}},
		{"no end", []*peerpb.Frame{open(false), data}},
		{"a second open", []*peerpb.Frame{open(false), open(false)}},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			h := &handler{end: flow.Complete{}}
			got := sendFrames(t, h, r.frames)
			assert.Equal(t, got.GetRefusal().GetKind(), string(flow.RefusedBadBody))
			assert.Assert(t, h.req == nil, "the request was passed on")
		})
	}
	t.Run("right", func(t *testing.T) {
		got := sendFrames(t, &handler{end: flow.Complete{}}, []*peerpb.Frame{open(false), data, end(3, 0x44bc2cf5ad770999)})
		assert.Assert(t, got.GetHead() != nil, "%v", got)
	})
	t.Run("a request that waited unread has aged by the sender's clock", func(t *testing.T) {
		h := &handler{end: flow.Complete{}}
		sendFrames(t, h, []*peerpb.Frame{open(true), data, end(3, 0x44bc2cf5ad770999)})
		assert.Assert(t, h.req.Deadline.Before(time.Now()))
	})
}

func sendFrames(t *testing.T, h *handler, frames []*peerpb.Frame) *peerpb.Frame {
	t.Helper()
	_, m, pool := setUp(t, h)
	conn, err := pool.Conn(m.GetPeerAddress(), "live")
	assert.NilError(t, err)
	stream, err := peerpb.NewDataClient(conn).Serve(t.Context())
	assert.NilError(t, err)
	for _, f := range frames {
		assert.NilError(t, stream.Send(f))
	}
	assert.NilError(t, stream.CloseSend())
	got, err := stream.Recv()
	if err != nil {
		return nil
	}
	return got
}

func TestCalls(t *testing.T) {
	h := &handler{}
	c, m, _ := setUp(t, h)
	t.Run("void", func(t *testing.T) {
		ok, err := c.Void(t.Context(), m, "id", time.Now().Add(time.Second))
		assert.NilError(t, err)
		assert.Assert(t, ok)
	})
	t.Run("void at another process says nothing", func(t *testing.T) {
		_, err := c.Void(t.Context(), &peerpb.Member{Incarnation: 8, PeerAddress: m.GetPeerAddress()}, "id", time.Now())
		assert.ErrorContains(t, err, "gone")
	})
	t.Run("outcome", func(t *testing.T) {
		k, err := c.Outcome(t.Context(), m, "key")
		assert.NilError(t, err)
		assert.Equal(t, string(k.Answer.Body), "kept")
	})
	t.Run("inherit in pieces", func(t *testing.T) {
		book := &peerpb.InheritRequest{Incarnation: 9, Records: make([]*peerpb.RunRecord, 450)}
		for i := range book.Records {
			book.Records[i] = &peerpb.RunRecord{Key: "k"}
		}
		assert.NilError(t, c.Inherit(t.Context(), m, book))
		assert.Equal(t, h.books, 3)
	})
}
