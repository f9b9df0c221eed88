package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	objectsPath = "/rosemarygrade/objects/"
	// storeLatency is the time of an answer that SYSTEM.md states.
	storeLatency = 4 * time.Millisecond
	maxItems     = 500
)

// metadata is the part of an object that the store keeps itself.
type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// store is a stand-in of the platform's metadata store: lists, watches, conditional writes. It keeps all history.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []event
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// serve starts the store on a free loopback port and returns its address.
func (s *store) serve() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, s) }()
	return l.Addr().String(), nil
}

// put creates or replaces an object and returns its revision. A put that changes nothing makes no revision.
func (s *store) put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, data)
}

func (s *store) write(kind, name string, spec json.RawMessage) uint64 {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	old, found := s.objects[kind][name]
	if found && string(old.Spec) == string(spec) {
		return old.Metadata.Revision
	}
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision, Created: s.revision}, Spec: spec}
	if found {
		o.Metadata.Created = old.Metadata.Created
	}
	s.objects[kind][name] = o
	s.record(event{kind: kind, Object: o})
	return s.revision
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.objects[kind][name]
	if !found {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.record(event{kind: kind, Object: o, Deleted: true})
}

func (s *store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	switch q := r.URL.Query(); {
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.handleWrite(w, r, kind, name)
	case r.Method != http.MethodGet:
		w.WriteHeader(http.StatusMethodNotAllowed)
	case name != "":
		s.handleGet(w, kind, name)
	case q.Get("watch") != "":
		s.handleWatch(w, r, kind)
	default:
		s.handleList(w, kind, q.Get("after"))
	}
}

func (s *store) handleWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = o.Metadata.Name
	}
	s.mu.Lock()
	old, found := s.objects[kind][name]
	conflict := (found && r.Method == http.MethodPost) || (found && o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision)
	missing := !found && r.Method == http.MethodPut
	if !conflict && !missing {
		s.write(kind, name, o.Spec)
		old = s.objects[kind][name]
	}
	s.mu.Unlock()
	switch {
	case conflict:
		w.WriteHeader(http.StatusConflict)
	case missing:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(old)
}

func (s *store) handleGet(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, found := s.objects[kind][name]
	s.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, o)
}

func (s *store) handleList(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	names := make([]string, 0, len(s.objects[kind]))
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > maxItems
	items := make([]object, 0, len(names))
	for _, name := range names[:min(len(names), maxItems)] {
		items = append(items, s.objects[kind][name])
	}
	revision := s.revision
	s.mu.Unlock()
	writeJSON(w, map[string]any{"items": items, "has_more": more, "current_rev": revision})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Revision > since {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if over || len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
