// Package spec describes load patterns: a deployment, its callers, and what happens to them.
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
	KindRead  Kind = "read"
	KindField Kind = "field"
)

// Error is the error type of the package.
type Error = fault.Error[Kind]

// DataCentre is a data centre with its hosts, backend servers and callers.
type DataCentre struct {
	Name     string  `json:"name"`
	Region   string  `json:"region"`
	Hosts    int     `json:"hosts"`
	Backends int     `json:"backends"`
	Rate     float64 `json:"rate"`
	// Phase is where in its wave the load of the data centre begins, 0 to 1.
	Phase float64 `json:"phase"`
}

// Backend is how the backend servers work.
type Backend struct {
	Slots int `json:"slots"`
	Queue int `json:"queue"`
	// WarmMost is how many objects a backend server keeps warm.
	WarmMost int `json:"warmMost"`
	// NoiseShare is the part of time in which work takes NoiseFactor times as long; it changes every NoiseMillis.
	NoiseShare  float64 `json:"noiseShare"`
	NoiseFactor float64 `json:"noiseFactor"`
	NoiseMillis float64 `json:"noiseMillis"`
}

// Work is what callers ask for.
type Work struct {
	// Objects is how many objects the callers of one data centre ask for.
	Objects         int     `json:"objects"`
	MeanMillis      float64 `json:"meanMillis"`
	Spread          float64 `json:"spread"`
	TailShare       float64 `json:"tailShare"`
	TailFactor      float64 `json:"tailFactor"`
	WarmGain        float64 `json:"warmGain"`
	ObjectiveMillis float64 `json:"objectiveMillis"`
	TimeoutMillis   float64 `json:"timeoutMillis"`
	PatienceMillis  float64 `json:"patienceMillis"`
	LateWorth       float64 `json:"lateWorth"`
	Retries         int     `json:"retries"`
	Idempotent      bool    `json:"idempotent"`
	// RepeatRatio and RepeatSlack bound the repeats of all hosts in any 10 s; no ratio means no bound.
	RepeatRatio float64 `json:"repeatRatio,omitempty"`
	RepeatSlack float64 `json:"repeatSlack,omitempty"`
}

// Wave is how the load of each data centre swings.
type Wave struct {
	Swing         float64 `json:"swing"`
	PeriodSeconds float64 `json:"periodSeconds"`
}

// Event is something that happens.
type Event struct {
	// What is burst, move, slow, cold, hostsGone, shed or err.
	What       string  `json:"what"`
	AtSeconds  float64 `json:"atSeconds"`
	ForSeconds float64 `json:"forSeconds"`
	// DataCentre is where; empty means everywhere. To is where callers move to.
	DataCentre string `json:"dataCentre,omitempty"`
	To         string `json:"to,omitempty"`
	// Share is which part, Factor how strong.
	Share  float64 `json:"share,omitempty"`
	Factor float64 `json:"factor,omitempty"`
}

// Events that are known.
const (
	WhatBurst     = "burst"
	WhatMove      = "move"
	WhatSlow      = "slow"
	WhatCold      = "cold"
	WhatHostsGone = "hostsGone"
	// WhatShed lets a share of the backend servers turn away a part of their requests although they have room,
	// WhatErr lets them answer with failures.
	WhatShed = "shed"
	WhatErr  = "err"
)

func whats() []string {
	return []string{WhatBurst, WhatMove, WhatSlow, WhatCold, WhatHostsGone, WhatShed, WhatErr}
}

// Scene is a load pattern.
type Scene struct {
	Name            string       `json:"name"`
	Seconds         float64      `json:"seconds"`
	FarMillis       float64      `json:"farMillis"`
	NearMillis      float64      `json:"nearMillis"`
	ReportMillis    float64      `json:"reportMillis"`
	FarReportMillis float64      `json:"farReportMillis"`
	DataCentres     []DataCentre `json:"dataCentres"`
	Backend         Backend      `json:"backend"`
	Work            Work         `json:"work"`
	Wave            Wave         `json:"wave"`
	Events          []Event      `json:"events"`
}

// Load reads and checks a file.
func Load(path string) (*Scene, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap("scene", KindRead, err)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	s := &Scene{}
	if err := dec.Decode(s); err != nil {
		return nil, fault.Wrap("scene", KindField, err)
	}
	return s, s.Check()
}

// Check returns the first field that is wrong.
func (s *Scene) Check() error {
	w, b := s.Work, s.Backend
	rules := []struct {
		ok   bool
		text string
	}{
		{min(s.Seconds, s.ReportMillis, s.FarReportMillis) > 0, "seconds, reportMillis and farReportMillis must be above 0"},
		{len(s.DataCentres) > 0, "dataCentres must not be empty"},
		{min(b.Slots, b.WarmMost, b.Queue+1) > 0, "backend needs slots and warmMost"},
		{b.NoiseShare == 0 || (b.NoiseMillis > 0 && b.NoiseFactor > 0), "noiseShare needs noiseMillis and noiseFactor"},
		{min(float64(w.Objects), w.MeanMillis, w.TimeoutMillis, w.ObjectiveMillis) > 0, "work needs objects and times"},
		{w.WarmGain >= 0 && w.WarmGain < 1, "warmGain must be from 0 to below 1"},
		{s.Wave.Swing == 0 || s.Wave.PeriodSeconds > 0, "wave needs periodSeconds"},
	}
	for _, r := range rules {
		if !r.ok {
			return fault.New("scene", KindField, r.text)
		}
	}
	if err := s.checkPlaces(); err != nil {
		return err
	}
	for _, e := range s.Events {
		if !slices.Contains(whats(), e.What) {
			return fault.New("scene", KindField, "unknown event "+e.What)
		}
	}
	return nil
}

// Regions returns the names of the regions, in order.
func (s *Scene) Regions() []string {
	out := make([]string, 0, len(s.DataCentres))
	for _, d := range s.DataCentres {
		out = append(out, d.Region)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func (s *Scene) checkPlaces() error {
	for _, d := range s.DataCentres {
		if d.Name == "" || d.Region == "" || d.Hosts < 1 || d.Rate < 0 {
			return fault.New("scene", KindField, "a data centre needs a name, a region, a host and a rate")
		}
	}
	return nil
}
