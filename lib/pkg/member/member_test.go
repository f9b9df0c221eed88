package member_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/lib/pkg/member"
	"rosemarygrade.dev/lib/pkg/peerpb"
)

var (
	start    = time.Unix(1_700_000_000, 0)
	timeouts = member.Timeouts{Member: 3 * time.Second, DataCentre: 30 * time.Second}
)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func record(host string, incarnation, seq uint64) *peerpb.Member {
	return &peerpb.Member{
		Incarnation: incarnation, Seq: seq, Role: peerpb.Role_ROLE_ENTRYD, Host: host, DataCentre: "dc1", Region: "r1",
	}
}

func assertLive(t *testing.T, tb *member.Table, now time.Time, incarnations ...uint64) {
	t.Helper()
	got := []uint64{}
	for _, m := range tb.Alive(now) {
		got = append(got, m.GetIncarnation())
	}
	if incarnations == nil {
		incarnations = []uint64{}
	}
	assert.DeepEqual(t, got, incarnations)
}

func TestDeath(t *testing.T) {
	t.Run("a member without heartbeats fails", func(t *testing.T) {
		tb := member.New("dc1", timeouts)
		tb.Observe(at(0), record("a", 1, 1))
		assertLive(t, tb, at(2.9), 1)
		assertLive(t, tb, at(3))
	})
	t.Run("an old heartbeat does not make a member alive again", func(t *testing.T) {
		tb := member.New("dc1", timeouts)
		tb.Observe(at(0), record("a", 1, 7))
		tb.Observe(at(4), record("a", 1, 7))
		tb.Merge(at(4), member.Heartbeats{Incarnations: []uint64{1}, Seqs: []uint64{6}, Revisions: []uint64{0}})
		assertLive(t, tb, at(4))
	})
	t.Run("a suspended process is live again after its next heartbeat", func(t *testing.T) {
		tb := member.New("dc1", timeouts)
		tb.Observe(at(0), record("a", 1, 7))
		tb.Observe(at(10), record("a", 1, 8))
		assertLive(t, tb, at(11), 1)
	})
	t.Run("a new incarnation replaces the old one", func(t *testing.T) {
		tb := member.New("dc1", timeouts)
		tb.Observe(at(0), record("a", 1, 7))
		tb.Observe(at(1), record("a", 2, 1))
		assertLive(t, tb, at(1), 2)
	})
	t.Run("members that failed long ago are deleted", func(t *testing.T) {
		tb := member.New("dc1", timeouts)
		tb.Observe(at(0), record("a", 1, 7))
		tb.Expire(at(61))
		assert.Equal(t, len(tb.Records([]uint64{1})), 0)
	})
	t.Run("members of other data centres are ignored", func(t *testing.T) {
		tb := member.New("dc2", timeouts)
		tb.Observe(at(0), record("a", 1, 1))
		assertLive(t, tb, at(0))
	})
}

func TestMerge(t *testing.T) {
	a, b := member.New("dc1", timeouts), member.New("dc1", timeouts)
	a.Observe(at(0), record("a", 1, 5))
	b.Observe(at(0), record("b", 2, 9))
	wanted, missing := b.Merge(at(0), a.Heartbeats(at(0)))
	assert.DeepEqual(t, wanted, []uint64{1})
	assert.Equal(t, missing[0].GetIncarnation(), uint64(2))

	t.Run("a new revision is requested", func(t *testing.T) {
		m := record("a", 1, 6)
		m.Revision, m.Leaving = 1, true
		a.Observe(at(1), m)
		b.Observe(at(1), record("a", 1, 5))
		wanted, _ := b.Merge(at(1), a.Heartbeats(at(1)))
		assert.DeepEqual(t, wanted, []uint64{1})
		b.Observe(at(1), a.Records(wanted)[0])
		assert.Assert(t, b.Records(wanted)[0].GetLeaving())
	})
	t.Run("columns of unequal length are ignored", func(t *testing.T) {
		wanted, missing := b.Merge(at(1), member.Heartbeats{Incarnations: []uint64{4}})
		assert.Assert(t, wanted == nil && missing == nil)
	})
}

