package pick

import "time"

// Rules are the parameters of the decisions.
type Rules struct {
	// PreferredServers is the number of preferred backend servers of an object; all caches together have room for about
	// two copies of each object.
	PreferredServers int
	// FirstSpread is the share of a region's objects whose first preferred backend server is spread over all regions in
	// proportion to their slots. FurtherSpread is the same for the other preferred servers, so that many second ones are
	// in regions whose load peaks at another time of day.
	FirstSpread, FurtherSpread float64
	// SpilloverUtilization is the utilization of a service below which requests may spill over to non-preferred servers.
	SpilloverUtilization float64
	// ServerQueueShare is how many requests may be queued at a backend server, as a share of its slots. The queue keeps
	// its slots busy while the next requests are in transit.
	ServerQueueShare float64
	// WorkWeight is the weight of the service time against the wait in a candidate's cost.
	WorkWeight float64
	// LateWaitShare is the share of its remaining time that a request may wait if it can't meet its latency objective.
	LateWaitShare float64
	// WaitForFirstRun lets a request wait until its object's first run ends, if that is faster than a second cold run.
	WaitForFirstRun bool
	// RetryAfterFull is the delay before a caller retries a request that a full backend server rejected.
	// RetryAfterSpare is the same for a rejection by one with spare slots: another one may run the request, and the sooner
	// the caller retries, the more time is left until its latency objective.
	RetryAfterFull, RetryAfterSpare time.Duration
	// RemoteRoundTrip is the assumed round trip between regions; actual ones take 40 to 70 ms.
	RemoteRoundTrip time.Duration
	// TimesByRoute keeps the service times of each route of a service apart, and accounts for requests cut at their deadline.
	TimesByRoute bool
	// CompleteInTime lets no request start that is not expected to complete before its deadline.
	CompleteInTime bool
	// LearnConcurrency learns from rejections how many requests a backend server accepts at a time.
	LearnConcurrency bool
	// SpeedByServer estimates the speed of each backend server apart from the load factor that it reports.
	SpeedByServer bool
	// RampUp raises the rate to a backend server that starts or recovers step by step, by how it responds.
	RampUp bool
}

// DefaultRules returns the rules that edged uses.
func DefaultRules() Rules {
	return Rules{
		PreferredServers: 2,

		FirstSpread:   0,
		FurtherSpread: 0.25,

		SpilloverUtilization: 0.4,
		ServerQueueShare:     0.67,
		WorkWeight:           1,
		LateWaitShare:        0.25,
		WaitForFirstRun:      true,
		TimesByRoute:         true,
		CompleteInTime:       true,
		SpeedByServer:        true,
		RampUp:               true,
		RetryAfterFull:       250 * time.Millisecond,
		RetryAfterSpare:      50 * time.Millisecond,
		RemoteRoundTrip:      50 * time.Millisecond,
	}
}
