package links_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rosemarygrade.dev/entryd/pkg/links"
)

// BenchmarkHeadOfLine measures, on a link of 300 Mbit/s in simulated time, how long short live
// responses wait for the link with and without background transfers ("pulls"), and which share of
// the remaining bandwidth the transfers get.
func BenchmarkHeadOfLine(b *testing.B) {
	const (
		linkBytes     = 300_000_000 / 8
		responseBytes = 2 << 10
		perSecond     = 400
		seconds       = 20
		stepMicros    = 100
	)
	for _, pulls := range []bool{false, true} {
		b.Run(fmt.Sprintf("pulls=%t", pulls), func(b *testing.B) {
			for b.Loop() {
				rnd := rand.New(rand.NewPCG(1, 2))
				bucket := links.NewBucket(start, links.OwnShare(linkBytes, 1))
				hist := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
				var waiting []time.Time
				next := 0.0
				for us := 0; us < seconds*1_000_000; us += stepMicros {
					now := start.Add(time.Duration(us) * time.Microsecond)
					for next <= float64(us) {
						bucket.Reserve(now, responseBytes, links.Live)
						waiting = append(waiting, start.Add(time.Duration(next)*time.Microsecond))
						next += rnd.ExpFloat64() * 1_000_000 / perSecond
					}
					for pulls && bucket.QueuedBytes(links.Background) < 1<<20 {
						bucket.Reserve(now, 1<<20, links.Background)
					}
					bucket.Refill(now)
					for len(waiting) > bucket.QueuedBytes(links.Live)/responseBytes {
						// The latency includes the transmission time of the response.
						wire := responseBytes * time.Second / linkBytes
						_ = hist.RecordValue(max(1, (now.Sub(waiting[0]) + wire).Microseconds()))
						waiting = waiting[1:]
					}
				}
				live, background := bucket.Sent()
				b.ReportMetric(float64(hist.ValueAtQuantile(99)), "live-p99-us")
				b.ReportMetric(100*float64(background)/float64(linkBytes*seconds-live), "pulls-%-of-rest")
			}
		})
	}
}
