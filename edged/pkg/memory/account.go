package memory

import (
	"container/list"
	"math"
	"sync"
	"time"

	"rosemarygrade.dev/lib/pkg/fault"
)

const (
	// ChunkBytes is the size of the chunks that bodies are read into. A larger one would cost ordinary requests more than they use.
	ChunkBytes = 16 << 10
	// requestBytes is what a request is charged besides its body and its response: goroutines, headers and buffers of connections.
	requestBytes = 16 << 10
	// StallTime is how long a body must have made no progress before it is evicted. A lost packet is repeated in less.
	StallTime = time.Second
	// largeWait is how long a body longer than a chunk waits for memory where no other has stalled: uploads whose rate is within what the host
	// can hold overlap for moments. Meanwhile TCP slows its caller down. It is shorter than StallTime, so that the wait is not taken for a stall.
	largeWait = StallTime / 2
	// progressBytes is how much has to arrive for a body to have made progress. A caller that sends single bytes makes none.
	progressBytes = 4 << 10
	// trimShare is the part of the free chunks that each call of Trim gives back: a burst that follows soon finds the others.
	trimShare = 4
)

// Account counts the memory of all requests against a budget. It is safe for concurrent use.
type Account struct {
	limits Limits
	clock  func() time.Time
	// wait is largeWait, except in tests.
	wait time.Duration

	mu sync.Mutex
	// held is what requests are charged; large is the part of it that belongs to bodies longer than a chunk.
	held, large int64
	// free holds chunks for reuse. With held they stay within the budget.
	free [][]byte
	// reading holds the *Buffer of each body that is being read; the one whose last progress is longest ago is first.
	reading *list.List
	// evicting is a buffer that was evicted and has not been released yet, or nil.
	evicting *Buffer
	// freed is closed and replaced when memory of large bodies is returned.
	freed    chan struct{}
	rejected int64
	stalled  int64
}

// New returns an account with nothing charged.
func New(limits Limits) *Account {
	return &Account{limits: limits, clock: time.Now, wait: largeWait, reading: list.New(), freed: make(chan struct{})}
}

// Unlimited returns an account whose budget is never exhausted, for tests of other packages.
func Unlimited() *Account { return New(Limits{budget: math.MaxInt64 / 2}) }

// Held returns the number of bytes that requests are charged.
func (a *Account) Held() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held
}

// Rejected returns the number of requests that were rejected because the budget was exhausted.
func (a *Account) Rejected() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rejected
}

// Stalled returns the number of requests that were ended because they had stalled.
func (a *Account) Stalled() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stalled
}

// Slow is a request whose body is being read.
type Slow struct {
	// ID is the request's attempt ID.
	ID string
	// Bytes is the length of what has arrived.
	Bytes int64
	// StalledFor is the time since its last progress.
	StalledFor time.Duration
}

// Slowest returns up to n requests whose bodies are being read, that with the longest time since its last progress first.
func (a *Account) Slowest(now time.Time, n int) []Slow {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []Slow
	for e := a.reading.Front(); e != nil && len(out) < n; e = e.Next() {
		if b, ok := e.Value.(*Buffer); ok {
			out = append(out, Slow{ID: b.id, Bytes: b.seen, StalledFor: now.Sub(b.progress)})
		}
	}
	return out
}

// Trim gives a part of the free chunks back to the garbage collector. It is to be called at intervals.
func (a *Account) Trim() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropFree((len(a.free) + trimShare - 1) / trimShare)
}

func (a *Account) dropFree(n int) {
	kept := max(0, len(a.free)-n)
	clear(a.free[kept:])
	a.free = a.free[:kept]
}

// Body starts to account for a request that arrived now. If there is no room even after the eviction of the body that has stalled longest,
// it fails with KindFull.
func (a *Account) Body(now time.Time, id string) (*Buffer, error) {
	b := &Buffer{account: a, id: id, progress: now}
	b.users.Store(1)
	if _, err := a.obtain(now, b, need{bytes: requestBytes}); err != nil {
		return nil, err
	}
	return b, nil
}

// need is memory that a buffer needs.
type need struct {
	bytes int64
	// large memory is that of a body longer than one chunk; the reserve is not for it.
	large bool
	// chunk means that the memory is one chunk of the pool.
	chunk bool
}

// obtain charges a buffer for memory and returns the chunk if it is one. Where there is no room, it ends the body that has stalled longest
// and waits a moment for its memory; if none has stalled, a large body waits for others to end. It fails with KindFull.
func (a *Account) obtain(now time.Time, b *Buffer, n need) ([]byte, error) {
	for begin := now; ; now = a.clock() {
		out := a.charge(now, b, n)
		waited := now.Sub(begin)
		switch {
		case out.ok:
			return out.chunk, nil
		case out.victim != nil && waited <= releaseTimeout:
			out.victim.interruptRead()
			await(out.victim.released, releaseTimeout)
		case n.large && waited < a.wait:
			await(out.freed, a.wait-waited)
		default:
			a.countRejected()
			return nil, fault.New("charge memory", KindFull, "the budget is exhausted")
		}
	}
}

