package fakeplatform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/objects"
)

// Handler returns the HTTP API of s. It implements the protocol of objects.Client, and POST /faults, POST /boxes and
// GET /counts for tests.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{kind}/{name}", s.handleGet)
	mux.HandleFunc("PUT /objects/{kind}/{name}", s.handlePut)
	mux.HandleFunc("DELETE /objects/{kind}/{name}", s.handleDelete)
	mux.HandleFunc("GET /objects", s.handleList)
	mux.HandleFunc("GET /watch", s.handleWatch)
	mux.HandleFunc("GET /boxes", s.handleBoxes)
	mux.HandleFunc("POST /boxes", s.handleSetBoxes)
	mux.HandleFunc("POST /faults", s.handleFaults)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		httpx.WriteJSON(w, http.StatusOK, s.Counts())
	})
	return mux
}

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	o, err := s.Get(r.Context(), r.PathValue("kind"), r.PathValue("name"))
	writeResponse(w, o, err)
}

func (s *Store) handleList(w http.ResponseWriter, r *http.Request) {
	c, err := s.List(r.Context(), requestedKinds(r), r.FormValue("after"))
	writeResponse(w, c, err)
}

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.FormValue("from"), 10, 64)
	wait, _ := time.ParseDuration(r.FormValue("wait"))
	c, err := s.Watch(r.Context(), requestedKinds(r), objects.Position(from), wait)
	writeResponse(w, c, err)
}

func (s *Store) handlePut(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(io.LimitReader(r.Body, objects.MaxValueBytes+1))
	if err != nil || len(b) > objects.MaxValueBytes {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	expect, _ := strconv.ParseInt(r.FormValue("expect"), 10, 64)
	v, err := s.Put(r.Context(), r.PathValue("kind"), r.PathValue("name"), objects.Position(expect), b)
	writeResponse(w, objects.Object{Version: v}, err)
}

func (s *Store) handleDelete(w http.ResponseWriter, r *http.Request) {
	expect, _ := strconv.ParseInt(r.FormValue("expect"), 10, 64)
	err := s.Delete(r.Context(), r.PathValue("kind"), r.PathValue("name"), objects.Position(expect))
	writeResponse(w, struct{}{}, err)
}

func (s *Store) handleBoxes(w http.ResponseWriter, r *http.Request) {
	boxes, err := s.Boxes(r.Context())
	writeResponse(w, boxes, err)
}

func (s *Store) handleSetBoxes(w http.ResponseWriter, r *http.Request) {
	var boxes []objects.Box
	if err := json.NewDecoder(r.Body).Decode(&boxes); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetBoxes(boxes)
}

func (s *Store) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

// requestedKinds returns the kinds of objects that a request is limited to. It returns nil if the request is for all kinds.
func requestedKinds(r *http.Request) []string {
	if r.FormValue("kinds") == "" {
		return nil
	}
	return strings.Split(r.FormValue("kinds"), ",")
}

// writeResponse writes v as JSON, or the status that objects.Client expects for err.
func writeResponse(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		httpx.WriteJSON(w, http.StatusOK, v)
	case errors.Is(err, objects.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, objects.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, objects.ErrGone):
		http.Error(w, err.Error(), http.StatusGone)
	case errors.Is(err, objects.ErrOutcomeUnknown):
		// Close the connection to simulate a response that is lost in the network.
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
