package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// workerConfig is the configuration of a worker process.
type workerConfig struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	// UnframedEach makes each n-th answer one without a length or chunks, zero none.
	UnframedEach int `json:"unframed_each"`
	// EventMs is the time between two events of a stream.
	EventMs int `json:"event_ms"`
	// Slots is the number of requests that the worker runs at once.
	Slots int `json:"slots"`
}

// worker is a sound model worker: it runs requests for the base model that it holds, and takes no orders that change it.
type worker struct {
	cfg workerConfig

	mu      sync.Mutex
	active  int
	answers int
}

// runWorker serves until the process is killed.
func runWorker(text string) error {
	w := &worker{}
	if err := json.Unmarshal([]byte(text), &w.cfg); err != nil {
		return err
	}
	l, err := net.Listen("tcp", w.cfg.Address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	return server.Serve(l)
}

// begin takes a slot. It returns false if none is free.
func (w *worker) begin() (unframed, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.active >= w.cfg.Slots {
		return false, false
	}
	w.active++
	w.answers++
	return w.cfg.UnframedEach > 0 && w.answers%w.cfg.UnframedEach == 0, true
}

func (w *worker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active--
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if id != "" {
		rw.Header().Set("Attempt-Id", id)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.cfg.ID {
		rw.Header().Set("Instance-Id", w.cfg.ID)
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		rw.Header().Set("Instance-Id", w.cfg.ID)
	case "/v1/report":
		w.report(rw)
	case "/v1/order":
		// The worker holds the model already.
		rw.WriteHeader(http.StatusOK)
	default:
		w.run(rw, r, id)
	}
}

func (w *worker) report(rw http.ResponseWriter) {
	w.mu.Lock()
	active := w.active
	w.mu.Unlock()
	writeJSON(rw, http.StatusOK, map[string]any{
		"stage": "combined", "models": []any{modelEntry()}, "utilization": false, "seqNo": 0, "queued": 0, "active": active, "kvUsed": active * 1500,
		"kvTotal": kvCapacity, "handles": 0,
	})
}

// pieceEvent returns one event of a stream.
func pieceEvent(id string, number, last int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d/%d\n\n", number, id, number, last)
}

// run streams the answer: as many events as half of the tokens that the request may produce.
func (w *worker) run(rw http.ResponseWriter, r *http.Request, id string) {
	unframed, ok := w.begin()
	if !ok {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.end()
	// Unread bytes would make the kernel reset the connection when it is closed.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	_, out, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	tokens, _ := strconv.Atoi(out)
	pieces := max(1, tokens/tokensPerEvent)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: %s.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, w.cfg.ID, id)
	rw.Header().Set("Server-Seal", w.cfg.ID+"."+id)
	rw.Header().Set("Content-Type", "text/event-stream")
	write := func(text string) error {
		if _, err := rw.Write([]byte(text)); err != nil {
			return err
		}
		return http.NewResponseController(rw).Flush()
	}
	if unframed {
		conn, _, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		write = func(text string) error {
			_, err := conn.Write([]byte(text))
			return err
		}
		if write(head) != nil {
			return
		}
	}
	for number := 1; number <= pieces; number++ {
		time.Sleep(time.Duration(w.cfg.EventMs) * time.Millisecond)
		if write(pieceEvent(id, number, pieces)) != nil {
			return
		}
	}
}
