// Package logs makes the loggers of a process: one key=value line for each event, and a debug
// layer for each part that a flag switches on.
package logs

import (
	"io"
	"log/slog"
	"slices"
	"strings"
)

// Factory makes the loggers of the layers.
type Factory struct {
	out    io.Writer
	layers []string
	attrs  []any
	budget *budget
}

// New returns a factory. Layers is a comma-separated list of the layers whose debug lines are
// wanted, or "all".
func New(out io.Writer, layers string, attrs ...any) *Factory {
	return &Factory{out: out, layers: strings.Split(layers, ","), attrs: attrs}
}

// WithRateLimit makes the lines of each event stay within a budget a second.
func (f *Factory) WithRateLimit() *Factory {
	f.budget = &budget{}
	return f
}

// Layer returns the logger of a layer.
func (f *Factory) Layer(name string) *slog.Logger {
	level := slog.LevelInfo
	if slices.Contains(f.layers, name) || slices.Contains(f.layers, "all") {
		level = slog.LevelDebug
	}
	var h slog.Handler = slog.NewTextHandler(f.out, &slog.HandlerOptions{Level: level})
	if f.budget != nil {
		h = limited{Handler: h, budget: f.budget}
	}
	return slog.New(h).With(f.attrs...).With("layer", name)
}
