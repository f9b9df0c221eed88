package server_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/entryd/pkg/flow"
	"rosemarygrade.dev/entryd/pkg/server"
)

// endless starts a server that writes prefix and then text to each request, without end.
func endless(t *testing.T, prefix, text string) string {
	t.Helper()
	return earlyServer(t, func(c *net.TCPConn) {
		block := []byte(strings.Repeat(text, max(1, 4096/len(text))))
		for _, err := c.Write([]byte(prefix)); err == nil; _, err = c.Write(block) {
		}
	})
}

// TestEndlessHeads sends heads that never end: the request must fail long before its deadline, without using much memory.
func TestEndlessHeads(t *testing.T) {
	const (
		deadline = 20 * time.Second
		maxTime  = 5 * time.Second
		maxBytes = 64 << 20
	)
	line := "X-Filler: " + strings.Repeat("x", 1000) + "\r\n"
	for name, address := range map[string]string{
		"bytes that are no response":    endless(t, "", "\x00\xff"),
		"a status line":                 endless(t, "HTTP/1.1 200 ", "O"),
		"header lines":                  endless(t, good, line),
		"short header lines":            endless(t, good, "a:\r\n"),
		"one header line":               endless(t, good+"X-Filler: ", "x"),
		"interim responses":             endless(t, "", "HTTP/1.1 102 Processing\r\n\r\n"),
		"interim responses with header": endless(t, "", "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n"),
		"chunk extensions":              endless(t, good+"Transfer-Encoding: chunked\r\n\r\n1;", "x"),
		"a trailer":                     endless(t, good+"Transfer-Encoding: chunked\r\n\r\n0\r\n", line),
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			began := time.Now()
			assertAborted(t, server.NewClient().Do(ctx, address, request(http.MethodPost, "/", false), &recorder{}), false)
			took := time.Since(began)
			runtime.ReadMemStats(&after)
			assert.Assert(t, took < maxTime, "failed after %s", took)
			assert.Assert(t, after.TotalAlloc-before.TotalAlloc < maxBytes, "%d bytes allocated", after.TotalAlloc-before.TotalAlloc)
		})
	}
}

// TestManyFields sends a head with as many fields as fit into the bytes that a head may have.
func TestManyFields(t *testing.T) {
	var fields strings.Builder
	for i := range 8000 {
		_, _ = fmt.Fprintf(&fields, "%04x:\r\n", i)
	}
	address, _ := raw(t, good+fields.String()+"Content-Length: 2\r\n\r\nok")
	assertAborted(t, server.NewClient().Do(t.Context(), address, request(http.MethodPost, "/", false), &recorder{}), false)
}

// discard is a sink that keeps nothing.
type discard struct{}

func (discard) Head(flow.Head) error { return nil }

func (discard) Data([]byte) error { return nil }

// TestEndlessBody guards against the memory for a body without end: it is passed on until the deadline.
func TestEndlessBody(t *testing.T) {
	const (
		deadline = 500 * time.Millisecond
		maxBytes = 16 << 20
	)
	for name, address := range map[string]string{
		"without a length": endless(t, good+"\r\n", "x"),
		"in chunks":        endless(t, good+"Transfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"),
		"with a length":    endless(t, good+"Content-Length: 9999999999999\r\n\r\n", "x"),
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			assertAborted(t, server.NewClient().Do(ctx, address, request(http.MethodPost, "/", false), discard{}), true)
			runtime.ReadMemStats(&after)
			assert.Assert(t, after.TotalAlloc-before.TotalAlloc < maxBytes, "%d bytes allocated", after.TotalAlloc-before.TotalAlloc)
		})
	}
}
