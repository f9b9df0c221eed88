// Package health asks backend servers whether they are in slow start while this host has no news of the store. Otherwise their entries
// there tell it, and no health checks are sent.
package health

import (
	"cmp"
	"context"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"rosemarygrade.dev/edged/pkg/conns"
	"rosemarygrade.dev/lib/pkg/fault"
	"rosemarygrade.dev/lib/pkg/header"
	"rosemarygrade.dev/lib/pkg/plan"
)

// Kind is the kind of an error of the package.
type Kind string

// KindOther means that another backend server responded to a health check.
const KindOther Kind = "other"

// Error is the error type of the package.
type Error = fault.Error[Kind]

const (
	// checkInterval is the time between two checks of a backend server. Until the next one, it may get as many requests as if it were warm.
	checkInterval = 400 * time.Millisecond
	// checkTimeout bounds the time of a check: it may have to wait for a slot of the backend server.
	checkTimeout = time.Second
	// maxChecks bounds the checks in progress. A host that is cut off from all others checks the backend servers of all services.
	maxChecks = 64
	// maxReports is how many times in a row a slow start is reported, since a report may be lost on its way to another host.
	maxReports = 3
)

// Env is the state of the process that a Checker reads, and what receives its results.
type Env interface {
	// View returns the active configuration and the backend servers.
	View() *plan.View
	// HasStoreNews reports whether changes in the store become known to this host.
	HasStoreNews(now time.Time) bool
	// IsElectedFor reports whether this host is the one that sends to a backend server during its slow start.
	IsElectedFor(b *plan.Backend) bool
	// ReportSlowStart tells this host and all others for how much longer a backend server is in slow start.
	ReportSlowStart(now time.Time, b *plan.Backend, remaining time.Duration)
}

// Codec encodes the headers of health checks and decodes those of the responses.
type Codec interface {
	// EncodeRequest sets in h the remaining time of a request, the ID of the backend server that it is sent to, and the name of an
	// organisation, unless it is empty.
	EncodeRequest(h http.Header, remaining time.Duration, backendID, organisation string)
	// DecodeResponse decodes the status and headers of a backend server's response.
	DecodeResponse(status int, h http.Header) header.Response
}

// Checker sends health checks. It is safe for concurrent use.
type Checker struct {
	env   Env
	codec Codec
	// pool holds connections for health checks only: the responses do not name their request, so a late copy of one could be taken for
	// the response to another request.
	pool  *conns.Pool
	count func()
	log   *slog.Logger
	// checks are those in progress.
	checks sync.WaitGroup

	mu       sync.Mutex
	backends map[string]*backend
	running  int
}

// backend is the state of the checks of one backend server.
type backend struct {
	running   bool
	checkedAt time.Time
	// slowStartUntil is the end of the slow start by the last response, which was reported that many times.
	slowStartUntil time.Time
	reports        int
}

// New returns a checker, which calls count for each check that it sends.
func New(env Env, codec Codec, count func(), log *slog.Logger) *Checker {
	c := &Checker{env: env, codec: codec, pool: conns.NewPool(conns.Dialer(), noID), count: count, log: log, backends: map[string]*backend{}}
	c.pool.SetMaxConns(maxChecks)
	return c
}

// noID is the ID of the request in a response to a health check.
func noID(http.Header) string { return "" }

// Run sends health checks until the context ends, and returns when the last one has ended.
func (c *Checker) Run(ctx context.Context) error {
	defer c.checks.Wait()
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			c.tick(ctx, time.Now())
		}
	}
}

// tick starts the checks that are due, and reports again the slow starts that were found lately.
func (c *Checker) tick(ctx context.Context, now time.Time) {
	v := c.env.View()
	c.pool.Sweep(now, v.HasKey)
	if v.Config() == nil || c.env.HasStoreNews(now) {
		c.forget()
		return
	}
	due, reports := c.begin(now, c.elected(v))
	for _, r := range reports {
		c.env.ReportSlowStart(now, r.backend, r.remaining)
	}
	for _, b := range due {
		c.checks.Go(func() { c.check(ctx, b, v.Config().Service(b.Service()).HealthPath) })
	}
}

