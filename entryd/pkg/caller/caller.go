// Package caller serves callers over HTTP.
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"rosemarygrade.dev/entryd/pkg/dedup"
	"rosemarygrade.dev/entryd/pkg/flow"
	"rosemarygrade.dev/entryd/pkg/proxy"
	"rosemarygrade.dev/entryd/pkg/server"
	"rosemarygrade.dev/lib/pkg/model"
)

// Headers between callers and entryd.
const (
	// HeaderKey carries the request key of a request that may run at most once.
	HeaderKey = "Rosemary-Key"
	// HeaderCaller declares the address of a caller that speaks through another, as in look-ups.
	HeaderCaller = "Rosemary-Caller"
	// HeaderOutcome tells callers what became of the request.
	HeaderOutcome = "Rosemary-Outcome"
	// HeaderRetryAfter is the standard header, in whole seconds.
	HeaderRetryAfter = "Retry-After"
)

// outcomePath is the route of the outcome call.
const outcomePath = "/.rosemary/outcome"

// writeStall is how long a caller may take no byte of its answer.
const writeStall = 30 * time.Second

// readGrace is how much later than its deadline a request's body may end.
const readGrace = 100 * time.Millisecond

// maxPath is the longest path and query that is taken.
const maxPath = 8 << 10

// Server serves callers.
type Server struct {
	proxy    *proxy.Proxy
	regions  Regions
	log      *slog.Logger
	inFlight atomic.Int64
	stopping atomic.Bool
	counts   Counts
}

// Counts are the ends of requests since the start.
type Counts struct {
	Full    atomic.Uint64
	NotRun  atomic.Uint64
	Unknown atomic.Uint64
	Broken  atomic.Uint64
}

// Regions tells the region of a caller by its address.
type Regions interface {
	// RegionOf returns the region of an address; one that no block holds is of the host's region.
	RegionOf(addr netip.Addr) string
}

// New returns a server.
func New(p *proxy.Proxy, regions Regions, log *slog.Logger) *Server {
	return &Server{proxy: p, regions: regions, log: log}
}

// InFlight returns how many requests are under way.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Stop turns new requests away from now on, and asks callers to close their connections.
func (s *Server) Stop() { s.stopping.Store(true) }

// Counts returns the counts of ends.
func (s *Server) Counts() *Counts { return &s.counts }

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.GET(outcomePath, s.outcome)
	e.Any("/*", func(c echo.Context) error {
		s.serve(c.Response(), c.Request())
		return nil
	})
	return e
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	id := uuid.NewString()
	w.Header().Set(server.HeaderRequestID, id)
	out := &sink{w: w, control: http.NewResponseController(w)}
	req, svc, refused := s.read(out.control, r, id)
	if refused != nil {
		if r.ContentLength != 0 {
			// The HTTP library reads the rest of a body before it answers, unless the connection
			// is to be closed; a caller that stalls would never see its answer.
			w.Header().Set("Connection", "close")
		}
		s.refuse(out, id, *refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.Deadline)
	defer cancel()
	s.finish(out, id, svc, s.proxy.Serve(ctx, req, out))
}

// read checks a request and turns it into its internal form.
func (s *Server) read(control *http.ResponseController, r *http.Request, id string) (*flow.Request, *model.Service, *flow.Rejected) {
	if s.stopping.Load() {
		return nil, nil, turned(flow.RefusedStopping, "the host is stopping; ask for another one")
	}
	if !s.proxy.Ready() {
		return nil, nil, turned(flow.RefusedNotReady, "no configuration has been loaded yet")
	}
	if len(r.URL.RequestURI()) > maxPath {
		return nil, nil, turned(flow.RefusedBadBody, "the path is too long")
	}
	svc, route, ok := s.proxy.Route(r.Method, r.URL.Path)
	if !ok {
		return nil, nil, turned(flow.RefusedNoRoute, "no service has a route for this path and method")
	}
	key := r.Header.Get(HeaderKey)
	if route.NonIdempotent() && key == "" && !svc.KeyOptional() {
		return nil, nil, turned(flow.RefusedKeyNeeded, "the route runs at most once and needs a "+HeaderKey+" header; a look-up gives its prefix")
	}
	deadline, refused := deadlineOf(time.Now(), r, svc)
	if refused != nil {
		return nil, nil, refused
	}
	// A caller that stalls in its body must not hold the request past its deadline.
	_ = control.SetReadDeadline(deadline.Add(readGrace))
	body, refused := readBody(r, svc, route)
	if refused != nil {
		return nil, nil, refused
	}
	source, refused := s.regionOf(r)
	if refused != nil {
		return nil, nil, refused
	}
	return &flow.Request{
		ID: id, Service: svc.Name(), Method: r.Method, Path: r.URL.RequestURI(), Header: forwarded(r.Header),
		Body: body, Deadline: deadline, Source: source, Idempotent: !route.NonIdempotent(),
		Background: svc.Background(), EchoNeeded: !svc.EchoOptional(), Key: key,
	}, svc, nil
}

