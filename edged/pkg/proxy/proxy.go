// Package proxy forwards callers' requests to backend servers, with queueing, retries and deadlines. Package pick chooses
// the backend server, and package conns sends the request there.
package proxy

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"rosemarygrade.dev/edged/pkg/conns"
	"rosemarygrade.dev/edged/pkg/memory"
	"rosemarygrade.dev/edged/pkg/meter"
	"rosemarygrade.dev/edged/pkg/pick"
	"rosemarygrade.dev/edged/pkg/trace"
	"rosemarygrade.dev/lib/pkg/fault"
	"rosemarygrade.dev/lib/pkg/header"
	"rosemarygrade.dev/lib/pkg/plan"
)

const (
	// minSendTime is the shortest remaining time at which a request is still sent to a backend server.
	minSendTime = 5 * time.Millisecond
	// defaultWriteTimeout bounds the time that one write of a backend server's response to the caller may take.
	defaultWriteTimeout = 10 * time.Second
)

// Env is the state of the process that a Handler reads.
type Env interface {
	// View returns the active configuration and the backend servers.
	View() *plan.View
	// Hosts returns the number of hosts that share the retry budgets.
	Hosts() int
	// Region returns the region of this host.
	Region() string
}

// Handler serves callers' requests. It is safe for concurrent use.
type Handler struct {
	env         Env
	codec       header.Codec
	pool        *conns.Pool
	table       *pick.Table
	splits      *pick.Splits
	retryBudget *pick.RetryBudget
	memory      *memory.Account
	meter       *meter.Set
	log         *slog.Logger
	inFlight    atomic.Int64
	shutdown    shutdown
	// quota is nil where organisations have no quotas.
	quota Quota
	// writeTimeout bounds the time that one write of a response to the caller may take.
	writeTimeout time.Duration
}

// New returns a handler that sends requests through pool to the backend servers that table chooses, and charges them to account.
func New(env Env, codec header.Codec, pool *conns.Pool, table *pick.Table, retryBudget *pick.RetryBudget, account *memory.Account, m *meter.Set,
	log *slog.Logger,
) *Handler {
	return &Handler{
		env: env, codec: codec, pool: pool, table: table, splits: pick.NewSplits(), retryBudget: retryBudget, memory: account, meter: m, log: log,
		writeTimeout: defaultWriteTimeout, shutdown: newShutdown(),
	}
}

// InFlight returns the number of requests in flight.
func (p *Handler) InFlight() int64 { return p.inFlight.Load() }

// Prune drops what is stored about routes that are not in the configuration.
func (p *Handler) Prune(c *plan.Config) { p.splits.Prune(c) }

// exchange is the state of one request, from its arrival to its response.
type exchange struct {
	req      conns.Request
	route    *plan.Route
	service  string
	query    pick.Query
	deadline time.Time
	start    time.Time
	tried    []string
	trace    *trace.Trace
	// mayHaveRun is true once a backend server may have run the request.
	mayHaveRun bool
	// organisation is the one whose key the request carries; nil on a public route, or if no keys are needed.
	organisation *plan.Organisation
	// credit is nil unless the request has taken one from a quota.
	credit *credit
}

// ServeHTTP implements http.Handler.
func (p *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	now := time.Now()
	if p.shutdown.begun() {
		w.Header().Set("Connection", "close")
	}
	v := p.env.View()
	if v.Config() == nil {
		x := &exchange{start: now, trace: trace.New(now, p.codec.DecodeRequest(r.Header).AttemptID)}
		p.writeReply(w, x, newReply(http.StatusServiceUnavailable, noConfigRetryAfter, "no configuration is known yet"))
		return
	}
	x, reply := p.readRequest(now, w, r, v)
	if reply != nil {
		// The request's context is not checked here: a read deadline that expired on the body cancels it too, though the
		// caller is still connected.
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
		}
		p.writeReply(w, x, reply)
		return
	}
	defer x.req.Body.Release()
	if !p.shutdown.accepts(now) {
		p.writeReply(w, x, p.stoppingReply(x))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	if reply := p.admitOrganisation(ctx, x); reply != nil {
		p.writeReply(w, x, reply)
		return
	}
	resp, reply := p.sendWithRetries(ctx, x)
	switch {
	case resp != nil:
		x.req.Body.DropBody()
		p.finish(x, resp.Head().Status >= http.StatusInternalServerError, "passed", "status", resp.Head().Status)
		p.forwardResponse(w, r, x, resp)
	case r.Context().Err() != nil:
		p.meter.Add(meter.CallerLeft, 1)
		p.returnCredit(x)
		p.finish(x, true, "left", "ran", x.mayHaveRun)
		panic(http.ErrAbortHandler)
	default:
		p.writeReply(w, x, reply)
	}
}

