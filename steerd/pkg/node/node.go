// Package node holds the state that the packages of steerd share: the store, the member table and
// the process's own member record.
package node

import (
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"rosemarygrade.dev/lib/pkg/member"
	"rosemarygrade.dev/lib/pkg/peerpb"
	"rosemarygrade.dev/lib/pkg/store"
)

// Node is the shared state of one steerd. It is safe for concurrent use.
type Node struct {
	store *store.Store

	mu    sync.Mutex
	self  *peerpb.Member
	table *member.Table
	ready bool
	// loaded means that the platform's objects have been read. Until peerDeadline, the node is not ready by that alone.
	loaded       bool
	peerDeadline time.Time
}

// New returns the node of a process. self gives its host, data centre, region and addresses; a zero
// incarnation is replaced by a random one.
func New(self *peerpb.Member, timeouts member.Timeouts) *Node {
	self = proto.CloneOf(self)
	self.Role = peerpb.Role_ROLE_STEERD
	for self.Incarnation == 0 {
		self.Incarnation = rand.Uint64()
	}
	return &Node{store: store.New(), self: self, table: member.New(self.GetDataCentre(), timeouts)}
}

// Store returns the store of the accepted configuration.
func (n *Node) Store() *store.Store { return n.store }

// Host returns the host's name.
func (n *Node) Host() string { return n.self.GetHost() }

// Region returns the host's region.
func (n *Node) Region() string { return n.self.GetRegion() }

// DataCentre returns the host's data centre.
func (n *Node) DataCentre() string { return n.self.GetDataCentre() }

// PeerAddress returns the address at which peers reach this process.
func (n *Node) PeerAddress() string { return n.self.GetPeerAddress() }

// AwaitPeer makes the node ready only once it has compared its configuration with a ready peer, or at the deadline: after a restart,
// the platform may answer from an older state than the one that the peers have.
func (n *Node) AwaitPeer(deadline time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peerDeadline = deadline
}

// SetLoaded records that the platform's objects have been read.
func (n *Node) SetLoaded() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loaded = true
	n.ready = n.ready || n.peerDeadline.IsZero()
}

// SetReady records that the node has all that a ready peer has.
func (n *Node) SetReady() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ready = true
}

// Ready reports whether a configuration has been loaded.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ready
}

// Leave marks the process as leaving in its own member record, which gossip sends to peers.
func (n *Node) Leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.self.Leaving = true
	n.self.Revision++
}

// Heartbeat increments the sequence number of the process's own member record, updates the record's
// configuration hash, stores it in the member table, removes expired members and returns a copy.
func (n *Node) Heartbeat(now time.Time) *peerpb.Member {
	hash := n.store.Hash()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.peerDeadline.IsZero() && now.After(n.peerDeadline) {
		n.peerDeadline = time.Time{}
		n.ready = n.ready || n.loaded
	}
	n.self.Seq++
	if n.self.GetConfigHash() != hash {
		n.self.ConfigHash = hash
		n.self.Revision++
	}
	n.table.Observe(now, n.self)
	n.table.Expire(now)
	return proto.CloneOf(n.self)
}

// WithTable calls f with the member table while holding the node's lock.
func (n *Node) WithTable(f func(t *member.Table)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(n.table)
}

// Alive returns the members of all data centres that are alive at the time now. The records are
// shared and must not be changed.
func (n *Node) Alive(now time.Time) []*peerpb.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Alive(now)
}

// LocalSteerds returns the steerds of the local data centre that are alive and not leaving at the time now.
func (n *Node) LocalSteerds(now time.Time) []*peerpb.Member {
	n.mu.Lock()
	alive := n.table.LocalAlive(now)
	n.mu.Unlock()
	return steerds(alive, func(*peerpb.Member) bool { return true })
}

// Steerds returns the steerds that are alive and not leaving at the time now and for which keep returns true.
func (n *Node) Steerds(now time.Time, keep func(*peerpb.Member) bool) []*peerpb.Member {
	return steerds(n.Alive(now), keep)
}

func steerds(alive []*peerpb.Member, keep func(*peerpb.Member) bool) []*peerpb.Member {
	var out []*peerpb.Member
	for _, m := range alive {
		if m.GetRole() == peerpb.Role_ROLE_STEERD && !m.GetLeaving() && keep(m) {
			out = append(out, m)
		}
	}
	return out
}
