// Package cidr maps a caller's address to its region by the longest matching prefix.
package cidr

import (
	"net/netip"

	"github.com/gaissmai/bart"

	"rosemarygrade.dev/lib/pkg/model"
)

// Table is immutable and safe for concurrent use.
type Table struct {
	names []string
	trie  bart.Table[uint16]
}

// New builds a table of blocks.
func New(blocks []model.CallerBlock) *Table {
	t := &Table{}
	index := map[string]uint16{}
	for _, b := range blocks {
		i, ok := index[b.Region]
		if !ok {
			i = uint16(len(t.names))
			index[b.Region] = i
			t.names = append(t.names, b.Region)
		}
		t.trie.Insert(b.Prefix, i)
	}
	return t
}

// Region returns the region of an address, and whether a block holds it.
func (t *Table) Region(addr netip.Addr) (string, bool) {
	i, ok := t.trie.Lookup(addr.Unmap())
	if !ok {
		return "", false
	}
	return t.names[i], true
}

// Len returns how many blocks the table holds.
func (t *Table) Len() int { return t.trie.Size() }