// finish completes a request's trace, logs it if the request failed or is sampled, and records the request's duration.
func (p *Handler) finish(x *exchange, failed bool, event string, attrs ...any) {
	now := time.Now()
	x.trace.Add(now, event, append(attrs, "sends", len(x.tried))...)
	x.trace.Write(p.log, failed)
	if x.service != "" {
		p.meter.RecordLatency(x.service, now.Sub(x.start))
	}
}

// noConfigRetryAfter is the Retry-After of a host without a configuration: one that has just started gets it soon.
const noConfigRetryAfter = 300 * time.Millisecond

// sendWithRetries sends the request, again if needed and allowed. It returns a backend server's response or a local reply.
func (p *Handler) sendWithRetries(ctx context.Context, x *exchange) (*conns.Response, *localReply) {
	for {
		now := time.Now()
		if ctx.Err() != nil || x.deadline.Sub(now) < minSendTime {
			return nil, p.timeoutReply(x)
		}
		switch c := p.choose(ctx, now, x).(type) {
		case pick.Chosen:
			if now := time.Now(); !p.shutdown.allowsSend(now, c.Explanation.ExpectedWork) {
				p.endSend(x, c.Backend, 0, pick.Cancelled, header.Load{})
				return nil, p.stoppingReply(x)
			}
			resp, reply, retry := p.sendOnce(ctx, time.Now(), x, c)
			if !retry {
				return resp, reply
			}
		case pick.Rejected:
			x.trace.Add(time.Now(), "noRoom", decisionAttrs(c.Explanation)...)
			return nil, p.rejectionReply(x, jitter(c.RetryAfter), "no room")
		case pick.NoBackends:
			return nil, p.rejectionReply(x, noBackendRetryAfter, "no backend server")
		default:
			if ctx.Err() == nil {
				return nil, p.stoppingReply(x)
			}
			return nil, p.timeoutReply(x)
		}
	}
}

// jitter returns a random duration from d/2 to 3d/2, so that callers that were rejected together don't retry together.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// noBackendRetryAfter is the Retry-After for a service without backend servers; some may be back by then.
const noBackendRetryAfter = 500 * time.Millisecond

// choose selects a backend server for the request, waiting in the queue if necessary. It returns nil if ctx or the time for sends ends
// while the request is queued.
func (p *Handler) choose(ctx context.Context, now time.Time, x *exchange) pick.Result {
	x.query.Tried = x.tried
	r := p.table.Choose(now, p.env.View(), x.query)
	q, ok := r.(pick.Queued)
	if !ok {
		return r
	}
	p.meter.Add(meter.Queued, 1)
	x.trace.Add(now, "queued", "waiting", p.table.QueueLength())
	select {
	case r := <-q.Ticket.Result():
		return r
	case <-ctx.Done():
	case <-p.shutdown.sendsOver:
	}
	if b := p.table.Cancel(q.Ticket); b != nil {
		p.endSend(x, b, 0, pick.Cancelled, header.Load{})
	}
	return nil
}

