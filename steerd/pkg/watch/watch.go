// Package watch follows the platform's objects while this steerd is one of its region's watchers.
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

// Times of the watcher.
const (
	watchWait    = 20 * time.Second
	idlePause    = 500 * time.Millisecond
	backoffFirst = 200 * time.Millisecond
	backoffMax   = 10 * time.Second
	hostsEvery   = 2 * time.Second
)

// Accept takes in the records of the platform.
type Accept func(ctx context.Context, records []*peerpb.Record, source string)

// Watcher follows the platform.
type Watcher struct {
	node     *node.Node
	client   object.Client
	accept   Accept
	watchers int
	log      *slog.Logger
	revision uint64
	leaving  []wire.HostEntry
}

// New returns a watcher. Watchers is how many steerds of a region watch.
func New(n *node.Node, client object.Client, accept Accept, watchers int, log *slog.Logger) *Watcher {
	return &Watcher{node: n, client: client, accept: accept, watchers: watchers, log: log}
}

// Chosen tells whether this steerd is a watcher at present. A steerd without any configuration
// asks the platform whatever its rank, so that the first one of a fleet can start.
func (w *Watcher) Chosen(now time.Time) bool {
	if !w.node.Ready() {
		return true
	}
	peers := w.node.Steerds(now, func(m *peerpb.Member) bool { return m.GetRegion() == w.node.Region() })
	return rank.Within("watcher/"+w.node.Region(), w.watchers, peers, (*peerpb.Member).GetHost, w.node.Host())
}

// Run follows the platform until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = backoffFirst, backoffMax
	for ctx.Err() == nil {
		if !w.Chosen(time.Now()) {
			w.revision = 0
			sleep.For(ctx, idlePause)
			continue
		}
		if err := w.Step(ctx); err != nil {
			w.log.Warn("platform", "op", "watch", "err", err)
			sleep.For(ctx, wait.NextBackOff())
			continue
		}
		wait.Reset()
	}
	return nil
}

// Step lists or watches once.
func (w *Watcher) Step(ctx context.Context) error {
	var (
		l   object.Listing
		err error
	)
	if w.revision == 0 {
		l, err = w.client.List(ctx)
	} else {
		l, err = w.client.Watch(ctx, w.revision, watchWait)
	}
	if object.Is(err, object.KindTooOld) {
		w.revision = 0
		return nil
	}
	if err != nil {
		return err
	}
	records := make([]*peerpb.Record, 0, len(l.Objects))
	for _, o := range l.Objects {
		records = append(records, store.FromWire(o))
	}
	w.accept(ctx, records, "platform")
	w.node.SetReady()
	// A stale replica may answer with a lower revision; the watch goes on from the highest.
	w.revision = max(w.revision, l.Revision)
	return nil
}

// Hosts polls the platform's host list while this steerd is a watcher.
func (w *Watcher) Hosts(ctx context.Context) error {
	for ctx.Err() == nil {
		if w.node.Ready() && w.Chosen(time.Now()) {
			w.pollHosts(ctx)
		}
		sleep.For(ctx, hostsEvery+time.Duration(rand.Int64N(int64(idlePause))))
	}
	return nil
}

// pollHosts offers the list of leaving hosts as one object, so that it spreads as configuration does.
func (w *Watcher) pollHosts(ctx context.Context) {
	list, err := w.client.Hosts(ctx)
	if err != nil {
		w.log.Warn("platform", "op", "hosts", "err", err)
		return
	}
	if list.Revision == 0 || slices.Equal(list.Hosts, w.leaving) {
		return
	}
	spec, err := json.Marshal(wire.HostsSpec{Leaving: leavingHosts(list.Hosts)})
	if err != nil {
		w.log.Error("platform", "op", "hosts", "err", err)
		return
	}
	w.leaving = list.Hosts
	w.accept(ctx, []*peerpb.Record{{
		Kind: wire.KindHosts, Name: wire.NameHosts, Version: list.Revision, Spec: spec,
	}}, "platform")
}

func leavingHosts(hosts []wire.HostEntry) []string {
	var out []string
	for _, h := range hosts {
		if h.Leaving {
			out = append(out, h.Host)
		}
	}
	slices.Sort(out)
	return out
}
