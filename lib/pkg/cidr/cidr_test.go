package cidr_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/lib/pkg/cidr"
	"rosemarygrade.dev/lib/pkg/model"
)

func TestRegion(t *testing.T) {
	tb := cidr.New([]model.CallerBlock{
		{Prefix: netip.MustParsePrefix("10.0.0.0/8"), Region: "a"}, {Prefix: netip.MustParsePrefix("10.1.0.0/16"), Region: "b"},
	})
	rows := []struct {
		address, region string
		ok              bool
	}{{"10.2.0.1", "a", true}, {"10.1.0.1", "b", true}, {"::ffff:10.1.0.1", "b", true}, {"192.0.2.1", "", false}}
	for _, r := range rows {
		t.Run(r.address, func(t *testing.T) {
			got, ok := tb.Region(netip.MustParseAddr(r.address))
			assert.Equal(t, got, r.region)
			assert.Equal(t, ok, r.ok)
		})
	}
}

// blocks returns n blocks of 256 addresses, distributed over 26 regions.
func blocks(n int) []model.CallerBlock {
	out := make([]model.CallerBlock, 0, n)
	for i := range n {
		a := netip.AddrFrom4([4]byte{byte(20 + i>>16), byte(i >> 8), byte(i), 0})
		out = append(out, model.CallerBlock{Prefix: netip.PrefixFrom(a, 24), Region: fmt.Sprintf("r%d", i%26)})
	}
	return out
}

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func BenchmarkBlocks(b *testing.B) {
	for _, n := range []int{1_000, 37_000, 370_000} {
		list := blocks(n)
		before := heap()
		tb := cidr.New(list)
		size := (heap() - before) / float64(n)
		b.Run(fmt.Sprintf("lookup/%d", n), func(b *testing.B) {
			i := 0
			for b.Loop() {
				tb.Region(list[i%n].Prefix.Addr())
				i += 7919
			}
			b.ReportMetric(size, "B/block")
		})
		b.Run(fmt.Sprintf("load/%d", n), func(b *testing.B) {
			for b.Loop() {
				cidr.New(list)
			}
		})
	}
}
