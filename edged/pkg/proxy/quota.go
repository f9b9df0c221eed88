package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"rosemarygrade.dev/edged/pkg/quota"
)

// Quota limits the requests of organisations, summed over all hosts. quota.Service implements it.
type Quota interface {
	// Take requests a credit for a request. The result is quota.Allowed or quota.Refused.
	Take(ctx context.Context, organisation string, l quota.Limit) quota.Result
	// Return gives back the credit of a request that did not run.
	Return(organisation string, credit quota.Allowed)
}

// SetQuota sets what limits the requests of organisations. It must be called before the first request; without it there is no limit.
func (p *Handler) SetQuota(q Quota) { p.quota = q }

// credit is what a request has taken from the quota of its organisation.
type credit struct {
	organisation string
	taken        quota.Allowed
}

// admitOrganisation takes a credit for the request from the quota of its organisation, if it has one. The reply is nil unless the organisation
// is over its quota.
func (p *Handler) admitOrganisation(ctx context.Context, x *exchange) *localReply {
	o := x.organisation
	if o == nil {
		return nil
	}
	reply := p.admitQuota(ctx, x, o.Name(), quota.Limit{RatePerSecond: o.RatePerSecond(), Burst: o.Burst()})
	if reply != nil {
		p.meter.RecordOrganisationRejected(o.Name())
	}
	return reply
}

// admitQuota takes a credit for the request from its organisation's quota. The reply is nil unless the organisation is over its quota. It is to
// be called after the body was read, so that a caller that stops half-way takes none, and before the request is queued.
func (p *Handler) admitQuota(ctx context.Context, x *exchange, name string, limit quota.Limit) *localReply {
	if p.quota == nil || limit.RatePerSecond <= 0 {
		return nil
	}
	switch r := p.quota.Take(ctx, name, limit).(type) {
	case quota.Refused:
		x.trace.Add(time.Now(), "overQuota", "organisation", name, "perSecond", limit.RatePerSecond, "burst", limit.Burst)
		// Callers that were refused together must not retry together, nor before there is credit.
		after := r.RetryAfter()
		return newReply(http.StatusTooManyRequests, after+rand.N(after/4+time.Millisecond), "over quota") //nolint:mnd // A quarter.
	case quota.Allowed:
		x.credit = &credit{organisation: name, taken: r}
	}
	return nil
}

// returnCredit gives the credit of a request back if the request has not run and will not.
func (p *Handler) returnCredit(x *exchange) {
	if x.credit == nil || x.mayHaveRun {
		return
	}
	p.quota.Return(x.credit.organisation, x.credit.taken)
	x.credit = nil
}
