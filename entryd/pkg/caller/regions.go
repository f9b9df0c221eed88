package caller

import (
	"net/netip"
	"sync"
	"sync/atomic"

	"rosemarygrade.dev/lib/pkg/cidr"
	"rosemarygrade.dev/lib/pkg/model"
)

// Blocks finds the region of callers by the blocks of the configuration. It is safe for concurrent use.
type Blocks struct {
	own   string
	table atomic.Pointer[cidr.Table]

	mu    sync.Mutex
	cache cidr.Cache
}

// NewBlocks returns a finder for a host in the region.
func NewBlocks(own string) *Blocks { return &Blocks{own: own} }

// Refresh takes in a configuration. A table takes long to build, so requests never wait for it.
func (b *Blocks) Refresh(snap *model.Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table.Store(b.cache.Table(snap))
}

// RegionOf implements Regions.
func (b *Blocks) RegionOf(addr netip.Addr) string {
	t := b.table.Load()
	if t == nil {
		return b.own
	}
	if region, ok := t.Region(addr); ok {
		return region
	}
	return b.own
}
