package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// streamWorkers serve the streams. While they are upgraded in place, one at a time is down for downTime, and the next one follows
	// upgradeInterval after the one before.
	streamWorkers   = 6
	downTime        = 800 * time.Millisecond
	upgradeInterval = time.Second
	// streamEvents and eventInterval are those of each stream.
	streamEvents  = 20
	eventInterval = 100 * time.Millisecond
	// openStreams callers keep a stream open all the time.
	openStreams = 30
	upgradeTime = 40 * time.Second
	// maxMixedStreams is the largest number of streams that may hold events of two versions.
	maxMixedStreams = 2
)

// streamWorker is a stand-in for a worker that streams. It keeps its id when it restarts.
type streamWorker struct {
	id, address string
	rec         *record
	store       *store

	mu      sync.Mutex
	version string
	server  *http.Server
}

// start begins an incarnation of the worker, which listens and then writes its entry at once.
func (w *streamWorker) start(version string) error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.address = l.Addr().String()
	server := &http.Server{Handler: w.handler(version), ReadHeaderTimeout: 5 * time.Second}
	w.mu.Lock()
	w.version, w.server = version, server
	w.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	w.store.put("servers", w.id, map[string]any{
		"service": "stream-app", "address": w.address, "zone": "hall-a", "slots": 64, "state": "ready", "version": version, "coldLeftMs": 0, "seqNo": 0, "born": time.Now().UnixMilli(),
	})
	w.rec.add("worker %s starts with version %s", w.id, version)
	return nil
}

// crash ends the incarnation: it closes the listener and all connections.
func (w *streamWorker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rec.add("worker %s crashes", w.id)
	_ = w.server.Close()
}

func (w *streamWorker) handler(version string) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
			rw.Header().Set("Instance-Id", w.id)
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		id := r.Header.Get("Attempt-Id")
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		w.rec.add("worker %s of version %s runs %s after event %d", w.id, version, id, from)
		rw.Header().Set("Attempt-Id", id)
		rw.Header().Set("Server-Seal", w.id+"."+id)
		rw.Header().Set("Content-Type", "text/event-stream")
		for i := from + 1; i <= streamEvents; i++ {
			if _, err := fmt.Fprintf(rw, "id: %d\ndata: piece %d by %s\n\n", i, i, version); err != nil {
				return
			}
			_ = http.NewResponseController(rw).Flush()
			time.Sleep(eventInterval)
		}
	})
}

// streamCaller is a caller that takes its stream up again when it breaks off.
type streamCaller struct {
	rec   *record
	boxes []*box
	http  *http.Client
}

// play plays one stream and returns the versions whose events it holds, and whether it is whole.
func (c *streamCaller) play(ctx context.Context) (versions []string, whole bool) {
	const maxTries = 6
	last, first := 0, ""
	for range maxTries {
		id, b := newID(), c.boxes[rand.IntN(len(c.boxes))]
		before := last
		last, versions = c.try(ctx, b, id, first, last, versions)
		if first == "" && last > before {
			first = id
		}
		if last == streamEvents {
			return versions, true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return versions, false
}

// try sends one attempt and reads its events.
func (c *streamCaller) try(ctx context.Context, b *box, id, resumes string, last int, versions []string) (int, []string) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d/strm310/2f", b.ip, frontPort), onceBody{strings.NewReader("pack " + id)})
	if err != nil {
		return last, versions
	}
	req.Host = serviceHost
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", "10000")
	if last > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(last))
		req.Header.Set("Resumes", resumes)
	}
	c.rec.add("client sends %s to %s, resumes %q after event %d", id, b.name, resumes, last)
	resp, err := c.http.Do(req)
	if err != nil {
		c.rec.add("client gets no answer to %s: %v", id, err)
		return last, versions
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		c.rec.add("client gets %d to %s, code %q", resp.StatusCode, id, resp.Header.Get("Bellgap-Code"))
		return last, versions
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		var n int
		var version string
		if count, _ := fmt.Sscanf(lines.Text(), "data: piece %d by %s", &n, &version); count != 2 {
			continue
		}
		last = n
		if len(versions) == 0 || versions[len(versions)-1] != version {
			versions = append(versions, version)
		}
	}
	c.rec.add("client has events up to %d of %s, signature %q, versions %v", last, id, resp.Header.Get("Server-Seal"), versions)
	return last, versions
}

// playUpgrade has six workers of one software version. With trouble, they are upgraded in place, one after the other: each crashes and is
// back 0.8 s later under its id and address, with the next version. The next upgrade follows when all have the same version again.
func playUpgrade(ctx context.Context, w *world, trouble bool) (verdict, error) {
	var workers []*streamWorker
	for i := range streamWorkers {
		s := &streamWorker{id: fmt.Sprintf("i-stream-%d", i+1), address: fmt.Sprintf("%s.%d:8500", w.prefix, 100+i), rec: w.rec, store: w.store}
		if err := s.start("v1"); err != nil {
			return verdict{}, err
		}
		workers = append(workers, s)
	}
	w.store.put("config", "main", map[string]any{
		"version": 3,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
		"routes": []map[string]any{{
			"name": "pack", "host": serviceHost, "pathPrefix": "/strm310/", "routeKind": "streaming", "timeoutMs": 10000, "objectiveMs": 1000, "attempts": 2, "priority": 1,
			"service": "stream-app", "resumable": true, "gapObjectiveMs": 250,
		}},
		"services": []map[string]any{{"name": "stream-app", "maxConns": 300}},
	})
	if err := w.startBoxes(ctx, 3); err != nil {
		return verdict{}, err
	}
	caller := &streamCaller{rec: w.rec, boxes: w.boxes, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}}}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := time.Now()
	var mu sync.Mutex
	streams, whole, mixed := 0, 0, 0
	var callers sync.WaitGroup
	for range openStreams {
		callers.Go(func() {
			time.Sleep(rand.N(streamEvents * eventInterval))
			for time.Since(began) < upgradeTime {
				versions, isWhole := caller.play(ctx)
				mu.Lock()
				streams++
				if isWhole {
					whole++
				}
				if len(versions) > 1 {
					mixed++
				}
				mu.Unlock()
			}
		})
	}
	if trouble {
		if err := upgradeInPlace(workers, began); err != nil {
			return verdict{}, err
		}
	}
	callers.Wait()
	w.rec.add("%d streams, %d whole, %d with events of two versions", streams, whole, mixed)
	fmt.Printf("%d streams, %d whole, %d with events of two versions\n", streams, whole, mixed)
	if mixed > maxMixedStreams {
		return verdict{broken: []string{fmt.Sprintf("ORDER: %d streams hold events of two software versions, %d may", mixed, maxMixedStreams)}}, nil
	}
	return verdict{}, nil
}

// upgradeInPlace restarts the workers in turn until shortly before the end of the play.
func upgradeInPlace(workers []*streamWorker, began time.Time) error {
	for i := 0; time.Since(began) < upgradeTime-5*time.Second; i++ {
		n := i % len(workers)
		workers[n].crash()
		time.Sleep(downTime)
		if err := workers[n].start(fmt.Sprintf("v%d", 2+i/len(workers))); err != nil {
			return err
		}
		time.Sleep(upgradeInterval - downTime)
	}
	return nil
}
