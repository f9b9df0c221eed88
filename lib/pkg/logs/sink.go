package logs

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// Limits of a sink.
const (
	// sinkBytes is how much waits for a reader of the output; what does not fit is dropped and counted.
	sinkBytes = 256 << 10
	// flushEvery is the time in which lines are gathered, so that a write takes many.
	flushEvery = 100 * time.Millisecond
)

// Sink is a writer that never blocks: lines wait in a bounded buffer for a goroutine that writes them.
type Sink struct {
	out io.Writer

	mu      sync.Mutex
	buf     []byte
	dropped int
	wake    chan struct{}
}

// NewSink returns a sink that writes to out while Run runs.
func NewSink(out io.Writer) *Sink { return &Sink{out: out, wake: make(chan struct{}, 1)} }

// Write takes a line, or drops it where there is no room. It always reports success.
func (s *Sink) Write(p []byte) (int, error) {
	s.mu.Lock()
	if len(s.buf)+len(p) > sinkBytes {
		s.dropped++
	} else {
		s.buf = append(s.buf, p...)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(p), nil
}

// Run writes lines until the context ends, then what is left.
func (s *Sink) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return s.Flush()
		case <-s.wake:
		}
		select {
		case <-ctx.Done():
		case <-time.After(flushEvery):
		}
		if err := s.Flush(); err != nil {
			return err
		}
	}
}

// Flush writes what waits.
func (s *Sink) Flush() error {
	s.mu.Lock()
	data, dropped := s.buf, s.dropped
	s.buf, s.dropped = nil, 0
	s.mu.Unlock()
	if dropped > 0 {
		data = fmt.Appendf(data, "time=%s level=WARN msg=\"lines dropped, the output is not read\" event=dropped lines=%d\n",
			time.Now().UTC().Format(time.RFC3339Nano), dropped)
	}
	if len(data) == 0 {
		return nil
	}
	_, err := s.out.Write(data)
	return err
}
