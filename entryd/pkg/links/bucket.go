// Package links limits the bandwidth that a host uses to send to other regions to its share of each
// link's limit. Live requests go before background requests. The hosts of a region lend unused
// bandwidth of a link to one another through the link's elected host.
package links

import (
	"container/list"
	"time"
)

// Parameters of a bucket.
const (
	// usableShare is the share of a link's limit that the hosts may use. It leaves room for the burst,
	// so that the bytes sent in any one second stay below the limit.
	usableShare = 0.95
	// burstTime is the time in which an empty bucket fills up.
	burstTime = 40 * time.Millisecond
	// minChunk is the smallest useful chunk, in bytes.
	minChunk = 512
	// maxChunk is the largest chunk that is sent with one reservation, in bytes.
	maxChunk = 32 << 10
)

// Class is the priority of bytes to be sent over a link.
type Class int

// Classes in order of priority.
const (
	Live Class = iota
	Background
	numClasses
)

// Reservation is a number of bytes that are queued at the bucket or were granted by it.
type Reservation struct {
	bytes   int
	class   Class
	granted chan struct{}
	element *list.Element
}

// Bucket is a token bucket with one queue of reservations per class; a token is one byte. It is not
// safe for concurrent use.
type Bucket struct {
	rate     float64
	tokens   float64
	filledAt time.Time
	queued   [numClasses]list.List
	sent     [numClasses]uint64
}

// NewBucket returns a bucket without tokens. The rate is in bytes a second.
func NewBucket(now time.Time, rate float64) *Bucket {
	return &Bucket{rate: rate, filledAt: now}
}

// SetRate changes the rate, in bytes a second, from now on.
func (b *Bucket) SetRate(now time.Time, rate float64) {
	b.addTokens(now)
	b.rate = rate
	b.tokens = min(b.tokens, b.burst())
}

func (b *Bucket) burst() float64 { return b.rate * burstTime.Seconds() }

// Chunk returns the largest number of bytes of one reservation.
func (b *Bucket) Chunk() int {
	return int(max(1, min(maxChunk, max(minChunk, b.burst()/2), b.burst())))
}

func (b *Bucket) addTokens(now time.Time) {
	if d := now.Sub(b.filledAt); d > 0 {
		b.tokens = min(b.burst(), b.tokens+b.rate*d.Seconds())
		b.filledAt = now
	}
}

// Reserve queues a reservation of up to Chunk bytes. Its granted channel is closed when the bytes
// may be sent.
func (b *Bucket) Reserve(now time.Time, bytes int, class Class) *Reservation {
	r := &Reservation{bytes: min(bytes, b.Chunk()), class: class, granted: make(chan struct{})}
	r.element = b.queued[class].PushBack(r)
	b.Refill(now)
	return r
}

// Refill adds the tokens for the time since the last call and grants the reservations that they
// cover, live ones first.
func (b *Bucket) Refill(now time.Time) {
	b.addTokens(now)
	for class := range b.queued {
		for e := b.queued[class].Front(); e != nil; e = b.queued[class].Front() {
			r, _ := e.Value.(*Reservation)
			if need := min(float64(r.bytes), b.burst()); b.tokens < need || b.rate <= 0 {
				return
			}
			b.tokens -= float64(r.bytes)
			b.grant(r)
		}
	}
}

// GrantAll grants all queued reservations, whatever the rate.
func (b *Bucket) GrantAll() {
	for class := range b.queued {
		for e := b.queued[class].Front(); e != nil; e = b.queued[class].Front() {
			if r, ok := e.Value.(*Reservation); ok {
				b.grant(r)
			}
		}
	}
}

func (b *Bucket) grant(r *Reservation) {
	b.sent[r.class] += uint64(r.bytes)
	b.queued[r.class].Remove(r.element)
	r.element = nil
	close(r.granted)
}

// Cancel removes a reservation that is still queued.
func (b *Bucket) Cancel(r *Reservation) {
	if r.element != nil {
		b.queued[r.class].Remove(r.element)
		r.element = nil
	}
}

// NextGrant returns the time until the first queued reservation can be granted, and whether there
// is one.
func (b *Bucket) NextGrant(now time.Time) (time.Duration, bool) {
	b.addTokens(now)
	for class := range b.queued {
		e := b.queued[class].Front()
		if e == nil {
			continue
		}
		if b.rate <= 0 {
			return time.Second, true
		}
		r, _ := e.Value.(*Reservation)
		missing := min(float64(r.bytes), b.burst()) - b.tokens
		return max(0, time.Duration(missing/b.rate*float64(time.Second))), true
	}
	return 0, false
}

// QueuedBytes returns the number of bytes in the reservations of a class that are queued.
func (b *Bucket) QueuedBytes(class Class) int {
	n := 0
	for e := b.queued[class].Front(); e != nil; e = e.Next() {
		if r, ok := e.Value.(*Reservation); ok {
			n += r.bytes
		}
	}
	return n
}

// Sent returns how many bytes of each class were granted.
func (b *Bucket) Sent() (live, background int) {
	return int(b.sent[Live]), int(b.sent[Background])
}
