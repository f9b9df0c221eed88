// Package health judges backend servers from the owner's own in-flight work: slow ones get fewer
// slots, stalled ones none but a probe, and never more than a share of a site at once.
package health

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Rules of the judgement.
const (
	// slowFactor is how many times the median server's latency makes a server slow.
	slowFactor = 4
	// recoveryFactor is below how many times the median a slow server counts as well again.
	recoveryFactor = 2
	// minSamples is how many answers a server must have given before it can count as slow.
	minSamples = 8
	// stallFactor is how many times the site's tail without any answer makes a server stalled.
	stallFactor = 4
	// minStall is the least silence that makes a server stalled.
	minStall = 100 * time.Millisecond
	// probeInterval is the time between two requests to a stalled server.
	probeInterval = time.Second
	// maxReducedShare is the largest share of servers that get fewer slots at once.
	maxReducedShare = 1.0 / 3
	// evaluateInterval is the time between two judgements.
	evaluateInterval = 20 * time.Millisecond
	// latencyWeight is the weight of a new sample in a server's mean.
	latencyWeight = 0.25
	// tailQuantile is the quantile that counts as a site's tail, in per cent.
	tailQuantile = 95
	// histogramWindow and windows give how long samples count.
	histogramWindow  = 5 * time.Second
	histogramWindows = 3
	// defaultTail is the tail before there are samples.
	defaultTail    = time.Second
	minTailSamples = 20
	// maxFailures is how many refused or failed connections in a row make a server stalled.
	maxFailures = 3
)

// Bounds of the histogram of latencies in microseconds.
const (
	minMicros         = 1
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 2
)

// State is what the tracker thinks of a server.
type State string

// States of a server.
const (
	StateOK      State = "ok"
	StateSlow    State = "slow"
	StateStalled State = "stalled"
)

type server struct {
	starts    map[uint64]time.Time
	mean      float64
	samples   int
	lastEnd   time.Time
	state     State
	lastProbe time.Time
	severity  float64
	failures  int
}

// Tracker is not safe for concurrent use.
type Tracker struct {
	servers     map[string]*server
	hist        *hdrhistogram.WindowedHistogram
	rotatedAt   time.Time
	evaluatedAt time.Time
	tail        time.Duration
	recorded    int64
}

// New returns a tracker.
func New() *Tracker {
	return &Tracker{
		servers: map[string]*server{}, tail: defaultTail,
		hist: hdrhistogram.NewWindowed(histogramWindows, minMicros, maxMicros, significantDigits),
	}
}

// Retain forgets the servers that are not in the set.
func (t *Tracker) Retain(addresses map[string]bool) {
	for a := range t.servers {
		if !addresses[a] {
			delete(t.servers, a)
		}
	}
}

func (t *Tracker) server(address string) *server {
	s := t.servers[address]
	if s == nil {
		s = &server{starts: map[uint64]time.Time{}, state: StateOK}
		t.servers[address] = s
	}
	return s
}

// Started says that a request began at a server.
func (t *Tracker) Started(now time.Time, address string, id uint64) {
	s := t.server(address)
	s.starts[id] = now
	if s.state == StateStalled {
		s.lastProbe = now
	}
}

// Ended says that a request ended at a server, and returns the time that it took and whether its
// start was known. Counted says that its time is the server's doing.
func (t *Tracker) Ended(now time.Time, address string, id uint64, counted bool) (time.Duration, bool) {
	s := t.server(address)
	begin, ok := s.starts[id]
	delete(s.starts, id)
	took := now.Sub(begin)
	if !ok || !counted {
		return took, ok
	}
	s.failures = 0
	s.lastEnd = now
	s.samples++
	if s.samples == 1 {
		s.mean = float64(took)
	} else {
		s.mean += latencyWeight * (float64(took) - s.mean)
	}
	t.record(now, took)
	return took, true
}

// CountFailure says that a server refused a request, could not be reached, or was overtaken by a second try.
func (t *Tracker) CountFailure(address string) { t.server(address).failures++ }

