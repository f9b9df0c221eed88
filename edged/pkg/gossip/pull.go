package gossip

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"rosemarygrade.dev/edged/pkg/watch"
	"rosemarygrade.dev/lib/pkg/fault"
	"rosemarygrade.dev/lib/pkg/plan"
)

// Limits of pulls.
const (
	// pullTimeout covers the transfer of a large configuration over a link of 10 Mbit/s that several pulls share.
	pullTimeout = 2 * time.Second
	// maxConcurrentPulls is how many pulls a host serves at the same time. Rejected peers can pull from those that were
	// served.
	maxConcurrentPulls = 4
	// minCompressBytes is the size from which a response is compressed: for a smaller one, compression costs more than
	// it saves.
	minCompressBytes = 32 << 10
	maxPullBytes     = 64 << 20
	// PathState is the HTTP path at which a host serves its resources to peers.
	PathState = "/state"
)

// entry is the JSON form of a resource, or of its removal, between hosts.
type entry struct {
	Name            string            `json:"name"`
	Revision        uint64            `json:"revision"`
	Config          *plan.ConfigSpec  `json:"config,omitempty"`
	Backend         *plan.BackendSpec `json:"backend,omitempty"`
	SlowStartMillis int64             `json:"coldMillis,omitempty"`
	Member          *plan.Member      `json:"member,omitempty"`
	Drained         bool              `json:"drained,omitempty"`
	Unreadable      bool              `json:"unreadable,omitempty"`
	Gone            bool              `json:"gone,omitempty"`
}

// snapshot is the JSON form of a watch.Snapshot.
type snapshot struct {
	Topic    plan.Topic `json:"topic"`
	Revision uint64     `json:"revision"`
	Full     bool       `json:"full,omitempty"`
	Entries  []entry    `json:"entries"`
}

// Handler returns a handler of the pulls of other hosts. A pull gives the puller's revision of each topic as a query
// parameter; the response is a JSON array of snapshots, or 503 while maxConcurrentPulls others are being served.
func (m *Membership) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathState, func(w http.ResponseWriter, r *http.Request) {
		have := map[plan.Topic]uint64{}
		for _, t := range plan.Topics() {
			if n, err := strconv.ParseUint(r.URL.Query().Get(string(t)), 10, 64); err == nil {
				have[t] = n
			}
		}
		select {
		case m.pullSlots <- struct{}{}:
			defer func() { <-m.pullSlots }()
		default:
			// The peer can pull from one of the hosts that are being served now.
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		m.respond(w, r.URL.RawQuery, have)
	})
	return mux
}

// respond sends the resources that are newer than the revisions in have. After a change many peers send the same
// query, so the last response is cached.
func (m *Membership) respond(w http.ResponseWriter, query string, have map[plan.Topic]uint64) {
	key := query
	for _, t := range plan.Topics() {
		key += "/" + strconv.FormatUint(m.state.ContentRevision(t), 10)
	}
	m.cached.Lock()
	defer m.cached.Unlock()
	if m.cached.key != key {
		data, compressed, err := m.encodeChanges(have)
		if err != nil {
			m.log.Error("encoding the response to a pull failed", "event", "mesh", "error", err)
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		m.cached.key, m.cached.data, m.cached.compressed = key, data, compressed
	}
	w.Header().Set("Content-Type", "application/json")
	if m.cached.compressed {
		w.Header().Set("Content-Encoding", "gzip")
	}
	if _, err := w.Write(m.cached.data); err != nil {
		m.log.Debug("sending the response to a pull failed", "event", "mesh", "error", err)
	}
}

// cachedResponse is the last response to a pull. Its key is the query and the content revision of each topic.
type cachedResponse struct {
	sync.Mutex
	key        string
	data       []byte
	compressed bool
}

// encodeChanges encodes the resources that are newer than the revisions in have, compressed from minCompressBytes on.
func (m *Membership) encodeChanges(have map[plan.Topic]uint64) (data []byte, compressed bool, err error) {
	now := time.Now()
	newer := m.state.Snapshots(have)
	out := make([]snapshot, 0, len(newer))
	for _, s := range newer {
		out = append(out, encodeSnapshot(now, s))
	}
	if data, err = json.Marshal(out); err != nil || len(data) < minCompressBytes {
		return data, false, err
	}
	var b bytes.Buffer
	z, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, false, err
	}
	if _, err := z.Write(data); err != nil {
		return nil, false, err
	}
	// Close writes the last bytes, so it must come before b.Bytes.
	if err := z.Close(); err != nil {
		return nil, false, err
	}
	return b.Bytes(), true, nil
}

