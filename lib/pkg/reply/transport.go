package reply

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"rosemarygrade.dev/lib/pkg/fault"
)

const (
	// maxHeadBytes is the size of a head unless the settings of a Transport have another.
	maxHeadBytes = 64 << 10
	// maxInterim is how many interim responses may precede a response: a backend server may send one now and then while it works.
	maxInterim = 1000
)

// Transport is an http.RoundTripper that sends requests over http.Transport and fails where the response is none in the protocol. It is
// safe for concurrent use.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport with the settings of base, whose connections are each a Conn.
func NewTransport(base *http.Transport) *Transport {
	out := base.Clone()
	if out.MaxResponseHeaderBytes == 0 {
		out.MaxResponseHeaderBytes = maxHeadBytes
	}
	dial := out.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	out.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return &Transport{base: out}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var (
		conn    net.Conn
		interim int
	)
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			conn = i.Conn
			if c, ok := conn.(*Conn); ok {
				// Nothing of the response has been read: http.Transport closes connections that send something while they are idle.
				_ = c.ExpectHead(nil)
			}
		},
		Got1xxResponse: func(code int, header textproto.MIMEHeader) error {
			// http.Transport leaves it to this function to end interim responses without end.
			if interim++; interim > maxInterim {
				return fault.New("read head", KindInvalid, "too many interim responses")
			}
			return CheckHead(code, header)
		},
	})
	resp, err := t.base.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp.StatusCode, resp.Header); err != nil {
		_ = resp.Body.Close()
		// A response without a body has left its connection for reuse, and what follows on it belongs to no request.
		_ = conn.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
