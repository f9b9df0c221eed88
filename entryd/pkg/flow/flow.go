// Package flow defines the types that the packages of entryd share: a request, its response and the
// result of an attempt to serve it.
package flow

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

// Outcome is the outcome of a request as callers see it, in the header Rosemary-Outcome and in JSON.
type Outcome string

// Outcomes of requests.
const (
	// OutcomeFull means that the backend server's complete response was returned.
	OutcomeFull Outcome = "full"
	// OutcomeNotRun means that the request did not run and will not run.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeRunning means that the request is still running.
	OutcomeRunning Outcome = "running"
	// OutcomeRan means that the request ran.
	OutcomeRan Outcome = "ran"
)

// Request is a caller's request.
type Request struct {
	ID      string
	Service string
	// DataCentre is the data centre of the site to which the request is sent.
	DataCentre string
	Method     string
	// Path is the request URI: the path and the query.
	Path     string
	Header   http.Header
	Body     *Body
	Deadline time.Time
	// Source is the region of the caller. The request may have entered in another region.
	Source string
	// Idempotent reports whether the request may be sent again after it may have run.
	Idempotent bool
	Background bool
	// EchoNeeded reports whether the response must echo the request ID.
	EchoNeeded bool
	// Key is the request key of a request that may run at most once, or "".
	Key string
}

// Body is a request body. Its first bytes are buffered, so that a short body can be sent again.
type Body struct {
	buffered []byte
	rest     io.Reader
	size     int64
	consumed bool
}

// maxBuffered is the number of body bytes that are buffered.
const maxBuffered = 64 << 10

// NewBody buffers the first bytes of a body. Size is the length of the body in bytes, or -1 if it
// is unknown.
func NewBody(r io.Reader, size int64) (*Body, error) {
	start, err := io.ReadAll(io.LimitReader(r, maxBuffered+1))
	if err != nil {
		return nil, err
	}
	if len(start) <= maxBuffered {
		return BytesBody(start), nil
	}
	return &Body{buffered: start, rest: r, size: size}, nil
}

// BytesBody returns a body that is buffered completely and can be sent any number of times.
func BytesBody(b []byte) *Body { return &Body{buffered: b, size: int64(len(b))} }

// StreamBody returns a body that can be sent once. Size is its length in bytes, or -1 if it is unknown.
func StreamBody(r io.Reader, size int64) *Body { return &Body{rest: r, size: size} }

// Size returns the length in bytes, or -1 if it is unknown.
func (b *Body) Size() int64 { return b.size }

// Bytes returns the buffered bytes, and whether they are the complete body.
func (b *Body) Bytes() ([]byte, bool) { return b.buffered, b.rest == nil }

// Replayable reports whether Reader can return the complete body.
func (b *Body) Replayable() bool { return b.rest == nil || !b.consumed }

// Reader returns a reader of the body from its start. A body that is not buffered completely can be
// read once.
func (b *Body) Reader() io.Reader {
	if b.rest == nil {
		return bytes.NewReader(b.buffered)
	}
	b.consumed = true
	return io.MultiReader(bytes.NewReader(b.buffered), b.rest)
}

// Load is the load of a site, as its owner reports it with each response.
type Load struct {
	Free   int `json:"free"`
	Queued int `json:"queued"`
	Slots  int `json:"slots"`
}

// Head is the head of a response: its status and headers.
type Head struct {
	Status int
	Header http.Header
	// Size is the length of the body in bytes, or -1 if it is unknown.
	Size int64
	// Server is the address of the backend server.
	Server string
	Load   *Load
}

// Sink receives a response.
type Sink interface {
	// Head receives the head of a response. It is called at most once for each attempt, before Data.
	Head(h Head) error
	// Data receives the next bytes of the body, which are valid during the call only.
	Data(p []byte) error
}

// Result is the result of an attempt to serve a request: Complete, Rejected or Aborted.
type Result interface{ sealed() }

// Complete means that the sink received the complete response.
type Complete struct{ Load *Load }

