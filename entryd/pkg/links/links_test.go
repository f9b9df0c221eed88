package links_test

import (
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosemarygrade.dev/entryd/pkg/links"
	"rosemarygrade.dev/lib/pkg/model"
)

// init fixes the seed, so that every run gives the same verdict; -rapid.seed on the command line wins.
func init() { _ = flag.Set("rapid.seed", "20261204") }

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

const (
	limit = 1_000_000
	piece = 10_000
)

// use lets both classes ask for all they can get and returns the bytes sent in each millisecond.
func use(b *links.Bucket, from, to, live, background int) (perMilli [][2]int) {
	waiting := map[links.Class]int{links.Live: live, links.Background: background}
	prev := [2]int{}
	for ms := from; ms < to; ms++ {
		for class, want := range waiting {
			for b.Waiting(class) < want {
				b.Ask(at(ms), piece, class)
			}
		}
		b.Advance(at(ms))
		l, bg := b.Sent()
		perMilli = append(perMilli, [2]int{l - prev[0], bg - prev[1]})
		prev = [2]int{l, bg}
	}
	return perMilli
}

func sum(perMilli [][2]int) (live, background int) {
	for _, m := range perMilli {
		live += m[0]
		background += m[1]
	}
	return live, background
}

func TestBucket(t *testing.T) {
	rate := links.OwnShare(limit, 1)
	t.Run("no second is above the limit", func(t *testing.T) {
		sent := use(links.NewBucket(start, rate), 500, 4500, piece, piece)
		for i := 0; i+1000 <= len(sent); i++ {
			l, bg := sum(sent[i : i+1000])
			assert.Assert(t, l+bg <= limit, "%d bytes in the second from %d ms", l+bg, i)
		}
	})
	t.Run("live first", func(t *testing.T) {
		_, bg := sum(use(links.NewBucket(start, rate), 0, 2000, piece, piece))
		assert.Equal(t, bg, 0)
	})
	t.Run("background takes what is left", func(t *testing.T) {
		_, bg := sum(use(links.NewBucket(start, rate), 0, 2000, 0, piece))
		assert.Assert(t, bg > limit*2*9/10, "%d bytes in two seconds", bg)
	})
	t.Run("a dropped claim takes nothing", func(t *testing.T) {
		b := links.NewBucket(start, rate)
		b.Drop(b.Ask(start, piece, links.Live))
		b.Advance(at(1000))
		l, bg := b.Sent()
		assert.Equal(t, l+bg, 0)
	})
}

// TestLending lends between two hosts over one keeper.
func TestLending(t *testing.T) {
	idle, busy, pool := links.NewShare(100), links.NewShare(100), links.NewPool(start)
	step := func(ms int) {
		idle.Take(at(ms), 9, pool.Lend(at(ms), idle.Offer(at(ms), 1, 9, 75, 0)))
		busy.Take(at(ms), 9, pool.Lend(at(ms), busy.Offer(at(ms), 2, 9, 0, 1000)))
	}
	for ms := 0; ms <= 600; ms += 150 {
		step(ms)
	}
	assert.Equal(t, idle.Rate(at(600)), 25.0)
	assert.Equal(t, busy.Rate(at(600)), 175.0)
	t.Run("without word the borrower falls back first", func(t *testing.T) {
		assert.Equal(t, busy.Rate(at(1200)), 100.0)
		assert.Equal(t, idle.Rate(at(1200)), 25.0)
		assert.Equal(t, idle.Rate(at(1700)), 100.0)
	})
}

// TestQuietLinks checks that links of which no host wants more cost little, and that hosts offer as
// soon as one does.
func TestQuietLinks(t *testing.T) {
	r, err := model.Parse("region", "a", []byte(`{"dataCentres":["d"],"maxHosts":2,"links":[{"to":"b","bitsPerSecond":8000000}]}`))
	assert.NilError(t, err)
	l := links.New("a")
	l.Configure(start, model.NewSnapshot([]model.Object{r}))
	offers := func(from, to int) (n int) {
		for ms := from; ms < to; ms += 150 {
			n += len(l.Offers(at(ms), 1, func(string) uint64 { return 9 }))
		}
		return n
	}
	assert.Equal(t, offers(0, 6000), 3)
	l.HandleReply(at(6000), "b", 9, links.Reply{Timestamp: 1, Wanted: true})
	assert.Equal(t, offers(6000, 7500), 10)
}

