// Package wire defines the JSON types of the platform's object API, as operators write them. Package model
// validates them.
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
	// KindHosts is the platform's list of leaving hosts. The system creates it, not an operator.
	KindHosts = "hosts"
)

// NameHosts is the name of the only object of KindHosts.
const NameHosts = "platform"

// Kinds returns the kinds that operators write, in the order in which they are applied.
func Kinds() []string {
	return []string{KindRegion, KindService, KindPlacement, KindShift, KindDrain, KindRecall}
}

// Object is an object of any kind: operators write Spec, the system writes Status.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version,omitempty"`
	WriteID string          `json:"writeId,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
	Spec    json.RawMessage `json:"spec,omitempty"`
	Status  *Status         `json:"status,omitempty"`
}

// Status is the system's report on an object.
type Status struct {
	// Version counts the writes of the status; each write names the version that it replaces.
	Version uint64 `json:"version"`
	// ObservedVersion is the newest object version that the reporter has.
	ObservedVersion uint64 `json:"observedVersion"`
	// ForceVersion is the active object version: the newest valid one that the reporter has.
	ForceVersion uint64 `json:"forceVersion"`
	// HostsInForce is the number of alive processes that have the same active configuration as the reporter.
	HostsInForce int `json:"hostsInForce"`
	// HostsKnown is the number of alive processes.
	HostsKnown int `json:"hostsKnown"`
	// InFlight is the number of requests still in flight at backend servers that the drain or recall takes out of use.
	InFlight int `json:"inFlight"`
	// Done is true where a drain or recall is complete.
	Done bool `json:"done"`
	// Reason is why the newest version is not active, or why the drain or recall is not done.
	Reason string `json:"reason,omitempty"`
	// Reporter is the host that wrote the status.
	Reporter string `json:"reporter"`
}

// ServiceSpec is the spec of a service.
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

// RouteSpec selects requests for the service by path prefix and method.
type RouteSpec struct {
	Prefix        string   `json:"prefix"`
	Methods       []string `json:"methods,omitempty"`
	NonIdempotent bool     `json:"nonIdempotent,omitempty"`
}

// PlacementSpec is the list of a service's backend servers.
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

// RegionSpec is the spec of a region: its data centres, its links and the address blocks of its callers.
type RegionSpec struct {
	DataCentres  []string   `json:"dataCentres"`
	Links        []LinkSpec `json:"links,omitempty"`
	CallerBlocks []string   `json:"callerBlocks,omitempty"`
	MaxHosts     int        `json:"maxHosts"`
}

// LinkSpec is a directed link to another region.
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

// HostsSpec is the list of the hosts that are leaving, by IP or name.
type HostsSpec struct {
	Leaving []string `json:"leaving"`
}

// HostList is the platform's list of hosts.
type HostList struct {
	// Revision grows with each change of the list.
	Revision uint64      `json:"revision"`
	Hosts    []HostEntry `json:"hosts"`
}

// HostEntry is one host in the platform's list, which may be out of date.
type HostEntry struct {
	Host    string `json:"host"`
	Leaving bool   `json:"leaving,omitempty"`
}
