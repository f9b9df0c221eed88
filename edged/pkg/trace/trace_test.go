package trace_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/edged/pkg/trace"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// lines returns the log lines of a request with two events.
func lines(id string, failed bool) []string {
	var out bytes.Buffer
	t := trace.New(start, id)
	t.Add(start, "admitted", "route", "r1")
	t.Add(start.Add(30*time.Millisecond), "answered", "status", 503)
	t.Write(slog.New(slog.NewTextHandler(&out, nil)), failed)
	return strings.Split(strings.TrimSpace(out.String()), "\n")
}

func TestTrace(t *testing.T) {
	t.Run("the trace of a failed request is written with its id", func(t *testing.T) {
		got := lines("77", true)
		assert.Equal(t, len(got), 2)
		for _, l := range got {
			assert.Assert(t, strings.Contains(l, "id=77"), l)
		}
		assert.Assert(t, strings.Contains(got[1], "event=answered") && strings.Contains(got[1], "afterMillis=30"), got[1])
	})
	t.Run("the trace of a successful request is written only if sampled", func(t *testing.T) {
		sampled := 0
		for i := range 6400 {
			id := fmt.Sprint(i)
			wrote := len(lines(id, false)) == 2
			assert.Equal(t, wrote, trace.Sampled(id))
			if wrote {
				sampled++
			}
		}
		assert.Assert(t, sampled > 50 && sampled < 200, "%d of 6400 sampled", sampled)
	})
}
