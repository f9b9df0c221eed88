// Package load plays callers: it asks look-ups, sends requests to the entry host that they name,
// and checks that each answer is whole and its own.
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

// Kind is the kind of a caller's error.
type Kind string

// Kinds of errors.
const (
	// KindLookup means that no look-up was answered.
	KindLookup Kind = "lookup"
	// KindBroken means that the connection broke before the answer was whole.
	KindBroken Kind = "broken"
	// KindForeign means that the answer is not the caller's own.
	KindForeign Kind = "foreign"
	// KindNotRun means that the request was said not to have run.
	KindNotRun Kind = "notRun"
	// KindUnknown means that it was said to be unknown whether the request ran.
	KindUnknown Kind = "unknown"
)

// Error is the error type of the package.
type Error = fault.Error[Kind]

type lookupAnswer struct {
	Hosts []struct {
		Host      string `json:"host"`
		Address   string `json:"address"`
		KeyPrefix string `json:"keyPrefix"`
	} `json:"hosts"`
	TTLMillis int `json:"ttlMillis"`
}

// Caller is safe for concurrent use.
type Caller struct {
	lookups []string
	address string
	client  *http.Client

	mu     sync.Mutex
	answer lookupAnswer
	until  time.Time
	next   int
}

// maxConns is how many idle connections a caller keeps to one entry host.
const maxConns = 512

// NewCaller returns a caller. Address is the caller's address as it declares it in look-ups.
func NewCaller(lookups []string, address string) *Caller {
	return &Caller{
		lookups: lookups, address: address,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxConns, MaxIdleConns: maxConns}},
	}
}

// Request is one request of a caller.
type Request struct {
	Method string
	Path   string
	Body   []byte
	// Keyed asks for a request key.
	Keyed bool
	// Key is a request key to use again.
	Key string
}

// Answer is a whole answer.
type Answer struct {
	Status int
	Server string
	Token  string
	Key    string
	Body   []byte
}

// lookup returns the cached answer, or asks for a new one.
func (c *Caller) lookup(ctx context.Context) (lookupAnswer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.until) && len(c.answer.Hosts) > 0 {
		return c.answer, nil
	}
	var err error
	for range c.lookups {
		address := c.lookups[c.next%len(c.lookups)]
		var a lookupAnswer
		if a, err = c.ask(ctx, address); err == nil {
			c.answer, c.until = a, time.Now().Add(time.Duration(a.TTLMillis)*time.Millisecond)
			return a, nil
		}
		c.next++
	}
	return lookupAnswer{}, fault.Wrap("lookup", KindLookup, err)
}

const lookupTimeout = time.Second

func (c *Caller) ask(ctx context.Context, address string) (lookupAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	var a lookupAnswer
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

// Forget drops the cached look-up.
func (c *Caller) Forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Time{}
	c.next++
}

// Do sends a request to the first entry host of the look-up that takes the connection and checks the answer.
func (c *Caller) Do(ctx context.Context, r Request) (Answer, error) {
	a, err := c.lookup(ctx)
	if err != nil {
		return Answer{}, err
	}
	var ans Answer
	for _, h := range a.Hosts {
		q := r
		if r.Keyed && r.Key == "" {
			q.Key = h.KeyPrefix + "-" + uuid.NewString()
		}
		if ans, err = c.Send(ctx, h.Address, q); !unconnected(err) {
			break
		}
	}
	if fault.KindOf[Kind](err) == KindBroken {
		c.Forget()
	}
	return ans, err
}

// unconnected tells whether no connection was made, so that nothing was sent.
func unconnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

type failure struct {
	Outcome string `json:"outcome"`
	Kind    string `json:"kind"`
	Reason  string `json:"reason"`
}

// Send sends a request to an address and checks the answer.
func (c *Caller) Send(ctx context.Context, address string, r Request) (Answer, error) {
	token := uuid.NewString()
	ans := Answer{Token: token, Key: r.Key}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return ans, fault.Wrap("send", KindBroken, err)
	}
	if r.Key != "" {
		req.Header.Set("Rosemary-Key", r.Key)
		// A repeated request must be the same one, so its token comes from the key.
		ans.Token = "key-" + r.Key
	}
	req.Header.Set(bksrv.HeaderToken, ans.Token)
	if c.address != "" {
		req.Header.Set("Rosemary-Caller", c.address)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return ans, fault.Wrap("send", KindBroken, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return ans, fault.Wrap("read", KindBroken, err)
	}
	ans.Status, ans.Body, ans.Server = resp.StatusCode, body, resp.Header.Get(bksrv.HeaderServer)
	return ans, check(resp, ans)
}

// check verifies that an answer is whole and the caller's own.
func check(resp *http.Response, ans Answer) error {
	switch resp.Header.Get("Rosemary-Outcome") {
	case "notRun":
		return failed(KindNotRun, ans)
	case "unknown":
		return failed(KindUnknown, ans)
	}
	if resp.Header.Get(bksrv.HeaderToken) != ans.Token {
		return fault.New("check", KindForeign, "the answer's token is another's")
	}
	if resp.Header.Get(bksrv.HeaderDigest) != fmt.Sprintf("%016x", xxhash.Sum64(ans.Body)) {
		return fault.New("check", KindForeign, "the answer's digest does not match")
	}
	return nil
}

func failed(kind Kind, ans Answer) error {
	var f failure
	if err := json.Unmarshal(ans.Body, &f); err != nil {
		return fault.Wrap("check", kind, errors.New(string(ans.Body)))
	}
	return fault.New("check", kind, fmt.Sprintf("%d %s: %s", ans.Status, f.Kind, f.Reason))
}