// regionOf returns the region of the address that the caller declares, or that it speaks from.
func (s *Server) regionOf(r *http.Request) (string, *flow.Rejected) {
	if declared := r.Header.Get(HeaderCaller); declared != "" {
		addr, err := netip.ParseAddr(declared)
		if err != nil {
			return "", turned(flow.RefusedBadBody, HeaderCaller+" must be an IP address")
		}
		return s.regions.RegionOf(addr), nil
	}
	remote, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return s.regions.RegionOf(netip.Addr{}), nil
	}
	return s.regions.RegionOf(remote.Addr()), nil
}

func turned(kind flow.RejectionKind, reason string) *flow.Rejected {
	r := flow.NotRun(kind, reason)
	return &r
}

// deadlineOf returns the service's deadline or the caller's own, the earlier one.
func deadlineOf(now time.Time, r *http.Request, svc *model.Service) (time.Time, *flow.Rejected) {
	limit := svc.Deadline()
	if v := r.Header.Get(server.HeaderDeadline); v != "" {
		n, err := strconv.ParseInt(v, 10, 32)
		if err != nil || n < 1 {
			return now, turned(flow.RefusedBadBody, server.HeaderDeadline+" must be a number of milliseconds")
		}
		limit = min(limit, time.Duration(n)*time.Millisecond)
	}
	return now.Add(limit), nil
}

// readBody holds the whole body of a request that may run at most once, and the start of others.
func readBody(r *http.Request, svc *model.Service, route model.Route) (*flow.Body, *flow.Rejected) {
	if r.ContentLength > svc.MaxBody() {
		return nil, turned(flow.RefusedBody, "the body is longer than the service takes")
	}
	if r.ContentLength == 0 {
		return flow.BytesBody(nil), nil
	}
	limited := http.MaxBytesReader(nil, r.Body, svc.MaxBody())
	if !route.NonIdempotent() {
		b, err := flow.NewBody(limited, r.ContentLength)
		if err != nil {
			return nil, bodyError(err)
		}
		return b, nil
	}
	data, err := io.ReadAll(limited)
	if err != nil {
		return nil, bodyError(err)
	}
	return flow.BytesBody(data), nil
}

func bodyError(err error) *flow.Rejected {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return turned(flow.RefusedBody, "the body is longer than the service takes")
	}
	return turned(flow.RefusedBadBody, "the body ended early: "+err.Error())
}

// hopHeaders are headers of one connection, which are not passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	HeaderKey: true, HeaderCaller: true, HeaderOutcome: true, server.HeaderRequestID: true, server.HeaderDeadline: true,
	server.HeaderNotRun: true, "Expect": true,
}

func forwarded(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !hopHeaders[name] {
			out[name] = values
		}
	}
	return out
}

// finish ends an answer. A broken one that has begun breaks the caller's connection.
func (s *Server) finish(out *sink, id string, svc *model.Service, res flow.Result) {
	switch r := res.(type) {
	case flow.Complete:
		s.counts.Full.Add(1)
	case flow.Rejected:
		s.log.Debug("refused", "request", id, "service", svc.Name(), "kind", r.Kind, "outcome", r.Outcome, "reason", r.Reason)
		s.refuse(out, id, r)
	case flow.Aborted:
		s.log.Info("broken", "request", id, "service", svc.Name(), "headSent", out.began, "reason", r.Reason)
		if out.began {
			s.counts.Broken.Add(1)
			panic(http.ErrAbortHandler)
		}
		s.refuse(out, id, flow.Unknown(flow.RefusedBadAnswer, r.Reason))
	}
}