// Rejected means that entryd returns an error in place of a backend server's response. Outcome says
// whether the request ran, as far as entryd can be certain.
type Rejected struct {
	Kind       RejectionKind
	Outcome    Outcome
	Reason     string
	RetryAfter time.Duration
	Load       *Load
}

// Aborted means that the request may have run but its response is missing or incomplete.
type Aborted struct {
	// HeadSent reports whether the sink received the head of the response.
	HeadSent bool
	Reason   string
}

func (Complete) sealed() {}
func (Rejected) sealed() {}
func (Aborted) sealed()  {}

// RejectionKind is the kind of a rejection. It is part of the error response to callers.
type RejectionKind string

// Kinds of rejections.
const (
	// RejectedOverloaded means that the deduplication table is full.
	RejectedOverloaded RejectionKind = "full"
	// RejectedQuota means that the caller's region has used up its share of the site.
	RejectedQuota RejectionKind = "quota"
	// RejectedWouldExpire means that the request would miss its deadline in the queue.
	RejectedWouldExpire RejectionKind = "late"
	// RejectedExpired means that the deadline passed before dispatch.
	RejectedExpired RejectionKind = "expired"
	// RejectedNotOwner means that the process to which the request was sent does not own the site.
	RejectedNotOwner RejectionKind = "notOwner"
	// RejectedNoServer means that the site has no backend server that accepts new requests.
	RejectedNoServer RejectionKind = "noServer"
	// RejectedShed means that the backend server shed the request.
	RejectedShed RejectionKind = "shed"
	// RejectedConnect means that the owner or the backend server could not be connected to.
	RejectedConnect RejectionKind = "connect"
	// RejectedCancelledBeforeDispatch means that the process that had sent the request to the owner
	// cancelled it there before dispatch.
	RejectedCancelledBeforeDispatch RejectionKind = "voided"
	// RejectedNoRoute means that no service has a route for the request.
	RejectedNoRoute RejectionKind = "noRoute"
	// RejectedBadKey means that the request key is malformed or of a future time slot.
	RejectedBadKey RejectionKind = "badKey"
	// RejectedKeyNeeded means that the route requires a request key.
	RejectedKeyNeeded RejectionKind = "keyNeeded"
	// RejectedKeyReused means that the request key was used for a different request.
	RejectedKeyReused RejectionKind = "keyReused"
	// RejectedKeyGone means that the record of the request key was evicted, or that its issuing
	// process has stopped or is unreachable.
	RejectedKeyGone RejectionKind = "keyGone"
	// RejectedBodyTooLarge means that the body exceeds the limit of the service.
	RejectedBodyTooLarge RejectionKind = "bodyTooLarge"
	// RejectedBadRequest means that the path, a header or the body is invalid.
	RejectedBadRequest RejectionKind = "badBody"
	// RejectedNotReady means that no configuration has been loaded yet.
	RejectedNotReady RejectionKind = "notReady"
	// RejectedResponseNotKept means that the request ran and its response is not kept.
	RejectedResponseNotKept RejectionKind = "answerNotKept"
	// RejectedBadResponse means that the response was missing, incomplete or of another request.
	RejectedBadResponse RejectionKind = "badAnswer"
	// RejectedCallerDisconnected means that the caller disconnected before dispatch.
	RejectedCallerDisconnected RejectionKind = "cancelled"
	// RejectedStopping means that the process is stopping.
	RejectedStopping RejectionKind = "stopping"
	// RejectedStillRunning means that an earlier request with the key was still running at the deadline.
	RejectedStillRunning RejectionKind = "unanswered"
)

// NotRun returns a rejection of a request that did not run.
func NotRun(kind RejectionKind, reason string) Rejected {
	return Rejected{Kind: kind, Outcome: OutcomeNotRun, Reason: reason}
}

// Unknown returns a rejection of a request that may have run.
func Unknown(kind RejectionKind, reason string) Rejected {
	return Rejected{Kind: kind, Outcome: OutcomeUnknown, Reason: reason}
}
