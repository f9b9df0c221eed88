package cidr

import "rosemarygrade.dev/lib/pkg/model"

// Cache holds the table of a snapshot and rebuilds it only when a region object changes. It is not safe for
// concurrent use.
type Cache struct {
	table   *Table
	snap    *model.Snapshot
	regions map[string]*model.Region
}

// Table returns the table of the snapshot's caller blocks.
func (c *Cache) Table(snap *model.Snapshot) *Table {
	if c.snap == snap {
		return c.table
	}
	if c.table == nil || !sameRegions(c.regions, snap.Regions()) {
		c.table = New(snap.CallerBlocks())
		c.regions = snap.Regions()
	}
	c.snap = snap
	return c.table
}

func sameRegions(a, b map[string]*model.Region) bool {
	if len(a) != len(b) {
		return false
	}
	for name, r := range a {
		if b[name] != r {
			return false
		}
	}
	return true
}
