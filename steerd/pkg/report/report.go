// Package report writes the status of objects to the platform. Each object has one reporter, elected
// by rendezvous hashing; two reporters of an object at the same time are harmless because status
// writes are conditional.
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

const (
	writesPerSecond = 5
	writesBurst     = 20
	// minWriteInterval is the shortest time between two writes for one object.
	minWriteInterval = time.Second
	// settlePeriod is how long after an object's last change its counts of processes are still written
	// without waiting for minCountInterval.
	settlePeriod = 15 * time.Second
	// minCountInterval is the shortest time between two writes that change only counts of processes. A
	// change of any object changes the counts of every object, and the platform can't handle that many
	// writes.
	minCountInterval = time.Minute
)

// Reporter writes the status of the objects for which this steerd is the reporter.
type Reporter struct {
	node       *node.Node
	client     object.Client
	log        *slog.Logger
	limiter    *rate.Limiter
	written    map[store.Key]writtenStatus
	assignment assignment
}

// writtenStatus is the last status that this reporter wrote for an object.
type writtenStatus struct {
	status    wire.Status
	writtenAt time.Time
	// changedAt is the time of the last write that changed more than the counts of processes.
	changedAt time.Time
}

// canWait reports whether the write of next can wait until minCountInterval has passed, because only counts
// of processes differ and the settle period is over.
func (w writtenStatus) canWait(now time.Time, next wire.Status) bool {
	return w.onlyCountsDiffer(next) && now.Sub(w.changedAt) > settlePeriod && now.Sub(w.writtenAt) < minCountInterval
}

// onlyCountsDiffer reports whether next equals the written status apart from counts of processes.
func (w writtenStatus) onlyCountsDiffer(next wire.Status) bool {
	next.HostsInForce, next.HostsKnown = w.status.HostsInForce, w.status.HostsKnown
	return next == w.status
}

// New returns a reporter.
func New(n *node.Node, client object.Client, log *slog.Logger) *Reporter {
	return &Reporter{
		node: n, client: client, log: log,
		limiter: rate.NewLimiter(writesPerSecond, writesBurst), written: map[store.Key]writtenStatus{},
		assignment: assignment{host: n.Host()},
	}
}

// Round writes the statuses that have changed since they were last written, within the rate limit.
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
			r.log.Warn("writing an object's status to the platform failed; retrying in the next round", "op", "status", "kind", key.Kind, "name", key.Name, "err", err)
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

// Due returns the statuses that have to be written, by object. The Version of each is the one that the
// platform gave to the last write, which the next write must name.
func (r *Reporter) Due(now time.Time) map[store.Key]wire.Status {
	r.assignment.update(r.node.Steerds(now, func(*peerpb.Member) bool { return true }))
	hash := r.node.Store().Hash()
	var (
		active, known int
		inFlight      map[string]int
	)
	r.node.WithTable(func(t *member.Table) { active, known, inFlight = t.RolloutStatus(now, hash) })
	out := map[store.Key]wire.Status{}
	for key, e := range r.node.Store().Entries() {
		if e.Record().GetDeleted() || key.Kind == wire.KindHosts {
			delete(r.written, key)
			continue
		}
		last := r.written[key]
		if now.Sub(last.writtenAt) < minWriteInterval || !r.assignment.isElected(key) {
			continue
		}
		st := statusOf(key, e, active, known, inFlight)
		st.Reporter = r.node.Host()
		st.Version = last.status.Version
		if st != last.status && !last.canWait(now, st) {
			out[key] = st
		}
	}
	return out
}

func statusOf(key store.Key, e *store.Entry, active, known int, inFlight map[string]int) wire.Status {
	rec := e.Record()
	st := wire.Status{
		ObservedVersion: rec.GetVersion(), ForceVersion: rec.GetForceVersion(),
		HostsInForce: active, HostsKnown: known,
		InFlight: inFlight[key.Kind+"/"+key.Name], Reason: e.Reason(),
	}
	if key.Kind != wire.KindDrain && key.Kind != wire.KindRecall {
		return st
	}
	switch {
	case st.Reason != "":
	case active < known:
		st.Reason = "not yet in force on every host"
	case st.InFlight > 0:
		st.Reason = "requests are still in flight"
	default:
		st.Done = true
	}
	return st
}

// write replaces the object's status at the platform, even if another reporter wrote it.
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
		r.recordWrite(now, key, st)
		return nil
	}
	if err != nil {
		return err
	}
	st.Version++
	r.recordWrite(now, key, st)
	r.log.Debug("wrote an object's status to the platform", "kind", key.Kind, "name", key.Name, "inForce", st.HostsInForce, "known", st.HostsKnown)
	return nil
}

// recordWrite stores the status as the last one written.
func (r *Reporter) recordWrite(now time.Time, key store.Key, st wire.Status) {
	next := writtenStatus{status: st, writtenAt: now, changedAt: now}
	old := r.written[key]
	old.status.Version = st.Version
	if old.onlyCountsDiffer(st) {
		next.changedAt = old.changedAt
	}
	r.written[key] = next
}
