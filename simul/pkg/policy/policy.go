// Package policy parses the policies that simul compares. A policy is edged's rules with some parameters changed.
package policy

import (
	"strconv"
	"strings"
	"time"

	"rosemarygrade.dev/edged/pkg/pick"
	"rosemarygrade.dev/lib/pkg/fault"
)

// Kind is the kind of an error of the package.
type Kind string

// KindValue means that a policy has an unknown rule or an invalid value.
const KindValue Kind = "value"

// Error is the error type of the package.
type Error = fault.Error[Kind]

// unlimitedServers makes all backend servers preferred ones.
const unlimitedServers = 1000

// Parse parses a policy: a name (default, spill) and changes such as homes=3,hold=false, joined by commas.
func Parse(text string) (pick.Rules, error) {
	rules := pick.DefaultRules()
	for part := range strings.SplitSeq(text, ",") {
		name, value, changed := strings.Cut(strings.TrimSpace(part), "=")
		switch {
		case name == "default" && !changed:
		case name == "spill" && !changed:
			rules.PreferredServers, rules.WaitForFirstRun, rules.LateWaitShare = unlimitedServers, false, 1
		default:
			if err := Set(&rules, name, value); err != nil {
				return rules, err
			}
		}
	}
	return rules, nil
}

// setters returns the numeric rules that a policy may change, by name.
func setters() map[string]func(r *pick.Rules, n float64) {
	millis := func(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }
	return map[string]func(r *pick.Rules, n float64){
		"homes":           func(r *pick.Rules, n float64) { r.PreferredServers = int(n) },
		"firstFree":       func(r *pick.Rules, n float64) { r.FirstSpread = n },
		"furtherFree":     func(r *pick.Rules, n float64) { r.FurtherSpread = n },
		"freeShare":       func(r *pick.Rules, n float64) { r.FirstSpread, r.FurtherSpread = n, n },
		"spillUse":        func(r *pick.Rules, n float64) { r.SpilloverUtilization = n },
		"parked":          func(r *pick.Rules, n float64) { r.ServerQueueShare = n },
		"workWeight":      func(r *pick.Rules, n float64) { r.WorkWeight = n },
		"lateShare":       func(r *pick.Rules, n float64) { r.LateWaitShare = n },
		"retryRoomMillis": func(r *pick.Rules, n float64) { r.RetryAfterSpare = millis(n) },
		"farMillis":       func(r *pick.Rules, n float64) { r.RemoteRoundTrip = millis(n) },
	}
}

// switches returns the rules that are on or off, by name.
func switches() map[string]func(r *pick.Rules, on bool) {
	return map[string]func(r *pick.Rules, on bool){
		"hold":             func(r *pick.Rules, on bool) { r.WaitForFirstRun = on },
		"timesByRoute":     func(r *pick.Rules, on bool) { r.TimesByRoute = on },
		"learnConcurrency": func(r *pick.Rules, on bool) { r.LearnConcurrency = on },
		"speedByServer":    func(r *pick.Rules, on bool) { r.SpeedByServer = on },
		"completeInTime":   func(r *pick.Rules, on bool) { r.CompleteInTime = on },
		"rampUp":           func(r *pick.Rules, on bool) { r.RampUp = on },
	}
}

// Set changes one rule to a value in text form.
func Set(r *pick.Rules, name, value string) error {
	if set, known := switches()[name]; known {
		b, err := strconv.ParseBool(value)
		if err != nil {
			return fault.Wrap("policy "+name, KindValue, err)
		}
		set(r, b)
		return nil
	}
	set, known := setters()[name]
	if !known {
		return fault.New("policy", KindValue, "no rule is named "+name)
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return fault.Wrap("policy "+name, KindValue, err)
	}
	set(r, n)
	return nil
}
