// Package spec defines scenarios and reads them from JSON files. A scenario is a deployment, the load of its callers, and
// events such as bursts and faults.
package spec

import (
	"bytes"
	"encoding/json"
	"os"
	"slices"

	"rosemarygrade.dev/lib/pkg/fault"
)

// Kind is the kind of an error of the package.
type Kind string

// Kinds of errors.
const (
	// KindRead means that the scenario's file could not be read.
	KindRead Kind = "read"
	// KindField means that a field of the scenario is invalid.
	KindField Kind = "field"
)

// Error is the error type of the package.
type Error = fault.Error[Kind]

// DataCentre is a data centre with its hosts, backend servers and callers. Rate is in requests a second.
type DataCentre struct {
	Name     string  `json:"name"`
	Region   string  `json:"region"`
	Hosts    int     `json:"hosts"`
	Backends int     `json:"backends"`
	Rate     float64 `json:"rate"`
	// Phase is the phase of the data centre's load wave at the start, 0 to 1.
	Phase float64 `json:"phase"`
}

// Backend describes every backend server. Queue is its maximum queue length.
type Backend struct {
	Slots int `json:"slots"`
	Queue int `json:"queue"`
	// MaxWarmObjects is how many objects a backend server caches.
	MaxWarmObjects int `json:"warmMost"`
	// NoiseShare is the share of the time in which a backend server's service times are multiplied by NoiseFactor. This
	// is redrawn about every NoiseMillis.
	NoiseShare  float64 `json:"noiseShare"`
	NoiseFactor float64 `json:"noiseFactor"`
	NoiseMillis float64 `json:"noiseMillis"`
}

// Work describes the callers' requests.
type Work struct {
	// Objects is how many objects the callers of one data centre request.
	Objects              int     `json:"objects"`
	MeanMillis           float64 `json:"meanMillis"`
	Spread               float64 `json:"spread"`
	TailShare            float64 `json:"tailShare"`
	TailFactor           float64 `json:"tailFactor"`
	WarmSaving           float64 `json:"warmGain"`
	ObjectiveMillis      float64 `json:"objectiveMillis"`
	AttemptTimeoutMillis float64 `json:"timeoutMillis"`
	CallerTimeoutMillis  float64 `json:"patienceMillis"`
	LateUtility          float64 `json:"lateWorth"`
	CallerRetries        int     `json:"retries"`
	Idempotent           bool    `json:"idempotent"`
	// HostRetryRatio and HostFreeRetries bound the retries of all hosts in any 10 s; a ratio of 0 means no bound.
	HostRetryRatio  float64 `json:"repeatRatio,omitempty"`
	HostFreeRetries float64 `json:"repeatSlack,omitempty"`
}

// Wave is a sine wave on the load of each data centre. Amplitude is a share of the data centre's rate.
type Wave struct {
	Amplitude     float64 `json:"swing"`
	PeriodSeconds float64 `json:"periodSeconds"`
}

// Event is a temporary change of the load or a fault.
type Event struct {
	// Type is burst, move, slow, cold, hostsGone, shed or err.
	Type       string  `json:"what"`
	AtSeconds  float64 `json:"atSeconds"`
	ForSeconds float64 `json:"forSeconds"`
	// DataCentre is where burst, move and cold apply; empty means everywhere for burst and cold. Callers move to To.
	DataCentre string `json:"dataCentre,omitempty"`
	To         string `json:"to,omitempty"`
	// Share is the share of callers, hosts or backend servers that are affected. Factor multiplies the rate (burst) or
	// the service time (slow), or is the probability that a request is affected (shed, err).
	Share  float64 `json:"share,omitempty"`
	Factor float64 `json:"factor,omitempty"`
}

// Types of events.
const (
	EventBurst     = "burst"
	EventMove      = "move"
	EventSlow      = "slow"
	EventCold      = "cold"
	EventHostsGone = "hostsGone"
	// EventShed makes backend servers shed requests although they have free slots; EventErr makes them respond with
	// errors.
	EventShed = "shed"
	EventErr  = "err"
)

func eventTypes() []string {
	return []string{EventBurst, EventMove, EventSlow, EventCold, EventHostsGone, EventShed, EventErr}
}

// Scenario is a deployment with its load and events.
type Scenario struct {
	Name               string       `json:"name"`
	Seconds            float64      `json:"seconds"`
	RemoteMillis       float64      `json:"farMillis"`
	RegionMillis       float64      `json:"nearMillis"`
	ReportMillis       float64      `json:"reportMillis"`
	RemoteReportMillis float64      `json:"farReportMillis"`
	DataCentres        []DataCentre `json:"dataCentres"`
	Backend            Backend      `json:"backend"`
	Work               Work         `json:"work"`
	Wave               Wave         `json:"wave"`
	Events             []Event      `json:"events"`
}

// Load reads a scenario from a JSON file and checks it.
func Load(path string) (*Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap("scenario", KindRead, err)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	s := &Scenario{}
	if err := dec.Decode(s); err != nil {
		return nil, fault.Wrap("scenario", KindField, err)
	}
	return s, s.Check()
}

// Check returns an error for the first invalid field.
func (s *Scenario) Check() error {
	w, b := s.Work, s.Backend
	rules := []struct {
		ok   bool
		text string
	}{
		{min(s.Seconds, s.ReportMillis, s.RemoteReportMillis) > 0, "seconds, reportMillis and farReportMillis must be above 0"},
		{len(s.DataCentres) > 0, "dataCentres must not be empty"},
		{min(b.Slots, b.MaxWarmObjects, b.Queue+1) > 0, "backend needs slots and warmMost"},
		{b.NoiseShare == 0 || (b.NoiseMillis > 0 && b.NoiseFactor > 0), "noiseShare needs noiseMillis and noiseFactor"},
		{min(float64(w.Objects), w.MeanMillis, w.AttemptTimeoutMillis, w.ObjectiveMillis) > 0, "work needs objects and times"},
		{w.WarmSaving >= 0 && w.WarmSaving < 1, "warmGain must be from 0 to below 1"},
		{s.Wave.Amplitude == 0 || s.Wave.PeriodSeconds > 0, "wave needs periodSeconds"},
	}
	for _, r := range rules {
		if !r.ok {
			return fault.New("scenario", KindField, r.text)
		}
	}
	if err := s.checkDataCentres(); err != nil {
		return err
	}
	for _, e := range s.Events {
		if !slices.Contains(eventTypes(), e.Type) {
			return fault.New("scenario", KindField, "unknown event "+e.Type)
		}
	}
	return nil
}

// Regions returns the sorted names of the regions.
func (s *Scenario) Regions() []string {
	out := make([]string, 0, len(s.DataCentres))
	for _, d := range s.DataCentres {
		out = append(out, d.Region)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func (s *Scenario) checkDataCentres() error {
	for _, d := range s.DataCentres {
		if d.Name == "" || d.Region == "" || d.Hosts < 1 || d.Rate < 0 {
			return fault.New("scenario", KindField, "a data centre needs a name, a region, a host and a rate")
		}
	}
	return nil
}
