package proxy

import (
	"errors"
	"net/http"
	"os"
	"time"

	"rosemarygrade.dev/edged/pkg/memory"
	"rosemarygrade.dev/lib/pkg/fault"
)

// drainTimeout bounds the time in which the rest of a rejected body is read, up to net/http's 256 KiB, so that the caller can read the
// reply before its connection is closed.
const drainTimeout = 500 * time.Millisecond

// bodyErrorReply returns the reply to a request whose body could not be read. No backend server has seen the request.
func bodyErrorReply(err error) *localReply {
	switch kind := fault.KindOf[memory.Kind](err); {
	case kind == memory.KindTooLong:
		return newReply(http.StatusRequestEntityTooLarge, 0, "body too long")
	case kind == memory.KindStalled:
		return newReply(http.StatusRequestTimeout, 0, "memory: body stalled")
	case kind == memory.KindFull:
		// By then bodies that stall now can be evicted.
		return newReply(http.StatusServiceUnavailable, jitter(memory.StallTime), "memory: no room")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return newReply(http.StatusRequestTimeout, 0, "body not sent in time")
	default:
		return newReply(http.StatusBadRequest, 0, "body unreadable")
	}
}

// readBody reads the body of a request. It fails if the body is longer than limit, not complete by the deadline, or if there is no
// memory for it; then the connection is closed after the reply.
func (p *Handler) readBody(now time.Time, w http.ResponseWriter, r *http.Request, id string, limit int64, deadline time.Time) (*memory.Buffer, error) {
	control := http.NewResponseController(w)
	setDeadline := func(t time.Time) {
		if err := control.SetReadDeadline(t); err != nil {
			p.log.Debug("could not set the read deadline for a request body", "event", "deadline", "error", err)
		}
	}
	body, err := p.memory.Body(now, id)
	if err == nil && r.ContentLength != 0 {
		setDeadline(deadline)
		past := now
		err = body.ReadFrom(memory.Body{Reader: r.Body, Announced: r.ContentLength, Limit: limit, Interrupt: func() { setDeadline(past) }})
	}
	if err != nil {
		w.Header().Set("Connection", "close")
		setDeadline(time.Now().Add(drainTimeout))
		return nil, err
	}
	if r.ContentLength != 0 {
		// net/http now reads in the background to detect that the caller disconnects; the deadline would end that read.
		setDeadline(time.Time{})
	}
	return body, nil
}
