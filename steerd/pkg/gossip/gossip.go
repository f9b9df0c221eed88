// Package gossip spreads membership and configuration between steerds. Heartbeats go to random peers of
// the local data centre; a few gateways exchange summaries with other data centres. New configuration
// records are pushed to some peers, and the others pull them when their hashes differ.
package gossip

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"rosemarygrade.dev/lib/pkg/member"
	"rosemarygrade.dev/lib/pkg/peer"
	"rosemarygrade.dev/lib/pkg/peerpb"
	"rosemarygrade.dev/lib/pkg/rank"
	"rosemarygrade.dev/lib/pkg/store"
	"rosemarygrade.dev/steerd/pkg/node"
)

const (
	// localFanout is the number of peers of the local data centre that a round contacts.
	localFanout = 1
	// remoteFanout is the number of peers of other data centres that a gateway's round contacts.
	remoteFanout = 1
	// pushFanout is the number of peers that a push is sent to, in the local data centre and again in the others.
	pushFanout = 3
	// gatewaysPerDataCentre is the number of steerds of a data centre that gossip with other data centres.
	gatewaysPerDataCentre = 2
	callTimeout           = 2 * time.Second
)

// Gossip runs the gossip rounds of one steerd and serves the calls of its peers.
type Gossip struct {
	peerpb.UnimplementedControlServer

	node  *node.Node
	pool  *peer.Pool
	seeds []string
	log   *slog.Logger
}

// New returns the gossip of a node. seeds are peer addresses from the settings, for the time
// before other members are known and to rejoin after a partition.
func New(n *node.Node, pool *peer.Pool, seeds []string, log *slog.Logger) *Gossip {
	return &Gossip{node: n, pool: pool, seeds: seeds, log: log}
}

// peerTimeout is how long after its start a steerd waits for a ready peer before it is ready with what the platform returned.
const peerTimeout = 3 * time.Second

// Start starts the first round. If there are seeds, the node waits for a ready peer, for up to peerTimeout.
func (g *Gossip) Start(ctx context.Context, now time.Time) {
	if len(g.otherSeeds()) > 0 {
		g.node.AwaitPeer(now.Add(peerTimeout))
	}
	g.Round(ctx, now)
}

// Round starts one gossip round; it does not wait for the exchanges to end.
func (g *Gossip) Round(ctx context.Context, now time.Time) {
	self := g.node.Heartbeat(now)
	for _, address := range g.targets(now, self) {
		go g.exchange(ctx, address)
	}
}

// targets returns the addresses that one round contacts: those of random peers and sometimes a seed.
func (g *Gossip) targets(now time.Time, self *peerpb.Member) []string {
	addresses := sample(g.addresses(g.node.LocalSteerds(now)), localFanout)
	if g.IsGateway(now) {
		remote := g.otherSteerds(now, func(m *peerpb.Member) bool { return m.GetDataCentre() != self.GetDataCentre() })
		addresses = append(addresses, sample(remote, remoteFanout)...)
	}
	// Some rounds include a seed even when peers are known, so that the sides of a partition rejoin
	// even if each side has removed the other's members by then.
	if seeds := g.otherSeeds(); len(seeds) > 0 && (len(addresses) == 0 || rand.IntN(roundsPerSeed) == 0) {
		addresses = append(addresses, seeds[rand.IntN(len(seeds))])
	}
	return addresses
}

// otherSeeds returns the seeds without this process.
func (g *Gossip) otherSeeds() []string {
	return slices.DeleteFunc(slices.Clone(g.seeds), func(s string) bool { return s == g.node.PeerAddress() })
}

// roundsPerSeed is the average number of rounds between two exchanges with a seed.
const roundsPerSeed = 8

// otherSteerds returns the peer addresses of the other steerds for which keep returns true.
func (g *Gossip) otherSteerds(now time.Time, keep func(*peerpb.Member) bool) []string {
	return g.addresses(g.node.Steerds(now, keep))
}

// addresses returns the peer addresses of the members, without this process's own.
func (g *Gossip) addresses(members []*peerpb.Member) []string {
	var addresses []string
	for _, m := range members {
		if m.GetPeerAddress() != g.node.PeerAddress() {
			addresses = append(addresses, m.GetPeerAddress())
		}
	}
	return addresses
}

