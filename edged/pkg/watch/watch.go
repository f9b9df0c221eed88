package watch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"rosemarygrade.dev/lib/pkg/plan"
)

// Timeouts and intervals of calls to the store.
const (
	// watchTimeout is how long one watch call waits for changes. A stalled watch is found earlier, by Probe.
	watchTimeout = 10 * time.Second
	// responseTimeout is how long a response may take, for a watch in addition to watchTimeout. The store responds in
	// 4 ms, or in 240 ms when it is slow.
	responseTimeout = time.Second
	// minBackoff and maxBackoff are the bounds of the delay after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// probeInterval and probeTimeout must let another host take over as a watcher well within 2.5 s, the time that a
	// backend server stays up after it announced that it leaves.
	probeInterval = 700 * time.Millisecond
	probeTimeout  = 600 * time.Millisecond
	// eventDelay is how much later than a probe's response a watch may deliver a change that the response includes. It covers
	// watchPause.
	eventDelay = 450 * time.Millisecond
	// watchPause is the time between two watches of a topic if the first one had changes, so that changes in quick succession
	// come in one response.
	watchPause = 150 * time.Millisecond
	// retryInterval is the time between probes of a host that does not reach the store while others watch it.
	retryInterval = 2 * time.Second
	// membersInterval is how often a watcher lists the hosts of the system. Hosts learn of each other by heartbeats; the list is
	// for those that can't reach the seeds.
	membersInterval = 10 * time.Second
)

// WatchedTopics returns the topics that are watched. The hosts of the system are listed from time to time by Probe: each
// registration would end all watches of them.
func WatchedTopics() []plan.Topic {
	return []plan.Topic{plan.TopicConfig, plan.TopicBackends, plan.TopicDrains}
}

// Watcher lists and watches the store while its host is elected to do so.
type Watcher struct {
	source   plan.Store
	state    *State
	log      *slog.Logger
	election Election

	mu      sync.Mutex
	watches map[plan.Topic]context.CancelFunc
}

// Election decides which hosts watch the store.
type Election interface {
	// IsWatcher reports whether this host is to watch the store.
	IsWatcher(now time.Time) bool
	// MustRetry reports whether this host did not reach the store last time, so that it can't be elected before it does.
	MustRetry() bool
	// Elected returns a channel that is closed once this host is to watch the store.
	Elected() <-chan struct{}
	// SetStoreReachable records whether this host reaches the store.
	SetStoreReachable(ok bool)
	// PeersReachStore reports whether other hosts have reached the store for some time.
	PeersReachStore(now time.Time) bool
}

// New returns a watcher that keeps state up to date from source.
func New(source plan.Store, state *State, election Election, log *slog.Logger) *Watcher {
	return &Watcher{source: source, state: state, election: election, log: log, watches: map[plan.Topic]context.CancelFunc{}}
}

// Run keeps one topic up to date until the context ends, while this host is a watcher.
func (w *Watcher) Run(ctx context.Context, t plan.Topic) error {
	backoff := minBackoff
	listed := false
	for ctx.Err() == nil {
		if !w.election.IsWatcher(time.Now()) {
			listed = false
			w.state.Relinquish()
			w.awaitElection(ctx)
			continue
		}
		err := w.listOrWatch(ctx, t, listed)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			if !listed {
				// Peers learn it before the next probe: until then, the host that watched before goes on.
				w.election.SetStoreReachable(true)
			}
			if w.state.SetAvailable(time.Now()) {
				w.log.Info("store is available again", "event", "regained", "topic", string(t))
			}
			listed, backoff = true, minBackoff
			continue
		}
		w.handleError(t, err, listed)
		if listed {
			// A failed watch does not mean that the store is unavailable; the next call, a list, shows whether it is.
			listed = false
			continue
		}
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(maxBackoff, backoff*2)
	}
	return nil
}

