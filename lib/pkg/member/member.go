// Package member keeps a process's view of the cluster membership: a heartbeat for each member of the local
// data centre, and one summary for each other data centre. It does not communicate itself.
package member

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"rosemarygrade.dev/lib/pkg/peerpb"
)

// Timeouts holds the failure detection timeouts.
type Timeouts struct {
	// Member is how long a member of the local data centre stays alive without a new heartbeat.
	Member time.Duration
	// DataCentre is how long the members of another data centre stay alive without a new summary.
	DataCentre time.Duration
}

// expiryTimeouts is the number of member timeouts after which a failed member's record is deleted. Until then, an
// old heartbeat that a peer still sends does not make the member alive again.
const expiryTimeouts = 20

// memberState is a member with its last heartbeat. The record is shared with the code that reads the
// table and never changed, so the seq, which each heartbeat increases, is a field of its own.
type memberState struct {
	member        *peerpb.Member
	seq           uint64
	lastHeartbeat time.Time
}

// record returns a copy of the record with the current seq.
func (it *memberState) record() *peerpb.Member {
	m := proto.CloneOf(it.member)
	m.Seq = it.seq
	return m
}

type centreState struct {
	summary *peerpb.Centre
	// updated is when a summary with the current stamp was received or created.
	updated time.Time
}

// Table holds the members and summaries that a process has received. It is not safe for concurrent use.
type Table struct {
	dataCentre string
	timeouts   Timeouts
	members    map[uint64]*memberState
	centres    map[string]*centreState
}

// New returns a table for a process in the data centre.
func New(dataCentre string, timeouts Timeouts) *Table {
	return &Table{
		dataCentre: dataCentre, timeouts: timeouts,
		members: map[uint64]*memberState{}, centres: map[string]*centreState{},
	}
}

// Observe handles the record of a member. A new incarnation or a higher seq counts as a heartbeat. Records of
// other data centres are ignored.
func (t *Table) Observe(now time.Time, m *peerpb.Member) {
	if m.GetDataCentre() != t.dataCentre || m.GetIncarnation() == 0 {
		return
	}
	it := t.members[m.GetIncarnation()]
	if it == nil {
		t.members[m.GetIncarnation()] = &memberState{member: proto.CloneOf(m), seq: m.GetSeq(), lastHeartbeat: now}
		return
	}
	if m.GetSeq() > it.seq {
		it.recordHeartbeat(now, m.GetSeq())
	}
	if m.GetRevision() > it.member.GetRevision() {
		it.member = proto.CloneOf(m)
	}
}

func (it *memberState) recordHeartbeat(now time.Time, seq uint64) {
	it.seq = seq
	it.lastHeartbeat = now
}

// Heartbeats holds the heartbeats of several members as three columns of equal length: for each incarnation, the
// number of its last heartbeat and the revision of its record.
type Heartbeats struct {
	Incarnations []uint64
	Seqs         []uint64
	Revisions    []uint64
}

// Heartbeats returns the heartbeats of the alive members of the local data centre.
func (t *Table) Heartbeats(now time.Time) Heartbeats {
	var b Heartbeats
	for inc, it := range t.members {
		if !t.isAlive(now, it) {
			continue
		}
		b.Incarnations = append(b.Incarnations, inc)
		b.Seqs = append(b.Seqs, it.seq)
		b.Revisions = append(b.Revisions, it.member.GetRevision())
	}
	return b
}

// Merge handles a peer's heartbeats. It returns the incarnations whose record this process lacks or has in
// an older revision, and the records that the peer lacks or has in an older revision.
func (t *Table) Merge(now time.Time, b Heartbeats) (wanted []uint64, missing []*peerpb.Member) {
	if len(b.Seqs) != len(b.Incarnations) || len(b.Revisions) != len(b.Incarnations) {
		return nil, nil
	}
	peer := make(map[uint64]uint64, len(b.Incarnations))
	for i, inc := range b.Incarnations {
		peer[inc] = b.Revisions[i]
		it := t.members[inc]
		if it == nil {
			wanted = append(wanted, inc)
			continue
		}
		if b.Seqs[i] > it.seq {
			it.recordHeartbeat(now, b.Seqs[i])
		}
		if b.Revisions[i] > it.member.GetRevision() {
			wanted = append(wanted, inc)
		}
	}
	for inc, it := range t.members {
		rev, found := peer[inc]
		if t.isAlive(now, it) && (!found || rev < it.member.GetRevision()) {
			missing = append(missing, it.record())
		}
	}
	return wanted, missing
}

// Records returns the records of the incarnations, without those that the table does not hold.
func (t *Table) Records(incarnations []uint64) []*peerpb.Member {
	var out []*peerpb.Member
	for _, inc := range incarnations {
		if it := t.members[inc]; it != nil {
			out = append(out, it.record())
		}
	}
	return out
}

