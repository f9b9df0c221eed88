package member_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"rosemarygrade.dev/lib/pkg/member"
	"rosemarygrade.dev/lib/pkg/peerpb"
)

func records(n int, dc string) []*peerpb.Member {
	out := make([]*peerpb.Member, 0, n)
	for i := range n {
		out = append(out, &peerpb.Member{
			Incarnation: uint64(i+1) * 0x9e3779b97f4a7c15, Seq: 1_000_000, Revision: 300, Role: peerpb.Role_ROLE_ENTRYD,
			Host: fmt.Sprintf("host-%s-%d", dc, i), DataCentre: dc, Region: "region-1",
			PeerAddress: fmt.Sprintf("10.0.%d.1:7201", i), CallerAddress: fmt.Sprintf("10.0.%d.1:7200", i),
		})
	}
	return out
}

// BenchmarkBeats measures one exchange of heartbeats in a data centre, and the size of its message.
func BenchmarkBeats(b *testing.B) {
	for _, n := range []int{10, 30, 62} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tb := member.New("dc1", timeouts)
			for _, m := range records(n, "dc1") {
				tb.Observe(at(0), m)
			}
			heartbeats := tb.Heartbeats(at(0))
			req := &peerpb.ExchangeRequest{Incarnations: heartbeats.Incarnations, Seqs: heartbeats.Seqs, Revisions: heartbeats.Revisions}
			for b.Loop() {
				tb.Merge(at(0), tb.Heartbeats(at(0)))
			}
			b.ReportMetric(float64(proto.Size(req)), "B/message")
		})
	}
}

// BenchmarkCentres measures one exchange of summaries between gateways, and the size of its message.
func BenchmarkCentres(b *testing.B) {
	for _, n := range []int{10, 50, 102} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tb := member.New("dc0", timeouts)
			var full []*peerpb.Centre
			for i := range n {
				dc := fmt.Sprintf("dc%d", i+1)
				full = append(full, &peerpb.Centre{DataCentre: dc, Stamp: 1_000_000, Hash: 7, ConfigHash: 9, Total: 62, InForce: 62, Members: records(62, dc)})
			}
			tb.MergeSummaries(at(0), full)
			short := &peerpb.ExchangeRequest{Centres: tb.Summaries(at(0))}
			for b.Loop() {
				tb.MergeSummaries(at(0), tb.Summaries(at(0)))
			}
			b.ReportMetric(float64(proto.Size(short)), "B/message")
			b.ReportMetric(float64(proto.Size(full[0])), "B/changed-centre")
		})
	}
}

// BenchmarkLive measures listing the live members of 10, 50 and 102 data centres.
func BenchmarkLive(b *testing.B) {
	for _, n := range []int{10, 50, 102} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tb := member.New("dc0", timeouts)
			for i := range n {
				dc := fmt.Sprintf("dc%d", i+1)
				tb.MergeSummaries(at(0), []*peerpb.Centre{{DataCentre: dc, Stamp: 1, Hash: 7, Members: records(62, dc)}})
			}
			for b.Loop() {
				tb.Alive(at(0))
			}
		})
	}
}
