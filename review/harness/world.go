package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"
)

// serviceHost is the host that clients name.
const serviceHost = "ficu95.example"

// world holds the stand-ins and the boxes of one run.
type world struct {
	rec     *record
	dir     string
	prefix  string
	store   *store
	server  *http.Server
	boxes   []*box
	storeIP string
}

// newWorld starts the store. All addresses are loopback addresses that only this run uses.
func newWorld(rec *record) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, dir: dir, prefix: fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), 1+rand.IntN(250)), store: newStore()}
	l, err := w.listen(200, 0)
	if err != nil {
		return w, err
	}
	w.storeIP = l.Addr().String()
	w.server = &http.Server{Handler: w.store, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = w.server.Serve(l) }()
	return w, nil
}

// listen listens at an address of the run.
func (w *world) listen(host, port int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("%s.%d:%d", w.prefix, host, port))
}

// startBoxes starts n boxes and waits until all are ready.
func (w *world) startBoxes(ctx context.Context, n int) error {
	for i := range n {
		b, err := newBox(w.dir, w.storeIP, fmt.Sprintf("edge-%d", i+1), fmt.Sprintf("%s.%d", w.prefix, i+1), []string{"hall-a", "hall-b", "hall-c"}[i%3])
		if err != nil {
			return err
		}
		w.boxes = append(w.boxes, b)
		if err := b.start(); err != nil {
			return err
		}
		w.rec.add("box %s started at %s", b.name, b.ip)
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, b := range w.boxes {
			if b.isReady(ctx) {
				ready++
			}
		}
		if ready == n {
			w.rec.add("all boxes are ready")
			return nil
		}
	}
	return fmt.Errorf("boxes are not ready, see %s", w.dir)
}

// close ends all processes and stand-ins. It keeps the logs of the boxes if keepLogs is set.
func (w *world) close(keepLogs bool) {
	for _, b := range w.boxes {
		b.stop()
	}
	if w.server != nil {
		_ = w.server.Close()
	}
	if !keepLogs {
		_ = os.RemoveAll(w.dir)
	}
}
