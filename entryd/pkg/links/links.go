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
	share  *Share
	pool   *Pool
	sentAt time.Time
	sent   uint64
	// asked says that some host wants more of the link; offerAt is when to ask again if none does.
	asked   bool
	offerAt time.Time
}

// New returns the links of a host in the region.
func New(region string) *Links { return &Links{region: region, paths: map[string]*path{}} }

// Region returns the region of the host.
func (l *Links) Region() string { return l.region }

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
		p.limit = float64(link.BytesPerSecond())
		p.share.SetOwn(OwnShare(link.BytesPerSecond(), r.MaxHosts()))
		p.apply(now)
	}
	for to, p := range l.paths {
		if !named[to] && p.limit > 0 {
			p.limit = 0
			p.share.SetOwn(0)
			p.apply(now)
		}
	}
}

// OwnShare returns a host's own share of a link in bytes a second.
func OwnShare(limit int64, hosts int) float64 {
	return usable * float64(limit) / float64(max(1, hosts))
}

func (l *Links) path(now time.Time, to string) *path {
	p := l.paths[to]
	if p == nil {
		p = &path{bucket: NewBucket(now, 0), share: NewShare(0), pool: NewPool(now), sentAt: now}
		l.paths[to] = p
	}
	return p
}

func (p *path) apply(now time.Time) {
	p.bucket.SetRate(now, p.share.Rate(now))
}

// Rules of what a host lends and wants.
const (
	// keepShare is the part of its own share that a host never lends, for live work that comes at once.
	keepShare = 0.25
	// needMargin is how much more than its recent use a host keeps.
	needMargin = 1.5
	// quietOffer is the time between two offers on a link of which no host wants more.
	quietOffer = 2 * time.Second
)

// need returns what the host lends and wants on a link, from its use since the last call.
func (p *path) need(now time.Time) (lent, wanted float64) {
	sent := p.bucket.sent[Live] + p.bucket.sent[Background]
	waiting := p.bucket.Waiting(Live) + p.bucket.Waiting(Background)
	used := 0.0
	if d := now.Sub(p.sentAt).Seconds(); d > 0 {
		used = float64(sent-p.sent) / d
	}
	p.sent, p.sentAt = sent, now
	if waiting > 0 {
		return 0, p.limit
	}
	return max(0, p.share.own-max(keepShare*p.share.own, needMargin*used)), 0
}

// Offers returns what to tell the keeper of each link. KeeperOf names the keeper of the link to a region.
func (l *Links) Offers(now time.Time, host uint64, keeperOf func(to string) uint64) map[string]Offer {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]Offer{}
	for to, p := range l.paths {
		keeper := keeperOf(to)
		if p.limit <= 0 || keeper == 0 {
			continue
		}
		lent, wanted := p.need(now)
		if wanted == 0 && !p.asked && now.Before(p.offerAt) {
			continue
		}
		p.offerAt = now.Add(quietOffer)
		out[to] = p.share.Offer(now, host, keeper, lent, wanted)
		p.apply(now)
	}
	return out
}

// HandleReply takes in a keeper's answer to an offer that was sent at a time.
func (l *Links) HandleReply(sent time.Time, to string, keeper uint64, r Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	p := l.path(now, to)
	p.share.Take(sent, keeper, r)
	p.asked = r.Wanted
	p.apply(now)
	p.bucket.Advance(now)
	l.arm(p, now)
}

// HandleOffer serves a host's offer as the keeper of the link to a region.
func (l *Links) HandleOffer(now time.Time, to string, o Offer) Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.path(now, to).pool.Lend(now, o)
}

// Refill ends grants whose time is over.
func (l *Links) Refill(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.paths {
		p.apply(now)
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
