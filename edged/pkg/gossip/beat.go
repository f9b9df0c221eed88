// Package gossip lets the hosts of the system know of each other: who lives, how much work each has at the
// backend servers, and what has been declared. It agrees on nothing; every use is safe when views differ.
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
	// KindFormat means that a message could not be read.
	KindFormat Kind = "format"
	// KindPeer means that a peer did not answer.
	KindPeer Kind = "peer"
	// KindListen means that the address could not be used.
	KindListen Kind = "listen"
)

// Error is the error type of the package.
type Error = fault.Error[Kind]

// beat is what a host says of itself. It is one datagram.
type beat struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // It sets the codec's form.
	Name        string
	DataCentre  string
	Incarnation int64
	Seq         uint64
	Serving     bool
	Store       storeState
	// BackMillis is how long ago the store returned after it was away.
	BackMillis int64
	Revisions  []uint64
	// Work holds for each backend server the count and, in the higher bits, ten times the slowness.
	Work  map[uint32]uint32
	Peers []string
	// Warm holds backend servers and objects that they have handled, in turn.
	Warm []uint32
}

// storeState is what a host knows of its way to the store.
type storeState uint8

const (
	storeUntried storeState = iota
	storeAnswers
	storeFails
)

// slownessShift and slownessScale place the slowness in a work figure.
const (
	slownessShift = 16
	countMask     = 1<<slownessShift - 1
	slownessScale = 10
)

func packWork(notes map[uint32]pick.ServerReport) map[uint32]uint32 {
	out := make(map[uint32]uint32, len(notes))
	for name, n := range notes {
		out[name] = uint32(min(n.InFlight, countMask)) | uint32(n.LatencyFactor*slownessScale)<<slownessShift
	}
	return out
}

func unpackWork(work map[uint32]uint32) map[uint32]pick.ServerReport {
	out := make(map[uint32]pick.ServerReport, len(work))
	for name, w := range work {
		out[name] = pick.ServerReport{InFlight: int(w & countMask), LatencyFactor: float64(w>>slownessShift) / slownessScale}
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

func (b *beat) encode() ([]byte, error) { return msgpack.Marshal(b) }

func decodeBeat(data []byte) (*beat, error) {
	var b beat
	if err := msgpack.Unmarshal(data, &b); err != nil {
		return nil, fault.Wrap("beat", KindFormat, err)
	}
	if b.Name == "" || len(b.Revisions) != len(plan.Topics()) {
		return nil, fault.New("beat", KindFormat, "a field is missing")
	}
	return &b, nil
}

// Host is a host of the system as this one sees it.
type Host struct {
	name        string
	address     string
	dataCentre  string
	region      string
	incarnation int64
	seq         uint64
	heard       time.Time
	sent        time.Time
	serving     bool
	store       storeState
	storeUntil  time.Time
	// told is whether the host was alive when that was logged last.
	told bool
}

// Name returns the host's name.
func (h *Host) Name() string { return h.name }

// Address returns the host's IP:port for peers.
func (h *Host) Address() string { return h.address }

// DataCentre returns where the host stands.
func (h *Host) DataCentre() string { return h.dataCentre }

// Region returns the region of its data centre.
func (h *Host) Region() string { return h.region }

// Serving tells whether the host takes callers' requests.
func (h *Host) Serving() bool { return h.serving }
