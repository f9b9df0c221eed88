package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/edged/pkg/conns"
	"rosemarygrade.dev/edged/pkg/memory"
	"rosemarygrade.dev/edged/pkg/meter"
	"rosemarygrade.dev/edged/pkg/pick"
	"rosemarygrade.dev/lib/pkg/header"
	"rosemarygrade.dev/lib/pkg/plan"
)

// codec has only the header of the attempt's id.
type codec struct{}

const idHeader, notRunHeader = "X-Id", "X-Not-Run"

func (codec) DecodeRequest(h http.Header) header.Request {
	return header.Request{AttemptID: h.Get(idHeader)}
}

func (codec) EncodeRequest(http.Header, time.Duration, string, string) {}

func (codec) DecodeResponse(_ int, h http.Header) header.Response {
	return header.Response{AttemptID: h.Get(idHeader), Signed: true, NotRun: h.Get(notRunHeader) != ""}
}

func (codec) ForwardToServer(string) bool { return true }

func (codec) ForwardToCaller(string) bool { return true }

// env has one route to one backend server.
type env struct{ view *plan.View }

func (e env) View() *plan.View { return e.view }

func (env) Hosts() int { return 1 }

func (env) Region() string { return "north" }

func (env) IsElectedFor(*plan.Backend) bool { return false }

func (env) SlowStartShare() float64 { return 1 }

func (env) Demand() map[string]float64 { return nil }

// newProxy starts a server with a handler in front of a backend server that answers each request with respond.
func newProxy(t *testing.T, respond func(c *net.TCPConn, id string)) (*Handler, string) {
	t.Helper()
	return newProxyWith(t, memory.Unlimited(), respond)
}

// newProxyWith is newProxy with an account for the memory of requests.
func newProxyWith(t *testing.T, account *memory.Account, respond func(c *net.TCPConn, id string)) (*Handler, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			tcp, ok := c.(*net.TCPConn)
			if !ok {
				return
			}
			go func() {
				defer func() { _ = tcp.Close() }()
				if r, err := http.ReadRequest(bufio.NewReader(tcp)); err == nil {
					// Bytes that are unread at the close would reset the connection, and with it the response.
					_, _ = io.Copy(io.Discard, r.Body)
					respond(tcp, r.Header.Get(idHeader))
				}
			}()
		}
	}()
	h := newHandler(t, l.Addr().String(), account)
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return h, server.Listener.Addr().String()
}

// newHandler returns a handler with one route, of all paths of the host "web", to the backend server at an address.
func newHandler(t testing.TB, backendAddress string, account *memory.Account) *Handler {
	t.Helper()
	config, err := plan.NewConfig(plan.ConfigSpec{Version: 1, Services: []plan.ServiceSpec{{Name: "alpha"}}, Routes: []plan.RouteSpec{{
		Name: "r", Host: "web", Prefix: "/", Timeout: 30 * time.Second, MaxAttempts: 1,
		WeightedServices: []plan.WeightedService{{Service: "alpha", Weight: 1}},
	}}, Limits: plan.Limits{BodyBytes: 1 << 20}})
	assert.NilError(t, err)
	backend := plan.BackendSpec{ID: "b", Incarnation: 1, Service: "alpha", Address: backendAddress, DataCentre: "n", Slots: 9}
	e := env{plan.NewView(config, []plan.BackendSpec{backend}, nil, map[string]string{"n": "north"})}
	return New(e, codec{}, conns.NewPool(conns.Dialer(), func(h http.Header) string { return h.Get(idHeader) }),
		pick.New(pick.DefaultRules(), e), pick.NewRetryBudget(pick.BudgetRule{Window: time.Second}), account, meter.New(), slog.New(slog.DiscardHandler))
}

// call sends a request with an HTTP version and returns the length of the body, and the error if it broke off.
func call(t *testing.T, address, version string) (int, error) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "GET / %s\r\nHost: web\r\nX-Id: a\r\n\r\n", version)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	body, err := io.ReadAll(resp.Body)
	return len(body), err
}

