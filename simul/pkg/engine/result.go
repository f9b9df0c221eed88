package engine

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rosemarygrade.dev/simul/pkg/spec"
)

// Tally counts how requests ended.
type Tally struct {
	Asked   int     `json:"asked"`
	InTime  int     `json:"inTime"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Credit  float64 `json:"credit"`
}

// Worth returns the credit for each request.
func (t Tally) Worth() float64 { return t.Credit / float64(max(1, t.Asked)) }

// Result is what callers got.
type Result struct {
	scene  *spec.Scene
	total  Tally
	zones  map[string]*Tally
	second []Tally
	micros *hdrhistogram.Histogram
	// warmRuns and coldRuns count runs by whether their object was warm; waited is from send to start.
	warmRuns, coldRuns int
	waited             time.Duration
	// ran counts runs by window, the callers' region and the region of the run.
	ran map[way]int
}

// way is a part of the runs of one window.
type way struct {
	window   int
	from, to string
}

// Bounds of the histogram of times in microseconds.
const (
	minMicros = 1
	maxMicros = int64(time.Hour / time.Microsecond)
	digits    = 2
)

func newResult(s *spec.Scene) *Result {
	r := &Result{scene: s, ran: map[way]int{}, zones: map[string]*Tally{}, micros: hdrhistogram.New(minMicros, maxMicros, digits)}
	r.second = make([]Tally, int(s.Seconds)+1)
	for _, d := range s.DataCentres {
		r.zones[d.Name] = &Tally{}
	}
	return r
}

// Total returns the counts of the whole play.
func (r *Result) Total() Tally { return r.total }

// Zones returns the counts by the callers' data centre.
func (r *Result) Zones() map[string]*Tally { return r.zones }

// Seconds returns the counts by the second of the first attempt.
func (r *Result) Seconds() []Tally { return r.second }

// Quantile returns a quantile of the time of served requests; q is from 0 to 100.
func (r *Result) Quantile(q float64) time.Duration {
	return time.Duration(r.micros.ValueAtQuantile(q)) * time.Microsecond
}

// ColdShare returns which part of the runs found its object cold.
func (r *Result) ColdShare() float64 {
	return float64(r.coldRuns) / float64(max(1, r.coldRuns+r.warmRuns))
}

// MeanWait returns the mean time from a send to its start at the backend server.
func (r *Result) MeanWait() time.Duration {
	return r.waited / time.Duration(max(1, r.coldRuns+r.warmRuns))
}

// Windows in which the moves of work between regions are counted.
const (
	// shiftWindow is the length of a window, by the platform's rules.
	shiftWindow = 2 * time.Second
	// shiftLeast is how many runs make a window count: chance moves fewer.
	shiftLeast = 200
)

// Shift returns the largest part of a region's requests that ran in other regions than in the window before,
// between two times of a play.
func (r *Result) Shift(from, until time.Duration) float64 {
	worst := 0.0
	for _, origin := range r.scene.Regions() {
		for w := int(from / shiftWindow); w+1 < int(until/shiftWindow); w++ {
			worst = max(worst, r.shift(origin, w))
		}
	}
	return worst
}

// shift returns the part of a region's requests that changed its region from one window to the next.
func (r *Result) shift(origin string, window int) float64 {
	var sums [2]int
	for _, to := range r.scene.Regions() {
		for i := range sums {
			sums[i] += r.ran[way{window + i, origin, to}]
		}
	}
	if min(sums[0], sums[1]) < shiftLeast {
		return 0
	}
	moved := 0.0
	for _, to := range r.scene.Regions() {
		before := float64(r.ran[way{window, origin, to}]) / float64(sums[0])
		after := float64(r.ran[way{window + 1, origin, to}]) / float64(sums[1])
		moved += max(0, after-before)
	}
	return moved
}

// Worst returns the lowest worth of a data centre.
func (r *Result) Worst() float64 {
	worst := 1.0
	for _, t := range r.zones {
		worst = min(worst, t.Worth())
	}
	return worst
}

func (r *Result) each(q *request, count func(t *Tally)) {
	for _, t := range []*Tally{&r.total, r.zones[q.from.Name], &r.second[int(q.first.Seconds())]} {
		t.Asked++
		count(t)
	}
}

func (r *Result) served(w *World, q *request) {
	took := w.now - q.first
	_ = r.micros.RecordValue(max(minMicros, took.Microseconds()))
	inTime := took <= millis(r.scene.Work.ObjectiveMillis)
	r.each(q, func(t *Tally) {
		if inTime {
			t.InTime++
			t.Credit++
			return
		}
		t.Late++
		t.Credit += r.scene.Work.LateWorth
	})
}

func (r *Result) refused(_ *World, q *request) { r.each(q, func(t *Tally) { t.Refused++ }) }

func (r *Result) failed(_ *World, q *request) { r.each(q, func(t *Tally) { t.Failed++ }) }
