// Package header defines the decoded form of edged's request and response headers, independent of the
// header names on the wire, and the interface of the codec that translates between the two.
package header

import (
	"net/http"
	"time"

	"rosemarygrade.dev/lib/pkg/plan"
)

// Request holds the decoded headers of a caller's request.
type Request struct {
	// AttemptID is the ID of this attempt.
	AttemptID string
	// Object is the affinity key: the object that the request is about. It is empty where the request has none.
	Object string
	// Timeout is how long the caller waits for the response; 0 means that the caller set no timeout.
	Timeout time.Duration
	// KeyHash is the hash of the organisation's key; it is zero where the request has no key or several.
	KeyHash plan.KeyHash
}

// Load is the load that a backend server reports with a response.
type Load struct {
	// Running is the number of running requests, Waiting that of queued ones; Slots is how many can run at a time.
	Running, Waiting, Slots int
	// LatencyFactor is the present service time divided by the usual one; 1 means no slowdown.
	LatencyFactor float64
	// Reported is false where the response carries no readable load.
	Reported bool
}

// Backpressure is what a backend server asks of the hosts that send to it, as of one response.
type Backpressure struct {
	// Leaving is true where the backend server is about to shut down and wants no more requests.
	Leaving bool
	// RequestsPerSecond is the highest rate of requests that it accepts from all hosts together. It counts where Limited is set.
	RequestsPerSecond float64
	Limited           bool
	// Pause is for how long it wants no request of the host that gets the response.
	Pause time.Duration
}

// Response holds the decoded headers of a backend server's response.
type Response struct {
	// AttemptID is the ID of the attempt that the response belongs to.
	AttemptID string
	// Signed is true where the headers mark the response as written by a backend server.
	Signed bool
	// NotRun is true where the backend server did not run the request.
	NotRun bool
	// BackendID is the ID of the backend server; only responses to health checks have to carry it.
	BackendID string
	// SlowStartRemaining is how much longer the backend server is in slow start.
	SlowStartRemaining time.Duration
	Load               Load
	Backpressure       Backpressure
}

// Codec decodes and encodes headers.
type Codec interface {
	// DecodeRequest decodes the headers of a caller's request.
	DecodeRequest(h http.Header) Request
	// DecodeResponse decodes the status and headers of a backend server's response.
	DecodeResponse(status int, h http.Header) Response
	// EncodeRequest sets in h the remaining time of the request, the ID of the backend server that it is sent to, and the
	// name of the organisation that it belongs to, unless the name is empty.
	EncodeRequest(h http.Header, remaining time.Duration, backendID, organisation string)
	// ForwardToServer reports whether a caller's header is forwarded to backend servers.
	ForwardToServer(name string) bool
	// ForwardToCaller reports whether a backend server's header is forwarded to callers.
	ForwardToCaller(name string) bool
}
