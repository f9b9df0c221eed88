// Package conns sends requests to backend servers over pooled connections. It does not retry: its errors report whether
// a request without a response may have run.
package conns

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"rosemarygrade.dev/edged/pkg/memory"
	"rosemarygrade.dev/lib/pkg/fault"
	"rosemarygrade.dev/lib/pkg/reply"
)

// Kind is the kind of an error of the package.
type Kind string

// Kinds of errors.
const (
	// KindUnsent means that no byte of the request left this process.
	KindUnsent Kind = "unsent"
	// KindLost means that the request was sent, completely or in part, and no response arrived; it may have run.
	KindLost Kind = "lost"
	// KindBroken means that a response began and was incomplete or invalid.
	KindBroken Kind = "broken"
	// KindIdleClosed means that a reused connection was reset before any response: the backend server had closed it
	// while it was idle. The request may have run, and the backend server counts as healthy.
	KindIdleClosed Kind = "forgotten"
	// KindInvalid means that the request can't be written as one HTTP request. No byte of it left this process.
	KindInvalid Kind = "invalid"
)

// Error is the error type of the package.
type Error = fault.Error[Kind]

// Timeouts and sizes of connections.
const (
	// dialTimeout bounds the time to connect; callers allow a second for a new connection.
	dialTimeout = time.Second
	// defaultKeepAlive is how long an idle connection is kept if the response has no Keep-Alive timeout.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is how much earlier than the backend server this side closes an idle connection.
	keepAliveMargin = time.Second
	// maxBufferedBytes is the largest body that is read completely before the response is returned.
	maxBufferedBytes = 256 << 10
	// maxInlineBytes is the largest body that is written before the response is read; it fits into the TCP windows.
	maxInlineBytes  = 4 << 10
	readBufferBytes = 4 << 10
	// maxHeadBytes is the size of a response's head, interim responses before it included, and of its trailer.
	maxHeadBytes = 64 << 10
	// maxForeignResponses is how many late responses to other requests are skipped on one connection.
	maxForeignResponses = 2
)

// Request is a request to a backend server.
type Request struct {
	ID     string
	Method string
	// URI is the request target as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	// Body is the body. It is charged for the part of the response that is buffered. Nil means no body and no limit.
	Body *memory.Buffer
	// Idempotent requests may run more than once.
	Idempotent bool
}

// Head is the status and headers of a response.
type Head struct {
	Status int
	Header http.Header
	// Size is the body's length in bytes, or -1 if it is unknown. Of a response to HEAD and of a 304 it is the length that the backend
	// server named, though no body follows.
	Size int64
}

// Response is a backend server's response.
type Response struct {
	head      Head
	body      []byte
	remainder io.Reader
	end       func(clean bool)
}

// Head returns the status, headers and size.
func (r *Response) Head() Head { return r.head }

// Body returns the body, or its first part if Remainder is not nil.
func (r *Response) Body() []byte { return r.body }

// Remainder returns a reader of the part of a long body that follows Body, or nil.
func (r *Response) Remainder() io.Reader { return r.remainder }

// Close ends the use of the response. Clean means that the complete body was read, so that the connection can be reused.
func (r *Response) Close(clean bool) {
	if r.end != nil {
		r.end(clean)
		r.end = nil
	}
}

// Pool holds the idle connections. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	echo   func(h http.Header) string
	opened atomic.Uint64
	open   openCount

	mu         sync.Mutex
	idle       map[string][]*conn
	idleLimits idleLimits
}

type conn struct {
	*reply.Conn
	reader *bufio.Reader
	head   *headLimit
	open   *openCount
	closed sync.Once
	target string
	until  time.Time
	// idleSince is when the connection became idle. idleFor is how long it was idle before its present use, 0 if it is new.
	idleSince time.Time
	idleFor   time.Duration
}

// NewPool returns an empty pool. Echo reads the id of the request from a response's headers; "" if there is none.
func NewPool(dialer net.Dialer, echo func(h http.Header) string) *Pool {
	dialer.Timeout = dialTimeout
	return &Pool{dialer: dialer, echo: echo, idle: map[string][]*conn{}, idleLimits: idleLimits{targets: map[string]idleLimit{}}}
}

// Opened returns the number of connections that the pool dialed.
func (p *Pool) Opened() uint64 { return p.opened.Load() }

// Send sends a request to an address. Target identifies the backend server, as another may get its address later.
func (p *Pool) Send(ctx context.Context, target, address string, req *Request) (*Response, error) {
	if err := checkWritable(req); err != nil {
		return nil, err
	}
	c, err := p.acquire(ctx, time.Now(), target, address, req.Idempotent)
	if err != nil {
		return nil, err
	}
	return p.exchange(ctx, c, req)
}

// exchange sends a request on a connection and reads the response.
func (p *Pool) exchange(ctx context.Context, c *conn, req *Request) (*Response, error) {
	stop := context.AfterFunc(ctx, c.abort)
	endSupervision := func() {}
	if req.Body.Len() > maxInlineBytes {
		endSupervision = c.superviseProgress()
	}
	fail := func(err error) (*Response, error) {
		endSupervision()
		stop()
		_ = c.Close()
		return nil, err
	}
	sent, err := c.send(req)
	if err != nil {
		return fail(err)
	}
	resp, err := p.receive(c, req) //nolint:bodyclose // The body needs no Close: its connection is either closed or fully read.
	if err != nil {
		if ctx.Err() == nil && fault.KindOf[Kind](err) == KindIdleClosed {
			p.recordIdleClose(time.Now(), c)
		}
		_ = c.Close()
		if sent.isUnsent() {
			err = fault.Wrap("write", KindUnsent, err)
		}
		return fail(err)
	}
	out, err := readBody(resp, req.Body)
	if err != nil {
		return fail(err)
	}
	out.end = func(clean bool) {
		endSupervision()
		if stop() && clean && !resp.Close && c.reader.Buffered() == 0 && sent.isComplete() {
			p.putIdle(c, keepAliveOf(resp.Header), time.Now())
			return
		}
		_ = c.Close()
	}
	if out.remainder == nil {
		out.Close(true)
	}
	return out, nil
}

