// Package dedup holds the deduplication tables of requests that may run at most once. A request key
// names its issuing process, and no other process may run the request.
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

// Kind is the kind of an error of the package.
type Kind string

// KindSyntax means that a request key is malformed.
const KindSyntax Kind = "syntax"

// Error is the error type of the package.
type Error = fault.Error[Kind]

const (
	// keySlotLength is the length of the time slots in which keys are issued.
	keySlotLength = time.Minute
	// retainedSlots is the number of past time slots whose records are kept.
	retainedSlots = 10
	// maxSlotsAhead is the number of slots by which the slot of a key may be in the future.
	maxSlotsAhead = 2
	// maxRecords is the largest number of records in a table. It bounds the memory.
	maxRecords = 500_000
	// MaxKeptBody is the largest response body, in bytes, that a record keeps.
	MaxKeptBody = 16 << 10
	// maxKeptBytes bounds the total bytes of the response bodies in a table. Further ones are not kept.
	maxKeptBytes    = 64 << 20
	minRandomLength = 8
	// keyParts is the number of parts of a key, which hyphens separate.
	keyParts        = 3
	maxRandomLength = 64
)

// Key is a request key: <incarnation of the issuing process in hex>-<time slot>-<random part>.
type Key struct {
	incarnation uint64
	slot        int64
	random      string
}

// Incarnation returns the incarnation of the issuing process.
func (k Key) Incarnation() uint64 { return k.incarnation }

// String returns the key in the form that Parse accepts.
func (k Key) String() string {
	return strconv.FormatUint(k.incarnation, 16) + "-" + strconv.FormatInt(k.slot, 10) + "-" + k.random
}

// Parse parses a key. It accepts only the form that String returns; errors are of KindSyntax.
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
	if len(s) < minRandomLength || len(s) > maxRandomLength {
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

// Digest identifies the request for which a key was used.
type Digest [sha256.Size]byte

// DigestOf returns the SHA-256 digest of a request's method, path and body.
func DigestOf(method, path string, body []byte) Digest {
	h := sha256.New()
	_, _ = h.Write([]byte(method + "\x00" + path + "\x00"))
	_, _ = h.Write(body)
	var d Digest
	copy(d[:], h.Sum(nil))
	return d
}

// Response is the response that a record keeps.
type Response struct {
	Status int
	Header map[string][]string
	Body   []byte
	// BodyKept reports whether Body holds the complete body. It is false if the body exceeded
	// MaxKeptBody or the table was full.
	BodyKept bool
}

// Record is the state of one key: whether its request is still running, and its outcome.
type Record struct {
	digest    Digest
	done      chan struct{}
	outcome   flow.Outcome
	rejection flow.Rejected
	response  Response
}

// Done returns a channel that is closed when the run has ended.
func (r *Record) Done() <-chan struct{} { return r.done }

// Outcome returns the outcome of the run. It is valid once Done is closed.
func (r *Record) Outcome() flow.Outcome { return r.outcome }

// Rejection returns why the request did not run or why its outcome is unknown. It is valid once
// Done is closed.
func (r *Record) Rejection() flow.Rejected { return r.rejection }

// Response returns the kept response. It is valid once Done is closed.
func (r *Record) Response() Response { return r.response }

// Decision is what happens to a request with a key: FirstUse, Duplicate or Rejected.
type Decision interface{ sealed() }

// FirstUse means that the request must run now. When it has ended, its record must be
// passed to Finish.
type FirstUse struct{ Record *Record }

// Duplicate means that an earlier request with the key is running or has ended.
type Duplicate struct{ Record *Record }

// Rejected means that the request must not run.
type Rejected struct{ Rejection flow.Rejected }

func (FirstUse) sealed()  {}
func (Duplicate) sealed() {}
func (Rejected) sealed()  {}

// Table is the deduplication table of one incarnation of a process. It is safe for concurrent use.
type Table struct {
	incarnation uint64

	mu sync.Mutex
	// lowestSlot is the lowest time slot whose keys are accepted.
	lowestSlot int64
	slots      map[int64]map[string]*Record
	count      int
	keptBytes  int
	stopped    bool
	// complete is true in a replica once all records of the table have been imported.
	complete bool
}

// NewTable returns the empty table of a process that starts now. It rejects keys whose slot is more
// than one slot before now: they were issued before the process started.
func NewTable(now time.Time, incarnation uint64) *Table {
	return &Table{incarnation: incarnation, lowestSlot: slotOf(now) - 1, slots: map[int64]map[string]*Record{}}
}

func slotOf(now time.Time) int64 { return now.Unix() / int64(keySlotLength/time.Second) }

// SuccessorRankKey returns the key of the rendezvous order in which a process picks its successors.
func SuccessorRankKey(incarnation uint64) string {
	return "records/" + strconv.FormatUint(incarnation, 16)
}

// Begin decides whether a request with a key runs. It adds a record if the key is used for the
// first time.
func (t *Table) Begin(now time.Time, k Key, d Digest) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evict(now)
	switch {
	case k.incarnation != t.incarnation:
		return Rejected{flow.Unknown(flow.RejectedKeyGone, "the key names another process")}
	case k.slot < t.lowestSlot:
		return Rejected{flow.Unknown(flow.RejectedKeyGone, "the key is too old; what became of it is no longer known")}
	case k.slot > slotOf(now)+maxSlotsAhead:
		return Rejected{flow.NotRun(flow.RejectedBadKey, "the key's slot is in the future")}
	}
	if r := t.slots[k.slot][k.random]; r != nil {
		if r.digest != d {
			return Rejected{flow.NotRun(flow.RejectedKeyReused, "the key was used for another request")}
		}
		return Duplicate{r}
	}
	if t.stopped {
		return Rejected{flow.NotRun(flow.RejectedStopping, "the process is stopping; ask for another host")}
	}
	if t.count >= maxRecords {
		return Rejected{flow.NotRun(flow.RejectedOverloaded, "too many request keys are kept")}
	}
	r := &Record{digest: d, done: make(chan struct{})}
	if t.slots[k.slot] == nil {
		t.slots[k.slot] = map[string]*Record{}
	}
	t.slots[k.slot][k.random] = r
	t.count++
	return FirstUse{r}
}

