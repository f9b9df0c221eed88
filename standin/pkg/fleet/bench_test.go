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
	benchDuration = 4 * time.Second
	benchWorkers  = 32
)

// cpuSeconds returns the CPU time that a process has used, 0 if it has ended.
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

// residentMB returns the resident memory of a process in MiB, 0 if it has ended.
func residentMB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	pages, _ := strconv.ParseFloat(strings.Fields(string(data))[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20)
}

// BenchmarkOverhead compares requests through an entryd with the same requests sent directly to a backend server.
func BenchmarkOverhead(b *testing.B) {
	f := smallFleet(b, 0)
	direct := f.serverAddress(0, 0, 0)
	entry := f.address(0, 7200)
	for _, c := range []struct {
		name    string
		bytes   int
		workers int
	}{{"1KB", 1 << 10, benchWorkers}, {"1KBone", 1 << 10, 1}, {"8MB", 8 << 20, 4}} {
		for _, route := range []struct{ name, address string }{{"direct", direct}, {"path", entry}} {
			b.Run(c.name+"/"+route.name, func(b *testing.B) {
				for b.Loop() {
					before := cpuSeconds(f.entryds[0].cmd.Process.Pid)
					r := measureRequests(b.Context(), route.address, c.workers, load.Request{Method: http.MethodGet, Path: fmt.Sprintf("/search?bytes=%d", c.bytes)})
					cpu := cpuSeconds(f.entryds[0].cmd.Process.Pid) - before
					assert.Equal(b, r.Complete, r.Sent, "%v", r.Reasons)
					b.ReportMetric(float64(r.P50Micros), "p50-us")
					b.ReportMetric(float64(r.P99Micros), "p99-us")
					b.ReportMetric(float64(r.Complete)/r.Seconds, "req/s")
					b.ReportMetric(float64(r.Complete)/r.Seconds*float64(c.bytes)/(1<<20), "MB/s")
					if route.name == "path" {
						b.ReportMetric(float64(r.Complete)/max(cpu, 0.01), "req/core-s")
						b.ReportMetric(residentMB(f.entryds[0].cmd.Process.Pid), "MB")
					}
				}
			})
		}
	}
}

// measureRequests sends a closed-loop load to one address for benchDuration.
func measureRequests(ctx context.Context, address string, workers int, req load.Request) load.Report {
	c := load.NewCaller(nil, "")
	col := load.NewCollector()
	ctx, cancel := context.WithTimeout(ctx, benchDuration)
	defer cancel()
	done := make(chan struct{})
	start := time.Now()
	for range workers {
		go func() {
			for ctx.Err() == nil {
				begin := time.Now()
				result, err := c.Send(context.Background(), address, req)
				col.Add(result, err, time.Since(begin))
			}
			done <- struct{}{}
		}()
	}
	for range workers {
		<-done
	}
	return col.Report(time.Since(start))
}

// BenchmarkLookup measures the look-ups of one steerd per second and per CPU second.
func BenchmarkLookup(b *testing.B) {
	f := smallFleet(b, 0)
	for b.Loop() {
		pid := f.steerds[0].cmd.Process.Pid
		before := cpuSeconds(pid)
		n, took := measureLookups(b, f.address(0, 7100))
		b.ReportMetric(float64(n)/took.Seconds(), "lookups/s")
		b.ReportMetric(float64(n)/(cpuSeconds(pid)-before), "lookups/core-s")
	}
}

// measureLookups sends a closed-loop load of look-ups to one steerd, and returns their number and the time that they took.
func measureLookups(b *testing.B, address string) (int, time.Duration) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchWorkers}}
	end := time.Now().Add(benchDuration)
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

