package conns

import (
	"io"
	"net"
	"net/http"

	"rosemarygrade.dev/edged/pkg/memory"
	"rosemarygrade.dev/lib/pkg/fault"
)

// send writes the request. A long body is written by a goroutine, since the response may arrive before the backend
// server has read the body.
func (c *conn) send(req *Request) (*write, error) {
	w := &write{ended: make(chan struct{})}
	data := encode(req)
	if req.Body.Len() <= maxInlineBytes {
		for _, part := range req.Body.Parts() {
			data = append(data, part...)
		}
		w.run(c.WriteBuffers, net.Buffers{data})
		if w.isUnsent() {
			return nil, fault.Wrap("write", KindUnsent, w.err)
		}
		if w.err != nil {
			return nil, fault.Wrap("write", KindLost, w.err)
		}
		return w, nil
	}
	// The write may outlast the request, whose body must not be reused before it has ended.
	req.Body.Retain()
	go func() {
		defer req.Body.Release()
		w.run(c.WriteBuffers, append(net.Buffers{data}, req.Body.Parts()...))
	}()
	return w, nil
}

// write is the writing of one request.
type write struct {
	// ended is closed when the write has ended; n and err hold its result then.
	ended chan struct{}
	n     int64
	err   error
}

func (w *write) run(writeTo func(parts net.Buffers) (int64, error), parts net.Buffers) {
	w.n, w.err = writeTo(parts)
	close(w.ended)
}

// isComplete reports whether the complete request was written.
func (w *write) isComplete() bool {
	select {
	case <-w.ended:
		return w.err == nil
	default:
		return false
	}
}

// isUnsent waits for the end of the write and reports whether no byte was written. The connection must be closed before if the write
// may still be in progress.
func (w *write) isUnsent() bool {
	<-w.ended
	return w.n == 0 && w.err != nil
}

// maxCopyBytes is the size of the parts in which the remainder of a response is copied. Each has to be written within a timeout.
const maxCopyBytes = 32 << 10

// CopyBuffer returns a buffer for copying the remainder, in the memory of Body, which must have been used.
func (r *Response) CopyBuffer() []byte { return r.body[:min(cap(r.body), maxCopyBytes)] }

// readBody reads the complete body, or the first part of one that is longer than maxBufferedBytes or for which the request may not use more
// memory.
func readBody(resp *http.Response, charged *memory.Buffer) (*Response, error) {
	out := &Response{head: Head{Status: resp.StatusCode, Header: resp.Header, Size: resp.ContentLength}}
	limit := int64(maxBufferedBytes)
	if resp.ContentLength >= 0 && resp.ContentLength < limit {
		limit = resp.ContentLength
	}
	buf := make([]byte, 0, min(limit, readBufferBytes)+1)
	for int64(len(buf)) <= maxBufferedBytes {
		if len(buf) == cap(buf) {
			more := min(len(buf), maxBufferedBytes+1-len(buf))
			if !charged.Reserve(more) {
				break
			}
			buf = append(make([]byte, 0, len(buf)+more), buf...)
		}
		n, err := resp.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			out.body, out.head.Size = buf, sizeOf(resp, len(buf))
			return out, nil
		}
		if err != nil {
			return nil, fault.Wrap("read body", KindBroken, err)
		}
	}
	out.body, out.remainder = buf, resp.Body
	return out, nil
}
