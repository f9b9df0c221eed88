package conns

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/lib/pkg/fault"
)

// TestCutHeads guards against a response whose head breaks off and that is passed on as a complete one, with an empty or a short body.
func TestCutHeads(t *testing.T) {
	heads := map[string]string{
		"with a length":    "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 12\r\n\r\n",
		"length at first":  "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Id: a\r\n\r\n",
		"chunked":          "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n",
		"without a length": "HTTP/1.1 200 OK\r\nX-Id: a\r\nConnection: close\r\n\r\n",
		"after an interim": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\nConnection: close\r\n\r\n",
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			for cut := 1; cut < len(head); cut++ {
				address := server(t, func(c net.Conn, _ *http.Request, _ int) bool {
					_, _ = io.WriteString(c, head[:cut])
					return false
				})
				_, err := send(t, NewPool(Dialer(), echo), address, "a")
				assert.Assert(t, err != nil, "cut after %q", head[:cut])
				kind := fault.KindOf[Kind](err)
				assert.Assert(t, kind == KindBroken || kind == KindLost, "cut after %q: %v", head[:cut], err)
			}
		})
	}
}

// TestRepeatedRejections guards against an earlier rejection that a faulty backend server writes once more on a kept connection and that
// counts for the request that it is running: the caller would be told that this request did not run.
func TestRepeatedRejections(t *testing.T) {
	rejection := func(id string) string {
		if id != "" {
			id = "X-Id: " + id + "\r\n"
		}
		return "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n" + id + "Content-Length: 0\r\n\r\n"
	}
	const answer = "HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 2\r\n\r\nok"
	copies := map[string]string{
		"with its id": rejection("a"), "without an id": rejection(""), "twice": rejection("a") + rejection("a"),
		"three times": rejection("a") + rejection("a") + rejection("a"), "in both forms": rejection("a") + rejection(""),
	}
	delays := []time.Duration{0, time.Millisecond, 20 * time.Millisecond}
	for name, text := range copies {
		for _, delay := range delays {
			t.Run(fmt.Sprintf("%s, after %s", name, delay), func(t *testing.T) {
				address := server(t, func(c net.Conn, r *http.Request, n int) bool {
					if r.Header.Get(idHeader) == "a" {
						_, _ = io.WriteString(c, rejection("a"))
						if delay == 0 {
							_, _ = io.WriteString(c, text)
						}
						return true
					}
					if n > 0 {
						time.Sleep(delay)
						_, _ = io.WriteString(c, text)
					}
					_, _ = io.WriteString(c, answer)
					return true
				})
				p := NewPool(Dialer(), echo)
				first, err := p.Send(t.Context(), "target", address, request("a"))
				assert.NilError(t, err)
				assert.Equal(t, first.Head().Status, http.StatusServiceUnavailable)
				second, err := p.Send(t.Context(), "target", address, request("b"))
				if err != nil {
					assertKind(t, err, KindBroken)
					return
				}
				assert.Equal(t, second.Head().Status, http.StatusOK)
				assert.Equal(t, echo(second.Head().Header), "b")
			})
		}
	}
}

// request returns a request that may not run twice.
func request(id string) *Request {
	h := http.Header{}
	h.Set(idHeader, id)
	return &Request{ID: id, Method: http.MethodPost, URI: "/", Host: "h", Header: h}
}
