package proxy

import (
	"context"
	"time"

	"rosemarygrade.dev/entryd/pkg/dedup"
	"rosemarygrade.dev/entryd/pkg/flow"
	"rosemarygrade.dev/lib/pkg/peerpb"
	"rosemarygrade.dev/lib/pkg/rank"
)

// successorCount is the number of peers that a stopping process hands its records over to.
const successorCount = 2

// serveKeyed routes a request with a key to the issuing process, which the key names.
func (p *Proxy) serveKeyed(ctx context.Context, req *flow.Request, sink flow.Sink) flow.Result {
	k, err := dedup.Parse(req.Key)
	if err != nil {
		return flow.NotRun(flow.RejectedBadKey, err.Error())
	}
	if k.Incarnation() == p.incarnation {
		return p.ServeAsIssuer(ctx, req, sink)
	}
	if issuer := p.member(k.Incarnation()); issuer != nil {
		return unknownIfUnreachable(p.peers.Serve(ctx, issuer, req, peerpb.Stage_STAGE_HOME, sink))
	}
	return p.serveWithoutIssuer(ctx, k, req, sink)
}

// unknownIfUnreachable turns a failed connection to the issuing process into an unknown outcome:
// its deduplication table may hold an earlier run of the request.
func unknownIfUnreachable(res flow.Result) flow.Result {
	if r, ok := res.(flow.Rejected); ok && r.Kind == flow.RejectedConnect {
		return flow.Unknown(flow.RejectedKeyGone, "the process that the key names does not answer: "+r.Reason)
	}
	return res
}

func (p *Proxy) member(incarnation uint64) *peerpb.Member {
	for _, m := range p.view.Members() {
		if m.GetIncarnation() == incarnation && m.GetRole() == peerpb.Role_ROLE_ENTRYD {
			return m
		}
	}
	return nil
}

// serveWithoutIssuer handles a request whose key was issued by a process that has stopped. It uses
// the records that the stopped process handed over to this process or to another successor.
func (p *Proxy) serveWithoutIssuer(ctx context.Context, k dedup.Key, req *flow.Request, sink flow.Sink) flow.Result {
	body, _ := req.Body.Bytes()
	if decision, ok := p.replicas.Begin(time.Now(), k, dedup.DigestOf(req.Method, req.Path, body)); ok {
		return p.respondFromDecision(ctx, decision, sink)
	}
	state := p.QuerySuccessors(ctx, k)
	switch state.Outcome {
	case flow.OutcomeNotRun:
		return flow.NotRun(flow.RejectedStopping, "the process that the key names stopped before the request came")
	case flow.OutcomeRan:
		return flow.Rejected{Kind: flow.RejectedResponseNotKept, Outcome: flow.OutcomeRan, Reason: "it ran; the outcome call gives the answer while it is kept"}
	default:
		return flow.Unknown(flow.RejectedKeyGone, "the process that the key names is gone")
	}
}

// SuccessorCandidates returns the peers to which a process may hand its records over: all entryd
// processes but itself that are not stopping.
func (p *Proxy) SuccessorCandidates(incarnation uint64) []*peerpb.Member {
	var candidates []*peerpb.Member
	for _, m := range p.view.Members() {
		if m.GetRole() == peerpb.Role_ROLE_ENTRYD && !m.GetLeaving() && m.GetIncarnation() != incarnation {
			candidates = append(candidates, m)
		}
	}
	return candidates
}

// Successors returns the peers to which a process hands its records over, in rendezvous order.
func (p *Proxy) Successors(incarnation uint64) []*peerpb.Member {
	key := dedup.SuccessorRankKey(incarnation)
	ordered := rank.Order(key, p.SuccessorCandidates(incarnation), (*peerpb.Member).GetHost)
	return ordered[:min(successorCount, len(ordered))]
}

// QuerySuccessors asks all successor candidates of a stopped issuing process for the state of a
// key. It returns the first known outcome, or OutcomeUnknown.
func (p *Proxy) QuerySuccessors(ctx context.Context, k dedup.Key) dedup.KeyState {
	for _, m := range p.SuccessorCandidates(k.Incarnation()) {
		if m.GetIncarnation() == p.incarnation {
			continue
		}
		state, err := p.peers.Outcome(ctx, m, k.String())
		if err == nil && state.Outcome != flow.OutcomeUnknown {
			return state
		}
	}
	return dedup.KeyState{Outcome: flow.OutcomeUnknown}
}

// ServeAsIssuer implements entry.Handler: it serves a request whose key this process issued.
func (p *Proxy) ServeAsIssuer(ctx context.Context, req *flow.Request, sink flow.Sink) flow.Result {
	k, err := dedup.Parse(req.Key)
	if err != nil {
		return flow.NotRun(flow.RejectedBadKey, err.Error())
	}
	body, all := req.Body.Bytes()
	if !all {
		return flow.NotRun(flow.RejectedBodyTooLarge, "a request that may run at most once must have a body that is held whole")
	}
	decision := p.dedupTable.Begin(time.Now(), k, dedup.DigestOf(req.Method, req.Path, body))
	first, ok := decision.(dedup.FirstUse)
	if !ok {
		return p.respondFromDecision(ctx, decision, sink)
	}
	return p.runFirst(ctx, first.Record, req, sink)
}

