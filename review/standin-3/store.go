package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	objectsPath = "/rosemarygrade/objects/"
	// storeDelay is how long an answer of the store takes.
	storeDelay   = 4 * time.Millisecond
	itemsPerPage = 500
)

type object struct {
	kind, name string
	revision   uint64
	spec       json.RawMessage
	deleted    bool
}

// store stands in for the platform's store: it lists, watches, creates and replaces objects.
type store struct {
	mu       sync.Mutex
	changed  chan struct{}
	objects  map[string]object
	history  []object
	revision uint64
}

func newStore() *store {
	return &store{changed: make(chan struct{}), objects: map[string]object{}, revision: 1}
}

// put writes an object and returns its revision. The write is acknowledged when put returns.
func (s *store) put(kind, name, spec string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.putLocked(object{kind: kind, name: name, spec: json.RawMessage(spec)})
}

func (s *store) putLocked(o object) uint64 {
	s.revision++
	o.revision = s.revision
	s.objects[o.kind+"/"+o.name] = o
	s.history = append(s.history, o)
	close(s.changed)
	s.changed = make(chan struct{})
	return o.revision
}

func encode(o object) string {
	name, _ := json.Marshal(o.name)
	return fmt.Sprintf(`{"metadata":{"name":%s,"revision":%d},"spec":%s}`, name, o.revision, o.spec)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.write(w, r, kind, name)
	case q.Get("watch") != "":
		s.watch(w, r, kind)
	default:
		s.list(w, kind, q.Get("after"))
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body struct {
		Metadata struct {
			Name string `json:"name"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = body.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind+"/"+name]
	if exists && r.Method == http.MethodPost {
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, encode(old))
		return
	}
	if !exists || string(old.spec) != string(body.Spec) {
		s.putLocked(object{kind: kind, name: name, spec: body.Spec})
	}
	_, _ = io.WriteString(w, encode(s.objects[kind+"/"+name]))
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []object
	for _, o := range s.objects {
		if o.kind == kind && o.name > after {
			found = append(found, o)
		}
	}
	slices.SortFunc(found, func(a, b object) int { return strings.Compare(a.name, b.name) })
	more := len(found) > itemsPerPage
	var items []string
	for _, o := range found[:min(len(found), itemsPerPage)] {
		items = append(items, encode(o))
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"items":[%s],"has_more":%t,"current_rev":%d}`, strings.Join(items, ","), more, s.revision)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		var events []string
		for _, o := range s.history {
			if o.kind == kind && o.revision > since {
				events = append(events, fmt.Sprintf(`{"object":%s,"deleted":%t}`, encode(o), o.deleted))
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		over := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timer.C:
				over = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || over {
			w.Header().Set("Content-Type", "application/json")
			_, _ = fmt.Fprintf(w, `{"events":[%s],"current_rev":%d}`, strings.Join(events, ","), revision)
			return
		}
	}
}