func encode(req *Request) []byte {
	const headCapacity = 512
	b := make([]byte, 0, headCapacity+len(req.URI)+min(req.Body.Len(), maxInlineBytes))
	b = append(b, req.Method...)
	b = append(b, ' ')
	b = append(b, req.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, req.Host...)
	b = append(b, "\r\n"...)
	for name, values := range req.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if req.Body.Len() > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		b = append(b, "Content-Length: "...)
		const decimal = 10
		b = strconv.AppendInt(b, int64(req.Body.Len()), decimal)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// awaitHead waits for the first byte of a response's head, and charges the head to a request. First means that no response was read in the present
// use of the connection.
func (c *conn) awaitHead(charged *memory.Buffer, first bool) error {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err == nil {
		c.head.start(len(buffered), charged)
		err = c.ExpectHead(buffered)
	}
	if err == nil {
		_, err = c.reader.Peek(1)
	}
	switch {
	case err == nil:
		return nil
	case fault.KindOf[reply.Kind](err) == reply.KindInvalid:
		return fault.Wrap("read head", KindBroken, err)
	case first && c.idleFor > 0 && errors.Is(err, syscall.ECONNRESET):
		return fault.Wrap("await response", KindIdleClosed, err)
	default:
		return fault.Wrap("await response", KindLost, err)
	}
}

// receive reads the head of the response to req. Late responses to other requests are skipped; one that does not name its
// request is only accepted for the first request of a connection.
func (p *Pool) receive(c *conn, req *Request) (*http.Response, error) {
	httpReq := &http.Request{Method: req.Method}
	for foreign := 0; foreign <= maxForeignResponses; {
		if err := c.awaitHead(req.Body, foreign == 0); err != nil {
			return nil, err
		}
		resp, err := readHead(c.reader, httpReq)
		if err != nil {
			return nil, fault.Wrap("read head", KindBroken, err)
		}
		c.head.end()
		id := p.echo(resp.Header)
		if id == req.ID {
			return resp, nil
		}
		if id == "" && c.idleFor == 0 {
			// No other request was sent on this connection. The next one could get a late copy of this response, so it is closed.
			resp.Close = true
			return resp, nil
		}
		if id == "" {
			return nil, fault.New("read head", KindBroken, "a response without the request's id on a connection that was in use before")
		}
		foreign++
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, fault.Wrap("skip a response to another request", KindBroken, err)
		}
	}
	return nil, fault.New("read head", KindBroken, "only responses to other requests")
}

// readHead reads the head of a response and skips the interim responses before it.
func readHead(r *bufio.Reader, req *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(r, req)
		if err != nil {
			return nil, err
		}
		if err := reply.CheckHead(resp.StatusCode, resp.Header); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// acquire returns a pooled connection that is still open, or a new one.
func (p *Pool) acquire(ctx context.Context, now time.Time, target, address string, idempotent bool) (*conn, error) {
	for {
		c := p.popIdle(now, target, idempotent)
		if c == nil {
			break
		}
		if now.Before(c.until) && quiet(c.NetConn()) {
			return c, nil
		}
		_ = c.Close()
	}
	p.opened.Add(1)
	p.makeRoom()
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.open.remove()
		return nil, fault.Wrap("connect", KindUnsent, err)
	}
	c := reply.NewConn(raw)
	head := &headLimit{source: c}
	return &conn{Conn: c, reader: bufio.NewReaderSize(head, readBufferBytes), head: head, open: &p.open, target: target}, nil
}

// popIdle removes and returns the connection that was idle for the shortest time, if the idle limits allow its use.
func (p *Pool) popIdle(now time.Time, target string, idempotent bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[target]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	// 0 means a new connection, so a connection that is reused within the clock's resolution counts as idle for 1 ns.
	c.idleFor = max(1, now.Sub(c.idleSince))
	if !p.idleLimits.allows(now, target, c.idleFor, idempotent) {
		return nil
	}
	p.idle[target] = list[:len(list)-1]
	return c
}

// recordIdleClose records that the backend server closed a connection while it was idle.
func (p *Pool) recordIdleClose(now time.Time, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleLimits.recordIdleClose(now, c.target, c.idleFor)
}

func (p *Pool) putIdle(c *conn, keep time.Duration, now time.Time) {
	c.until, c.idleSince = now.Add(keep), now
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.target] = append(p.idle[c.target], c)
}

// Sweep closes expired idle connections, and all connections of targets for which isKept returns false.
func (p *Pool) Sweep(now time.Time, isKept func(target string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleLimits.prune(now)
	for target, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if isKept(target) && now.Before(c.until) && p.idleLimits.allows(now, target, now.Sub(c.idleSince), true) {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, target)
			continue
		}
		clear(list[len(kept):])
		p.idle[target] = kept
	}
}

// keepAliveOf returns how long a connection may stay idle after a response with these headers.
func keepAliveOf(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(0, time.Duration(n)*time.Second-keepAliveMargin)
		}
	}
	return defaultKeepAlive
}
