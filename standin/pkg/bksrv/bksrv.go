// Package bksrv is a backend server with faults that tests switch on. It witnesses every run.
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

// Header names that the stand-in reads and writes.
const (
	headerRequestID = "Rosemary-Request-Id"
	headerNotRun    = "Rosemary-Not-Run"
	// HeaderServer names the server in its answers.
	HeaderServer = "Standin-Server"
	// HeaderDigest carries the digest of the answer's body.
	HeaderDigest = "Standin-Digest"
	// HeaderToken is echoed by the server, so that a caller knows its own answer.
	HeaderToken = "Standin-Token"
)

// Faults are the switches.
type Faults struct {
	// DelayMillis is added to the time of every request.
	DelayMillis int `json:"delayMillis"`
	// Stall holds every request until it is switched off.
	Stall bool `json:"stall"`
	// Shed refuses every request with the mark that it did not run.
	Shed bool `json:"shed"`
	// Reset closes the connection after the run.
	Reset bool `json:"reset"`
	// Short ends the answer before its declared length.
	Short bool `json:"short"`
	// Long sends more than the declared length.
	Long bool `json:"long"`
	// Foreign answers with another request's id.
	Foreign bool `json:"foreign"`
	// Garbage answers with bytes that are no HTTP.
	Garbage bool `json:"garbage"`
}

// Witness is what the server saw.
type Witness struct {
	// Runs counts executions by the caller's token.
	Runs map[string]int `json:"runs"`
	// Total counts executions.
	Total int `json:"total"`
	// InFlight is the present number of requests.
	InFlight int `json:"inFlight"`
	// MaxInFlight is the largest number of requests at once.
	MaxInFlight int `json:"maxInFlight"`
	// Cuts counts, by the caller's token, requests whose connection went away before the answer was whole.
	Cuts map[string]int `json:"cuts"`
	// LastStartUnixMillis is when the last request began.
	LastStartUnixMillis int64 `json:"lastStartUnixMillis"`
}

// Server is a handler for one backend server.
type Server struct {
	name    string
	service time.Duration

	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
	witness Witness
}

// New returns a server whose requests take the service time.
func New(name string, service time.Duration) *Server {
	return &Server{name: name, service: service, changed: make(chan struct{}), witness: Witness{Runs: map[string]int{}, Cuts: map[string]int{}}}
}

// SetFaults switches faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetServiceTime changes how long requests take.
func (s *Server) SetServiceTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service = d
}

// Witness returns what the server saw.
func (s *Server) Witness() Witness {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.witness
	w.Runs, w.Cuts = maps.Clone(s.witness.Runs), maps.Clone(s.witness.Cuts)
	return w
}

// ServeHTTP serves requests, and the control routes under /.standin/.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/.standin/witness":
		_ = json.NewEncoder(w).Encode(s.Witness())
	case "/.standin/faults":
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
		w.WriteHeader(http.StatusNoContent)
	default:
		s.request(w, r)
	}
}

func (s *Server) request(w http.ResponseWriter, r *http.Request) {
	f := s.faultsNow()
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
	s.begin(r)
	defer s.end()
	if !s.work(r, f) {
		s.cut(r)
		return
	}
	if f.Reset {
		panic(http.ErrAbortHandler)
	}
	if f.Garbage {
		garbage(w)
		return
	}
	s.answer(w, r, f, body)
}

func (s *Server) faultsNow() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) begin(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.witness.Runs[r.Header.Get(HeaderToken)]++
	s.witness.Total++
	s.witness.InFlight++
	s.witness.MaxInFlight = max(s.witness.MaxInFlight, s.witness.InFlight)
	s.witness.LastStartUnixMillis = time.Now().UnixMilli()
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.witness.InFlight--
}

func (s *Server) cut(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.witness.Cuts[r.Header.Get(HeaderToken)]++
}

// work takes the time of the request and returns whether the caller still waits.
func (s *Server) work(r *http.Request, f Faults) bool {
	d := s.serviceTime() + time.Duration(f.DelayMillis)*time.Millisecond
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

func (s *Server) serviceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.service
}

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

func garbage(w http.ResponseWriter) {
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

// answer writes bytes that depend on the request's token, or on the bytes asked for.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, f Faults, body []byte) {
	token := r.Header.Get(HeaderToken)
	out := content(token, r, body)
	id := r.Header.Get(headerRequestID)
	if f.Foreign {
		id = "another-" + id
	}
	w.Header().Set(headerRequestID, id)
	w.Header().Set(HeaderServer, s.name)
	w.Header().Set(HeaderToken, token)
	w.Header().Set(HeaderDigest, fmt.Sprintf("%016x", xxhash.Sum64(out)))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	switch {
	case f.Short:
		_, _ = w.Write(out[:len(out)/2])
		panic(http.ErrAbortHandler)
	case f.Long:
		s.long(w, out)
	default:
		if _, err := w.Write(out); err != nil {
			s.cut(r)
		}
	}
}

// long sends more bytes than the header declares, which the HTTP library would not do by itself.
func (s *Server) long(w http.ResponseWriter, out []byte) {
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

// content returns the body of an answer.
func content(token string, r *http.Request, body []byte) []byte {
	n, err := strconv.Atoi(r.URL.Query().Get("bytes"))
	if err != nil || n < 1 {
		return append([]byte("answer to "+token+": "), body...)
	}
	if token == "" {
		token = "-"
	}
	return bytes.Repeat([]byte(token), n/len(token)+1)[:n]
}
