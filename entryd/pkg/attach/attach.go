// Package attach maintains the stream from this process to a steerd: it sends reports and receives
// views of the configuration and the membership. Without a steerd, the last view stays active.
package attach

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"rosemarygrade.dev/lib/pkg/model"
	"rosemarygrade.dev/lib/pkg/peer"
	"rosemarygrade.dev/lib/pkg/peerpb"
	"rosemarygrade.dev/lib/pkg/sleep"
	"rosemarygrade.dev/lib/pkg/store"
)

const (
	reportInterval = 500 * time.Millisecond
	// silenceTimeout is the time without a view after which the client switches to the next steerd.
	silenceTimeout = 3 * time.Second
	// retryDelay is the delay between two attempts to attach.
	retryDelay = 200 * time.Millisecond
)

// Process provides the reports of this process and handles views.
type Process interface {
	// Self returns the membership entry of the process for the next report.
	Self(now time.Time) *peerpb.Member
	// Nonce returns the nonce of the next report.
	Nonce(now time.Time) uint64
	// ViewApplied is called after each view has been applied, with the nonce that the view echoes.
	ViewApplied(ctx context.Context, now time.Time, echo uint64)
}

// Client keeps this process attached to one steerd at a time. It is safe for concurrent use.
type Client struct {
	pool      *peer.Pool
	addresses []string
	process   Process
	store     *store.Store
	log       *slog.Logger

	mu        sync.Mutex
	members   []*peerpb.Member
	ready     bool
	attached  string
	reportNow chan struct{}
}

// New returns a Client. It tries the addresses of steerds in order.
func New(pool *peer.Pool, addresses []string, p Process, log *slog.Logger) *Client {
	return &Client{
		pool: pool, addresses: addresses, process: p, store: store.New(), log: log, reportNow: make(chan struct{}, 1),
	}
}

// Snapshot returns the active configuration.
func (c *Client) Snapshot() *model.Snapshot { return c.store.Snapshot() }

// Hash returns the hash of the active configuration.
func (c *Client) Hash() uint64 { return c.store.Hash() }

// Members returns the alive members. The slice is shared and must not be modified.
func (c *Client) Members() []*peerpb.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members
}

// Ready reports whether both the configuration and the members have been received.
func (c *Client) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ready && len(c.members) > 0
}

// Attached returns the address of the steerd to which this process is attached, or "".
func (c *Client) Attached() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attached
}

// ReportNow triggers a report before the next report interval.
func (c *Client) ReportNow() {
	select {
	case c.reportNow <- struct{}{}:
	default:
	}
}

// Run keeps this process attached until the context is cancelled. It always returns nil.
func (c *Client) Run(ctx context.Context) error {
	for i := 0; ctx.Err() == nil; i++ {
		targets := c.targets()
		address := targets[i%len(targets)]
		if err := c.attach(ctx, address); err != nil && ctx.Err() == nil {
			c.log.Warn("attachment to steerd failed; trying the next one", "steerd", address, "err", err)
		}
		c.setAttached("")
		sleep.For(ctx, retryDelay)
	}
	return nil
}

// targets returns the addresses of the configured steerds, then of the members that are steerds in
// this data centre.
func (c *Client) targets() []string {
	out := append([]string(nil), c.addresses...)
	self := c.process.Self(time.Now())
	for _, m := range c.Members() {
		if m.GetRole() == peerpb.Role_ROLE_STEERD && m.GetDataCentre() == self.GetDataCentre() {
			out = append(out, m.GetPeerAddress())
		}
	}
	return out
}

func (c *Client) setAttached(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attached = address
}

func (c *Client) attach(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := c.pool.Conn(address, "control")
	if err != nil {
		return err
	}
	stream, err := peerpb.NewControlClient(conn).Attach(ctx)
	if err != nil {
		return err
	}
	// A suspended steerd sends no view and does not close the stream.
	watchdog := time.AfterFunc(silenceTimeout, cancel)
	defer watchdog.Stop()
	go c.report(ctx, stream)
	for {
		view, err := stream.Recv()
		if err != nil {
			return err
		}
		watchdog.Reset(silenceTimeout)
		c.setAttached(address)
		c.apply(ctx, view)
	}
}

func (c *Client) report(ctx context.Context, stream peerpb.Control_AttachClient) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		now := time.Now()
		report := &peerpb.Report{Self: c.process.Self(now), Nonce: c.process.Nonce(now)}
		if err := stream.Send(report); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-c.reportNow:
		}
	}
}

func (c *Client) apply(ctx context.Context, view *peerpb.View) {
	accepted := c.store.Apply(view.GetRecords()...)
	for _, r := range accepted {
		c.log.Info("configuration object accepted", "kind", r.GetKind(), "name", r.GetName(), "version", r.GetVersion(), "force", r.GetForceVersion())
	}
	now := time.Now()
	c.mu.Lock()
	if view.GetFullMembers() {
		c.members = view.GetMembers()
	}
	c.ready = c.ready || view.GetReady()
	c.mu.Unlock()
	c.process.ViewApplied(ctx, now, view.GetEcho())
}
