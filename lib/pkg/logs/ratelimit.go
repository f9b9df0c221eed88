package logs

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// EventKey is the key of the log attribute that names the event.
const EventKey = "event"

// maxLinesPerSecond bounds the lines of one event that a process logs in a second. Further lines are only counted.
const maxLinesPerSecond = 60

// rateLimiter bounds the lines of each event in each calendar second.
type rateLimiter struct {
	mu         sync.Mutex
	second     int64
	counts     map[string]int
	suppressed map[string]int
}

// allow reports whether a line may be logged. The first call in a new second also returns how many lines of each
// event were suppressed before it. Lines without an event are not limited.
func (l *rateLimiter) allow(now time.Time, event string) (bool, map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var last map[string]int
	if s := now.Unix(); s != l.second {
		last = l.suppressed
		l.second, l.counts, l.suppressed = s, map[string]int{}, nil
	}
	if event == "" {
		return true, last
	}
	l.counts[event]++
	if l.counts[event] <= maxLinesPerSecond {
		return true, last
	}
	if l.suppressed == nil {
		l.suppressed = map[string]int{}
	}
	l.suppressed[event]++
	return false, last
}

// rateLimitedHandler is a slog.Handler that drops lines above the limit of their event.
type rateLimitedHandler struct {
	slog.Handler
	limiter *rateLimiter
}

// Handle implements slog.Handler.
func (l rateLimitedHandler) Handle(ctx context.Context, r slog.Record) error {
	event := ""
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == EventKey {
			event = a.Value.String()
			return false
		}
		return true
	})
	ok, suppressed := l.limiter.allow(r.Time, event)
	for name, n := range suppressed {
		summary := slog.NewRecord(r.Time, slog.LevelWarn, "log lines suppressed: the event exceeded its limit of lines a second", 0)
		summary.AddAttrs(slog.String(EventKey, "cut"), slog.String("of", name), slog.Int("lines", n))
		if err := l.Handler.Handle(ctx, summary); err != nil {
			return err
		}
	}
	if !ok {
		return nil
	}
	return l.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (l rateLimitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return rateLimitedHandler{Handler: l.Handler.WithAttrs(attrs), limiter: l.limiter}
}

// WithGroup implements slog.Handler.
func (l rateLimitedHandler) WithGroup(name string) slog.Handler {
	return rateLimitedHandler{Handler: l.Handler.WithGroup(name), limiter: l.limiter}
}
