package dedup_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/entryd/pkg/dedup"
	"rosemarygrade.dev/entryd/pkg/flow"
)

const incarnation = 0xabc

var (
	start  = time.Unix(1_700_000_040, 0)
	digest = dedup.DigestOf("POST", "/x", []byte("body"))
)

func key(t *testing.T, inc uint64, slotsAfterStart int64, random string) dedup.Key {
	t.Helper()
	k, err := dedup.Parse(fmt.Sprintf("%x-%d-%s", inc, start.Unix()/60+slotsAfterStart, random))
	assert.NilError(t, err)
	return k
}

func assertTurned(t *testing.T, v dedup.Verdict, kind flow.RejectionKind, outcome flow.Outcome) {
	t.Helper()
	turned, ok := v.(dedup.Turned)
	assert.Assert(t, ok, "%T", v)
	assert.Equal(t, turned.Refused.Kind, kind)
	assert.Equal(t, turned.Refused.Outcome, outcome)
}

func begin(t *testing.T, b *dedup.Book, now time.Time, k dedup.Key) *dedup.Record {
	t.Helper()
	fresh, ok := b.Begin(now, k, digest).(dedup.Fresh)
	assert.Assert(t, ok)
	return fresh.Record
}

func assertJoins(t *testing.T, v dedup.Verdict, r *dedup.Record) {
	t.Helper()
	j, ok := v.(dedup.Join)
	assert.Assert(t, ok, "%T", v)
	assert.Assert(t, j.Record == r)
}

func TestBegin(t *testing.T) {
	b := dedup.NewBook(start, incarnation)
	k := key(t, incarnation, 0, "random-1")
	r := begin(t, b, start, k)
	t.Run("a repeat joins the run", func(t *testing.T) { assertJoins(t, b.Begin(start, k, digest), r) })
	t.Run("another request with the key is refused", func(t *testing.T) {
		assertTurned(t, b.Begin(start, k, dedup.DigestOf("POST", "/y", nil)), flow.RefusedKeyReused, flow.OutcomeNotRun)
	})
	t.Run("another process's key is unknown", func(t *testing.T) {
		assertTurned(t, b.Begin(start, key(t, 7, 0, "random-1"), digest), flow.RefusedKeyGone, flow.OutcomeUnknown)
	})
	t.Run("a future slot is refused", func(t *testing.T) {
		assertTurned(t, b.Begin(start, key(t, incarnation, 9, "random-1"), digest), flow.RefusedBadKey, flow.OutcomeNotRun)
	})
	t.Run("a repeat after the end joins it", func(t *testing.T) {
		b.Finish(r, flow.OutcomeRan, flow.Rejected{}, dedup.Answer{Status: 200, Kept: true})
		assertJoins(t, b.Begin(start, k, digest), r)
		assert.Equal(t, b.Outcome(start, k).Outcome, flow.OutcomeRan)
	})
	t.Run("the first end counts", func(t *testing.T) {
		b.Finish(r, flow.OutcomeNotRun, flow.Rejected{}, dedup.Answer{})
		assert.Equal(t, r.Outcome(), flow.OutcomeRan)
	})
}

func TestForgetting(t *testing.T) {
	late := start.Add(12 * time.Minute)
	setUp := func(t *testing.T, done bool) (*dedup.Book, dedup.Key) {
		b := dedup.NewBook(start, incarnation)
		k := key(t, incarnation, 0, "random-1")
		r := begin(t, b, start, k)
		if done {
			b.Finish(r, flow.OutcomeRan, flow.Rejected{}, dedup.Answer{})
		}
		return b, k
	}
	t.Run("a forgotten key never runs again", func(t *testing.T) {
		b, k := setUp(t, true)
		assertTurned(t, b.Begin(late, k, digest), flow.RefusedKeyGone, flow.OutcomeUnknown)
		assert.Equal(t, b.Len(), 0)
	})
	t.Run("nor when the clock jumps back", func(t *testing.T) {
		b, k := setUp(t, true)
		b.Begin(late, key(t, incarnation, 12, "random-2"), digest)
		assertTurned(t, b.Begin(start, k, digest), flow.RefusedKeyGone, flow.OutcomeUnknown)
	})
	t.Run("a run under way is kept", func(t *testing.T) {
		b, _ := setUp(t, false)
		b.Begin(late, key(t, incarnation, 12, "random-2"), digest)
		assert.Equal(t, b.Len(), 2)
	})
}

func TestKeptBytesAreBounded(t *testing.T) {
	b := dedup.NewBook(start, incarnation)
	kept, size := 0, 0
	for i := range 6000 {
		r := begin(t, b, start, key(t, incarnation, 0, fmt.Sprintf("random-%d", i)))
		b.Finish(r, flow.OutcomeRan, flow.Rejected{}, dedup.Answer{Body: make([]byte, dedup.MaxBody), Kept: true})
		if r.Answer().Kept {
			kept++
			size += len(r.Answer().Body)
		}
	}
	assert.Equal(t, size, 64<<20)
	assert.Assert(t, kept < 6000)
}

func TestStop(t *testing.T) {
	b := dedup.NewBook(start, incarnation)
	used, unused, running := key(t, incarnation, 0, "random-1"), key(t, incarnation, 0, "random-2"), key(t, incarnation, 0, "random-3")
	b.Finish(begin(t, b, start, used), flow.OutcomeRan, flow.Rejected{}, dedup.Answer{Status: 201, Body: []byte("done"), Kept: true})
	begin(t, b, start, running)
	t.Run("an unused key is unknown while the process serves", func(t *testing.T) {
		assert.Equal(t, b.Outcome(start, unused).Outcome, flow.OutcomeUnknown)
	})
	b.Stop()
	t.Run("and refused for good once it stops", func(t *testing.T) {
		assertTurned(t, b.Begin(start, unused, digest), flow.RefusedStopping, flow.OutcomeNotRun)
		assert.Equal(t, b.Outcome(start, unused).Outcome, flow.OutcomeNotRun)
	})
	book := b.Export()
	t.Run("an heir with pieces missing tells nothing", func(t *testing.T) {
		s := dedup.NewShelf()
		s.Take(book)
		_, ok := s.Outcome(start, unused)
		assert.Assert(t, !ok)
	})
	book.Complete = true
	s := dedup.NewShelf()
	s.Take(book)
	rows := []struct {
		name string
		key  dedup.Key
		want flow.Outcome
	}{{"used", used, flow.OutcomeRan}, {"unused", unused, flow.OutcomeNotRun}, {"running at the end", running, flow.OutcomeUnknown}}
	for _, r := range rows {
		t.Run("an heir tells of a key that was "+r.name, func(t *testing.T) {
			known, ok := s.Outcome(start, r.key)
			assert.Assert(t, ok)
			assert.Equal(t, known.Outcome, r.want)
		})
	}
	t.Run("an heir gives the kept answer", func(t *testing.T) {
		known, _ := s.Outcome(start, used)
		assert.Equal(t, string(known.Answer.Body), "done")
	})
}

func TestParse(t *testing.T) {
	bad := []string{"", "a", "a-1", "a-1-short", "g-1-random-12", "a-x-random-12", "a-1-rand om-12", "0a-1-random-12", "a-01-random-12"}
	for _, s := range bad {
		t.Run(s, func(t *testing.T) {
			_, err := dedup.Parse(s)
			assert.ErrorContains(t, err, "syntax")
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add("abc-12-random-1")
	f.Fuzz(func(t *testing.T, s string) {
		k, err := dedup.Parse(s)
		if err == nil && k.String() != s {
			t.Fatalf("%q is read as %q", s, k.String())
		}
	})
}
