package server_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/entryd/pkg/flow"
	"rosemarygrade.dev/entryd/pkg/server"
)

// recorder is a sink that keeps the response.
type recorder struct {
	head *flow.Head
	body []byte
}

func (s *recorder) Head(h flow.Head) error { s.head = &h; return nil }

func (s *recorder) Data(p []byte) error { s.body = append(s.body, p...); return nil }

func request(method, path string, idempotent bool) *flow.Request {
	return &flow.Request{
		ID: "id-1", Method: method, Path: path, Header: http.Header{}, Body: flow.BytesBody(nil),
		Deadline: time.Now().Add(time.Minute), Idempotent: idempotent, EchoNeeded: true,
	}
}

// raw starts a server that sends the n-th response to the n-th request of each connection, then
// closes the connection. An empty response only closes the connection. It returns the address and
// the number of requests so far.
func raw(t *testing.T, responses ...string) (address string, requests *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	n := new(atomic.Int64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				buf := make([]byte, 64<<10)
				for _, resp := range responses {
					if _, err := c.Read(buf); err != nil {
						return
					}
					n.Add(1)
					if _, err := c.Write([]byte(resp)); err != nil || resp == "" {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), n
}

const good = "HTTP/1.1 200 OK\r\nRosemary-Request-Id: id-1\r\n"

func assertComplete(t *testing.T, res flow.Result, got *recorder, body string) {
	t.Helper()
	_, ok := res.(flow.Complete)
	assert.Assert(t, ok, "%#v", res)
	assert.Equal(t, string(got.body), body)
}

func assertAborted(t *testing.T, res flow.Result, headSent bool) {
	t.Helper()
	b, ok := res.(flow.Aborted)
	assert.Assert(t, ok, "%#v", res)
	assert.Equal(t, b.HeadSent, headSent, b.Reason)
}

func assertNotRun(t *testing.T, res flow.Result, kind flow.RejectionKind) {
	t.Helper()
	r, ok := res.(flow.Rejected)
	assert.Assert(t, ok, "%#v", res)
	assert.Equal(t, r.Kind, kind)
	assert.Equal(t, r.Outcome, flow.OutcomeNotRun)
}

func TestAnswers(t *testing.T) {
	long := strings.Repeat("x", 100<<10)
	rows := []struct {
		name, response string
		check          func(t *testing.T, res flow.Result, got *recorder)
	}{
		{"complete", good + "Content-Length: 2\r\n\r\nok", func(t *testing.T, res flow.Result, got *recorder) { assertComplete(t, res, got, "ok") }},
		{"chunked", good + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", func(t *testing.T, res flow.Result, got *recorder) { assertComplete(t, res, got, "ok") }},
		{"empty", good + "Content-Length: 0\r\n\r\n", func(t *testing.T, res flow.Result, got *recorder) { assertComplete(t, res, got, "") }},
		{"short", good + "Content-Length: 9\r\n\r\nok", func(t *testing.T, res flow.Result, _ *recorder) { assertAborted(t, res, false) }},
		{"chunked short", good + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", func(t *testing.T, res flow.Result, _ *recorder) { assertAborted(t, res, false) }},
		{"long, cut after the head was forwarded", good + "Content-Length: 200000\r\n\r\n" + long, func(t *testing.T, res flow.Result, _ *recorder) { assertAborted(t, res, true) }},
		{"more than declared", good + "Content-Length: 2\r\n\r\nokmore", func(t *testing.T, res flow.Result, got *recorder) { assertComplete(t, res, got, "ok") }},
		{"response to another request", "HTTP/1.1 200 OK\r\nRosemary-Request-Id: id-2\r\nContent-Length: 2\r\n\r\nok", func(t *testing.T, res flow.Result, _ *recorder) { assertAborted(t, res, false) }},
		{"without request ID", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", func(t *testing.T, res flow.Result, _ *recorder) { assertAborted(t, res, false) }},
		{"garbage", "\x00\x01\x02\r\n\r\n", func(t *testing.T, res flow.Result, _ *recorder) { assertAborted(t, res, false) }},
		{"closed", "", func(t *testing.T, res flow.Result, _ *recorder) { assertAborted(t, res, false) }},
		{"shed", "HTTP/1.1 503 x\r\nRosemary-Not-Run: true\r\nContent-Length: 0\r\n\r\n", func(t *testing.T, res flow.Result, _ *recorder) { assertNotRun(t, res, flow.RejectedShed) }},
		{"503 without Rosemary-Not-Run", "HTTP/1.1 503 x\r\nRosemary-Request-Id: id-1\r\nContent-Length: 2\r\n\r\nno", func(t *testing.T, res flow.Result, got *recorder) { assertComplete(t, res, got, "no") }},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			address, _ := raw(t, r.response)
			got := &recorder{}
			r.check(t, server.NewClient().Do(t.Context(), address, request("POST", "/", false), got), got)
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		assertNotRun(t, server.NewClient().Do(t.Context(), "127.0.0.1:1", request("POST", "/", false), &recorder{}), flow.RejectedConnect)
	})
	t.Run("deadline exceeded", func(t *testing.T) {
		s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
		defer s.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		assertAborted(t, server.NewClient().Do(ctx, s.Listener.Addr().String(), request("POST", "/", false), &recorder{}), false)
	})
}

// TestNoSilentRepeat guards against a request that may run at most once being sent twice: net/http
// retries some requests by itself when a reused connection closes.
func TestNoSilentRepeat(t *testing.T) {
	rows := []struct {
		name string
		req  *flow.Request
		key  string
	}{
		{"GET", request("GET", "/", false), ""},
		{"POST", request("POST", "/", false), ""},
		{"POST with an idempotency key", request("POST", "/", false), "k"},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			address, n := raw(t, good+"Content-Length: 2\r\n\r\nok", "")
			c := server.NewClient()
			assertComplete(t, c.Do(t.Context(), address, request("GET", "/", true), &recorder{}), &recorder{body: []byte("ok")}, "ok")
			if r.key != "" {
				r.req.Header.Set("Idempotency-Key", r.key)
			}
			assertAborted(t, c.Do(t.Context(), address, r.req, &recorder{}), false)
			assert.Equal(t, n.Load(), int64(2))
		})
	}
}

// TestLateCopies sends a late copy of an earlier response while the second request of a connection is in flight, whose responses name
// their request or not. The second request must not get it, and must not count as not run by it.
func TestLateCopies(t *testing.T) {
	const id, late = "Rosemary-Request-Id: id-1\r\n", "late"
	response := func(header, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
	}
	shed := func(header string) string {
		return "HTTP/1.1 503 Busy\r\nRosemary-Not-Run: true\r\n" + header + "Content-Length: 0\r\n\r\n"
	}
	rows := map[string]struct {
		echoNeeded  bool
		first, copy string
	}{
		"a response with its id":             {true, response(id, "first"), response(id, late)},
		"a response without an id":           {true, response(id, "first"), response("", late)},
		"a service whose responses lack ids": {false, response("", "first"), response("", late)},
		"a rejection with its id":            {true, response(id, "first"), shed(id)},
		"a rejection without an id":          {true, response(id, "first"), shed("")},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			address, _ := raw(t, row.first, row.copy)
			c := server.NewClient()
			send := func(id string) (flow.Result, *recorder) {
				got, req := &recorder{}, request(http.MethodPost, "/", false)
				req.ID, req.EchoNeeded = id, row.echoNeeded
				return c.Do(t.Context(), address, req, got), got
			}
			first, got := send("id-1")
			assertComplete(t, first, got, "first")
			second, got := send("id-2")
			if !row.echoNeeded {
				assertComplete(t, second, got, "first")
				return
			}
			_, rejected := second.(flow.Rejected)
			assert.Assert(t, !rejected && string(got.body) != late, "%#v with %q", second, got.body)
		})
	}
}

// TestCutHeads guards against a response whose head breaks off and that is passed on as a complete one, with an empty or a short body.
func TestCutHeads(t *testing.T) {
	heads := []string{
		"HTTP/1.1 200 OK\r\nRosemary-Request-Id: id-1\r\nContent-Length: 12\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nRosemary-Request-Id: id-1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRosemary-Request-Id: id-1\r\nConnection: close\r\n\r\n",
	}
	for _, head := range heads {
		for cut := 1; cut < len(head); cut++ {
			address, _ := raw(t, head[:cut])
			req := request(http.MethodPost, "/", false)
			req.ID, req.EchoNeeded = "id-1", true
			assertAborted(t, server.NewClient().Do(t.Context(), address, req, &recorder{}), false)
		}
	}
}
