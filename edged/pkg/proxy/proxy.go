// Package proxy takes callers' requests, sends each to a backend server, and answers with what is known.
package proxy

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosemarygrade.dev/edged/pkg/conns"
	"rosemarygrade.dev/edged/pkg/meter"
	"rosemarygrade.dev/edged/pkg/pick"
	"rosemarygrade.dev/edged/pkg/trace"
	"rosemarygrade.dev/lib/pkg/fault"
	"rosemarygrade.dev/lib/pkg/header"
	"rosemarygrade.dev/lib/pkg/plan"
)

// Times and limits.
const (
	// minPatience is the shortest time in which a send is still worth it.
	minPatience = 5 * time.Millisecond
	// writeStall is how long a caller may take no byte of its answer.
	writeStall = 10 * time.Second
)

// Env is what the gate asks of the rest of the process.
type Env interface {
	// View returns what is declared now.
	View() *plan.View
	// Hosts returns how many hosts share budgets.
	Hosts() int
	// Region returns the host's region.
	Region() string
}

// Gate serves callers.
type Gate struct {
	env      Env
	speech   header.Codec
	pool     *conns.Pool
	table    *pick.Table
	splits   *pick.Splits
	repeats  *pick.RetryBudget
	meter    *meter.Set
	log      *slog.Logger
	inFlight atomic.Int64
	stopping atomic.Bool
}

// New returns a gate.
func New(env Env, speech header.Codec, pool *conns.Pool, table *pick.Table, repeats *pick.RetryBudget, m *meter.Set, log *slog.Logger) *Gate {
	return &Gate{
		env: env, speech: speech, pool: pool, table: table, splits: pick.NewSplits(), repeats: repeats, meter: m, log: log,
	}
}

// InFlight returns how many requests are under way.
func (g *Gate) InFlight() int64 { return g.inFlight.Load() }

// Stop asks callers to close their connections from now on.
func (g *Gate) Stop() { g.stopping.Store(true) }

// exchange is one request on its way.
type exchange struct {
	req      conns.Request
	route    *plan.Route
	service  string
	query    pick.Query
	deadline time.Time
	start    time.Time
	tried    []string
	trail    *trace.Trace
	// ran tells that a backend server may have run the request.
	ran bool
}

// ServeHTTP implements http.Handler.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	now := time.Now()
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	v := g.env.View()
	if v.Config() == nil {
		x := &exchange{start: now, trail: trace.New(now, g.speech.DecodeRequest(r.Header).AttemptID)}
		g.answer(w, x, refused(http.StatusServiceUnavailable, retryNoConfig, "no configuration is known yet"))
		return
	}
	x, own := g.read(now, w, r, v)
	if own != nil {
		// The context has ended where the body came too late, but the caller is there.
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
		}
		g.answer(w, x, own)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	a, own := g.run(ctx, x)
	switch {
	case a != nil:
		g.finish(x, a.Head().Status >= http.StatusInternalServerError, "passed", "status", a.Head().Status)
		g.pass(w, r, x, a)
	case r.Context().Err() != nil:
		g.meter.Add(meter.CallerLeft, 1)
		g.finish(x, true, "left", "ran", x.ran)
		panic(http.ErrAbortHandler)
	default:
		g.answer(w, x, own)
	}
}

// finish ends the trail of a request and writes it where it must be explained.
func (g *Gate) finish(x *exchange, badly bool, event string, attrs ...any) {
	now := time.Now()
	x.trail.Add(now, event, append(attrs, "sends", len(x.tried))...)
	x.trail.Write(g.log, badly)
	if x.service != "" {
		g.meter.Took(x.service, now.Sub(x.start))
	}
}

// retryNoConfig is when a host that has just started may know its configuration.
const retryNoConfig = 300 * time.Millisecond

