package proxy

import (
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosemarygrade.dev/edged/pkg/conns"
	"rosemarygrade.dev/edged/pkg/meter"
	"rosemarygrade.dev/edged/pkg/pick"
	"rosemarygrade.dev/edged/pkg/trace"
	"rosemarygrade.dev/lib/pkg/plan"
)

// readRequest finds the route of a request and reads its body. The reply is nil unless the request is rejected.
func (p *Handler) readRequest(now time.Time, w http.ResponseWriter, r *http.Request, v *plan.View) (*exchange, *localReply) {
	head := p.codec.DecodeRequest(r.Header)
	x := &exchange{start: now, trace: trace.New(now, head.AttemptID)}
	to, ok := readTarget(r)
	if !ok {
		x.trace.Add(now, "badTarget", "method", r.Method, "target", r.RequestURI)
		return x, newReply(http.StatusBadRequest, 0, "bad target")
	}
	route := v.Config().Route(stripPort(to.host), to.path())
	if route == nil {
		x.trace.Add(now, "noRoute", "host", to.host, "path", to.path(), "configVersion", v.Config().Version())
		return x, newReply(http.StatusNotFound, 0, "no route")
	}
	timeout := route.Timeout()
	if head.Timeout > 0 {
		timeout = min(timeout, head.Timeout)
	}
	x.route, x.deadline = route, now.Add(timeout)
	p.meter.Add(meter.Requests, 1)
	if reply := p.identify(now, x, v.Config(), head.KeyHash); reply != nil {
		return x, reply
	}
	body, err := p.readBody(now, w, r, head.AttemptID, v.Config().Limits().BodyBytes, x.deadline)
	if err != nil {
		x.trace.Add(time.Now(), "bodyFailed", "announced", r.ContentLength, "error", err.Error())
		return x, bodyErrorReply(err)
	}
	x.req = conns.Request{ID: head.AttemptID, Method: r.Method, URI: to.uri, Host: to.host, Header: p.forwardedHeader(r.Header), Body: body, Idempotent: route.Idempotent()}
	x.service = p.splits.Next(route)
	x.query = pick.Query{
		Service: x.service, Route: route.Name(), Region: p.env.Region(), Allows: x.allows, Priority: x.priority(),
		Object: xxhash.Sum64String(head.Object), Sticky: route.Sticky() && head.Object != "",
		Objective: now.Add(route.LatencyObjective()), Deadline: x.deadline,
	}
	if !x.query.Sticky {
		x.query.Object = xxhash.Sum64String(head.AttemptID)
	}
	p.retryBudget.RecordRequest(now, x.service)
	x.trace.Add(now, "admitted", "route", route.Name(), "service", x.service, "configVersion", v.Config().Version(),
		"limitMillis", timeout.Milliseconds(), "bytes", body.Len())
	return x, nil
}

func stripPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true, "Expect": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Content-Length": true,
}

// forwardedHeader returns the headers of a request that are passed on to a backend server.
func (p *Handler) forwardedHeader(h http.Header) http.Header {
	out := make(http.Header, len(h)+2)
	for name, values := range h {
		if !hopByHopHeaders[name] && p.codec.ForwardToServer(name) {
			out[name] = values
		}
	}
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			delete(out, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return out
}
