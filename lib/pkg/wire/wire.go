// Package wire holds the JSON shapes of the platform's object API, as operators write them.
package wire

import "encoding/json"

// Kinds of objects in the platform's object API.
const (
	KindService   = "service"
	KindPlacement = "placement"
	KindRegion    = "region"
	KindShift     = "shift"
	KindDrain     = "drain"
	KindRecall    = "recall"
	// KindHosts is the platform's list of leaving hosts; the system makes it, operators do not.
	KindHosts = "hosts"
)

// NameHosts is the name of the only object of KindHosts.
const NameHosts = "platform"

// Kinds lists the kinds in the order in which they are applied.
func Kinds() []string {
	return []string{KindRegion, KindService, KindPlacement, KindShift, KindDrain, KindRecall}
}

// Object is one object: operators write Spec, the system writes Status.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version,omitempty"`
	WriteID string          `json:"writeId,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
	Spec    json.RawMessage `json:"spec,omitempty"`
	Status  *Status         `json:"status,omitempty"`
}

// Status is what the system reports of an object.
type Status struct {
	// Version counts status writes; a status write names the version that it replaces.
	Version uint64 `json:"version"`
	// ObservedVersion is the newest object version that the reporter has seen.
	ObservedVersion uint64 `json:"observedVersion"`
	// ForceVersion is the object version in force.
	ForceVersion uint64 `json:"forceVersion"`
	// HostsInForce counts the processes whose configuration equals the reporter's.
	HostsInForce int `json:"hostsInForce"`
	// HostsKnown counts the live processes.
	HostsKnown int `json:"hostsKnown"`
	// InFlight counts requests still at backend servers that the object asks to stop.
	InFlight int `json:"inFlight"`
	// Done tells that a drain or recall has nothing left to wait for.
	Done bool `json:"done"`
	// Reason says why the object is not in force or not done.
	Reason string `json:"reason,omitempty"`
	// Reporter is the host that wrote the status.
	Reporter string `json:"reporter"`
}

// ServiceSpec describes a service.
type ServiceSpec struct {
	Routes             []RouteSpec `json:"routes"`
	Class              string      `json:"class"`
	DeadlineMillis     int         `json:"deadlineMillis"`
	MaxBodyBytes       int64       `json:"maxBodyBytes,omitempty"`
	RetryBudgetPercent float64     `json:"retryBudgetPercent,omitempty"`
	HedgeBudgetPercent float64     `json:"hedgeBudgetPercent,omitempty"`
	KeyOptional        bool        `json:"keyOptional,omitempty"`
	EchoOptional       bool        `json:"echoOptional,omitempty"`
}

// RouteSpec maps requests to the service by path prefix and method.
type RouteSpec struct {
	Prefix        string   `json:"prefix"`
	Methods       []string `json:"methods,omitempty"`
	NonIdempotent bool     `json:"nonIdempotent,omitempty"`
}

// PlacementSpec lists the backend servers of a service.
type PlacementSpec struct {
	Service string       `json:"service"`
	Servers []ServerSpec `json:"servers"`
}

// ServerSpec is one backend server.
type ServerSpec struct {
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	Batch      string `json:"batch"`
	Slots      int    `json:"slots"`
}

// RegionSpec describes a region, its links and its callers.
type RegionSpec struct {
	DataCentres  []string   `json:"dataCentres"`
	Links        []LinkSpec `json:"links,omitempty"`
	CallerBlocks []string   `json:"callerBlocks,omitempty"`
	MaxHosts     int        `json:"maxHosts"`
}

// LinkSpec is the directed link to another region.
type LinkSpec struct {
	To            string `json:"to"`
	BitsPerSecond int64  `json:"bitsPerSecond"`
	LatencyMillis int    `json:"latencyMillis"`
}

// ShiftSpec moves a share of a service's requests between regions.
type ShiftSpec struct {
	Service     string  `json:"service"`
	From        string  `json:"from"`
	To          string  `json:"to"`
	CapPercent  float64 `json:"capPercent"`
	RampSeconds int     `json:"rampSeconds,omitempty"`
}

// DrainSpec takes a data centre, a region or a host out of use.
type DrainSpec struct {
	Scope string `json:"scope"`
	Name  string `json:"name"`
}

// RecallSpec takes every backend server of a batch out of use.
type RecallSpec struct {
	Batch string `json:"batch"`
}

// HostsSpec lists the hosts that the platform says are leaving, by IP or name.
type HostsSpec struct {
	Leaving []string `json:"leaving"`
}

// HostList is the platform's list of hosts.
type HostList struct {
	// Revision grows with each change of the list.
	Revision uint64      `json:"revision"`
	Hosts    []HostEntry `json:"hosts"`
}

// HostEntry is one line of the platform's list of hosts, which lags.
type HostEntry struct {
	Host    string `json:"host"`
	Leaving bool   `json:"leaving,omitempty"`
}
