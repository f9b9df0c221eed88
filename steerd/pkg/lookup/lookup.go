// Package lookup answers callers that ask which entry host to use.
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

// Answer is what a caller gets.
type Answer struct {
	Region string `json:"region"`
	// Hosts are the entry hosts to try, in that order.
	Hosts []Host `json:"hosts"`
	// TTLMillis is how long the answer may be used.
	TTLMillis int `json:"ttlMillis"`
}

// Host is one entry host.
type Host struct {
	Host    string `json:"host"`
	Address string `json:"address"`
	// KeyPrefix begins the request keys that this host may run while the answer lasts.
	KeyPrefix string `json:"keyPrefix"`
}

// maxHosts is the most hosts that an answer names.
const maxHosts = 4

// slotLength is the length of a key slot; entryd forgets keys by whole slots.
const slotLength = time.Minute

// Table is an immutable view that answers look-ups.
type Table struct {
	regions map[string]*choice
	blocks  *cidr.Table
	ttl     time.Duration
	origin  string
}

// choice is the hosts for callers of one region. The first near ones are equally good.
type choice struct {
	hosts []Host
	near  int
	// encoded holds the answer for each near host that comes first, once it was asked for.
	encoded []atomic.Pointer[[]byte]
}

// NewTable builds a table. Origin is the region of callers whom no block holds.
func NewTable(now time.Time, snap *model.Snapshot, live []*peerpb.Member, blocks *cidr.Table, ttl time.Duration, origin string) *Table {
	t := &Table{regions: map[string]*choice{}, blocks: blocks, ttl: ttl, origin: origin}
	usable := usableHosts(snap, live)
	for name := range snap.Regions() {
		t.regions[name] = hostsFor(now, snap, usable, name)
	}
	if _, ok := t.regions[origin]; !ok {
		t.regions[origin] = hostsFor(now, snap, usable, origin)
	}
	return t
}

// usableHosts leaves out hosts that are leaving or drained, unless no other is left.
func usableHosts(snap *model.Snapshot, live []*peerpb.Member) []*peerpb.Member {
	var usable, rest []*peerpb.Member
	for _, m := range live {
		if m.GetRole() != peerpb.Role_ROLE_ENTRYD || m.GetLeaving() {
			continue
		}
		if snap.HostDrained(m.GetHost(), m.GetDataCentre()) {
			rest = append(rest, m)
			continue
		}
		usable = append(usable, m)
	}
	if len(usable) == 0 {
		return rest
	}
	return usable
}

// hostsFor orders the hosts for callers of a region: nearest region first.
func hostsFor(now time.Time, snap *model.Snapshot, usable []*peerpb.Member, region string) *choice {
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
	out := &choice{}
	for _, m := range ordered {
		if distance(m) == distance(ordered[0]) {
			out.near++
		}
		out.hosts = append(out.hosts, Host{
			Host: m.GetHost(), Address: m.GetCallerAddress(),
			KeyPrefix: KeyPrefix(m.GetIncarnation(), now),
		})
	}
	out.encoded = make([]atomic.Pointer[[]byte], out.near)
	return out
}

// KeyPrefix returns the beginning of request keys for an incarnation at a time.
func KeyPrefix(incarnation uint64, now time.Time) string {
	return strconv.FormatUint(incarnation, 16) + "-" + strconv.FormatInt(keySlot(now), 10)
}

func keySlot(now time.Time) int64 { return now.Unix() / int64(slotLength/time.Second) }

// Answer returns the hosts for a caller, and whether there is any. Spread varies the order among
// the hosts of the nearest region, so that callers of one region spread over them.
func (t *Table) Answer(addr netip.Addr, spread uint64) (Answer, bool) {
	region, c := t.choice(addr)
	if c == nil {
		return Answer{Region: region}, false
	}
	return t.answer(region, c, int(spread%uint64(c.near))), true
}

// Encoded returns the answer as JSON. The bytes are shared: callers do not change them.
func (t *Table) Encoded(addr netip.Addr, spread uint64) ([]byte, bool) {
	region, c := t.choice(addr)
	if c == nil {
		return nil, false
	}
	first := int(spread % uint64(c.near))
	if data := c.encoded[first].Load(); data != nil {
		return *data, true
	}
	data, err := json.Marshal(t.answer(region, c, first))
	if err != nil {
		return nil, false
	}
	c.encoded[first].Store(&data)
	return data, true
}

// choice returns the region of an address and its hosts, or nil where there are none.
func (t *Table) choice(addr netip.Addr) (string, *choice) {
	region, ok := t.blocks.Region(addr)
	if !ok {
		region = t.origin
	}
	c := t.regions[region]
	if c == nil || len(c.hosts) == 0 {
		return region, nil
	}
	return region, c
}

// answer names the hosts, beginning with one of the near ones.
func (t *Table) answer(region string, c *choice, first int) Answer {
	out := make([]Host, 0, maxHosts)
	for i := range min(len(c.hosts), maxHosts) {
		if i < c.near {
			out = append(out, c.hosts[(first+i)%c.near])
			continue
		}
		out = append(out, c.hosts[i])
	}
	return Answer{Region: region, Hosts: out, TTLMillis: int(t.ttl.Milliseconds())}
}
