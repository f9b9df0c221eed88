package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/entryd/pkg/dedup"
	"rosemarygrade.dev/entryd/pkg/flow"
	"rosemarygrade.dev/entryd/pkg/owner"
	"rosemarygrade.dev/entryd/pkg/place"
	"rosemarygrade.dev/entryd/pkg/proxy"
	"rosemarygrade.dev/entryd/pkg/server"
	"rosemarygrade.dev/lib/pkg/model"
	"rosemarygrade.dev/lib/pkg/peerpb"
)

const self = 1

// peers returns the n-th result for the n-th request, and the last result for all further ones.
type peers struct {
	results []flow.Result
	cancel  func() (bool, error)
	state   dedup.KeyState
	sent    []*flow.Request
	to      []string
	cancels int
}

func (p *peers) Serve(_ context.Context, m *peerpb.Member, req *flow.Request, _ peerpb.Stage, sink flow.Sink) flow.Result {
	n := min(len(p.sent), len(p.results)-1)
	p.sent = append(p.sent, req)
	p.to = append(p.to, m.GetHost())
	res := p.results[n]
	if _, ok := res.(flow.Complete); ok {
		_ = sink.Head(flow.Head{Status: http.StatusOK, Size: 2})
		_ = sink.Data([]byte("ok"))
	}
	return res
}

func (p *peers) CancelBeforeDispatch(context.Context, *peerpb.Member, string, time.Time) (bool, error) {
	p.cancels++
	return p.cancel()
}

func (p *peers) Outcome(context.Context, *peerpb.Member, string) (dedup.KeyState, error) {
	return p.state, nil
}

type views struct {
	snap    *model.Snapshot
	members []*peerpb.Member
}

func (v views) Snapshot() *model.Snapshot { return v.snap }
func (v views) Members() []*peerpb.Member { return v.members }
func (v views) Ready() bool               { return true }

type sink struct{ body []byte }

func (*sink) Head(flow.Head) error  { return nil }
func (s *sink) Data(p []byte) error { s.body = append(s.body, p...); return nil }

func member(inc uint64, host, dc, region string) *peerpb.Member {
	return &peerpb.Member{Incarnation: inc, Role: peerpb.Role_ROLE_ENTRYD, Host: host, DataCentre: dc, Region: region}
}

