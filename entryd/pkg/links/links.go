package links

import (
	"context"
	"sync"
	"time"

	"rosemarygrade.dev/lib/pkg/model"
)

// Links limits the bytes that a host sends to each other region. It is safe for concurrent use.
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
	// countedAt is the time of the last call of Offers, countedBytes the number of bytes sent until then.
	countedAt    time.Time
	countedBytes uint64
	// bandwidthWanted reports whether any host wants more than its own share of the link. If none
	// does, the next offer is sent at nextOfferAt.
	bandwidthWanted bool
	nextOfferAt     time.Time
}

// New returns the links of a host in the region, without any limit.
func New(region string) *Links { return &Links{region: region, byRegion: map[string]*linkState{}} }

// Region returns the region of the host.
func (l *Links) Region() string { return l.region }

// Configure applies the limits of the configuration. A host's own share is the limit divided by the
// largest number of hosts of the region, so that hosts stay within the limit without communication.
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
		s := l.state(now, link.To())
		s.limit = float64(link.BytesPerSecond())
		s.share.SetOwn(OwnShare(link.BytesPerSecond(), r.MaxHosts()))
		s.applyRate(now)
	}
	for to, s := range l.byRegion {
		if !named[to] && s.limit > 0 {
			s.limit = 0
			s.share.SetOwn(0)
			s.applyRate(now)
			s.bucket.GrantAll()
		}
	}
}

// OwnShare returns a host's own share of a link in bytes a second.
func OwnShare(limit int64, hosts int) float64 {
	return usableShare * float64(limit) / float64(max(1, hosts))
}

func (l *Links) state(now time.Time, to string) *linkState {
	s := l.byRegion[to]
	if s == nil {
		s = &linkState{bucket: NewBucket(now, 0), share: NewShare(0), pool: NewPool(now), countedAt: now}
		l.byRegion[to] = s
	}
	return s
}

func (s *linkState) applyRate(now time.Time) {
	s.bucket.SetRate(now, s.share.Rate(now))
}

// Parameters of lending.
const (
	// neverLentShare is the part of its own share that a host never lends, for sudden live requests.
	neverLentShare = 0.25
	// useMargin is the ratio of the bandwidth that a host keeps to its use since the last call of Offers.
	useMargin = 1.5
	// quietOfferInterval is the time between two offers for a link of which no host wants more.
	quietOfferInterval = 2 * time.Second
)

// lentAndWanted returns the bandwidth that the host lends and wants, in bytes a second, by its use
// of the link since the last call.
func (s *linkState) lentAndWanted(now time.Time) (lent, wanted float64) {
	sent := s.bucket.sent[Live] + s.bucket.sent[Background]
	queued := s.bucket.QueuedBytes(Live) + s.bucket.QueuedBytes(Background)
	used := 0.0
	if d := now.Sub(s.countedAt).Seconds(); d > 0 {
		used = float64(sent-s.countedBytes) / d
	}
	s.countedBytes, s.countedAt = sent, now
	if queued > 0 {
		return 0, s.limit
	}
	return max(0, s.share.own-max(neverLentShare*s.share.own, useMargin*used)), 0
}

// Offers returns the offers to send now, by target region. ElectedFor returns the incarnation of
// the elected host for the link to a region, or 0.
func (l *Links) Offers(now time.Time, host uint64, electedFor func(to string) uint64) map[string]Offer {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]Offer{}
	for to, s := range l.byRegion {
		elected := electedFor(to)
		if s.limit <= 0 || elected == 0 {
			continue
		}
		lent, wanted := s.lentAndWanted(now)
		if wanted == 0 && !s.bandwidthWanted && now.Before(s.nextOfferAt) {
			continue
		}
		s.nextOfferAt = now.Add(quietOfferInterval)
		out[to] = s.share.Offer(now, host, elected, lent, wanted)
		s.applyRate(now)
	}
	return out
}

// HandleReply applies the elected host's reply to an offer that was sent at the given time.
func (l *Links) HandleReply(sent time.Time, to string, elected uint64, r Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	s := l.state(now, to)
	s.share.HandleReply(sent, elected, r)
	s.bandwidthWanted = r.Wanted
	s.applyRate(now)
	s.bucket.Refill(now)
	l.startTimer(s, now)
}

// HandleOffer handles a host's offer, as the elected host for the link to a region.
func (l *Links) HandleOffer(now time.Time, to string, o Offer) Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state(now, to).pool.HandleOffer(now, o)
}

// Refill updates the rate of each link, so that expired leases end, and refills its bucket.
func (l *Links) Refill(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.byRegion {
		s.applyRate(now)
		s.bucket.Refill(now)
	}
}

// Limited reports whether the configuration limits the link to a region.
func (l *Links) Limited(to string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.byRegion[to]
	return s != nil && s.limit > 0
}

// Wait blocks until bytes may be sent to a region, and returns how many of the given bytes may be
// sent. It returns the context's error if the context ends first.
func (l *Links) Wait(ctx context.Context, to string, bytes int, class Class) (int, error) {
	l.mu.Lock()
	s := l.byRegion[to]
	if s == nil || s.limit <= 0 {
		l.mu.Unlock()
		return bytes, nil
	}
	// An expired lease must not be used, even between two calls of Refill.
	now := time.Now()
	s.applyRate(now)
	r := s.bucket.Reserve(now, bytes, class)
	l.startTimer(s, now)
	l.mu.Unlock()
	select {
	case <-r.granted:
		return r.bytes, nil
	case <-ctx.Done():
		l.mu.Lock()
		s.bucket.Cancel(r)
		l.mu.Unlock()
		return 0, ctx.Err()
	}
}

// startTimer sets the timer for the next grant.
func (l *Links) startTimer(s *linkState, now time.Time) {
	wait, ok := s.bucket.NextGrant(now)
	if !ok {
		return
	}
	if s.timer != nil {
		s.timer.Stop()
	}
	s.timer = time.AfterFunc(wait, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		now := time.Now()
		s.applyRate(now)
		s.bucket.Refill(now)
		l.startTimer(s, now)
	})
}

// Usage is the state of a link in a state dump.
type Usage struct {
	To              string  `json:"to"`
	LimitBytes      float64 `json:"limitBytesPerSecond"`
	RateBytes       float64 `json:"rateBytesPerSecond"`
	LiveBytes       uint64  `json:"liveBytes"`
	BackgroundBytes uint64  `json:"backgroundBytes"`
	QueuedBytes     int     `json:"waitingBytes"`
}

// Usages returns the state of every link.
func (l *Links) Usages() []Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Usage, 0, len(l.byRegion))
	for to, s := range l.byRegion {
		out = append(out, Usage{
			To: to, LimitBytes: s.limit, RateBytes: s.bucket.rate,
			LiveBytes: s.bucket.sent[Live], BackgroundBytes: s.bucket.sent[Background],
			QueuedBytes: s.bucket.QueuedBytes(Live) + s.bucket.QueuedBytes(Background),
		})
	}
	return out
}
