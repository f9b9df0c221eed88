package conns

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/edged/pkg/memory"
)

// uploadBytes is more than the buffers of a connection hold, so that the write of an upload that nobody reads blocks.
const uploadBytes = 24 << 20

// earlyServer starts a server that responds to each request once it has read its head and leaves its body unread.
func earlyServer(t *testing.T, respond func(c *net.TCPConn)) string {
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
				if _, err := http.ReadRequest(bufio.NewReader(tcp)); err == nil {
					respond(tcp)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// sendUpload sends an upload and returns the body of the response, and an error if it was broken.
func sendUpload(t *testing.T, address string, body *memory.Buffer) (string, error) {
	t.Helper()
	resp, err := NewPool(Dialer(), echo).Send(t.Context(), "t", address, &Request{ID: "a", Method: http.MethodPost, URI: "/", Host: "h", Body: body})
	if err != nil {
		return "", err
	}
	defer resp.Close(false)
	got := string(resp.Body())
	if resp.Remainder() != nil {
		rest, err := io.ReadAll(resp.Remainder())
		return got + string(rest), err
	}
	return got, nil
}

// TestResetDuringUpload guards against a part of a response that is taken for all of it: the backend server responds without a length
// while the upload is still being written, and resets the connection. The kernel reports the reset once, to the write or to the read.
func TestResetDuringUpload(t *testing.T) {
	const rounds = 60
	body, _ := newBody(t, memory.Unlimited(), uploadBytes)
	for name, length := range map[string]int{"short": 4, "longer than what is buffered": 2 * maxBufferedBytes} {
		t.Run(name, func(t *testing.T) {
			address := earlyServer(t, func(c *net.TCPConn) {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n%0*d", length, 0)
				time.Sleep(5 * time.Millisecond)
				_ = c.SetLinger(0)
			})
			complete := 0
			for range rounds {
				if _, err := sendUpload(t, address, body); err == nil {
					complete++
				}
			}
			assert.Equal(t, complete, 0, "of %d broken responses these counted as complete", rounds)
		})
	}
}

// TestEarlyEnd guards against rejecting a complete response without a length to an upload of which the backend server reads no more: it
// ends the response by an ordinary close of its side.
func TestEarlyEnd(t *testing.T) {
	body, _ := newBody(t, memory.Unlimited(), uploadBytes)
	for _, length := range []int{4, 2 * maxBufferedBytes} {
		t.Run(fmt.Sprintf("%d bytes", length), func(t *testing.T) {
			address := earlyServer(t, func(c *net.TCPConn) {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 413 Content Too Large\r\nX-Id: a\r\nConnection: close\r\n\r\n%0*d", length, 0)
				_ = c.CloseWrite()
				<-t.Context().Done()
			})
			got, err := sendUpload(t, address, body)
			assert.NilError(t, err)
			assert.Equal(t, len(got), length)
		})
	}
	t.Run("a reset after the end", func(t *testing.T) {
		address := earlyServer(t, func(c *net.TCPConn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: a\r\nConnection: close\r\n\r\nok")
			_ = c.CloseWrite()
			time.Sleep(5 * time.Millisecond)
			_ = c.SetLinger(0)
		})
		for range 20 {
			got, err := sendUpload(t, address, body)
			assert.NilError(t, err)
			assert.Equal(t, got, "ok")
		}
	})
}
