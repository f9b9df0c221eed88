package cmds

import (
	"context"
	"time"

	"rosemarygrade.dev/entryd/pkg/links"
	"rosemarygrade.dev/lib/pkg/peerpb"
	"rosemarygrade.dev/lib/pkg/rank"
)

// lendTimeout bounds one call to an elected host.
const lendTimeout = 250 * time.Millisecond

// lend sends an offer for each link to another region to the link's elected host, which
// redistributes the unused bandwidth of the link. An offer lends unused bandwidth, or requests more
// if data is queued for the link.
func (p *process) lend(ctx context.Context, now time.Time) {
	electedFor := p.electedHosts()
	elected := map[string]*peerpb.Member{}
	offers := p.links.Offers(now, p.incarnation, func(to string) uint64 {
		elected[to] = electedFor(to)
		return elected[to].GetIncarnation()
	})
	for to, offer := range offers {
		go p.sendOffer(ctx, elected[to], to, offer)
	}
}

// sendOffer sends an offer to the elected host of a link and applies the reply. The lease of the
// granted bandwidth counts from before the offer is sent.
func (p *process) sendOffer(ctx context.Context, elected *peerpb.Member, to string, offer links.Offer) {
	sent := time.Now()
	if elected.GetIncarnation() == p.incarnation {
		p.links.HandleReply(sent, to, p.incarnation, p.links.HandleOffer(sent, to, offer))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	reply, err := p.peers.Lend(ctx, elected, to, offer)
	if err != nil {
		p.log.Debug("offer of link bandwidth to elected host failed", "keeper", elected.GetHost(), "to", to, "err", err)
		return
	}
	p.links.HandleReply(sent, to, elected.GetIncarnation(), reply)
}

// electedHosts returns a function that returns the elected host of the link from this region to
// another: the first process of this region in rendezvous order that is not leaving.
func (p *process) electedHosts() func(to string) *peerpb.Member {
	p.mu.Lock()
	region := p.self.GetRegion()
	p.mu.Unlock()
	var candidates []*peerpb.Member
	for _, m := range p.steerd.Members() {
		if m.GetRole() == peerpb.Role_ROLE_ENTRYD && m.GetRegion() == region && !m.GetLeaving() {
			candidates = append(candidates, m)
		}
	}
	return func(to string) *peerpb.Member {
		elected, _ := rank.First("link/"+region+"/"+to, candidates, (*peerpb.Member).GetHost)
		return elected
	}
}
