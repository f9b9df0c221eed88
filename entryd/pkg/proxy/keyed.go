package proxy

import (
	"context"
	"time"

	"rosemarygrade.dev/entryd/pkg/dedup"
	"rosemarygrade.dev/entryd/pkg/flow"
	"rosemarygrade.dev/lib/pkg/peerpb"
	"rosemarygrade.dev/lib/pkg/rank"
)

// heirs is how many peers keep the records of a stopped process.
const heirs = 2

// keyed brings a request with a key to the process that the key names.
func (p *Proxy) keyed(ctx context.Context, req *flow.Request, sink flow.Sink) flow.Result {
	k, err := dedup.Parse(req.Key)
	if err != nil {
		return flow.NotRun(flow.RefusedBadKey, err.Error())
	}
	if k.Incarnation() == p.incarnation {
		return p.AsHome(ctx, req, sink)
	}
	if home := p.member(k.Incarnation()); home != nil {
		return unlessHeard(p.peers.Serve(ctx, home, req, peerpb.Stage_STAGE_HOME, sink))
	}
	return p.orphan(ctx, k, req, sink)
}

// unlessHeard makes an outcome unknown where the process that holds the record was not heard.
func unlessHeard(res flow.Result) flow.Result {
	if r, ok := res.(flow.Rejected); ok && r.Kind == flow.RejectedConnect {
		return flow.Unknown(flow.RefusedKeyGone, "the process that the key names does not answer: "+r.Reason)
	}
	return res
}

func (p *Proxy) member(incarnation uint64) *peerpb.Member {
	for _, m := range p.views.Members() {
		if m.GetIncarnation() == incarnation && m.GetRole() == peerpb.Role_ROLE_ENTRYD {
			return m
		}
	}
	return nil
}

// orphan answers a request whose key names a process that is gone, from the records it passed on.
func (p *Proxy) orphan(ctx context.Context, k dedup.Key, req *flow.Request, sink flow.Sink) flow.Result {
	body, _ := req.Body.Bytes()
	if v, ok := p.shelf.Begin(time.Now(), k, dedup.DigestOf(req.Method, req.Path, body)); ok {
		return p.follow(ctx, v, sink)
	}
	known := p.AskHeirs(ctx, k)
	switch known.Outcome {
	case flow.OutcomeNotRun:
		return flow.NotRun(flow.RefusedStopping, "the process that the key names stopped before the request came")
	case flow.OutcomeRan:
		return flow.Rejected{Kind: flow.RefusedNotKept, Outcome: flow.OutcomeRan, Reason: "it ran; the outcome call gives the answer while it is kept"}
	default:
		return flow.Unknown(flow.RefusedKeyGone, "the process that the key names is gone")
	}
}

// Heirs returns the peers that keep the records of a process once it has stopped.
func (p *Proxy) Heirs(incarnation uint64) []*peerpb.Member {
	var able []*peerpb.Member
	for _, m := range p.views.Members() {
		if m.GetRole() == peerpb.Role_ROLE_ENTRYD && !m.GetLeaving() && m.GetIncarnation() != incarnation {
			able = append(able, m)
		}
	}
	return able
}

// RankedHeirs returns the peers to pass records to, the first ones first.
func (p *Proxy) RankedHeirs(k uint64) []*peerpb.Member {
	name := dedup.BookName(k)
	ordered := rank.Order(name, p.Heirs(k), (*peerpb.Member).GetHost)
	return ordered[:min(heirs, len(ordered))]
}

// AskHeirs asks the peers that may hold the record of a process that is gone.
func (p *Proxy) AskHeirs(ctx context.Context, k dedup.Key) dedup.Known {
	for _, m := range p.Heirs(k.Incarnation()) {
		if m.GetIncarnation() == p.incarnation {
			continue
		}
		known, err := p.peers.Outcome(ctx, m, k.String())
		if err == nil && known.Outcome != flow.OutcomeUnknown {
			return known
		}
	}
	return dedup.Known{Outcome: flow.OutcomeUnknown}
}

// AsHome implements entry.Handler: it serves a request whose key names this process.
func (p *Proxy) AsHome(ctx context.Context, req *flow.Request, sink flow.Sink) flow.Result {
	k, err := dedup.Parse(req.Key)
	if err != nil {
		return flow.NotRun(flow.RefusedBadKey, err.Error())
	}
	body, all := req.Body.Bytes()
	if !all {
		return flow.NotRun(flow.RefusedBody, "a request that may run at most once must have a body that is held whole")
	}
	verdict := p.book.Begin(time.Now(), k, dedup.DigestOf(req.Method, req.Path, body))
	fresh, ok := verdict.(dedup.Fresh)
	if !ok {
		return p.follow(ctx, verdict, sink)
	}
	return p.runFresh(ctx, fresh.Record, req, sink)
}

