package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is one client attempt.
type request struct {
	id, method, uri, host string
	// deadline is how long the client waits.
	deadline time.Duration
	// header holds further header lines, each with CRLF at its end.
	header string
	body   io.Reader
	length int64
}

// answer is what a client got. A request without a complete answer has an err.
type answer struct {
	status  int
	stamped bool
	text    string
	closes  bool
	err     error
	// sent is true once the whole request was written.
	sent bool
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return strconv.Itoa(a.status)
}

// caller is a client with one connection, which it keeps until an answer or an error ends it.
type caller struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
	// uses is the number of requests that were sent on the connection.
	uses int
}

func (c *caller) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader, c.uses = conn, bufio.NewReader(conn), 0
	return nil
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends a request on the caller's connection and reads the answer.
func (c *caller) send(r request) answer {
	if err := c.connect(); err != nil {
		return answer{err: err}
	}
	c.uses++
	a := c.exchange(r)
	if a.err != nil || a.closes {
		c.close()
	}
	return a
}

func (c *caller) exchange(r request) answer {
	_ = c.conn.SetDeadline(time.Now().Add(r.deadline + time.Second))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s", r.method, r.uri, r.host, headerAttempt, r.id,
		headerDeadline, r.deadline.Milliseconds(), r.header)
	if r.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", r.length)
	}
	b.WriteString("\r\n")
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		return answer{err: err}
	}
	if r.body != nil {
		if _, err := io.Copy(c.conn, r.body); err != nil {
			return answer{err: err}
		}
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err, sent: true}
	}
	text, err := io.ReadAll(resp.Body)
	return answer{
		status: resp.StatusCode, stamped: resp.Header.Get(headerStamp) != "", text: string(text), closes: resp.Close, err: err, sent: true,
	}
}
