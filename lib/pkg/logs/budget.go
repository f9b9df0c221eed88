package logs

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// EventKey is the key of the attribute that names a line's event.
const EventKey = "event"

// perSecond is how many lines of one event a process writes in a second; what is beyond it is counted.
const perSecond = 60

// budget bounds the lines of each event.
type budget struct {
	mu     sync.Mutex
	second int64
	counts map[string]int
	cut    map[string]int
}

// take tells whether a line may be written, and what was cut in the second before.
func (b *budget) take(now time.Time, event string) (bool, map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var told map[string]int
	if s := now.Unix(); s != b.second {
		told = b.cut
		b.second, b.counts, b.cut = s, map[string]int{}, nil
	}
	if event == "" {
		return true, told
	}
	b.counts[event]++
	if b.counts[event] <= perSecond {
		return true, told
	}
	if b.cut == nil {
		b.cut = map[string]int{}
	}
	b.cut[event]++
	return false, told
}

// limited is a handler that keeps each event within its budget.
type limited struct {
	slog.Handler
	budget *budget
}

// Handle implements slog.Handler.
func (l limited) Handle(ctx context.Context, r slog.Record) error {
	event := ""
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == EventKey {
			event = a.Value.String()
			return false
		}
		return true
	})
	ok, cut := l.budget.take(r.Time, event)
	for name, n := range cut {
		more := slog.NewRecord(r.Time, slog.LevelWarn, "lines cut by the budget of their event", 0)
		more.AddAttrs(slog.String(EventKey, "cut"), slog.String("of", name), slog.Int("lines", n))
		if err := l.Handler.Handle(ctx, more); err != nil {
			return err
		}
	}
	if !ok {
		return nil
	}
	return l.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (l limited) WithAttrs(attrs []slog.Attr) slog.Handler {
	return limited{Handler: l.Handler.WithAttrs(attrs), budget: l.budget}
}

// WithGroup implements slog.Handler.
func (l limited) WithGroup(name string) slog.Handler {
	return limited{Handler: l.Handler.WithGroup(name), budget: l.budget}
}
