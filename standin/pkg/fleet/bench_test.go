package fleet_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/lib/pkg/wire"
	"rosemarygrade.dev/standin/pkg/load"
)

const (
	benchFor     = 4 * time.Second
	benchWorkers = 32
)

// cpuSeconds returns the processor time that a process has used.
func cpuSeconds(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	const ticksPerSecond = 100
	return (user + system) / ticksPerSecond
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	pages, _ := strconv.ParseFloat(strings.Fields(string(data))[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20)
}

// BenchmarkOverhead compares the whole path with the same caller straight at the same server.
func BenchmarkOverhead(b *testing.B) {
	f := smallFleet(b, 0)
	direct := f.serverAddress(0, 0, 0)
	entry := f.at(0, 7200)
	for _, c := range []struct {
		name    string
		bytes   int
		workers int
	}{{"1KB", 1 << 10, benchWorkers}, {"1KBone", 1 << 10, 1}, {"8MB", 8 << 20, 4}} {
		for _, way := range []struct{ name, address string }{{"direct", direct}, {"path", entry}} {
			b.Run(c.name+"/"+way.name, func(b *testing.B) {
				for b.Loop() {
					before := cpuSeconds(f.entryds[0].cmd.Process.Pid)
					r := sendTo(b.Context(), way.address, c.workers, load.Request{Method: http.MethodGet, Path: fmt.Sprintf("/search?bytes=%d", c.bytes)})
					cpu := cpuSeconds(f.entryds[0].cmd.Process.Pid) - before
					assert.Equal(b, r.Whole, r.Sent, "%v", r.Reasons)
					b.ReportMetric(float64(r.P50Micros), "p50-us")
					b.ReportMetric(float64(r.P99Micros), "p99-us")
					b.ReportMetric(float64(r.Whole)/r.Seconds, "req/s")
					b.ReportMetric(float64(r.Whole)/r.Seconds*float64(c.bytes)/(1<<20), "MB/s")
					if way.name == "path" {
						b.ReportMetric(float64(r.Whole)/max(cpu, 0.01), "req/core-s")
						b.ReportMetric(residentMB(f.entryds[0].cmd.Process.Pid), "MB")
					}
				}
			})
		}
	}
}

// sendTo sends a closed load to one address.
func sendTo(ctx context.Context, address string, workers int, req load.Request) load.Report {
	c := load.NewCaller(nil, "")
	col := load.NewCollector()
	ctx, cancel := context.WithTimeout(ctx, benchFor)
	defer cancel()
	done := make(chan struct{})
	start := time.Now()
	for range workers {
		go func() {
			for ctx.Err() == nil {
				begin := time.Now()
				ans, err := c.Send(context.Background(), address, req)
				col.Add(ans, err, time.Since(begin))
			}
			done <- struct{}{}
		}()
	}
	for range workers {
		<-done
	}
	return col.Report(time.Since(start))
}

// BenchmarkLookup measures look-ups a second and a core of one steerd.
func BenchmarkLookup(b *testing.B) {
	f := smallFleet(b, 0)
	for b.Loop() {
		pid := f.steerds[0].cmd.Process.Pid
		before := cpuSeconds(pid)
		n, took := askAll(b, f.at(0, 7100))
		b.ReportMetric(float64(n)/took.Seconds(), "lookups/s")
		b.ReportMetric(float64(n)/(cpuSeconds(pid)-before), "lookups/core-s")
	}
}

func askAll(b *testing.B, address string) (int, time.Duration) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchWorkers}}
	end := time.Now().Add(benchFor)
	counts := make(chan int)
	start := time.Now()
	for w := range benchWorkers {
		go func() {
			n := 0
			for time.Now().Before(end) {
				resp, err := client.Get(fmt.Sprintf("http://%s/v1/lookup?address=10.1.%d.%d", address, w, n%250))
				if err != nil {
					b.Error(err)
					break
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				n++
			}
			counts <- n
		}()
	}
	total := 0
	for range benchWorkers {
		total += <-counts
	}
	return total, time.Since(start)
}

