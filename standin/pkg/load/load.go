package load

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rosemarygrade.dev/lib/pkg/fault"
)

// Plan describes a load of fixed duration.
type Plan struct {
	Request Request
	// PerSecond is the rate of an open-loop load, in requests a second. With 0 the load is closed-loop: each worker sends its
	// next request when the last one has ended.
	PerSecond int
	// Workers is the largest number of concurrent requests.
	Workers int
	// Duration is the time during which requests are started.
	Duration time.Duration
}

// Report is the result of a load. Complete counts the requests with a complete and correct response; Servers counts these
// by server, and the latency percentiles cover only these. Reasons counts error messages, up to maxReasons different ones.
type Report struct {
	Sent       int            `json:"sent"`
	Complete   int            `json:"whole"`
	Failures   map[Kind]int   `json:"failures"`
	Reasons    map[string]int `json:"reasons,omitempty"`
	Servers    map[string]int `json:"servers"`
	Seconds    float64        `json:"seconds"`
	P50Micros  int64          `json:"p50Micros"`
	P95Micros  int64          `json:"p95Micros"`
	P99Micros  int64          `json:"p99Micros"`
	P999Micros int64          `json:"p999Micros"`
	MaxMicros  int64          `json:"maxMicros"`
}

// Bounds of the latency histogram and of the error messages in a report.
const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	maxReasons        = 20
)

// Collector collects the results of requests into a report. It is safe for concurrent use.
type Collector struct {
	mu     sync.Mutex
	report Report
	hist   *hdrhistogram.Histogram
}

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{
		hist:   hdrhistogram.New(minMicros, maxMicros, significantDigits),
		report: Report{Failures: map[Kind]int{}, Servers: map[string]int{}, Reasons: map[string]int{}},
	}
}

// Add records the result of a request and the time that it took.
func (c *Collector) Add(result Result, err error, took time.Duration) {
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
	c.report.Complete++
	c.report.Servers[result.Server]++
	_ = c.hist.RecordValue(max(minMicros, took.Microseconds()))
}

// Report returns the report of a load that took the given time.
func (c *Collector) Report(took time.Duration) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.report
	r.Seconds = took.Seconds()
	r.P50Micros = c.hist.ValueAtQuantile(50)
	r.P95Micros = c.hist.ValueAtQuantile(95)
	r.P99Micros = c.hist.ValueAtQuantile(99)
	r.P999Micros = c.hist.ValueAtQuantile(99.9)
	r.MaxMicros = c.hist.Max()
	return r
}

// Run sends the load of a plan with one caller and returns its report after the last response.
func Run(ctx context.Context, c *Caller, p Plan) Report {
	col := NewCollector()
	start := time.Now()
	sendCtx, cancel := context.WithTimeout(ctx, p.Duration)
	defer cancel()
	starts := schedule(sendCtx, p)
	var wg sync.WaitGroup
	for range p.Workers {
		wg.Go(func() {
			for range starts {
				begin := time.Now()
				// Requests in flight at the end of the load are not cancelled, so that each one has a result.
				result, err := c.Do(ctx, p.Request)
				col.Add(result, err, time.Since(begin))
			}
		})
	}
	wg.Wait()
	return col.Report(time.Since(start))
}

// schedule returns a channel that yields one value for each request to start, at the plan's rate, until ctx ends.
func schedule(ctx context.Context, p Plan) <-chan struct{} {
	starts := make(chan struct{}, p.Workers)
	go func() {
		defer close(starts)
		start := time.Now()
		for sent := 0; ctx.Err() == nil; sent++ {
			if p.PerSecond > 0 {
				due := start.Add(time.Duration(sent) * time.Second / time.Duration(p.PerSecond))
				time.Sleep(time.Until(due))
			}
			select {
			case starts <- struct{}{}:
			case <-ctx.Done():
				return
			}
		}
	}()
	return starts
}
