package store_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"rosemarygrade.dev/lib/pkg/peerpb"
	"rosemarygrade.dev/lib/pkg/store"
)

// placements returns n placements of three servers each, and regions with the blocks of callers.
func placements(n int) []*peerpb.Record {
	const regions, centresPerRegion, blocksPerSite = 26, 4, 176
	var out []*peerpb.Record
	for r := range regions {
		var centres, blocks []string
		for c := range centresPerRegion {
			centres = append(centres, fmt.Sprintf(`"r%d-%d"`, r, c))
		}
		for i := range n * blocksPerSite / regions {
			blocks = append(blocks, fmt.Sprintf(`"%d.%d.%d.0/24"`, 20+r, i/256%256, i%256))
		}
		spec := fmt.Sprintf(`{"dataCentres":[%s],"maxHosts":120,"callerBlocks":[%s]}`, strings.Join(centres, ","), strings.Join(blocks, ","))
		out = append(out, &peerpb.Record{Kind: "region", Name: fmt.Sprintf("r%d", r), Version: 1, Spec: []byte(spec)})
	}
	for i := range n {
		out = append(out, placement(i, 1))
	}
	return out
}

func placement(i int, version uint64) *peerpb.Record {
	dc := fmt.Sprintf("r%d-%d", i%26, i%4)
	var servers []string
	for s := range 3 {
		servers = append(servers, fmt.Sprintf(`{"address":"10.%d.%d.%d:80","dataCentre":%q,"batch":"b","slots":3}`, i/250, i%250, s+1, dc))
	}
	spec := fmt.Sprintf(`{"service":"s%d","servers":[%s]}`, i, strings.Join(servers, ","))
	return &peerpb.Record{Kind: "placement", Name: fmt.Sprintf("p%d", i), Version: version, Spec: []byte(spec)}
}

// BenchmarkChange measures taking in one change with its snapshot, and the memory of all.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{210, 1050, 2100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before := heap()
			s := store.New()
			s.Apply(placements(n)...)
			s.Snapshot()
			size := heap() - before
			version := uint64(1)
			for b.Loop() {
				version++
				s.Apply(placement(0, version))
				s.Snapshot()
			}
			b.ReportMetric(size/(1<<20), "MB")
		})
	}
}

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
