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
	// pullWait is longer than a large configuration takes on a link of 10 Mbit/s that several share.
	pullWait = 2 * time.Second
	// servesAtMost is how many peers are answered at once: those that are served pass it on.
	servesAtMost = 4
	// packFrom is from how many bytes an answer is packed: below it costs more than it saves.
	packFrom  = 32 << 10
	maxPulled = 64 << 20
	// PathState is where hosts answer with what they know.
	PathState = "/state"
)

// entry is a declaration between hosts.
type entry struct {
	Name       string            `json:"name"`
	Revision   uint64            `json:"revision"`
	Config     *plan.ConfigSpec  `json:"config,omitempty"`
	Backend    *plan.BackendSpec `json:"backend,omitempty"`
	ColdMillis int64             `json:"coldMillis,omitempty"`
	Member     *plan.Member      `json:"member,omitempty"`
	Drained    bool              `json:"drained,omitempty"`
	Unreadable bool              `json:"unreadable,omitempty"`
	Gone       bool              `json:"gone,omitempty"`
}

type snapshot struct {
	Topic    plan.Topic `json:"topic"`
	Revision uint64     `json:"revision"`
	Full     bool       `json:"full,omitempty"`
	Entries  []entry    `json:"entries"`
}

// Handler answers pulls of other hosts.
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
		case m.serves <- struct{}{}:
			defer func() { <-m.serves }()
		default:
			// Those that are served now pass it on.
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		m.answer(w, r.URL.RawQuery, have)
	})
	return mux
}

// answer sends what a peer does not have. Many peers ask for the same after a change, so it is kept for them.
func (m *Membership) answer(w http.ResponseWriter, query string, have map[plan.Topic]uint64) {
	key := query
	for _, t := range plan.Topics() {
		key += "/" + strconv.FormatUint(m.state.Content(t), 10)
	}
	m.kept.Lock()
	defer m.kept.Unlock()
	if m.kept.key != key {
		data, packed, err := m.encodeState(have)
		if err != nil {
			m.log.Error("state not encoded", "event", "mesh", "error", err)
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		m.kept.key, m.kept.data, m.kept.packed = key, data, packed
	}
	w.Header().Set("Content-Type", "application/json")
	if m.kept.packed {
		w.Header().Set("Content-Encoding", "gzip")
	}
	if _, err := w.Write(m.kept.data); err != nil {
		m.log.Debug("state not sent", "event", "mesh", "error", err)
	}
}

// keptAnswer is the last answer to a pull.
type keptAnswer struct {
	sync.Mutex
	key    string
	data   []byte
	packed bool
}

// encodeState encodes what a peer does not have, packed where it is long.
func (m *Membership) encodeState(have map[plan.Topic]uint64) (data []byte, packed bool, err error) {
	now := time.Now()
	known := m.state.Snapshots(have)
	out := make([]snapshot, 0, len(known))
	for _, s := range known {
		out = append(out, pack(now, s))
	}
	if data, err = json.Marshal(out); err != nil || len(data) < packFrom {
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
	// The last bytes are written by Close.
	if err := z.Close(); err != nil {
		return nil, false, err
	}
	return b.Bytes(), true, nil
}

func pack(now time.Time, s watch.Snapshot) snapshot {
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
				e.ColdMillis = left.Milliseconds()
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

func unpack(now time.Time, s snapshot) (watch.Snapshot, error) {
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
			if e.ColdMillis > 0 {
				spec.SlowStartUntil = now.Add(time.Duration(e.ColdMillis) * time.Millisecond)
			}
			c.Resource = spec
		case e.Member != nil:
			c.Resource = *e.Member
		case e.Gone:
			c.Resource = plan.Removed{}
		case e.Drained:
			c.Resource = plan.Drained{}
		default:
			c.Resource = plan.Unreadable{Err: fault.New("pull", KindFormat, "unreadable at the peer")}
		}
		out.Changes = append(out.Changes, c)
	}
	return out, nil
}

// pull takes from a peer what it knows better.
func (m *Membership) pull(ctx context.Context, address string) {
	if err := m.pullFrom(ctx, address); err != nil {
		m.log.Warn("pull failed", "event", "pull", "peer", address, "error", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.pulling, address)
}

func (m *Membership) pullFrom(ctx context.Context, address string) error {
	q := url.Values{}
	for _, t := range plan.Topics() {
		rev, known := m.state.Revision(t)
		if !known {
			rev = 0
		}
		q.Set(string(t), strconv.FormatUint(rev, 10))
	}
	ctx, cancel := context.WithTimeout(ctx, pullWait)
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
	var got []snapshot
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxPulled)).Decode(&got); err != nil {
		return fault.Wrap("pull", KindFormat, err)
	}
	now := time.Now()
	for _, s := range got {
		l, err := unpack(now, s)
		if err != nil {
			return err
		}
		m.state.Take(now, l)
	}
	return nil
}
