package drain

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
)

// maxPending is how many connections are accepted at most once a listener is stopped. The system's queue is usually no longer.
const maxPending = 4096

// Listener is a listener that can be stopped without dropping a connection: a connection that the system has accepted by then, but the
// process has not, may hold a request already. It is safe for concurrent use.
type Listener struct {
	net.Listener

	mu      sync.Mutex
	pending []net.Conn
}

// NewListener returns a Listener in place of l.
func NewListener(l net.Listener) *Listener { return &Listener{Listener: l} }

// Accept implements net.Listener. After Stop it returns the connections that were left, and then net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil || !errors.Is(err, net.ErrClosed) {
		return c, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) == 0 {
		return nil, err
	}
	c, l.pending = l.pending[0], l.pending[1:]
	return c, nil
}

// Stop stops accepting connections.
func (l *Listener) Stop() error {
	pending, err := acceptPending(l.Listener)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, pending...)
	return errors.Join(err, l.Close())
}

// acceptPending accepts the connections that wait in the system's queue, if it is a TCP listener.
func acceptPending(l net.Listener) ([]net.Conn, error) {
	raw, ok := l.(syscall.Conn)
	if !ok {
		return nil, nil
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return nil, err
	}
	var (
		out      []net.Conn
		failures []error
	)
	err = control.Control(func(fd uintptr) {
		for len(out) < maxPending {
			next, _, err := syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED) {
				continue
			}
			if errors.Is(err, syscall.EAGAIN) {
				return
			}
			if err != nil {
				failures = append(failures, err)
				return
			}
			c, err := connOf(next)
			if err != nil {
				failures = append(failures, err)
				continue
			}
			out = append(out, c)
		}
	})
	return out, errors.Join(append(failures, err)...)
}

// connOf returns the connection of a file descriptor, which it takes over.
func connOf(fd int) (net.Conn, error) {
	f := os.NewFile(uintptr(fd), "connection")
	defer func() { _ = f.Close() }()
	return net.FileConn(f)
}
