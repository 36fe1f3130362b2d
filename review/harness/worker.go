package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// plainWorker is a stand-in for a worker of a plain service. It runs slots requests at a time, queues a few more and rejects the rest.
type plainWorker struct {
	id, service, address string
	slots, queue         int
	workTime             time.Duration
	rec                  *record
	// isSpoilt reports whether the worker is faulty now: it then sends some of its rejections once more, late, in the place of the next
	// answer due on the connection.
	isSpoilt func() bool

	mu      sync.Mutex
	running int
	waiting int
	freed   *sync.Cond
	// answers counts the answers while the worker is faulty, repeated those that it sends once more.
	answers  int
	repeated int
	runs     map[string]int
}

// start serves connections of l.
func (w *plainWorker) start(l net.Listener) {
	w.address = l.Addr().String()
	w.freed = sync.NewCond(&w.mu)
	w.runs = map[string]int{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(conn)
		}
	}()
}

// entry returns what the worker writes to the store about itself.
func (w *plainWorker) entry() map[string]any {
	return map[string]any{"service": w.service, "address": w.address, "zone": "hall-a", "slots": w.slots, "state": "ready", "version": "v1", "coldLeftMs": 0, "seqNo": 0}
}

// serve answers the requests of one connection in turn.
func (w *plainWorker) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	late := ""
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(req.Body); err != nil {
			return
		}
		id := req.Header.Get("Attempt-Id")
		if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id)
			continue
		}
		answer := ""
		if begun := w.begin(id); begun {
			if late != "" {
				w.rec.add("worker %s sends a late second answer in the place of the answer to %s: %s", w.id, id, strings.ReplaceAll(late, "\r\n", " | "))
				_, _ = io.WriteString(conn, late)
				late = ""
			}
			time.Sleep(time.Duration(float64(w.workTime) * (0.5 + rand.Float64())))
			w.end()
			body := "answer of " + w.id + " to " + id
			answer = fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: %s.%s\r\nContent-Length: %d\r\n\r\n%s", id, w.id, id, len(body), body)
		} else {
			answer = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			w.rec.add("worker %s rejects %s: full", w.id, id)
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if w.chooseRepeat(strings.Contains(answer, "Not-Executed")) {
			late = answer
		}
	}
}

// begin waits for a free slot and begins to run a request. It returns false if the queue is full.
func (w *plainWorker) begin(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running >= w.slots && w.waiting >= w.queue {
		return false
	}
	for w.running >= w.slots {
		w.waiting++
		w.freed.Wait()
		w.waiting--
	}
	w.running++
	w.runs[id]++
	w.rec.add("worker %s runs %s", w.id, id)
	return true
}

func (w *plainWorker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
	w.freed.Signal()
}

// chooseRepeat counts an answer and reports whether it is sent once more. All repeated answers are rejections, and they are at most
// spoiltShare of the answers.
func (w *plainWorker) chooseRepeat(isRejection bool) bool {
	if w.isSpoilt == nil || !w.isSpoilt() {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers++
	if !isRejection || float64(w.repeated+1) > spoiltShare*float64(w.answers) {
		return false
	}
	w.repeated++
	return true
}

// runsOf returns how often the worker has run a request.
func (w *plainWorker) runsOf(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}
