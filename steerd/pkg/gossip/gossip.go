// Package gossip spreads membership and configuration between steerds: beats to random peers of
// the data centre, and, from a few gateways, summaries to other data centres.
package gossip

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"rosemarygrade.dev/lib/pkg/member"
	"rosemarygrade.dev/lib/pkg/peer"
	"rosemarygrade.dev/lib/pkg/peerpb"
	"rosemarygrade.dev/lib/pkg/rank"
	"rosemarygrade.dev/lib/pkg/store"
	"rosemarygrade.dev/steerd/pkg/node"
)

// Shape of the gossip.
const (
	localFanout  = 1
	remoteFanout = 1
	pushFanout   = 3
	gateways     = 2
	callTimeout  = 2 * time.Second
)

// Gossip runs the rounds of one steerd and serves those of its peers.
type Gossip struct {
	peerpb.UnimplementedControlServer

	node  *node.Node
	pool  *peer.Pool
	seeds []string
	log   *slog.Logger
}

// New returns the gossip of a node. Seeds are peers to ask while no other is known.
func New(n *node.Node, pool *peer.Pool, seeds []string, log *slog.Logger) *Gossip {
	return &Gossip{node: n, pool: pool, seeds: seeds, log: log}
}

// Round runs one gossip round.
func (g *Gossip) Round(ctx context.Context, now time.Time) {
	self := g.node.Tick(now)
	for _, address := range g.targets(now, self) {
		go g.exchange(ctx, address)
	}
}

// targets picks the peers of one round.
func (g *Gossip) targets(now time.Time, self *peerpb.Member) []string {
	out := pick(g.addresses(g.node.LocalSteerds(now)), localFanout)
	if g.IsGateway(now) {
		remote := g.others(now, func(m *peerpb.Member) bool { return m.GetDataCentre() != self.GetDataCentre() })
		out = append(out, pick(remote, remoteFanout)...)
	}
	// A seed is asked now and then even when peers are known, so that two halves that were cut
	// from each other long enough to forget meet again.
	if len(g.seeds) > 0 && (len(out) == 0 || rand.IntN(seedOdds) == 0) {
		seed := g.seeds[rand.IntN(len(g.seeds))]
		if seed != self.GetPeerAddress() {
			out = append(out, seed)
		}
	}
	return out
}

// seedOdds is the number of rounds between two exchanges with a seed, on average.
const seedOdds = 8

func (g *Gossip) others(now time.Time, keep func(*peerpb.Member) bool) []string {
	return g.addresses(g.node.Steerds(now, keep))
}

// addresses returns the peer addresses of members other than this process.
func (g *Gossip) addresses(members []*peerpb.Member) []string {
	var out []string
	for _, m := range members {
		if m.GetPeerAddress() != g.node.PeerAddress() {
			out = append(out, m.GetPeerAddress())
		}
	}
	return out
}

func pick(from []string, n int) []string {
	rand.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	return from[:min(n, len(from))]
}

// IsGateway tells whether this steerd speaks with other data centres.
func (g *Gossip) IsGateway(now time.Time) bool {
	local := g.node.LocalSteerds(now)
	return rank.Within("gateway/"+g.node.DataCentre(), gateways, local, (*peerpb.Member).GetHost, g.node.Host())
}

func (g *Gossip) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := g.pool.Conn(address, "control")
	if err != nil {
		g.log.Debug("exchange", "peer", address, "err", err)
		return
	}
	client := peerpb.NewControlClient(conn)
	resp, err := client.Exchange(ctx, g.request(time.Now()))
	if err != nil {
		g.log.Debug("exchange", "peer", address, "err", err)
		return
	}
	g.settle(ctx, client, resp)
}

func (g *Gossip) request(now time.Time) *peerpb.ExchangeRequest {
	req := &peerpb.ExchangeRequest{DataCentre: g.node.DataCentre(), ConfigHash: g.node.Store().Hash()}
	gateway := g.IsGateway(now)
	g.node.With(func(t *member.Table) {
		b := t.Heartbeats(now)
		req.Incarnations, req.Seqs, req.Revisions = b.Incarnations, b.Seqs, b.Revisions
		if gateway {
			t.Summarize(now, req.GetConfigHash())
		}
		req.Centres = t.Summaries(now)
	})
	return req
}

// settle takes in an answer and sends what the peer asked for.
func (g *Gossip) settle(ctx context.Context, client peerpb.ControlClient, resp *peerpb.ExchangeResponse) {
	now := time.Now()
	next := &peerpb.ExchangeRequest{ConfigHash: g.node.Store().Hash()}
	var more bool
	g.node.With(func(t *member.Table) {
		for _, m := range resp.GetMembers() {
			t.Observe(now, m)
		}
		t.Merge(now, member.Heartbeats{Incarnations: resp.GetIncarnations(), Seqs: resp.GetSeqs(), Revisions: resp.GetRevisions()})
		t.MergeSummaries(now, resp.GetCentres())
		next.Members = t.Records(resp.GetWanted())
		next.Centres = t.FullSummaries(resp.GetWantedCentres())
		more = len(next.GetMembers()) > 0 || len(next.GetCentres()) > 0
	})
	if more {
		if _, err := client.Exchange(ctx, next); err != nil {
			g.log.Debug("exchange", "step", "records", "err", err)
		}
	}
	if resp.GetConfigHash() != g.node.Store().Hash() && !g.reconcile(ctx, client) {
		return
	}
	if resp.GetReady() {
		g.node.SetReady()
	}
}

