package load

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rosemarygrade.dev/lib/pkg/fault"
)

// Plan is a bounded load.
type Plan struct {
	Request Request
	// PerSecond is the rate of an open load; 0 sends the next request when the last has ended.
	PerSecond int
	// Workers is how many requests may be under way at once.
	Workers int
	// For is how long the load lasts.
	For time.Duration
}

// Report is what a load saw.
type Report struct {
	Sent      int            `json:"sent"`
	Whole     int            `json:"whole"`
	Failures  map[Kind]int   `json:"failures"`
	Reasons   map[string]int `json:"reasons,omitempty"`
	Servers   map[string]int `json:"servers"`
	Seconds   float64        `json:"seconds"`
	P50Micros int64          `json:"p50Micros"`
	P95Micros int64          `json:"p95Micros"`
	P99Micros int64          `json:"p99Micros"`
	P999      int64          `json:"p999Micros"`
	MaxMicros int64          `json:"maxMicros"`
}

// Bounds of the latency histogram.
const (
	minMicros  = 1
	maxMicros  = int64(10 * time.Minute / time.Microsecond)
	precision  = 3
	maxReasons = 20
)

// Collector sums what workers see.
type Collector struct {
	mu     sync.Mutex
	report Report
	hist   *hdrhistogram.Histogram
}

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{
		hist:   hdrhistogram.New(minMicros, maxMicros, precision),
		report: Report{Failures: map[Kind]int{}, Servers: map[string]int{}, Reasons: map[string]int{}},
	}
}

// Add takes in one request's end.
func (c *Collector) Add(ans Answer, err error, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Sent++
	if err != nil {
		c.report.Failures[fault.KindOf[Kind](err)]++
		if len(c.report.Reasons) < maxReasons {
			c.report.Reasons[err.Error()]++
		}
		return
	}
	c.report.Whole++
	c.report.Servers[ans.Server]++
	_ = c.hist.RecordValue(max(minMicros, took.Microseconds()))
}

// Report returns the sums.
func (c *Collector) Report(took time.Duration) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.report
	r.Seconds = took.Seconds()
	r.P50Micros = c.hist.ValueAtQuantile(50)
	r.P95Micros = c.hist.ValueAtQuantile(95)
	r.P99Micros = c.hist.ValueAtQuantile(99)
	r.P999 = c.hist.ValueAtQuantile(99.9)
	r.MaxMicros = c.hist.Max()
	return r
}

// Run sends the plan's load.
func Run(ctx context.Context, c *Caller, p Plan) Report {
	col := NewCollector()
	start := time.Now()
	sendCtx, cancel := context.WithTimeout(ctx, p.For)
	defer cancel()
	tokens := pace(sendCtx, p)
	var wg sync.WaitGroup
	for range p.Workers {
		wg.Go(func() {
			for range tokens {
				begin := time.Now()
				// A request once begun is waited for, also past the end of the load.
				ans, err := c.Do(ctx, p.Request)
				col.Add(ans, err, time.Since(begin))
			}
		})
	}
	wg.Wait()
	return col.Report(time.Since(start))
}

// pace returns a channel that gives a token for each request.
func pace(ctx context.Context, p Plan) <-chan struct{} {
	tokens := make(chan struct{}, p.Workers)
	go func() {
		defer close(tokens)
		start := time.Now()
		for sent := 0; ctx.Err() == nil; sent++ {
			if p.PerSecond > 0 {
				due := start.Add(time.Duration(sent) * time.Second / time.Duration(p.PerSecond))
				time.Sleep(time.Until(due))
			}
			select {
			case tokens <- struct{}{}:
			case <-ctx.Done():
				return
			}
		}
	}()
	return tokens
}
