// Package server implements the HTTP client for backend servers. It verifies that a response is
// complete and belongs to the request.
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
	"rosemarygrade.dev/lib/pkg/reply"
)

// Headers between entryd and backend servers.
const (
	// HeaderRequestID carries the request ID, which the response must echo.
	HeaderRequestID = "Rosemary-Request-Id"
	// HeaderDeadline carries the time left for the request in milliseconds.
	HeaderDeadline = "Rosemary-Deadline-Millis"
	// HeaderNotRun marks a response with status 503 to a request that the backend server did not run.
	HeaderNotRun = "Rosemary-Not-Run"
)

// Limits of the connections to backend servers.
const (
	maxIdlePerServer = 400
	dialTimeout      = time.Second
	idleTimeout      = 90 * time.Second
	chunkBytes       = 32 << 10
	// maxBuffered is the number of body bytes that are read before the head is written to the sink, so
	// that the caller still gets an error response if a short response is incomplete.
	maxBuffered    = 32 << 10
	maxHeaderBytes = 64 << 10
)

// Client sends requests to backend servers. It is safe for concurrent use.
type Client struct {
	transport *reply.Transport
	buffers   sync.Pool
}

// NewClient returns a Client without connections.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		transport: reply.NewTransport(&http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdlePerServer,
			IdleConnTimeout: idleTimeout, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
		}),
		buffers: sync.Pool{New: func() any { b := make([]byte, chunkBytes); return &b }},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do sends a request to the backend server at an address and writes the response to the sink.
func (c *Client) Do(ctx context.Context, address string, req *flow.Request, sink flow.Sink) flow.Result {
	var connected, reused atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			connected.Store(true)
			reused.Store(i.Reused)
		},
	})
	r, err := newRequest(ctx, address, req)
	if err != nil {
		return flow.NotRun(flow.RejectedBadRequest, err.Error())
	}
	resp, err := c.transport.RoundTrip(r)
	if err != nil {
		return failedResult(ctx, connected.Load(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	echo := resp.Header.Get(HeaderRequestID)
	// On a connection that was used before, a response without an id may be a late copy of an earlier one.
	mayBeOthers := echo != req.ID && (echo != "" || reused.Load())
	if resp.Header.Get(HeaderNotRun) == "true" && resp.StatusCode == http.StatusServiceUnavailable && !mayBeOthers {
		return flow.NotRun(flow.RejectedShed, "the backend server shed the request")
	}
	if mayBeOthers || (echo == "" && req.EchoNeeded) {
		return flow.Aborted{Reason: "the answer does not carry the request's id"}
	}
	return c.forward(resp, address, sink)
}

// failedResult returns the result of a request without a response. It has not run if no connection
// was established.
func failedResult(ctx context.Context, connected bool, err error) flow.Result {
	if !connected {
		if ctx.Err() != nil {
			return flow.NotRun(flow.RejectedExpired, "no connection before the deadline")
		}
		return flow.NotRun(flow.RejectedConnect, err.Error())
	}
	return flow.Aborted{Reason: err.Error()}
}

// singleUseBody hides the type of a body from net/http, which could otherwise read the body again
// to retry the request by itself.
type singleUseBody struct{ io.Reader }

// Close implements io.Closer.
func (singleUseBody) Close() error { return nil }

// transportMayRetry reports whether net/http may retry a request without a body by itself. Such a
// request is sent with an empty body, which net/http does not retry. Others are sent without a
// body, so that the backend server detects a closed connection immediately.
func transportMayRetry(req *flow.Request) bool {
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
		body = singleUseBody{req.Body.Reader()}
	}
	if body == nil && !req.Idempotent && transportMayRetry(req) {
		body = singleUseBody{http.NoBody}
	}
	r, err := http.NewRequestWithContext(ctx, req.Method, "http://"+address+req.Path, body)
	if err != nil {
		return nil, err
	}
	if req.Body != nil {
		r.ContentLength = req.Body.Size()
	}
	// Without ids, responses can only be told apart by their connections.
	r.Close = !req.EchoNeeded
	for name, values := range req.Header {
		r.Header[name] = values
	}
	r.Header.Set(HeaderRequestID, req.ID)
	if left := time.Until(req.Deadline); left > 0 {
		r.Header.Set(HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	}
	return r, nil
}

// forward writes a response to the sink. A short response is read completely before its head is written.
func (c *Client) forward(resp *http.Response, address string, sink flow.Sink) flow.Result {
	buf, _ := c.buffers.Get().(*[]byte)
	defer c.buffers.Put(buf)
	n, complete, err := readStart(resp.Body, (*buf)[:maxBuffered])
	if err != nil {
		return flow.Aborted{Reason: err.Error()}
	}
	if complete && resp.ContentLength > int64(n) && resp.Request.Method != http.MethodHead {
		return flow.Aborted{Reason: "the answer is shorter than it declares"}
	}
	head := flow.Head{Status: resp.StatusCode, Header: resp.Header, Size: resp.ContentLength, Server: address}
	if complete && resp.Request.Method != http.MethodHead {
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
	if complete {
		return flow.Complete{}
	}
	return forwardRest(resp.Body, *buf, sink)
}

// readStart reads until buf is full or the body ends, and reports whether the body is complete. A
// body that ends early is an error.
func readStart(body io.Reader, buf []byte) (n int, complete bool, err error) {
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

func forwardRest(body io.Reader, buf []byte, sink flow.Sink) flow.Result {
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