// failure is the JSON body of an answer that is not a backend server's.
type failure struct {
	Outcome          flow.Outcome       `json:"outcome"`
	Kind             flow.RejectionKind `json:"kind"`
	Reason           string             `json:"reason"`
	RequestID        string             `json:"requestId"`
	RetryAfterMillis int64              `json:"retryAfterMillis,omitempty"`
}

func (s *Server) refuse(out *sink, id string, r flow.Rejected) {
	if out.began {
		panic(http.ErrAbortHandler)
	}
	if r.Outcome == flow.OutcomeNotRun {
		s.counts.NotRun.Add(1)
	} else {
		s.counts.Unknown.Add(1)
	}
	_ = out.control.SetWriteDeadline(time.Now().Add(writeStall))
	h := out.w.Header()
	h.Set(HeaderOutcome, string(r.Outcome))
	if s.stopping.Load() {
		h.Set("Connection", "close")
	}
	status := statusOf(r)
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		seconds := int64((r.RetryAfter + time.Second - 1) / time.Second)
		h.Set(HeaderRetryAfter, strconv.FormatInt(max(1, seconds), 10))
	}
	writeJSON(out.w, status, failure{
		Outcome: r.Outcome, Kind: r.Kind, Reason: r.Reason, RequestID: id, RetryAfterMillis: r.RetryAfter.Milliseconds(),
	})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// statusOf maps a refusal to an HTTP status.
func statusOf(r flow.Rejected) int {
	switch r.Kind {
	case flow.RefusedNoRoute:
		return http.StatusNotFound
	case flow.RefusedBadKey, flow.RefusedBadBody:
		return http.StatusBadRequest
	case flow.RefusedKeyNeeded:
		return http.StatusPreconditionRequired
	case flow.RefusedKeyReused:
		return http.StatusConflict
	case flow.RefusedBody:
		return http.StatusRequestEntityTooLarge
	case flow.RefusedFull, flow.RejectedQuota, flow.RejectedWouldExpire, flow.RejectedShed:
		return http.StatusTooManyRequests
	case flow.RejectedExpired, flow.RefusedUnanswered:
		return http.StatusGatewayTimeout
	case flow.RefusedNotKept:
		return http.StatusGone
	default:
		if r.Outcome == flow.OutcomeNotRun {
			return http.StatusServiceUnavailable
		}
		return http.StatusBadGateway
	}
}

// outcomeAnswer is the JSON body of the outcome call.
type outcomeAnswer struct {
	Outcome flow.Outcome `json:"outcome"`
	Status  int          `json:"status,omitempty"`
	Body    []byte       `json:"body,omitempty"`
	Kept    bool         `json:"bodyKept"`
}

// outcome tells what is known of a request key.
func (s *Server) outcome(c echo.Context) error {
	k, err := dedup.Parse(c.QueryParam("key"))
	if err != nil {
		writeJSON(c.Response(), http.StatusBadRequest, failure{Kind: flow.RefusedBadKey, Reason: err.Error()})
		return nil
	}
	known := s.proxy.FindOutcome(c.Request().Context(), k)
	writeJSON(c.Response(), http.StatusOK, outcomeAnswer{
		Outcome: known.Outcome, Status: known.Answer.Status, Body: known.Answer.Body, Kept: known.Answer.Kept,
	})
	return nil
}

// sink writes an answer to a caller.
type sink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	began   bool
	flush   bool
}

// Head implements flow.Sink.
func (s *sink) Head(h flow.Head) error {
	out := s.w.Header()
	id := out.Get(server.HeaderRequestID)
	for name, values := range h.Header {
		if !hopHeaders[name] && name != "Content-Length" {
			out[name] = values
		}
	}
	out.Set(server.HeaderRequestID, id)
	out.Set(HeaderOutcome, string(flow.OutcomeFull))
	if h.Size >= 0 {
		out.Set("Content-Length", strconv.FormatInt(h.Size, 10))
	}
	s.flush = h.Size < 0
	s.began = true
	_ = s.control.SetWriteDeadline(time.Now().Add(writeStall))
	s.w.WriteHeader(h.Status)
	return nil
}

// Data implements flow.Sink.
func (s *sink) Data(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	_ = s.control.SetWriteDeadline(time.Now().Add(writeStall))
	if _, err := s.w.Write(p); err != nil {
		return err
	}
	if s.flush {
		return s.control.Flush()
	}
	return nil
}
