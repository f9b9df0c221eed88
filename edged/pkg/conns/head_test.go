package conns

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// assertHeadRefused sends a request to a backend server that writes text and keeps the connection open. The send must fail as broken,
// without waiting for more.
func assertHeadRefused(t *testing.T, text string) {
	t.Helper()
	address := server(t, func(c net.Conn, _ *http.Request, _ int) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, err := NewPool(Dialer(), echo).Send(ctx, "t", address, &Request{ID: "a", Method: http.MethodGet, URI: "/", Host: "h"})
	assertKind(t, err, KindBroken)
	assert.NilError(t, ctx.Err(), "the send waited for more")
}

// TestStatuses guards against heads whose status is none of a response and that count as an interim or a final response.
func TestStatuses(t *testing.T) {
	const (
		rest  = "\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n"
		whole = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok"
	)
	for _, status := range []string{"000", "000 OK", "001 OK", "099 OK", "-00 OK", "+99 OK", "101 Switching Protocols"} {
		t.Run(status, func(t *testing.T) { assertHeadRefused(t, "HTTP/1.1 "+status+rest) })
		t.Run(status+", then a response", func(t *testing.T) { assertHeadRefused(t, "HTTP/1.1 "+status+rest+whole) })
		t.Run(status+", after an interim response", func(t *testing.T) {
			assertHeadRefused(t, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 "+status+rest)
		})
	}
	t.Run("an interim response is skipped", func(t *testing.T) {
		got, err := send(t, NewPool(Dialer(), echo), server(t, respond("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"+whole)), "a")
		assert.NilError(t, err)
		assert.Equal(t, string(got.Body()), "ok")
	})
}

// TestFieldNames guards against names of fields that net/http accepts but that are none: it takes no account of such a line, so that the
// body can be another than the backend server's.
func TestFieldNames(t *testing.T) {
	const rest = "X-Id: a\r\nContent-Length: 2\r\n\r\nok"
	for name, line := range map[string]string{
		"a blank in it":             "X Y: z",
		"a blank before the colon":  "X-Y : z",
		"a blank after a length":    "Content-Length : 1",
		"a blank after an encoding": "Transfer-Encoding : chunked",
		"a tab":                     "X\tY: z",
		"a control byte":            "X\x01Y: z",
		"NUL":                       "X\x00Y: z",
		"DEL":                       "X\x7fY: z",
		"a carriage return":         "X\rY: z",
		"a byte above ASCII":        "X\xe4: z",
		"nothing":                   ": z",
	} {
		t.Run(name, func(t *testing.T) { assertHeadRefused(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n"+rest) })
		t.Run(name+", last", func(t *testing.T) {
			assertHeadRefused(t, "HTTP/1.1 200 OK\r\nX-Id: a\r\n"+line+"\r\n\r\n2\r\nok\r\n0\r\n\r\n")
		})
		t.Run(name+", in an interim response", func(t *testing.T) {
			assertHeadRefused(t, "HTTP/1.1 103 Early Hints\r\nX: y\r\n"+line+"\r\n\r\nHTTP/1.1 200 OK\r\n"+rest)
		})
	}
}

// TestFoldedLines guards against a line of a head that begins with a blank: net/http joins it to the value of the line before, so that what it
// says of the body does not count.
func TestFoldedLines(t *testing.T) {
	for _, blank := range []string{" ", "\t"} {
		for name, line := range map[string]string{"a field": "X-Y: z", "a length": "Content-Length: 1", "an encoding": "Transfer-Encoding: chunked", "nothing": ""} {
			folded := "X: y\r\n" + blank + line + "\r\n"
			t.Run(fmt.Sprintf("%s after %q", name, blank), func(t *testing.T) {
				assertHeadRefused(t, "HTTP/1.1 200 OK\r\nX-Id: a\r\n"+folded+"\r\n2\r\nok\r\n0\r\n\r\n")
			})
			t.Run(fmt.Sprintf("%s after %q, in an interim response", name, blank), func(t *testing.T) {
				assertHeadRefused(t, "HTTP/1.1 103 Early Hints\r\n"+folded+"\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok")
			})
			t.Run(fmt.Sprintf("%s after %q, after an interim response with two blanks", name, blank), func(t *testing.T) {
				assertHeadRefused(t, "HTTP/1.1  103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\n"+folded+"Content-Length: 2\r\n\r\nok")
			})
			t.Run(fmt.Sprintf("%s after %q, after a response to another request", name, blank), func(t *testing.T) {
				other := "HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 4\r\n\r\n\n  \n"
				assertHeadRefused(t, other+"HTTP/1.1 200 OK\r\nX-Id: a\r\n"+folded+"Content-Length: 2\r\n\r\nok")
			})
		}
	}
	t.Run("blanks in a body are no fault", func(t *testing.T) {
		const body = "\r\n x\n\ty\r\n\r\n z"
		text := fmt.Sprintf("HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\nX:  y\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		for cut := range len(text) {
			address := server(t, func(c net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(c, text[:cut])
				time.Sleep(time.Millisecond)
				_, err := io.WriteString(c, text[cut:])
				return err == nil
			})
			p := NewPool(Dialer(), echo)
			for range 2 {
				got, err := send(t, p, address, "a")
				assert.NilError(t, err, "cut after %q", text[:cut])
				assert.Equal(t, string(got.Body()), body)
			}
			assert.Equal(t, p.Opened(), uint64(1))
		}
	})
}
