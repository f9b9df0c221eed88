package world

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rosemarygrade.dev/simul/pkg/scene"
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
	scene  *scene.Scene
	total  Tally
	zones  map[string]*Tally
	second []Tally
	micros *hdrhistogram.Histogram
	// warmRuns and coldRuns count runs by whether their object was warm; waited is from send to start.
	warmRuns, coldRuns int
	waited             time.Duration
}

// Bounds of the histogram of times in microseconds.
const (
	minMicros = 1
	maxMicros = int64(time.Hour / time.Microsecond)
	digits    = 2
)

func newResult(s *scene.Scene) *Result {
	r := &Result{scene: s, zones: map[string]*Tally{}, micros: hdrhistogram.New(minMicros, maxMicros, digits)}
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
