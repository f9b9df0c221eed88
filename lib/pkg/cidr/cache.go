package cidr

import "rosemarygrade.dev/lib/pkg/model"

// Cache keeps a table for as long as no region object changes. It is not safe for concurrent use.
type Cache struct {
	table *Table
	snap  *model.Snapshot
	from  map[string]*model.Region
}

// Table returns the table of a snapshot's blocks.
func (c *Cache) Table(snap *model.Snapshot) *Table {
	if c.snap == snap {
		return c.table
	}
	if c.table == nil || !sameRegions(c.from, snap.Regions()) {
		c.table = New(snap.CallerBlocks())
		c.from = snap.Regions()
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
