package gossip

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/lib/pkg/plan"
)

// newPeer starts a peer that responds to each pull with write.
func newPeer(t *testing.T, write func(w io.Writer)) netip.AddrPort {
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
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					write(c)
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// TestBrokenPulls guards against responses of a peer that are none, or that have no end: a pull must fail without using much memory.
func TestBrokenPulls(t *testing.T) {
	const (
		maxAllocated = 64 << 20
		endlessBytes = 256 << 20
	)
	endless := func(prefix, text string) func(w io.Writer) {
		return func(w io.Writer) {
			block := []byte(strings.Repeat(text, 64<<10/len(text)))
			_, err := io.WriteString(w, prefix)
			for n := 0; err == nil && n < endlessBytes; n += len(block) {
				_, err = w.Write(block)
			}
		}
	}
	text := func(s string) func(w io.Writer) {
		return func(w io.Writer) { _, _ = io.WriteString(w, s) }
	}
	var zipped bytes.Buffer
	z := gzip.NewWriter(&zipped)
	endless("[", "[")(z)
	assert.NilError(t, z.Close())
	const ok = "HTTP/1.1 200 OK\r\nConnection: close\r\n"
	for name, write := range map[string]func(w io.Writer){
		"status 000":        text("HTTP/1.1 000 OK\r\n\r\n[]"),
		"a blank in a name": text(ok + "X Y: z\r\n\r\n[]"),
		"no JSON":           text(ok + "\r\nx"),
		"nested lists":      text(ok + "\r\n" + strings.Repeat("[", 1<<20)),
		"endless lists":     endless(ok+"\r\n", "["),
		"an endless list":   endless(ok+"\r\n[{}", ",{}"),
		"an endless name":   endless(ok+"\r\n[{\"topic\":\"", "x"),
		"an endless head":   endless(ok+"X-Filler: ", "x"),
		"zipped":            text(fmt.Sprintf("%sContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n%s", ok, zipped.Len(), zipped.Bytes())),
	} {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := newSockets(nil).pull(t.Context(), newPeer(t, write), map[plan.Topic]uint64{})
			runtime.ReadMemStats(&after)
			assert.Assert(t, err != nil)
			used := after.TotalAlloc - before.TotalAlloc
			assert.Assert(t, used < maxAllocated, "%d bytes allocated", used)
		})
	}
	t.Run("a response", func(t *testing.T) {
		got, err := newSockets(nil).pull(t.Context(), newPeer(t, text(ok+"\r\n[{\"topic\":\"config\"}]")), map[plan.Topic]uint64{})
		assert.NilError(t, err)
		assert.Equal(t, len(got), 1)
	})
}
