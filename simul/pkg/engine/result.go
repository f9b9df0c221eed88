package engine

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rosemarygrade.dev/simul/pkg/spec"
)

// Counters counts requests by how they ended. UtilitySum adds 1 for each in time and LateUtility for each late one.
type Counters struct {
	Requests   int     `json:"asked"`
	InTime     int     `json:"inTime"`
	Late       int     `json:"late"`
	Rejected   int     `json:"refused"`
	Failed     int     `json:"failed"`
	UtilitySum float64 `json:"credit"`
}

// Utility returns the mean utility of a request, 0 to 1.
func (c Counters) Utility() float64 { return c.UtilitySum / float64(max(1, c.Requests)) }

// Result holds how the callers' requests ended in a run.
type Result struct {
	scenario      *spec.Scenario
	total         Counters
	dataCentres   map[string]*Counters
	bySecond      []Counters
	latencyMicros *hdrhistogram.Histogram
	// warmRuns and coldRuns count runs of warm and cold objects. queuedTime is the sum of the times from a send to the
	// start of its run.
	warmRuns, coldRuns int
	queuedTime         time.Duration
	// runs counts runs by flow.
	runs map[flow]int
}

// flow identifies requests by their window, their callers' region (from) and the region of their run (to).
type flow struct {
	window   int
	from, to string
}

// Bounds of the latency histogram in microseconds.
const (
	minMicros         = 1
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 2
)

func newResult(s *spec.Scenario) *Result {
	r := &Result{scenario: s, runs: map[flow]int{}, dataCentres: map[string]*Counters{}, latencyMicros: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
	r.bySecond = make([]Counters, int(s.Seconds)+1)
	for _, d := range s.DataCentres {
		r.dataCentres[d.Name] = &Counters{}
	}
	return r
}

// Total returns the counters of the whole run.
func (r *Result) Total() Counters { return r.total }

// DataCentres returns the counters by the callers' data centre.
func (r *Result) DataCentres() map[string]*Counters { return r.dataCentres }

// Seconds returns the counters by the second of the first attempt.
func (r *Result) Seconds() []Counters { return r.bySecond }

// Quantile returns a quantile of the latency of served requests, from the first attempt; q is from 0 to 100.
func (r *Result) Quantile(q float64) time.Duration {
	return time.Duration(r.latencyMicros.ValueAtQuantile(q)) * time.Microsecond
}

// ColdShare returns the share of runs whose object was cold.
func (r *Result) ColdShare() float64 {
	return float64(r.coldRuns) / float64(max(1, r.coldRuns+r.warmRuns))
}

// MeanWait returns the mean time from a send to the start of its run at the backend server.
func (r *Result) MeanWait() time.Duration {
	return r.queuedTime / time.Duration(max(1, r.coldRuns+r.warmRuns))
}

// Windows for measuring how much work moves between regions.
const (
	// shiftWindow is the length of a window; the share of requests that change region between two windows is limited.
	shiftWindow = 2 * time.Second
	// minShiftRuns is how many runs a window needs to count: in smaller ones, random variation looks like a shift.
	minShiftRuns = 200
)

// MaxRegionShift returns the largest share of the requests of any region's callers that moved to other regions from one
// window to the next, for the windows between two times of a run.
func (r *Result) MaxRegionShift(from, until time.Duration) float64 {
	worst := 0.0
	for _, origin := range r.scenario.Regions() {
		for window := int(from / shiftWindow); window+1 < int(until/shiftWindow); window++ {
			worst = max(worst, r.regionShift(origin, window))
		}
	}
	return worst
}

// regionShift returns the share of the requests of a region's callers that moved to other regions from a window to the next.
func (r *Result) regionShift(origin string, window int) float64 {
	var sums [2]int
	for _, to := range r.scenario.Regions() {
		for i := range sums {
			sums[i] += r.runs[flow{window + i, origin, to}]
		}
	}
	if min(sums[0], sums[1]) < minShiftRuns {
		return 0
	}
	moved := 0.0
	for _, to := range r.scenario.Regions() {
		before := float64(r.runs[flow{window, origin, to}]) / float64(sums[0])
		after := float64(r.runs[flow{window + 1, origin, to}]) / float64(sums[1])
		moved += max(0, after-before)
	}
	return moved
}

// LowestUtility returns the utility of the data centre whose callers have the lowest.
func (r *Result) LowestUtility() float64 {
	lowest := 1.0
	for _, c := range r.dataCentres {
		lowest = min(lowest, c.Utility())
	}
	return lowest
}

func (r *Result) record(q *request, count func(c *Counters)) {
	for _, c := range []*Counters{&r.total, r.dataCentres[q.from.Name], &r.bySecond[int(q.firstAttempt.Seconds())]} {
		c.Requests++
		count(c)
	}
}

func (r *Result) recordServed(sim *Simulation, q *request) {
	took := sim.now - q.firstAttempt
	_ = r.latencyMicros.RecordValue(max(minMicros, took.Microseconds()))
	inTime := took <= millis(r.scenario.Work.ObjectiveMillis)
	r.record(q, func(t *Counters) {
		if inTime {
			t.InTime++
			t.UtilitySum++
			return
		}
		t.Late++
		t.UtilitySum += r.scenario.Work.LateUtility
	})
}

func (r *Result) recordRejected(_ *Simulation, q *request) {
	r.record(q, func(t *Counters) { t.Rejected++ })
}

func (r *Result) recordFailed(_ *Simulation, q *request) {
	r.record(q, func(t *Counters) { t.Failed++ })
}