// read checks a request and reads its body.
func (g *Gate) read(now time.Time, w http.ResponseWriter, r *http.Request, v *plan.View) (*exchange, *ownAnswer) {
	target := r.URL.RequestURI()
	path, _, _ := strings.Cut(target, "?")
	head := g.speech.DecodeRequest(r.Header)
	x := &exchange{start: now, trail: trace.New(now, head.AttemptID)}
	route := v.Config().Route(hostOf(r.Host), path)
	if route == nil {
		x.trail.Add(now, "noRoute", "host", r.Host, "path", path, "configVersion", v.Config().Version())
		return x, refused(http.StatusNotFound, 0, "no route")
	}
	limit := route.Timeout()
	if head.Timeout > 0 {
		limit = min(limit, head.Timeout)
	}
	x.route, x.deadline = route, now.Add(limit)
	g.meter.Add(meter.Requests, 1)
	body, err := g.readBody(w, r, v.Config().Limits().BodyBytes, x.deadline)
	if err != nil {
		return x, unreadable(err)
	}
	x.req = conns.Request{ID: head.AttemptID, Method: r.Method, URI: target, Host: r.Host, Header: g.forwarded(r.Header), Body: body, Idempotent: route.Idempotent()}
	x.service = g.splits.Next(route)
	x.query = pick.Query{
		Service: x.service, Region: g.env.Region(), Allows: route.Allows, Priority: route.Priority(),
		Object: xxhash.Sum64String(head.Object), Sticky: route.Sticky() && head.Object != "",
		Objective: now.Add(route.LatencyObjective()), Deadline: x.deadline,
	}
	g.repeats.RecordRequest(now, x.service)
	x.trail.Add(now, "admitted", "route", route.Name(), "service", x.service, "configVersion", v.Config().Version(),
		"limitMillis", limit.Milliseconds(), "bytes", len(body))
	return x, nil
}

func hostOf(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// unreadable answers a request whose body did not come whole. It was not sent on.
func unreadable(err error) *ownAnswer {
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return refused(http.StatusRequestEntityTooLarge, 0, "body too long")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refused(http.StatusRequestTimeout, 0, "body not sent in time")
	default:
		return refused(http.StatusBadRequest, 0, "body unreadable")
	}
}

// readBody reads a request's body, which must have come by the deadline.
func (g *Gate) readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(deadline); err != nil {
		g.log.Debug("no read deadline", "event", "deadline", "error", err)
	}
	body := http.MaxBytesReader(w, r.Body, limit)
	var (
		buf []byte
		err error
	)
	if r.ContentLength > 0 && r.ContentLength <= limit {
		buf = make([]byte, r.ContentLength)
		_, err = io.ReadFull(body, buf)
	} else {
		buf, err = io.ReadAll(body)
	}
	if err != nil {
		return nil, err
	}
	// From here on the connection is watched for the caller's leaving.
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		g.log.Debug("no read deadline", "event", "deadline", "error", err)
	}
	return buf, nil
}

// hopHeaders concern only one connection.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true, "Expect": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Content-Length": true,
}

