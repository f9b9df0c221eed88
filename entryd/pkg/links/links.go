package links

import (
	"context"
	"sync"
	"time"

	"rosemarygrade.dev/lib/pkg/model"
)

// Links holds a bucket for each region that the host sends to. It is safe for concurrent use.
type Links struct {
	region   string
	mu       sync.Mutex
	byRegion map[string]*linkState
}

type linkState struct {
	bucket *Bucket
	timer  *time.Timer
	limit  float64
	share  *Share
	pool   *Pool
	sentAt time.Time
	sent   uint64
	// bandwidthWanted says that some host wants more of the link; offerAt is when to ask again if none does.
	bandwidthWanted bool
	nextOfferAt     time.Time
}

// New returns the links of a host in the region.
func New(region string) *Links { return &Links{region: region, byRegion: map[string]*linkState{}} }

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
		p := l.state(now, link.To())
		p.limit = float64(link.BytesPerSecond())
		p.share.SetOwn(OwnShare(link.BytesPerSecond(), r.MaxHosts()))
		p.applyRate(now)
	}
	for to, p := range l.byRegion {
		if !named[to] && p.limit > 0 {
			p.limit = 0
			p.share.SetOwn(0)
			p.applyRate(now)
		}
	}
}

// OwnShare returns a host's own share of a link in bytes a second.
func OwnShare(limit int64, hosts int) float64 {
	return usableShare * float64(limit) / float64(max(1, hosts))
}

func (l *Links) state(now time.Time, to string) *linkState {
	p := l.byRegion[to]
	if p == nil {
		p = &linkState{bucket: NewBucket(now, 0), share: NewShare(0), pool: NewPool(now), sentAt: now}
		l.byRegion[to] = p
	}
	return p
}

func (p *linkState) applyRate(now time.Time) {
	p.bucket.SetRate(now, p.share.Rate(now))
}

// Rules of what a host lends and wants.
const (
	// neverLentShare is the part of its own share that a host never lends, for live work that comes at once.
	neverLentShare = 0.25
	// useMargin is how much more than its recent use a host keeps.
	useMargin = 1.5
	// quietOfferInterval is the time between two offers on a link of which no host wants more.
	quietOfferInterval = 2 * time.Second
)

// lentAndWanted returns what the host lends and wants on a link, from its use since the last call.
func (p *linkState) lentAndWanted(now time.Time) (lent, wanted float64) {
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
	return max(0, p.share.own-max(neverLentShare*p.share.own, useMargin*used)), 0
}

// Offers returns what to tell the keeper of each link. KeeperOf names the keeper of the link to a region.
func (l *Links) Offers(now time.Time, host uint64, keeperOf func(to string) uint64) map[string]Offer {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]Offer{}
	for to, p := range l.byRegion {
		keeper := keeperOf(to)
		if p.limit <= 0 || keeper == 0 {
			continue
		}
		lent, wanted := p.lentAndWanted(now)
		if wanted == 0 && !p.bandwidthWanted && now.Before(p.nextOfferAt) {
			continue
		}
		p.nextOfferAt = now.Add(quietOfferInterval)
		out[to] = p.share.Offer(now, host, keeper, lent, wanted)
		p.applyRate(now)
	}
	return out
}

// HandleReply takes in a keeper's answer to an offer that was sent at a time.
func (l *Links) HandleReply(sent time.Time, to string, keeper uint64, r Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	p := l.state(now, to)
	p.share.HandleReply(sent, keeper, r)
	p.bandwidthWanted = r.Wanted
	p.applyRate(now)
	p.bucket.Refill(now)
	l.startTimer(p, now)
}

// HandleOffer serves a host's offer as the keeper of the link to a region.
func (l *Links) HandleOffer(now time.Time, to string, o Offer) Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state(now, to).pool.HandleOffer(now, o)
}

// Refill ends grants whose time is over.
func (l *Links) Refill(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.byRegion {
		p.applyRate(now)
		p.bucket.Refill(now)
	}
}

// Limited tells whether the configuration limits the way to a region.
func (l *Links) Limited(to string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.byRegion[to]
	return p != nil && p.limit > 0
}

// Wait returns how many of the bytes may be sent to a region once they may be sent.
func (l *Links) Wait(ctx context.Context, to string, bytes int, class Class) (int, error) {
	l.mu.Lock()
	p := l.byRegion[to]
	if p == nil || p.limit <= 0 {
		l.mu.Unlock()
		return bytes, nil
	}
	// A grant that has ended must not be used, not even between two ticks.
	now := time.Now()
	p.applyRate(now)
	c := p.bucket.Reserve(now, bytes, class)
	l.startTimer(p, now)
	l.mu.Unlock()
	select {
	case <-c.granted:
		return c.bytes, nil
	case <-ctx.Done():
		l.mu.Lock()
		p.bucket.Cancel(c)
		l.mu.Unlock()
		return 0, ctx.Err()
	}
}

// startTimer sets the timer for the next grant.
func (l *Links) startTimer(p *linkState, now time.Time) {
	wait, ok := p.bucket.NextGrant(now)
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
		p.applyRate(now)
		p.bucket.Refill(now)
		l.startTimer(p, now)
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
	out := make([]Usage, 0, len(l.byRegion))
	for to, p := range l.byRegion {
		out = append(out, Usage{
			To: to, LimitBytes: p.limit, RateBytes: p.bucket.rate,
			LiveBytes: p.bucket.sent[Live], BackgroundBytes: p.bucket.sent[Background],
			WaitingBytes: p.bucket.Waiting(Live) + p.bucket.Waiting(Background),
		})
	}
	return out
}
