// Package links keeps the bytes that a host sends to another region within its share of the
// link's limit, live work before background work.
package links

import (
	"container/list"
	"time"
)

// Rules of a bucket.
const (
	// usableShare is the share of a link's limit that is handed out. With the burst it keeps the sum over
	// any one second below the limit.
	usableShare = 0.95
	// burstTime is how long an idle host's credit adds up.
	burstTime = 40 * time.Millisecond
	// minChunk is the smallest piece that is worth sending.
	minChunk = 512
	// maxChunk is the largest piece that is sent at once.
	maxChunk = 32 << 10
)

// Class orders what waits for the link.
type Class int

// Classes, the first one first.
const (
	Live Class = iota
	Background
	numClasses
)

// Reservation is a number of bytes that wait to be sent.
type Reservation struct {
	bytes   int
	class   Class
	granted chan struct{}
	element *list.Element
}

// Bucket is a token bucket with classes. It is not safe for concurrent use.
type Bucket struct {
	rate     float64
	tokens   float64
	filledAt time.Time
	waiting  [numClasses]list.List
	sent     [numClasses]uint64
}

// NewBucket returns an empty bucket. The rate is in bytes a second.
func NewBucket(now time.Time, rate float64) *Bucket {
	return &Bucket{rate: rate, filledAt: now}
}

// SetRate changes the rate from now on.
func (b *Bucket) SetRate(now time.Time, rate float64) {
	b.addTokens(now)
	b.rate = rate
	b.tokens = min(b.tokens, b.burst())
}

func (b *Bucket) burst() float64 { return b.rate * burstTime.Seconds() }

// Chunk returns the largest number of bytes that one claim may hold.
func (b *Bucket) Chunk() int {
	return int(max(1, min(maxChunk, max(minChunk, b.burst()/2), b.burst())))
}

func (b *Bucket) addTokens(now time.Time) {
	if d := now.Sub(b.filledAt); d > 0 {
		b.tokens = min(b.burst(), b.tokens+b.rate*d.Seconds())
		b.filledAt = now
	}
}

// Reserve claims bytes. The claim's channel is closed when they may be sent.
func (b *Bucket) Reserve(now time.Time, bytes int, class Class) *Reservation {
	c := &Reservation{bytes: min(bytes, b.Chunk()), class: class, granted: make(chan struct{})}
	c.element = b.waiting[class].PushBack(c)
	b.Refill(now)
	return c
}

// Refill grants what the credit allows, live claims first.
func (b *Bucket) Refill(now time.Time) {
	b.addTokens(now)
	for class := range b.waiting {
		for e := b.waiting[class].Front(); e != nil; e = b.waiting[class].Front() {
			c, _ := e.Value.(*Reservation)
			if need := min(float64(c.bytes), b.burst()); b.tokens < need || b.rate <= 0 {
				return
			}
			b.tokens -= float64(c.bytes)
			b.sent[class] += uint64(c.bytes)
			b.waiting[class].Remove(e)
			c.element = nil
			close(c.granted)
		}
	}
}

// Cancel takes a claim back that is no longer wanted.
func (b *Bucket) Cancel(c *Reservation) {
	if c.element != nil {
		b.waiting[c.class].Remove(c.element)
		c.element = nil
	}
}

// NextGrant returns how long until the first waiting claim can be granted, and whether one waits.
func (b *Bucket) NextGrant(now time.Time) (time.Duration, bool) {
	b.addTokens(now)
	for class := range b.waiting {
		e := b.waiting[class].Front()
		if e == nil {
			continue
		}
		if b.rate <= 0 {
			return time.Second, true
		}
		c, _ := e.Value.(*Reservation)
		missing := min(float64(c.bytes), b.burst()) - b.tokens
		return max(0, time.Duration(missing/b.rate*float64(time.Second))), true
	}
	return 0, false
}

// Waiting returns how many bytes wait in a class.
func (b *Bucket) Waiting(class Class) int {
	n := 0
	for e := b.waiting[class].Front(); e != nil; e = e.Next() {
		if c, ok := e.Value.(*Reservation); ok {
			n += c.bytes
		}
	}
	return n
}

// Sent returns how many bytes were granted to each class.
func (b *Bucket) Sent() (live, background int) {
	return int(b.sent[Live]), int(b.sent[Background])
}