// runFresh runs a request for the first time. The run outlives its caller, so that a caller that
// comes back finds its outcome.
func (p *Proxy) runFresh(ctx context.Context, r *dedup.Record, req *flow.Request, sink flow.Sink) flow.Result {
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.Deadline)
	defer cancel()
	t := &tee{sink: sink}
	res := p.run(runCtx, req, t)
	switch res := res.(type) {
	case flow.Complete:
		p.book.Finish(r, flow.OutcomeRan, flow.Rejected{}, t.answer())
	case flow.Rejected:
		p.book.Finish(r, res.Outcome, res, dedup.Answer{})
	case flow.Aborted:
		p.book.Finish(r, flow.OutcomeUnknown, flow.Unknown(flow.RefusedBadAnswer, res.Reason), dedup.Answer{})
	}
	if t.failed != nil {
		return flow.Aborted{HeadSent: true, Reason: t.failed.Error()}
	}
	return res
}

// follow answers from a record, waiting for a run that is under way.
func (p *Proxy) follow(ctx context.Context, v dedup.Verdict, sink flow.Sink) flow.Result {
	join, ok := v.(dedup.Join)
	if !ok {
		turned, _ := v.(dedup.Turned)
		return turned.Refused
	}
	select {
	case <-join.Record.Done():
	case <-ctx.Done():
		return flow.Unknown(flow.RefusedUnanswered, "the run is still under way")
	}
	return replay(join.Record, sink)
}

func replay(r *dedup.Record, sink flow.Sink) flow.Result {
	if r.Outcome() != flow.OutcomeRan {
		refused := r.Refusal()
		refused.Outcome = r.Outcome()
		return refused
	}
	a := r.Answer()
	if !a.Kept {
		return flow.Rejected{Kind: flow.RefusedNotKept, Outcome: flow.OutcomeRan, Reason: "it ran; its answer was too long to keep"}
	}
	if err := sink.Head(flow.Head{Status: a.Status, Header: a.Header, Size: int64(len(a.Body))}); err != nil {
		return flow.Aborted{HeadSent: true, Reason: err.Error()}
	}
	if err := sink.Data(a.Body); err != nil {
		return flow.Aborted{HeadSent: true, Reason: err.Error()}
	}
	return flow.Complete{}
}

// Outcome implements entry.Handler.
func (p *Proxy) Outcome(now time.Time, key string) dedup.Known {
	k, err := dedup.Parse(key)
	if err != nil {
		return dedup.Known{Outcome: flow.OutcomeUnknown}
	}
	if k.Incarnation() == p.incarnation {
		return p.book.Outcome(now, k)
	}
	known, ok := p.shelf.Outcome(now, k)
	if !ok {
		return dedup.Known{Outcome: flow.OutcomeUnknown}
	}
	return known
}

// FindOutcome tells what is known of a key, here or at the process that holds it.
func (p *Proxy) FindOutcome(ctx context.Context, k dedup.Key) dedup.Known {
	known := p.Outcome(time.Now(), k.String())
	if k.Incarnation() == p.incarnation || known.Outcome != flow.OutcomeUnknown {
		return known
	}
	if home := p.member(k.Incarnation()); home != nil {
		if got, err := p.peers.Outcome(ctx, home, k.String()); err == nil {
			return got
		}
		return dedup.Known{Outcome: flow.OutcomeUnknown}
	}
	return p.AskHeirs(ctx, k)
}

// Inherit implements entry.Handler.
func (p *Proxy) Inherit(book *peerpb.InheritRequest) { p.shelf.Take(book) }

// tee passes an answer to the caller and keeps it. A caller that goes away does not end the run.
type tee struct {
	sink   flow.Sink
	head   flow.Head
	body   []byte
	over   bool
	failed error
}

// Head implements flow.Sink.
func (t *tee) Head(h flow.Head) error {
	t.head = h
	t.failed = t.sink.Head(h)
	return nil
}

// Data implements flow.Sink.
func (t *tee) Data(p []byte) error {
	if len(t.body)+len(p) <= dedup.MaxBody {
		t.body = append(t.body, p...)
	} else {
		t.over = true
	}
	if t.failed == nil {
		t.failed = t.sink.Data(p)
	}
	return nil
}

func (t *tee) answer() dedup.Answer {
	if t.over {
		return dedup.Answer{Status: t.head.Status, Header: t.head.Header}
	}
	return dedup.Answer{Status: t.head.Status, Header: t.head.Header, Body: t.body, Kept: true}
}
