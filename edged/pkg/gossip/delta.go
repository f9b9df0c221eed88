package gossip

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"net/netip"
	"slices"
	"time"

	"rosemarygrade.dev/lib/pkg/fault"
	"rosemarygrade.dev/lib/pkg/plan"
)

const (
	// deltaWindow is how long after its receipt a host of a large fleet sends a delta in its messages.
	deltaWindow = time.Second
	// maxDeltaBytes is the size of the deltas of one message. A change that does not fit is pulled.
	maxDeltaBytes = 8 << 10
	// maxDeltaSends is how many times a host sends a delta to hosts of its data centre. The few that it does not reach pull.
	maxDeltaSends = 2
	// minDeltaCompressBytes is the size from which a delta is compressed.
	minDeltaCompressBytes = 512
	// maxEntriesBytes bounds the uncompressed size of a delta that is received.
	maxEntriesBytes = 4 << 20
)

// delta holds the changes of a topic after the revision Base, up to Revision. Hosts pass it on as they received it.
type delta struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // It makes msgpack encode an array.
	Topic    plan.Topic
	Base     uint64
	Revision uint64
	// AgeMillis is the time since the entries were encoded. Durations in the entries count from then.
	AgeMillis  uint32
	Compressed bool
	// Entries is a JSON array of entries.
	Entries []byte
}

// changes holds the deltas that this host learned last.
type changes struct {
	// announced is the highest revision of each topic for which there was a delta.
	announced map[plan.Topic]uint64
	recent    []recentDelta
}

type recentDelta struct {
	delta
	// encodedAt is when the entries were encoded, receivedAt when this host got the delta.
	encodedAt, receivedAt time.Time
	sends                 int
}

// add stores a delta that is to be sent, and removes those older than deltaWindow.
func (c *changes) add(now time.Time, d delta) {
	c.recent = slices.DeleteFunc(c.recent, func(r recentDelta) bool { return now.Sub(r.receivedAt) > deltaWindow })
	encodedAt := now.Add(-time.Duration(d.AgeMillis) * time.Millisecond)
	c.recent = append(c.recent, recentDelta{delta: d, encodedAt: encodedAt, receivedAt: now})
	c.announced[d.Topic] = max(c.announced[d.Topic], d.Revision)
}

// toSend returns the deltas of the last deltaWindow that are to be sent and fit into a message, the newest ones in order of
// revision, and counts a send of each.
func (c *changes) toSend(now time.Time) []delta {
	var out []delta
	size := 0
	for i := range slices.Backward(c.recent) {
		r := &c.recent[i]
		size += len(r.Entries)
		if r.sends >= maxDeltaSends || size > maxDeltaBytes || len(out) >= maxReceivedDeltas || now.Sub(r.receivedAt) > deltaWindow {
			break
		}
		r.sends++
		d := r.delta
		d.AgeMillis = uint32(now.Sub(r.encodedAt).Milliseconds())
		out = append(out, d)
	}
	slices.SortStableFunc(out, func(a, b delta) int { return int(int64(a.Revision) - int64(b.Revision)) })
	return out
}

// originate makes deltas of the changes that this host, as a watcher of a large fleet, has learned from the store.
func (m *Membership) originate(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	watcher := m.isLargeFleet() && m.isWatcherLocked(now)
	for _, t := range exchangedTopics() {
		base, revision := m.changes.announced[t], m.state.ContentRevision(t)
		if revision <= base {
			continue
		}
		m.changes.announced[t] = revision
		if !watcher || base == 0 {
			continue
		}
		d, ok, err := m.newDelta(now, t, base)
		if err != nil {
			m.log.Error("encoding changes of resources failed", "event", "mesh", "topic", string(t), "error", err)
			continue
		}
		if ok {
			m.changes.add(now, d)
			m.spread.urgent, m.spread.originated = true, true
			m.spread.wholeRegion = now.Sub(m.watcherSince) < takeoverTime
		}
	}
}

// newDelta returns the changes of a topic after a revision, unless they are too many for a message.
func (m *Membership) newDelta(now time.Time, t plan.Topic, base uint64) (delta, bool, error) {
	snap, ok := m.state.Snapshot(t, base)
	if !ok || snap.Full {
		return delta{}, false, nil
	}
	encoded := encodeSnapshot(now, snap)
	if len(encoded.Entries) == 0 {
		return delta{}, false, nil
	}
	// Not fields of the delta: msgpack decodes an array only into a struct with as many fields, and hosts of earlier versions have fewer.
	encoded.Entries[0].Gaps, encoded.Entries[0].Backends = encoded.Gaps, encoded.Backends
	data, err := json.Marshal(encoded.Entries)
	if err != nil {
		return delta{}, false, err
	}
	d := delta{Topic: t, Base: base, Revision: snap.Revision, Entries: data}
	if len(data) >= minDeltaCompressBytes {
		if d.Entries, err = compress(data); err != nil {
			return delta{}, false, err
		}
		d.Compressed = true
	}
	return d, len(d.Entries) <= maxDeltaBytes, nil
}

// entries returns the decoded entries of a delta.
func (d *delta) entries() ([]entry, error) {
	data := d.Entries
	if d.Compressed {
		z, err := gzip.NewReader(bytes.NewReader(data))
		if err != nil {
			return nil, fault.Wrap("decode changes", KindFormat, err)
		}
		if data, err = io.ReadAll(io.LimitReader(z, maxEntriesBytes)); err != nil {
			return nil, fault.Wrap("decode changes", KindFormat, err)
		}
	}
	var out []entry
	if err := json.Unmarshal(data, &out); err != nil {
		return nil, fault.Wrap("decode changes", KindFormat, err)
	}
	return out, nil
}

// receiveDeltas applies the deltas that follow on what this host has, and stores them to pass them on.
func (m *Membership) receiveDeltas(now time.Time, from netip.Addr, list []delta) {
	for _, d := range list {
		if d.Topic == topicSlowStarts {
			if err := m.receiveSlowStarts(now, d); err != nil {
				m.log.Warn("slow starts from a peer ignored: they could not be decoded", "event", "mesh", "from", from, "error", err)
			}
			continue
		}
		if !slices.Contains(exchangedTopics(), d.Topic) {
			continue
		}
		revision, loaded := m.state.Revision(d.Topic)
		if !loaded || revision < d.Base || revision >= d.Revision {
			continue
		}
		entries, err := d.entries()
		if err == nil {
			s := snapshot{Topic: d.Topic, Revision: d.Revision, Entries: entries}
			if len(entries) > 0 {
				s.Gaps, s.Backends = entries[0].Gaps, entries[0].Backends
			}
			origin := plan.Origin{Via: plan.ViaDelta, Peer: from.String(), Age: time.Duration(d.AgeMillis) * time.Millisecond}
			err = m.applySnapshot(now, origin, s)
		}
		if err != nil {
			m.log.Warn("changes from a peer ignored: they could not be decoded", "event", "mesh", "topic", string(d.Topic), "error", err)
			continue
		}
		if revision, _ := m.state.Revision(d.Topic); revision < d.Revision {
			// It was not applied, as something before it is missing here, and so would be where it is passed on.
			continue
		}
		m.mu.Lock()
		m.changes.add(now, d)
		m.spread.urgent = true
		m.mu.Unlock()
	}
}

func compress(data []byte) ([]byte, error) {
	var b bytes.Buffer
	z, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := z.Write(data); err != nil {
		return nil, err
	}
	// Close writes the last bytes, so it must come before b.Bytes.
	if err := z.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}
