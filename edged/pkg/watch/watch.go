package watch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"rosemarygrade.dev/lib/pkg/plan"
)

// Times of following.
const (
	// watchWait is how long one watch waits; a silent one is found by the probe.
	watchWait = 10 * time.Second
	// answerWait is how long the source may take beyond that; its answers take 4 ms, 240 ms when slow.
	answerWait = time.Second
	// firstPause and lastPause bound the pause between failed calls.
	firstPause = 100 * time.Millisecond
	lastPause  = time.Second
	// probeEvery and probeWait let another host take over well within the 2.5 s of a leaving backend server.
	probeEvery = 700 * time.Millisecond
	probeWait  = 600 * time.Millisecond
	// eventWait is how long the event of a change may take beyond the answer that tells of it.
	eventWait = 300 * time.Millisecond
	// idlePause is how often a host that does not follow asks whether it should: a wake-up costs processor time on each of
	// many hosts, and a change must be in force 2.5 s after it.
	idlePause = 200 * time.Millisecond
)

// Follower follows a source while it is one of those that should.
type Follower struct {
	source plan.Store
	state  *State
	log    *slog.Logger
	watch  Watchers

	mu      sync.Mutex
	watches map[plan.Topic]context.CancelFunc
}

// Watchers divides the following of the source among the hosts.
type Watchers interface {
	// IsWatcher tells whether this host is to follow now.
	IsWatcher(now time.Time) bool
	// SetStore says whether this host reaches the source.
	SetStore(ok bool)
}

// New returns a follower.
func New(source plan.Store, state *State, watch Watchers, log *slog.Logger) *Follower {
	return &Follower{source: source, state: state, watch: watch, log: log, watches: map[plan.Topic]context.CancelFunc{}}
}

// Run follows one topic until the context ends.
func (f *Follower) Run(ctx context.Context, t plan.Topic) error {
	pause := firstPause
	listed := false
	for ctx.Err() == nil {
		if !f.watch.IsWatcher(time.Now()) {
			listed = false
			sleep(ctx, idlePause)
			continue
		}
		err := f.step(ctx, t, listed)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			if f.state.Back(time.Now()) {
				f.log.Info("store regained", "event", "regained", "topic", string(t))
			}
			listed, pause = true, firstPause
			continue
		}
		f.failed(t, err, listed)
		if listed {
			// A watch may end for its own reasons; the list that follows tells whether the store answers.
			listed = false
			continue
		}
		sleep(ctx, pause/2+rand.N(pause))
		pause = min(lastPause, pause*2)
	}
	return nil
}

// Probe asks the source for its revision while this host follows it. A watch that brings nothing does not
// tell a calm source from one that is cut off or whose history was dropped.
func (f *Follower) Probe(ctx context.Context) error {
	// read is the highest revision at which every topic was read anew.
	var read, asked uint64
	for ctx.Err() == nil {
		sleep(ctx, probeEvery)
		if !f.watch.IsWatcher(time.Now()) {
			continue
		}
		call, cancel := context.WithTimeout(ctx, probeWait)
		rev, err := f.source.Revision(call)
		cancel()
		if ctx.Err() != nil {
			return nil
		}
		f.watch.SetStore(err == nil)
		if err != nil {
			f.log.Warn("store does not answer", "event", "lost", "error", err)
			f.interrupt()
			continue
		}
		if asked > 0 && f.state.ReadAll(asked, plan.Topics()...) {
			read, asked = asked, 0
		}
		if rev <= max(read, f.state.Newest()) {
			continue
		}
		sleep(ctx, eventWait)
		if rev > max(read, f.state.Newest()) {
			f.log.Warn("watches miss changes", "event", "missed", "revision", rev)
			asked = rev
			f.interrupt()
		}
	}
	return nil
}

// interrupt ends the watches under way, whose connections may be silent.
func (f *Follower) interrupt() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, cancel := range f.watches {
		cancel()
	}
	f.source.CloseIdleConnections()
}

func (f *Follower) failed(t plan.Topic, err error, listed bool) {
	f.log.Warn("store call failed", "event", "lost", "topic", string(t), "watch", listed, "error", err)
	if !listed {
		f.state.Away(time.Now())
		f.source.CloseIdleConnections()
	}
}

// step makes one call: a list first, then watches from its revision.
func (f *Follower) step(ctx context.Context, t plan.Topic, listed bool) error {
	if !listed {
		call, cancel := context.WithTimeout(ctx, answerWait)
		defer cancel()
		l, err := f.source.List(call, time.Now(), t)
		if err != nil {
			return err
		}
		f.state.Replace(time.Now(), t, l)
		return nil
	}
	rev, _ := f.state.Revision(t)
	call, cancel := context.WithTimeout(ctx, watchWait+answerWait)
	defer cancel()
	f.mu.Lock()
	f.watches[t] = cancel
	f.mu.Unlock()
	l, err := f.source.Watch(call, t, rev, watchWait)
	if err != nil {
		return err
	}
	f.state.Update(time.Now(), t, l)
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
