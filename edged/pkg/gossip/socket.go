package gossip

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"rosemarygrade.dev/edged/pkg/conns"
	"rosemarygrade.dev/lib/pkg/fault"
	"rosemarygrade.dev/lib/pkg/plan"
	"rosemarygrade.dev/lib/pkg/reply"
)

// sockets is the network of a process: UDP for datagrams, HTTP for pulls.
type sockets struct {
	conn   *net.UDPConn
	client *http.Client
}

func newSockets(conn *net.UDPConn) *sockets {
	dialer := conns.Dialer()
	transport := reply.NewTransport(&http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: pullIdleTimeout})
	return &sockets{conn: conn, client: &http.Client{Transport: transport}}
}

func (s *sockets) send(to netip.AddrPort, data []byte) error {
	_, err := s.conn.WriteToUDPAddrPort(data, to)
	return err
}

func (s *sockets) start(f func()) { go f() }

func (s *sockets) now() time.Time { return time.Now() }

func (s *sockets) pull(ctx context.Context, from netip.AddrPort, have map[plan.Topic]uint64) ([]snapshot, error) {
	q := url.Values{}
	for _, t := range exchangedTopics() {
		q.Set(string(t), strconv.FormatUint(have[t], 10))
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.String()+PathState+"?"+q.Encode(), nil)
	if err != nil {
		return nil, fault.Wrap("pull", KindPeer, err)
	}
	resp, err := s.client.Do(r)
	if err != nil {
		return nil, fault.Wrap("pull", KindPeer, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fault.New("pull", KindPeer, resp.Status)
	}
	data, err := reply.ReadBody(resp.Body, maxPullBytes)
	if err != nil {
		return nil, fault.Wrap("pull", KindPeer, err)
	}
	var out []snapshot
	if err := json.Unmarshal(data, &out); err != nil {
		return nil, fault.Wrap("pull", KindFormat, err)
	}
	return out, nil
}