// encodeSnapshot encodes the end of a slow start as the time left at now, because the clocks of hosts differ.
func encodeSnapshot(now time.Time, s watch.Snapshot) snapshot {
	out := snapshot{Topic: s.Topic, Revision: s.Revision, Full: s.Full}
	for _, c := range s.Changes {
		e := entry{Name: c.Name, Revision: c.Revision}
		switch item := c.Resource.(type) {
		case *plan.Config:
			spec := item.Spec()
			e.Config = &spec
		case plan.BackendSpec:
			e.Backend = &item
			if left := item.SlowStartUntil.Sub(now); left > 0 {
				e.SlowStartMillis = left.Milliseconds()
			}
		case plan.Member:
			e.Member = &item
		case plan.Drained:
			e.Drained = true
		case plan.Removed:
			e.Gone = true
		case plan.Unreadable:
			e.Unreadable = true
		}
		out.Entries = append(out.Entries, e)
	}
	return out
}

func decodeSnapshot(now time.Time, s snapshot) (watch.Snapshot, error) {
	out := watch.Snapshot{Topic: s.Topic, Revision: s.Revision, Full: s.Full}
	for _, e := range s.Entries {
		c := plan.Change{Name: e.Name, Revision: e.Revision}
		switch {
		case e.Config != nil:
			config, err := plan.NewConfig(*e.Config)
			if err != nil {
				return out, fault.Wrap("pull", KindFormat, err)
			}
			c.Resource = config
		case e.Backend != nil:
			spec := *e.Backend
			spec.SlowStartUntil = time.Time{}
			if e.SlowStartMillis > 0 {
				spec.SlowStartUntil = now.Add(time.Duration(e.SlowStartMillis) * time.Millisecond)
			}
			c.Resource = spec
		case e.Member != nil:
			c.Resource = *e.Member
		case e.Gone:
			c.Resource = plan.Removed{}
		case e.Drained:
			c.Resource = plan.Drained{}
		default:
			c.Resource = plan.Unreadable{Err: fault.New("pull", KindFormat, "the peer could not decode the resource")}
		}
		out.Changes = append(out.Changes, c)
	}
	return out, nil
}

// pull fetches from a peer the resources that are newer there.
func (m *Membership) pull(ctx context.Context, address string) {
	if err := m.pullFrom(ctx, address); err != nil {
		m.log.Warn("pulling resources from a peer failed", "event", "pull", "peer", address, "error", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.pulling, address)
}

func (m *Membership) pullFrom(ctx context.Context, address string) error {
	q := url.Values{}
	for _, t := range plan.Topics() {
		rev, loaded := m.state.Revision(t)
		if !loaded {
			rev = 0
		}
		q.Set(string(t), strconv.FormatUint(rev, 10))
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathState+"?"+q.Encode(), nil)
	if err != nil {
		return fault.Wrap("pull", KindPeer, err)
	}
	resp, err := m.client.Do(r)
	if err != nil {
		return fault.Wrap("pull", KindPeer, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fault.New("pull", KindPeer, resp.Status)
	}
	var snapshots []snapshot
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxPullBytes)).Decode(&snapshots); err != nil {
		return fault.Wrap("pull", KindFormat, err)
	}
	now := time.Now()
	for _, s := range snapshots {
		snap, err := decodeSnapshot(now, s)
		if err != nil {
			return err
		}
		m.state.ApplySnapshot(now, snap)
	}
	return nil
}
