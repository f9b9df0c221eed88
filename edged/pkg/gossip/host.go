package gossip

import (
	"encoding/binary"
	"math"
	"net/netip"
	"time"
)

// Host is what this host stores about another one.
type Host struct {
	name       string
	address    netip.AddrPort
	dataCentre string
	region     string
	distance   Distance
	// watcherScore is the host's score in the election of watchers.
	watcherScore uint64
	// heard is true once a heartbeat of the host, or a record of one, has arrived.
	heard         bool
	incarnation   int64
	seq           uint64
	lastHeartbeat time.Time
	lastSent      time.Time
	// askedAt is when this host last asked it for a heartbeat, unansweredSince when it first did so after its last heartbeat.
	askedAt, unansweredSince time.Time
	serving                  bool
	store                    storeState
	// reachableSince is since when its heartbeats have said that it reaches the store, unreachableSince since when that it does not.
	reachableSince, unreachableSince time.Time
	// notWatcherUntil is the time up to which the host is not elected as a watcher, because it can't reach the store.
	notWatcherUntil time.Time
	// loggedAlive is the result of the last check for failure; only the change from alive to failed is logged.
	loggedAlive bool
}

// Name returns the host's name, or its IP address if only records of it have arrived.
func (h *Host) Name() string {
	if h.name == "" {
		return h.id()
	}
	return h.name
}

// Address returns the host's IP and port for peers.
func (h *Host) Address() netip.AddrPort { return h.address }

// DataCentre returns the host's data centre.
func (h *Host) DataCentre() string { return h.dataCentre }

// Region returns the region of the host's data centre.
func (h *Host) Region() string { return h.region }

// Serving reports whether the host accepts callers' requests.
func (h *Host) Serving() bool { return h.serving }

// id returns the identifier of the host in elections.
func (h *Host) id() string { return h.address.Addr().String() }

// isNewer reports whether a heartbeat is newer than the last one of the host.
func (h *Host) isNewer(incarnation int64, seq uint64) bool {
	return !h.heard || incarnation > h.incarnation || (incarnation == h.incarnation && seq > h.seq)
}

// update stores the newest heartbeat of the host, of which this host learned at now.
func (h *Host) update(now time.Time, r record, region string, d Distance) {
	if r.Store == storeReachable && (h.store != storeReachable || h.incarnation != r.Incarnation) {
		h.reachableSince = now
	}
	if r.Store == storeUnreachable && h.store != storeUnreachable {
		h.unreachableSince = now
	}
	h.dataCentre, h.region, h.distance, h.heard = r.DataCentre, region, d, true
	h.incarnation, h.seq, h.lastHeartbeat, h.serving, h.store = r.Incarnation, r.Seq, now.Add(-time.Duration(r.Age)*ageUnit), r.Serving, r.Store
	switch r.Store {
	case storeUnreachable:
		h.notWatcherUntil = now.Add(watcherExclusion)
	case storeReachable:
		h.notWatcherUntil = time.Time{}
	case storeNotContacted, storeResigned:
	}
}

// recordQuestion records that this host asks the host for a heartbeat.
func (h *Host) recordQuestion(now time.Time) {
	if !h.lastHeartbeat.Before(h.unansweredSince) {
		h.unansweredSince = now
	}
	h.askedAt = now
}

// isUnresponsive reports whether the host has sent no heartbeat although this host asked for one replyTimeout ago.
func (h *Host) isUnresponsive(now time.Time) bool {
	return h.lastHeartbeat.Before(h.unansweredSince) && now.Sub(h.unansweredSince) >= replyTimeout
}

// record returns the host's newest heartbeat for other hosts.
func (h *Host) record(now time.Time) record {
	age := min(math.MaxUint8, (now.Sub(h.lastHeartbeat)+ageUnit-1)/ageUnit)
	return record{
		IP: packIP(h.address.Addr()), DataCentre: h.dataCentre, Incarnation: h.incarnation, Seq: h.seq, Age: uint8(age),
		Serving: h.serving, Store: h.store,
	}
}

// record returns the part of a heartbeat that is about its sender, without the IP.
func (hb *heartbeat) record() record {
	return record{DataCentre: hb.DataCentre, Incarnation: hb.Incarnation, Seq: hb.Seq, Serving: hb.Serving, Store: hb.Store}
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
