package health

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rosemarygrade.dev/lib/pkg/fault"
	"rosemarygrade.dev/lib/pkg/plan"
	"rosemarygrade.dev/platform/adapt"
	"rosemarygrade.dev/platform/fake"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// env is elected for all backend servers but those named, and records the slow starts that are reported.
type env struct {
	view    *plan.View
	news    bool
	others  map[string]bool
	mu      sync.Mutex
	reports []string
}

func (e *env) View() *plan.View { return e.view }

func (e *env) HasStoreNews(time.Time) bool { return e.news }

func (e *env) IsElectedFor(b *plan.Backend) bool { return !e.others[b.ID()] }

func (e *env) ReportSlowStart(_ time.Time, b *plan.Backend, _ time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports = append(e.reports, b.ID())
}

func (e *env) reported() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.reports)
}

func newChecker(e *env) *Checker {
	return New(e, adapt.HeaderCodec{}, func() {}, slog.New(slog.DiscardHandler))
}

func newEnv(t *testing.T, addresses ...string) *env {
	t.Helper()
	config, err := plan.NewConfig(plan.ConfigSpec{Version: 1, Services: []plan.ServiceSpec{
		{Name: "alpha", HealthPath: "/health", SlowStart: 3 * time.Second, SlowStartRate: 15}, {Name: "unchecked", SlowStartRate: 15},
	}})
	assert.NilError(t, err)
	specs := []plan.BackendSpec{{ID: "u", Service: "unchecked", Address: "127.0.0.1:1", Slots: 2}}
	for i, a := range addresses {
		specs = append(specs, plan.BackendSpec{ID: fmt.Sprintf("b%d", i), Service: "alpha", Address: a, Slots: 2})
	}
	return &env{view: plan.NewView(config, specs, nil, nil), others: map[string]bool{}}
}

// TestDue guards against checks that nobody needs, and against backend servers that are never checked because there are too many.
func TestDue(t *testing.T) {
	ids := func(list []*plan.Backend) (out []string) {
		for _, b := range list {
			out = append(out, b.ID())
		}
		return out
	}
	t.Run("a host checks the backend servers for which it is elected, of services with a health path", func(t *testing.T) {
		e := newEnv(t, "x", "x", "x")
		e.others["b1"] = true
		assert.DeepEqual(t, ids(newChecker(e).elected(e.view)), []string{"b0", "b2"})
	})
	t.Run("a check in progress is not repeated", func(t *testing.T) {
		e := newEnv(t, "x")
		c := newChecker(e)
		due, _ := c.begin(start, c.elected(e.view))
		assert.Equal(t, len(due), 1)
		due, _ = c.begin(start.Add(checkInterval), c.elected(e.view))
		assert.Equal(t, len(due), 0)
	})
	t.Run("a known slow start is reported a few times, and checked again shortly before its end", func(t *testing.T) {
		e := newEnv(t, "x")
		c := newChecker(e)
		due, _ := c.begin(start, c.elected(e.view))
		c.end(start, due[0], 3*time.Second)
		reports, checkedAt := 1, time.Duration(0)
		for at := checkInterval; at <= 3*time.Second && checkedAt == 0; at += checkInterval {
			due, again := c.begin(start.Add(at), c.elected(e.view))
			reports += len(again)
			if len(due) > 0 {
				checkedAt = at
			}
		}
		assert.Equal(t, reports, maxReports)
		assert.Assert(t, checkedAt >= 3*time.Second-checkInterval && checkedAt < 3*time.Second, "%s", checkedAt)
	})
	t.Run("all are checked in turn if there are too many", func(t *testing.T) {
		e := newEnv(t, make([]string, 3*maxChecks)...)
		c, seen := newChecker(e), map[string]bool{}
		for i := range 3 {
			now := start.Add(time.Duration(i) * checkInterval)
			due, _ := c.begin(now, c.elected(e.view))
			assert.Equal(t, len(due), maxChecks)
			for _, b := range due {
				seen[b.ID()] = true
				c.end(now, b, 0)
			}
		}
		assert.Equal(t, len(seen), 3*maxChecks)
	})
}

// TestChecks guards against a slow start that no host learns of while the store is down, and against one that another backend server at
// the same address reports.
func TestChecks(t *testing.T) {
	server, err := fake.NewBackendServer("b0", "127.0.0.1")
	assert.NilError(t, err)
	defer server.Close()
	server.SetSlowStart(time.Minute)
	t.Run("a slow start is reported while there is no news of the store", func(t *testing.T) {
		e := newEnv(t, server.Address())
		newChecker(e).tick(t.Context(), time.Now())
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if e.reported() == 1 {
				return poll.Success()
			}
			return poll.Continue("no report")
		})
	})
	t.Run("nothing is checked while there is", func(t *testing.T) {
		e, before := newEnv(t, server.Address()), server.HealthChecks()
		e.news = true
		newChecker(e).tick(t.Context(), time.Now())
		time.Sleep(checkInterval)
		assert.Equal(t, server.HealthChecks(), before)
	})
	t.Run("several checks in a row use one connection", func(t *testing.T) {
		e := newEnv(t, server.Address())
		c := newChecker(e)
		for range 5 {
			remaining, err := c.ask(t.Context(), e.view.Backend("b0"), "/health")
			assert.NilError(t, err)
			assert.Assert(t, remaining > time.Second)
		}
		assert.Equal(t, c.pool.Opened(), uint64(1))
	})
	t.Run("the response of another backend server is not used", func(t *testing.T) {
		e := newEnv(t, "127.0.0.1:1", server.Address())
		_, err := newChecker(e).ask(t.Context(), e.view.Backend("b1"), "/health")
		assert.Equal(t, fault.KindOf[Kind](err), KindOther)
	})
	t.Run("a check of one that does not respond ends", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer func() { _ = l.Close() }()
		e := newEnv(t, l.Addr().String())
		c := newChecker(e)
		due, _ := c.begin(time.Now(), c.elected(e.view))
		c.check(context.Background(), due[0], "/health")
		assert.Equal(t, c.running, 0)
		assert.Equal(t, e.reported(), 0)
	})
}
