package runner

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"

	"rosemarygrade.dev/platform/fake"
)

// Limits of the headers that changeHeaderLimits sets, and the length of a header that only the raised one allows.
const (
	raisedHeaderBytes = 3 * fake.DefaultHeaderBytes
	longHeaderBytes   = 2 * fake.DefaultHeaderBytes
)

// pathParts are parts of paths, of which many must not occur in URLs but do in practice. The question mark begins the query.
var pathParts = []string{
	"a", "b", "/", ".", "~", "%7C", "%7c", "%2F", "|", "^", "{", "}", "\"", "<", ">", "`", "\\", "[", "]", "ü", "日", "\xff", "?", "&", "=", "+", "//", "..", ";", "@", ":",
}

const maxPathParts = 12

// randomPath returns the rest of a request target, after the prefix of its route.
func randomPath(rng *rand.Rand) string {
	var b strings.Builder
	for range rng.IntN(maxPathParts) {
		b.WriteString(pathParts[rng.IntN(len(pathParts))])
	}
	return b.String()
}

// changeHeaderLimits raises the limit of headers and sets it back, and checks at the host that always serves that each limit applies to
// a connection that was opened under the one before.
func (run *testRun) changeHeaderLimits(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}, Timeout: callerTimeout}
	defer client.CloseIdleConnections()
	run.headerStatus(ctx, client, 1)
	for _, limit := range []int{raisedHeaderBytes, fake.DefaultHeaderBytes} {
		run.fleet.setHeaderLimit(limit)
		sleep(ctx, configGrace)
		status := run.headerStatus(ctx, client, longHeaderBytes)
		tooLong := status == http.StatusRequestHeaderFieldsTooLarge
		if ctx.Err() == nil && status != 0 && tooLong != (longHeaderBytes > limit) {
			run.addViolation("a header of %d bytes got %d on a kept connection, %s after the limit became %d", longHeaderBytes, status, configGrace, limit)
		}
		run.headerStatus(ctx, client, 1)
	}
}

// headerStatus sends a request with a header of some bytes and returns the status of the response, or 0 if there is none.
func (run *testRun) headerStatus(ctx context.Context, client *http.Client, bytes int) int {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+run.fleet.allHosts()[0].callerAddress+"/read/x", nil)
	if err != nil {
		return 0
	}
	r.Host = fake.RouteHost
	fake.SetCallerHeaders(r.Header, "header-limits", "x", callerTimeout)
	r.Header.Set("Long", strings.Repeat("x", bytes))
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	// A connection is kept only if its response was read to the end.
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}
