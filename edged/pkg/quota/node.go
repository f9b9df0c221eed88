package quota

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// outgoing is a message to a host.
type outgoing struct {
	to      netip.Addr
	message message
}

// Counts are numbers since the start of the process.
type Counts struct{ granted, asked, lost, reserve, refused int64 }

// Granted returns the number of credits that this host granted as coordinator.
func (c Counts) Granted() int64 { return c.granted }

// Asked returns the number of requests to coordinators.
func (c Counts) Asked() int64 { return c.asked }

// Lost returns the number of these that were not answered in time, or not by a coordinator.
func (c Counts) Lost() int64 { return c.lost }

// Reserve returns the number of requests that were allowed from this host's own share.
func (c Counts) Reserve() int64 { return c.reserve }

// Refused returns the number of requests over quota.
func (c Counts) Refused() int64 { return c.refused }

// Node decides on the requests of organisations on one host, as requester of credits and as coordinator. It is not safe for
// concurrent use.
type Node struct {
	self       netip.Addr
	dataCentre string
	random     *rand.Rand
	seq        uint64
	// startedAt is when the process started, or went on after it was suspended.
	startedAt time.Duration

	view View
	// viewAt is when the view was set, peakAt when its Peak changed, settledAt when this host began to trust it; 0 if it does not.
	viewAt, peakAt, settledAt time.Duration
	// lostAt is when the number of hosts that are alive last became lower; 0 means never.
	lostAt time.Duration
	// members maps each data centre to its hosts, this one included; elected caches the results of elect.
	members    map[string][]netip.Addr
	elected    map[string]elected
	topologies []topology

	accounts map[string]*account
	// ordered holds the accounts in order of their creation.
	ordered []*account
	buckets map[string]*grants
	out     []outgoing
	changes []change
	counts  Counts
}

// change tells that the coordinator of an organisation no longer responds, or does again.
type change struct {
	organisation string
	coordinator  netip.Addr
	lost         bool
}

// NewNode returns the node of a host that has just started. The seed must differ between the processes of a host.
func NewNode(now time.Duration, self netip.Addr, dataCentre string, seed uint64) *Node {
	n := &Node{
		self: self, dataCentre: dataCentre, random: rand.New(rand.NewPCG(seed, uint64(packIP(self)))), seq: seed, startedAt: now, peakAt: now,
		accounts: map[string]*account{}, buckets: map[string]*grants{},
	}
	n.SetView(now, View{})
	return n
}

// Counts returns the counts since the start.
func (n *Node) Counts() Counts { return n.counts }

func (n *Node) nextSeq() uint64 {
	n.seq++
	return n.seq
}

// receive handles a message of another host.
func (n *Node) receive(now time.Duration, from netip.Addr, m *message) {
	switch m.Kind {
	case kindRequest:
		n.out = append(n.out, outgoing{to: from, message: n.grant(now, from, m)})
	case kindAnswer:
		if a := n.accounts[m.Organisation]; a != nil && a.ask != nil && a.ask.to == from {
			n.receiveAnswer(now, a, m)
		}
	}
}

// Tick sends requests again, ends waits, and forgets organisations without demand. It returns when it must be called again, or 0 if
// that is not before the next view.
func (n *Node) Tick(now time.Duration) time.Duration {
	var next time.Duration
	for _, a := range n.ordered {
		if due := n.tickAccount(now, a); due != 0 && (next == 0 || due < next) {
			next = due
		}
	}
	n.ordered = slices.DeleteFunc(n.ordered, func(a *account) bool {
		if !a.idle(now) {
			return false
		}
		delete(n.accounts, a.organisation)
		return true
	})
	for organisation, g := range n.buckets {
		if now-g.usedAt > bucketIdleTime {
			delete(n.buckets, organisation)
		}
	}
	return next
}

// Cancel ends the wait of a request whose caller has left. If it has its result already, the credit is given back.
func (n *Node) Cancel(now time.Duration, organisation string, w *Waiting) Result {
	if a := n.accounts[organisation]; a != nil {
		a.waiting = slices.DeleteFunc(a.waiting, func(x *Waiting) bool { return x == w })
	}
	select {
	case r := <-w.done:
		if allowed, ok := r.(Allowed); ok {
			n.Return(now, organisation, allowed)
		}
	default:
	}
	return Refused{retryAfter: minWait}
}

// flush returns the messages to send and the changes to log.
func (n *Node) flush() ([]outgoing, []change) {
	out, changes := n.out, n.changes
	n.out, n.changes = nil, nil
	return out, changes
}

func packIP(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

func unpackIP(ip uint32) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], ip)
	return netip.AddrFrom4(b)
}
