// Package trace remembers the decisions on one request and writes them as log lines at its end: always where
// it ended badly, else for a sample that is the same on every host.
package trace

import (
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"
)

// sampleOne is of how many requests that end well one is explained: a line costs processor time.
const sampleOne = 64

// Trace is the decisions on one request. It is used by one goroutine.
type Trace struct {
	id    string
	start time.Time
	steps []step
}

type step struct {
	at    time.Time
	event string
	attrs []any
}

// New returns an empty trail.
func New(now time.Time, id string) *Trace { return &Trace{id: id, start: now} }

// Add remembers a decision with what it was made from.
func (t *Trace) Add(now time.Time, event string, attrs ...any) {
	t.steps = append(t.steps, step{at: now, event: event, attrs: attrs})
}

// Sampled tells whether a request is explained however it ends.
func Sampled(id string) bool { return xxhash.Sum64String(id)%sampleOne == 0 }

// Write writes the lines of the request.
func (t *Trace) Write(log *slog.Logger, badly bool) {
	if !badly && !Sampled(t.id) {
		return
	}
	for _, s := range t.steps {
		attrs := append([]any{"event", s.event, "id", t.id, "afterMillis", s.at.Sub(t.start).Milliseconds()}, s.attrs...)
		log.Info("request", attrs...)
	}
}
