// Package gossip exchanges state between the hosts of the system: which hosts are alive, the load that each puts on
// the backend servers, and the resources of the store. There is no consensus: each use of the state is safe while
// hosts disagree.
package gossip

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"rosemarygrade.dev/edged/pkg/pick"
	"rosemarygrade.dev/lib/pkg/fault"
	"rosemarygrade.dev/lib/pkg/plan"
)

// Kind is the kind of an error of the package.
type Kind string

// Kinds of errors.
const (
	// KindFormat means that a message could not be decoded.
	KindFormat Kind = "format"
	// KindPeer means that a pull from a peer failed or was rejected.
	KindPeer Kind = "peer"
	// KindListen means that the UDP address for peers could not be opened.
	KindListen Kind = "listen"
)

// Error is the error type of the package.
type Error = fault.Error[Kind]

// heartbeat is a host's report on itself, sent as one UDP datagram. It is encoded as an array: the order and the types
// of the fields are the wire format.
type heartbeat struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // It makes msgpack encode an array.
	Name        string
	DataCentre  string
	Incarnation int64
	Seq         uint64
	Serving     bool
	Store       storeState
	// StoreRecoveryAgeMillis is how long ago the store became available again after an outage; negative means unset.
	StoreRecoveryAgeMillis int64
	Revisions              []uint64
	// Load maps a backend server's ShortID to this host's requests in flight there (lower 16 bits) and to ten times
	// its latency factor (upper 16 bits).
	Load    map[uint32]uint32
	PeerIPs []string
	// Warm holds pairs: a backend server's ShortID, then the 32-bit hash of an object that is warm there.
	Warm []uint32
}

// storeState is the result of a host's last call to the store.
type storeState uint8

const (
	storeNotContacted storeState = iota
	storeReachable
	storeUnreachable
)

// Encoding of a Load value.
const (
	latencyFactorShift = 16
	countMask          = 1<<latencyFactorShift - 1
	latencyFactorScale = 10
)

func packLoad(reports map[uint32]pick.ServerReport) map[uint32]uint32 {
	out := make(map[uint32]uint32, len(reports))
	for id, r := range reports {
		out[id] = uint32(min(r.InFlight, countMask)) | uint32(r.LatencyFactor*latencyFactorScale)<<latencyFactorShift
	}
	return out
}

func unpackLoad(load map[uint32]uint32) map[uint32]pick.ServerReport {
	out := make(map[uint32]pick.ServerReport, len(load))
	for id, v := range load {
		out[id] = pick.ServerReport{InFlight: int(v & countMask), LatencyFactor: float64(v>>latencyFactorShift) / latencyFactorScale}
	}
	return out
}

func packWarm(list []pick.WarmObject) []uint32 {
	out := make([]uint32, 0, 2*len(list))
	for _, w := range list {
		out = append(out, w.Server, w.Object)
	}
	return out
}

func unpackWarm(list []uint32) []pick.WarmObject {
	out := make([]pick.WarmObject, 0, len(list)/2)
	for i := 0; i+1 < len(list); i += 2 {
		out = append(out, pick.WarmObject{Server: list[i], Object: list[i+1]})
	}
	return out
}

func (hb *heartbeat) encode() ([]byte, error) { return msgpack.Marshal(hb) }

func decodeHeartbeat(data []byte) (*heartbeat, error) {
	var hb heartbeat
	if err := msgpack.Unmarshal(data, &hb); err != nil {
		return nil, fault.Wrap("decode heartbeat", KindFormat, err)
	}
	if hb.Name == "" || len(hb.Revisions) != len(plan.Topics()) {
		return nil, fault.New("decode heartbeat", KindFormat, "the host name is missing or the number of revisions is wrong")
	}
	return &hb, nil
}

// Host is what this host stores about another one.
type Host struct {
	name          string
	address       string
	dataCentre    string
	region        string
	incarnation   int64
	seq           uint64
	lastHeartbeat time.Time
	lastSent      time.Time
	serving       bool
	store         storeState
	// notWatcherUntil is the time up to which the host is not elected as a watcher, because it can't reach the store.
	notWatcherUntil time.Time
	// loggedAlive is the result of the last check for failure; only the change from alive to failed is logged.
	loggedAlive bool
}

// Name returns the host's name.
func (h *Host) Name() string { return h.name }

// Address returns the host's IP:port for peers.
func (h *Host) Address() string { return h.address }

// DataCentre returns the host's data centre.
func (h *Host) DataCentre() string { return h.dataCentre }

// Region returns the region of the host's data centre.
func (h *Host) Region() string { return h.region }

// Serving reports whether the host accepts callers' requests.
func (h *Host) Serving() bool { return h.serving }
