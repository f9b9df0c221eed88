// Package report writes the status of objects to the platform. Each object has one reporter,
// ranked by hash; two reporters at once do no harm because status writes are conditional.
package report

import (
	"context"
	"log/slog"
	"sort"
	"time"

	"golang.org/x/time/rate"

	"rosemarygrade.dev/lib/pkg/member"
	"rosemarygrade.dev/lib/pkg/object"
	"rosemarygrade.dev/lib/pkg/peerpb"
	"rosemarygrade.dev/lib/pkg/store"
	"rosemarygrade.dev/lib/pkg/wire"
	"rosemarygrade.dev/steerd/pkg/node"
)

// Limits of one reporter.
const (
	writesPerSecond = 5
	writesBurst     = 20
	minInterval     = time.Second
	// settleTime is how long after its last change an object's count of processes is written at once.
	settleTime = 15 * time.Second
	// countInterval is the time between two writes that change nothing but counts of processes. A
	// change of any object moves every object's counts, and the platform can't take them all.
	countInterval = time.Minute
)

// Reporter writes status of the objects that fall to this steerd.
type Reporter struct {
	node    *node.Node
	client  object.Client
	log     *slog.Logger
	limiter *rate.Limiter
	written map[store.Key]written
	duty    duty
}

// written is the last status that this reporter wrote.
type written struct {
	status wire.Status
	at     time.Time
	// changed is when something other than counts changed.
	changed time.Time
}

// waits tells whether a new status may wait, because only counts of processes have changed.
func (w written) waits(now time.Time, next wire.Status) bool {
	return w.onlyCounts(next) && now.Sub(w.changed) > settleTime && now.Sub(w.at) < countInterval
}

func (w written) onlyCounts(next wire.Status) bool {
	next.HostsInForce, next.HostsKnown = w.status.HostsInForce, w.status.HostsKnown
	return next == w.status
}

// New returns a reporter.
func New(n *node.Node, client object.Client, log *slog.Logger) *Reporter {
	return &Reporter{
		node: n, client: client, log: log,
		limiter: rate.NewLimiter(writesPerSecond, writesBurst), written: map[store.Key]written{},
		duty: duty{host: n.Host()},
	}
}

// Round writes what changed since the last round, as far as the rate allows.
func (r *Reporter) Round(ctx context.Context, now time.Time) {
	if !r.node.Ready() {
		return
	}
	due := r.Due(now)
	for _, key := range sortedKeys(due) {
		if !r.limiter.AllowN(now, 1) {
			return
		}
		if err := r.write(ctx, now, key, due[key]); err != nil {
			r.log.Warn("platform", "op", "status", "kind", key.Kind, "name", key.Name, "err", err)
			return
		}
	}
}

func sortedKeys(m map[store.Key]wire.Status) []store.Key {
	keys := make([]store.Key, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		return keys[i].Kind < keys[j].Kind || (keys[i].Kind == keys[j].Kind && keys[i].Name < keys[j].Name)
	})
	return keys
}

// Due returns the status of each object that this steerd reports and that has changed.
func (r *Reporter) Due(now time.Time) map[store.Key]wire.Status {
	r.duty.renew(r.node.Steerds(now, func(*peerpb.Member) bool { return true }))
	hash := r.node.Store().Hash()
	var (
		inForce, known int
		holds          map[string]int
	)
	r.node.With(func(t *member.Table) { inForce, known, holds = t.RolloutStatus(now, hash) })
	out := map[store.Key]wire.Status{}
	for key, e := range r.node.Store().Entries() {
		if e.Record().GetDeleted() || key.Kind == wire.KindHosts {
			delete(r.written, key)
			continue
		}
		last := r.written[key]
		if now.Sub(last.at) < minInterval || !r.duty.has(key) {
			continue
		}
		st := statusOf(key, e, inForce, known, holds)
		st.Reporter = r.node.Host()
		st.Version = last.status.Version
		if st != last.status && !last.waits(now, st) {
			out[key] = st
		}
	}
	return out
}

func statusOf(key store.Key, e *store.Entry, inForce, known int, holds map[string]int) wire.Status {
	rec := e.Record()
	st := wire.Status{
		ObservedVersion: rec.GetVersion(), ForceVersion: rec.GetForceVersion(),
		HostsInForce: inForce, HostsKnown: known,
		InFlight: holds[key.Kind+"/"+key.Name], Reason: e.Reason(),
	}
	if key.Kind != wire.KindDrain && key.Kind != wire.KindRecall {
		return st
	}
	switch {
	case st.Reason != "":
	case inForce < known:
		st.Reason = "not yet in force on every host"
	case st.InFlight > 0:
		st.Reason = "requests are still in flight"
	default:
		st.Done = true
	}
	return st
}

// write replaces the status that stands at the platform, whoever wrote it.
func (r *Reporter) write(ctx context.Context, now time.Time, key store.Key, st wire.Status) error {
	err := r.client.PutStatus(ctx, key.Kind, key.Name, st, st.Version)
	if object.Is(err, object.KindConflict) {
		o, gerr := r.client.Get(ctx, key.Kind, key.Name)
		if gerr != nil {
			return gerr
		}
		if o.Status != nil {
			st.Version = o.Status.Version
		}
		err = r.client.PutStatus(ctx, key.Kind, key.Name, st, st.Version)
	}
	if object.Is(err, object.KindNotFound) {
		r.note(now, key, st)
		return nil
	}
	if err != nil {
		return err
	}
	st.Version++
	r.note(now, key, st)
	r.log.Debug("status", "kind", key.Kind, "name", key.Name, "inForce", st.HostsInForce, "known", st.HostsKnown)
	return nil
}

// note remembers what was written.
func (r *Reporter) note(now time.Time, key store.Key, st wire.Status) {
	next := written{status: st, at: now, changed: now}
	old := r.written[key]
	old.status.Version = st.Version
	if old.onlyCounts(st) {
		next.changed = old.changed
	}
	r.written[key] = next
}
