package watch

import (
	"strings"

	"rosemarygrade.dev/lib/pkg/plan"
)

const (
	// maxLoggedChanges is how many changes that come together are logged as a line each.
	maxLoggedChanges = 8
	// maxLoggedNames is how many backend servers the line for more changes names as leaving, and how many as removed.
	maxLoggedNames = 256
)

// batch collects what is logged of one listing.
type batch struct {
	origin plan.Origin
	// bulk means that the changes are logged as one line.
	bulk bool
	// leaving and removed name the backend servers that must get no new requests from this listing on.
	leaving, removed []string
}

func (b *batch) noteChange(old, c plan.Change) {
	spec, ok := c.Resource.(plan.BackendSpec)
	before, _ := old.Resource.(plan.BackendSpec)
	if ok && spec.Leaving && (!before.Leaving || before.Incarnation != spec.Incarnation) {
		b.leaving = append(b.leaving, spec.ID)
	}
}

func (b *batch) noteRemoval(old plan.Change) {
	if spec, ok := old.Resource.(plan.BackendSpec); ok && !spec.Leaving {
		b.removed = append(b.removed, spec.ID)
	}
}

// logBatch logs a listing as one line if its changes are not logged as a line each.
func (s *State) logBatch(msg string, t plan.Topic, l plan.Listing) {
	if !s.batch.bulk {
		return
	}
	s.log.Info(msg, append(originAttrs(s.batch.origin), "event", "loaded", "topic", string(t), "count", len(l.Changes), "revision", l.Revision,
		"leaving", joinNames(s.batch.leaving), "removed", joinNames(s.batch.removed))...)
}

func joinNames(names []string) string {
	return strings.Join(names[:min(len(names), maxLoggedNames)], ",")
}

// originAttrs returns the attributes of a log line that tell from where a listing came.
func originAttrs(o plan.Origin) []any {
	attrs := []any{"via", string(o.Via)}
	if o.Peer != "" {
		attrs = append(attrs, "peer", o.Peer)
	}
	if o.Age > 0 {
		attrs = append(attrs, "ageMillis", o.Age.Milliseconds())
	}
	return attrs
}
