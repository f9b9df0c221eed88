package caller

import (
	"net/netip"
	"sync"
	"sync/atomic"

	"rosemarygrade.dev/lib/pkg/cidr"
	"rosemarygrade.dev/lib/pkg/model"
)

// RegionTable maps addresses to regions by the address blocks of the configuration. It is safe for
// concurrent use.
type RegionTable struct {
	localRegion string
	table       atomic.Pointer[cidr.Table]

	mu    sync.Mutex
	cache cidr.Cache
}

// NewRegionTable returns a RegionTable without address blocks, for a host in the region.
func NewRegionTable(localRegion string) *RegionTable { return &RegionTable{localRegion: localRegion} }

// Update builds the table of a configuration. Requests use the previous table while it is built.
func (r *RegionTable) Update(snap *model.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Store(r.cache.Table(snap))
}

// RegionOf implements Regions. It returns the host's own region before the first Update.
func (r *RegionTable) RegionOf(addr netip.Addr) string {
	t := r.table.Load()
	if t == nil {
		return r.localRegion
	}
	if region, ok := t.Region(addr); ok {
		return region
	}
	return r.localRegion
}
