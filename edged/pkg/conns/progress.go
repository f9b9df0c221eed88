package conns

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// progressInterval is the time between two looks at a connection on which a long body is sent.
const progressInterval = 250 * time.Millisecond

// progress supervises a connection on which a long body is sent, in place of TCP_USER_TIMEOUT: that ends a connection also if the backend
// server only does not read for a while, though it acknowledges each probe of its closed window.
type progress struct {
	conn    *conn
	socket  syscall.RawConn
	silence silence
	// relaxed means that the system's timeout is not in force.
	relaxed bool
	stop    chan struct{}
	ended   chan struct{}
}

// superviseProgress begins to supervise a connection. The returned function ends that. The system's timeout stays in force where the state
// of the connection can't be read.
func (c *conn) superviseProgress() (end func()) {
	sc, ok := c.NetConn().(syscall.Conn)
	if !ok {
		return func() {}
	}
	socket, err := sc.SyscallConn()
	if err != nil {
		return func() {}
	}
	p := &progress{conn: c, socket: socket, stop: make(chan struct{}), ended: make(chan struct{})}
	go p.run()
	return p.end
}

// run checks the connection until the supervision or the connection ends. Requests that end before the first check cost no system call.
func (p *progress) run() {
	defer close(p.ended)
	t := time.NewTicker(progressInterval)
	defer t.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-t.C:
		}
		if f, err := readFlight(p.socket); err != nil || !p.relax() {
			return
		} else if p.silence.isLost(time.Now(), f) {
			p.conn.abort()
			return
		}
	}
}

// relax takes the system's timeout out of force, and reports whether that succeeded.
func (p *progress) relax() bool {
	if !p.relaxed {
		p.relaxed = setUnackedTimeout(p.socket, 0) == nil
	}
	return p.relaxed
}

// end ends the supervision and puts the system's timeout in force again.
func (p *progress) end() {
	close(p.stop)
	<-p.ended
	if p.relaxed {
		// It fails on a connection that is closed, which needs no timeout.
		_ = setUnackedTimeout(p.socket, unackedTimeout)
	}
}

// flight is what a peer has to acknowledge.
type flight struct {
	// unacked means that the peer has not acknowledged sent bytes, probes that it has not acknowledged a probe of its closed window.
	unacked, probes bool
	// sinceSent and sinceAck are the times since bytes were last sent, or sent again, and since the last acknowledgement arrived.
	sinceSent, sinceAck time.Duration
}

func readFlight(socket syscall.RawConn) (flight, error) {
	var (
		info *unix.TCPInfo
		opt  error
	)
	if err := socket.Control(func(fd uintptr) { info, opt = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
		return flight{}, err
	}
	if opt != nil {
		return flight{}, opt
	}
	return flight{
		unacked: info.Unacked > 0, probes: info.Probes > 0,
		sinceSent: time.Duration(info.Last_data_sent) * time.Millisecond, sinceAck: time.Duration(info.Last_ack_recv) * time.Millisecond,
	}, nil
}

// silence finds out when a peer does not acknowledge anything any longer.
type silence struct {
	// since is the first look at which the peer had something to acknowledge; zero means that it had not.
	since time.Time
}

// isLost reports whether the peer has acknowledged nothing for unackedTimeout, though it had to. Bytes that were acknowledged and not
// accepted, because its window shrank, are none that it has to acknowledge before they are sent again.
func (s *silence) isLost(now time.Time, f flight) bool {
	if !f.probes && (!f.unacked || f.sinceAck <= f.sinceSent) {
		s.since = time.Time{}
		return false
	}
	if s.since.IsZero() {
		s.since = now
	}
	if ack := now.Add(-f.sinceAck); ack.After(s.since) {
		s.since = ack
	}
	return now.Sub(s.since) >= unackedTimeout
}
