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

// server answers each request on a connection by a function, which tells whether the connection stays.
func server(t *testing.T, answer func(c net.Conn, r *http.Request, n int) bool) string {
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
					if _, err := io.Copy(io.Discard, req.Body); err != nil || !answer(c, req, n) {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func say(text string) func(c net.Conn, r *http.Request, n int) bool {
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
	whole := "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok"
	foreign := strings.Replace(whole, "X-Id: a", "X-Id: z", 1)
	rows := []struct {
		name, text string
		kind       Kind
	}{
		{"whole", whole, ""},
		{"in chunks", "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", ""},
		{"without a length, to the end of the connection", "HTTP/1.1 200 OK\r\nX-Id: a\r\nConnection: close\r\n\r\nok", ""},
		{"after a late answer to another request", foreign + whole, ""},
		{"only answers to others", foreign + foreign + foreign, KindBroken},
		{"cut short", "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 9\r\nConnection: close\r\n\r\nok", KindBroken},
		{"no answer at all", "", KindLost},
		{"bytes that are no answer", "\x00hello\r\n\r\n", KindBroken},
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
	t.Run("nobody listens", func(t *testing.T) {
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
	twice := func(t *testing.T, answer func(c net.Conn, r *http.Request, n int) bool, between func()) uint64 {
		t.Helper()
		address := server(t, answer)
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
	t.Run("a connection is used again", func(t *testing.T) { assert.Equal(t, twice(t, say(ok), nil), uint64(1)) })
	t.Run("not one that the backend server is about to close", func(t *testing.T) {
		closing := "HTTP/1.1 200 OK\r\nX-Id: a\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
		stays := func(c net.Conn, r *http.Request, n int) bool {
			say(closing)(c, r, n)
			return true
		}
		assert.Equal(t, twice(t, stays, nil), uint64(2))
	})
	t.Run("not one with bytes that belong to no request", func(t *testing.T) {
		stray := func(c net.Conn, r *http.Request, n int) bool { return say(ok+"stray")(c, r, n) }
		assert.Equal(t, twice(t, stray, func() { time.Sleep(50 * time.Millisecond) }), uint64(2))
	})
	t.Run("not one that was closed meanwhile", func(t *testing.T) {
		once := func(c net.Conn, r *http.Request, n int) bool {
			say(ok)(c, r, n)
			return false
		}
		assert.Equal(t, twice(t, once, func() { time.Sleep(50 * time.Millisecond) }), uint64(2))
	})
	t.Run("not one whose time is over", func(t *testing.T) {
		short := "HTTP/1.1 200 OK\r\nX-Id: a\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok"
		assert.Equal(t, twice(t, say(short), nil), uint64(2))
	})
	t.Run("a cancelled request closes its connection", func(t *testing.T) {
		gone := make(chan struct{})
		address := server(t, func(c net.Conn, _ *http.Request, _ int) bool {
			_, _ = c.Read(make([]byte, 1))
			close(gone)
			return false
		})
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := NewPool(Dialer(), echo).Send(ctx, "target", address, &Request{ID: "a", Method: "GET", URI: "/", Host: "h"})
		assertKind(t, err, KindLost)
		<-gone
	})
}

// TestForgottenConnections plays backend servers that forget connections that rested: the next request is reset unread.
func TestForgottenConnections(t *testing.T) {
	const rested = 60 * time.Millisecond
	ok := "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok"
	forgets := func(c net.Conn, r *http.Request, n int) bool {
		if n == 0 {
			return say(ok)(c, r, n)
		}
		tcp, isTCP := c.(*net.TCPConn)
		if isTCP {
			// Closing with this set resets the connection.
			_ = tcp.SetLinger(0)
		}
		return false
	}
	ask := func(p *Pool, target, address string, repeatable bool) error {
		_, err := p.Send(t.Context(), target, address, &Request{
			ID: "a", Method: "GET", URI: "/", Host: "h", Header: http.Header{}, Idempotent: repeatable,
		})
		return err
	}
	p := NewPool(Dialer(), echo)
	first, second := server(t, forgets), server(t, forgets)
	assert.NilError(t, errors.Join(ask(p, "first", first, true), ask(p, "second", second, true)))
	time.Sleep(rested)
	assertKind(t, ask(p, "first", first, true), KindIdleClosed)
	t.Run("it is not trusted to rest so long again", func(t *testing.T) {
		assert.NilError(t, ask(p, "first", first, true))
		time.Sleep(rested)
		assert.NilError(t, ask(p, "first", first, true))
	})
	t.Run("a request that may run once trusts no other either", func(t *testing.T) {
		assert.NilError(t, ask(p, "second", second, false))
	})
}

func TestRests(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	r := rests{targets: map[string]rest{}}
	trusts := func(after time.Duration, target string, rested time.Duration, repeatable bool) bool {
		return r.trusts(now.Add(after), target, rested, repeatable)
	}
	assert.Assert(t, trusts(0, "a", time.Hour, false), "nothing is known")
	r.forgot(now, "a", time.Second)
	rows := []struct {
		name       string
		after      time.Duration
		target     string
		rested     time.Duration
		repeatable bool
		want       bool
	}{
		{"a short rest", 0, "a", 400 * time.Millisecond, false, true},
		{"a long rest", 0, "a", 600 * time.Millisecond, true, false},
		{"a long rest elsewhere", 0, "b", 600 * time.Millisecond, true, true},
		{"a long rest elsewhere, at most once", 0, "b", 600 * time.Millisecond, false, false},
		{"a long rest later", restMemory, "a", time.Hour, false, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			assert.Equal(t, trusts(row.after, row.target, row.rested, row.repeatable), row.want)
		})
	}
	t.Run("a longer rest does not widen the bound", func(t *testing.T) {
		r.forgot(now, "a", time.Hour)
		assert.Assert(t, !trusts(0, "a", 600*time.Millisecond, true))
	})
}
