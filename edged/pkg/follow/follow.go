package follow

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"rosemarygrade.dev/lib/pkg/plan"
)

// Times of following.
const (
	// watchWait is how long one watch waits; a silent connection is found after it.
	watchWait = 4 * time.Second
	// answerWait is how long the source may take beyond that; its answers take 4 ms, 240 ms when slow.
	answerWait = time.Second
	// firstPause and lastPause bound the pause between failed calls.
	firstPause = 100 * time.Millisecond
	lastPause  = time.Second
	// idlePause is how often a host that does not follow asks whether it should.
	idlePause = 50 * time.Millisecond
)

// Follower follows a source while it is one of those that should.
type Follower struct {
	source plan.Source
	state  *State
	log    *slog.Logger
	// duty tells whether this host is to follow now.
	duty func(now time.Time) bool
}

// New returns a follower.
func New(source plan.Source, state *State, duty func(now time.Time) bool, log *slog.Logger) *Follower {
	return &Follower{source: source, state: state, duty: duty, log: log}
}

// Run follows one topic until the context ends.
func (f *Follower) Run(ctx context.Context, t plan.Topic) error {
	pause := firstPause
	listed := false
	for ctx.Err() == nil {
		if !f.duty(time.Now()) {
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

func (f *Follower) failed(t plan.Topic, err error, listed bool) {
	f.log.Warn("store call failed", "event", "lost", "topic", string(t), "watch", listed, "error", err)
	if !listed {
		f.state.Away(time.Now())
		f.source.Drop()
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
	l, err := f.source.Watch(call, t, rev, watchWait)
	if err != nil {
		return err
	}
	f.state.Change(time.Now(), t, l)
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
