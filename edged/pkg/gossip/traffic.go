package gossip

import "sync/atomic"

// Section is a part of a message between hosts.
type Section int

// Sections of messages.
const (
	// SectionHeartbeat is a host's report on itself.
	SectionHeartbeat Section = iota
	// SectionRecords are the records of, or the addresses of, other hosts.
	SectionRecords
	// SectionResources are changes of resources; pulls count as this section.
	SectionResources
	// SectionLoads are reports on the load of backend servers.
	SectionLoads
	// SectionWarm are the warm objects.
	SectionWarm
	sectionCount
)

// String returns the section's name in metrics.
func (s Section) String() string {
	return [sectionCount]string{"heartbeat", "records", "resources", "loads", "warm"}[s]
}

// sectionBytes holds the number of bytes of each section of a message.
type sectionBytes [sectionCount]int

// Distance tells how far away the receiver of a message is.
type Distance int

// Distances.
const (
	// SameDataCentre means the sender's data centre.
	SameDataCentre Distance = iota
	// SameRegion means another data centre of the sender's region.
	SameRegion
	// OtherRegion means another region, or a host whose region is not yet known.
	OtherRegion
	distanceCount
)

// Distances returns all distances.
func Distances() []Distance { return []Distance{SameDataCentre, SameRegion, OtherRegion} }

// String returns the distance's name in metrics.
func (d Distance) String() string {
	return [distanceCount]string{"dataCentre", "region", "otherRegion"}[d]
}

// Traffic counts what this host has sent to others. It is safe for concurrent use.
type Traffic struct {
	bytes    [distanceCount][sectionCount]atomic.Int64
	messages [distanceCount]atomic.Int64
}

func (t *Traffic) add(d Distance, sizes sectionBytes) {
	t.messages[d].Add(1)
	for s, n := range sizes {
		t.bytes[d][s].Add(int64(n))
	}
}

// Bytes returns the number of bytes of a section sent over a distance.
func (t *Traffic) Bytes(d Distance, s Section) int64 { return t.bytes[d][s].Load() }

// Messages returns the number of datagrams and responses to pulls sent over a distance.
func (t *Traffic) Messages(d Distance) int64 { return t.messages[d].Load() }

// Each calls f for each distance and section with the number of bytes sent.
func (t *Traffic) Each(f func(d Distance, s Section, bytes int64)) {
	for d := range distanceCount {
		for s := range sectionCount {
			f(d, s, t.Bytes(d, s))
		}
	}
}
