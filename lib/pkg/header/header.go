// Package header holds what the headers of requests and answers say, whatever their names are.
package header

import (
	"net/http"
	"time"
)

// Request is what a caller's headers say.
type Request struct {
	// AttemptID is the id of this attempt.
	AttemptID string
	// Object is the object that the request concerns; empty means none.
	Object string
	// Timeout is how long the caller waits; 0 means that it does not say.
	Timeout time.Duration
}

// Load is what a backend server reports of its work.
type Load struct {
	Running, Waiting, Slots int
	// LatencyFactor is how long work takes there now; 1 is as usual.
	LatencyFactor float64
	// Reported tells whether the backend server reported at all.
	Reported bool
}

// Response is what a backend server's headers say.
type Response struct {
	// AttemptID is the request that the answer belongs to.
	AttemptID string
	// Signed tells that the answer is a backend server's.
	Signed bool
	// NotRun tells that the backend server did not run the request.
	NotRun bool
	// SlowStartRemaining is how long the backend server stays cold.
	SlowStartRemaining time.Duration
	Load               Load
}

// Codec translates headers.
type Codec interface {
	// DecodeRequest reads a caller's headers.
	DecodeRequest(h http.Header) Request
	// DecodeResponse reads the headers of a backend server's answer.
	DecodeResponse(status int, h http.Header) Response
	// EncodeRequest sets what a backend server must know of a request: how long the caller still waits, and
	// which backend server is meant.
	EncodeRequest(h http.Header, left time.Duration, backendID string)
	// ForwardToServer tells whether a caller's header is passed on to backend servers.
	ForwardToServer(name string) bool
	// ForwardToCaller tells whether a backend server's header is passed on to callers.
	ForwardToCaller(name string) bool
}
