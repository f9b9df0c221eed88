// Package object is the client of the platform's object API.
package object

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"rosemarygrade.dev/lib/pkg/fault"
	"rosemarygrade.dev/lib/pkg/reply"
	"rosemarygrade.dev/lib/pkg/sleep"
	"rosemarygrade.dev/lib/pkg/wire"
)

// Kind is the kind of an error of the package.
type Kind string

// Kinds of errors.
const (
	// KindUnavailable means that the platform did not respond or reported a failure of its own.
	KindUnavailable Kind = "unavailable"
	// KindConflict means that the object does not have the expected version: another write came first.
	KindConflict Kind = "conflict"
	// KindNotFound means that the object does not exist.
	KindNotFound Kind = "notFound"
	// KindTooOld means that the platform no longer has the changes since the revision: the watch must restart from a list.
	KindTooOld Kind = "tooOld"
	// KindRefused means that the platform rejected the call as invalid.
	KindRefused Kind = "refused"
	// KindLost means that the response to a write was lost and it is unknown whether the write took effect.
	KindLost Kind = "lost"
)

// Error is the error type of the package.
type Error = fault.Error[Kind]

// Listing holds all objects at a revision, or those that changed since an earlier one.
type Listing struct {
	Revision uint64        `json:"revision"`
	Objects  []wire.Object `json:"objects"`
}

// Client is the part of the object API that the system uses.
type Client interface {
	// List returns all objects, and the deleted ones of which the platform still has a record.
	List(ctx context.Context) (Listing, error)
	// Watch returns the objects that changed after the revision. It waits for a change, at most for wait.
	Watch(ctx context.Context, since uint64, wait time.Duration) (Listing, error)
	// Get returns one object.
	Get(ctx context.Context, kind, name string) (wire.Object, error)
	// Put writes an object's spec if the object's version is still ifVersion; 0 means that it must not exist yet.
	Put(ctx context.Context, o wire.Object, ifVersion uint64) (wire.Object, error)
	// Delete deletes an object if its version is still ifVersion.
	Delete(ctx context.Context, kind, name string, ifVersion uint64) (wire.Object, error)
	// PutStatus writes an object's status if the status version is still ifVersion.
	PutStatus(ctx context.Context, kind, name string, status wire.Status, ifVersion uint64) error
	// Hosts returns the platform's list of alive and leaving hosts, which may be out of date.
	Hosts(ctx context.Context) (wire.HostList, error)
}

// Limits of a client.
const (
	callsPerSecond = 50
	callsBurst     = 100
	callTimeout    = 5 * time.Second
	idleTimeout    = 90 * time.Second
	// maxResponseBytes has room for 100,000 backend servers in the list of all objects.
	maxResponseBytes = 16 << 20
	readBackAttempts = 3
	readBackDelay    = 200 * time.Millisecond
)

// HTTP is a Client over HTTP with a rate limit on its calls. It is safe for concurrent use.
type HTTP struct {
	base    string
	client  *http.Client
	limiter *rate.Limiter
}

// NewHTTP returns a client for the platform at address, an IP:port.
func NewHTTP(address string) *HTTP {
	return &HTTP{
		base:    "http://" + address + "/v1",
		client:  &http.Client{Transport: reply.NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment, IdleConnTimeout: idleTimeout})},
		limiter: rate.NewLimiter(callsPerSecond, callsBurst),
	}
}

var _ Client = (*HTTP)(nil)

// List implements Client.
func (c *HTTP) List(ctx context.Context) (Listing, error) {
	return c.list(ctx, callTimeout, "/objects")
}

// Watch implements Client.
func (c *HTTP) Watch(ctx context.Context, since uint64, wait time.Duration) (Listing, error) {
	return c.list(ctx, wait+callTimeout, fmt.Sprintf("/watch?since=%d&waitMillis=%d", since, wait.Milliseconds()))
}

func (c *HTTP) list(ctx context.Context, timeout time.Duration, path string) (Listing, error) {
	data, err := c.fetch(ctx, timeout, http.MethodGet, path, nil)
	if err != nil {
		return Listing{}, err
	}
	return decodeListing(data)
}

// Get implements Client.
func (c *HTTP) Get(ctx context.Context, kind, name string) (wire.Object, error) {
	var o wire.Object
	err := c.call(ctx, http.MethodGet, objectPath(kind, name), nil, &o)
	return o, err
}