// reconcile fetches the records of the buckets that differ from a peer's.
func (g *Gossip) reconcile(ctx context.Context, client peerpb.ControlClient) bool {
	resp, err := client.Pull(ctx, &peerpb.PullRequest{BucketHashes: g.node.Store().BucketHashes()})
	if err != nil {
		g.log.Debug("pull", "err", err)
		return false
	}
	g.Accept(ctx, resp.GetRecords(), "peer")
	return true
}

// Accept offers records to the store and pushes on what was new.
func (g *Gossip) Accept(ctx context.Context, records []*peerpb.Record, source string) {
	accepted := g.node.Store().Apply(records...)
	if len(accepted) == 0 {
		return
	}
	for _, r := range accepted {
		g.log.Info("accepted", "kind", r.GetKind(), "name", r.GetName(), "version", r.GetVersion(),
			"force", r.GetForceVersion(), "source", source)
	}
	g.push(ctx, accepted)
}

// push offers records to a few peers; rounds of gossip reach the rest.
func (g *Gossip) push(ctx context.Context, records []*peerpb.Record) {
	now := time.Now()
	dc := g.node.DataCentre()
	targets := pick(g.addresses(g.node.LocalSteerds(now)), pushFanout)
	remote := g.others(now, func(m *peerpb.Member) bool { return m.GetDataCentre() != dc })
	targets = append(targets, pick(remote, pushFanout)...)
	for _, address := range targets {
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
			defer cancel()
			conn, err := g.pool.Conn(address, "control")
			if err != nil {
				return
			}
			if _, err := peerpb.NewControlClient(conn).Push(ctx, &peerpb.PushRequest{Records: records}); err != nil {
				g.log.Debug("push", "peer", address, "err", err)
			}
		}()
	}
}

// Exchange serves a peer's round.
func (g *Gossip) Exchange(_ context.Context, req *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	now := time.Now()
	gateway := g.IsGateway(now)
	resp := &peerpb.ExchangeResponse{ConfigHash: g.node.Store().Hash(), Ready: g.node.Ready()}
	g.node.With(func(t *member.Table) {
		for _, m := range req.GetMembers() {
			t.Observe(now, m)
		}
		resp.WantedCentres = t.MergeSummaries(now, req.GetCentres())
		if req.GetDataCentre() == "" {
			return
		}
		// Beats say nothing to another data centre, which has this one's summary.
		if req.GetDataCentre() == g.node.DataCentre() {
			answerBeats(t, now, req, resp)
		}
		if gateway {
			t.Summarize(now, resp.GetConfigHash())
		}
		resp.Centres = answerCentres(t, now, req.GetCentres())
	})
	return resp, nil
}

// answerBeats takes in the beats of a peer of the own data centre and answers with the own ones.
func answerBeats(t *member.Table, now time.Time, req *peerpb.ExchangeRequest, resp *peerpb.ExchangeResponse) {
	resp.Wanted, resp.Members = t.Merge(now, member.Heartbeats{
		Incarnations: req.GetIncarnations(), Seqs: req.GetSeqs(), Revisions: req.GetRevisions(),
	})
	b := t.Heartbeats(now)
	resp.Incarnations, resp.Seqs, resp.Revisions = b.Incarnations, b.Seqs, b.Revisions
}

// answerCentres returns the summaries that the peer lacks, with members where the peer's differ.
func answerCentres(t *member.Table, now time.Time, peer []*peerpb.Centre) []*peerpb.Centre {
	has := make(map[string]*peerpb.Centre, len(peer))
	for _, c := range peer {
		has[c.GetDataCentre()] = c
	}
	var out []*peerpb.Centre
	for _, c := range t.Summaries(now) {
		p := has[c.GetDataCentre()]
		if p != nil && p.GetStamp() >= c.GetStamp() {
			continue
		}
		if p == nil || p.GetHash() != c.GetHash() {
			out = append(out, t.FullSummaries([]string{c.GetDataCentre()})...)
			continue
		}
		out = append(out, c)
	}
	return out
}

// Pull serves the records of the buckets that differ.
func (g *Gossip) Pull(_ context.Context, req *peerpb.PullRequest) (*peerpb.PullResponse, error) {
	return &peerpb.PullResponse{Records: g.node.Store().Differing(req.GetBucketHashes())}, nil
}

// Push takes in records that a peer offers.
func (g *Gossip) Push(ctx context.Context, req *peerpb.PushRequest) (*peerpb.PushResponse, error) {
	g.Accept(ctx, req.GetRecords(), "push")
	return &peerpb.PushResponse{}, nil
}

// Summary is what the state dump shows of the store.
type Summary struct {
	Objects int    `json:"objects"`
	Refused uint64 `json:"refusedOldVersions"`
	Hash    uint64 `json:"hash"`
}

// Summarize returns the store's summary.
func Summarize(s *store.Store) Summary {
	return Summary{Objects: s.Len(), Refused: s.RejectedVersions(), Hash: s.Hash()}
}