func (t *Table) isAlive(now time.Time, it *memberState) bool {
	return now.Sub(it.lastHeartbeat) < t.timeouts.Member
}

// Expire deletes the records of members without a heartbeat for expiryTimeouts member timeouts.
func (t *Table) Expire(now time.Time) {
	for inc, it := range t.members {
		if now.Sub(it.lastHeartbeat) > expiryTimeouts*t.timeouts.Member {
			delete(t.members, inc)
		}
	}
}

// LocalAlive returns the alive members of the local data centre, sorted by host and role. Where two incarnations
// of a process are within the timeout, only the one with the latest heartbeat is returned. The records are
// shared: they must not be changed.
func (t *Table) LocalAlive(now time.Time) []*peerpb.Member {
	type processKey struct {
		host string
		role peerpb.Role
	}
	newest := map[processKey]*memberState{}
	for _, it := range t.members {
		if !t.isAlive(now, it) {
			continue
		}
		k := processKey{host: it.member.GetHost(), role: it.member.GetRole()}
		if n := newest[k]; n == nil || moreRecent(it, n) {
			newest[k] = it
		}
	}
	out := make([]*peerpb.Member, 0, len(newest))
	for _, it := range newest {
		out = append(out, it.member)
	}
	sortMembers(out)
	return out
}

func moreRecent(a, b *memberState) bool {
	if !a.lastHeartbeat.Equal(b.lastHeartbeat) {
		return a.lastHeartbeat.After(b.lastHeartbeat)
	}
	return a.member.GetIncarnation() > b.member.GetIncarnation()
}

func sortMembers(m []*peerpb.Member) {
	slices.SortFunc(m, func(a, b *peerpb.Member) int {
		return cmp.Or(cmp.Compare(a.GetHost(), b.GetHost()), cmp.Compare(a.GetRole(), b.GetRole()))
	})
}

// Alive returns all alive members: those of the local data centre, then those in the summaries of the others,
// sorted by data centre. The records are shared: they must not be changed.
func (t *Table) Alive(now time.Time) []*peerpb.Member {
	out := t.LocalAlive(now)
	for _, dc := range slices.Sorted(maps.Keys(t.centres)) {
		c := t.centres[dc]
		if dc != t.dataCentre && now.Sub(c.updated) < t.timeouts.DataCentre {
			out = append(out, c.summary.GetMembers()...)
		}
	}
	return out
}

// Interval after which an unchanged summary gets a new stamp. It grows with the number of data centres, so
// that the stamps of all data centres together stay a small part of the gossip.
const (
	minSummaryInterval       = time.Second
	summaryIntervalPerCentre = 50 * time.Millisecond
)

func (t *Table) summaryInterval() time.Duration {
	return max(minSummaryInterval, time.Duration(len(t.centres))*summaryIntervalPerCentre)
}

// Summarize returns the local data centre's summary, with a stamp above every stamp received for it. An unchanged
// summary keeps its stamp until the interval has passed, so that it is not gossiped to all data centres again.
func (t *Table) Summarize(now time.Time, configHash uint64) *peerpb.Centre {
	alive := t.LocalAlive(now)
	c := &peerpb.Centre{
		DataCentre: t.dataCentre, Stamp: 1, Hash: Hash(alive),
		ConfigHash: configHash, Total: uint32(len(alive)),
	}
	for _, m := range alive {
		trimmed := proto.CloneOf(m)
		trimmed.Seq, trimmed.ConfigHash, trimmed.Holds = 0, 0, nil
		c.Members = append(c.Members, trimmed)
		if m.GetConfigHash() == configHash {
			c.InForce++
		}
		c.Holds = append(c.Holds, m.GetHolds()...)
	}
	if old := t.centres[t.dataCentre]; old != nil {
		if sameSummary(old.summary, c) && now.Sub(old.updated) < t.summaryInterval() {
			return old.summary
		}
		c.Stamp = old.summary.GetStamp() + 1
	}
	t.centres[t.dataCentre] = &centreState{summary: c, updated: now}
	return c
}

func sameSummary(a, b *peerpb.Centre) bool {
	same := a.GetHash() == b.GetHash() && a.GetConfigHash() == b.GetConfigHash() && a.GetInForce() == b.GetInForce() &&
		a.GetTotal() == b.GetTotal() && len(a.GetMembers()) == len(b.GetMembers()) && len(a.GetHolds()) == len(b.GetHolds())
	for i := 0; same && i < len(a.GetHolds()); i++ {
		same = proto.Equal(a.GetHolds()[i], b.GetHolds()[i])
	}
	return same
}

