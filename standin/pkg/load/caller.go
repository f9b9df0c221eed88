// Package load generates load as callers do: it looks up entry hosts, sends requests to them, and checks that each response is
// complete and belongs to its request.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"rosemarygrade.dev/lib/pkg/fault"
	"rosemarygrade.dev/standin/pkg/bksrv"
)

// Kind is the kind of an error of the package.
type Kind string

// Kinds of errors.
const (
	// KindLookup means that no steerd answered the look-up with a host.
	KindLookup Kind = "lookup"
	// KindBroken means that the connection failed before the response was complete.
	KindBroken Kind = "broken"
	// KindForeign means that the response belongs to another request, or that its body does not match its digest.
	KindForeign Kind = "foreign"
	// KindNotRun means that the response reports that the request did not run.
	KindNotRun Kind = "notRun"
	// KindUnknown means that the response reports that the request may have run.
	KindUnknown Kind = "unknown"
)

// Error is the error type of the package.
type Error = fault.Error[Kind]

type lookupResponse struct {
	Hosts []struct {
		Host      string `json:"host"`
		Address   string `json:"address"`
		KeyPrefix string `json:"keyPrefix"`
	} `json:"hosts"`
	TTLMillis int `json:"ttlMillis"`
}

// Caller sends requests and caches look-ups. It is safe for concurrent use.
type Caller struct {
	lookups []string
	address string
	client  *http.Client

	mu         sync.Mutex
	cached     lookupResponse
	expires    time.Time
	nextLookup int
}

// maxIdleConns is the number of idle connections that a caller keeps, to one entry host and in total.
const maxIdleConns = 512

// NewCaller returns a caller that sends its look-ups to the given steerds, a list of IP:port. address is the caller's own
// IP address, which it declares in look-ups and requests; requests omit an empty one.
func NewCaller(lookups []string, address string) *Caller {
	return &Caller{
		lookups: lookups, address: address,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, MaxIdleConns: maxIdleConns}},
	}
}

// Request is an HTTP request for a Caller to send, with GET for an empty Method, / for an empty Path and no body for an empty
// Body; Path may include a query.
type Request struct {
	Method string
	Path   string
	Body   []byte
	// Keyed makes Do add a new request key if Key is empty.
	Keyed bool
	// Key is the request key to send, such as that of an earlier request to repeat.
	Key string
}

// Result is a response with the token and the key of its request.
type Result struct {
	Status int
	Server string
	Token  string
	Key    string
	Body   []byte
}

// lookup returns the cached look-up, or a new one from the first steerd that answers.
func (c *Caller) lookup(ctx context.Context) (lookupResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) && len(c.cached.Hosts) > 0 {
		return c.cached, nil
	}
	var err error
	for range c.lookups {
		address := c.lookups[c.nextLookup%len(c.lookups)]
		var a lookupResponse
		if a, err = c.queryLookup(ctx, address); err == nil && len(a.Hosts) == 0 {
			err = errors.New("the look-up named no host")
		}
		if err == nil {
			c.cached, c.expires = a, time.Now().Add(time.Duration(a.TTLMillis)*time.Millisecond)
			return a, nil
		}
		c.nextLookup++
	}
	return lookupResponse{}, fault.Wrap("lookup", KindLookup, err)
}

const lookupTimeout = time.Second

func (c *Caller) queryLookup(ctx context.Context, address string) (lookupResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	var a lookupResponse
	u := "http://" + address + "/v1/lookup?address=" + url.QueryEscape(c.address)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return a, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return a, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return a, fmt.Errorf("look-up answered %d", resp.StatusCode)
	}
	return a, json.NewDecoder(resp.Body).Decode(&a)
}

// InvalidateLookup drops the cached look-up. The next look-up goes to the next steerd of the list.
func (c *Caller) InvalidateLookup() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
	c.nextLookup++
}

// Do sends a request to the first entry host of the look-up that accepts a connection, and checks the response as Send does.
// It invalidates the look-up if the connection fails.
func (c *Caller) Do(ctx context.Context, r Request) (Result, error) {
	a, err := c.lookup(ctx)
	if err != nil {
		return Result{}, err
	}
	var result Result
	for _, h := range a.Hosts {
		q := r
		if r.Keyed && r.Key == "" {
			q.Key = h.KeyPrefix + "-" + uuid.NewString()
		}
		if result, err = c.Send(ctx, h.Address, q); !dialFailed(err) {
			break
		}
	}
	if fault.KindOf[Kind](err) == KindBroken {
		c.InvalidateLookup()
	}
	return result, err
}

// dialFailed reports whether the connection could not be made, so that nothing was sent and another host may be tried.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// failureBody is the body of a response that reports a failure.
type failureBody struct {
	Outcome string `json:"outcome"`
	Kind    string `json:"kind"`
	Reason  string `json:"reason"`
}

// Send sends a request to an IP:port and checks the response. Its errors have the kinds KindBroken, KindForeign, KindNotRun and
// KindUnknown; the result has the token of the request also if an error is returned.
func (c *Caller) Send(ctx context.Context, address string, r Request) (Result, error) {
	token := uuid.NewString()
	result := Result{Token: token, Key: r.Key}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return result, fault.Wrap("send", KindBroken, err)
	}
	if r.Key != "" {
		req.Header.Set("Rosemary-Key", r.Key)
		// A repeated request must be identical to the first one, so the token is derived from the key.
		result.Token = "key-" + r.Key
	}
	req.Header.Set(bksrv.HeaderToken, result.Token)
	if c.address != "" {
		req.Header.Set("Rosemary-Caller", c.address)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return result, fault.Wrap("send", KindBroken, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return result, fault.Wrap("read", KindBroken, err)
	}
	result.Status, result.Body, result.Server = resp.StatusCode, body, resp.Header.Get(bksrv.HeaderServer)
	return result, verify(resp, result)
}

// verify checks that a response reports no failure and has the token of its request and the digest of its body.
func verify(resp *http.Response, result Result) error {
	switch resp.Header.Get("Rosemary-Outcome") {
	case "notRun":
		return failureError(KindNotRun, result)
	case "unknown":
		return failureError(KindUnknown, result)
	}
	if resp.Header.Get(bksrv.HeaderToken) != result.Token {
		return fault.New("check", KindForeign, "the answer's token is another's")
	}
	if resp.Header.Get(bksrv.HeaderDigest) != fmt.Sprintf("%016x", xxhash.Sum64(result.Body)) {
		return fault.New("check", KindForeign, "the answer's digest does not match")
	}
	return nil
}

func failureError(kind Kind, result Result) error {
	var f failureBody
	if err := json.Unmarshal(result.Body, &f); err != nil {
		return fault.Wrap("check", kind, errors.New(string(result.Body)))
	}
	return fault.New("check", kind, fmt.Sprintf("%d %s: %s", result.Status, f.Kind, f.Reason))
}
