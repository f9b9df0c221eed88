// Package watch lists and watches the platform's objects while this steerd is one of the elected
// watchers of its region.
package watch

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"rosemarygrade.dev/lib/pkg/object"
	"rosemarygrade.dev/lib/pkg/peerpb"
	"rosemarygrade.dev/lib/pkg/rank"
	"rosemarygrade.dev/lib/pkg/sleep"
	"rosemarygrade.dev/lib/pkg/store"
	"rosemarygrade.dev/lib/pkg/wire"
	"rosemarygrade.dev/steerd/pkg/node"
)

const (
	// watchTimeout is how long the platform holds a watch call open when no object changes.
	watchTimeout = 20 * time.Second
	// electionInterval is how often a steerd that is not a watcher checks whether it is elected. It also bounds
	// the random addition to hostsPollInterval.
	electionInterval = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the backoff after a failed call.
	minBackoff        = 200 * time.Millisecond
	maxBackoff        = 10 * time.Second
	hostsPollInterval = 2 * time.Second
)

// AcceptFunc handles records that were received from the named source.
type AcceptFunc func(ctx context.Context, records []*peerpb.Record, source string)

// Watcher reads objects and the host list from the platform.
type Watcher struct {
	node              *node.Node
	client            object.Client
	accept            AcceptFunc
	watchersPerRegion int
	log               *slog.Logger
	// revision is where the next watch starts; 0 means that a list comes first.
	revision uint64
	// hosts is the last host list that was accepted.
	hosts []wire.HostEntry
}

// New returns a watcher. watchersPerRegion is the number of steerds that watch in each region.
func New(n *node.Node, client object.Client, accept AcceptFunc, watchersPerRegion int, log *slog.Logger) *Watcher {
	return &Watcher{node: n, client: client, accept: accept, watchersPerRegion: watchersPerRegion, log: log}
}

// Elected reports whether this steerd is a watcher at the time now. A steerd that has loaded no
// configuration is always one, so that the first steerd of a fleet can start.
func (w *Watcher) Elected(now time.Time) bool {
	if !w.node.Ready() {
		return true
	}
	peers := w.node.Steerds(now, func(m *peerpb.Member) bool { return m.GetRegion() == w.node.Region() })
	return rank.Within("watcher/"+w.node.Region(), w.watchersPerRegion, peers, (*peerpb.Member).GetHost, w.node.Host())
}

// RunObjects lists and watches the platform's objects while this steerd is a watcher, until the context
// ends.
func (w *Watcher) RunObjects(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minBackoff, maxBackoff
	for ctx.Err() == nil {
		if !w.Elected(time.Now()) {
			w.revision = 0
			sleep.For(ctx, electionInterval)
			continue
		}
		if err := w.ListOrWatch(ctx); err != nil {
			w.log.Warn("listing or watching the platform's objects failed; retrying after a backoff", "op", "watch", "err", err)
			sleep.For(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
	}
	return nil
}

// ListOrWatch makes one call to the platform and accepts the objects that it returns: a list if there is
// no revision to watch from, else a watch. If the revision is too old to watch from, the next call lists.
func (w *Watcher) ListOrWatch(ctx context.Context) error {
	var (
		listing object.Listing
		err     error
	)
	if w.revision == 0 {
		listing, err = w.client.List(ctx)
	} else {
		listing, err = w.client.Watch(ctx, w.revision, watchTimeout)
	}
	if object.Is(err, object.KindTooOld) {
		w.revision = 0
		return nil
	}
	if err != nil {
		return err
	}
	records := make([]*peerpb.Record, 0, len(listing.Objects))
	for _, o := range listing.Objects {
		records = append(records, store.FromWire(o))
	}
	w.accept(ctx, records, "platform")
	w.node.SetLoaded()
	// A stale replica may return a lower revision; the next watch starts from the highest one.
	w.revision = max(w.revision, listing.Revision)
	return nil
}

// RunHosts polls the platform's host list while this steerd is a watcher, until the context ends.
func (w *Watcher) RunHosts(ctx context.Context) error {
	for ctx.Err() == nil {
		if w.node.Ready() && w.Elected(time.Now()) {
			w.pollHosts(ctx)
		}
		sleep.For(ctx, hostsPollInterval+time.Duration(rand.Int64N(int64(electionInterval))))
	}
	return nil
}

// pollHosts reads the platform's host list and accepts the leaving hosts as one object, which gossip
// spreads like configuration.
func (w *Watcher) pollHosts(ctx context.Context) {
	list, err := w.client.Hosts(ctx)
	if err != nil {
		w.log.Warn("reading the platform's host list failed; retrying at the next poll", "op", "hosts", "err", err)
		return
	}
	if list.Revision == 0 || slices.Equal(list.Hosts, w.hosts) {
		return
	}
	spec, err := json.Marshal(wire.HostsSpec{Leaving: leavingHosts(list.Hosts)})
	if err != nil {
		w.log.Error("cannot encode the list of leaving hosts", "op", "hosts", "err", err)
		return
	}
	w.hosts = list.Hosts
	w.accept(ctx, []*peerpb.Record{{
		Kind: wire.KindHosts, Name: wire.NameHosts, Version: list.Revision, Spec: spec,
	}}, "platform")
}

func leavingHosts(hosts []wire.HostEntry) []string {
	var leaving []string
	for _, h := range hosts {
		if h.Leaving {
			leaving = append(leaving, h.Host)
		}
	}
	slices.Sort(leaving)
	return leaving
}