// TestKeeperChange lets the only lender change its keeper while the last one's grant is in use.
func TestKeeperChange(t *testing.T) {
	lender, first, second := links.NewShare(100), links.NewShare(100), links.NewShare(100)
	pools := map[uint64]*links.Pool{8: links.NewPool(start), 9: links.NewPool(start)}
	offer := func(s *links.Share, ms int, host, keeper uint64, lent, wanted float64) {
		s.Take(at(ms), keeper, pools[keeper].Lend(at(ms), s.Offer(at(ms), host, keeper, lent, wanted)))
	}
	for ms := 0; ms <= 2000; ms += 50 {
		keeper := uint64(8)
		if ms >= 300 {
			keeper = 9
		}
		offer(lender, ms, 1, keeper, 100, 0)
		offer(first, ms, 2, 8, 0, 400)
		offer(second, ms, 3, 9, 0, 400)
		total := lender.Rate(at(ms)) + first.Rate(at(ms)) + second.Rate(at(ms))
		assert.Assert(t, total <= 300, "%g used at %d ms", total, ms)
	}
	assert.Equal(t, second.Rate(at(2000)), 200.0, "the new keeper lends in the end")
}

// host is one host of the random check.
type host struct {
	share  *links.Share
	lent   float64
	wanted float64
	keeper uint64
}

// letter is an offer or an answer on its way.
type letter struct {
	due    int
	sent   int
	host   int
	keeper uint64
	offer  links.Offer
	reply  *links.Reply
}

// TestSharesAreNeverUsedTwice lets hosts lend over keepers that change at random, with offers and
// answers that are lost or late, and checks that all together never use more than all own shares.
func TestSharesAreNeverUsedTwice(t *testing.T) {
	const own, hosts, keepers = 100.0, 4, 2
	rapid.Check(t, func(t *rapid.T) {
		pools := map[uint64]*links.Pool{}
		for k := uint64(1); k <= keepers; k++ {
			pools[k] = links.NewPool(start)
		}
		all := make([]*host, hosts)
		for i := range all {
			all[i] = &host{share: links.NewShare(own), keeper: 1}
		}
		var post []letter
		for ms := 0; ms < 6000; ms += 50 {
			var rest []letter
			for _, l := range post {
				switch {
				case l.due > ms:
					rest = append(rest, l)
				case l.reply != nil:
					all[l.host].share.Take(at(l.sent), l.keeper, *l.reply)
				default:
					r := pools[l.keeper].Lend(at(ms), l.offer)
					rest = append(rest, letter{due: ms + delay(t), sent: l.sent, host: l.host, keeper: l.keeper, reply: &r})
				}
			}
			post = rest
			for i := range all {
				if rapid.Bool().Draw(t, "offers") {
					post = append(post, all[i].offer(t, ms, i))
				}
			}
			total := 0.0
			for _, h := range all {
				total += h.share.Rate(at(ms))
			}
			if total > own*hosts+1e-6 {
				t.Fatalf("at %d ms the hosts use %g of %g", ms, total, own*hosts)
			}
		}
	})
}

func delay(t *rapid.T) int {
	return rapid.SampledFrom([]int{0, 0, 50, 100, 400, 900, 2000, 1 << 30}).Draw(t, "delay")
}

func (h *host) offer(t *rapid.T, ms, i int) letter {
	if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
		h.lent = float64(rapid.IntRange(0, 100).Draw(t, "lent"))
		h.wanted = float64(rapid.IntRange(0, 1).Draw(t, "wants") * 400)
		h.keeper = uint64(rapid.IntRange(1, 2).Draw(t, "keeper"))
	}
	o := h.share.Offer(at(ms), uint64(100+i), h.keeper, h.lent, h.wanted)
	return letter{due: ms + delay(t), sent: ms, host: i, keeper: h.keeper, offer: o}
}
