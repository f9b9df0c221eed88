// Package relay relays TCP connections and injects network faults: delay, reset, and holding back bytes of one or both
// directions.
package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"rosemarygrade.dev/lib/pkg/fault"
)

// Kind is the kind of an error of the package.
type Kind string

// KindListen means that the relay could not listen on a loopback port.
const KindListen Kind = "listen"

// Error is the error type of the package.
type Error = fault.Error[Kind]

// Fault is a network fault that applies to all connections of a relay. Its value is part of a fault's name in reports.
type Fault string

// Faults.
const (
	// FaultNone forwards all bytes unchanged.
	FaultNone Fault = "none"
	// FaultDelay delays each chunk in both directions by chunkDelay.
	FaultDelay Fault = "delay"
	// FaultHoldResponses forwards bytes to the target and holds back those from it.
	FaultHoldResponses Fault = "cut one way"
	// FaultBlackhole holds back bytes in both directions.
	FaultBlackhole Fault = "silent"
)

const (
	// chunkDelay is longer than a backend server takes for a request and shorter than a caller's timeout.
	chunkDelay = 150 * time.Millisecond
	// holdPollInterval is how often a connection with a held chunk checks whether the fault has ended.
	holdPollInterval = 10 * time.Millisecond
	chunkBytes       = 16 << 10
)

// Relay listens on a loopback address and forwards each connection to a target address. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault Fault
	conns map[net.Conn]bool
}

// New starts a relay to the target, an IP:port, on a loopback port. Its errors are of KindListen.
func New(ctx context.Context, target string) (*Relay, error) {
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.Wrap("relay", KindListen, err)
	}
	r := &Relay{listener: l, target: target, fault: FaultNone, conns: map[net.Conn]bool{}}
	go r.accept(ctx)
	return r, nil
}

// Address returns the IP:port that the relay listens at.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetFault sets the fault for current and later connections.
func (r *Relay) SetFault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

// Reset resets all connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		resetOnClose(c)
		_ = c.Close()
	}
}

// resetOnClose makes Close discard unsent bytes and send a TCP reset to the peer.
func resetOnClose(c any) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// Close stops listening and resets all connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.Reset()
}

func (r *Relay) currentFault() Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault
}

func (r *Relay) accept(ctx context.Context) {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.proxy(ctx, c)
	}
}

// proxy forwards between an accepted connection and a new one to the target until one of them ends.
func (r *Relay) proxy(ctx context.Context, client net.Conn) {
	server, err := new(net.Dialer).DialContext(ctx, "tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	r.track(true, client, server)
	var group sync.WaitGroup
	group.Go(func() { r.forward(server, client, FaultBlackhole) })
	group.Go(func() { r.forward(client, server, FaultBlackhole, FaultHoldResponses) })
	group.Wait()
	r.track(false, client, server)
}

// track adds connections to those that Reset closes; with on false it removes and closes them.
func (r *Relay) track(on bool, conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		if on {
			r.conns[c] = true
			continue
		}
		delete(r.conns, c)
		_ = c.Close()
	}
}

// forward copies bytes from one connection to the other, and closes both when one ends; a reset of the one resets the
// other. It holds bytes back while the relay's fault is one of those in held.
func (r *Relay) forward(to io.WriteCloser, from io.ReadCloser, held ...Fault) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		if r.currentFault() == FaultDelay {
			time.Sleep(chunkDelay)
		}
		for r.holding(held) {
			time.Sleep(holdPollInterval)
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if errors.Is(err, syscall.ECONNRESET) {
			resetOnClose(to)
		}
		if err != nil {
			return
		}
	}
}

func (r *Relay) holding(held []Fault) bool {
	current := r.currentFault()
	for _, f := range held {
		if current == f {
			return true
		}
	}
	return false
}
