package caller

import (
	"net/netip"
	"sync"

	"rosemarygrade.dev/lib/pkg/block"
	"rosemarygrade.dev/lib/pkg/model"
)

// Blocks finds the region of callers by the blocks of the configuration. It is safe for concurrent use.
type Blocks struct {
	snapshot func() *model.Snapshot
	own      string

	mu    sync.Mutex
	cache block.Cache
}

// NewBlocks returns a finder for a host in the region.
func NewBlocks(own string, snapshot func() *model.Snapshot) *Blocks {
	return &Blocks{own: own, snapshot: snapshot}
}

// RegionOf implements Regions.
func (b *Blocks) RegionOf(addr netip.Addr) string {
	b.mu.Lock()
	t := b.cache.Table(b.snapshot())
	b.mu.Unlock()
	if region, ok := t.Region(addr); ok {
		return region
	}
	return b.own
}
