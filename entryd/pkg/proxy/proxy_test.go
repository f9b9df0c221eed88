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

// peers answers the n-th request with the n-th result, and the last one from then on.
type peers struct {
	results []flow.Result
	void    func() (bool, error)
	known   dedup.Known
	sent    []*flow.Request
	to      []string
	voids   int
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

func (p *peers) Void(context.Context, *peerpb.Member, string, time.Time) (bool, error) {
	p.voids++
	return p.void()
}

func (p *peers) Outcome(context.Context, *peerpb.Member, string) (dedup.Known, error) {
	return p.known, nil
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

// setUp returns the proxy of host a in region r1, with sites in data centres b (own region) and
// c (another region), owned by the hosts of the same names.
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
		Where: place.Location{DataCentre: "a", Region: "r1"}, Incarnation: self,
		Views: views{model.NewSnapshot(objects), []*peerpb.Member{member(self, "a", "a", "r1"), member(2, "b", "b", "r1"), member(3, "c", "c", "r2")}},
		Owner: owner.New(time.Now(), self, server.NewClient(), nil, log), Peers: p,
		Book: dedup.NewBook(time.Now(), self), Log: log,
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

// name gives a result a short form that tables can compare.
func name(res flow.Result) string {
	switch r := res.(type) {
	case flow.Complete:
		return "whole"
	case flow.Rejected:
		return string(r.Outcome)
	case flow.Aborted:
		return "broken"
	default:
		return "?"
	}
}

var (
	whole   = flow.Complete{}
	full    = flow.NotRun(flow.RefusedFull, "")
	connect = flow.NotRun(flow.RejectedConnect, "")
	moved   = flow.NotRun(flow.RejectedNotOwner, "")
	broken  = flow.Aborted{}
	late    = flow.Aborted{HeadSent: true}
)

func says(voided bool, err error) func() (bool, error) {
	return func() (bool, error) { return voided, err }
}

// TestSteps brings about a fault at each step of a request, for both kinds of requests.
func TestSteps(t *testing.T) {
	rows := []struct {
		step       string
		results    []flow.Result
		void       func() (bool, error)
		idempotent string
		once       string
	}{
		{"no fault", []flow.Result{whole}, nil, "whole", "whole"},
		{"before admission: owner full", []flow.Result{full, whole}, nil, "whole", "whole"},
		{"before admission: owner dead", []flow.Result{connect, whole}, nil, "whole", "whole"},
		{"owner changes", []flow.Result{moved, moved, moved, whole}, nil, "whole", "whole"},
		{"every site full", []flow.Result{full}, nil, "notRun", "notRun"},
		{"owner lost, and it never ran", []flow.Result{broken, whole}, says(true, nil), "whole", "whole"},
		{"owner lost, and it may have run", []flow.Result{broken, whole}, says(false, nil), "whole", "broken"},
		{"owner lost, and it can't be asked", []flow.Result{broken, whole}, says(false, errors.New("gone")), "whole", "broken"},
		{"mid-answer", []flow.Result{late, whole}, says(false, nil), "broken", "broken"},
	}
	for _, r := range rows {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprint(r.step, ", idempotent ", idempotent), func(t *testing.T) {
				p := &peers{results: r.results, void: r.void}
				want := r.once
				if idempotent {
					want = r.idempotent
				}
				assert.Equal(t, name(serve(t, setUp(t, p), request(idempotent))), want)
				if want == "broken" {
					assert.Equal(t, len(p.sent), 1, "nothing is sent again")
				}
			})
		}
	}
	t.Run("no owner at all ends at the deadline, not run", func(t *testing.T) {
		assert.Equal(t, name(serve(t, setUp(t, &peers{results: []flow.Result{connect}}), request(false))), "notRun")
	})
	t.Run("a streamed body is sent once", func(t *testing.T) {
		p := &peers{results: []flow.Result{broken, whole}}
		req := request(true)
		req.Body = flow.StreamBody(http.NoBody, 5)
		_ = req.Body.Reader()
		assert.Equal(t, name(serve(t, setUp(t, p), req)), "broken")
	})
	t.Run("retries keep their budget", func(t *testing.T) {
		p := &peers{results: []flow.Result{broken}}
		px := setUp(t, p)
		for range 100 {
			serve(t, px, request(true))
		}
		assert.Assert(t, len(p.sent) <= 100+10+10, "%d tries for 100 requests", len(p.sent))
	})
}