// BenchmarkStops recalls half of all servers, or drains a region, under load. It measures the time until the last request starts
// at one of the affected servers, and the time until the object's status reports that it is done.
func BenchmarkStops(b *testing.B) {
	rows := []struct {
		name     string
		o        wire.Object
		affected func(f *fleet) []string
	}{
		{"recall", newObject("recall", "x", wire.RecallSpec{Batch: "batch-0"}), func(f *fleet) []string { return f.batchServers(0) }},
		{"drainRegion", newObject("drain", "x", wire.DrainSpec{Scope: "region", Name: "almaty"}), func(f *fleet) []string { return f.regionServers("almaty") }},
	}
	for _, r := range rows {
		b.Run(r.name, func(b *testing.B) {
			for b.Loop() {
				f := newFleet(b)
				tr := f.startTraffic(workers)
				time.Sleep(settleTime)
				begin := time.Now()
				f.apply(r.o)
				f.waitDone(r.o.Kind, r.o.Name)
				done := time.Since(begin)
				time.Sleep(2 * settleTime)
				outcomes := tr.finish()
				last := int64(0)
				for _, a := range r.affected(f) {
					last = max(last, f.servers[a].Recorded().LastStartUnixMillis)
				}
				b.ReportMetric(float64(last-begin.UnixMilli())/1000, "s-to-last-new")
				b.ReportMetric(done.Seconds(), "s-to-done")
				b.ReportMetric(float64(count(outcomes, load.KindBroken)), "cut")
				b.ReportMetric(float64(len(outcomes)-count(outcomes, noError)), "not-whole")
				b.ReportMetric(float64(f.maxInFlight())/slots, "peak/slots")
			}
		})
	}
}

// batchServers returns the addresses of the servers of the n-th batch.
func (f *fleet) batchServers(n int) (out []string) {
	for s := range services() {
		for c := range dataCentres {
			out = append(out, f.serverAddress(s, c, n))
		}
	}
	return out
}

// regionServers returns the addresses of the servers in a region.
func (f *fleet) regionServers(region string) (out []string) {
	for a, centre := range f.dataCentreOf {
		for _, dc := range dataCentres {
			if dc.name == centre && dc.region == region {
				out = append(out, a)
			}
		}
	}
	return out
}

// maxInFlight returns the largest number of concurrent requests that any server had.
func (f *fleet) maxInFlight() int {
	most := 0
	for _, s := range f.servers {
		most = max(most, s.Recorded().MaxInFlight)
	}
	return most
}

// BenchmarkLoss measures the loss of a host while a shift ramps up from its region to the other one. The latency and failures of
// the other region's callers should hardly change.
func BenchmarkLoss(b *testing.B) {
	for b.Loop() {
		f := newFleet(b)
		f.apply(newObject("shift", "m", wire.ShiftSpec{Service: "search", From: "almaty", To: "astana", CapPercent: 20, RampSeconds: 2}))
		far := f.caller(1)
		req := load.Request{Method: http.MethodGet, Path: "/search"}
		plan := load.Plan{Request: req, PerSecond: 300, Workers: workers, Duration: benchDuration}
		near := load.Plan{Request: req, PerSecond: 300, Workers: workers, Duration: 3 * benchDuration}
		ends := make(chan load.Report, 1)
		go func() { ends <- load.Run(b.Context(), f.caller(0), near) }()
		before := load.Run(b.Context(), far, plan)
		f.entryds[0].kill()
		f.steerds[0].kill()
		during := load.Run(b.Context(), far, plan)
		almaty := <-ends
		b.ReportMetric(float64(before.P99Micros)/1000, "far-p99-before-ms")
		b.ReportMetric(float64(during.P99Micros)/1000, "far-p99-during-ms")
		b.ReportMetric(float64(during.Sent-during.Complete), "far-not-whole")
		b.ReportMetric(100*float64(almaty.Sent-almaty.Complete)/float64(almaty.Sent), "near-not-whole-%")
		b.ReportMetric(float64(f.maxInFlight())/slots, "peak/slots")
	}
}

// BenchmarkAtMostOnce compares two ways to run a request at most once: a request key, which is bound to an entryd, and a claim
// that is written to the platform before each request.
func BenchmarkAtMostOnce(b *testing.B) {
	f := smallFleet(b, 0)
	c := load.NewCaller([]string{f.address(0, 7100)}, "10.1.0.5")
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
			f.writeClaim(b, fmt.Sprintf("claim-%d-%d", b.N, n))
			_, err := c.Do(b.Context(), post)
			assert.NilError(b, err)
		}
		b.ReportMetric(float64(f.platform.Counts().Writes-before)/float64(n), "writes/req")
	})
}

// writeClaim writes an object as a claim to the platform. It does not use object.Client, whose call budget would limit the rate.
func (f *fleet) writeClaim(b *testing.B, name string) {
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

// smallFleet starts a fleet with one data centre, whose servers take the time d for each request.
func smallFleet(b *testing.B, d time.Duration) *fleet {
	b.Helper()
	old := dataCentres
	dataCentres = dataCentres[:1]
	b.Cleanup(func() { dataCentres = old })
	f := newFleet(b)
	for _, s := range f.servers {
		s.SetServiceTime(d)
	}
	return f
}
