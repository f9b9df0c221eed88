package conns

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/lib/pkg/fault"
)

const idHeader = "X-Id"

func echo(h http.Header) string { return h.Get(idHeader) }

// server starts a server that calls handle for each request, with its number on the connection. handle writes the response
// and reports whether the connection stays open.
func server(t *testing.T, handle func(c net.Conn, r *http.Request, n int) bool) string {
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
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for n := 0; ; n++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, req.Body); err != nil || !handle(c, req, n) {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func respond(text string) func(c net.Conn, r *http.Request, n int) bool {
	return func(c net.Conn, _ *http.Request, _ int) bool {
		_, err := io.WriteString(c, text)
		return err == nil && !strings.Contains(text, "close")
	}
}

func send(t *testing.T, p *Pool, address, id string) (*Response, error) {
	t.Helper()
	return p.Send(t.Context(), "target", address, &Request{ID: id, Method: "GET", URI: "/", Host: "h", Header: http.Header{}})
}

func assertKind(t *testing.T, err error, want Kind) {
	t.Helper()
	assert.Equal(t, fault.KindOf[Kind](err), want, "%v", err)
}

func TestAnswers(t *testing.T) {
	complete := "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok"
	foreign := strings.Replace(complete, "X-Id: a", "X-Id: z", 1)
	rows := []struct {
		name, text string
		kind       Kind
	}{
		{"complete", complete, ""},
		{"chunked", "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", ""},
		{"without a length, to the end of the connection", "HTTP/1.1 200 OK\r\nX-Id: a\r\nConnection: close\r\n\r\nok", ""},
		{"after a late response to another request", foreign + complete, ""},
		{"only responses to other requests", foreign + foreign + foreign, KindBroken},
		{"body shorter than its Content-Length", "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 9\r\nConnection: close\r\n\r\nok", KindBroken},
		{"closed without a response", "", KindLost},
		{"bytes that are not HTTP", "\x00hello\r\n\r\n", KindBroken},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			address := server(t, func(c net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(c, r.text)
				return false
			})
			a, err := send(t, NewPool(Dialer(), echo), address, "a")
			if r.kind != "" {
				assertKind(t, err, r.kind)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, string(a.Body()), "ok")
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		address := l.Addr().String()
		assert.NilError(t, l.Close())
		_, err = send(t, NewPool(Dialer(), echo), address, "a")
		assertKind(t, err, KindUnsent)
	})
}

func TestKeeping(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok"
	twice := func(t *testing.T, handle func(c net.Conn, r *http.Request, n int) bool, between func()) uint64 {
		t.Helper()
		address := server(t, handle)
		p := NewPool(Dialer(), echo)
		for range 2 {
			_, err := send(t, p, address, "a")
			assert.NilError(t, err)
			if between != nil {
				between()
			}
		}
		return p.Opened()
	}
	t.Run("a connection is reused", func(t *testing.T) { assert.Equal(t, twice(t, respond(ok), nil), uint64(1)) })
	t.Run("a connection is not reused after Connection: close", func(t *testing.T) {
		closing := "HTTP/1.1 200 OK\r\nX-Id: a\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
		stays := func(c net.Conn, r *http.Request, n int) bool {
			respond(closing)(c, r, n)
			return true
		}
		assert.Equal(t, twice(t, stays, nil), uint64(2))
	})
	t.Run("a connection with unread bytes is not reused", func(t *testing.T) {
		stray := func(c net.Conn, r *http.Request, n int) bool { return respond(ok+"stray")(c, r, n) }
		assert.Equal(t, twice(t, stray, func() { time.Sleep(50 * time.Millisecond) }), uint64(2))
	})
	t.Run("a connection that the backend server closed is not reused", func(t *testing.T) {
		once := func(c net.Conn, r *http.Request, n int) bool {
			respond(ok)(c, r, n)
			return false
		}
		assert.Equal(t, twice(t, once, func() { time.Sleep(50 * time.Millisecond) }), uint64(2))
	})
	t.Run("a connection is not reused after its Keep-Alive timeout", func(t *testing.T) {
		short := "HTTP/1.1 200 OK\r\nX-Id: a\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok"
		assert.Equal(t, twice(t, respond(short), nil), uint64(2))
	})
	t.Run("a cancelled request closes its connection", func(t *testing.T) {
		closed := make(chan struct{})
		address := server(t, func(c net.Conn, _ *http.Request, _ int) bool {
			_, _ = c.Read(make([]byte, 1))
			close(closed)
			return false
		})
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := NewPool(Dialer(), echo).Send(ctx, "target", address, &Request{ID: "a", Method: "GET", URI: "/", Host: "h"})
		assertKind(t, err, KindLost)
		<-closed
	})
}

// TestIdleClosedConnections guards against failures by backend servers that close idle connections without notice: the
// next request on such a connection is reset unread.
func TestIdleClosedConnections(t *testing.T) {
	const idleFor = 60 * time.Millisecond
	ok := "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok"
	closesIdle := func(c net.Conn, r *http.Request, n int) bool {
		if n == 0 {
			return respond(ok)(c, r, n)
		}
		tcp, isTCP := c.(*net.TCPConn)
		if isTCP {
			// SO_LINGER 0 makes Close reset the connection.
			_ = tcp.SetLinger(0)
		}
		return false
	}
	ask := func(p *Pool, target, address string, idempotent bool) error {
		_, err := p.Send(t.Context(), target, address, &Request{
			ID: "a", Method: "GET", URI: "/", Host: "h", Header: http.Header{}, Idempotent: idempotent,
		})
		return err
	}
	p := NewPool(Dialer(), echo)
	first, second := server(t, closesIdle), server(t, closesIdle)
	assert.NilError(t, errors.Join(ask(p, "first", first, true), ask(p, "second", second, true)))
	time.Sleep(idleFor)
	assertKind(t, ask(p, "first", first, true), KindIdleClosed)
	t.Run("a connection that was idle for as long is not used again", func(t *testing.T) {
		assert.NilError(t, ask(p, "first", first, true))
		time.Sleep(idleFor)
		assert.NilError(t, ask(p, "first", first, true))
	})
	t.Run("a request that may not run twice uses no such connection of another backend server either", func(t *testing.T) {
		assert.NilError(t, ask(p, "second", second, false))
	})
}

func TestIdleLimits(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	limits := idleLimits{targets: map[string]idleLimit{}}
	allows := func(after time.Duration, target string, idleFor time.Duration, idempotent bool) bool {
		return limits.allows(now.Add(after), target, idleFor, idempotent)
	}
	assert.Assert(t, allows(0, "a", time.Hour, false), "no limit applies")
	limits.recordIdleClose(now, "a", time.Second)
	rows := []struct {
		name       string
		after      time.Duration
		target     string
		idleFor    time.Duration
		idempotent bool
		want       bool
	}{
		{"a short idle time", 0, "a", 400 * time.Millisecond, false, true},
		{"a long idle time", 0, "a", 600 * time.Millisecond, true, false},
		{"a long idle time at another target", 0, "b", 600 * time.Millisecond, true, true},
		{"a long idle time at another target, not idempotent", 0, "b", 600 * time.Millisecond, false, false},
		{"a long idle time after the limit expired", idleLimitTTL, "a", time.Hour, false, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			assert.Equal(t, allows(row.after, row.target, row.idleFor, row.idempotent), row.want)
		})
	}
	t.Run("a connection closed after a longer idle time does not raise the limit", func(t *testing.T) {
		limits.recordIdleClose(now, "a", time.Hour)
		assert.Assert(t, !allows(0, "a", 600*time.Millisecond, true))
	})
}
