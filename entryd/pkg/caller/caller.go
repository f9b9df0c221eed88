// Package caller implements the HTTP server for callers. It checks a request, determines its service,
// deadline and source region, and writes the response or the rejection. Package proxy routes the
// request.
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
	"rosemarygrade.dev/lib/pkg/serve"
)

// Headers between callers and entryd.
const (
	// HeaderKey carries the request key of a request that may run at most once.
	HeaderKey = "Rosemary-Key"
	// HeaderCaller carries the IP address of the caller if the request comes through an
	// intermediary. Look-ups use the same header.
	HeaderCaller = "Rosemary-Caller"
	// HeaderOutcome carries the outcome of the request in responses.
	HeaderOutcome = "Rosemary-Outcome"
	// HeaderRetryAfter is the standard header; its value is in whole seconds.
	HeaderRetryAfter = "Retry-After"
)

// outcomePath is the path of the call that returns the outcome of a request key.
const outcomePath = "/.rosemary/outcome"

// writeStallTimeout bounds each write of a response, so that a caller that stops reading is disconnected.
const writeStallTimeout = 30 * time.Second

// bodyReadGrace is how long after a request's deadline a read of its body times out.
const bodyReadGrace = 100 * time.Millisecond

// maxURIBytes is the largest accepted size of path and query together.
const maxURIBytes = 8 << 10

// Server handles callers' requests. It is safe for concurrent use.
type Server struct {
	proxy    *proxy.Proxy
	regions  Regions
	log      *slog.Logger
	inFlight atomic.Int64
	stopping atomic.Bool
	counts   Counts
}

// Counts holds the numbers of ended requests since the start of the process.
type Counts struct {
	// Full counts complete responses of backend servers.
	Full atomic.Uint64
	// NotRun counts rejections of requests that did not run.
	NotRun atomic.Uint64
	// Unknown counts all other rejections.
	Unknown atomic.Uint64
	// Aborted counts responses that were aborted after their head was sent.
	Aborted atomic.Uint64
}

// Regions maps the addresses of callers to regions.
type Regions interface {
	// RegionOf returns the region of an address, or the host's own region if no address block of
	// the configuration contains the address.
	RegionOf(addr netip.Addr) string
}

// New returns a Server. Regions determines the regions of callers.
func New(p *proxy.Proxy, regions Regions, log *slog.Logger) *Server {
	return &Server{proxy: p, regions: regions, log: log}
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Stop makes the server reject new requests and close the connections on which they arrive.
func (s *Server) Stop() { s.stopping.Store(true) }

// Counts returns the counters of ended requests.
func (s *Server) Counts() *Counts { return &s.counts }

// Handler returns the HTTP handler for requests and for the outcome call.
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
	out := &sink{w: w, r: r, control: http.NewResponseController(w)}
	req, svc, rejected := s.parseRequest(out.control, r, id)
	if rejected != nil {
		if r.ContentLength != 0 {
			// Unless the connection is closed, net/http reads the rest of the body before it writes
			// the response, and a caller that stalls in its body would never get the response.
			w.Header().Set("Connection", "close")
		}
		s.writeRejection(out, id, *rejected)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.Deadline)
	defer cancel()
	s.finish(out, id, svc, s.proxy.Serve(ctx, req, out))
}

// parseRequest validates a request and reads its body. It returns the request with its service, or
// a rejection.
func (s *Server) parseRequest(control *http.ResponseController, r *http.Request, id string) (*flow.Request, *model.Service, *flow.Rejected) {
	if s.stopping.Load() {
		return nil, nil, reject(flow.RejectedStopping, "the host is stopping; ask for another one")
	}
	if !s.proxy.Ready() {
		return nil, nil, reject(flow.RejectedNotReady, "no configuration has been loaded yet")
	}
	if len(r.URL.RequestURI()) > maxURIBytes {
		return nil, nil, reject(flow.RejectedBadRequest, "the path is too long")
	}
	svc, route, ok := s.proxy.Route(r.Method, r.URL.Path)
	if !ok {
		return nil, nil, reject(flow.RejectedNoRoute, "no service has a route for this path and method")
	}
	key := r.Header.Get(HeaderKey)
	if route.NonIdempotent() && key == "" && !svc.KeyOptional() {
		return nil, nil, reject(flow.RejectedKeyNeeded, "the route runs at most once and needs a "+HeaderKey+" header; a look-up gives its prefix")
	}
	deadline, rejected := deadlineOf(time.Now(), r, svc)
	if rejected != nil {
		return nil, nil, rejected
	}
	// A caller that stalls in its body must not keep the request in flight past its deadline.
	_ = control.SetReadDeadline(deadline.Add(bodyReadGrace))
	body, rejected := readBody(r, svc, route)
	if rejected != nil {
		return nil, nil, rejected
	}
	source, rejected := s.regionOf(r)
	if rejected != nil {
		return nil, nil, rejected
	}
	return &flow.Request{
		ID: id, Service: svc.Name(), Method: r.Method, Path: r.URL.RequestURI(), Header: forwardedHeaders(r.Header),
		Body: body, Deadline: deadline, Source: source, Idempotent: !route.NonIdempotent(),
		Background: svc.Background(), EchoNeeded: !svc.EchoOptional(), Key: key,
	}, svc, nil
}

