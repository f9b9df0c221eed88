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
	// sinkBytes is the size of the buffer; lines that do not fit are dropped and counted.
	sinkBytes = 256 << 10
	// flushInterval is how long lines are collected, so that one write covers many.
	flushInterval = 100 * time.Millisecond
)

// Sink is an io.Writer that never blocks: it buffers lines, up to a limit, for the goroutine that calls Run.
type Sink struct {
	out io.Writer

	mu      sync.Mutex
	buf     []byte
	dropped int
	wake    chan struct{}
}

// NewSink returns a sink whose Run writes to out.
func NewSink(out io.Writer) *Sink { return &Sink{out: out, wake: make(chan struct{}, 1)} }

// Write buffers a line, or drops it if the buffer is full. It always returns len(p) and no error.
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

// Run writes the buffered lines to the output until the context ends, then the rest. It returns the first write error.
func (s *Sink) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return s.Flush()
		case <-s.wake:
		}
		select {
		case <-ctx.Done():
		case <-time.After(flushInterval):
		}
		if err := s.Flush(); err != nil {
			return err
		}
	}
}

// Flush writes the buffered lines, followed by the number of lines dropped since the last flush.
func (s *Sink) Flush() error {
	s.mu.Lock()
	data, dropped := s.buf, s.dropped
	s.buf, s.dropped = nil, 0
	s.mu.Unlock()
	if dropped > 0 {
		data = fmt.Appendf(data, "time=%s level=WARN msg=\"log lines dropped: the output is read too slowly and the buffer is full\" event=dropped lines=%d\n",
			time.Now().UTC().Format(time.RFC3339Nano), dropped)
	}
	if len(data) == 0 {
		return nil
	}
	_, err := s.out.Write(data)
	return err
}
