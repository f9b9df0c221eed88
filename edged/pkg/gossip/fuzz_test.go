package gossip

import (
	"bytes"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"rosemarygrade.dev/lib/pkg/plan"
)

// invalidDatagrams lie about their size, count or names.
func invalidDatagrams(t testing.TB) map[string][]byte {
	t.Helper()
	valid := func(change func(hb *heartbeat)) []byte {
		hb := &heartbeat{Name: "a", DataCentre: "n", Incarnation: 1, Seq: 1, Revisions: make([]uint64, len(plan.Topics()))}
		change(hb)
		data, _, err := hb.encode()
		assert.NilError(t, err)
		return data
	}
	array := func(fields ...any) []byte {
		var b bytes.Buffer
		e := msgpack.NewEncoder(&b)
		assert.NilError(t, e.EncodeArrayLen(heartbeatFields))
		for _, f := range fields {
			assert.NilError(t, e.Encode(f))
		}
		return b.Bytes()
	}
	// hugeArray and hugeMap announce 16,777,215 elements, which do not follow: few enough that a decoder which allocates them
	// fails the test and does not end it.
	hugeArray, hugeMap := []byte{0xdd, 0x00, 0xff, 0xff, 0xff}, []byte{0xdf, 0x00, 0xff, 0xff, 0xff}
	head := array("a", "n", 1, 1, true, 0, 0)
	withRevisions := array("a", "n", 1, 1, true, 0, 0, make([]uint64, len(plan.Topics())))
	return map[string][]byte{
		"nothing":               nil,
		"one byte":              {1},
		"text":                  []byte("hello"),
		"an empty name":         {0x91, 0xa0},
		"endless revisions":     append(bytes.Clone(head), hugeArray...),
		"endless loads":         append(bytes.Clone(withRevisions), hugeMap...),
		"a name without an end": append([]byte{0x9f, 0xdb, 0xff, 0xff, 0xff, 0xff}, "abc"...),
		"a long name":           valid(func(hb *heartbeat) { hb.Name = string(make([]byte, maxNameBytes+1)) }),
		"too many records":      valid(func(hb *heartbeat) { hb.Records = make([]record, maxReceivedRecords+1) }),
		"nested arrays":         bytes.Repeat([]byte{0x91}, maxDatagram),
		"nested maps":           bytes.Repeat([]byte{0x81}, maxDatagram),
		"too many deltas":       valid(func(hb *heartbeat) { hb.Deltas = make([]delta, maxReceivedDeltas+1) }),
	}
}

// TestInvalidDatagrams checks that invalid datagrams are refused without using much memory.
func TestInvalidDatagrams(t *testing.T) {
	const maxBytes = 4 << 20
	for name, data := range invalidDatagrams(t) {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := decodeHeartbeat(data)
			runtime.ReadMemStats(&after)
			assert.Assert(t, err != nil)
			used := after.TotalAlloc - before.TotalAlloc
			assert.Assert(t, used < maxBytes, "%d bytes allocated", used)
		})
	}
}

// TestInvalidDeltas sends changes that can't be decoded, or that follow on a revision which the host does not have.
func TestInvalidDeltas(t *testing.T) {
	m := newTestMembership(t, 0)
	m.state.Replace(start, plan.TopicBackends, plan.Listing{Revision: 5})
	before, _ := m.state.Revision(plan.TopicBackends)
	for name, d := range map[string]delta{
		"no JSON":             {Topic: plan.TopicBackends, Base: 5, Revision: 6, Entries: []byte("{")},
		"no gzip":             {Topic: plan.TopicBackends, Base: 5, Revision: 6, Compressed: true, Entries: []byte("{")},
		"a later base":        {Topic: plan.TopicBackends, Base: 6, Revision: 7, Entries: []byte("[]")},
		"an earlier revision": {Topic: plan.TopicBackends, Base: 3, Revision: 4, Entries: []byte("[]")},
		"an unknown topic":    {Topic: "other", Base: 5, Revision: 6, Entries: []byte("[]")},
		"hosts":               {Topic: plan.TopicMembers, Base: 0, Revision: 6, Entries: []byte("[]")},
	} {
		t.Run(name, func(t *testing.T) {
			m.receiveDeltas(start, netip.MustParseAddr("127.0.0.2"), []delta{d})
			revision, _ := m.state.Revision(plan.TopicBackends)
			assert.Equal(t, revision, before)
			assert.Equal(t, len(m.changes.recent), 0)
		})
	}
}

// FuzzHeartbeat handles arbitrary datagrams.
func FuzzHeartbeat(f *testing.F) {
	for _, data := range invalidDatagrams(f) {
		f.Add(data)
	}
	hb := &heartbeat{
		Name: "a", DataCentre: "n", Incarnation: 1, Seq: 1, Revisions: make([]uint64, len(plan.Topics())),
		Load: map[uint32]uint32{1: 2}, Warm: []uint32{1, 2, 3}, PeerIPs: []string{"127.0.0.9", "x"},
		Records: []record{{IP: 1, DataCentre: "s", Age: 9}},
		Deltas:  []delta{{Topic: plan.TopicDrains, Revision: 4, Entries: []byte(`[{"name":"n","revision":4,"drained":true}]`)}},
	}
	data, _, err := hb.encode()
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		fl := newFleet(t, 1, 0)
		m := fl.hosts[0].m
		m.receive(t.Context(), start, netip.AddrFrom4([4]byte{127, 9, 9, 9}), data)
		m.Tick(start.Add(time.Second), false)
		assert.Assert(t, len(m.hosts) <= maxHosts)
	})
}