// regionOf returns the region of the address in HeaderCaller, or else of the connection's remote address.
func (s *Server) regionOf(r *http.Request) (string, *flow.Rejected) {
	if declared := r.Header.Get(HeaderCaller); declared != "" {
		addr, err := netip.ParseAddr(declared)
		if err != nil {
			return "", reject(flow.RejectedBadRequest, HeaderCaller+" must be an IP address")
		}
		return s.regions.RegionOf(addr), nil
	}
	remote, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return s.regions.RegionOf(netip.Addr{}), nil
	}
	return s.regions.RegionOf(remote.Addr()), nil
}

func reject(kind flow.RejectionKind, reason string) *flow.Rejected {
	r := flow.NotRun(kind, reason)
	return &r
}

// deadlineOf returns the earlier of the service's deadline and the deadline that the caller requests.
func deadlineOf(now time.Time, r *http.Request, svc *model.Service) (time.Time, *flow.Rejected) {
	limit := svc.Deadline()
	if v := r.Header.Get(server.HeaderDeadline); v != "" {
		n, err := strconv.ParseInt(v, 10, 32)
		if err != nil || n < 1 {
			return now, reject(flow.RejectedBadRequest, server.HeaderDeadline+" must be a number of milliseconds")
		}
		limit = min(limit, time.Duration(n)*time.Millisecond)
	}
	return now.Add(limit), nil
}

// readBody reads the body of a request. It buffers the complete body of a non-idempotent request,
// and the first bytes of others.
func readBody(r *http.Request, svc *model.Service, route model.Route) (*flow.Body, *flow.Rejected) {
	if r.ContentLength > svc.MaxBody() {
		return nil, reject(flow.RejectedBodyTooLarge, "the body is longer than the service takes")
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
		return reject(flow.RejectedBodyTooLarge, "the body is longer than the service takes")
	}
	return reject(flow.RejectedBadRequest, "the body ended early: "+err.Error())
}

// unforwardedHeaders are the hop-by-hop headers and the headers of this system. They are not copied
// from a request to the backend server or from its response to the caller.
var unforwardedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	HeaderKey: true, HeaderCaller: true, HeaderOutcome: true, server.HeaderRequestID: true, server.HeaderDeadline: true,
	server.HeaderNotRun: true, "Expect": true,
}

func forwardedHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !unforwardedHeaders[name] {
			out[name] = values
		}
	}
	return out
}

// finish ends a response. If the response was aborted after its head was sent, it aborts the
// caller's connection, so that the caller does not take the response for complete.
func (s *Server) finish(out *sink, id string, svc *model.Service, res flow.Result) {
	switch r := res.(type) {
	case flow.Complete:
		s.counts.Full.Add(1)
	case flow.Rejected:
		s.log.Debug("request rejected", "request", id, "service", svc.Name(), "kind", r.Kind, "outcome", r.Outcome, "reason", r.Reason)
		s.writeRejection(out, id, r)
	case flow.Aborted:
		s.log.Info("response aborted", "request", id, "service", svc.Name(), "headSent", out.headSent, "reason", r.Reason)
		if out.headSent {
			s.counts.Aborted.Add(1)
			s.abort(out)
		}
		s.writeRejection(out, id, flow.Unknown(flow.RejectedBadResponse, r.Reason))
	}
}

// abort ends the caller's connection in the middle of a response.
func (s *Server) abort(out *sink) {
	serve.AbortResponse(out.w, out.r, func(err error) { s.log.Warn("could not reset the connection of a caller", "error", err) })
}