// await waits until a channel is closed, at most for a time.
func await(c <-chan struct{}, timeout time.Duration) {
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-c:
	case <-t.C:
	}
}

func (a *Account) countRejected() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rejected++
}

// outcome is the result of an attempt to charge memory.
type outcome struct {
	ok    bool
	chunk []byte
	// victim is a buffer that was evicted, whose memory is about to be released, or nil if none has stalled.
	victim *Buffer
	// freed is closed when memory of large bodies is returned.
	freed <-chan struct{}
}

// charge adds memory to what a buffer holds if there is room. Otherwise it evicts a body that has stalled, unless one is being evicted.
func (a *Account) charge(now time.Time, b *Buffer, n need) outcome {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.fits(b, n) {
		if a.evicting == nil {
			a.evicting = a.takeStalled(now, b)
		}
		return outcome{victim: a.evicting, freed: a.freed}
	}
	out := outcome{ok: true}
	if n.chunk {
		out.chunk = a.takeFree()
	}
	a.add(b, n)
	return out
}

// takeFree returns a chunk. The account's lock must be held, as for all of the following.
func (a *Account) takeFree() []byte {
	last := len(a.free) - 1
	if last < 0 {
		return make([]byte, 0, ChunkBytes)
	}
	c := a.free[last]
	a.free[last], a.free = nil, a.free[:last]
	return c
}

// fits reports whether memory is within the budget. A body that grows beyond one chunk counts as large as a whole.
func (a *Account) fits(b *Buffer, n need) bool {
	large := n.bytes
	if !b.large {
		large += b.charged
	}
	if (n.large || b.large) && a.large+large > a.limits.budget-a.limits.reserve {
		return false
	}
	return a.held+n.bytes <= a.limits.budget
}

func (a *Account) add(b *Buffer, n need) {
	if n.large && !b.large {
		a.large += b.charged
		b.large = true
	}
	if b.large {
		a.large += n.bytes
	}
	b.charged += n.bytes
	a.held += n.bytes
	if over := a.held + int64(len(a.free))*ChunkBytes - a.limits.budget; over > 0 {
		a.dropFree(int((over + ChunkBytes - 1) / ChunkBytes))
	}
}

// takeStalled returns the body, other than b, that has made no progress for the longest time and at least StallTime, and marks it as
// evicted. It returns nil if there is none.
func (a *Account) takeStalled(now time.Time, b *Buffer) *Buffer {
	for e := a.reading.Front(); e != nil; e = e.Next() {
		victim, isBuffer := e.Value.(*Buffer)
		if !isBuffer || victim == b {
			continue
		}
		if now.Sub(victim.progress) < StallTime {
			return nil
		}
		victim.evicted, victim.released = true, make(chan struct{})
		a.removeReading(victim)
		a.stalled++
		return victim
	}
	return nil
}

func (a *Account) removeReading(b *Buffer) {
	if b.place != nil {
		a.reading.Remove(b.place)
		b.place = nil
	}
}

// receive records that n bytes of a body have arrived.
func (a *Account) receive(now time.Time, b *Buffer, n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	b.seen += int64(n)
	if b.place != nil && b.seen-b.progressAt >= progressBytes {
		b.progress, b.progressAt = now, b.seen
		a.reading.MoveToBack(b.place)
	}
}

// startReading makes a body one that can be evicted.
func (a *Account) startReading(now time.Time, b *Buffer, interrupt func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	b.progress, b.interrupt = now, interrupt
	b.place = a.reading.PushBack(b)
}

// stopReading reverses startReading, and reports whether the body was evicted.
func (a *Account) stopReading(b *Buffer) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.removeReading(b)
	return b.evicted
}

// settle returns all that a buffer holds.
func (a *Account) settle(b *Buffer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.removeReading(b)
	a.returnChunks(b)
	a.subtract(b, b.charged)
	b.large = false
	if a.evicting == b {
		a.evicting = nil
	}
	if b.released != nil {
		close(b.released)
	}
}

// dropBody returns the chunks of a buffer.
func (a *Account) dropBody(b *Buffer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.returnChunks(b)
	b.first, b.length = nil, 0
}

// returnChunks moves the chunks of a buffer to the free ones. The account's lock must be held, as for subtract.
func (a *Account) returnChunks(b *Buffer) {
	a.subtract(b, int64(len(b.chunks))*ChunkBytes)
	for _, c := range b.chunks {
		if a.held+int64(len(a.free)+1)*ChunkBytes > a.limits.budget {
			break
		}
		a.free = append(a.free, c[:0])
	}
	b.chunks = nil
}

func (a *Account) subtract(b *Buffer, n int64) {
	a.held -= n
	b.charged -= n
	if b.large && n > 0 {
		a.large -= n
		close(a.freed)
		a.freed = make(chan struct{})
	}
}