func TestCentres(t *testing.T) {
	here, there := member.New("dc1", timeouts), member.New("dc2", timeouts)
	here.Observe(at(0), record("a", 1, 5))
	s := here.Summarize(at(0), 77)

	t.Run("members are requested once", func(t *testing.T) {
		short := here.Summaries(at(0))
		assert.DeepEqual(t, there.MergeSummaries(at(0), short), []string{"dc1"})
		assertLive(t, there, at(0))
		there.MergeSummaries(at(0), here.FullSummaries([]string{"dc1"}))
		assertLive(t, there, at(0), 1)
		here.Observe(at(6), record("a", 1, 6))
		here.Summarize(at(6), 77)
		assert.Equal(t, len(there.MergeSummaries(at(6), here.Summaries(at(6)))), 0)
		assertLive(t, there, at(35), 1)
	})
	t.Run("members of an unreachable data centre fail after its timeout", func(t *testing.T) {
		assertLive(t, there, at(35.9), 1)
		assertLive(t, there, at(36))
	})
	t.Run("an older stamp changes nothing", func(t *testing.T) {
		there.MergeSummaries(at(40), []*peerpb.Centre{s})
		assertLive(t, there, at(40))
	})
	t.Run("a process finds the members of its own data centre in another host's summary", func(t *testing.T) {
		lone := member.New("dc1", timeouts)
		lone.Observe(at(7), record("c", 3, 1))
		lone.Summarize(at(7), 77)
		assert.DeepEqual(t, lone.MergeSummaries(at(7), here.Summaries(at(7))), []string{"dc1"})
		lone.MergeSummaries(at(7), here.FullSummaries([]string{"dc1"}))
		assertLive(t, lone, at(7), 1, 3)
	})
	t.Run("an unchanged summary keeps its stamp for the interval", func(t *testing.T) {
		tb := member.New("dc1", timeouts)
		tb.Observe(at(0), record("a", 1, 5))
		first := tb.Summarize(at(0), 77).GetStamp()
		assert.Equal(t, tb.Summarize(at(0.9), 77).GetStamp(), first)
		assert.Equal(t, tb.Summarize(at(1), 78).GetStamp(), first+1)
		assert.Equal(t, tb.Summarize(at(1.9), 78).GetStamp(), first+1)
		tb.Observe(at(7), record("a", 1, 6))
		assert.Equal(t, tb.Summarize(at(7), 78).GetStamp(), first+2)
	})
	t.Run("a second gateway's stamp is above the first's", func(t *testing.T) {
		second := member.New("dc1", timeouts)
		second.MergeSummaries(at(7), here.Summaries(at(7)))
		assert.Assert(t, second.Summarize(at(7), 77).GetStamp() > here.Summaries(at(7))[0].GetStamp())
	})
	t.Run("rollout status", func(t *testing.T) {
		tb := member.New("dc1", timeouts)
		m := record("a", 1, 1)
		m.ConfigHash, m.Holds = 77, []*peerpb.Hold{{Kind: "recall", Name: "x", InFlight: 2}}
		tb.Observe(at(0), m)
		tb.Observe(at(0), record("b", 2, 1))
		tb.MergeSummaries(at(0), []*peerpb.Centre{{
			DataCentre: "dc9", Stamp: 1, Total: 3, InForce: 2, ConfigHash: 77, Members: []*peerpb.Member{record("z", 9, 1)},
			Holds: []*peerpb.Hold{{Kind: "recall", Name: "x", InFlight: 3}},
		}})
		active, total, holds := tb.RolloutStatus(at(0), 77)
		assert.DeepEqual(t, []int{active, total, holds["recall/x"]}, []int{3, 5, 5})
	})
}
