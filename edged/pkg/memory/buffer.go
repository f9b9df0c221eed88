package memory

import (
	"container/list"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"rosemarygrade.dev/lib/pkg/fault"
)

const (
	// firstBytes is the size of the part of a body that is read before a chunk is taken, so that a request whose body does not arrive
	// holds none. It is part of requestBytes.
	firstBytes = 512
	// releaseTimeout bounds the wait for the memory of a body that was evicted. Its reader only has to be woken up.
	releaseTimeout = 200 * time.Millisecond
)

// Buffer holds the body of one request and counts its other memory. Only one goroutine reads into it; it may then be sent by others.
type Buffer struct {
	account *Account
	id      string
	// first is the beginning of the body; the rest is in chunks, of which only the last is not full.
	first  []byte
	chunks [][]byte
	length int64
	// users counts the goroutines that use the buffer.
	users atomic.Int32

	// The account's lock protects the following.
	charged  int64
	large    bool
	progress time.Time
	evicted  bool
	// released is closed when the memory of an evicted buffer has been returned. It is set together with evicted.
	released chan struct{}
	// seen is how much of the body has arrived, progressAt how much when progress was set.
	seen, progressAt int64
	interrupt        func()
	// place is the element of the account's list while the body is being read.
	place *list.Element
}

// Body is a body to read.
type Body struct {
	// Reader returns the body.
	Reader io.Reader
	// Announced is the announced length, or -1. No memory is taken for it.
	Announced int64
	// Limit is the longest permitted length.
	Limit int64
	// Interrupt makes a call of Reader's Read that blocks return. Other goroutines call it.
	Interrupt func()
}

// ReadFrom reads a body to its end. If it fails, the buffer has been released.
func (b *Buffer) ReadFrom(body Body) error {
	if body.Announced > body.Limit {
		b.Release()
		return fault.New("read body", KindTooLong, "the announced length is over the limit")
	}
	b.account.startReading(b.account.clock(), b, body.Interrupt)
	err := b.read(body)
	if b.account.stopReading(b) {
		err = fault.New("read body", KindStalled, "no progress, and another request needed the memory")
	}
	if err != nil {
		b.Release()
	}
	return err
}

func (b *Buffer) read(body Body) error {
	b.first = make([]byte, 0, firstBytes)
	if body.Announced >= 0 && body.Announced < firstBytes {
		b.first = make([]byte, 0, body.Announced+1)
	}
	part := &b.first
	for {
		if len(*part) == cap(*part) {
			large := len(b.chunks) > 0 || body.Announced > ChunkBytes
			chunk, err := b.account.obtain(b.account.clock(), b, need{bytes: ChunkBytes, large: large, chunk: true})
			if err != nil {
				return err
			}
			b.chunks = append(b.chunks, chunk)
			part = &b.chunks[len(b.chunks)-1]
		}
		n, err := body.Reader.Read((*part)[len(*part):cap(*part)])
		*part = (*part)[:len(*part)+n]
		b.length += int64(n)
		b.account.receive(b.account.clock(), b, n)
		switch {
		case b.length > body.Limit:
			return fault.New("read body", KindTooLong, "the body is longer than the limit")
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fault.Wrap("read body", KindRead, err)
		}
	}
}

// Len returns the length of the body. A nil buffer has none.
func (b *Buffer) Len() int {
	if b == nil {
		return 0
	}
	return int(b.length)
}

// Parts returns the body in parts, which stay valid until the buffer is released.
func (b *Buffer) Parts() [][]byte {
	if b.Len() == 0 {
		return nil
	}
	return append([][]byte{b.first}, b.chunks...)
}

// Reserve charges n bytes of other memory of the request until its release. It evicts nothing and reports whether there was room. A nil
// buffer has no limit.
func (b *Buffer) Reserve(n int) bool {
	if b == nil {
		return true
	}
	b.account.mu.Lock()
	defer b.account.mu.Unlock()
	more := need{bytes: int64(n)}
	if !b.account.fits(b, more) {
		return false
	}
	b.account.add(b, more)
	return true
}

// DropBody returns the chunks of the body before the release, unless another user still sends it. A request whose response is read slowly
// then holds only the response.
func (b *Buffer) DropBody() {
	if b != nil && b.users.Load() == 1 {
		b.account.dropBody(b)
	}
}

// Retain keeps the memory for one more user, who must call Release.
func (b *Buffer) Retain() {
	if b != nil {
		b.users.Add(1)
	}
}

// Release ends the use by one user. After the last the memory is returned.
func (b *Buffer) Release() {
	if b != nil && b.users.Add(-1) == 0 {
		b.account.settle(b)
	}
}

func (b *Buffer) interruptRead() {
	if b.interrupt != nil {
		b.interrupt()
	}
}
