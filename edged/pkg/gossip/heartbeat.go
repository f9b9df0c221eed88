// Package gossip exchanges state between the hosts of the system: which hosts are alive, the load that each puts on
// the backend servers, and the resources of the store. There is no consensus: each use of the state is safe while
// hosts disagree. docs/design/membership.md describes who sends what to whom.
package gossip

import (
	"bytes"
	"math"
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

// Bounds of what a datagram may hold. A datagram beyond them is ignored.
const (
	maxNameBytes       = 255
	maxReceivedRecords = 256
	maxReceivedDeltas  = 64
)

// heartbeat is a host's report on itself and on what it knows, sent as one UDP datagram. It is encoded as an array: the
// order and the types of the fields are the wire format. Fields are only added at the end, as hosts of two versions
// exchange heartbeats during an upgrade.
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
	Load map[uint32]uint32
	// PeerIPs are hosts' addresses from hosts of earlier versions, which send no Records.
	PeerIPs []string
	// Warm holds pairs: a backend server's ShortID, then the 32-bit hash of an object that is warm there.
	Warm []uint32
	// FleetSize is the highest number of hosts that the sender knows the system to have had.
	FleetSize int
	// AliveHosts is how many hosts the sender believes alive, itself included.
	AliveHosts int
	// Records report on other hosts that the sender believes alive.
	Records []record
	// Deltas are the changes of resources that the sender learned last.
	Deltas []delta
	// WantsReply asks the receiver for a heartbeat in return, because the sender has not heard of it for silentAge.
	WantsReply bool
}

// heartbeatFields is the number of fields of a heartbeat on the wire.
const heartbeatFields = 16

// record is the newest heartbeat of a host that the sender of a message knows of.
type record struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // It makes msgpack encode an array.
	IP       uint32
	// DataCentre is empty if it is the sender's.
	DataCentre  string
	Incarnation int64
	Seq         uint64
	// Age is the time since the host sent it, in units of ageUnit.
	Age     uint8
	Serving bool
	Store   storeState
}

// ageUnit is the unit of the ages of records.
const ageUnit = 50 * time.Millisecond

// storeState is what a host reports of its calls to the store: the result of the last one, or that it leaves them to others.
type storeState uint8

const (
	storeNotContacted storeState = iota
	storeReachable
	storeUnreachable
	// storeResigned means that the host is stopping, so that another one has to watch the store. Hosts of earlier versions take it for
	// storeNotContacted.
	storeResigned
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
		factor := uint32(min(math.MaxUint16, r.LatencyFactor*latencyFactorScale))
		out[id] = uint32(min(r.InFlight, countMask)) | factor<<latencyFactorShift
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

// encode returns the datagram and the number of its bytes by Section.
func (hb *heartbeat) encode() ([]byte, sectionBytes, error) {
	var (
		b     bytes.Buffer
		sizes sectionBytes
		err   error
	)
	e := msgpack.NewEncoder(&b)
	e.UseCompactInts(true)
	write := func(s Section, fields ...any) {
		before := b.Len()
		for _, f := range fields {
			if err == nil {
				err = e.Encode(f)
			}
		}
		sizes[s] += b.Len() - before
	}
	err = e.EncodeArrayLen(heartbeatFields)
	write(SectionHeartbeat, hb.Name, hb.DataCentre, hb.Incarnation, hb.Seq, hb.Serving, hb.Store, hb.StoreRecoveryAgeMillis, hb.Revisions)
	write(SectionLoads, hb.Load)
	write(SectionRecords, hb.PeerIPs)
	write(SectionWarm, hb.Warm)
	write(SectionHeartbeat, hb.FleetSize, hb.AliveHosts)
	write(SectionRecords, hb.Records)
	write(SectionResources, hb.Deltas)
	write(SectionHeartbeat, hb.WantsReply)
	return b.Bytes(), sizes, err
}

// decodeHeartbeat decodes a datagram. It walks the datagram before it decodes it, as the decoder allocates what a
// length announces, also if the elements do not follow.
func decodeHeartbeat(data []byte) (*heartbeat, error) {
	if err := msgpack.NewDecoder(bytes.NewReader(data)).Skip(); err != nil {
		return nil, fault.Wrap("decode heartbeat", KindFormat, err)
	}
	var hb heartbeat
	if err := msgpack.Unmarshal(data, &hb); err != nil {
		return nil, fault.Wrap("decode heartbeat", KindFormat, err)
	}
	if hb.Name == "" || len(hb.Revisions) != len(plan.Topics()) {
		return nil, fault.New("decode heartbeat", KindFormat, "the host name is missing or the number of revisions is wrong")
	}
	if len(hb.Name) > maxNameBytes || len(hb.DataCentre) > maxNameBytes || len(hb.Records) > maxReceivedRecords ||
		len(hb.PeerIPs) > maxHosts || len(hb.Deltas) > maxReceivedDeltas {
		return nil, fault.New("decode heartbeat", KindFormat, "a name or a list is too long")
	}
	return &hb, nil
}