// Probe asks the store for its revision every probeInterval while this host is a watcher, until the context ends. From a
// watch that delivers nothing, a host can't tell a store without changes from one that is cut off or has compacted its
// history.
func (w *Watcher) Probe(ctx context.Context) error {
	var membersAt time.Time
	for ctx.Err() == nil {
		sleep(ctx, probeInterval)
		if !w.election.IsWatcher(time.Now()) {
			if !w.election.MustRetry() {
				w.awaitElection(ctx)
				continue
			}
			sleep(ctx, retryInterval)
		}
		call, cancel := context.WithTimeout(ctx, probeTimeout)
		rev, err := w.source.Revision(call)
		cancel()
		if ctx.Err() != nil {
			return nil
		}
		w.election.SetStoreReachable(err == nil)
		if err != nil {
			w.log.Warn("store did not respond to a probe", "event", "lost", "error", err)
			w.cancelWatches(WatchedTopics()...)
			continue
		}
		if !w.election.IsWatcher(time.Now()) {
			continue
		}
		if now := time.Now(); now.Sub(membersAt) >= membersInterval {
			membersAt = now
			w.listMembers(ctx)
		}
		if len(w.state.MissedTopics(rev, WatchedTopics()...)) == 0 {
			continue
		}
		sleep(ctx, eventDelay)
		if len(w.state.MissedTopics(rev, WatchedTopics()...)) > 0 {
			// The change may be the registration of a host.
			w.listMembers(ctx)
		}
		if missed := w.state.MissedTopics(rev, WatchedTopics()...); len(missed) > 0 {
			w.log.Warn("watches stalled: the store has changes that they did not deliver", "event", "missed", "revision", rev, "topics", missed)
			w.cancelWatches(missed...)
		}
	}
	return nil
}

// awaitElection waits until this host is a watcher or ctx ends.
func (w *Watcher) awaitElection(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-w.election.Elected():
	}
}

// listMembers reads the hosts of the system. A failure is left to the next call.
func (w *Watcher) listMembers(ctx context.Context) {
	if err := w.listOrWatch(ctx, plan.TopicMembers, false); err != nil {
		w.log.Debug("listing the hosts failed", "event", "lost", "topic", string(plan.TopicMembers), "error", err)
	}
}

// cancelWatches cancels the watches of topics that are in progress, so that the topics are listed again, and closes the idle connections
// to the store, which may be stalled.
func (w *Watcher) cancelWatches(topics ...plan.Topic) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range topics {
		if cancel := w.watches[t]; cancel != nil {
			cancel()
		}
	}
	w.source.CloseIdleConnections()
}

// handleError logs a failed call. A failed list call means that the store is unavailable to this host: another one takes over at once, as
// the next probe may be most of probeInterval away.
func (w *Watcher) handleError(t plan.Topic, err error, listed bool) {
	w.log.Warn("call to the store failed", "event", "lost", "topic", string(t), "watch", listed, "error", err)
	if !listed {
		w.state.SetLocalOutage(w.election.PeersReachStore(time.Now()))
		w.state.SetUnavailable(time.Now())
		w.election.SetStoreReachable(false)
		w.source.CloseIdleConnections()
	}
}

// listOrWatch makes one call for a topic: a list, or once it is listed, a watch from its revision.
func (w *Watcher) listOrWatch(ctx context.Context, t plan.Topic, listed bool) error {
	if !listed {
		call, cancel := context.WithTimeout(ctx, responseTimeout)
		defer cancel()
		l, err := w.source.List(call, time.Now(), t)
		if err != nil {
			return err
		}
		l.Origin = plan.Origin{Via: plan.ViaList}
		if err := w.catchUp(ctx, t, l, true); err != nil {
			return err
		}
		w.state.SetLocalOutage(w.election.PeersReachStore(time.Now()))
		w.state.Replace(time.Now(), t, l)
		return nil
	}
	rev, _ := w.state.Revision(t)
	call, cancel := context.WithTimeout(ctx, watchTimeout+responseTimeout)
	defer cancel()
	w.mu.Lock()
	w.watches[t] = cancel
	w.mu.Unlock()
	l, err := w.source.Watch(call, t, rev, watchTimeout)
	if err != nil {
		return err
	}
	if err := w.catchUp(ctx, t, l, false); err != nil {
		return err
	}
	l.Origin = plan.Origin{Via: plan.ViaWatch}
	w.state.Update(time.Now(), t, l)
	if len(l.Changes) > 0 {
		sleep(ctx, watchPause)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