// evict deletes the records of expired slots, except slots in which a request still runs. The
// lowest slot never decreases, so that an evicted key stays rejected even if the clock jumps back.
func (t *Table) evict(now time.Time) {
	lowest := slotOf(now) - retainedSlots
	for slot, records := range t.slots {
		if slot < lowest && allDone(records) {
			t.count -= len(records)
			for _, r := range records {
				t.keptBytes -= len(r.response.Body)
			}
			delete(t.slots, slot)
		}
	}
	t.lowestSlot = max(t.lowestSlot, lowest)
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

// Finish records the outcome of a run and closes Done. Only the first call for a record has an
// effect. The body of the response is not kept if it exceeds the limits.
func (t *Table) Finish(r *Record, outcome flow.Outcome, rejection flow.Rejected, response Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-r.done:
		return
	default:
	}
	if len(response.Body) > MaxKeptBody || t.keptBytes+len(response.Body) > maxKeptBytes {
		response.Body, response.BodyKept = nil, false
	}
	t.keptBytes += len(response.Body)
	r.outcome, r.rejection, r.response = outcome, rejection, response
	close(r.done)
}

// KeyState is the outcome of the request with a key and, if it ran, the kept response.
type KeyState struct {
	Outcome  flow.Outcome
	Response Response
}

// Outcome returns the state of a key. The outcome is OutcomeRunning while the request runs and
// OutcomeUnknown for an evicted key.
func (t *Table) Outcome(now time.Time, k Key) KeyState {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evict(now)
	if k.incarnation != t.incarnation || k.slot < t.lowestSlot {
		return KeyState{Outcome: flow.OutcomeUnknown}
	}
	r := t.slots[k.slot][k.random]
	if r == nil {
		return t.stateWithoutRecord()
	}
	select {
	case <-r.done:
		return KeyState{Outcome: r.outcome, Response: r.response}
	default:
		return KeyState{Outcome: flow.OutcomeRunning}
	}
}

// stateWithoutRecord returns the state of a key without a record. While the process accepts
// requests, one with the key may still arrive and run, so the outcome is unknown. Once the process
// has stopped, the request can no longer run.
func (t *Table) stateWithoutRecord() KeyState {
	if t.stopped {
		return KeyState{Outcome: flow.OutcomeNotRun}
	}
	return KeyState{Outcome: flow.OutcomeUnknown}
}

// Stop makes Begin reject keys without a record, so that their requests never run.
func (t *Table) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count
}

// Export returns the records to hand over to a successor. Requests that still run are exported with
// an unknown outcome.
func (t *Table) Export() *peerpb.InheritRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := &peerpb.InheritRequest{Incarnation: t.incarnation, LowestSlot: uint64(t.lowestSlot)}
	for slot, records := range t.slots {
		for random, r := range records {
			k := Key{incarnation: t.incarnation, slot: slot, random: random}
			out.Records = append(out.Records, exportRecord(k, r))
		}
	}
	return out
}

func exportRecord(k Key, r *Record) *peerpb.RunRecord {
	rec := &peerpb.RunRecord{Key: k.String(), Digest: r.digest[:], Outcome: string(flow.OutcomeUnknown)}
	select {
	case <-r.done:
		rec.Outcome = string(r.outcome)
		rec.Status = uint32(r.response.Status)
		rec.Body, rec.BodyKept = r.response.Body, r.response.BodyKept
		for name, values := range r.response.Header {
			for _, v := range values {
				rec.Headers = append(rec.Headers, &peerpb.Header{Name: name, Value: v})
			}
		}
	default:
	}
	return rec
}