// sendOnce sends the request to the chosen backend server. It returns the response or a local reply; if retry is true, both
// are nil and the request is to be sent again.
func (p *Handler) sendOnce(ctx context.Context, now time.Time, x *exchange, c pick.Chosen) (resp *conns.Response, reply *localReply, retry bool) {
	b := c.Backend
	p.countSend(x, c)
	x.trace.Add(now, "chosen", append(decisionAttrs(c.Explanation), "backend", b.ID(), "dataCentre", b.DataCentre())...)
	x.tried = append(x.tried, b.Key())
	p.codec.EncodeRequest(x.req.Header, x.deadline.Sub(now), b.ID(), x.organisationName())
	resp, err := p.pool.Send(ctx, b.Key(), b.Address(), &x.req)
	took := time.Since(now)
	if err != nil {
		return p.handleSendError(ctx, x, b, took, err)
	}
	head := p.codec.DecodeResponse(resp.Head().Status, resp.Head().Header)
	p.receiveBackpressure(now, x, b, head.Backpressure)
	p.table.ReceiveSlowStart(time.Now(), b, head.SlowStartRemaining)
	switch {
	case head.NotRun:
		resp.Close(false)
		p.endSend(x, b, took, pick.Shed, head.Load)
		if p.mayRetry(x) {
			return nil, nil, true
		}
		return nil, p.rejectionReply(x, jitter(p.table.RetryAfter(head.Load)), "backend server did not run it"), false
	case resp.Head().Status < http.StatusMultipleChoices && (!head.Signed || head.AttemptID != x.req.ID):
		resp.Close(false)
		x.mayHaveRun = true
		p.endSend(x, b, took, pick.Failed, header.Load{})
		x.trace.Add(time.Now(), "notTrusted", "backend", b.ID(), "status", resp.Head().Status, "signed", head.Signed)
		return p.retryOrReply(x, "response to another request")
	case resp.Head().Status >= http.StatusInternalServerError:
		x.mayHaveRun = true
		p.endSend(x, b, took, outcomeOf(resp.Head().Status), head.Load)
		if x.route.Idempotent() && resp.Remainder() == nil && p.mayRetry(x) {
			return nil, nil, true
		}
		return resp, nil, false
	}
	p.endSend(x, b, took, pick.Answered, head.Load)
	return resp, nil, false
}

// receiveBackpressure passes to the table what a backend server asked for in the response to a request that was sent at sentAt.
func (p *Handler) receiveBackpressure(sentAt time.Time, x *exchange, b *plan.Backend, received header.Backpressure) {
	if received.Leaving {
		p.meter.Add(meter.LeavingResponses, 1)
	}
	if received.Limited {
		p.meter.Add(meter.LimitedResponses, 1)
	}
	if received.Pause > 0 {
		p.meter.Add(meter.PauseResponses, 1)
	}
	attrs := []any{"backend", b.ID(), "service", b.Service(), "id", x.req.ID}
	change := p.table.ReceiveBackpressure(time.Now(), sentAt, b, received)
	if change.Leaves {
		p.log.Info("backend server says that it leaves; it gets no more requests", append(attrs, "event", "leaving")...)
	}
	if change.Pauses {
		p.log.Info("backend server asks for a pause", append(attrs, "event", "paused", "forMillis", received.Pause.Milliseconds())...)
	}
	if change.LimitBegins {
		p.log.Info("backend server limits the rate of requests", append(attrs, "event", "limited", "perSecond", received.RequestsPerSecond, "hosts", p.env.Hosts())...)
	}
	if change.LimitEnds {
		p.log.Info("backend server no longer limits the rate of requests", append(attrs, "event", "unlimited")...)
	}
}

// outcomeOf returns the outcome of a 5xx response. A 504 only means that the request's time ran out.
func outcomeOf(status int) pick.Outcome {
	if status == http.StatusGatewayTimeout {
		return pick.TimedOut
	}
	return pick.Failed
}

// countSend updates the counters for a send. It must be called before the send is added to x.tried.
func (p *Handler) countSend(x *exchange, c pick.Chosen) {
	p.meter.Add(meter.Sends, 1)
	if len(x.tried) > 0 {
		p.meter.Add(meter.Repeats, 1)
	}
	if c.Explanation.Warm {
		p.meter.Add(meter.WarmSends, 1)
	}
	if c.Backend.Region() != p.env.Region() {
		p.meter.Add(meter.FarSends, 1)
	}
}

func decisionAttrs(e pick.Explanation) []any {
	return []any{
		"load", e.Load, "slots", e.Slots, "warm", e.Warm, "slowness", e.LatencyFactor,
		"waitMillis", e.ExpectedWait.Milliseconds(), "workMillis", e.ExpectedWork.Milliseconds(), "waiting", e.QueueLength,
	}
}