// Hash returns a hash of each member's incarnation and whether it is leaving. A member's other fields in a summary
// stay the same while its process runs, so that summaries with equal hashes have equal members.
func Hash(members []*peerpb.Member) uint64 {
	d := xxhash.New()
	for _, m := range members {
		var b [9]byte
		binary.LittleEndian.PutUint64(b[:], m.GetIncarnation())
		if m.GetLeaving() {
			b[8] = 1
		}
		_, _ = d.Write(b[:])
	}
	return d.Sum64()
}

// maxSummaries bounds the summaries in one message, so that its size does not grow with the number of data centres.
const maxSummaries = 16

// Summaries returns the current summaries without their members. If they are more than one message carries,
// it returns those with the most recent stamps.
func (t *Table) Summaries(now time.Time) []*peerpb.Centre {
	out := t.currentSummaries(now)
	if len(out) <= maxSummaries {
		return out
	}
	slices.SortFunc(out, func(a, b *peerpb.Centre) int {
		return t.centres[b.GetDataCentre()].updated.Compare(t.centres[a.GetDataCentre()].updated)
	})
	return out[:maxSummaries]
}

func (t *Table) currentSummaries(now time.Time) []*peerpb.Centre {
	var out []*peerpb.Centre
	for _, c := range t.centres {
		if now.Sub(c.updated) >= t.timeouts.DataCentre {
			continue
		}
		trimmed := shallowCopy(c.summary)
		trimmed.Members = nil
		out = append(out, trimmed)
	}
	return out
}

func shallowCopy(c *peerpb.Centre) *peerpb.Centre {
	return &peerpb.Centre{
		DataCentre: c.GetDataCentre(), Stamp: c.GetStamp(), Hash: c.GetHash(), Members: c.GetMembers(),
		ConfigHash: c.GetConfigHash(), InForce: c.GetInForce(), Total: c.GetTotal(), Holds: c.GetHolds(),
	}
}

// FullSummaries returns the summaries of the named data centres with their members.
func (t *Table) FullSummaries(names []string) []*peerpb.Centre {
	var out []*peerpb.Centre
	for _, n := range names {
		if c := t.centres[n]; c != nil {
			out = append(out, shallowCopy(c.summary))
		}
	}
	return out
}

// MergeSummaries handles a peer's summaries and returns the data centres whose members must be requested.
func (t *Table) MergeSummaries(now time.Time, summaries []*peerpb.Centre) (wanted []string) {
	for _, s := range summaries {
		if s.GetDataCentre() == t.dataCentre && t.mergeOwnCentre(now, s) {
			wanted = append(wanted, s.GetDataCentre())
		}
		old := t.centres[s.GetDataCentre()]
		if old != nil && s.GetStamp() <= old.summary.GetStamp() {
			continue
		}
		if s.GetDataCentre() == t.dataCentre {
			// The summary is kept for its stamp only: the next one of this process must have a higher stamp.
			t.centres[t.dataCentre] = &centreState{summary: s, updated: now}
			continue
		}
		next := shallowCopy(s)
		switch {
		case len(s.GetMembers()) > 0:
		case old != nil && old.summary.GetHash() == s.GetHash():
			next.Members = old.summary.GetMembers()
		default:
			wanted = append(wanted, s.GetDataCentre())
			continue
		}
		t.centres[s.GetDataCentre()] = &centreState{summary: next, updated: now}
	}
	return wanted
}

// mergeOwnCentre adds unknown members from another host's summary of the local data centre, so that groups of its
// hosts that do not exchange heartbeats find each other. It reports whether the members must be requested.
func (t *Table) mergeOwnCentre(now time.Time, s *peerpb.Centre) bool {
	if len(s.GetMembers()) == 0 {
		return s.GetHash() != Hash(t.LocalAlive(now))
	}
	for _, m := range s.GetMembers() {
		if t.members[m.GetIncarnation()] == nil {
			t.Observe(now, m)
		}
	}
	return false
}

// RolloutStatus returns the number of alive members whose active configuration has that hash, the number
// of all alive members, and for each drain or recall, by "kind/name", the requests in flight that it waits for.
func (t *Table) RolloutStatus(now time.Time, configHash uint64) (active, total int, holds map[string]int) {
	holds = map[string]int{}
	local := t.LocalAlive(now)
	for _, m := range local {
		total++
		if m.GetConfigHash() == configHash {
			active++
		}
		sumHolds(holds, m.GetHolds())
	}
	for dc, c := range t.centres {
		if dc == t.dataCentre || now.Sub(c.updated) >= t.timeouts.DataCentre {
			continue
		}
		total += int(c.summary.GetTotal())
		if c.summary.GetConfigHash() == configHash {
			active += int(c.summary.GetInForce())
		}
		sumHolds(holds, c.summary.GetHolds())
	}
	return active, total, holds
}

func sumHolds(sum map[string]int, holds []*peerpb.Hold) {
	for _, h := range holds {
		sum[h.GetKind()+"/"+h.GetName()] += int(h.GetInFlight())
	}
}
