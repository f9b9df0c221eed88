package proxy

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// workReserve is how many times its expected service time must be left before the end of a shutdown for a request to be sent.
	workReserve = 2
	// queueReserve is how long before the end of a shutdown queued requests are rejected.
	queueReserve = time.Second
	// stoppingRetryAfter is the Retry-After of a stopping host: other hosts can serve the request at once.
	stoppingRetryAfter = 50 * time.Millisecond
)

// shutdown is the state of a planned stop. A request that would still be at a backend server at its end would be aborted with an unknown
// outcome, so it is rejected as not run instead, for another host to serve.
type shutdown struct {
	times atomic.Pointer[shutdownTimes]
	// sendsOver is closed when queued requests are rejected.
	sendsOver chan struct{}
	once      sync.Once
}

type shutdownTimes struct{ acceptUntil, end time.Time }

func newShutdown() shutdown { return shutdown{sendsOver: make(chan struct{})} }

// Stop begins a planned stop. From now on responses ask callers to close their connections (Connection: close); requests that arrive after
// acceptUntil are rejected, and so are those that can't be expected to end before the requests in flight are aborted at end.
func (p *Handler) Stop(now, acceptUntil, end time.Time) {
	s := &p.shutdown
	s.once.Do(func() {
		s.times.Store(&shutdownTimes{acceptUntil: acceptUntil, end: end})
		time.AfterFunc(end.Sub(now)-queueReserve, func() { close(s.sendsOver) })
	})
}

// begun reports whether the stop has begun.
func (s *shutdown) begun() bool { return s.times.Load() != nil }

// accepts reports whether a request that has arrived now is served.
func (s *shutdown) accepts(now time.Time) bool {
	t := s.times.Load()
	return t == nil || !now.After(t.acceptUntil)
}

// allowsSend reports whether a request may be sent to a backend server now that is expected to take work there.
func (s *shutdown) allowsSend(now time.Time, work time.Duration) bool {
	t := s.times.Load()
	return t == nil || now.Add(workReserve*work).Before(t.end)
}