func (t *Tracker) record(now time.Time, took time.Duration) {
	if now.Sub(t.rotatedAt) >= histogramWindow {
		t.hist.Rotate()
		t.rotatedAt = now
	}
	t.recorded++
	_ = t.hist.Current.RecordValue(min(maxMicros, max(minMicros, took.Microseconds())))
}

// Tail returns the latency that few of the site's requests outlive.
func (t *Tracker) Tail(now time.Time) time.Duration {
	t.evaluate(now)
	return t.tail
}

// Allowed returns how many of a server's slots may be used at present.
func (t *Tracker) Allowed(now time.Time, address string, slots int) int {
	t.evaluate(now)
	s := t.servers[address]
	if s == nil {
		return slots
	}
	switch s.state {
	case StateSlow:
		return min(1, slots)
	case StateStalled:
		if now.Sub(s.lastProbe) >= probeInterval {
			return min(slots, len(s.starts)+1)
		}
		return 0
	default:
		return slots
	}
}

// Mean returns a server's mean latency, or 0.
func (t *Tracker) Mean(address string) time.Duration {
	s := t.servers[address]
	if s == nil {
		return 0
	}
	return time.Duration(s.mean)
}

// States returns the servers that are not well.
func (t *Tracker) States() map[string]State {
	out := map[string]State{}
	for a, s := range t.servers {
		if s.state != StateOK {
			out[a] = s.state
		}
	}
	return out
}

// evaluate renews the state of every server at most once an interval.
func (t *Tracker) evaluate(now time.Time) {
	if now.Sub(t.evaluatedAt) < evaluateInterval {
		return
	}
	t.evaluatedAt = now
	t.updateTail()
	median := t.medianMean()
	var bad []*server
	for _, s := range t.servers {
		s.state = t.stateOf(now, s, median)
		if s.state != StateOK {
			bad = append(bad, s)
		}
	}
	// Where many servers seem bad at once, the measure is more likely wrong than the servers.
	slices.SortFunc(bad, func(a, b *server) int { return cmp.Compare(b.severity, a.severity) })
	limit := maxReducedServers(len(t.servers))
	for _, s := range bad[min(limit, len(bad)):] {
		s.state = StateOK
	}
}

// maxReducedServers returns how many of n servers may get fewer slots at once: a third, and one of two.
func maxReducedServers(n int) int {
	if n < 2 {
		return 0
	}
	return max(1, int(maxReducedShare*float64(n)))
}

func (t *Tracker) updateTail() {
	if t.recorded < minTailSamples {
		return
	}
	merged := t.hist.Merge()
	if merged.TotalCount() < minTailSamples {
		return
	}
	t.tail = time.Duration(merged.ValueAtQuantile(tailQuantile)) * time.Microsecond
}

func (t *Tracker) medianMean() float64 {
	var means []float64
	for _, s := range t.servers {
		if s.samples > 0 {
			means = append(means, s.mean)
		}
	}
	if len(means) == 0 {
		return 0
	}
	slices.Sort(means)
	return means[len(means)/2]
}

func (t *Tracker) stateOf(now time.Time, s *server, median float64) State {
	silence := silentFor(now, s)
	limit := max(minStall, stallFactor*t.tail)
	if silence > limit {
		s.severity = float64(silence)
		return StateStalled
	}
	if s.failures >= maxFailures {
		s.severity = float64(limit)
		return StateStalled
	}
	if s.samples < minSamples || median == 0 {
		return StateOK
	}
	factor := float64(slowFactor)
	if s.state == StateSlow {
		factor = recoveryFactor
	}
	if s.mean > factor*median {
		s.severity = s.mean
		return StateSlow
	}
	return StateOK
}

// silentFor returns how long a server with work has answered nothing.
func silentFor(now time.Time, s *server) time.Duration {
	var oldest time.Time
	for _, b := range s.starts {
		if oldest.IsZero() || b.Before(oldest) {
			oldest = b
		}
	}
	if oldest.IsZero() {
		return 0
	}
	if s.lastEnd.After(oldest) {
		oldest = s.lastEnd
	}
	return now.Sub(oldest)
}
