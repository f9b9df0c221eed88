// Package relay passes TCP connections on and harms them from outside: it delays, resets, cuts one way and silences.
package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"rosemarygrade.dev/lib/pkg/fault"
)

// Kind is the kind of an error of the package.
type Kind string

// KindListen means that no address could be had.
const KindListen Kind = "listen"

// Error is the error type of the package.
type Error = fault.Error[Kind]

// Harm is what is done to the connections.
type Harm string

// Harms.
const (
	// HarmNone passes all on.
	HarmNone Harm = "none"
	// HarmDelay holds each piece back for a while.
	HarmDelay Harm = "delay"
	// HarmDeafBack passes what callers send and holds what comes back.
	HarmDeafBack Harm = "cut one way"
	// HarmSilent holds both directions, and new connections too.
	HarmSilent Harm = "silent"
)

const (
	// delayBy is longer than a run of a backend server and shorter than callers' patience.
	delayBy = 150 * time.Millisecond
	// heldPoll is how often a held piece looks whether it may go on.
	heldPoll = 10 * time.Millisecond
	pieceMax = 16 << 10
)

// Relay is a listener that passes connections on to an address. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	harm  Harm
	conns map[net.Conn]bool
}

// New starts a relay on a loopback address.
func New(ctx context.Context, to string) (*Relay, error) {
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.Wrap("relay", KindListen, err)
	}
	r := &Relay{listener: l, to: to, harm: HarmNone, conns: map[net.Conn]bool{}}
	go r.accept(ctx)
	return r, nil
}

// Address returns where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetHarm sets what is done from now on.
func (r *Relay) SetHarm(h Harm) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.harm = h
}

// Reset resets all connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			// What is unsent is dropped and the peer gets a reset.
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.Reset()
}

func (r *Relay) present() Harm {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.harm
}

func (r *Relay) accept(ctx context.Context) {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.join(ctx, c)
	}
}

// join joins a connection with one to the address.
func (r *Relay) join(ctx context.Context, near net.Conn) {
	far, err := new(net.Dialer).DialContext(ctx, "tcp", r.to)
	if err != nil {
		_ = near.Close()
		return
	}
	r.track(true, near, far)
	var group sync.WaitGroup
	group.Go(func() { r.pass(far, near, HarmSilent) })
	group.Go(func() { r.pass(near, far, HarmSilent, HarmDeafBack) })
	group.Wait()
	r.track(false, near, far)
}

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

// pass passes bytes on, except under the harms that hold them, and closes both ends when one ends.
func (r *Relay) pass(to io.WriteCloser, from io.ReadCloser, held ...Harm) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buf := make([]byte, pieceMax)
	for {
		n, err := from.Read(buf)
		if r.present() == HarmDelay {
			time.Sleep(delayBy)
		}
		for r.holds(held) {
			time.Sleep(heldPoll)
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (r *Relay) holds(held []Harm) bool {
	h := r.present()
	for _, x := range held {
		if h == x {
			return true
		}
	}
	return false
}
