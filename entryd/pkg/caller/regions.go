package caller

import (
	"net/netip"
	"sync"
	"sync/atomic"

	"rosemarygrade.dev/lib/pkg/cidr"
	"rosemarygrade.dev/lib/pkg/model"
)

// RegionTable finds the region of callers by the blocks of the configuration. It is safe for concurrent use.
type RegionTable struct {
	localRegion string
	table       atomic.Pointer[cidr.Table]

	mu    sync.Mutex
	cache cidr.Cache
}

// NewRegionTable returns a finder for a host in the region.
func NewRegionTable(own string) *RegionTable { return &RegionTable{localRegion: own} }

// Update takes in a configuration. A table takes long to build, so requests never wait for it.
func (b *RegionTable) Update(snap *model.Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table.Store(b.cache.Table(snap))
}

// RegionOf implements Regions.
func (b *RegionTable) RegionOf(addr netip.Addr) string {
	t := b.table.Load()
	if t == nil {
		return b.localRegion
	}
	if region, ok := t.Region(addr); ok {
		return region
	}
	return b.localRegion
}
