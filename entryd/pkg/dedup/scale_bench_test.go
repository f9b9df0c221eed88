package dedup_test

import (
	"fmt"
	"runtime"
	"testing"

	"rosemarygrade.dev/entryd/pkg/dedup"
	"rosemarygrade.dev/entryd/pkg/flow"
)

// BenchmarkRecords measures the memory of kept keys with answers of 200 bytes, and the time of one.
func BenchmarkRecords(b *testing.B) {
	for _, n := range []int{10_000, 50_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before := heap()
			book := dedup.NewBook(start, incarnation)
			for i := range n {
				run(b, book, fmt.Sprintf("random-%d", i))
			}
			size := (heap() - before) / float64(n)
			i := 0
			for b.Loop() {
				i++
				run(b, book, fmt.Sprintf("more-random-%d", i))
			}
			b.ReportMetric(size, "B/key")
			runtime.KeepAlive(book)
		})
	}
}

func run(b *testing.B, book *dedup.Book, random string) {
	k, err := dedup.Parse(fmt.Sprintf("%x-%d-%s", incarnation, start.Unix()/60, random))
	if err != nil {
		b.Fatal(err)
	}
	if f, ok := book.Begin(start, k, digest).(dedup.Fresh); ok {
		book.Finish(f.Record, flow.OutcomeRan, flow.Rejected{}, dedup.Answer{Status: 200, Body: make([]byte, 200), Kept: true})
	}
}

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