// BenchmarkStops measures a recall of half of all servers and a drain of a region under load.
func BenchmarkStops(b *testing.B) {
	rows := []struct {
		name string
		o    wire.Object
		hit  func(f *fleet) []string
	}{
		{"recall", object("recall", "x", wire.RecallSpec{Batch: "batch-0"}), func(f *fleet) []string { return f.batch(0) }},
		{"drainRegion", object("drain", "x", wire.DrainSpec{Scope: "region", Name: "almaty"}), func(f *fleet) []string { return f.inRegion("almaty") }},
	}
	for _, r := range rows {
		b.Run(r.name, func(b *testing.B) {
			for b.Loop() {
				f := newFleet(b)
				tr := f.send(workers)
				time.Sleep(settle)
				begin := time.Now()
				f.apply(r.o)
				f.waitDone(r.o.Kind, r.o.Name)
				done := time.Since(begin)
				time.Sleep(2 * settle)
				all := tr.end()
				last := int64(0)
				for _, a := range r.hit(f) {
					last = max(last, f.servers[a].Witness().LastStartUnixMillis)
				}
				b.ReportMetric(float64(last-begin.UnixMilli())/1000, "s-to-last-new")
				b.ReportMetric(done.Seconds(), "s-to-done")
				b.ReportMetric(float64(count(all, load.KindBroken)), "cut")
				b.ReportMetric(float64(len(all)-count(all, whole)), "not-whole")
				b.ReportMetric(float64(f.mostInFlight())/slots, "peak/slots")
			}
		})
	}
}

func (f *fleet) batch(n int) (out []string) {
	for s := range services() {
		for c := range places {
			out = append(out, f.serverAddress(s, c, n))
		}
	}
	return out
}

func (f *fleet) inRegion(region string) (out []string) {
	for a, centre := range f.centreOf {
		for _, p := range places {
			if p.centre == centre && p.region == region {
				out = append(out, a)
			}
		}
	}
	return out
}

func (f *fleet) mostInFlight() int {
	most := 0
	for _, s := range f.servers {
		most = max(most, s.Witness().MaxInFlight)
	}
	return most
}

// BenchmarkLoss measures the loss of a data centre's host and servers while a shift is ramping: the
// callers of the other region must hardly notice.
func BenchmarkLoss(b *testing.B) {
	for b.Loop() {
		f := newFleet(b)
		f.apply(object("shift", "m", wire.ShiftSpec{Service: "search", From: "almaty", To: "astana", CapPercent: 20, RampSeconds: 2}))
		far := f.caller(1)
		req := load.Request{Method: http.MethodGet, Path: "/search"}
		plan := load.Plan{Request: req, PerSecond: 300, Workers: workers, For: benchFor}
		near := load.Plan{Request: req, PerSecond: 300, Workers: workers, For: 3 * benchFor}
		ends := make(chan load.Report, 1)
		go func() { ends <- load.Run(b.Context(), f.caller(0), near) }()
		before := load.Run(b.Context(), far, plan)
		f.entryds[0].kill()
		f.steerds[0].kill()
		during := load.Run(b.Context(), far, plan)
		almaty := <-ends
		b.ReportMetric(float64(before.P99Micros)/1000, "far-p99-before-ms")
		b.ReportMetric(float64(during.P99Micros)/1000, "far-p99-during-ms")
		b.ReportMetric(float64(during.Sent-during.Whole), "far-not-whole")
		b.ReportMetric(100*float64(almaty.Sent-almaty.Whole)/float64(almaty.Sent), "near-not-whole-%")
		b.ReportMetric(float64(f.mostInFlight())/slots, "peak/slots")
	}
}

// BenchmarkAtMostOnce compares a request key bound to a process with a claim at the platform.
func BenchmarkAtMostOnce(b *testing.B) {
	f := smallFleet(b, 0)
	c := load.NewCaller([]string{f.at(0, 7100)}, "10.1.0.5")
	post := load.Request{Method: http.MethodPost, Path: "/corrections", Body: []byte("notice"), Keyed: true}
	b.Run("key", func(b *testing.B) {
		for b.Loop() {
			_, err := c.Do(b.Context(), post)
			assert.NilError(b, err)
		}
	})
	b.Run("platformClaim", func(b *testing.B) {
		before := f.platform.Counts().Writes
		n := 0
		for b.Loop() {
			n++
			f.claim(b, fmt.Sprintf("claim-%d-%d", b.N, n))
			_, err := c.Do(b.Context(), post)
			assert.NilError(b, err)
		}
		b.ReportMetric(float64(f.platform.Counts().Writes-before)/float64(n), "writes/req")
	})
}

// claim writes a claim straight to the platform, past the call budget of the system's own client.
func (f *fleet) claim(b *testing.B, name string) {
	b.Helper()
	url := fmt.Sprintf("http://%s/v1/objects/recall/%s?ifVersion=0", f.platformAddress(), name)
	req, err := http.NewRequestWithContext(b.Context(), http.MethodPut, url, strings.NewReader(`{"spec":{"batch":"claims-nothing"}}`))
	assert.NilError(b, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(b, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	assert.Equal(b, resp.StatusCode, http.StatusOK)
}

// smallFleet starts one host with servers that take the given time.
func smallFleet(b *testing.B, service time.Duration) *fleet {
	b.Helper()
	old := places
	places = places[:1]
	b.Cleanup(func() { places = old })
	f := newFleet(b)
	for _, s := range f.servers {
		s.SetServiceTime(service)
	}
	return f
}
