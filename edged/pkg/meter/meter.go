// Package meter holds the counters and latency histograms of a process and writes them as text. The endpoint that serves
// them is in package cmds.
package meter

import (
	"expvar"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms in microseconds.
const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 2
)

// Counter is the name of a counter or gauge.
type Counter string

// Counters and gauges. docs/METRICS.md explains each, and a test compares the names.
const (
	Requests         Counter = "requests"
	Served           Counter = "served"
	Rejected         Counter = "rejected"
	Failed           Counter = "failed"
	NoKey            Counter = "noKey"
	UnknownKey       Counter = "unknownKey"
	CallerLeft       Counter = "callerLeft"
	Queued           Counter = "queued"
	Sends            Counter = "sends"
	Repeats          Counter = "repeats"
	NotRun           Counter = "notRun"
	SendsLost        Counter = "sendsLost"
	FarSends         Counter = "farSends"
	WarmSends        Counter = "warmSends"
	LeavingResponses Counter = "leavingResponses"
	LimitedResponses Counter = "limitedResponses"
	PauseResponses   Counter = "pauseResponses"
	QuotaGranted     Counter = "quotaGranted"
	QuotaAsked       Counter = "quotaAsked"
	QuotaLost        Counter = "quotaLost"
	QuotaReserve     Counter = "quotaReserve"
	QuotaRefused     Counter = "quotaRefused"
	StoreCalls       Counter = "storeCalls"
	HealthChecks     Counter = "healthChecks"
	Lookups          Counter = "lookups"
	ConnsOpened      Counter = "connsOpened"
	MemoryHeld       Counter = "memoryHeld"
	MemoryRejected   Counter = "memoryRejected"
	MemoryStalled    Counter = "memoryStalled"
	CallerConns      Counter = "callerConns"
	CallerConnsEnded Counter = "callerConnsEnded"
	BackendConns     Counter = "backendConns"
	InFlight         Counter = "inFlight"
	Waiting          Counter = "waiting"
	Ramping          Counter = "ramping"
	HeldBack         Counter = "heldBack"
	LiveHosts        Counter = "liveHosts"
	Backends         Counter = "backends"
	ConfigVersion    Counter = "configVersion"
)

// Counters returns the names of all counters and gauges in the order of output.
func Counters() []Counter {
	return []Counter{
		Requests, Served, Rejected, Failed, NoKey, UnknownKey, CallerLeft, Queued, Sends, Repeats, NotRun, SendsLost, FarSends, WarmSends, LeavingResponses, LimitedResponses, PauseResponses,
		QuotaGranted, QuotaAsked, QuotaLost, QuotaReserve, QuotaRefused,
		StoreCalls, HealthChecks, Lookups, ConnsOpened, MemoryHeld, MemoryRejected, MemoryStalled, CallerConns, CallerConnsEnded, BackendConns,
		InFlight, Waiting, Ramping, HeldBack, LiveHosts, Backends, ConfigVersion,
	}
}

// Family is the name of metrics that differ in their labels.
type Family string

// Families. docs/METRICS.md explains each.
const (
	GossipBytes          Family = "gossipBytes"
	GossipMessages       Family = "gossipMessages"
	AnswerMillis         Family = "answerMillis"
	OrganisationRequests Family = "organisationRequests"
	OrganisationRejected Family = "organisationRejected"
)

// Families returns the names of all families.
func Families() []Family {
	return []Family{GossipBytes, GossipMessages, AnswerMillis, OrganisationRequests, OrganisationRejected}
}

// Sample is the value of a metric of a family. Labels has the form name="value",name="value".
type Sample struct {
	Family Family
	Labels string
	Value  int64
}

// Set holds the counters and histograms of a process. It is safe for concurrent use.
type Set struct {
	counts map[Counter]*expvar.Int
	// samples returns the metrics of other packages; nil means that there are none.
	samples       func() []Sample
	organisations *organisations

	mu    sync.Mutex
	times map[string]*hdrhistogram.Histogram
}

// New returns a set with all counters at 0.
func New() *Set {
	s := &Set{counts: map[Counter]*expvar.Int{}, organisations: newOrganisations(), times: map[string]*hdrhistogram.Histogram{}}
	for _, c := range Counters() {
		s.counts[c] = new(expvar.Int)
	}
	return s
}

// SetSource sets the function that returns the metrics of other packages. It must be called before WriteTo.
func (s *Set) SetSource(samples func() []Sample) { s.samples = samples }

// Add adds n to a counter.
func (s *Set) Add(c Counter, n int64) { s.counts[c].Add(n) }

// Set sets a gauge to n.
func (s *Set) Set(c Counter, n int64) { s.counts[c].Set(n) }

// Value returns the value of a counter or gauge.
func (s *Set) Value(c Counter) int64 { return s.counts[c].Value() }

// RecordLatency records the time from a request's arrival to its response in the histogram of its service.
func (s *Set) RecordLatency(service string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.times[service]
	if h == nil {
		h = hdrhistogram.New(minMicros, maxMicros, significantDigits)
		s.times[service] = h
	}
	if err := h.RecordValue(min(maxMicros, max(minMicros, d.Microseconds()))); err != nil {
		// The value is within the bounds of the histogram.
		panic(err)
	}
}

// WriteTo writes all metrics as text, one name and value a line; histograms as quantiles in milliseconds.
func (s *Set) WriteTo(w io.Writer) (int64, error) {
	const (
		p50, p99       = 50, 99
		microsPerMilli = 1000
	)
	var text []byte
	for _, c := range Counters() {
		text = fmt.Appendf(text, "%s %d\n", c, s.Value(c))
	}
	samples := s.organisations.samples()
	if s.samples != nil {
		samples = append(samples, s.samples()...)
	}
	for _, m := range samples {
		text = fmt.Appendf(text, "%s{%s} %d\n", m.Family, m.Labels, m.Value)
	}
	s.mu.Lock()
	names := make([]string, 0, len(s.times))
	for name := range s.times {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		h := s.times[name]
		text = fmt.Appendf(text, "%s{service=%q,quantile=\"0.5\"} %d\n", AnswerMillis, name, h.ValueAtQuantile(p50)/microsPerMilli)
		text = fmt.Appendf(text, "%s{service=%q,quantile=\"0.99\"} %d\n", AnswerMillis, name, h.ValueAtQuantile(p99)/microsPerMilli)
		text = fmt.Appendf(text, "%s{service=%q,quantile=\"1\"} %d\n", AnswerMillis, name, h.Max()/microsPerMilli)
	}
	s.mu.Unlock()
	n, err := w.Write(text)
	return int64(n), err
}
