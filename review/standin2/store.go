package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// listPage is the largest number of objects in one page of a list.
const listPage = 500

// metadata is the metadata of a stored object.
type metadata struct {
	Name            string   `json:"name"`
	Revision        int64    `json:"revision"`
	Created         int64    `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletionPending"`
}

// object is an object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// event is a change of an object.
type event struct {
	Deleted bool   `json:"deleted"`
	Object  object `json:"object"`
	kind    string
}

// store is the platform's metadata store: objects by kind, one revision counter, conditional writes, lists and watches. It keeps its whole
// history.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	history  []event
	changed  chan struct{}
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

// remove deletes an object.
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
	s.record(event{Deleted: true, Object: o, kind: kind})
}

func (s *store) write(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, exists := s.objects[kind][name]
	if exists && bytes.Equal(o.Spec, spec) {
		return o
	}
	s.revision++
	if !exists {
		o = object{Metadata: metadata{Name: name, Created: s.revision, Finalizers: []string{}}, Status: json.RawMessage("null")}
	}
	o.Metadata.Revision, o.Spec = s.revision, spec
	s.objects[kind][name] = o
	s.record(event{Object: o, kind: kind})
	return o
}

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
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, o)
	case r.Method == http.MethodDelete:
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		revision, _ := strconv.ParseInt(r.FormValue("revision"), 10, 64)
		switch {
		case !ok:
			w.WriteHeader(http.StatusNotFound)
		case revision != 0 && revision != o.Metadata.Revision:
			writeJSON(w, http.StatusConflict, o)
		default:
			s.remove(kind, name)
			writeJSON(w, http.StatusOK, o)
		}
	default:
		s.change(w, r, kind)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
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
	for _, name := range names[:min(listPage, len(names))] {
		items = append(items, s.objects[kind][name])
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": len(names) > listPage, "timestamp": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
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
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "timestamp": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "timestamp": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// change serves POST and PUT with their conditions.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Metadata.Name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.objects[kind][o.Metadata.Name]
	switch {
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodPost && exists, exists && o.Metadata.Revision != 0 && o.Metadata.Revision != current.Metadata.Revision:
		writeJSON(w, http.StatusConflict, current)
	default:
		writeJSON(w, http.StatusOK, s.write(kind, o.Metadata.Name, o.Spec))
	}
}
