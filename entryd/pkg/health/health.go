// Package health detects outliers among the backend servers of a site from the owner's own
// requests. A slow server gets one slot, a stalled one only a periodic probe. Only a limited share
// of the site's servers is reduced in this way at the same time.
package health

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of outlier detection.
const (
	// slowFactor is the ratio to the median of the servers' mean latencies above which a server is slow.
	slowFactor = 4
	// recoveryFactor is the ratio to the median above which a slow server stays slow.
	recoveryFactor = 2
	// minSamples is the number of latency samples that a server needs before it can be slow.
	minSamples = 8
	// stallFactor times the site's tail latency is the time without a response after which a server is stalled.
	stallFactor = 4
	// minStall is the shortest time without a response after which a server is stalled.
	minStall = 100 * time.Millisecond
	// probeInterval is the time between two requests to a stalled server.
	probeInterval = time.Second
	// maxReducedShare is the largest share of servers that are slow or stalled at the same time.
	maxReducedShare = 1.0 / 3
	// evaluateInterval is the shortest time between two evaluations of the servers.
	evaluateInterval = 20 * time.Millisecond
	// latencyWeight is the weight of a new sample in a server's mean latency.
	latencyWeight = 0.25
	// tailQuantile is the quantile that defines the tail latency, in per cent.
	tailQuantile = 95
	// histogramWindow is the length of a histogram window. The tail latency covers the latest
	// histogramWindows windows.
	histogramWindow  = 5 * time.Second
	histogramWindows = 3
	// defaultTail is the tail latency until there are minTailSamples samples.
	defaultTail    = time.Second
	minTailSamples = 20
	// maxFailures is the number of consecutive failures after which a server is stalled.
	maxFailures = 3
)

// Bounds of the latency histogram, in microseconds.
const (
	minMicros         = 1
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 2
)

// State is the health of a server.
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

// Tracker records the requests at the servers of one site and derives the servers' health. It is
// not safe for concurrent use.
type Tracker struct {
	servers     map[string]*server
	hist        *hdrhistogram.WindowedHistogram
	rotatedAt   time.Time
	evaluatedAt time.Time
	tail        time.Duration
	recorded    int64
}

// New returns a tracker without servers.
func New() *Tracker {
	return &Tracker{
		servers: map[string]*server{}, tail: defaultTail,
		hist: hdrhistogram.NewWindowed(histogramWindows, minMicros, maxMicros, significantDigits),
	}
}

// Retain deletes the servers that are not in the set.
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

// Started records that a request was sent to a server.
func (t *Tracker) Started(now time.Time, address string, id uint64) {
	s := t.server(address)
	s.starts[id] = now
	if s.state == StateStalled {
		s.lastProbe = now
	}
}

// Ended records the end of a request at a server. It returns the request's duration, and whether
// its start was recorded. If counted is true, the duration is a sample of the server's latency and
// ends a series of failures.
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

// CountFailure records that a server rejected a request, was unreachable, or was slower than a
// second attempt on another server.
func (t *Tracker) CountFailure(address string) { t.server(address).failures++ }

func (t *Tracker) record(now time.Time, took time.Duration) {
	if now.Sub(t.rotatedAt) >= histogramWindow {
		t.hist.Rotate()
		t.rotatedAt = now
	}
	t.recorded++
	_ = t.hist.Current.RecordValue(min(maxMicros, max(minMicros, took.Microseconds())))
}

// TailLatency returns the site's 95th percentile latency.
func (t *Tracker) TailLatency(now time.Time) time.Duration {
	t.evaluate(now)
	return t.tail
}

// Allowed returns how many of a server's slots may be used, those in use included.
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

// Mean returns a server's mean latency, or 0 if there are no samples.
func (t *Tracker) Mean(address string) time.Duration {
	s := t.servers[address]
	if s == nil {
		return 0
	}
	return time.Duration(s.mean)
}

// States returns the state of each server that is slow or stalled, by address.
func (t *Tracker) States() map[string]State {
	out := map[string]State{}
	for a, s := range t.servers {
		if s.state != StateOK {
			out[a] = s.state
		}
	}
	return out
}

// evaluate updates the state of every server, at most once per evaluateInterval.
func (t *Tracker) evaluate(now time.Time) {
	if now.Sub(t.evaluatedAt) < evaluateInterval {
		return
	}
	t.evaluatedAt = now
	t.updateTail()
	median := t.medianMean()
	var outliers []*server
	for _, s := range t.servers {
		s.state = t.stateOf(now, s, median)
		if s.state != StateOK {
			outliers = append(outliers, s)
		}
	}
	// If many servers look like outliers together, the thresholds are more likely wrong than the
	// servers, so only the worst ones are reduced.
	slices.SortFunc(outliers, func(a, b *server) int { return cmp.Compare(b.severity, a.severity) })
	limit := maxReducedServers(len(t.servers))
	for _, s := range outliers[min(limit, len(outliers)):] {
		s.state = StateOK
	}
}

// maxReducedServers returns how many of n servers may be slow or stalled at the same time:
// maxReducedShare of them, but at least one if there are two or more.
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

// silentFor returns how long a server has had requests in flight without a response.
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
