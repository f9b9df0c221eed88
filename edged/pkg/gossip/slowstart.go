package gossip

import (
	"encoding/json"
	"slices"
	"time"

	"rosemarygrade.dev/lib/pkg/fault"
	"rosemarygrade.dev/lib/pkg/plan"
)

// topicSlowStarts is the topic of deltas with slow starts. It is none of the store: such deltas have no revision, and are not passed on.
// Hosts of earlier versions skip deltas of topics that they do not know.
const topicSlowStarts plan.Topic = "slowStarts"

// Bounds of such a delta that is received: the size of its entries, and the time that one may name.
const (
	maxSlowStartBytes = 4 << 10
	maxSlowStart      = time.Hour
)

// slowStart is a backend server that is in slow start by its own response to a host without news of the store.
type slowStart struct {
	// Key is the backend server's key.
	Key             string `json:"key"`
	RemainingMillis int64  `json:"remainingMillis"`
}

// HasStoreNews reports whether this host or one that it believes alive reaches the store, so that changes there become known to this host.
// Shortly after its start, a host takes it for granted.
func (m *Membership) HasStoreNews(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.store == storeReachable || now.Sub(m.startedAt) < contactDelay {
		return true
	}
	return slices.ContainsFunc(m.sorted, func(h *Host) bool { return h.store == storeReachable && m.isAlive(now, h) })
}

// SendSlowStart tells all hosts for how much longer a backend server is in slow start, also those that this host has not heard of lately: in
// a large fleet, these are most of the hosts of other data centres.
func (m *Membership) SendSlowStart(now time.Time, b *plan.Backend, remaining time.Duration) {
	data, err := json.Marshal([]slowStart{{Key: b.Key(), RemainingMillis: remaining.Milliseconds()}})
	if err != nil {
		m.log.Error("encoding a slow start failed", "event", "mesh", "backend", b.ID(), "error", err)
		return
	}
	m.mu.Lock()
	defer m.unlockAndSend()
	hb := m.newReply()
	hb.Deltas = []delta{{Topic: topicSlowStarts, Entries: data}}
	if !m.isLargeFleet() {
		// In a small fleet, each heartbeat replaces what the receiver knows of this host's load.
		hb.Load = m.lastLoad
	}
	msg := m.encode(hb)
	for _, h := range m.sorted {
		if h.heard {
			m.send(now, h, msg)
		}
	}
}

// receiveSlowStarts passes the slow starts that another host found to the table.
func (m *Membership) receiveSlowStarts(now time.Time, d delta) error {
	if len(d.Entries) > maxSlowStartBytes {
		return fault.New("decode slow starts", KindFormat, "too long")
	}
	var list []slowStart
	if err := json.Unmarshal(d.Entries, &list); err != nil {
		return fault.Wrap("decode slow starts", KindFormat, err)
	}
	v := m.state.View()
	for _, s := range list {
		if b := v.ByKey(s.Key); b != nil {
			m.table.ReceiveSlowStart(now, b, time.Duration(min(max(0, s.RemainingMillis), maxSlowStart.Milliseconds()))*time.Millisecond)
		}
	}
	return nil
}
