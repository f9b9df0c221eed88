package gossip

import (
	"slices"
	"time"

	"rosemarygrade.dev/lib/pkg/plan"
	"rosemarygrade.dev/lib/pkg/rank"
)

const (
	// watcherExclusion is how long a host is not elected as a watcher after it reported that it can't reach the store.
	watcherExclusion = 3 * time.Second
	// maxQuickAttempts is how many hosts of a region take over from each other at once while none reaches the store. The next ones wait for
	// attemptInterval: most likely the store is down for all, and each attempt costs calls.
	maxQuickAttempts = 6
	attemptInterval  = 700 * time.Millisecond
	// minWatchers is how many hosts watch the store when there is only one region.
	minWatchers = 2
	// startupDelay is how long a host that is not a seed waits after its start before it may watch the store. It covers
	// a round trip to a seed and one pull.
	startupDelay = 1200 * time.Millisecond
	// contactDelay is how long a host that is not a seed waits after its start before it may register in the store. By then
	// it knows the others of its data centre.
	contactDelay = 3 * time.Second
	// contactsPerDataCentre is how many hosts of a data centre register in the store.
	contactsPerDataCentre = 3
	watcherRole           = "watcher"
	// bearableSenders is how many elected hosts may send to a backend server in slow start at the whole rate.
	bearableSenders = 2
	// electionTTL is how long the result of an election is used.
	electionTTL = 100 * time.Millisecond
	// steadyReach is how long a host must have reached the store for its peers to conclude that their own outage is local. After an
	// outage of all hosts it is long enough for entries that expired to be back.
	steadyReach = 2200 * time.Millisecond
)

// elections caches the results of IsElectedFor since a time, by the backend server's key.
type elections struct {
	at      time.Time
	holders map[string]bool
}

func (e *elections) clear() { e.at = time.Time{} }

// IsWatcher reports whether this host is one of those that watch the store: the first of each region in rendezvous
// order, and at least minWatchers. A host that can't reach the store is none while another one of its region can, and one that is stopping
// ceases to be one as soon as another host of its region watches the store.
func (m *Membership) IsWatcher(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isWatcherLocked(now)
}

func (m *Membership) isWatcherLocked(now time.Time) bool {
	if m.watcherAt.IsZero() || now.Sub(m.watcherAt) >= electionTTL || now.Before(m.watcherAt) {
		m.setWatcher(now, m.isElectedWatcher(now))
		m.watcherAt = now
	}
	return m.watcher
}

// setWatcher stores the result of the election and closes elected when this host becomes a watcher.
func (m *Membership) setWatcher(now time.Time, on bool) {
	switch {
	case on && !m.watcher:
		close(m.elected)
		m.watcherSince = now
		m.log.Info("this host watches the store from now on", "event", "elected", "hosts", m.alive)
	case !on && m.watcher:
		m.elected = make(chan struct{})
		m.log.Info("this host no longer watches the store", "event", "relieved", "leaving", m.leaving, "reachable", m.store != storeUnreachable)
	}
	m.watcher = on
	if !on && m.store == storeReachable {
		// It no longer calls the store, so it could not tell when an outage begins.
		m.store = storeNotContacted
	}
}

// PeersReachStore reports whether another host has reached the store for steadyReach.
func (m *Membership) PeersReachStore(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(m.sorted, func(h *Host) bool {
		return h.store == storeReachable && m.isAlive(now, h) && now.Sub(h.reachableSince) >= steadyReach
	})
}

// Elected returns a channel that is closed once this host is a watcher. Tick holds the election.
func (m *Membership) Elected() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.elected
}

func (m *Membership) isElectedWatcher(now time.Time) bool {
	if m.leaving && !m.watcher {
		return false
	}
	if now.Sub(m.startedAt) < startupDelay {
		return m.self.Seed
	}
	own := rank.Score(watcherRole, m.self.IP)
	preceding, watchers := 0, minWatchers
	for _, h := range m.sorted {
		otherRegion := h.distance == OtherRegion
		switch {
		case (otherRegion && watchers == 1) || (!otherRegion && !m.precedesAsWatcher(h, own)):
			// It does not change the result.
		case !m.mayWatch(now, h):
		case otherRegion:
			watchers = 1
		default:
			preceding++
		}
	}
	if m.store == storeUnreachable {
		return preceding == 0
	}
	return preceding < watchers && !m.mustWait(now)
}