// endSend records the outcome of a send in the table and the trace, and dispatches queued requests of the service.
func (p *Handler) endSend(x *exchange, b *plan.Backend, took time.Duration, o pick.Outcome, load header.Load) {
	now := time.Now()
	if p.table.Done(now, b, &x.query, took, o, load) {
		p.log.Warn("backend server ejected after consecutive failures", "event", "leftOut", "backend", b.ID(), "service", b.Service(), "id", x.req.ID)
	}
	p.table.Dispatch(now, p.env.View(), b.Service())
	x.trace.Add(now, "sent", "backend", b.ID(), "tookMillis", took.Milliseconds(), "outcome", o.String(),
		"slowness", load.LatencyFactor, "running", load.Running, "waitingThere", load.Waiting)
	if o == pick.Shed {
		p.meter.Add(meter.NotRun, 1)
	}
}

// handleSendError handles a send that got no complete response. Its results are those of sendOnce.
func (p *Handler) handleSendError(ctx context.Context, x *exchange, b *plan.Backend, took time.Duration, err error) (*conns.Response, *localReply, bool) {
	kind := fault.KindOf[conns.Kind](err)
	unsent := kind == conns.KindUnsent || kind == conns.KindInvalid
	if !unsent {
		x.mayHaveRun = true
	}
	if ctx.Err() != nil {
		o := pick.Cancelled
		if !unsent && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			o = pick.TimedOut
		}
		p.endSend(x, b, took, o, header.Load{})
		return nil, p.timeoutReply(x), false
	}
	o := pick.Failed
	if kind == conns.KindIdleClosed || kind == conns.KindInvalid {
		o = pick.Cancelled
	}
	p.endSend(x, b, took, o, header.Load{})
	p.meter.Add(meter.SendsLost, 1)
	x.trace.Add(time.Now(), "sendFailed", "backend", b.ID(), "unsent", unsent, "error", err.Error())
	if unsent && len(x.tried) < x.route.MaxAttempts() {
		return nil, nil, true
	}
	return p.retryOrReply(x, err.Error())
}

// retryOrReply requests a retry if the request is idempotent or has not run and the retry budget allows it; else it
// returns a local reply. Its results are those of sendOnce.
func (p *Handler) retryOrReply(x *exchange, reason string) (*conns.Response, *localReply, bool) {
	if (x.route.Idempotent() || !x.mayHaveRun) && p.mayRetry(x) {
		return nil, nil, true
	}
	if !x.mayHaveRun {
		return nil, p.rejectionReply(x, jitter(p.table.RetryAfter(header.Load{})), reason), false
	}
	return nil, newReply(http.StatusBadGateway, 0, reason), false
}

// mayRetry reports whether the request may be sent again, and if so takes one retry from the budget of its service.
func (p *Handler) mayRetry(x *exchange) bool {
	return len(x.tried) < x.route.MaxAttempts() && p.retryBudget.TryWithdraw(time.Now(), x.service, p.env.Hosts())
}

// timeoutReply returns the reply to a request whose deadline has passed or is too close: 504 if it may have run, else 503.
func (p *Handler) timeoutReply(x *exchange) *localReply {
	if x.mayHaveRun {
		return newReply(http.StatusGatewayTimeout, 0, "timeout")
	}
	return newReply(http.StatusServiceUnavailable, jitter(p.table.RetryAfter(header.Load{})), "no send in time")
}

// stoppingReply returns the reply to a request that another host should serve: 502 if it may have run, else 503.
func (p *Handler) stoppingReply(x *exchange) *localReply {
	return p.rejectionReply(x, jitter(stoppingRetryAfter), "host is stopping")
}

// rejectionReply returns the reply to a request that no backend server accepts: 502 if it may have run, else 503.
func (p *Handler) rejectionReply(x *exchange, retryAfter time.Duration, reason string) *localReply {
	if x.mayHaveRun {
		return newReply(http.StatusBadGateway, 0, reason)
	}
	return newReply(http.StatusServiceUnavailable, retryAfter, reason)
}
