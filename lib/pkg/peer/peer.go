// Package peer manages the gRPC connections between the system's own processes.
package peer

import (
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"rosemarygrade.dev/lib/pkg/fault"
)

// Kind is the kind of an error of the package.
type Kind string

// KindAddress means that the address is invalid.
const KindAddress Kind = "address"

// Error is the error type of the package.
type Error = fault.Error[Kind]

// Limits and timeouts of a connection.
const (
	windowBytes         = 4 << 20
	maxMessageBytes     = 16 << 20
	keepaliveTime       = 10 * time.Second
	keepaliveTimeout    = 3 * time.Second
	minClientKeepalive  = 5 * time.Second
	reconnectBaseDelay  = 100 * time.Millisecond
	reconnectMaxDelay   = 2 * time.Second
	reconnectMultiplier = 1.6
	reconnectJitter     = 0.2
	connectTimeout      = 2 * time.Second
)

// Pool holds one connection for each address and class. Calls of different classes use separate connections, so
// that long responses do not delay short ones. It is safe for concurrent use.
type Pool struct {
	traffic Traffic
	mu      sync.Mutex
	conns   map[poolKey]*grpc.ClientConn
}

type poolKey struct {
	address string
	class   string
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{conns: map[poolKey]*grpc.ClientConn{}} }

// Traffic returns the byte counts of the pool's connections and of the servers from NewServer.
func (p *Pool) Traffic() *Traffic { return &p.traffic }

// Conn returns the connection of the class to an address, which connects on its first call.
func (p *Pool) Conn(address, class string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := poolKey{address: address, class: class}
	if c := p.conns[key]; c != nil {
		return c, nil
	}
	c, err := grpc.NewClient("passthrough:///"+address, p.dialOptions()...)
	if err != nil {
		return nil, fault.Wrap("connect", KindAddress, err)
	}
	p.conns[key] = c
	return c, nil
}

func (p *Pool) dialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(),
		grpc.WithStatsHandler(trafficHandler{&p.traffic}),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectBaseDelay, Multiplier: reconnectMultiplier, Jitter: reconnectJitter, MaxDelay: reconnectMaxDelay},
			MinConnectTimeout: connectTimeout,
		}),
	}
}

// CloseExcept closes the connections to all addresses that are not in the set.
func (p *Pool) CloseExcept(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, c := range p.conns {
		if !addresses[k.address] {
			_ = c.Close()
			delete(p.conns, k)
		}
	}
}

// Close closes all connections.
func (p *Pool) Close() { p.CloseExcept(nil) }

// NewServer returns a gRPC server with limits that match those of the pool's connections. Its bytes are added to
// the pool's Traffic.
func (p *Pool) NewServer() *grpc.Server {
	return grpc.NewServer(
		grpc.StatsHandler(trafficHandler{&p.traffic}),
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minClientKeepalive, PermitWithoutStream: true}),
	)
}