// mustWait reports whether so many hosts of the region have failed to reach the store, the last one so recently, that this host does not
// begin to watch it yet.
func (m *Membership) mustWait(now time.Time) bool {
	if m.watcher {
		return false
	}
	failed, recent := 0, false
	for _, h := range m.sorted {
		if h.distance != OtherRegion && now.Before(h.notWatcherUntil) {
			failed++
			recent = recent || now.Sub(h.unreachableSince) < attemptInterval
		}
	}
	return recent && failed >= maxQuickAttempts
}

// mayWatch reports whether another host can be elected as a watcher.
func (m *Membership) mayWatch(now time.Time, h *Host) bool {
	return m.isAlive(now, h) && h.store != storeResigned && !now.Before(h.notWatcherUntil) && !h.isUnresponsive(now)
}

// precedesAsWatcher reports whether another host of the region goes before this one, whose score is own. A host that watches the store goes
// on until another one does: one that has just started, or is only believed alive, takes seconds to begin.
func (m *Membership) precedesAsWatcher(h *Host, own uint64) bool {
	switch {
	case m.store == storeUnreachable:
		return true
	case m.leaving:
		return h.store == storeReachable
	case m.watcher:
		return h.watcherScore > own && h.store == storeReachable
	default:
		return h.watcherScore > own
	}
}

// MustRetry reports whether this host did not reach the store last time.
func (m *Membership) MustRetry() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.store == storeUnreachable
}

// IsContact reports whether this host is one of those that register in the store, by which new hosts find the system if
// they can't reach the seeds: the seeds and the first of each data centre in rendezvous order.
func (m *Membership) IsContact(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving {
		return false
	}
	if now.Sub(m.startedAt) < contactDelay || m.self.Seed {
		return m.self.Seed
	}
	own, preceding := rank.Score(watcherRole, m.self.IP), 0
	for _, h := range m.sorted {
		if h.distance == SameDataCentre && h.watcherScore > own && m.isAlive(now, h) {
			preceding++
		}
	}
	return preceding < contactsPerDataCentre
}

// IsElectedFor reports whether this host is the one that sends to a backend server during its slow start: the first in
// rendezvous order among the serving hosts of the backend server's data centre, else of its region, else of all. Hosts that do
// not serve, this one included, come after all that do: a stopping host still gets requests, but the others have chosen another one.
func (m *Membership) IsElectedFor(now time.Time, b *plan.Backend) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := &m.elections
	if e.at.IsZero() || now.Sub(e.at) >= electionTTL || now.Before(e.at) {
		e.at, e.holders = now, map[string]bool{}
	}
	elected, found := e.holders[b.Key()]
	if !found {
		elected = m.isElected(now, b)
		e.holders[b.Key()] = elected
	}
	return elected
}

// SlowStartShare returns the share of a slow-start rate that the elected host may use: 1 where it hears of at least half of the hosts that
// the system has had. Groups of hosts that are cut off from each other elect one each, and a backend server bears two that use all of the
// rate; so a smaller group takes twice its share of the hosts, and all groups together never exceed two.
func (m *Membership) SlowStartShare(now time.Time) float64 {
	live := m.LiveHosts(now)
	return min(1, bearableSenders*float64(live.Alive())/float64(live.Peak()))
}

func (m *Membership) isElected(now time.Time, b *plan.Backend) bool {
	proximity := func(dataCentre, region string) int {
		switch {
		case dataCentre == b.DataCentre():
			return 2
		case region == b.Region():
			return 1
		default:
			return 0
		}
	}
	own, score := proximity(m.self.DataCentre, m.self.Region), rank.Score(b.Key(), m.self.IP)
	for _, h := range m.sorted {
		if (m.serving && !h.serving) || !m.isAlive(now, h) {
			continue
		}
		near := proximity(h.dataCentre, h.region)
		if h.serving != m.serving || near > own || (near == own && rank.Score(b.Key(), h.id()) > score) {
			return false
		}
	}
	return true
}
