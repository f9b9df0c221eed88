package logs_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/lib/pkg/logs"
)

// stuck is an output that nobody reads.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestSinkNeverBlocks(t *testing.T) {
	out := stuck{release: make(chan struct{})}
	sink := logs.NewSink(out)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- sink.Run(ctx) }()
	log := slog.New(slog.NewTextHandler(sink, nil))
	for range 10_000 {
		log.Info("a line that nobody reads", "padding", strings.Repeat("x", 100))
	}
	cancel()
	close(out.release)
	assert.NilError(t, <-done)
}

func TestSinkTellsWhatItDropped(t *testing.T) {
	var out bytes.Buffer
	sink := logs.NewSink(&out)
	for range 10_000 {
		_, err := sink.Write([]byte(strings.Repeat("x", 100) + "\n"))
		assert.NilError(t, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.NilError(t, sink.Run(ctx))
	assert.Assert(t, strings.Contains(out.String(), "event=dropped"))
	assert.Assert(t, out.Len() < 300<<10)
}

func TestBudgetOfAnEvent(t *testing.T) {
	var out bytes.Buffer
	log := logs.New(&out, "", "process", "test").WithRateLimit().Layer("layer")
	for range 1000 {
		log.Info("x", "event", "often")
	}
	log.Info("x", "event", "seldom")
	lines := strings.Count(out.String(), "event=often")
	assert.Assert(t, lines <= 120, "%d lines", lines)
	assert.Assert(t, strings.Contains(out.String(), "event=seldom"))
}