// sample returns up to n random addresses. It shuffles the slice in place.
func sample(addresses []string, n int) []string {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(n, len(addresses))]
}

// IsGateway reports whether this steerd gossips with other data centres at the time now.
func (g *Gossip) IsGateway(now time.Time) bool {
	local := g.node.LocalSteerds(now)
	return rank.Within("gateway/"+g.node.DataCentre(), gatewaysPerDataCentre, local, (*peerpb.Member).GetHost, g.node.Host())
}

func (g *Gossip) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := g.pool.Conn(address, "control")
	if err != nil {
		g.log.Debug("cannot create a connection to the peer for a gossip exchange", "peer", address, "err", err)
		return
	}
	client := peerpb.NewControlClient(conn)
	resp, err := client.Exchange(ctx, g.newRequest(time.Now()))
	if err != nil {
		g.log.Debug("gossip exchange with the peer failed", "peer", address, "err", err)
		return
	}
	g.handleResponse(ctx, client, resp)
}

func (g *Gossip) newRequest(now time.Time) *peerpb.ExchangeRequest {
	req := &peerpb.ExchangeRequest{DataCentre: g.node.DataCentre(), ConfigHash: g.node.Store().Hash()}
	gateway := g.IsGateway(now)
	g.node.WithTable(func(t *member.Table) {
		own := t.Heartbeats(now)
		req.Incarnations, req.Seqs, req.Revisions = own.Incarnations, own.Seqs, own.Revisions
		if gateway {
			t.Summarize(now, req.GetConfigHash())
		}
		req.Centres = t.Summaries(now)
	})
	return req
}

// handleResponse merges a peer's response, sends the records that the peer requested, and pulls
// configuration if the hashes differ. Unless the pull fails, a ready peer makes the node ready.
func (g *Gossip) handleResponse(ctx context.Context, client peerpb.ControlClient, resp *peerpb.ExchangeResponse) {
	now := time.Now()
	next := &peerpb.ExchangeRequest{ConfigHash: g.node.Store().Hash()}
	var requested bool
	g.node.WithTable(func(t *member.Table) {
		for _, m := range resp.GetMembers() {
			t.Observe(now, m)
		}
		t.Merge(now, member.Heartbeats{Incarnations: resp.GetIncarnations(), Seqs: resp.GetSeqs(), Revisions: resp.GetRevisions()})
		t.MergeSummaries(now, resp.GetCentres())
		next.Members = t.Records(resp.GetWanted())
		next.Centres = t.FullSummaries(resp.GetWantedCentres())
		requested = len(next.GetMembers()) > 0 || len(next.GetCentres()) > 0
	})
	if requested {
		if _, err := client.Exchange(ctx, next); err != nil {
			g.log.Debug("sending the requested member records to the peer failed", "step", "records", "err", err)
		}
	}
	if resp.GetConfigHash() != g.node.Store().Hash() && !g.reconcile(ctx, client) {
		return
	}
	if resp.GetReady() {
		g.node.SetReady()
	}
}

// reconcile pulls the records of the store's buckets whose hashes differ from the peer's. It reports
// whether the pull succeeded.
func (g *Gossip) reconcile(ctx context.Context, client peerpb.ControlClient) bool {
	resp, err := client.Pull(ctx, &peerpb.PullRequest{BucketHashes: g.node.Store().BucketHashes()})
	if err != nil {
		g.log.Debug("pulling configuration records from the peer failed", "err", err)
		return false
	}
	g.Accept(ctx, resp.GetRecords(), "peer")
	return true
}

// Accept applies records to the store and pushes those that changed it to random peers. source is for
// the log.
func (g *Gossip) Accept(ctx context.Context, records []*peerpb.Record, source string) {
	accepted := g.node.Store().Apply(records...)
	if len(accepted) == 0 {
		return
	}
	for _, r := range accepted {
		g.log.Info("accepted an object record", "kind", r.GetKind(), "name", r.GetName(), "version", r.GetVersion(),
			"force", r.GetForceVersion(), "source", source)
	}
	g.push(ctx, accepted)
}

