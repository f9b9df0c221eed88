package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	objectsPath  = "/rosemarygrade/objects/"
	itemsPerPage = 500
)

// store is a stand-in of the platform's metadata store: objects by kind and name, one revision counter, lists and watches.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	objects  map[string]storeObject
	history  []storeObject
	changed  chan struct{}
}

type storeObject struct {
	kind, name string
	revision   uint64
	spec       json.RawMessage
	deleted    bool
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 1, objects: map[string]storeObject{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// set creates or replaces an object. The answer of the store is the acknowledgement, so it returns the time of that.
func (s *store) set(kind, name, spec string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.objects[kind+"/"+name]; !ok || string(old.spec) != spec {
		s.put(storeObject{kind: kind, name: name, spec: json.RawMessage(spec)})
	}
	return time.Now()
}

func (s *store) remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[kind+"/"+name]; ok {
		s.put(storeObject{kind: kind, name: name, deleted: true, spec: json.RawMessage("null")})
	}
	return time.Now()
}

func (s *store) put(o storeObject) {
	s.revision++
	o.revision = s.revision
	if o.deleted {
		delete(s.objects, o.kind+"/"+o.name)
	} else {
		s.objects[o.kind+"/"+o.name] = o
	}
	s.history = append(s.history, o)
	close(s.changed)
	s.changed = make(chan struct{})
}

func encodeObject(o storeObject) map[string]any {
	return map[string]any{
		"metadata": map[string]any{"name": o.name, "revision": o.revision, "created": 1, "finalizers": []string{}, "deleting": false},
		"spec":     o.spec, "status": nil,
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.write(w, r, kind, name)
	case r.Method != http.MethodGet:
		w.WriteHeader(http.StatusNotFound)
	case q.Get("watch") != "":
		s.watch(w, r, kind)
	default:
		s.list(w, kind, q.Get("after"))
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o struct {
		Metadata struct {
			Name string `json:"name"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = o.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, exists := s.objects[kind+"/"+name]
	switch {
	case exists && r.Method == http.MethodPost:
		w.WriteHeader(http.StatusConflict)
		return
	case !exists && r.Method == http.MethodPut:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.put(storeObject{kind: kind, name: name, spec: o.Spec})
	writeJSON(w, encodeObject(s.objects[kind+"/"+name]))
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []storeObject
	for _, o := range s.objects {
		if o.kind == kind && o.name > after {
			found = append(found, o)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].name < found[j].name })
	items := []any{}
	for _, o := range found[:min(len(found), itemsPerPage)] {
		items = append(items, encodeObject(o))
	}
	writeJSON(w, map[string]any{"items": items, "has_more": len(found) > itemsPerPage, "current_rev": s.revision})
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
	for ended := false; ; {
		s.mu.Lock()
		events := []any{}
		for _, o := range s.history {
			if o.kind == kind && o.revision > since {
				events = append(events, map[string]any{"object": encodeObject(o), "deleted": o.deleted})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ended {
			writeJSON(w, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
