// Package dedup keeps what is known of requests that may run at most once. The process that a
// request key names is the only one that may ever let the request run.
package dedup

import (
	"crypto/sha256"
	"strconv"
	"strings"
	"sync"
	"time"

	"rosemarygrade.dev/entryd/pkg/flow"
	"rosemarygrade.dev/lib/pkg/fault"
	"rosemarygrade.dev/lib/pkg/peerpb"
)

// Kind is the kind of a record error.
type Kind string

// KindSyntax means that a request key can't be read.
const KindSyntax Kind = "syntax"

// Error is the error type of the package.
type Error = fault.Error[Kind]

// Rules of the book.
const (
	// slotLength is the length of a key slot.
	slotLength = time.Minute
	// keepSlots is how many past slots are kept.
	keepSlots = 10
	// aheadSlots is how far the slot of a key may be in the future.
	aheadSlots = 2
	// maxRecords bounds the memory of a book.
	maxRecords = 500_000
	// MaxBody is the largest answer that is kept.
	MaxBody = 16 << 10
	// maxKept bounds the bytes of all kept answers; further ones are not kept.
	maxKept = 64 << 20
	minRand = 8
	// keyParts is how many parts a key has.
	keyParts = 3
	maxRand  = 64
)

// Key is a request key: <incarnation in hex>-<slot>-<random part>.
type Key struct {
	incarnation uint64
	slot        int64
	random      string
}

// Incarnation returns the process that the key names.
func (k Key) Incarnation() uint64 { return k.incarnation }

// String returns the key as it came.
func (k Key) String() string {
	return strconv.FormatUint(k.incarnation, 16) + "-" + strconv.FormatInt(k.slot, 10) + "-" + k.random
}

// Parse reads a key.
func Parse(s string) (Key, error) {
	parts := strings.SplitN(s, "-", keyParts)
	if len(parts) != keyParts {
		return Key{}, fault.New("key", KindSyntax, "must be <prefix of a look-up>-<random part>")
	}
	inc, err := strconv.ParseUint(parts[0], 16, 64)
	if err != nil {
		return Key{}, fault.New("key", KindSyntax, "the first part must be hexadecimal")
	}
	slot, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil {
		return Key{}, fault.New("key", KindSyntax, "the second part must be a number")
	}
	if !validRandom(parts[2]) {
		return Key{}, fault.New("key", KindSyntax, "the random part must be 8 to 64 of a-z, A-Z, 0-9 and hyphen")
	}
	k := Key{incarnation: inc, slot: slot, random: parts[2]}
	if k.String() != s {
		return Key{}, fault.New("key", KindSyntax, "numbers must be in their shortest form")
	}
	return k, nil
}

func validRandom(s string) bool {
	if len(s) < minRand || len(s) > maxRand {
		return false
	}
	for _, c := range []byte(s) {
		ok := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-'
		if !ok {
			return false
		}
	}
	return true
}

// Digest binds a key to one request.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a request.
func DigestOf(method, path string, body []byte) Digest {
	h := sha256.New()
	_, _ = h.Write([]byte(method + "\x00" + path + "\x00"))
	_, _ = h.Write(body)
	var d Digest
	copy(d[:], h.Sum(nil))
	return d
}

// Answer is a kept answer.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
	// Kept tells that Body holds the whole answer.
	Kept bool
}

// Record is what is known of one key.
type Record struct {
	digest  Digest
	done    chan struct{}
	outcome flow.Outcome
	refused flow.Rejected
	answer  Answer
}

// Done returns a channel that is closed once the outcome is known.
func (r *Record) Done() <-chan struct{} { return r.done }

// Outcome returns how the run ended. It is valid once Done is closed.
func (r *Record) Outcome() flow.Outcome { return r.outcome }

// Refusal returns why the request did not run or is unknown.
func (r *Record) Refusal() flow.Rejected { return r.refused }

// Answer returns the kept answer.
func (r *Record) Answer() Answer { return r.answer }

// Verdict says what a key's request may do.
type Verdict interface{ sealed() }

// Fresh means that the request may run now; the record must be finished.
type Fresh struct{ Record *Record }

// Join means that the request ran or runs already.
type Join struct{ Record *Record }

// Turned means that the request is turned away.
type Turned struct{ Refused flow.Rejected }

func (Fresh) sealed()  {}
func (Join) sealed()   {}
func (Turned) sealed() {}

// Book holds the records of one incarnation. It is safe for concurrent use.
type Book struct {
	incarnation uint64

	mu      sync.Mutex
	lowest  int64
	slots   map[int64]map[string]*Record
	count   int
	kept    int
	stopped bool
	// complete is used by a shelf: every piece of the book has come.
	complete bool
}

// NewBook returns the book of a process that starts now. Keys of earlier slots are not its own.
func NewBook(now time.Time, incarnation uint64) *Book {
	return &Book{incarnation: incarnation, lowest: slotOf(now) - 1, slots: map[int64]map[string]*Record{}}
}

