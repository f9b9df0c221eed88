// Package lookup answers callers' look-ups: which entry hosts to use, in which order.
package lookup

import (
	"cmp"
	"encoding/json"
	"net/netip"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"rosemarygrade.dev/lib/pkg/cidr"
	"rosemarygrade.dev/lib/pkg/model"
	"rosemarygrade.dev/lib/pkg/peerpb"
	"rosemarygrade.dev/lib/pkg/rank"
)

// Answer is the body of a successful look-up.
type Answer struct {
	Region string `json:"region"`
	// Hosts are the entry hosts to try, in order.
	Hosts []Host `json:"hosts"`
	// TTLMillis is how long the caller may use the answer, in milliseconds.
	TTLMillis int `json:"ttlMillis"`
}

// Host is one entry host of an answer.
type Host struct {
	Host    string `json:"host"`
	Address string `json:"address"`
	// KeyPrefix is the prefix of request keys for requests to this host, valid as long as the answer.
	KeyPrefix string `json:"keyPrefix"`
}

// maxHosts limits the hosts of one answer.
const maxHosts = 4

// keySlotLength is the length of the time slot in which a request key is issued. It must equal the
// keySlotLength of entryd, which deletes the records of old keys slot by slot.
const keySlotLength = time.Minute

// Table holds the ordered hosts for each region, from which look-ups are answered. It is safe for
// concurrent use.
type Table struct {
	regions       map[string]*regionHosts
	blocks        *cidr.Table
	ttl           time.Duration
	defaultRegion string
}

// regionHosts is the ordered list of hosts for callers of one region.
type regionHosts struct {
	hosts []Host
	// nearest is the number of hosts at the start of the list that share the lowest latency.
	nearest int
	// encoded caches the JSON answers, indexed by the nearest host that comes first.
	encoded []atomic.Pointer[[]byte]
}

// NewTable builds a table. defaultRegion is the region of callers whose address is in no block.
func NewTable(now time.Time, snap *model.Snapshot, alive []*peerpb.Member, blocks *cidr.Table, ttl time.Duration, defaultRegion string) *Table {
	t := &Table{regions: map[string]*regionHosts{}, blocks: blocks, ttl: ttl, defaultRegion: defaultRegion}
	usable := usableHosts(snap, alive)
	for name := range snap.Regions() {
		t.regions[name] = orderHosts(now, snap, usable, name)
	}
	if _, ok := t.regions[defaultRegion]; !ok {
		t.regions[defaultRegion] = orderHosts(now, snap, usable, defaultRegion)
	}
	return t
}

// usableHosts returns the entry hosts that are neither leaving nor drained; if there are none, the
// drained ones.
func usableHosts(snap *model.Snapshot, alive []*peerpb.Member) []*peerpb.Member {
	var usable, drained []*peerpb.Member
	for _, m := range alive {
		if m.GetRole() != peerpb.Role_ROLE_ENTRYD || m.GetLeaving() {
			continue
		}
		if snap.HostDrained(m.GetHost(), m.GetDataCentre()) {
			drained = append(drained, m)
			continue
		}
		usable = append(usable, m)
	}
	if len(usable) == 0 {
		return drained
	}
	return usable
}

// orderHosts orders the hosts for callers of a region by the latency between the regions: hosts of
// the callers' region first, those of regions without a known latency last.
func orderHosts(now time.Time, snap *model.Snapshot, usable []*peerpb.Member, region string) *regionHosts {
	distance := func(m *peerpb.Member) time.Duration {
		if m.GetRegion() == region {
			return -1
		}
		l, ok := snap.Latency(region, m.GetRegion())
		if !ok {
			return time.Hour
		}
		return l
	}
	ordered := rank.Order("lookup/"+region, usable, (*peerpb.Member).GetHost)
	slices.SortStableFunc(ordered, func(a, b *peerpb.Member) int { return cmp.Compare(distance(a), distance(b)) })
	out := &regionHosts{}
	for _, m := range ordered {
		if distance(m) == distance(ordered[0]) {
			out.nearest++
		}
		out.hosts = append(out.hosts, Host{
			Host: m.GetHost(), Address: m.GetCallerAddress(),
			KeyPrefix: KeyPrefix(m.GetIncarnation(), now),
		})
	}
	out.encoded = make([]atomic.Pointer[[]byte], out.nearest)
	return out
}

// KeyPrefix returns the prefix of request keys for an incarnation in the time slot that contains now.
func KeyPrefix(incarnation uint64, now time.Time) string {
	return strconv.FormatUint(incarnation, 16) + "-" + strconv.FormatInt(timeSlot(now), 10)
}

// timeSlot returns the number of the time slot that contains now.
func timeSlot(now time.Time) int64 { return now.Unix() / int64(keySlotLength/time.Second) }

// Answer returns the hosts for a caller's address and reports whether there are any. callerHash
// selects which of the nearest hosts comes first, so that callers of one region are distributed
// over them.
func (t *Table) Answer(addr netip.Addr, callerHash uint64) (Answer, bool) {
	region, list := t.find(addr)
	if list == nil {
		return Answer{Region: region}, false
	}
	return t.newAnswer(region, list, int(callerHash%uint64(list.nearest))), true
}

// AnswerJSON is like Answer and returns the answer as JSON. The bytes are shared and must not be
// changed.
func (t *Table) AnswerJSON(addr netip.Addr, callerHash uint64) ([]byte, bool) {
	region, list := t.find(addr)
	if list == nil {
		return nil, false
	}
	first := int(callerHash % uint64(list.nearest))
	if data := list.encoded[first].Load(); data != nil {
		return *data, true
	}
	data, err := json.Marshal(t.newAnswer(region, list, first))
	if err != nil {
		return nil, false
	}
	list.encoded[first].Store(&data)
	return data, true
}

// find returns the region of an address and the region's hosts, or nil if there are none.
func (t *Table) find(addr netip.Addr) (string, *regionHosts) {
	region, ok := t.blocks.Region(addr)
	if !ok {
		region = t.defaultRegion
	}
	list := t.regions[region]
	if list == nil || len(list.hosts) == 0 {
		return region, nil
	}
	return region, list
}

// newAnswer builds an answer that starts with the nearest host of index first.
func (t *Table) newAnswer(region string, list *regionHosts, first int) Answer {
	out := make([]Host, 0, maxHosts)
	for i := range min(len(list.hosts), maxHosts) {
		if i < list.nearest {
			out = append(out, list.hosts[(first+i)%list.nearest])
			continue
		}
		out = append(out, list.hosts[i])
	}
	return Answer{Region: region, Hosts: out, TTLMillis: int(t.ttl.Milliseconds())}
}
