package conns

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Socket timeouts. No reset arrives from a peer behind a network partition, so its connections must time out.
const (
	// unackedTimeout is how long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT).
	unackedTimeout = 2 * time.Second
	probeIdle      = time.Second
	probeInterval  = time.Second
	probeCount     = 2
)

// Control sets unackedTimeout on a socket before it connects or listens.
func Control(_, _ string, c syscall.RawConn) error {
	return setUnackedTimeout(c, unackedTimeout)
}

// setUnackedTimeout sets how long sent bytes may stay unacknowledged; 0 means the system's default of several minutes.
func setUnackedTimeout(c syscall.RawConn, timeout time.Duration) error {
	var opt error
	err := c.Control(func(fd uintptr) {
		opt = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return opt
}

// KeepAlive returns the configuration of the TCP keep-alive probes of idle connections.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
}

// Dialer returns a dialer with this package's socket timeouts.
func Dialer() net.Dialer { return net.Dialer{Control: Control, KeepAliveConfig: KeepAlive()} }

// Listener returns a listener configuration with this package's socket timeouts.
func Listener() net.ListenConfig {
	return net.ListenConfig{Control: Control, KeepAliveConfig: KeepAlive()}
}

// quiet reports whether an idle connection is open and has no unread bytes.
func quiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = rerr == unix.EAGAIN
		return true
	})
	return err == nil && open
}
