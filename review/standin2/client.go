package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Traffic of the sheet: 79 streams a second, with 2 tokens an event and at most 261 events.
const (
	streamsPerSecond = 79
	fewestPieces     = 35
	mostPieces       = 261
	clientDeadline   = 15 * time.Second
)

// traffic is what clients send and see.
type traffic struct {
	d      *deployment
	http   *http.Client
	count  atomic.Int64
	mu     sync.Mutex
	counts map[string]int
	// broken lists the answers that break the rule.
	broken []string
}

func newTraffic(d *deployment) *traffic {
	transport := &http.Transport{MaxIdleConnsPerHost: 200, DisableCompression: true, IdleConnTimeout: 10 * time.Second}
	return &traffic{d: d, http: &http.Client{Transport: transport}, counts: map[string]int{}}
}

// run sends streams to boxes by chance for the given time, and waits for their ends.
func (t *traffic) run(length time.Duration, usable func() []*box) {
	tick := time.NewTicker(time.Second / streamsPerSecond)
	defer tick.Stop()
	var open sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); <-tick.C {
		boxes := usable()
		b := boxes[rand.IntN(len(boxes))]
		open.Go(func() { t.stream(b) })
	}
	open.Wait()
}

// stream sends one request and judges its answer.
func (t *traffic) stream(b *box) {
	number := t.count.Add(1)
	id := fmt.Sprintf("%016x", rand.Uint64())
	pieces := fewestPieces + rand.IntN(mostPieces-fewestPieces+1)
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.ip+":"+strconv.Itoa(frontPort)+streamPath+strconv.FormatInt(number, 10), strings.NewReader(strings.Repeat("x", 2900)))
	if err != nil {
		panic(err)
	}
	req.Host = routeHost
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Model-Name", modelName)
	req.Header.Set("Token-Count", fmt.Sprintf("1460,%d", pieces*tokensPerEvent))
	req.Header.Set("Prompt-Prefix", fmt.Sprintf("%x:350,%s:1110", number%37+1, id))
	req.Header.Set("Deadline-Ms", strconv.FormatInt(clientDeadline.Milliseconds(), 10))
	t.d.rec.logf("%s sent to %s, %d events due", id, b.name, pieces)
	resp, err := t.http.Do(req)
	if err != nil {
		t.record(id, "no answer", err.Error())
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		t.record(id, "status "+strconv.Itoa(resp.StatusCode), resp.Header.Get("Server-Seal"))
		return
	}
	seen, err := readPieces(resp.Body, id, pieces)
	seal := resp.Header.Get("Server-Seal")
	switch {
	case errors.Is(err, errWrongPiece):
		t.recordBroken(id, fmt.Sprintf("wrong bytes after event %d of %d, seal %s: %v", seen, pieces, seal, err))
	case err != nil:
		t.record(id, "cut", fmt.Sprintf("after event %d of %d, seal %s: %v", seen, pieces, seal, err))
	case seen < pieces || seal == "":
		t.recordBroken(id, fmt.Sprintf("the stream ended as complete after event %d of %d, seal %s, from %s, %s", seen, pieces, seal, b.name, t.d.sinceEnd(seal)))
	default:
		t.record(id, "whole", "")
	}
}

// errWrongPiece means that a stream holds something else than the next event.
var errWrongPiece = errors.New("not the next event")

// readPieces reads the events of a stream until it ends. The error is nil if the answer is complete as HTTP has it.
func readPieces(body io.Reader, id string, last int) (seen int, err error) {
	in := bufio.NewReader(body)
	for {
		want := pieceEvent(id, seen+1, last)
		got := make([]byte, len(want))
		n, err := io.ReadFull(in, got)
		switch {
		case errors.Is(err, io.EOF) && n == 0:
			return seen, nil
		case err != nil:
			return seen, err
		case string(got) != want:
			return seen, fmt.Errorf("%w: %q", errWrongPiece, got)
		}
		seen++
	}
}

func (t *traffic) record(id, outcome, detail string) {
	t.mu.Lock()
	t.counts[outcome]++
	t.mu.Unlock()
	t.d.rec.logf("%s %s %s", id, outcome, detail)
}

func (t *traffic) recordBroken(id, what string) {
	t.mu.Lock()
	t.counts["BROKEN"]++
	t.broken = append(t.broken, id+": "+what)
	t.mu.Unlock()
	t.d.rec.logf("%s BROKEN: %s", id, what)
}
