package proxy

import (
	"net/http"
	"time"

	"rosemarygrade.dev/edged/pkg/meter"
	"rosemarygrade.dev/lib/pkg/plan"
)

// identify sets the organisation of a request by the hash of its key, if the route needs one. The reply is nil unless the request is
// rejected: it has no key, or one that the configuration does not hold. The check applies to the configuration at the request's arrival.
func (p *Handler) identify(now time.Time, x *exchange, c *plan.Config, key plan.KeyHash) *localReply {
	if !c.RequiresKeys() || x.route.Public() {
		return nil
	}
	if o, found := c.Organisation(key); found {
		x.organisation = o
		p.meter.RecordOrganisation(o.Name(), key)
		return nil
	}
	counter, reason := meter.UnknownKey, "unknown key"
	if key.IsZero() {
		counter, reason = meter.NoKey, "no key, or several"
	}
	p.meter.Add(counter, 1)
	x.trace.Add(now, "notIdentified", "route", x.route.Name(), "configVersion", c.Version())
	return newReply(http.StatusUnauthorized, 0, reason)
}

// organisationName returns the name that backend servers get, or "" if the request belongs to no organisation.
func (x *exchange) organisationName() string {
	if x.organisation == nil {
		return ""
	}
	return x.organisation.Name()
}

// allows reports whether both the route and the organisation allow a region to serve the request.
func (x *exchange) allows(region string) bool {
	return x.route.Allows(region) && (x.organisation == nil || x.organisation.Allows(region))
}

// priority returns the priority of the organisation, or that of the route if the organisation has none.
func (x *exchange) priority() int {
	if x.organisation != nil {
		if priority, ok := x.organisation.Priority(); ok {
			return priority
		}
	}
	return x.route.Priority()
}
