package pick

import "time"

// Rules are the figures of the decisions. The comments tell where each comes from; docs/design/load.md holds
// the runs.
type Rules struct {
	// Homes is how many backend servers hold an object warm: memory there is for about two of them.
	Homes int
	// FirstFree and FurtherFree are which part of a region's objects has its first home, and its others, in any
	// region by the slots there: so the second home of many lies where the load has another time of day.
	FirstFree, FurtherFree float64
	// SpillUse is the use of a service's slots below which objects may go beyond their homes; from trials.
	SpillUse float64
	// Parked is which part of its slots may wait at a backend server, to hide the way there; from trials.
	Parked float64
	// WorkWeight is how often the work counts beside the wait; from trials.
	WorkWeight float64
	// LateShare is which part of its time a request may wait that can't meet its objective; from trials.
	LateShare float64
	// Hold makes a request wait for the first run of its object where that is sooner than a run of its own.
	Hold bool
	// RetryFull is when a caller may come back whose request a full backend server turned away; RetryRoom the same
	// for one that has room, so that another may take it: the sooner, the more of the objective is left.
	RetryFull, RetryRoom time.Duration
	// FarTime is the time of the way to another region and back that is assumed: 40 and 70 ms at the users'.
	FarTime time.Duration
}

// DefaultRules returns the rules in use.
func DefaultRules() Rules {
	return Rules{
		Homes: 2,

		FirstFree:   0,
		FurtherFree: 0.25,

		SpillUse:   0.4,
		Parked:     0.67,
		WorkWeight: 1,
		LateShare:  0.25,
		Hold:       true,
		RetryFull:  250 * time.Millisecond,
		RetryRoom:  50 * time.Millisecond,
		FarTime:    50 * time.Millisecond,
	}
}