// TestBrokenResponses breaks off long responses, whose head is passed on before the body is read: the caller must see a break,
// never the end of a complete response.
func TestBrokenResponses(t *testing.T) {
	const part = 600 << 10
	body := strings.Repeat("x", part)
	send := func(c *net.TCPConn, id, headers, body string) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%s\r\n%s", id, headers, body)
	}
	forms := map[string]func(c *net.TCPConn, id string){
		"in a body with a length": func(c *net.TCPConn, id string) { send(c, id, "Content-Length: 9999999\r\n", body) },
		"in a chunk": func(c *net.TCPConn, id string) {
			send(c, id, "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s", 2*part, body))
		},
		"between chunks": func(c *net.TCPConn, id string) {
			send(c, id, "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n", part, body))
		},
		"in the trailer": func(c *net.TCPConn, id string) {
			send(c, id, "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\nX-Tr", part, body))
		},
		"by a reset in a body without a length": func(c *net.TCPConn, id string) {
			send(c, id, "", body)
			time.Sleep(100 * time.Millisecond)
			_ = c.SetLinger(0)
		},
	}
	for name, respond := range forms {
		for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
			t.Run(name+", "+version, func(t *testing.T) {
				_, address := newProxy(t, respond)
				n, err := call(t, address, version)
				assert.Assert(t, err != nil, "%d bytes looked like a complete response", n)
			})
		}
	}
	t.Run("a complete one without a length is passed on", func(t *testing.T) {
		for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
			_, address := newProxy(t, func(c *net.TCPConn, id string) { send(c, id, "", body) })
			n, err := call(t, address, version)
			assert.NilError(t, err)
			assert.Equal(t, n, part)
		}
	})
}

// TestBrokenPipelined sends two requests at once: after a response that broke off, nothing more may come on the connection, as it would
// look like the rest of the first response or like the answer to the second request.
func TestBrokenPipelined(t *testing.T) {
	const sent = 600 << 10
	_, address := newProxy(t, func(c *net.TCPConn, id string) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 9999999\r\n\r\n%s", id, strings.Repeat("x", sent))
	})
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: web\r\nX-Id: a\r\n\r\nGET / HTTP/1.1\r\nHost: web\r\nX-Id: b\r\n\r\n")
	assert.NilError(t, err)
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.Assert(t, err != nil && len(body) <= sent && strings.Trim(string(body), "x") == "", "%d bytes, %v", len(body), err)
	_, err = r.ReadByte()
	assert.Assert(t, err != nil, "more bytes after a response that broke off")
}

// TestRejectionWithBody rejects requests with a body that is not read completely: the connections to the backend server must end.
func TestRejectionWithBody(t *testing.T) {
	closed := make(chan error, 1)
	_, address := newProxy(t, func(c *net.TCPConn, id string) {
		const size = 600 << 10
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: %d\r\n\r\n%s", id, size, strings.Repeat("x", size))
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err := c.Read(make([]byte, 1))
		closed <- err
	})
	_, err := call(t, address, "HTTP/1.1")
	assert.NilError(t, err)
	assert.Assert(t, !errors.Is(<-closed, os.ErrDeadlineExceeded), "the connection stays open")
}

// TestSteadyReader reads a long response steadily, for longer than one write may take.
func TestSteadyReader(t *testing.T) {
	const size = 24 << 20
	h, address := newProxy(t, func(c *net.TCPConn, id string) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n", id, size)
		_, _ = io.CopyN(c, zeros{}, size)
	})
	h.writeTimeout = 400 * time.Millisecond
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: web\r\nX-Id: a\r\n\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	buf := make([]byte, 1<<20)
	for range size / len(buf) {
		time.Sleep(50 * time.Millisecond)
		_, err := io.ReadFull(resp.Body, buf)
		assert.NilError(t, err)
	}
}

// TestStalledReader stops reading a long response: it must end.
func TestStalledReader(t *testing.T) {
	h, address := newProxy(t, func(c *net.TCPConn, id string) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n", id, 1<<30)
		_, _ = io.CopyN(c, zeros{}, 1<<30)
	})
	h.writeTimeout = 200 * time.Millisecond
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: web\r\nX-Id: a\r\n\r\n")
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for h.InFlight() == 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	for h.InFlight() > 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	assert.NilError(t, ctx.Err())
}

// zeros is an endless source of zero bytes.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
