package object_test

import (
	"bufio"
	"encoding/json"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/lib/pkg/fault"
	"rosemarygrade.dev/lib/pkg/model"
	"rosemarygrade.dev/lib/pkg/object"
)

// newClient returns a client of a platform that writes the same text in response to each call.
func newClient(t *testing.T, text string) *object.HTTP {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	response := []byte(text)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = c.Write(response)
				}
			}()
		}
	}()
	return object.NewHTTP(l.Addr().String())
}

const listing = "Connection: close\r\n\r\n" + `{"revision":7,"objects":[]}`

// TestEndlessBody guards against the memory for a body without end.
func TestEndlessBody(t *testing.T) {
	const maxAllocated = 128 << 20
	body := `{"revision":7,"objects":[` + strings.Repeat(`{"kind":"drain","name":"a"},`, 6<<20)
	c := newClient(t, "HTTP/1.1 200 OK\r\n\r\n"+body)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := c.List(t.Context())
	runtime.ReadMemStats(&after)
	assert.Equal(t, fault.KindOf[object.Kind](err), object.KindUnavailable, "%v", err)
	used := after.TotalAlloc - before.TotalAlloc
	assert.Assert(t, used < maxAllocated, "%d bytes allocated", used)
}

// TestHeads guards against heads that are none of a response and count as a success.
func TestHeads(t *testing.T) {
	for name, text := range map[string]string{
		"status 000": "HTTP/1.1 000 OK\r\n" + listing,
		"status 001": "HTTP/1.1 001 OK\r\n" + listing,
		"a blank":    "HTTP/1.1 200 OK\r\nX Y: z\r\n" + listing,
		"status 101": "HTTP/1.1 101 Switching Protocols\r\n" + listing,
	} {
		t.Run(name, func(t *testing.T) {
			c := newClient(t, text)
			_, err := c.List(t.Context())
			assert.Equal(t, fault.KindOf[object.Kind](err), object.KindUnavailable, "%v", err)
			_, err = c.Watch(t.Context(), 1, time.Millisecond)
			assert.Equal(t, fault.KindOf[object.Kind](err), object.KindUnavailable, "%v", err)
		})
	}
	t.Run("a response", func(t *testing.T) {
		l, err := newClient(t, "HTTP/1.1 200 OK\r\n"+listing).List(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, l.Revision, uint64(7))
	})
}

// TestOddObjects guards against one object that can't be decoded and because of which no other is read.
func TestOddObjects(t *testing.T) {
	const deep = 20_000
	nested := strings.Repeat("[", deep) + strings.Repeat("]", deep)
	entry := func(name, fields string) string {
		return `{"kind":"drain","name":"` + name + `","version":3,` + fields + `}`
	}
	good := entry("a", `"spec":{"scope":"host","name":"h"}`)
	for name, odd := range map[string]string{
		"a nested spec":     entry("b", `"spec":`+nested),
		"a nested field":    entry("b", `"spec":{"scope":"host","name":`+nested+`}`),
		"a nested status":   entry("b", `"spec":{},"status":`+nested),
		"no JSON":           entry("b", `"spec":{"scope" x}`),
		"too large a count": entry("b", `"spec":{},"status":{"inFlight":1e400}`),
	} {
		t.Run(name, func(t *testing.T) {
			c := newClient(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+`{"revision":7,"objects":[`+odd+","+good+`]}`)
			for _, call := range []func() (object.Listing, error){
				func() (object.Listing, error) { return c.List(t.Context()) },
				func() (object.Listing, error) { return c.Watch(t.Context(), 1, time.Millisecond) },
			} {
				l, err := call()
				assert.NilError(t, err)
				assert.Equal(t, l.Revision, uint64(7))
				assert.Equal(t, len(l.Objects), 2)
				assert.Equal(t, l.Objects[0].Name, "b")
				assert.Equal(t, l.Objects[0].Version, uint64(3))
				_, err = model.Parse(l.Objects[0].Kind, l.Objects[0].Name, l.Objects[0].Spec)
				assert.Assert(t, err != nil, "an object that can't be read is valid")
				_, err = json.Marshal(l)
				assert.NilError(t, err)
				_, err = model.Parse(l.Objects[1].Kind, l.Objects[1].Name, l.Objects[1].Spec)
				assert.NilError(t, err)
			}
		})
	}
}
