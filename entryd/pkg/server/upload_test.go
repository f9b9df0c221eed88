package server_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/entryd/pkg/flow"
	"rosemarygrade.dev/entryd/pkg/server"
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

// TestResetDuringUpload guards against a part of a response that is taken for all of it: the backend server responds without a length
// while the upload is still being written, and resets the connection.
func TestResetDuringUpload(t *testing.T) {
	const rounds = 60
	body := make([]byte, uploadBytes)
	for name, length := range map[string]int{"short": 4, "longer than what is buffered": 200 << 10} {
		t.Run(name, func(t *testing.T) {
			address := earlyServer(t, func(c *net.TCPConn) {
				_, _ = fmt.Fprintf(c, "%sConnection: close\r\n\r\n%0*d", good, length, 0)
				time.Sleep(5 * time.Millisecond)
				_ = c.SetLinger(0)
			})
			complete := 0
			for range rounds {
				req := request(http.MethodPost, "/", false)
				req.Body = flow.BytesBody(body)
				if _, ok := server.NewClient().Do(t.Context(), address, req, &recorder{}).(flow.Complete); ok {
					complete++
				}
			}
			assert.Equal(t, complete, 0, "of %d broken responses these counted as complete", rounds)
		})
	}
}

// TestEarlyEnd guards against rejecting a complete response without a length to an upload of which the backend server reads no more.
func TestEarlyEnd(t *testing.T) {
	address := earlyServer(t, func(c *net.TCPConn) {
		_, _ = fmt.Fprint(c, good, "Connection: close\r\n\r\nok")
		_ = c.CloseWrite()
		<-t.Context().Done()
	})
	req, got := request(http.MethodPost, "/", false), &recorder{}
	req.Body = flow.BytesBody(make([]byte, uploadBytes))
	assertComplete(t, server.NewClient().Do(t.Context(), address, req, got), got, "ok")
}