// rejectionBody is the JSON body of an error response that entryd itself produces.
type rejectionBody struct {
	Outcome          flow.Outcome       `json:"outcome"`
	Kind             flow.RejectionKind `json:"kind"`
	Reason           string             `json:"reason"`
	RequestID        string             `json:"requestId"`
	RetryAfterMillis int64              `json:"retryAfterMillis,omitempty"`
}

func (s *Server) writeRejection(out *sink, id string, rejected flow.Rejected) {
	if out.headSent {
		s.abort(out)
	}
	if rejected.Outcome == flow.OutcomeNotRun {
		s.counts.NotRun.Add(1)
	} else {
		s.counts.Unknown.Add(1)
	}
	_ = out.control.SetWriteDeadline(time.Now().Add(writeStallTimeout))
	h := out.w.Header()
	h.Set(HeaderOutcome, string(rejected.Outcome))
	if s.stopping.Load() {
		h.Set("Connection", "close")
	}
	status := statusOf(rejected)
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		seconds := int64((rejected.RetryAfter + time.Second - 1) / time.Second)
		h.Set(HeaderRetryAfter, strconv.FormatInt(max(1, seconds), 10))
	}
	writeJSON(out.w, status, rejectionBody{
		Outcome: rejected.Outcome, Kind: rejected.Kind, Reason: rejected.Reason, RequestID: id, RetryAfterMillis: rejected.RetryAfter.Milliseconds(),
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

// statusOf returns the HTTP status of a rejection.
func statusOf(rejected flow.Rejected) int {
	switch rejected.Kind {
	case flow.RejectedNoRoute:
		return http.StatusNotFound
	case flow.RejectedBadKey, flow.RejectedBadRequest:
		return http.StatusBadRequest
	case flow.RejectedKeyNeeded:
		return http.StatusPreconditionRequired
	case flow.RejectedKeyReused:
		return http.StatusConflict
	case flow.RejectedBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case flow.RejectedOverloaded, flow.RejectedQuota, flow.RejectedWouldExpire, flow.RejectedShed:
		return http.StatusTooManyRequests
	case flow.RejectedExpired, flow.RejectedStillRunning:
		return http.StatusGatewayTimeout
	case flow.RejectedResponseNotKept:
		return http.StatusGone
	default:
		if rejected.Outcome == flow.OutcomeNotRun {
			return http.StatusServiceUnavailable
		}
		return http.StatusBadGateway
	}
}

// outcomeBody is the JSON body of the response to the outcome call.
type outcomeBody struct {
	Outcome flow.Outcome `json:"outcome"`
	Status  int          `json:"status,omitempty"`
	Body    []byte       `json:"body,omitempty"`
	Kept    bool         `json:"bodyKept"`
}

// outcome serves the outcome call: it responds with the state of the request key in the query.
func (s *Server) outcome(c echo.Context) error {
	k, err := dedup.Parse(c.QueryParam("key"))
	if err != nil {
		writeJSON(c.Response(), http.StatusBadRequest, rejectionBody{Kind: flow.RejectedBadKey, Reason: err.Error()})
		return nil
	}
	state := s.proxy.FindOutcome(c.Request().Context(), k)
	writeJSON(c.Response(), http.StatusOK, outcomeBody{
		Outcome: state.Outcome, Status: state.Response.Status, Body: state.Response.Body, Kept: state.Response.BodyKept,
	})
	return nil
}

// sink writes a response to a caller.
type sink struct {
	w        http.ResponseWriter
	r        *http.Request
	control  *http.ResponseController
	headSent bool
	flush    bool
}

// Head implements flow.Sink.
func (s *sink) Head(h flow.Head) error {
	out := s.w.Header()
	id := out.Get(server.HeaderRequestID)
	for name, values := range h.Header {
		if !unforwardedHeaders[name] && name != "Content-Length" {
			out[name] = values
		}
	}
	out.Set(server.HeaderRequestID, id)
	out.Set(HeaderOutcome, string(flow.OutcomeFull))
	if h.Size >= 0 {
		out.Set("Content-Length", strconv.FormatInt(h.Size, 10))
	}
	s.flush = h.Size < 0
	s.headSent = true
	_ = s.control.SetWriteDeadline(time.Now().Add(writeStallTimeout))
	s.w.WriteHeader(h.Status)
	return nil
}

// Data implements flow.Sink.
func (s *sink) Data(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	_ = s.control.SetWriteDeadline(time.Now().Add(writeStallTimeout))
	if _, err := s.w.Write(p); err != nil {
		return err
	}
	if s.flush {
		return s.control.Flush()
	}
	return nil
}