// setUp returns the proxy of host a in region r1. The service has sites in data centres b (region
// r1) and c (region r2), owned by the hosts of the same names.
func setUp(t *testing.T, p *peers, more ...[3]string) *proxy.Proxy {
	t.Helper()
	specs := append([][3]string{
		{"region", "r1", `{"dataCentres":["a","b"],"maxHosts":2,"links":[{"to":"r2","bitsPerSecond":800000000,"latencyMillis":20}]}`},
		{"region", "r2", `{"dataCentres":["c"],"maxHosts":2}`},
		{"service", "s", `{"routes":[{"prefix":"/"}],"class":"live","deadlineMillis":1000}`},
		{"placement", "s", `{"service":"s","servers":[{"address":"127.0.0.1:1","dataCentre":"b","batch":"x","slots":1},{"address":"127.0.0.1:2","dataCentre":"c","slots":1}]}`},
	}, more...)
	var objects []model.Object
	for _, s := range specs {
		o, err := model.Parse(s[0], s[1], []byte(s[2]))
		assert.NilError(t, err)
		objects = append(objects, o)
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	return proxy.New(proxy.Config{
		Location: place.Location{DataCentre: "a", Region: "r1"}, Incarnation: self,
		View:  views{model.NewSnapshot(objects), []*peerpb.Member{member(self, "a", "a", "r1"), member(2, "b", "b", "r1"), member(3, "c", "c", "r2")}},
		Owner: owner.New(time.Now(), self, server.NewClient(), nil, log), Peers: p,
		DedupTable: dedup.NewTable(time.Now(), self), Log: log,
	})
}

func request(idempotent bool) *flow.Request {
	return &flow.Request{
		ID: "id", Service: "s", Method: "POST", Path: "/", Body: flow.BytesBody(nil), Source: "r1",
		Deadline: time.Now().Add(300 * time.Millisecond), Idempotent: idempotent,
	}
}

func serve(t *testing.T, p *proxy.Proxy, req *flow.Request) flow.Result {
	t.Helper()
	ctx, cancel := context.WithDeadline(t.Context(), req.Deadline)
	defer cancel()
	return p.Serve(ctx, req, &sink{})
}

// resultName returns a short name of a result for comparison in test tables.
func resultName(res flow.Result) string {
	switch r := res.(type) {
	case flow.Complete:
		return "complete"
	case flow.Rejected:
		return string(r.Outcome)
	case flow.Aborted:
		return "aborted"
	default:
		return "?"
	}
}

var (
	complete         = flow.Complete{}
	overloaded       = flow.NotRun(flow.RejectedOverloaded, "")
	unreachable      = flow.NotRun(flow.RejectedConnect, "")
	notOwner         = flow.NotRun(flow.RejectedNotOwner, "")
	aborted          = flow.Aborted{}
	abortedAfterHead = flow.Aborted{HeadSent: true}
)

func cancelResult(cancelled bool, err error) func() (bool, error) {
	return func() (bool, error) { return cancelled, err }
}

// TestSteps injects a fault at each step of a request and checks that an idempotent request is
// retried where possible, and that a non-idempotent one is never sent again once it may have run.
func TestSteps(t *testing.T) {
	rows := []struct {
		step              string
		results           []flow.Result
		cancel            func() (bool, error)
		wantIdempotent    string
		wantNonIdempotent string
	}{
		{"no fault", []flow.Result{complete}, nil, "complete", "complete"},
		{"before admission: owner overloaded", []flow.Result{overloaded, complete}, nil, "complete", "complete"},
		{"before admission: owner unreachable", []flow.Result{unreachable, complete}, nil, "complete", "complete"},
		{"owner changes", []flow.Result{notOwner, notOwner, notOwner, complete}, nil, "complete", "complete"},
		{"every site overloaded", []flow.Result{overloaded}, nil, "notRun", "notRun"},
		{"stream to the owner lost, cancelled before dispatch", []flow.Result{aborted, complete}, cancelResult(true, nil), "complete", "complete"},
		{"stream to the owner lost, already dispatched", []flow.Result{aborted, complete}, cancelResult(false, nil), "complete", "aborted"},
		{"stream to the owner lost, cancellation fails", []flow.Result{aborted, complete}, cancelResult(false, errors.New("gone")), "complete", "aborted"},
		{"stream to the owner lost after the response head", []flow.Result{abortedAfterHead, complete}, cancelResult(false, nil), "aborted", "aborted"},
	}
	for _, r := range rows {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprint(r.step, ", idempotent ", idempotent), func(t *testing.T) {
				p := &peers{results: r.results, cancel: r.cancel}
				want := r.wantNonIdempotent
				if idempotent {
					want = r.wantIdempotent
				}
				assert.Equal(t, resultName(serve(t, setUp(t, p), request(idempotent))), want)
				if want == "aborted" {
					assert.Equal(t, len(p.sent), 1, "the request was sent again")
				}
			})
		}
	}
	t.Run("without a reachable owner the request ends at its deadline as not run", func(t *testing.T) {
		assert.Equal(t, resultName(serve(t, setUp(t, &peers{results: []flow.Result{unreachable}}), request(false))), "notRun")
	})
	t.Run("a request with a streamed body is not retried", func(t *testing.T) {
		p := &peers{results: []flow.Result{aborted, complete}}
		req := request(true)
		req.Body = flow.StreamBody(http.NoBody, 5)
		_ = req.Body.Reader()
		assert.Equal(t, resultName(serve(t, setUp(t, p), req)), "aborted")
	})
	t.Run("retries stay within their budget", func(t *testing.T) {
		p := &peers{results: []flow.Result{aborted}}
		px := setUp(t, p)
		for range 100 {
			serve(t, px, request(true))
		}
		assert.Assert(t, len(p.sent) <= 100+10+10, "%d attempts for 100 requests", len(p.sent))
	})
}

