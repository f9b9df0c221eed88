// Package node holds the state that the parts of a steerd share.
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

// Node is safe for concurrent use.
type Node struct {
	store *store.Store

	mu    sync.Mutex
	self  *peerpb.Member
	table *member.Table
	ready bool
}

// New returns the node of a process. Self carries its host, place and addresses.
func New(self *peerpb.Member, timing member.Timeouts) *Node {
	self = proto.CloneOf(self)
	self.Role = peerpb.Role_ROLE_STEERD
	for self.Incarnation == 0 {
		self.Incarnation = rand.Uint64()
	}
	return &Node{store: store.New(), self: self, table: member.New(self.GetDataCentre(), timing)}
}

// Store returns the accepted configuration.
func (n *Node) Store() *store.Store { return n.store }

// Host returns the host's name.
func (n *Node) Host() string { return n.self.GetHost() }

// Region returns the host's region.
func (n *Node) Region() string { return n.self.GetRegion() }

// DataCentre returns the host's data centre.
func (n *Node) DataCentre() string { return n.self.GetDataCentre() }

// PeerAddress returns the address at which peers reach this process.
func (n *Node) PeerAddress() string { return n.self.GetPeerAddress() }

// SetReady says that a configuration has been loaded.
func (n *Node) SetReady() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ready = true
}

// Ready tells whether a configuration has been loaded.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ready
}

// Leave says that the process is about to stop.
func (n *Node) Leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.self.Leaving = true
	n.self.Revision++
}

// Tick advances what the process says of itself and returns it.
func (n *Node) Tick(now time.Time) *peerpb.Member {
	hash := n.store.Hash()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.self.Seq++
	if n.self.GetConfigHash() != hash {
		n.self.ConfigHash = hash
		n.self.Revision++
	}
	n.table.Observe(now, n.self)
	n.table.Expire(now)
	return proto.CloneOf(n.self)
}

// With runs f with the member table under the node's lock.
func (n *Node) With(f func(t *member.Table)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(n.table)
}

// Live returns every live member. The records are shared: callers do not change them.
func (n *Node) Live(now time.Time) []*peerpb.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Live(now)
}

// LocalSteerds returns the live steerds of the own data centre.
func (n *Node) LocalSteerds(now time.Time) []*peerpb.Member {
	n.mu.Lock()
	live := n.table.LocalLive(now)
	n.mu.Unlock()
	return steerds(live, func(*peerpb.Member) bool { return true })
}

// Steerds returns the live steerds that keep returns true for.
func (n *Node) Steerds(now time.Time, keep func(*peerpb.Member) bool) []*peerpb.Member {
	return steerds(n.Live(now), keep)
}

func steerds(live []*peerpb.Member, keep func(*peerpb.Member) bool) []*peerpb.Member {
	var out []*peerpb.Member
	for _, m := range live {
		if m.GetRole() == peerpb.Role_ROLE_STEERD && !m.GetLeaving() && keep(m) {
			out = append(out, m)
		}
	}
	return out
}
