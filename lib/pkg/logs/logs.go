// Package logs creates the loggers of a process. They write key=value lines; each part of the process logs as a
// layer, whose debug lines a flag enables.
package logs

import (
	"io"
	"log/slog"
	"slices"
	"strings"
)

// Factory creates the loggers of the layers.
type Factory struct {
	out     io.Writer
	layers  []string
	attrs   []any
	limiter *rateLimiter
}

// New returns a factory whose loggers write to out and add attrs to each line. Layers is a comma-separated list
// of the layers whose debug lines are logged, or "all".
func New(out io.Writer, layers string, attrs ...any) *Factory {
	return &Factory{out: out, layers: strings.Split(layers, ","), attrs: attrs}
}

// WithRateLimit limits how many lines of each event are logged in a second. It changes f and returns it.
func (f *Factory) WithRateLimit() *Factory {
	f.limiter = &rateLimiter{}
	return f
}

// Layer returns the logger of a layer. Its debug lines are logged only if New enabled them.
func (f *Factory) Layer(name string) *slog.Logger {
	level := slog.LevelInfo
	if slices.Contains(f.layers, name) || slices.Contains(f.layers, "all") {
		level = slog.LevelDebug
	}
	var h slog.Handler = slog.NewTextHandler(f.out, &slog.HandlerOptions{Level: level})
	if f.limiter != nil {
		h = rateLimitedHandler{Handler: h, limiter: f.limiter}
	}
	return slog.New(h).With(f.attrs...).With("layer", name)
}
