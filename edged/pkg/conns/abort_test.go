package conns

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/edged/pkg/memory"
)

// TestAbandonedSend guards against a request that a backend server gets and runs seconds after it was given up, because the system still
// delivers what was written: the connection must be reset, not closed.
func TestAbandonedSend(t *testing.T) {
	for name, size := range map[string]int{"a request that was written": 100, "an upload that is being written": uploadBytes} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = l.Close() })
			given, result := make(chan struct{}), make(chan error, 1)
			go func() {
				c, err := l.Accept()
				if err != nil {
					result <- err
					return
				}
				defer func() { _ = c.Close() }()
				<-given
				_, err = io.Copy(io.Discard, c)
				result <- err
			}()
			body, _ := newBody(t, memory.Unlimited(), size)
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			_, err = NewPool(Dialer(), echo).Send(ctx, "t", l.Addr().String(), &Request{ID: "a", Method: "POST", URI: "/", Host: "h", Body: body})
			assert.Assert(t, err != nil)
			close(given)
			err = <-result
			assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "the backend server read an end without a reset: %v", err)
		})
	}
}
