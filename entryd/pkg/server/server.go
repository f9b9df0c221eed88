// Package server sends requests to backend servers and checks that their answers are whole and
// belong to the request.
package server

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"rosemarygrade.dev/entryd/pkg/flow"
)

// Headers between entryd and backend servers.
const (
	// HeaderRequestID carries the request's id; the answer must echo it.
	HeaderRequestID = "Rosemary-Request-Id"
	// HeaderDeadline carries the milliseconds that are left for the request.
	HeaderDeadline = "Rosemary-Deadline-Millis"
	// HeaderNotRun marks an answer that refuses a request that did not run.
	HeaderNotRun = "Rosemary-Not-Run"
)

// Limits of the connections to backend servers.
const (
	maxIdlePerServer = 400
	dialTimeout      = time.Second
	idleTimeout      = 90 * time.Second
	chunkBytes       = 32 << 10
	// wholeBytes is how much of an answer is read before its head is passed on, so that a broken
	// short answer can still become an error.
	wholeBytes     = 32 << 10
	maxHeaderBytes = 64 << 10
)

// Client is safe for concurrent use.
type Client struct {
	transport *http.Transport
	chunks    sync.Pool
}

// NewClient returns a client.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdlePerServer,
			IdleConnTimeout: idleTimeout, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
		},
		chunks: sync.Pool{New: func() any { b := make([]byte, chunkBytes); return &b }},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do sends a request to a server and passes its answer to the sink.
func (c *Client) Do(ctx context.Context, address string, req *flow.Request, sink flow.Sink) flow.Result {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	r, err := newRequest(ctx, address, req)
	if err != nil {
		return flow.NotRun(flow.RefusedBadBody, err.Error())
	}
	resp, err := c.transport.RoundTrip(r)
	if err != nil {
		return failed(ctx, connected.Load(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get(HeaderNotRun) == "true" && resp.StatusCode == http.StatusServiceUnavailable {
		return flow.NotRun(flow.RejectedShed, "the backend server shed the request")
	}
	echo := resp.Header.Get(HeaderRequestID)
	if echo != req.ID && (echo != "" || req.EchoNeeded) {
		return flow.Aborted{Reason: "the answer does not carry the request's id"}
	}
	return c.pass(resp, address, sink)
}

// failed tells whether a request that got no answer can have run.
func failed(ctx context.Context, connected bool, err error) flow.Result {
	if !connected {
		if ctx.Err() != nil {
			return flow.NotRun(flow.RejectedExpired, "no connection before the deadline")
		}
		return flow.NotRun(flow.RejectedConnect, err.Error())
	}
	return flow.Aborted{Reason: err.Error()}
}

// onceBody hides a body's type, so that the HTTP library can't send a request a second time by itself.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// repeatable tells whether the HTTP library would send a request without a body again by itself.
// Others go without a body, not with an empty one, so that the server sees at once when the
// connection is closed.
func repeatable(req *flow.Request) bool {
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return req.Header.Get("Idempotency-Key") != "" || req.Header.Get("X-Idempotency-Key") != ""
	}
}

func newRequest(ctx context.Context, address string, req *flow.Request) (*http.Request, error) {
	var body io.Reader
	if req.Body != nil && req.Body.Size() != 0 {
		body = onceBody{req.Body.Reader()}
	}
	if body == nil && !req.Idempotent && repeatable(req) {
		body = onceBody{http.NoBody}
	}
	r, err := http.NewRequestWithContext(ctx, req.Method, "http://"+address+req.Path, body)
	if err != nil {
		return nil, err
	}
	if req.Body != nil {
		r.ContentLength = req.Body.Size()
	}
	for name, values := range req.Header {
		r.Header[name] = values
	}
	r.Header.Set(HeaderRequestID, req.ID)
	if left := time.Until(req.Deadline); left > 0 {
		r.Header.Set(HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	}
	return r, nil
}

// pass passes the answer on. A short answer is read whole before its head is passed.
func (c *Client) pass(resp *http.Response, address string, sink flow.Sink) flow.Result {
	buf, _ := c.chunks.Get().(*[]byte)
	defer c.chunks.Put(buf)
	n, whole, err := readStart(resp.Body, (*buf)[:wholeBytes])
	if err != nil {
		return flow.Aborted{Reason: err.Error()}
	}
	if whole && resp.ContentLength > int64(n) && resp.Request.Method != http.MethodHead {
		return flow.Aborted{Reason: "the answer is shorter than it declares"}
	}
	head := flow.Head{Status: resp.StatusCode, Header: resp.Header, Size: resp.ContentLength, Server: address}
	if whole && resp.Request.Method != http.MethodHead {
		head.Size = int64(n)
	}
	if err := sink.Head(head); err != nil {
		return flow.Aborted{HeadSent: true, Reason: err.Error()}
	}
	if n > 0 {
		if err := sink.Data((*buf)[:n]); err != nil {
			return flow.Aborted{HeadSent: true, Reason: err.Error()}
		}
	}
	if whole {
		return flow.Complete{}
	}
	return stream(resp.Body, *buf, sink)
}

// readStart fills buf, and tells whether the body ended within it. A body that ends early is an error.
func readStart(body io.Reader, buf []byte) (n int, whole bool, err error) {
	for n < len(buf) {
		m, err := body.Read(buf[n:])
		n += m
		if errors.Is(err, io.EOF) {
			return n, true, nil
		}
		if err != nil {
			return n, false, err
		}
	}
	return n, false, nil
}

func stream(body io.Reader, buf []byte, sink flow.Sink) flow.Result {
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if serr := sink.Data(buf[:n]); serr != nil {
				return flow.Aborted{HeadSent: true, Reason: serr.Error()}
			}
		}
		if errors.Is(err, io.EOF) {
			return flow.Complete{}
		}
		if err != nil {
			return flow.Aborted{HeadSent: true, Reason: err.Error()}
		}
	}
}
