// Package member keeps a process's view of who is alive: direct beats inside its data centre,
// and one summary for each other data centre.
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

// Timeouts says when a silent member counts as dead.
type Timeouts struct {
	// Member is how long a member of the own data centre may be silent.
	Member time.Duration
	// DataCentre is how long the summary of another data centre stays believed.
	DataCentre time.Duration
}

// forgetAfter is how many times Timing.Dead a dead member is remembered, so that the
// late word of a peer does not bring it back.
const forgetAfter = 20

// item is a member as last heard. The record is never changed, so that it can be shared; its seq
// stands beside it.
type item struct {
	member   *peerpb.Member
	seq      uint64
	advanced time.Time
}

// record returns the full record with its present seq.
func (it *item) record() *peerpb.Member {
	m := proto.CloneOf(it.member)
	m.Seq = it.seq
	return m
}

type centre struct {
	summary  *peerpb.Centre
	advanced time.Time
}

// Table is not safe for concurrent use.
type Table struct {
	dataCentre string
	timing     Timeouts
	items      map[uint64]*item
	centres    map[string]*centre
}

// New returns a table for a process in the data centre.
func New(dataCentre string, timing Timeouts) *Table {
	return &Table{
		dataCentre: dataCentre, timing: timing,
		items: map[uint64]*item{}, centres: map[string]*centre{},
	}
}

// Observe takes in what a member of the own data centre says of itself.
func (t *Table) Observe(now time.Time, m *peerpb.Member) {
	if m.GetDataCentre() != t.dataCentre || m.GetIncarnation() == 0 {
		return
	}
	it := t.items[m.GetIncarnation()]
	if it == nil {
		t.items[m.GetIncarnation()] = &item{member: proto.CloneOf(m), seq: m.GetSeq(), advanced: now}
		return
	}
	if m.GetSeq() > it.seq {
		it.advance(now, m.GetSeq())
	}
	if m.GetRevision() > it.member.GetRevision() {
		it.member = proto.CloneOf(m)
	}
}

func (it *item) advance(now time.Time, seq uint64) {
	it.seq = seq
	it.advanced = now
}

// Heartbeats is the short form of members: three columns of equal length.
type Heartbeats struct {
	Incarnations []uint64
	Seqs         []uint64
	Revisions    []uint64
}

// Heartbeats returns the short form of the live members of the own data centre.
func (t *Table) Heartbeats(now time.Time) Heartbeats {
	var b Heartbeats
	for inc, it := range t.items {
		if !t.alive(now, it) {
			continue
		}
		b.Incarnations = append(b.Incarnations, inc)
		b.Seqs = append(b.Seqs, it.seq)
		b.Revisions = append(b.Revisions, it.member.GetRevision())
	}
	return b
}

// Merge takes in a peer's beats. It returns the incarnations whose full record is needed here,
// and the full records that the peer lacks.
func (t *Table) Merge(now time.Time, b Heartbeats) (wanted []uint64, lacking []*peerpb.Member) {
	if len(b.Seqs) != len(b.Incarnations) || len(b.Revisions) != len(b.Incarnations) {
		return nil, nil
	}
	peer := make(map[uint64]uint64, len(b.Incarnations))
	for i, inc := range b.Incarnations {
		peer[inc] = b.Revisions[i]
		it := t.items[inc]
		if it == nil {
			wanted = append(wanted, inc)
			continue
		}
		if b.Seqs[i] > it.seq {
			it.advance(now, b.Seqs[i])
		}
		if b.Revisions[i] > it.member.GetRevision() {
			wanted = append(wanted, inc)
		}
	}
	for inc, it := range t.items {
		rev, known := peer[inc]
		if t.alive(now, it) && (!known || rev < it.member.GetRevision()) {
			lacking = append(lacking, it.record())
		}
	}
	return wanted, lacking
}

// Records returns the full records of the incarnations.
func (t *Table) Records(incarnations []uint64) []*peerpb.Member {
	var out []*peerpb.Member
	for _, inc := range incarnations {
		if it := t.items[inc]; it != nil {
			out = append(out, it.record())
		}
	}
	return out
}

