package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: objects by kind and name, conditional writes, lists and watches.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	history  []event
	changed  chan struct{}
}

type metadata struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
}

func newStore() *store {
	return &store{objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put writes an object without a condition, as the operator and the workers do.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, raw)
}

// remove deletes an object without a condition.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.objects[kind], name)
	s.record(event{Object: o, Deleted: true, kind: kind})
}

// write stores a new revision of an object. The caller holds mu.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	old, exists := s.objects[kind][name]
	if exists && string(old.Spec) == string(spec) {
		return old
	}
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision, Created: s.revision}, Spec: spec}
	if exists {
		o.Metadata.Created = old.Metadata.Created
	}
	s.objects[kind][name] = o
	s.record(event{Object: o, kind: kind})
	return o
}

// record appends to the history and wakes the watches. The caller holds mu.
func (s *store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.FormValue("watch") != "":
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.serveList(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		defer s.mu.Unlock()
		o, ok := s.objects[kind][name]
		reply(w, o, ok)
	case r.Method == http.MethodDelete:
		s.mu.Lock()
		_, ok := s.objects[kind][name]
		s.mu.Unlock()
		s.remove(kind, name)
		reply(w, struct{}{}, ok)
	default:
		s.serveWrite(w, r, kind)
	}
}

// reply sends v, or status 404 if it was not found.
func reply(w http.ResponseWriter, v any, found bool) {
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// maxListItems is the largest number of objects in one answer to a list call.
const maxListItems = 500

func (s *store) serveList(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		if name > r.FormValue("after") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	items := []object{}
	for _, name := range names[:min(maxListItems, len(names))] {
		items = append(items, s.objects[kind][name])
	}
	reply(w, map[string]any{"items": items, "hasMore": len(names) > maxListItems, "timestamp": s.revision}, true)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.FormValue("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, revision := s.changed, s.revision
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Revision > from {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if from > revision {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "timestamp": revision}, true)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, map[string]any{"events": events, "timestamp": revision}, true)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.objects[kind][o.Metadata.Name]
	switch {
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
		return
	case r.Method == http.MethodPost && exists, exists && o.Metadata.Revision != 0 && o.Metadata.Revision != current.Metadata.Revision:
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(current)
		return
	}
	reply(w, s.write(kind, o.Metadata.Name, o.Spec), true)
}