func TestPlaces(t *testing.T) {
	t.Run("the own region first", func(t *testing.T) {
		p := &peers{results: []flow.Result{whole}}
		serve(t, setUp(t, p), request(true))
		assert.DeepEqual(t, p.to, []string{"b"})
	})
	t.Run("then others", func(t *testing.T) {
		p := &peers{results: []flow.Result{full, whole}}
		serve(t, setUp(t, p), request(true))
		assert.DeepEqual(t, p.to, []string{"b", "c"})
	})
	t.Run("a site that refused overflow is left alone", func(t *testing.T) {
		p := &peers{results: []flow.Result{full}}
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
		t.Run("a shift's cap holds under a "+r.name, func(t *testing.T) {
			p := &peers{results: []flow.Result{whole}}
			px := setUp(t, p, r.stop, shift)
			for range 100 {
				req := request(true)
				req.Deadline = time.Now().Add(time.Second)
				serve(t, px, req)
			}
			assert.Equal(t, len(p.to), 25)
		})
	}
	t.Run("callers of another region who enter here count against the cap", func(t *testing.T) {
		p := &peers{results: []flow.Result{whole}}
		px := setUp(t, p, [3]string{"shift", "m", `{"service":"s","from":"r2","to":"r1","capPercent":25}`})
		for range 100 {
			req := request(true)
			req.Source = "r2"
			serve(t, px, req)
		}
		here := 0
		for _, h := range p.to {
			if h == "b" {
				here++
			}
		}
		assert.Equal(t, here, 25)
	})
	t.Run("a shift moves its share", func(t *testing.T) {
		p := &peers{results: []flow.Result{whole}}
		px := setUp(t, p, shift)
		for range 100 {
			serve(t, px, request(true))
		}
		away := 0
		for _, h := range p.to {
			if h == "c" {
				away++
			}
		}
		assert.Equal(t, away, 25)
	})
}

func keyed(incarnation uint64) *flow.Request {
	req := request(false)
	req.Key = fmt.Sprintf("%x-%d-random-1", incarnation, time.Now().Unix()/60)
	return req
}

func TestKeys(t *testing.T) {
	t.Run("a repeat does not run again", func(t *testing.T) {
		p := &peers{results: []flow.Result{whole}}
		px := setUp(t, p)
		for range 3 {
			got := &sink{}
			assert.Equal(t, name(px.Serve(t.Context(), keyed(self), got)), "whole")
			assert.Equal(t, string(got.body), "ok")
		}
		assert.Equal(t, len(p.sent), 1)
	})
	t.Run("what was said not to run does not run later", func(t *testing.T) {
		p := &peers{results: []flow.Result{full, full, whole}}
		px := setUp(t, p)
		assert.Equal(t, name(serve(t, px, keyed(self))), "notRun")
		assert.Equal(t, name(serve(t, px, keyed(self))), "notRun")
		assert.Equal(t, len(p.sent), 2, "one try at each site")
	})
	t.Run("an unknown outcome stays unknown", func(t *testing.T) {
		p := &peers{results: []flow.Result{broken, whole}, void: says(false, errors.New("gone"))}
		px := setUp(t, p)
		assert.Equal(t, name(serve(t, px, keyed(self))), "broken")
		assert.Equal(t, name(serve(t, px, keyed(self))), "unknown")
		assert.Equal(t, len(p.sent), 1)
	})
	rows := []struct {
		name        string
		incarnation uint64
		p           *peers
		want        string
		sent        int
	}{
		{"another's key goes to its home", 2, &peers{results: []flow.Result{whole}}, "whole", 1},
		{"a home that does not answer is unknown", 2, &peers{results: []flow.Result{connect}}, "unknown", 1},
		{"a key of a dead process is unknown", 99, &peers{known: dedup.Known{Outcome: flow.OutcomeUnknown}}, "unknown", 0},
		{"an heir says that it ran", 99, &peers{known: dedup.Known{Outcome: flow.OutcomeRan}}, "ran", 0},
		{"an heir says that it did not", 99, &peers{known: dedup.Known{Outcome: flow.OutcomeNotRun}}, "notRun", 0},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			assert.Equal(t, name(serve(t, setUp(t, r.p), keyed(r.incarnation))), r.want)
			assert.Equal(t, len(r.p.sent), r.sent)
		})
	}
}