// Put implements Client. If the response is lost, it reads the object back and recognizes its write by the write ID.
func (c *HTTP) Put(ctx context.Context, o wire.Object, ifVersion uint64) (wire.Object, error) {
	o.WriteID = uuid.NewString()
	return c.write(ctx, http.MethodPut, o, ifVersion)
}

// Delete implements Client.
func (c *HTTP) Delete(ctx context.Context, kind, name string, ifVersion uint64) (wire.Object, error) {
	o := wire.Object{Kind: kind, Name: name, WriteID: uuid.NewString()}
	return c.write(ctx, http.MethodDelete, o, ifVersion)
}

func (c *HTTP) write(ctx context.Context, method string, o wire.Object, ifVersion uint64) (wire.Object, error) {
	var out wire.Object
	path := objectPath(o.Kind, o.Name) + "?ifVersion=" + strconv.FormatUint(ifVersion, 10)
	err := c.call(ctx, method, path, o, &out)
	if fault.KindOf[Kind](err) != KindUnavailable {
		return out, err
	}
	return c.readBack(ctx, o, ifVersion, err)
}

// readBack finds out whether a write whose response was lost took effect.
func (c *HTTP) readBack(ctx context.Context, o wire.Object, ifVersion uint64, cause error) (wire.Object, error) {
	for range readBackAttempts {
		got, err := c.Get(ctx, o.Kind, o.Name)
		switch {
		case err == nil && got.WriteID == o.WriteID:
			return got, nil
		case err == nil && got.Version > ifVersion:
			return got, fault.New("write", KindLost, fmt.Sprintf(
				"answer lost; version %d by another write stands now", got.Version))
		case err == nil, fault.KindOf[Kind](err) == KindNotFound:
			return got, fault.Wrap("write", KindUnavailable, cause)
		}
		if !sleep.For(ctx, readBackDelay) {
			break
		}
	}
	return wire.Object{}, fault.Wrap("write", KindLost, cause)
}

// PutStatus implements Client.
func (c *HTTP) PutStatus(ctx context.Context, kind, name string, status wire.Status, ifVersion uint64) error {
	path := fmt.Sprintf("/status/%s/%s?ifVersion=%d", url.PathEscape(kind), url.PathEscape(name), ifVersion)
	return c.call(ctx, http.MethodPut, path, status, nil)
}

// Hosts implements Client.
func (c *HTTP) Hosts(ctx context.Context) (wire.HostList, error) {
	var out wire.HostList
	err := c.call(ctx, http.MethodGet, "/hosts", nil, &out)
	return out, err
}

func objectPath(kind, name string) string {
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// call makes a call and decodes the response into out, unless out is nil.
func (c *HTTP) call(ctx context.Context, method, path string, in, out any) error {
	data, err := c.fetch(ctx, callTimeout, method, path, in)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fault.Wrap(method+" "+path, KindUnavailable, err)
	}
	return nil
}

// fetch makes a call and returns the body of the response.
func (c *HTTP) fetch(ctx context.Context, timeout time.Duration, method, path string, in any) ([]byte, error) {
	op := method + " " + path
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return nil, fault.Wrap(op, KindUnavailable, err)
	}
	body, err := encodeBody(in)
	if err != nil {
		return nil, fault.Wrap(op, KindRefused, err)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, fault.Wrap(op, KindRefused, err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, fault.Wrap(op, KindUnavailable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := reply.ReadBody(resp.Body, maxResponseBytes)
	if err != nil {
		return nil, fault.Wrap(op, KindUnavailable, err)
	}
	return data, statusError(op, resp.StatusCode, data)
}

func encodeBody(in any) (io.Reader, error) {
	if in == nil {
		return http.NoBody, nil
	}
	data, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	return bytes.NewReader(data), nil
}

func statusError(op string, status int, body []byte) error {
	msg := string(bytes.TrimSpace(body))
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusNotFound:
		return fault.New(op, KindNotFound, msg)
	case status == http.StatusConflict:
		return fault.New(op, KindConflict, msg)
	case status == http.StatusGone:
		return fault.New(op, KindTooOld, msg)
	case status >= http.StatusInternalServerError:
		return fault.New(op, KindUnavailable, msg)
	default:
		return fault.New(op, KindRefused, msg)
	}
}

// Is reports whether err is an error of this package with that kind.
func Is(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind() == kind
}