func (g *Gate) forwarded(h http.Header) http.Header {
	out := make(http.Header, len(h)+2)
	for name, values := range h {
		if !hopHeaders[name] && g.speech.ForwardToServer(name) {
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

// run sends the request until an answer is final. It returns a backend server's answer or one of its own.
func (g *Gate) run(ctx context.Context, x *exchange) (*conns.Response, *ownAnswer) {
	for {
		now := time.Now()
		if ctx.Err() != nil || x.deadline.Sub(now) < minPatience {
			return nil, g.late(x)
		}
		switch c := g.choose(ctx, now, x).(type) {
		case pick.Chosen:
			a, own, again := g.send(ctx, time.Now(), x, c)
			if !again {
				return a, own
			}
		case pick.Rejected:
			x.trail.Add(time.Now(), "noRoom", whyAttrs(c.Explanation)...)
			return nil, g.turnedAway(x, spread(c.RetryAfter), "no room")
		case pick.NoBackends:
			return nil, g.turnedAway(x, retryNoBackend, "no backend server")
		default:
			return nil, g.late(x)
		}
	}
}

// spread varies a time, so that those who are turned away together do not return together.
func spread(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// retryNoBackend is when backend servers of a service that has none may be back.
const retryNoBackend = 500 * time.Millisecond

// choose returns what becomes of the request, after it has waited where it must. It returns nil when
// the request's time ended meanwhile.
func (g *Gate) choose(ctx context.Context, now time.Time, x *exchange) pick.Result {
	x.query.Tried = x.tried
	r := g.table.Choose(now, g.env.View(), x.query)
	q, ok := r.(pick.Queued)
	if !ok {
		return r
	}
	g.meter.Add(meter.Queued, 1)
	x.trail.Add(now, "queued", "waiting", g.table.QueueLength())
	select {
	case r := <-q.Ticket.Result():
		return r
	case <-ctx.Done():
		if b := g.table.Cancel(q.Ticket); b != nil {
			g.done(x, b, 0, pick.Cancelled, header.Load{})
		}
		return nil
	}
}

// send sends the request once. again tells that another send is allowed and wanted.
func (g *Gate) send(ctx context.Context, now time.Time, x *exchange, c pick.Chosen) (a *conns.Response, own *ownAnswer, again bool) {
	b := c.Backend
	g.count(x, c)
	x.trail.Add(now, "chosen", append(whyAttrs(c.Explanation), "backend", b.ID(), "dataCentre", b.DataCentre())...)
	x.tried = append(x.tried, b.Key())
	g.speech.EncodeRequest(x.req.Header, x.deadline.Sub(now), b.ID())
	a, err := g.pool.Send(ctx, b.Key(), b.Address(), &x.req)
	took := time.Since(now)
	if err != nil {
		return g.failed(ctx, x, b, took, err)
	}
	head := g.speech.DecodeResponse(a.Head().Status, a.Head().Header)
	switch {
	case head.NotRun:
		g.done(x, b, took, pick.Shed, head.Load)
		if g.mayRepeat(x) {
			return nil, nil, true
		}
		return nil, g.turnedAway(x, spread(g.table.RetryAfter(head.Load)), "backend server did not run it"), false
	case a.Head().Status < http.StatusMultipleChoices && (!head.Signed || head.AttemptID != x.req.ID):
		a.Close(false)
		x.ran = true
		g.done(x, b, took, pick.Failed, header.Load{})
		x.trail.Add(time.Now(), "notTrusted", "backend", b.ID(), "status", a.Head().Status, "signed", head.Signed)
		return g.again(x, "answer of another request")
	case a.Head().Status >= http.StatusInternalServerError:
		x.ran = true
		g.done(x, b, took, outcomeOf(a.Head().Status), head.Load)
		if x.route.Idempotent() && a.Remainder() == nil && g.mayRepeat(x) {
			return nil, nil, true
		}
		return a, nil, false
	}
	g.done(x, b, took, pick.Answered, head.Load)
	return a, nil, false
}

// outcomeOf judges a backend server's own failure: 504 tells only that the time was over.
func outcomeOf(status int) pick.Outcome {
	if status == http.StatusGatewayTimeout {
		return pick.TimedOut
	}
	return pick.Failed
}

// count counts a send.
func (g *Gate) count(x *exchange, c pick.Chosen) {
	g.meter.Add(meter.Sends, 1)
	if len(x.tried) > 0 {
		g.meter.Add(meter.Repeats, 1)
	}
	if c.Explanation.Warm {
		g.meter.Add(meter.WarmSends, 1)
	}
	if c.Backend.Region() != g.env.Region() {
		g.meter.Add(meter.FarSends, 1)
	}
}

func whyAttrs(w pick.Explanation) []any {
	return []any{
		"load", w.Load, "slots", w.Slots, "warm", w.Warm, "slowness", w.LatencyFactor,
		"waitMillis", w.ExpectedWait.Milliseconds(), "workMillis", w.ExpectedWork.Milliseconds(), "waiting", w.QueueLength,
	}
}

func (g *Gate) done(x *exchange, b *plan.Backend, took time.Duration, o pick.Outcome, load header.Load) {
	now := time.Now()
	if g.table.Done(now, b, &x.query, took, o, load) {
		g.log.Warn("backend server left out for a while", "event", "leftOut", "backend", b.ID(), "service", b.Service(), "id", x.req.ID)
	}
	g.table.Dispatch(now, g.env.View(), b.Service())
	x.trail.Add(now, "sent", "backend", b.ID(), "tookMillis", took.Milliseconds(), "outcome", o.String(),
		"slowness", load.LatencyFactor, "running", load.Running, "waitingThere", load.Waiting)
	if o == pick.Shed {
		g.meter.Add(meter.NotRun, 1)
	}
}

// failed judges a send that brought no whole answer.
func (g *Gate) failed(ctx context.Context, x *exchange, b *plan.Backend, took time.Duration, err error) (*conns.Response, *ownAnswer, bool) {
	kind := fault.KindOf[conns.Kind](err)
	unsent := kind == conns.KindUnsent
	if !unsent {
		x.ran = true
	}
	if ctx.Err() != nil {
		o := pick.Cancelled
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			o = pick.TimedOut
		}
		g.done(x, b, took, o, header.Load{})
		return nil, g.late(x), false
	}
	o := pick.Failed
	if kind == conns.KindIdleClosed {
		o = pick.Cancelled
	}
	g.done(x, b, took, o, header.Load{})
	g.meter.Add(meter.SendsLost, 1)
	x.trail.Add(time.Now(), "sendFailed", "backend", b.ID(), "unsent", unsent, "error", err.Error())
	if unsent && len(x.tried) < x.route.MaxAttempts() {
		return nil, nil, true
	}
	return g.again(x, err.Error())
}

func (g *Gate) again(x *exchange, reason string) (*conns.Response, *ownAnswer, bool) {
	if (x.route.Idempotent() || !x.ran) && g.mayRepeat(x) {
		return nil, nil, true
	}
	if !x.ran {
		return nil, g.turnedAway(x, spread(g.table.RetryAfter(header.Load{})), reason), false
	}
	return nil, refused(http.StatusBadGateway, 0, reason), false
}

func (g *Gate) mayRepeat(x *exchange) bool {
	return len(x.tried) < x.route.MaxAttempts() && g.repeats.TryWithdraw(time.Now(), x.service, g.env.Hosts())
}

// late answers a request whose time is over.
func (g *Gate) late(x *exchange) *ownAnswer {
	if x.ran {
		return refused(http.StatusGatewayTimeout, 0, "timeout")
	}
	return refused(http.StatusServiceUnavailable, spread(g.table.RetryAfter(header.Load{})), "no send in time")
}

// turnedAway answers a request that no backend server takes now.
func (g *Gate) turnedAway(x *exchange, after time.Duration, reason string) *ownAnswer {
	if x.ran {
		return refused(http.StatusBadGateway, 0, reason)
	}
	return refused(http.StatusServiceUnavailable, after, reason)
}

// ownAnswer is an answer that is not a backend server's.
type ownAnswer struct {
	status int
	after  time.Duration
	reason string
}

func refused(status int, after time.Duration, reason string) *ownAnswer {
	return &ownAnswer{status: status, after: after, reason: reason}
}

func (g *Gate) answer(w http.ResponseWriter, x *exchange, o *ownAnswer) {
	counter := meter.Failed
	if o.status == http.StatusServiceUnavailable {
		counter = meter.Rejected
	}
	g.meter.Add(counter, 1)
	g.finish(x, true, "answered", "status", o.status, "reason", o.reason, "retryAfterMillis", o.after.Milliseconds())
	h := w.Header()
	if o.after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(o.after.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", "0")
	w.WriteHeader(o.status)
}

// pass passes a backend server's answer on. Where a long one ends early, the caller's connection does too.
func (g *Gate) pass(w http.ResponseWriter, _ *http.Request, x *exchange, a *conns.Response) {
	head := a.Head()
	g.meter.Add(meter.Served, 1)
	h := w.Header()
	for name, values := range head.Header {
		if !hopHeaders[name] && g.speech.ForwardToCaller(name) {
			h[name] = values
		}
	}
	if head.Size >= 0 {
		h.Set("Content-Length", strconv.FormatInt(head.Size, 10))
	}
	control := http.NewResponseController(w)
	if err := control.SetWriteDeadline(time.Now().Add(writeStall)); err != nil {
		g.log.Debug("no write deadline", "event", "deadline", "error", err)
	}
	w.WriteHeader(head.Status)
	if _, err := w.Write(a.Body()); err != nil {
		a.Close(false)
		panic(http.ErrAbortHandler)
	}
	if a.Remainder() == nil {
		return
	}
	if _, err := io.Copy(w, a.Remainder()); err != nil {
		a.Close(false)
		g.log.Info("answer broken off", "event", "broken", "id", x.req.ID, "error", err)
		panic(http.ErrAbortHandler)
	}
	a.Close(true)
}
