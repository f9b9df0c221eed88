// Package flow holds what passes between the parts of an entryd: a request, its answer, and how
// an attempt ended.
package flow

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

// Outcome says what is known of a request.
type Outcome string

// Outcomes as callers see them.
const (
	// OutcomeFull means that the answer is the backend server's, whole.
	OutcomeFull Outcome = "full"
	// OutcomeNotRun means that the request did not run and will not.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeRunning means that the request is under way.
	OutcomeRunning Outcome = "running"
	// OutcomeRan means that the request ran.
	OutcomeRan Outcome = "ran"
)

// Request is one request on its way.
type Request struct {
	ID         string
	Service    string
	DataCentre string
	Method     string
	Path       string
	Header     http.Header
	Body       *Body
	Deadline   time.Time
	// Source is the region of the caller, wherever the request entered.
	Source     string
	Idempotent bool
	Background bool
	EchoNeeded bool
	Key        string
}

// Body is a request body whose first bytes are held, so that a short one can be sent again.
type Body struct {
	held []byte
	rest io.Reader
	size int64
	used bool
}

// holdLimit is how much of a body is held in memory.
const holdLimit = 64 << 10

// NewBody reads the first bytes of a body. Size is its length, or -1.
func NewBody(r io.Reader, size int64) (*Body, error) {
	held, err := io.ReadAll(io.LimitReader(r, holdLimit+1))
	if err != nil {
		return nil, err
	}
	if len(held) <= holdLimit {
		return BytesBody(held), nil
	}
	return &Body{held: held, rest: r, size: size}, nil
}

// BytesBody returns a body that can be sent again.
func BytesBody(b []byte) *Body { return &Body{held: b, size: int64(len(b))} }

// StreamBody returns a body that can be sent once.
func StreamBody(r io.Reader, size int64) *Body { return &Body{rest: r, size: size} }

// Size returns the length, or -1.
func (b *Body) Size() int64 { return b.size }

// Bytes returns the whole body, and whether all of it is held.
func (b *Body) Bytes() ([]byte, bool) { return b.held, b.rest == nil }

// Replayable tells whether the body can be sent now.
func (b *Body) Replayable() bool { return b.rest == nil || !b.used }

// Reader returns the body from its start.
func (b *Body) Reader() io.Reader {
	if b.rest == nil {
		return bytes.NewReader(b.held)
	}
	b.used = true
	return io.MultiReader(bytes.NewReader(b.held), b.rest)
}

// Load is what an owner tells of its site.
type Load struct {
	Free   int `json:"free"`
	Queued int `json:"queued"`
	Slots  int `json:"slots"`
}

// Head starts an answer.
type Head struct {
	Status int
	Header http.Header
	// Size is the length of the body, or -1.
	Size   int64
	Server string
	Load   *Load
}

// Sink takes an answer.
type Sink interface {
	// Head takes the start of an answer. It is called at most once for each attempt that succeeds.
	Head(h Head) error
	// Data takes the next bytes. The bytes are valid during the call only.
	Data(p []byte) error
}

// Result is how an attempt ended.
type Result interface{ sealed() }

// Complete means that the sink has the whole answer.
type Complete struct{ Load *Load }

// Rejected means that the request was turned away before a backend server took it.
type Rejected struct {
	Kind       RejectionKind
	Outcome    Outcome
	Reason     string
	RetryAfter time.Duration
	Load       *Load
}

// Aborted means that the request may have run but its answer is not whole.
type Aborted struct {
	// HeadSent tells that the sink has the start of the answer.
	HeadSent bool
	Reason   string
}

func (Complete) sealed() {}
func (Rejected) sealed() {}
func (Aborted) sealed()  {}

// RejectionKind says why a request was turned away.
type RejectionKind string

// Kinds of refusals.
const (
	RefusedFull                     RejectionKind = "full"
	RejectedQuota                   RejectionKind = "quota"
	RejectedWouldExpire             RejectionKind = "late"
	RejectedExpired                 RejectionKind = "expired"
	RejectedNotOwner                RejectionKind = "notOwner"
	RejectedNoServer                RejectionKind = "noServer"
	RejectedShed                    RejectionKind = "shed"
	RejectedConnect                 RejectionKind = "connect"
	RejectedCancelledBeforeDispatch RejectionKind = "voided"
	RefusedNoRoute                  RejectionKind = "noRoute"
	RefusedBadKey                   RejectionKind = "badKey"
	RefusedKeyNeeded                RejectionKind = "keyNeeded"
	RefusedKeyReused                RejectionKind = "keyReused"
	RefusedKeyGone                  RejectionKind = "keyGone"
	RefusedBody                     RejectionKind = "bodyTooLarge"
	RefusedBadBody                  RejectionKind = "badBody"
	RefusedNotReady                 RejectionKind = "notReady"
	RefusedNotKept                  RejectionKind = "answerNotKept"
	RefusedBadAnswer                RejectionKind = "badAnswer"
	RejectedCallerDisconnected      RejectionKind = "cancelled"
	RefusedStopping                 RejectionKind = "stopping"
	RefusedUnanswered               RejectionKind = "unanswered"
)

// NotRun returns a refusal that says that the request did not run.
func NotRun(kind RejectionKind, reason string) Rejected {
	return Rejected{Kind: kind, Outcome: OutcomeNotRun, Reason: reason}
}

// Unknown returns a refusal that says that the request may have run.
func Unknown(kind RejectionKind, reason string) Rejected {
	return Rejected{Kind: kind, Outcome: OutcomeUnknown, Reason: reason}
}
