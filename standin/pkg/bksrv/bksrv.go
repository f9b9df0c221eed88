// Package bksrv is a fake backend server into which tests inject faults. It records every request that it runs.
package bksrv

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Names of headers that the fake server reads and writes.
const (
	headerRequestID = "Rosemary-Request-Id"
	headerNotRun    = "Rosemary-Not-Run"
	// HeaderServer carries the server's name in responses.
	HeaderServer = "Standin-Server"
	// HeaderDigest carries the xxHash64 of the response body as 16 hexadecimal digits.
	HeaderDigest = "Standin-Digest"
	// HeaderToken carries the caller's token of a request. The response repeats it, so that a caller detects the response
	// to another request.
	HeaderToken = "Standin-Token"
)

// Faults are the injected faults; the zero value injects none.
type Faults struct {
	// DelayMillis is added to the service time of every request, in milliseconds.
	DelayMillis int `json:"delayMillis"`
	// Stall blocks every request until Stall is cleared.
	Stall bool `json:"stall"`
	// Shed rejects every request with status 503 and the header Rosemary-Not-Run.
	Shed bool `json:"shed"`
	// Reset runs the request and then closes the connection without a response.
	Reset bool `json:"reset"`
	// Truncate closes the connection after half of the response body.
	Truncate bool `json:"short"`
	// Overlong sends more bytes than the declared Content-Length.
	Overlong bool `json:"long"`
	// WrongRequestID puts another request's ID into the response.
	WrongRequestID bool `json:"foreign"`
	// Malformed responds with bytes that are not HTTP.
	Malformed bool `json:"garbage"`
}

// Record counts the requests that a server ran.
type Record struct {
	// Runs counts the runs of each request, by the caller's token.
	Runs map[string]int `json:"runs"`
	// Total counts all runs.
	Total int `json:"total"`
	// InFlight is the number of requests that run now.
	InFlight int `json:"inFlight"`
	// MaxInFlight is the largest value that InFlight has had.
	MaxInFlight int `json:"maxInFlight"`
	// Aborted counts, by the caller's token, requests whose connection was closed before the response was complete.
	Aborted map[string]int `json:"cuts"`
	// LastStartUnixMillis is the Unix time in milliseconds at which the last run began.
	LastStartUnixMillis int64 `json:"lastStartUnixMillis"`
}

// Server is the HTTP handler of one fake backend server. It is safe for concurrent use.
type Server struct {
	name        string
	serviceTime time.Duration

	mu     sync.Mutex
	faults Faults
	// changed is closed and replaced when the faults change.
	changed chan struct{}
	record  Record
}

// New returns a server that takes serviceTime for each request.
func New(name string, serviceTime time.Duration) *Server {
	return &Server{name: name, serviceTime: serviceTime, changed: make(chan struct{}), record: Record{Runs: map[string]int{}, Aborted: map[string]int{}}}
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetServiceTime sets the time that the server takes for each later request.
func (s *Server) SetServiceTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serviceTime = d
}

// Recorded returns a copy of the server's record.
func (s *Server) Recorded() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.record
	r.Runs, r.Aborted = maps.Clone(s.record.Runs), maps.Clone(s.record.Aborted)
	return r
}

// ServeHTTP serves requests, and the control routes under /.standin/ that return the record and set the faults.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/.standin/witness":
		_ = json.NewEncoder(w).Encode(s.Recorded())
	case "/.standin/faults":
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
		w.WriteHeader(http.StatusNoContent)
	default:
		s.serveRequest(w, r)
	}
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	f := s.currentFaults()
	if f.Shed {
		w.Header().Set(headerNotRun, "true")
		w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.recordStart(r)
	defer s.recordEnd()
	if !s.waitServiceTime(r, f) {
		s.recordAbort(r)
		return
	}
	if f.Reset {
		panic(http.ErrAbortHandler)
	}
	if f.Malformed {
		writeMalformed(w)
		return
	}
	s.writeResponse(w, r, f, body)
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) recordStart(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Runs[r.Header.Get(HeaderToken)]++
	s.record.Total++
	s.record.InFlight++
	s.record.MaxInFlight = max(s.record.MaxInFlight, s.record.InFlight)
	s.record.LastStartUnixMillis = time.Now().UnixMilli()
}

func (s *Server) recordEnd() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.InFlight--
}

func (s *Server) recordAbort(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Aborted[r.Header.Get(HeaderToken)]++
}

// waitServiceTime waits for the service time of a request, or for the query parameter millis instead, and then until Stall
// is cleared. It returns false if the request is cancelled first.
func (s *Server) waitServiceTime(r *http.Request, f Faults) bool {
	d := s.currentServiceTime() + time.Duration(f.DelayMillis)*time.Millisecond
	if v, err := strconv.Atoi(r.URL.Query().Get("millis")); err == nil {
		d = time.Duration(v) * time.Millisecond
	}
	if d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-r.Context().Done():
			return false
		}
	}
	return s.waitStall(r)
}

func (s *Server) currentServiceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serviceTime
}

// waitStall waits until Stall is cleared. It returns false if the request is cancelled first.
func (s *Server) waitStall(r *http.Request) bool {
	for {
		s.mu.Lock()
		stalled, changed := s.faults.Stall, s.changed
		s.mu.Unlock()
		if !stalled {
			return true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

// writeMalformed writes bytes that are not HTTP and closes the connection.
func writeMalformed(w http.ResponseWriter) {
	h, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := h.Hijack()
	if err != nil {
		return
	}
	_, _ = conn.Write([]byte("\x00\x01garbage that is no HTTP\r\n\r\n"))
	_ = conn.Close()
}

// writeResponse writes a response with the request's token and the digest of the body, changed by the injected faults.
func (s *Server) writeResponse(w http.ResponseWriter, r *http.Request, f Faults, body []byte) {
	token := r.Header.Get(HeaderToken)
	out := responseBody(token, r, body)
	id := r.Header.Get(headerRequestID)
	if f.WrongRequestID {
		id = "another-" + id
	}
	w.Header().Set(headerRequestID, id)
	w.Header().Set(HeaderServer, s.name)
	w.Header().Set(HeaderToken, token)
	w.Header().Set(HeaderDigest, fmt.Sprintf("%016x", xxhash.Sum64(out)))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	switch {
	case f.Truncate:
		_, _ = w.Write(out[:len(out)/2])
		panic(http.ErrAbortHandler)
	case f.Overlong:
		s.writeOverlong(w, out)
	default:
		if _, err := w.Write(out); err != nil {
			s.recordAbort(r)
		}
	}
}

// writeOverlong sends more bytes than Content-Length declares. It writes to the hijacked connection, as net/http writes
// no more than Content-Length.
func (s *Server) writeOverlong(w http.ResponseWriter, out []byte) {
	h, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := h.Hijack()
	if err != nil {
		return
	}
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(&b)
	b.WriteString("\r\n")
	b.Write(out)
	b.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nextra!")
	_, _ = conn.Write(b.Bytes())
	_ = conn.Close()
}

// responseBody returns the token with the request's body, or the token repeated to the length in the query parameter bytes.
func responseBody(token string, r *http.Request, body []byte) []byte {
	n, err := strconv.Atoi(r.URL.Query().Get("bytes"))
	if err != nil || n < 1 {
		return append([]byte("answer to "+token+": "), body...)
	}
	if token == "" {
		token = "-"
	}
	return bytes.Repeat([]byte(token), n/len(token)+1)[:n]
}