func (t *Table) alive(now time.Time, it *item) bool {
	return now.Sub(it.advanced) < t.timing.Member
}

// Expire forgets members that are long dead.
func (t *Table) Expire(now time.Time) {
	for inc, it := range t.items {
		if now.Sub(it.advanced) > forgetAfter*t.timing.Member {
			delete(t.items, inc)
		}
	}
}

// LocalLive returns the live members of the own data centre, sorted by host and role. Where
// two incarnations of a process seem alive, only the one heard last counts. The records are
// shared: callers do not change them.
func (t *Table) LocalLive(now time.Time) []*peerpb.Member {
	type slot struct {
		host string
		role peerpb.Role
	}
	newest := map[slot]*item{}
	for _, it := range t.items {
		if !t.alive(now, it) {
			continue
		}
		k := slot{host: it.member.GetHost(), role: it.member.GetRole()}
		if n := newest[k]; n == nil || later(it, n) {
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

func later(a, b *item) bool {
	if !a.advanced.Equal(b.advanced) {
		return a.advanced.After(b.advanced)
	}
	return a.member.GetIncarnation() > b.member.GetIncarnation()
}

func sortMembers(m []*peerpb.Member) {
	slices.SortFunc(m, func(a, b *peerpb.Member) int {
		return cmp.Or(cmp.Compare(a.GetHost(), b.GetHost()), cmp.Compare(a.GetRole(), b.GetRole()))
	})
}

// Live returns every live member, the own data centre's first, those of others from their
// summaries, by data centre. The members are shared: callers do not change them.
func (t *Table) Live(now time.Time) []*peerpb.Member {
	out := t.LocalLive(now)
	for _, dc := range slices.Sorted(maps.Keys(t.centres)) {
		c := t.centres[dc]
		if dc != t.dataCentre && now.Sub(c.advanced) < t.timing.DataCentre {
			out = append(out, c.summary.GetMembers()...)
		}
	}
	return out
}

// Pace at which a summary that says nothing new gets a new stamp: slower in a larger fleet, so that
// the stamps of all data centres together stay a small part of the gossip.
const (
	minSummaryEvery = time.Second
	summaryPerDC    = 50 * time.Millisecond
)

func (t *Table) summaryEvery() time.Duration {
	return max(minSummaryEvery, time.Duration(len(t.centres))*summaryPerDC)
}

// Summarize makes the own data centre's summary with a stamp above every stamp seen. A summary
// that says what the last one said keeps its stamp for a time, so that it need not spread again.
func (t *Table) Summarize(now time.Time, configHash uint64) *peerpb.Centre {
	live := t.LocalLive(now)
	c := &peerpb.Centre{
		DataCentre: t.dataCentre, Stamp: 1, Hash: Hash(live),
		ConfigHash: configHash, Total: uint32(len(live)),
	}
	for _, m := range live {
		short := proto.CloneOf(m)
		short.Seq, short.ConfigHash, short.Holds = 0, 0, nil
		c.Members = append(c.Members, short)
		if m.GetConfigHash() == configHash {
			c.InForce++
		}
		c.Holds = append(c.Holds, m.GetHolds()...)
	}
	if old := t.centres[t.dataCentre]; old != nil {
		if sameSummary(old.summary, c) && now.Sub(old.advanced) < t.summaryEvery() {
			return old.summary
		}
		c.Stamp = old.summary.GetStamp() + 1
	}
	t.centres[t.dataCentre] = &centre{summary: c, advanced: now}
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

// Hash covers what others need to know of members: all else of a record stays the same for as long
// as its process lives.
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

// maxSummaries is how many summaries one message carries, so that its size does not grow with the fleet.
const maxSummaries = 16

// Summaries returns summaries without their members: all of them, or as many as a message
// carries, those that changed last first.
func (t *Table) Summaries(now time.Time) []*peerpb.Centre {
	out := t.believed(now)
	if len(out) <= maxSummaries {
		return out
	}
	slices.SortFunc(out, func(a, b *peerpb.Centre) int {
		return t.centres[b.GetDataCentre()].advanced.Compare(t.centres[a.GetDataCentre()].advanced)
	})
	return out[:maxSummaries]
}

func (t *Table) believed(now time.Time) []*peerpb.Centre {
	var out []*peerpb.Centre
	for _, c := range t.centres {
		if now.Sub(c.advanced) >= t.timing.DataCentre {
			continue
		}
		short := shallow(c.summary)
		short.Members = nil
		out = append(out, short)
	}
	return out
}

func shallow(c *peerpb.Centre) *peerpb.Centre {
	return &peerpb.Centre{
		DataCentre: c.GetDataCentre(), Stamp: c.GetStamp(), Hash: c.GetHash(), Members: c.GetMembers(),
		ConfigHash: c.GetConfigHash(), InForce: c.GetInForce(), Total: c.GetTotal(), Holds: c.GetHolds(),
	}
}

// FullSummaries returns the summaries of the data centres with their members.
func (t *Table) FullSummaries(names []string) []*peerpb.Centre {
	var out []*peerpb.Centre
	for _, n := range names {
		if c := t.centres[n]; c != nil {
			out = append(out, shallow(c.summary))
		}
	}
	return out
}

// MergeSummaries takes in summaries and returns the data centres whose members are needed.
func (t *Table) MergeSummaries(now time.Time, summaries []*peerpb.Centre) (wanted []string) {
	for _, s := range summaries {
		if s.GetDataCentre() == t.dataCentre && t.hints(now, s) {
			wanted = append(wanted, s.GetDataCentre())
		}
		old := t.centres[s.GetDataCentre()]
		if old != nil && s.GetStamp() <= old.summary.GetStamp() {
			continue
		}
		if s.GetDataCentre() == t.dataCentre {
			// The summary is kept only so that the next own stamp is above it.
			t.centres[t.dataCentre] = &centre{summary: s, advanced: now}
			continue
		}
		next := shallow(s)
		switch {
		case len(s.GetMembers()) > 0:
		case old != nil && old.summary.GetHash() == s.GetHash():
			next.Members = old.summary.GetMembers()
		default:
			wanted = append(wanted, s.GetDataCentre())
			continue
		}
		t.centres[s.GetDataCentre()] = &centre{summary: next, advanced: now}
	}
	return wanted
}

// hints takes in what others say of the own data centre's members, so that parts of it that do not
// know each other meet. It returns whether the members are needed.
func (t *Table) hints(now time.Time, s *peerpb.Centre) bool {
	if len(s.GetMembers()) == 0 {
		return s.GetHash() != Hash(t.LocalLive(now))
	}
	for _, m := range s.GetMembers() {
		if t.items[m.GetIncarnation()] == nil {
			t.Observe(now, m)
		}
	}
	return false
}

// RolloutStatus sums what the summaries tell of the configuration with that hash.
func (t *Table) RolloutStatus(now time.Time, configHash uint64) (inForce, known int, holds map[string]int) {
	holds = map[string]int{}
	local := t.LocalLive(now)
	for _, m := range local {
		known++
		if m.GetConfigHash() == configHash {
			inForce++
		}
		addHolds(holds, m.GetHolds())
	}
	for dc, c := range t.centres {
		if dc == t.dataCentre || now.Sub(c.advanced) >= t.timing.DataCentre {
			continue
		}
		known += int(c.summary.GetTotal())
		if c.summary.GetConfigHash() == configHash {
			inForce += int(c.summary.GetInForce())
		}
		addHolds(holds, c.summary.GetHolds())
	}
	return inForce, known, holds
}

func addHolds(sum map[string]int, holds []*peerpb.Hold) {
	for _, h := range holds {
		sum[h.GetKind()+"/"+h.GetName()] += int(h.GetInFlight())
	}
}