// runFirst runs the first request with a key and records the outcome. The run continues after the
// caller disconnects, so that a retry with the same key gets its outcome.
func (p *Proxy) runFirst(ctx context.Context, r *dedup.Record, req *flow.Request, sink flow.Sink) flow.Result {
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.Deadline)
	defer cancel()
	t := &tee{sink: sink}
	res := p.run(runCtx, req, t)
	switch res := res.(type) {
	case flow.Complete:
		p.dedupTable.Finish(r, flow.OutcomeRan, flow.Rejected{}, t.response())
	case flow.Rejected:
		p.dedupTable.Finish(r, res.Outcome, res, dedup.Response{})
	case flow.Aborted:
		p.dedupTable.Finish(r, flow.OutcomeUnknown, flow.Unknown(flow.RejectedBadResponse, res.Reason), dedup.Response{})
	}
	if t.sinkErr != nil {
		return flow.Aborted{HeadSent: true, Reason: t.sinkErr.Error()}
	}
	return res
}

// respondFromDecision handles a request that must not run. It returns the rejection, or waits for
// the end of an earlier request with the key and returns the result from its record.
func (p *Proxy) respondFromDecision(ctx context.Context, decision dedup.Decision, sink flow.Sink) flow.Result {
	duplicate, ok := decision.(dedup.Duplicate)
	if !ok {
		rejected, _ := decision.(dedup.Rejected)
		return rejected.Rejection
	}
	select {
	case <-duplicate.Record.Done():
	case <-ctx.Done():
		return flow.Unknown(flow.RejectedStillRunning, "the run is still under way")
	}
	return replay(duplicate.Record, sink)
}

func replay(r *dedup.Record, sink flow.Sink) flow.Result {
	if r.Outcome() != flow.OutcomeRan {
		rejected := r.Rejection()
		rejected.Outcome = r.Outcome()
		return rejected
	}
	resp := r.Response()
	if !resp.BodyKept {
		return flow.Rejected{Kind: flow.RejectedResponseNotKept, Outcome: flow.OutcomeRan, Reason: "it ran; its answer was too long to keep"}
	}
	if err := sink.Head(flow.Head{Status: resp.Status, Header: resp.Header, Size: int64(len(resp.Body))}); err != nil {
		return flow.Aborted{HeadSent: true, Reason: err.Error()}
	}
	if err := sink.Data(resp.Body); err != nil {
		return flow.Aborted{HeadSent: true, Reason: err.Error()}
	}
	return flow.Complete{}
}

// Outcome implements entry.Handler. It consults the tables of this process only: its own and those
// handed over to it.
func (p *Proxy) Outcome(now time.Time, key string) dedup.KeyState {
	k, err := dedup.Parse(key)
	if err != nil {
		return dedup.KeyState{Outcome: flow.OutcomeUnknown}
	}
	if k.Incarnation() == p.incarnation {
		return p.dedupTable.Outcome(now, k)
	}
	state, ok := p.replicas.Outcome(now, k)
	if !ok {
		return dedup.KeyState{Outcome: flow.OutcomeUnknown}
	}
	return state
}

// FindOutcome returns the state of a key from this process, the issuing process or, once that has
// stopped, its successors.
func (p *Proxy) FindOutcome(ctx context.Context, k dedup.Key) dedup.KeyState {
	state := p.Outcome(time.Now(), k.String())
	if k.Incarnation() == p.incarnation || state.Outcome != flow.OutcomeUnknown {
		return state
	}
	if issuer := p.member(k.Incarnation()); issuer != nil {
		if issuerState, err := p.peers.Outcome(ctx, issuer, k.String()); err == nil {
			return issuerState
		}
		return dedup.KeyState{Outcome: flow.OutcomeUnknown}
	}
	return p.QuerySuccessors(ctx, k)
}

// Import implements entry.Handler: it adds records that a stopping process hands over.
func (p *Proxy) Import(table *peerpb.InheritRequest) { p.replicas.Import(table) }

// tee writes a response to the caller's sink and keeps it for the record. Its methods report no
// error when the caller has disconnected, so that the run continues.
type tee struct {
	sink    flow.Sink
	head    flow.Head
	body    []byte
	tooLong bool
	sinkErr error
}

// Head implements flow.Sink.
func (t *tee) Head(h flow.Head) error {
	t.head = h
	t.sinkErr = t.sink.Head(h)
	return nil
}

// Data implements flow.Sink.
func (t *tee) Data(p []byte) error {
	if len(t.body)+len(p) <= dedup.MaxKeptBody {
		t.body = append(t.body, p...)
	} else {
		t.tooLong = true
	}
	if t.sinkErr == nil {
		t.sinkErr = t.sink.Data(p)
	}
	return nil
}

func (t *tee) response() dedup.Response {
	if t.tooLong {
		return dedup.Response{Status: t.head.Status, Header: t.head.Header}
	}
	return dedup.Response{Status: t.head.Status, Header: t.head.Header, Body: t.body, BodyKept: true}
}
