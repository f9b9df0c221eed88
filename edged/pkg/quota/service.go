package quota

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"rosemarygrade.dev/edged/pkg/gossip"
	"rosemarygrade.dev/lib/pkg/fault"
)

// viewInterval is the time between two views of the fleet.
const viewInterval = 100 * time.Millisecond

// Fleet knows which hosts are alive. gossip.Membership implements it.
type Fleet interface {
	LiveHosts(now time.Time) gossip.Live
}

// Self describes this host.
type Self struct {
	IP, DataCentre string
	// Port is the UDP port for the messages of this package, the same on all hosts.
	Port int
}

// Service runs a Node with a socket and a timer. It is safe for concurrent use.
type Service struct {
	conn  *net.UDPConn
	port  uint16
	fleet Fleet
	log   *slog.Logger
	// wake makes the timer run at once, to be set to an earlier time.
	wake chan struct{}

	mu   sync.Mutex
	node *Node
	// due is when the timer runs next.
	due time.Duration
}

// New returns a service that listens on the host's port for messages. It fails with KindListen.
func New(self Self, fleet Fleet, log *slog.Logger) (*Service, error) {
	ip, err := netip.ParseAddr(self.IP)
	if err != nil {
		return nil, fault.Wrap("listen", KindListen, err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, uint16(self.Port))))
	if err != nil {
		return nil, fault.Wrap("listen", KindListen, err)
	}
	return &Service{
		conn: conn, port: uint16(self.Port), fleet: fleet, log: log, wake: make(chan struct{}, 1),
		node: NewNode(sinceBoot(), ip, self.DataCentre, uint64(time.Now().UnixNano())),
	}, nil
}

// sinceBoot returns the time since the host's boot. Unlike the clock of time.Now it advances while the host is suspended, so that
// credits expire then.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had this clock since version 2.6.39.
		panic(err)
	}
	return time.Duration(t.Nano())
}

// Counts returns the counts since the start.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Counts()
}

// Take requests a credit for a request of an organisation. It waits for at most about giveUpAfter. The result is Allowed or Refused.
func (s *Service) Take(ctx context.Context, organisation string, l Limit) Result {
	if !l.limited() {
		return Allowed{}
	}
	s.mu.Lock()
	r := s.node.Take(sinceBoot(), organisation, l)
	s.unlockAndSend()
	w, ok := r.(*Waiting)
	if !ok {
		return r
	}
	select {
	case r := <-w.Done():
		return r
	case <-ctx.Done():
	}
	s.mu.Lock()
	r = s.node.Cancel(sinceBoot(), organisation, w)
	s.unlockAndSend()
	return r
}

// Return gives back the credit of a request that did not run.
func (s *Service) Return(organisation string, r Allowed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node.Return(sinceBoot(), organisation, r)
}

// unlockAndSend unlocks mu, sends the messages that were added while it was locked, and makes the timer run in time for them.
func (s *Service) unlockAndSend() {
	out, events := s.node.flush()
	wake := false
	if len(out) > 0 {
		if due := sinceBoot() + resendAfter; due < s.due {
			s.due, wake = due, true
		}
	}
	s.mu.Unlock()
	if wake {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	for _, o := range out {
		data, err := o.message.encode()
		if err != nil {
			s.log.Error("a message on quotas could not be encoded", "event", "quota", "error", err)
			continue
		}
		if _, err := s.conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(o.to, s.port)); err != nil && !errors.Is(err, net.ErrClosed) {
			s.log.Debug("a message on quotas could not be sent", "event", "quota", "to", o.to, "error", err)
		}
	}
	for _, e := range events {
		s.logEvent(e)
	}
}

func (s *Service) logEvent(e change) {
	if e.lost {
		s.log.Warn("the coordinator of a quota does not respond; this host uses its own share", "event", "quotaLost",
			"organisation", e.organisation, "coordinator", e.coordinator)
		return
	}
	s.log.Info("the coordinator of a quota responds again", "event", "quotaRegained", "organisation", e.organisation, "coordinator", e.coordinator)
}

// Run receives messages and does what is due until the context ends; then it closes the socket.
func (s *Service) Run(ctx context.Context) error {
	var timer sync.WaitGroup
	timer.Go(func() { s.runTimer(ctx) })
	defer timer.Wait()
	buf := make([]byte, maxDatagramSize)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			s.log.Warn("receiving a message on quotas failed", "event", "quota", "error", err)
			continue
		}
		s.receive(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:n])
	}
}

// receive handles a datagram. Hosts send from the port on which they listen.
func (s *Service) receive(from netip.AddrPort, data []byte) {
	if from.Port() != s.port || !from.Addr().Is4() {
		return
	}
	m, err := decodeMessage(data)
	if err != nil {
		s.log.Warn("a message on quotas was ignored: it could not be decoded", "event", "quota", "from", from, "error", err)
		return
	}
	s.mu.Lock()
	s.node.receive(sinceBoot(), from.Addr(), m)
	s.unlockAndSend()
}

// runTimer updates the view and calls the node's Tick when it is due.
func (s *Service) runTimer(ctx context.Context) {
	defer func() { _ = s.conn.Close() }()
	t := time.NewTimer(0)
	defer t.Stop()
	var viewAt time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-s.wake:
		}
		now := sinceBoot()
		updates := viewAt == 0 || now-viewAt >= viewInterval
		var v View
		if updates {
			v, viewAt = s.currentView(), now
		}
		s.mu.Lock()
		if updates {
			s.node.SetView(now, v)
		}
		next := s.node.Tick(now)
		s.due = viewAt + viewInterval
		if next != 0 {
			s.due = min(s.due, next)
		}
		// Tick may have sent a message; the time of its repetition is in next.
		wait := s.due - now
		s.unlockAndSend()
		t.Reset(max(0, wait))
	}
}

func (s *Service) currentView() View {
	live := s.fleet.LiveHosts(time.Now())
	v := View{Alive: live.Alive(), Peak: live.Peak(), Peers: make([]Peer, 0, len(live.Hosts()))}
	for _, h := range live.Hosts() {
		v.Peers = append(v.Peers, Peer{IP: h.IP(), DataCentre: h.DataCentre()})
	}
	return v
}
