package proxy

import (
	"sync"
	"time"

	"rosemarygrade.dev/entryd/pkg/flow"
	"rosemarygrade.dev/entryd/pkg/place"
)

// maxTraces is the number of recent requests whose traces are kept.
const maxTraces = 2048

// Step is one site that was tried for a request, or skipped because of a shift cap.
type Step struct {
	Site   string `json:"site"`
	Rule   string `json:"rule"`
	Result string `json:"result"`
	Detail string `json:"detail,omitempty"`
}

// Trace records, for one request, each site that was tried or skipped, the reason why it was a
// candidate, and the result. It is safe for concurrent use.
type Trace struct {
	mu       sync.Mutex
	id       string
	service  string
	method   string
	path     string
	begin    time.Time
	duration time.Duration
	outcome  flow.Outcome
	steps    []Step
}

// Explanation is the JSON form of a trace for operators.
type Explanation struct {
	RequestID  string       `json:"requestId"`
	Service    string       `json:"service"`
	Method     string       `json:"method"`
	Path       string       `json:"path"`
	Begin      time.Time    `json:"begin"`
	TookMicros int64        `json:"tookMicros"`
	Outcome    flow.Outcome `json:"outcome"`
	Steps      []Step       `json:"steps"`
}

// Add appends a step with the result at one site.
func (t *Trace) Add(c place.Candidate, detail, result string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.steps = append(t.steps, Step{Site: c.Site.ID().String(), Rule: c.Reason, Result: result, Detail: detail})
}

// End records the duration and the outcome of the request.
func (t *Trace) End(now time.Time, res flow.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.duration = now.Sub(t.begin)
	switch r := res.(type) {
	case flow.Complete:
		t.outcome = flow.OutcomeFull
	case flow.Rejected:
		t.outcome = r.Outcome
	default:
		t.outcome = flow.OutcomeUnknown
	}
}

// Explain returns a copy of the trace.
func (t *Trace) Explain() Explanation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Explanation{
		RequestID: t.id, Service: t.service, Method: t.method, Path: t.path, Begin: t.begin,
		TookMicros: t.duration.Microseconds(), Outcome: t.outcome, Steps: append([]Step(nil), t.steps...),
	}
}

// Traces is a ring buffer of the traces of recent requests. It is safe for concurrent use.
type Traces struct {
	mu   sync.Mutex
	ring [maxTraces]*Trace
	next int
}

// NewTraces returns an empty ring buffer.
func NewTraces() *Traces { return &Traces{} }

// Begin adds a trace for a request, in place of the oldest one if the buffer is full.
func (r *Traces) Begin(now time.Time, req *flow.Request) *Trace {
	t := &Trace{id: req.ID, service: req.Service, method: req.Method, path: req.Path, begin: now}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ring[r.next] = t
	r.next = (r.next + 1) % maxTraces
	return t
}

// Find returns the trace of the request with the ID, and whether it is still in the buffer.
func (r *Traces) Find(id string) (Explanation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.ring {
		if t != nil && t.id == id {
			return t.Explain(), true
		}
	}
	return Explanation{}, false
}
