// Package cidr maps callers' addresses to regions by the longest matching prefix.
package cidr

import (
	"net/netip"

	"github.com/gaissmai/bart"

	"rosemarygrade.dev/lib/pkg/model"
)

// Table maps address blocks to regions. It is immutable and safe for concurrent use.
type Table struct {
	regions []string
	trie    bart.Table[uint16]
}

// New returns a table of the blocks.
func New(blocks []model.CallerBlock) *Table {
	t := &Table{}
	index := map[string]uint16{}
	for _, b := range blocks {
		i, ok := index[b.Region]
		if !ok {
			i = uint16(len(t.regions))
			index[b.Region] = i
			t.regions = append(t.regions, b.Region)
		}
		t.trie.Insert(b.Prefix, i)
	}
	return t
}

// Region returns the region of an address, and whether a block contains the address.
func (t *Table) Region(addr netip.Addr) (string, bool) {
	i, ok := t.trie.Lookup(addr.Unmap())
	if !ok {
		return "", false
	}
	return t.regions[i], true
}

// Len returns the number of blocks.
func (t *Table) Len() int { return t.trie.Size() }
