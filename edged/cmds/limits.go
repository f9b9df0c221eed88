package cmds

import (
	"net"
	"net/http"

	"rosemarygrade.dev/edged/pkg/front"
	"rosemarygrade.dev/edged/pkg/memory"
	"rosemarygrade.dev/lib/pkg/drain"
	"rosemarygrade.dev/lib/pkg/serve"
)

// connLimits are the limits of the connections of each server. They are separate, so that a flood on one leaves the others usable.
type connLimits struct {
	callers, ready, lookups, peers, admin, metrics *drain.Limit
}

func newConnLimits(s *Settings) connLimits {
	d := memory.NewDescriptors(s.MaxDescriptors)
	limit := func(n int) *drain.Limit { return drain.NewLimit(n, 0) }
	return connLimits{
		callers: drain.NewLimit(d.Callers(), memory.NewLimits(s.MemoryMegabytes).Conns()), lookups: limit(d.Lookups()),
		peers: limit(d.Peers()), ready: limit(d.Small()), admin: limit(d.Small()), metrics: limit(d.Small()),
	}
}

// serve starts the servers on the listeners that listen returns.
func (p *process) serve(g *serve.Group, l []net.Listener) {
	p.front = front.New(p.proxy, l[0])
	p.front.LimitConns(p.limits.callers)
	g.Go(p.front.Run)
	g.HTTPWithLimit(l[1], http.HandlerFunc(p.ready), p.limits.ready)
	g.HTTPWithLimit(l[2], http.HandlerFunc(p.lookup), p.limits.lookups)
	g.HTTPWithLimit(l[3], p.gossip.Handler(), p.limits.peers)
	admin := p.adminHandler()
	g.HTTPWithLimit(l[4], admin, p.limits.admin)
	g.HTTPWithLimit(l[5], admin, p.limits.metrics)
}
