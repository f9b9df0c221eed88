// Package attach attaches this process to a steerd: reports go up, configuration and membership
// come down. It keeps what it has when no steerd answers.
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

// Times of the attachment.
const (
	reportEvery = 500 * time.Millisecond
	// silence is how long a steerd may say nothing before another one is asked.
	silence   = 3 * time.Second
	retryWait = 200 * time.Millisecond
)

// Process is what the attachment needs of this process.
type Process interface {
	// Self returns what the process says of itself now.
	Self(now time.Time) *peerpb.Member
	// Nonce returns the number of the next report.
	Nonce(now time.Time) uint64
	// Viewed is called after each view has been taken in, with the number that it echoes.
	Viewed(ctx context.Context, now time.Time, echo uint64)
}

// Client is safe for concurrent use.
type Client struct {
	pool      *peer.Pool
	addresses []string
	process   Process
	store     *store.Store
	log       *slog.Logger

	mu       sync.Mutex
	members  []*peerpb.Member
	ready    bool
	attached string
	kick     chan struct{}
}

// New returns a client. The first address is asked first.
func New(pool *peer.Pool, addresses []string, p Process, log *slog.Logger) *Client {
	return &Client{
		pool: pool, addresses: addresses, process: p, store: store.New(), log: log, kick: make(chan struct{}, 1),
	}
}

// Snapshot returns the configuration in force.
func (c *Client) Snapshot() *model.Snapshot { return c.store.Snapshot() }

// Hash returns the hash of the configuration.
func (c *Client) Hash() uint64 { return c.store.Hash() }

// Members returns the live members. They are shared: callers do not change them.
func (c *Client) Members() []*peerpb.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members
}

// Ready tells whether configuration and members have been heard.
func (c *Client) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ready && len(c.members) > 0
}

// Attached returns the steerd that is attached to, or "".
func (c *Client) Attached() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attached
}

// Kick sends a report without waiting for the next tick.
func (c *Client) Kick() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// Run keeps attached until the context ends.
func (c *Client) Run(ctx context.Context) error {
	for i := 0; ctx.Err() == nil; i++ {
		targets := c.targets()
		address := targets[i%len(targets)]
		if err := c.attach(ctx, address); err != nil && ctx.Err() == nil {
			c.log.Warn("detached", "steerd", address, "err", err)
		}
		c.setAttached("")
		sleep.For(ctx, retryWait)
	}
	return nil
}

// targets returns the configured steerds, then those heard of in the own data centre.
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
	// A steerd that is suspended says nothing and closes nothing.
	watchdog := time.AfterFunc(silence, cancel)
	defer watchdog.Stop()
	go c.report(ctx, stream)
	for {
		v, err := stream.Recv()
		if err != nil {
			return err
		}
		watchdog.Reset(silence)
		c.setAttached(address)
		c.take(ctx, v)
	}
}

func (c *Client) report(ctx context.Context, stream peerpb.Control_AttachClient) {
	tick := time.NewTicker(reportEvery)
	defer tick.Stop()
	for {
		now := time.Now()
		r := &peerpb.Report{Self: c.process.Self(now), Nonce: c.process.Nonce(now)}
		if err := stream.Send(r); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-c.kick:
		}
	}
}

func (c *Client) take(ctx context.Context, v *peerpb.View) {
	accepted := c.store.Apply(v.GetRecords()...)
	for _, r := range accepted {
		c.log.Info("accepted", "kind", r.GetKind(), "name", r.GetName(), "version", r.GetVersion(), "force", r.GetForceVersion())
	}
	now := time.Now()
	c.mu.Lock()
	if v.GetFullMembers() {
		c.members = v.GetMembers()
	}
	c.ready = c.ready || v.GetReady()
	c.mu.Unlock()
	c.process.Viewed(ctx, now, v.GetEcho())
}
