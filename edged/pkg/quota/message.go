package quota

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"rosemarygrade.dev/lib/pkg/fault"
)

// Bounds of messages. A datagram beyond them is ignored.
const (
	messageVersion  = 1
	maxNameBytes    = 255
	maxCredits      = 1 << 16
	maxDatagram     = 512
	maxMillis       = 60_000
	kindRequest     = 1
	kindAnswer      = 2
	maxDatagramSize = maxDatagram + 1
)

// stance tells the coordinator who uses the share of the host that sends a request.
type stance uint8

const (
	// stanceNone means that the host makes no promise; the coordinator uses its share while it believes the host alive.
	stanceNone stance = iota
	// stanceLent means that the host does not use its share for leaseTime after this message, and sends another one before.
	stanceLent
	// stanceOwn means that the host uses its share itself.
	stanceOwn
)

// message is a request for credits or an answer to one. It is encoded as an array: the order and the types of the fields are the
// wire format. Fields are only added at the end, as hosts of two versions exchange messages during an upgrade; a change of the
// meaning of a field takes another version.
type message struct {
	Version      uint8
	Kind         uint8
	Organisation string
	// Seq identifies a request; it is the same in the answer.
	Seq uint64

	// Urgent is the number of credits for requests that wait, Ahead the number for requests that are expected.
	Urgent, Ahead uint32
	// Returned is the number of credits of earlier answers that were not used.
	Returned uint32
	Stance   stance
	// Rate and Burst are the limit that the sender knows.
	Rate, Burst float64

	// Refused is true in the answer of a host that is not the coordinator. Coordinator is then the IP of the one it knows of, or 0.
	Refused     bool
	Coordinator uint32
	Granted     uint32
	// LifetimeMillis is the time from the sending of the request for which the credits may be used.
	LifetimeMillis uint32
	// WaitMillis is the time after which to ask again, CreditMillis the time until there is credit for all that have asked. Both are 0 unless
	// the credits are used up.
	WaitMillis, CreditMillis uint32
}

func (m *message) limit() Limit { return Limit{RatePerSecond: m.Rate, Burst: m.Burst} }

// fields returns pointers to the fields in the order of the wire format.
func (m *message) fields() []any {
	return []any{
		&m.Version, &m.Kind, &m.Organisation, &m.Seq, &m.Urgent, &m.Ahead, &m.Returned, &m.Stance, &m.Rate, &m.Burst,
		&m.Refused, &m.Coordinator, &m.Granted, &m.LifetimeMillis, &m.WaitMillis, &m.CreditMillis,
	}
}

func (m *message) encode() ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseCompactInts(true)
	e.UseCompactFloats(true)
	m.Version = messageVersion
	fields := m.fields()
	if err := e.EncodeArrayLen(len(fields)); err != nil {
		return nil, fault.Wrap("encode message", KindFormat, err)
	}
	if err := e.EncodeMulti(fields...); err != nil {
		return nil, fault.Wrap("encode message", KindFormat, err)
	}
	return b.Bytes(), nil
}

// decodeMessage decodes a datagram. It walks the datagram before it decodes it, as the decoder allocates what a length
// announces, also if the elements do not follow. Fields beyond those that it knows are ignored, as msgpack does not for structs that
// are encoded as arrays.
func decodeMessage(data []byte) (*message, error) {
	if len(data) > maxDatagram {
		return nil, fault.New("decode message", KindFormat, "the datagram is too long")
	}
	if err := msgpack.NewDecoder(bytes.NewReader(data)).Skip(); err != nil {
		return nil, fault.Wrap("decode message", KindFormat, err)
	}
	var m message
	d, fields := msgpack.NewDecoder(bytes.NewReader(data)), m.fields()
	n, err := d.DecodeArrayLen()
	if err != nil {
		return nil, fault.Wrap("decode message", KindFormat, err)
	}
	if n < len(fields) {
		return nil, fault.New("decode message", KindFormat, "too few fields")
	}
	if err := d.DecodeMulti(fields...); err != nil {
		return nil, fault.Wrap("decode message", KindFormat, err)
	}
	if err := m.check(); err != nil {
		return nil, err
	}
	return &m, nil
}

// check returns an error if a message is beyond the bounds.
func (m *message) check() error {
	var problem string
	switch {
	case m.Version != messageVersion || (m.Kind != kindRequest && m.Kind != kindAnswer):
		problem = "unknown version or kind"
	case m.Organisation == "" || len(m.Organisation) > maxNameBytes:
		problem = "the organisation is missing or its name is too long"
	case max(m.Urgent, m.Ahead, m.Returned, m.Granted) > maxCredits:
		problem = "too many credits"
	case max(m.LifetimeMillis, m.WaitMillis, m.CreditMillis) > maxMillis:
		problem = "too long a time"
	case m.Kind == kindRequest && (!m.limit().valid() || m.Stance > stanceOwn):
		problem = "no limit, or an unknown stance"
	default:
		return nil
	}
	return fault.New("decode message", KindFormat, problem)
}
