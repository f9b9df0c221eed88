package entry_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
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

// handler responds with the request's body and returns the given result.
type handler struct {
	result flow.Result
	// head is the head of its responses if it is not nil.
	head    *flow.Head
	req     *flow.Request
	imports int
}

func (h *handler) ServeAsOwner(_ context.Context, req *flow.Request, sink flow.Sink) flow.Result {
	h.req = req
	if r, ok := h.result.(flow.Rejected); ok {
		return r
	}
	body, err := io.ReadAll(req.Body.Reader())
	if err != nil {
		return flow.Aborted{Reason: err.Error()}
	}
	head := flow.Head{Status: http.StatusOK, Size: int64(len(body)), Load: &flow.Load{Free: 3, Slots: 4}}
	if h.head != nil {
		head = *h.head
	}
	_ = sink.Head(head)
	_ = sink.Data(body)
	return h.result
}

func (h *handler) ServeAsIssuer(ctx context.Context, req *flow.Request, sink flow.Sink) flow.Result {
	return h.ServeAsOwner(ctx, req, sink)
}

func (*handler) Outcome(time.Time, string) dedup.KeyState {
	return dedup.KeyState{Outcome: flow.OutcomeRan, Response: dedup.Response{Status: 201, Body: []byte("kept"), BodyKept: true}}
}

func (h *handler) Import(*peerpb.InheritRequest) { h.imports++ }

// setUp serves a handler on loopback. It returns a client, the member at whose address the handler
// is served, and the connection pool.
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

// TestHeads guards against the head of a backend server's response that is none and that a peer of an earlier version passes on.
func TestHeads(t *testing.T) {
	for name, head := range map[string]flow.Head{
		"status 000":        {Status: 0},
		"a blank in a name": {Status: http.StatusOK, Header: http.Header{"X Y": {"z"}}},
	} {
		t.Run(name, func(t *testing.T) {
			c, m, _ := setUp(t, &handler{result: flow.Complete{}, head: &head})
			res := c.Serve(t.Context(), m, request(flow.BytesBody(nil)), peerpb.Stage_STAGE_OWNER, &sink{})
			aborted, ok := res.(flow.Aborted)
			assert.Assert(t, ok && !aborted.HeadSent, "%#v", res)
		})
	}
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
			h := &handler{result: flow.Complete{}}
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
	t.Run("a body that fails ends the request at once", func(t *testing.T) {
		c, m, _ := setUp(t, &handler{result: flow.Complete{}})
		broken := io.MultiReader(bytes.NewReader(big), iotest.ErrReader(errors.New("the caller has gone")))
		began := time.Now()
		res, ok := c.Serve(t.Context(), m, request(flow.StreamBody(broken, -1)), peerpb.Stage_STAGE_OWNER, &sink{}).(flow.Aborted)
		assert.Assert(t, ok && strings.Contains(res.Reason, "the caller has gone"), "%#v", res)
		assert.Assert(t, time.Since(began) < 5*time.Second)
	})
	t.Run("an aborted response does not look complete", func(t *testing.T) {
		c, m, _ := setUp(t, &handler{result: flow.Aborted{HeadSent: true, Reason: "cut"}})
		b, ok := c.Serve(t.Context(), m, request(flow.BytesBody([]byte("part"))), peerpb.Stage_STAGE_OWNER, &sink{}).(flow.Aborted)
		assert.Assert(t, ok && b.HeadSent)
	})
	t.Run("a rejection is transmitted", func(t *testing.T) {
		want := flow.NotRun(flow.RejectedQuota, "share")
		want.RetryAfter = time.Second
		c, m, _ := setUp(t, &handler{result: want})
		res := c.Serve(t.Context(), m, request(flow.BytesBody(nil)), peerpb.Stage_STAGE_OWNER, &sink{})
		assert.DeepEqual(t, res, flow.Result(want))
	})
	rows := []struct {
		name    string
		stage   peerpb.Stage
		kind    flow.RejectionKind
		outcome flow.Outcome
	}{
		{"the request has not run if another process has the owner's address", peerpb.Stage_STAGE_OWNER, flow.RejectedNotOwner, flow.OutcomeNotRun},
		{"the outcome is unknown if another process has the issuing process's address", peerpb.Stage_STAGE_HOME, flow.RejectedKeyGone, flow.OutcomeUnknown},
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

// TestFrames checks that invalid frames, as a faulty peer might send, never reach the handler.
func TestFrames(t *testing.T) {
	data := &peerpb.Frame{Kind: &peerpb.Frame_Data{Data: []byte("abc")}}
	end := func(n int64, sum uint64) *peerpb.Frame {
		return &peerpb.Frame{Kind: &peerpb.Frame_End{End: &peerpb.End{BodyBytes: n, Checksum: sum}}}
	}
	open := func(expired bool) *peerpb.Frame {
		at := time.Now().Add(time.Minute)
		if expired {
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
		{"no end frame", []*peerpb.Frame{open(false), data}},
		{"a second open frame", []*peerpb.Frame{open(false), open(false)}},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			h := &handler{result: flow.Complete{}}
			got := sendFrames(t, h, r.frames)
			assert.Equal(t, got.GetRefusal().GetKind(), string(flow.RejectedBadRequest))
			assert.Assert(t, h.req == nil, "the request reached the handler")
		})
	}
	t.Run("valid frames", func(t *testing.T) {
		got := sendFrames(t, &handler{result: flow.Complete{}}, []*peerpb.Frame{open(false), data, end(3, 0x44bc2cf5ad770999)})
		assert.Assert(t, got.GetHead() != nil, "%v", got)
	})
	t.Run("the deadline of a request that waited unread passes by the sender's clock", func(t *testing.T) {
		h := &handler{result: flow.Complete{}}
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
	t.Run("cancel before dispatch", func(t *testing.T) {
		cancelled, err := c.CancelBeforeDispatch(t.Context(), m, "id", time.Now().Add(time.Second))
		assert.NilError(t, err)
		assert.Assert(t, cancelled)
	})
	t.Run("a cancellation at another process is an error", func(t *testing.T) {
		_, err := c.CancelBeforeDispatch(t.Context(), &peerpb.Member{Incarnation: 8, PeerAddress: m.GetPeerAddress()}, "id", time.Now())
		assert.ErrorContains(t, err, "gone")
	})
	t.Run("outcome", func(t *testing.T) {
		state, err := c.Outcome(t.Context(), m, "key")
		assert.NilError(t, err)
		assert.Equal(t, string(state.Response.Body), "kept")
	})
	t.Run("hand over in batches", func(t *testing.T) {
		table := &peerpb.InheritRequest{Incarnation: 9, Records: make([]*peerpb.RunRecord, 450)}
		for i := range table.Records {
			table.Records[i] = &peerpb.RunRecord{Key: "k"}
		}
		assert.NilError(t, c.HandOver(t.Context(), m, table))
		assert.Equal(t, h.imports, 3)
	})
}