// elected returns the backend servers that this host checks: those for which it would be the only sender during a slow start.
func (c *Checker) elected(v *plan.View) []*plan.Backend {
	var out []*plan.Backend
	for _, s := range v.Config().Spec().Services {
		if s.HealthPath == "" || s.SlowStartRate <= 0 {
			continue
		}
		for _, b := range v.Usable(s.Name) {
			if c.env.IsElectedFor(b) {
				out = append(out, b)
			}
		}
	}
	return out
}

// report is a slow start that other hosts are to know of.
type report struct {
	backend   *plan.Backend
	remaining time.Duration
}

// begin returns those of the backend servers whose check begins now: the ones that were not checked for longest, if there are too many.
// One that is known to be in slow start until after the next check is not checked, but reported a few times.
func (c *Checker) begin(now time.Time, list []*plan.Backend) (due []*plan.Backend, reports []report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := make(map[string]*backend, len(list))
	for _, b := range list {
		s := c.backends[b.Key()]
		if s == nil {
			s = &backend{}
		}
		kept[b.Key()] = s
		switch {
		case s.running:
		case s.slowStartUntil.Sub(now) <= checkInterval:
			due = append(due, b)
		case s.reports < maxReports:
			s.reports++
			reports = append(reports, report{backend: b, remaining: s.slowStartUntil.Sub(now)})
		}
	}
	c.backends = kept
	slices.SortStableFunc(due, func(a, b *plan.Backend) int {
		return cmp.Compare(kept[a.Key()].checkedAt.UnixNano(), kept[b.Key()].checkedAt.UnixNano())
	})
	due = due[:min(len(due), max(0, maxChecks-c.running))]
	c.running += len(due)
	for _, b := range due {
		kept[b.Key()].running, kept[b.Key()].checkedAt = true, now
	}
	return due, reports
}

// forget drops the results: the entries in the store are newer.
func (c *Checker) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.backends)
}

// check asks a backend server for its state and reports a slow start.
func (c *Checker) check(ctx context.Context, b *plan.Backend, path string) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	remaining, err := c.ask(ctx, b, path)
	now := time.Now()
	if err != nil {
		c.log.Debug("health check failed", "event", "health", "backend", b.ID(), "error", err)
	}
	if remaining > 0 {
		c.log.Info("backend server says that it is in slow start", "event", "slowStart", "backend", b.ID(), "service", b.Service(),
			"forMillis", remaining.Milliseconds())
		c.env.ReportSlowStart(now, b, remaining)
	}
	c.end(now, b, remaining)
}

func (c *Checker) end(now time.Time, b *plan.Backend, remaining time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
	if s := c.backends[b.Key()]; s != nil {
		s.running, s.slowStartUntil, s.reports = false, now.Add(remaining), 1
	}
}

// ask sends a health check and returns how much longer the backend server is in slow start. The status does not matter: a backend server
// that is leaving or not healthy names the time too. It fails with KindOther, or with an error of package conns.
func (c *Checker) ask(ctx context.Context, b *plan.Backend, path string) (time.Duration, error) {
	c.count()
	req := &conns.Request{Method: http.MethodGet, URI: path, Host: b.Address(), Header: http.Header{}, Idempotent: true}
	c.codec.EncodeRequest(req.Header, checkTimeout, b.ID(), "")
	resp, err := c.pool.Send(ctx, b.Key(), b.Address(), req)
	if err != nil {
		return 0, err
	}
	resp.Close(false)
	head := c.codec.DecodeResponse(resp.Head().Status, resp.Head().Header)
	if head.BackendID != b.ID() {
		return 0, fault.New("health check", KindOther, "response of "+head.BackendID)
	}
	return head.SlowStartRemaining, nil
}
