package links

import (
	"context"
	"sync"
	"time"

	"rosemarygrade.dev/lib/pkg/model"
)

// Links holds a bucket for each region that the host sends to. It is safe for concurrent use.
type Links struct {
	region string
	mu     sync.Mutex
	paths  map[string]*path
}

type path struct {
	bucket *Bucket
	timer  *time.Timer
	limit  float64
	hosts  int
	grant  Grant
	floor  float64
}

// Grant is what a host may use besides, or has to do without, until it ends.
type Grant struct {
	// Extra is bytes a second above the own share; a negative one is lent to others.
	Extra float64
	Until time.Time
}

// New returns the links of a host in the region.
func New(region string) *Links { return &Links{region: region, paths: map[string]*path{}} }

// Configure takes in the limits of the configuration. Each host's own share is the limit divided
// by the most hosts that the region may have, so that no word from others is needed to keep it.
func (l *Links) Configure(now time.Time, snap *model.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := snap.Region(l.region)
	if r == nil {
		return
	}
	named := map[string]bool{}
	for _, link := range r.Links() {
		named[link.To()] = true
		p := l.path(now, link.To())
		p.limit, p.hosts = float64(link.BytesPerSecond()), r.MaxHosts()
		p.floor = Share(link.BytesPerSecond(), r.MaxHosts())
		p.apply(now)
	}
	for to, p := range l.paths {
		if !named[to] && p.floor > 0 {
			p.limit, p.floor = 0, 0
			p.apply(now)
		}
	}
}

// Share returns a host's own share of a link in bytes a second.
func Share(limit int64, hosts int) float64 { return usable * float64(limit) / float64(max(1, hosts)) }

func (l *Links) path(now time.Time, to string) *path {
	p := l.paths[to]
	if p == nil {
		p = &path{bucket: NewBucket(now, 0)}
		l.paths[to] = p
	}
	return p
}

func (p *path) apply(now time.Time) {
	rate := p.floor
	if now.Before(p.grant.Until) {
		rate += p.grant.Extra
	}
	p.bucket.SetRate(now, max(0, rate))
}

// SetGrant changes what the host may use on the link to a region until the grant ends.
func (l *Links) SetGrant(now time.Time, to string, g Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.path(now, to)
	p.grant = g
	p.apply(now)
	p.bucket.Advance(now)
}

// Tick ends grants whose time is over.
func (l *Links) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.paths {
		if p.grant.Extra != 0 && !now.Before(p.grant.Until) {
			p.grant = Grant{}
			p.apply(now)
		}
		p.bucket.Advance(now)
	}
}

// Known tells whether the configuration limits the way to a region.
func (l *Links) Known(to string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.paths[to]
	return p != nil && p.limit > 0
}

// Wait returns how many of the bytes may be sent to a region once they may be sent.
func (l *Links) Wait(ctx context.Context, to string, bytes int, class Class) (int, error) {
	l.mu.Lock()
	p := l.paths[to]
	if p == nil || p.limit <= 0 {
		l.mu.Unlock()
		return bytes, nil
	}
	// A grant that has ended must not be used, not even between two ticks.
	now := time.Now()
	p.apply(now)
	c := p.bucket.Ask(now, bytes, class)
	l.arm(p, now)
	l.mu.Unlock()
	select {
	case <-c.granted:
		return c.bytes, nil
	case <-ctx.Done():
		l.mu.Lock()
		p.bucket.Drop(c)
		l.mu.Unlock()
		return 0, ctx.Err()
	}
}

// arm sets the timer for the next grant.
func (l *Links) arm(p *path, now time.Time) {
	wait, ok := p.bucket.Next(now)
	if !ok {
		return
	}
	if p.timer != nil {
		p.timer.Stop()
	}
	p.timer = time.AfterFunc(wait, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		now := time.Now()
		p.apply(now)
		p.bucket.Advance(now)
		l.arm(p, now)
	})
}

// Usage is what a state dump shows of a link.
type Usage struct {
	To              string  `json:"to"`
	LimitBytes      float64 `json:"limitBytesPerSecond"`
	RateBytes       float64 `json:"rateBytesPerSecond"`
	LiveBytes       uint64  `json:"liveBytes"`
	BackgroundBytes uint64  `json:"backgroundBytes"`
	WaitingBytes    int     `json:"waitingBytes"`
}

// Usages returns the use of every link.
func (l *Links) Usages() []Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Usage, 0, len(l.paths))
	for to, p := range l.paths {
		out = append(out, Usage{
			To: to, LimitBytes: p.limit, RateBytes: p.bucket.rate,
			LiveBytes: p.bucket.sent[Live], BackgroundBytes: p.bucket.sent[Background],
			WaitingBytes: p.bucket.Waiting(Live) + p.bucket.Waiting(Background),
		})
	}
	return out
}
