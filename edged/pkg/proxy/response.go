package proxy

import (
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"rosemarygrade.dev/edged/pkg/conns"
	"rosemarygrade.dev/edged/pkg/meter"
	"rosemarygrade.dev/lib/pkg/serve"
)

// localReply is a response that this process generates itself. It has no body; the reason is only logged.
type localReply struct {
	status     int
	retryAfter time.Duration
	reason     string
}

func newReply(status int, retryAfter time.Duration, reason string) *localReply {
	return &localReply{status: status, retryAfter: retryAfter, reason: reason}
}

func (p *Handler) writeReply(w http.ResponseWriter, x *exchange, reply *localReply) {
	counter := meter.Failed
	if reply.status == http.StatusServiceUnavailable {
		counter = meter.Rejected
	}
	p.meter.Add(counter, 1)
	p.returnCredit(x)
	p.finish(x, true, "answered", "status", reply.status, "reason", reply.reason, "retryAfterMillis", reply.retryAfter.Milliseconds())
	h := w.Header()
	if reply.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(reply.retryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", "0")
	w.WriteHeader(reply.status)
}

// forwardResponse writes a backend server's response to the caller. It aborts the connection if it can't write all of it.
func (p *Handler) forwardResponse(w http.ResponseWriter, r *http.Request, x *exchange, resp *conns.Response) {
	head := resp.Head()
	p.meter.Add(meter.Served, 1)
	h := w.Header()
	for name, values := range head.Header {
		if !hopByHopHeaders[name] && p.codec.ForwardToCaller(name) {
			h[name] = values
		}
	}
	setLength(h, head)
	out := &deadlineWriter{w: w, control: http.NewResponseController(w), timeout: p.writeTimeout, log: p.log}
	w.WriteHeader(head.Status)
	if _, err := out.Write(resp.Body()); err != nil {
		resp.Close(false)
		p.abort(w, r)
	}
	if resp.Remainder() == nil {
		return
	}
	if _, err := io.CopyBuffer(out, resp.Remainder(), resp.CopyBuffer()); err != nil {
		resp.Close(false)
		p.log.Info("response not forwarded completely; closing the caller's connection", "event", "broken", "id", x.req.ID, "error", err)
		p.abort(w, r)
	}
	resp.Close(true)
}

// setLength sets the length of a response, if it is known. net/http removes Content-Length from a 304, where it may be sent (RFC 9110,
// section 8.6), but only under its canonical name.
func setLength(h http.Header, head conns.Head) {
	const decimal = 10
	switch {
	case head.Size < 0:
	case head.Status == http.StatusNotModified:
		h["content-length"] = []string{strconv.FormatInt(head.Size, decimal)}
	default:
		h.Set("Content-Length", strconv.FormatInt(head.Size, decimal))
	}
}

// deadlineWriter renews the write deadline before each write, so that only a caller that stops reading reaches it.
type deadlineWriter struct {
	w       io.Writer
	control *http.ResponseController
	timeout time.Duration
	log     *slog.Logger
}

// Write implements io.Writer.
func (d *deadlineWriter) Write(p []byte) (int, error) {
	if err := d.control.SetWriteDeadline(time.Now().Add(d.timeout)); err != nil {
		d.log.Debug("could not set the write deadline for a response", "event", "deadline", "error", err)
	}
	return d.w.Write(p)
}

// abort ends the caller's connection in the middle of a response.
func (p *Handler) abort(w http.ResponseWriter, r *http.Request) {
	serve.AbortResponse(w, r, func(err error) {
		p.log.Warn("could not reset the connection of a caller", "event", "broken", "error", err)
	})
}
