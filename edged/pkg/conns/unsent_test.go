package conns

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/edged/pkg/memory"
)

// TestUnsent guards against requests of which no byte was written and that are reported as possibly run: their callers must not
// repeat them if they are not idempotent.
func TestUnsent(t *testing.T) {
	address := server(t, func(c net.Conn, _ *http.Request, _ int) bool {
		_, _ = c.Read(make([]byte, 1))
		return false
	})
	rows := []struct {
		name string
		body int
	}{{"a short request", 0}, {"a long body", 10 * maxInlineBytes}}
	for _, r := range rows {
		body, _ := newBody(t, memory.Unlimited(), r.body)
		t.Run(r.name+" on a connection that is closed before the write", func(t *testing.T) {
			p := NewPool(Dialer(), echo)
			c, err := p.acquire(t.Context(), time.Now(), "target", address, true)
			assert.NilError(t, err)
			// As if the deadline had passed between the end of the connect and the write.
			assert.NilError(t, c.Close())
			c.until = time.Now().Add(time.Minute)
			_, err = p.exchange(t.Context(), c, &Request{ID: "a", Method: "POST", URI: "/", Host: "h", Header: http.Header{}, Body: body})
			assertKind(t, err, KindUnsent)
		})
		t.Run(r.name+" that is written and gets no response", func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			_, err := NewPool(Dialer(), echo).Send(ctx, "target", address, &Request{ID: "a", Method: "POST", URI: "/", Host: "h", Header: http.Header{}, Body: body})
			assertKind(t, err, KindLost)
		})
	}
	t.Run("a long body that is written in part", func(t *testing.T) {
		body, _ := newBody(t, memory.Unlimited(), 32<<20)
		// Nothing is read, so that the write blocks when the buffers are full.
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer func() { _ = l.Close() }()
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		_, err = NewPool(Dialer(), echo).Send(ctx, "target", l.Addr().String(), &Request{ID: "a", Method: "POST", URI: "/", Host: "h", Body: body})
		assertKind(t, err, KindLost)
	})
	t.Run("a write that wrote nothing and did not fail", func(t *testing.T) {
		w := &write{ended: make(chan struct{})}
		w.run(func(parts net.Buffers) (int64, error) { return parts.WriteTo(io.Discard) }, nil)
		assert.Assert(t, w.isComplete() && !w.isUnsent())
	})
}
