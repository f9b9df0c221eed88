package conns

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times of sockets: a peer behind a partition never answers, so silence must end by itself.
const (
	// unackedWait is how long sent bytes may stay unacknowledged.
	unackedWait = 2 * time.Second
	probeIdle   = time.Second
	probeEvery  = time.Second
	probeCount  = 2
)

// Control sets the options of a socket before it connects or listens.
func Control(_, _ string, c syscall.RawConn) error {
	var opt error
	err := c.Control(func(fd uintptr) {
		opt = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedWait.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return opt
}

// KeepAlive returns the probes of idle connections.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount}
}

// Dialer returns a dialer with the options of this package.
func Dialer() net.Dialer { return net.Dialer{Control: Control, KeepAliveConfig: KeepAlive()} }

// Listener returns a listener configuration with the options of this package.
func Listener() net.ListenConfig {
	return net.ListenConfig{Control: Control, KeepAliveConfig: KeepAlive()}
}

// quiet tells whether an unused connection is open and has brought nothing.
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
