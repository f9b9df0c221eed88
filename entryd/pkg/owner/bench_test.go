package owner_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rosemarygrade.dev/entryd/pkg/flow"
	"rosemarygrade.dev/entryd/pkg/server"
	"rosemarygrade.dev/lib/pkg/model"
	"rosemarygrade.dev/lib/pkg/peerpb"
)

// BenchmarkHedge measures the tail of 12 servers whose requests take 5 ms, 1 in 100 of them 50
// times as long, with a hedge budget of nearly nothing and of 3%, and the extra work sent.
func BenchmarkHedge(b *testing.B) {
	const requests, gap = 6000, 2 * time.Millisecond
	for _, percent := range []float64{0.0001, 3} {
		b.Run(fmt.Sprintf("budget=%g%%", percent), func(b *testing.B) {
			for b.Loop() {
				var sent atomic.Int64
				addresses := stragglers(b, &sent)
				o := newOwner(b, &claims{})
				o.Update(b.Context(), time.Now(), hedged(b, percent, addresses), []*peerpb.Member{member(self, "a")})
				for !owns(o)() {
					time.Sleep(time.Millisecond)
				}
				hist := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
				var mu sync.Mutex
				var wg sync.WaitGroup
				for range requests {
					time.Sleep(gap)
					req := request(true)
					wg.Go(func() {
						begin := time.Now()
						if _, ok := o.Serve(b.Context(), req, sink{}).(flow.Complete); ok {
							mu.Lock()
							_ = hist.RecordValue(time.Since(begin).Microseconds())
							mu.Unlock()
						}
					})
				}
				wg.Wait()
				b.ReportMetric(float64(hist.ValueAtQuantile(99))/1000, "p99-ms")
				b.ReportMetric(float64(hist.ValueAtQuantile(99.9))/1000, "p99.9-ms")
				b.ReportMetric(100*float64(sent.Load()-requests)/requests, "extra-%")
				b.ReportMetric(float64(hist.TotalCount())/requests, "answered")
			}
		})
	}
}

func stragglers(b *testing.B, sent *atomic.Int64) (addresses []string) {
	for range 12 {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			sent.Add(1)
			d := 5 * time.Millisecond
			if rand.IntN(100) == 0 {
				d *= 50
			}
			select {
			case <-time.After(d):
			case <-r.Context().Done():
			}
			w.Header().Set(server.HeaderRequestID, r.Header.Get(server.HeaderRequestID))
		}))
		b.Cleanup(s.Close)
		addresses = append(addresses, s.Listener.Addr().String())
	}
	return addresses
}

// hedged returns a snapshot whose service has the hedge budget.
func hedged(b *testing.B, percent float64, addresses []string) *model.Snapshot {
	b.Helper()
	return snapshotWith(b, 3, percent, addresses...)
}
