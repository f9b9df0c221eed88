// Package polic reads policies: the product's rules with some figures changed.
package polic

import (
	"strconv"
	"strings"
	"time"

	"rosemarygrade.dev/edged/pkg/pick"
	"rosemarygrade.dev/lib/pkg/fault"
)

// Kind is the kind of an error of the package.
type Kind string

// KindValue means that a policy could not be read.
const KindValue Kind = "value"

// Error is the error type of the package.
type Error = fault.Error[Kind]

// manyHomes stands for any backend server.
const manyHomes = 1000

// Parse reads a policy: a name (default, spill) and changes such as homes=3,hold=false, joined by commas.
func Parse(text string) (pick.Rules, error) {
	rules := pick.DefaultRules()
	for part := range strings.SplitSeq(text, ",") {
		name, value, changed := strings.Cut(strings.TrimSpace(part), "=")
		switch {
		case name == "default" && !changed:
		case name == "spill" && !changed:
			rules.Homes, rules.Hold, rules.LateShare = manyHomes, false, 1
		default:
			if err := Set(&rules, name, value); err != nil {
				return rules, err
			}
		}
	}
	return rules, nil
}

// Set changes one figure.
func Set(r *pick.Rules, name, value string) error {
	if name == "hold" {
		b, err := strconv.ParseBool(value)
		if err != nil {
			return fault.Wrap("policy "+name, KindValue, err)
		}
		r.Hold = b
		return nil
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return fault.Wrap("policy "+name, KindValue, err)
	}
	switch name {
	case "homes":
		r.Homes = int(n)
	case "firstFree":
		r.FirstFree = n
	case "furtherFree":
		r.FurtherFree = n
	case "freeShare":
		r.FirstFree, r.FurtherFree = n, n
	case "spillUse":
		r.SpillUse = n
	case "parked":
		r.Parked = n
	case "workWeight":
		r.WorkWeight = n
	case "lateShare":
		r.LateShare = n
	case "retryRoomMillis":
		r.RetryRoom = time.Duration(n * float64(time.Millisecond))
	case "farMillis":
		r.FarTime = time.Duration(n * float64(time.Millisecond))
	default:
		return fault.New("policy", KindValue, "no rule is named "+name)
	}
	return nil
}
