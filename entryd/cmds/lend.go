package cmds

import (
	"context"
	"time"

	"rosemarygrade.dev/entryd/pkg/links"
	"rosemarygrade.dev/lib/pkg/peerpb"
	"rosemarygrade.dev/lib/pkg/rank"
)

// lendTimeout bounds an offer to a keeper.
const lendTimeout = 250 * time.Millisecond

// lend offers unused shares of links to their keepers and asks for more where requests wait.
func (p *process) lend(ctx context.Context, now time.Time) {
	keeperOf := p.keepers()
	keepers := map[string]*peerpb.Member{}
	offers := p.links.Offers(now, p.incarnation, func(to string) uint64 {
		keepers[to] = keeperOf(to)
		return keepers[to].GetIncarnation()
	})
	for to, o := range offers {
		go p.offer(ctx, keepers[to], to, o)
	}
}

// offer sends one offer. Its time begins now, before it is sent.
func (p *process) offer(ctx context.Context, keeper *peerpb.Member, to string, o links.Offer) {
	sent := time.Now()
	if keeper.GetIncarnation() == p.incarnation {
		p.links.HandleReply(sent, to, p.incarnation, p.links.HandleOffer(sent, to, o))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	r, err := p.peers.Lend(ctx, keeper, to, o)
	if err != nil {
		p.log.Debug("lend", "keeper", keeper.GetHost(), "to", to, "err", err)
		return
	}
	p.links.HandleReply(sent, to, keeper.GetIncarnation(), r)
}

// keepers returns a function that names the keeper of the link from this region to another.
func (p *process) keepers() func(to string) *peerpb.Member {
	p.mu.Lock()
	region := p.self.GetRegion()
	p.mu.Unlock()
	var able []*peerpb.Member
	for _, m := range p.steer.Members() {
		if m.GetRole() == peerpb.Role_ROLE_ENTRYD && m.GetRegion() == region && !m.GetLeaving() {
			able = append(able, m)
		}
	}
	return func(to string) *peerpb.Member {
		keeper, _ := rank.First("link/"+region+"/"+to, able, (*peerpb.Member).GetHost)
		return keeper
	}
}