func slotOf(now time.Time) int64 { return now.Unix() / int64(slotLength/time.Second) }

// BookName is the name under which the keeper of a process's records is ranked.
func BookName(incarnation uint64) string { return "records/" + strconv.FormatUint(incarnation, 16) }

// Begin decides what a request with a key may do.
func (b *Book) Begin(now time.Time, k Key, d Digest) Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(now)
	switch {
	case k.incarnation != b.incarnation:
		return Turned{flow.Unknown(flow.RefusedKeyGone, "the key names another process")}
	case k.slot < b.lowest:
		return Turned{flow.Unknown(flow.RefusedKeyGone, "the key is too old; what became of it is no longer known")}
	case k.slot > slotOf(now)+aheadSlots:
		return Turned{flow.NotRun(flow.RefusedBadKey, "the key's slot is in the future")}
	}
	if r := b.slots[k.slot][k.random]; r != nil {
		if r.digest != d {
			return Turned{flow.NotRun(flow.RefusedKeyReused, "the key was used for another request")}
		}
		return Join{r}
	}
	if b.stopped {
		return Turned{flow.NotRun(flow.RefusedStopping, "the process is stopping; ask for another host")}
	}
	if b.count >= maxRecords {
		return Turned{flow.NotRun(flow.RefusedFull, "too many request keys are kept")}
	}
	r := &Record{digest: d, done: make(chan struct{})}
	if b.slots[k.slot] == nil {
		b.slots[k.slot] = map[string]*Record{}
	}
	b.slots[k.slot][k.random] = r
	b.count++
	return Fresh{r}
}

// forget drops whole slots. The lowest slot only grows, so that a key once dropped stays unknown
// even if the clock jumps back.
func (b *Book) forget(now time.Time) {
	lowest := slotOf(now) - keepSlots
	for slot, records := range b.slots {
		if slot < lowest && allDone(records) {
			b.count -= len(records)
			for _, r := range records {
				b.kept -= len(r.answer.Body)
			}
			delete(b.slots, slot)
		}
	}
	b.lowest = max(b.lowest, lowest)
}

func allDone(records map[string]*Record) bool {
	for _, r := range records {
		select {
		case <-r.done:
		default:
			return false
		}
	}
	return true
}

// Finish stores how a run ended.
func (b *Book) Finish(r *Record, outcome flow.Outcome, refused flow.Rejected, answer Answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-r.done:
		return
	default:
	}
	if len(answer.Body) > MaxBody || b.kept+len(answer.Body) > maxKept {
		answer.Body, answer.Kept = nil, false
	}
	b.kept += len(answer.Body)
	r.outcome, r.refused, r.answer = outcome, refused, answer
	close(r.done)
}

// Known is what a book tells of a key.
type Known struct {
	Outcome flow.Outcome
	Answer  Answer
}

// Outcome tells what is known of a key.
func (b *Book) Outcome(now time.Time, k Key) Known {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(now)
	if k.incarnation != b.incarnation || k.slot < b.lowest {
		return Known{Outcome: flow.OutcomeUnknown}
	}
	r := b.slots[k.slot][k.random]
	if r == nil {
		return b.unused()
	}
	select {
	case <-r.done:
		return Known{Outcome: r.outcome, Answer: r.answer}
	default:
		return Known{Outcome: flow.OutcomeRunning}
	}
}

// unused is what is told of a key without a record. While the process serves, a request with the
// key may still arrive, so "not run" would not stay true; once it has stopped, it does.
func (b *Book) unused() Known {
	if b.stopped {
		return Known{Outcome: flow.OutcomeNotRun}
	}
	return Known{Outcome: flow.OutcomeUnknown}
}

// Stop refuses keys that have no record yet, so that they stay unused.
func (b *Book) Stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
}

// Len returns how many records the book holds.
func (b *Book) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.count
}

// Export returns the book for a peer to keep after this process has stopped.
func (b *Book) Export() *peerpb.InheritRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := &peerpb.InheritRequest{Incarnation: b.incarnation, LowestSlot: uint64(b.lowest)}
	for slot, records := range b.slots {
		for random, r := range records {
			k := Key{incarnation: b.incarnation, slot: slot, random: random}
			out.Records = append(out.Records, exportOne(k, r))
		}
	}
	return out
}

func exportOne(k Key, r *Record) *peerpb.RunRecord {
	rec := &peerpb.RunRecord{Key: k.String(), Digest: r.digest[:], Outcome: string(flow.OutcomeUnknown)}
	select {
	case <-r.done:
		rec.Outcome = string(r.outcome)
		rec.Status = uint32(r.answer.Status)
		rec.Body, rec.BodyKept = r.answer.Body, r.answer.Kept
		for name, values := range r.answer.Header {
			for _, v := range values {
				rec.Headers = append(rec.Headers, &peerpb.Header{Name: name, Value: v})
			}
		}
	default:
	}
	return rec
}
