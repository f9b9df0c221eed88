// Package memory accounts for the memory that callers' requests occupy, so that no combination of them exceeds what the process may use.
// It opens no connection and starts no goroutine. It is made for floods of callers outside anyone's control: many large bodies at once,
// bodies that stop short of their end, and responses that nobody reads.
package memory

import "rosemarygrade.dev/lib/pkg/fault"

// Kind is the kind of an error of the package.
type Kind string

// Kinds of errors.
const (
	// KindFull means that the budget is exhausted and no other request has stalled.
	KindFull Kind = "full"
	// KindStalled means that the request had made no progress for the longest time when another needed memory.
	KindStalled Kind = "stalled"
	// KindTooLong means that a body is longer than its limit.
	KindTooLong Kind = "tooLong"
	// KindRead means that a body could not be read.
	KindRead Kind = "read"
)

// Error is the error type of the package.
type Error = fault.Error[Kind]

const (
	megabyte = 1 << 20
	// programBytes is the memory of the program itself that the Go runtime does not count. Measured: 15 MB.
	programBytes = 16 * megabyte
	// percent is the denominator of the shares below, which are shares of the memory without programBytes.
	percent = 100
	// gcShare is the share at which the garbage collector runs more often. The rest is for what is allocated while a collection runs.
	gcShare = 82
	// budgetShare is the share for requests. A body of 64 MiB has to fit into it, less the reserve, on a host of 184 MB.
	budgetShare = 55
	// connsShare is the share for connections and the headers that are read from them.
	connsShare = 13
	// reserveShare is the share of the budget that only requests whose body fits into one chunk may use.
	reserveShare = 12
)

// Limits are the limits of an account and of the connections' memory, in bytes.
type Limits struct {
	budget, reserve, conns, gc int64
}

// NewLimits derives the limits from the memory that the process may use.
func NewLimits(megabytes int) Limits {
	total := int64(megabytes) * megabyte
	usable := max(total-programBytes, total/2)
	l := Limits{budget: usable * budgetShare / percent, conns: usable * connsShare / percent, gc: usable * gcShare / percent}
	l.reserve = l.budget * reserveShare / percent
	return l
}

// Budget returns the memory for all requests together.
func (l Limits) Budget() int64 { return l.budget }

// LargestBody returns the length of the longest body that fits into the budget.
func (l Limits) LargestBody() int64 { return l.budget - l.reserve - requestBytes - ChunkBytes }

// Conns returns the memory for callers' connections.
func (l Limits) Conns() int64 { return l.conns }

// GC returns the memory limit of the Go runtime.
func (l Limits) GC() int64 { return l.gc }

const (
	// reservedDescriptors are for files, the runtime and the listeners.
	reservedDescriptors = 200
	// Shares of the other descriptors. Hosts of a large fleet may each keep a connection to the peer port.
	peersPart, lookupsPart, ownPart, smallPart = 8, 16, 32, 64
	// smallServers is the number of servers with a share of smallPart: readiness, admin and metrics.
	smallServers = 3
)

// Descriptors are the largest numbers of connections, one descriptor each.
type Descriptors struct {
	callers, backends, lookups, peers, small int
}

// NewDescriptors divides the descriptors that the process may open. A request needs a caller's connection and one to a backend server, so
// these two get the same number.
func NewDescriptors(total int) Descriptors {
	n := max(0, total-reservedDescriptors)
	d := Descriptors{lookups: max(1, n/lookupsPart), peers: max(1, n/peersPart), small: max(1, n/smallPart)}
	d.callers = max(1, (n-d.lookups-d.peers-smallServers*d.small-n/ownPart)/2)
	d.backends = d.callers
	return d
}

// Callers returns the limit of callers' connections.
func (d Descriptors) Callers() int { return d.callers }

// Backends returns the limit of connections to backend servers.
func (d Descriptors) Backends() int { return d.backends }

// Lookups returns the limit of connections for look-ups.
func (d Descriptors) Lookups() int { return d.lookups }

// Peers returns the limit of connections from other hosts.
func (d Descriptors) Peers() int { return d.peers }

// Small returns the limit of connections of each of the other servers: readiness, admin and metrics.
func (d Descriptors) Small() int { return d.small }