func TestPlaces(t *testing.T) {
	t.Run("a site of the own region comes first", func(t *testing.T) {
		p := &peers{results: []flow.Result{complete}}
		serve(t, setUp(t, p), request(true))
		assert.DeepEqual(t, p.to, []string{"b"})
	})
	t.Run("a site of another region follows a rejection", func(t *testing.T) {
		p := &peers{results: []flow.Result{overloaded, complete}}
		serve(t, setUp(t, p), request(true))
		assert.DeepEqual(t, p.to, []string{"b", "c"})
	})
	t.Run("a site of another region that rejected a request is not tried for the next one", func(t *testing.T) {
		p := &peers{results: []flow.Result{overloaded}}
		px := setUp(t, p)
		serve(t, px, request(true))
		serve(t, px, request(true))
		assert.DeepEqual(t, p.to, []string{"b", "c", "b"})
	})
	rows := []struct {
		name string
		stop [3]string
	}{
		{"drain", [3]string{"drain", "o", `{"scope":"dataCentre","name":"b"}`}},
		{"recall", [3]string{"recall", "o", `{"batch":"x"}`}},
	}
	shift := [3]string{"shift", "m", `{"service":"s","from":"r1","to":"r2","capPercent":25}`}
	for _, r := range rows {
		t.Run("the cap of a shift holds during a "+r.name, func(t *testing.T) {
			p := &peers{results: []flow.Result{complete}}
			px := setUp(t, p, r.stop, shift)
			for range 100 {
				req := request(true)
				req.Deadline = time.Now().Add(time.Second)
				serve(t, px, req)
			}
			assert.Equal(t, len(p.to), 25)
		})
	}
	t.Run("requests of another region that enter in this region count against the cap", func(t *testing.T) {
		p := &peers{results: []flow.Result{complete}}
		px := setUp(t, p, [3]string{"shift", "m", `{"service":"s","from":"r2","to":"r1","capPercent":25}`})
		for range 100 {
			req := request(true)
			req.Source = "r2"
			serve(t, px, req)
		}
		inRegion1 := 0
		for _, h := range p.to {
			if h == "b" {
				inRegion1++
			}
		}
		assert.Equal(t, inRegion1, 25)
	})
	t.Run("a shift moves its share of the requests", func(t *testing.T) {
		p := &peers{results: []flow.Result{complete}}
		px := setUp(t, p, shift)
		for range 100 {
			serve(t, px, request(true))
		}
		inRegion2 := 0
		for _, h := range p.to {
			if h == "c" {
				inRegion2++
			}
		}
		assert.Equal(t, inRegion2, 25)
	})
}

func keyed(incarnation uint64) *flow.Request {
	req := request(false)
	req.Key = fmt.Sprintf("%x-%d-random-1", incarnation, time.Now().Unix()/60)
	return req
}

func TestKeys(t *testing.T) {
	t.Run("a duplicate does not run again", func(t *testing.T) {
		p := &peers{results: []flow.Result{complete}}
		px := setUp(t, p)
		for range 3 {
			got := &sink{}
			assert.Equal(t, resultName(px.Serve(t.Context(), keyed(self), got)), "complete")
			assert.Equal(t, string(got.body), "ok")
		}
		assert.Equal(t, len(p.sent), 1)
	})
	t.Run("a request that was reported as not run does not run later", func(t *testing.T) {
		p := &peers{results: []flow.Result{overloaded, overloaded, complete}}
		px := setUp(t, p)
		assert.Equal(t, resultName(serve(t, px, keyed(self))), "notRun")
		assert.Equal(t, resultName(serve(t, px, keyed(self))), "notRun")
		assert.Equal(t, len(p.sent), 2, "the request must be tried once at each site")
	})
	t.Run("an unknown outcome stays unknown", func(t *testing.T) {
		p := &peers{results: []flow.Result{aborted, complete}, cancel: cancelResult(false, errors.New("gone"))}
		px := setUp(t, p)
		assert.Equal(t, resultName(serve(t, px, keyed(self))), "aborted")
		assert.Equal(t, resultName(serve(t, px, keyed(self))), "unknown")
		assert.Equal(t, len(p.sent), 1)
	})
	rows := []struct {
		name        string
		incarnation uint64
		p           *peers
		want        string
		sent        int
	}{
		{"a key of another process goes to its issuing process", 2, &peers{results: []flow.Result{complete}}, "complete", 1},
		{"the outcome is unknown if the issuing process is unreachable", 2, &peers{results: []flow.Result{unreachable}}, "unknown", 1},
		{"the outcome is unknown if the issuing process has stopped and no successor has the key", 99, &peers{state: dedup.KeyState{Outcome: flow.OutcomeUnknown}}, "unknown", 0},
		{"a successor reports that the request ran", 99, &peers{state: dedup.KeyState{Outcome: flow.OutcomeRan}}, "ran", 0},
		{"a successor reports that the request did not run", 99, &peers{state: dedup.KeyState{Outcome: flow.OutcomeNotRun}}, "notRun", 0},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			assert.Equal(t, resultName(serve(t, setUp(t, r.p), keyed(r.incarnation))), r.want)
			assert.Equal(t, len(r.p.sent), r.sent)
		})
	}
}
