// Package trace collects the events of one request and writes them as log lines when the request ends: always if it
// failed, otherwise for a sample of request IDs that is the same on every host.
package trace

import (
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"
)

// sampleOneIn is the sampling rate: one request in sampleOneIn is sampled. Each log line costs processor time.
const sampleOneIn = 64

// Trace holds the events of one request. It is used by one goroutine.
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

// New returns an empty trace that begins at now.
func New(now time.Time, id string) *Trace { return &Trace{id: id, start: now} }

// Add records an event with its log attributes.
func (t *Trace) Add(now time.Time, event string, attrs ...any) {
	t.steps = append(t.steps, step{at: now, event: event, attrs: attrs})
}

// Sampled reports whether a request's trace is written even if the request succeeds.
func Sampled(id string) bool { return xxhash.Sum64String(id)%sampleOneIn == 0 }

// Write logs one line for each event if the request failed or is sampled.
func (t *Trace) Write(log *slog.Logger, failed bool) {
	if !failed && !Sampled(t.id) {
		return
	}
	for _, s := range t.steps {
		attrs := append([]any{"event", s.event, "id", t.id, "afterMillis", s.at.Sub(t.start).Milliseconds()}, s.attrs...)
		log.Info("request", attrs...)
	}
}
