// Package lookup answers callers that ask which entry host to use.
package lookup

import (
	"cmp"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"rosemarygrade.dev/lib/pkg/block"
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
	regions map[string]choice
	blocks  *block.Table
	ttl     time.Duration
	origin  string
}

// choice is the hosts for callers of one region. The first near ones are equally good.
type choice struct {
	hosts []Host
	near  int
}

// NewTable builds a table. Origin is the region of callers whom no block holds.
func NewTable(now time.Time, snap *model.Snapshot, live []*peerpb.Member, blocks *block.Table, ttl time.Duration, origin string) *Table {
	t := &Table{regions: map[string]choice{}, blocks: blocks, ttl: ttl, origin: origin}
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
func hostsFor(now time.Time, snap *model.Snapshot, usable []*peerpb.Member, region string) choice {
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
	var out choice
	for _, m := range ordered {
		if distance(m) == distance(ordered[0]) {
			out.near++
		}
		out.hosts = append(out.hosts, Host{
			Host: m.GetHost(), Address: m.GetCallerAddress(),
			KeyPrefix: KeyPrefix(m.GetIncarnation(), now),
		})
	}
	return out
}

// KeyPrefix returns the beginning of request keys for an incarnation at a time.
func KeyPrefix(incarnation uint64, now time.Time) string {
	slot := now.Unix() / int64(slotLength/time.Second)
	return strconv.FormatUint(incarnation, 16) + "-" + strconv.FormatInt(slot, 10)
}

// Answer returns the hosts for a caller, and whether there is any. Spread varies the order among
// the hosts of the nearest region, so that callers of one region spread over them.
func (t *Table) Answer(addr netip.Addr, spread uint64) (Answer, bool) {
	region, ok := t.blocks.Region(addr)
	if !ok {
		region = t.origin
	}
	c := t.regions[region]
	if len(c.hosts) == 0 {
		return Answer{Region: region}, false
	}
	first := int(spread % uint64(c.near))
	out := make([]Host, 0, maxHosts)
	for i := range min(len(c.hosts), maxHosts) {
		if i < c.near {
			out = append(out, c.hosts[(first+i)%c.near])
			continue
		}
		out = append(out, c.hosts[i])
	}
	return Answer{Region: region, Hosts: out, TTLMillis: int(t.ttl.Milliseconds())}, true
}
