package gossip

import (
	"slices"
	"time"

	"rosemarygrade.dev/lib/pkg/rank"
)

// In a large fleet, heartbeats time out later than a change of the configuration must be active. The standbys, which come first in the
// election of a region's watcher, therefore ask a silent watcher for a heartbeat and take over if it does not reply.
const (
	// standbyHosts is how many hosts of a region are standbys. Many hosts may fail together with the watcher.
	standbyHosts = 8
	// firstStandbys is how many of them ask a watcher whose newest heartbeat has the age watcherSilence; the others, which are needed only
	// if these fail too, ask at furtherSilence.
	firstStandbys  = 2
	watcherSilence = 500 * time.Millisecond
	furtherSilence = time.Second
	// replyTimeout is how long after the first question without a reply a host is not elected as a watcher. It covers three questions.
	replyTimeout = 600 * time.Millisecond
	// takeoverTime is how long after its election a watcher sends changes to all hosts of its region directly: they are late already, and
	// of the hosts that would pass them on many may have failed with the watcher before.
	takeoverTime = 2 * time.Second
)

// standbyDelay returns the age of a watcher's newest heartbeat from which this host asks it for a new one, and reports whether this host is
// a standby.
func (m *Membership) standbyDelay(now time.Time) (time.Duration, bool) {
	if m.watcher || m.leaving {
		return 0, false
	}
	own, preceding := rank.Score(watcherRole, m.self.IP), 0
	for _, h := range m.sorted {
		if h.region == m.self.Region && h.watcherScore > own && m.isAlive(now, h) {
			preceding++
		}
	}
	if preceding <= firstStandbys {
		return watcherSilence, true
	}
	return furtherSilence, preceding <= standbyHosts
}

// askWatchers asks the region's watchers for a heartbeat if this host is a standby and has not heard of any lately. If there is none or
// none replies, it also asks the hosts that precede this one, as they may have failed with it.
func (m *Membership) askWatchers(now time.Time, hb *heartbeat) {
	delay, standby := m.standbyDelay(now)
	if !standby {
		return
	}
	own, unanswered := rank.Score(watcherRole, m.self.IP), true
	var watchers, preceding []*Host
	for _, h := range m.sorted {
		silent := now.Sub(h.lastHeartbeat) >= delay
		switch {
		case h.region != m.self.Region || !m.isAlive(now, h):
		case h.store == storeReachable && !silent:
			return
		case h.store == storeReachable:
			watchers = append(watchers, h)
			unanswered = unanswered && h.lastHeartbeat.Before(h.unansweredSince)
		case silent && h.watcherScore > own && m.mayWatch(now, h):
			preceding = append(preceding, h)
		}
	}
	if unanswered {
		watchers = append(watchers, preceding...)
	}
	m.ask(now, hb, slices.DeleteFunc(watchers, func(h *Host) bool { return !due(now, h.askedAt, askInterval) }))
}

// notifyStandbys reports to the standbys at once if this host has begun or ceased to watch the store.
func (m *Membership) notifyStandbys(now time.Time, hb *heartbeat) {
	if !m.spread.notifyStandbys {
		return
	}
	m.spread.notifyStandbys = false
	m.sendBare(now, hb, m.firstWatchers(now, standbyHosts))
}