// push sends records to a few random peers; the others receive them in later gossip rounds.
func (g *Gossip) push(ctx context.Context, records []*peerpb.Record) {
	now := time.Now()
	dc := g.node.DataCentre()
	targets := sample(g.addresses(g.node.LocalSteerds(now)), pushFanout)
	remote := g.otherSteerds(now, func(m *peerpb.Member) bool { return m.GetDataCentre() != dc })
	targets = append(targets, sample(remote, pushFanout)...)
	for _, address := range targets {
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
			defer cancel()
			conn, err := g.pool.Conn(address, "control")
			if err != nil {
				return
			}
			if _, err := peerpb.NewControlClient(conn).Push(ctx, &peerpb.PushRequest{Records: records}); err != nil {
				g.log.Debug("pushing configuration records to the peer failed", "peer", address, "err", err)
			}
		}()
	}
}

// Exchange serves a peer's gossip round.
func (g *Gossip) Exchange(_ context.Context, req *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	now := time.Now()
	gateway := g.IsGateway(now)
	resp := &peerpb.ExchangeResponse{ConfigHash: g.node.Store().Hash(), Ready: g.node.Ready()}
	g.node.WithTable(func(t *member.Table) {
		for _, m := range req.GetMembers() {
			t.Observe(now, m)
		}
		resp.WantedCentres = t.MergeSummaries(now, req.GetCentres())
		// A request without a data centre only delivers records that this node requested.
		if req.GetDataCentre() == "" {
			return
		}
		// Heartbeats stay inside the data centre: a peer elsewhere receives the summary instead.
		if req.GetDataCentre() == g.node.DataCentre() {
			exchangeHeartbeats(t, now, req, resp)
		}
		if gateway {
			t.Summarize(now, resp.GetConfigHash())
		}
		resp.Centres = newerSummaries(t, now, req.GetCentres())
	})
	return resp, nil
}

// exchangeHeartbeats merges the heartbeats in the request of a peer of the local data centre, and adds the
// node's own heartbeats and the records that the peer lacks to the response.
func exchangeHeartbeats(t *member.Table, now time.Time, req *peerpb.ExchangeRequest, resp *peerpb.ExchangeResponse) {
	resp.Wanted, resp.Members = t.Merge(now, member.Heartbeats{
		Incarnations: req.GetIncarnations(), Seqs: req.GetSeqs(), Revisions: req.GetRevisions(),
	})
	own := t.Heartbeats(now)
	resp.Incarnations, resp.Seqs, resp.Revisions = own.Incarnations, own.Seqs, own.Revisions
}

// newerSummaries returns the summaries that are newer than those received from the peer, with the members
// where the member hashes differ.
func newerSummaries(t *member.Table, now time.Time, received []*peerpb.Centre) []*peerpb.Centre {
	known := make(map[string]*peerpb.Centre, len(received))
	for _, c := range received {
		known[c.GetDataCentre()] = c
	}
	var out []*peerpb.Centre
	for _, c := range t.Summaries(now) {
		p := known[c.GetDataCentre()]
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

// Pull serves the records of the store's buckets whose hashes differ from the peer's.
func (g *Gossip) Pull(_ context.Context, req *peerpb.PullRequest) (*peerpb.PullResponse, error) {
	return &peerpb.PullResponse{Records: g.node.Store().Differing(req.GetBucketHashes())}, nil
}

// Push accepts records that a peer sends.
func (g *Gossip) Push(ctx context.Context, req *peerpb.PushRequest) (*peerpb.PushResponse, error) {
	g.Accept(ctx, req.GetRecords(), "push")
	return &peerpb.PushResponse{}, nil
}

// Summary describes the store in the state dump.
type Summary struct {
	Objects            int    `json:"objects"`
	RefusedOldVersions uint64 `json:"refusedOldVersions"`
	Hash               uint64 `json:"hash"`
}

// Summarize returns the store's summary.
func Summarize(s *store.Store) Summary {
	return Summary{Objects: s.Len(), RefusedOldVersions: s.RejectedVersions(), Hash: s.Hash()}
}
