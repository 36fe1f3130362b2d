package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// spoiltShare is the part of their answers that faulty workers send twice. They do so for spoiltFor out of every spoiltEvery.
	spoiltShare = 0.03
	spoiltFor   = 5 * time.Second
	spoiltEvery = 10 * time.Second
	// faultyWorkers of lookupWorkers are faulty.
	lookupWorkers = 5
	faultyWorkers = 3
	// clumpSize requests come together every clumpInterval.
	clumpSize     = 20
	clumpInterval = 250 * time.Millisecond
	playTime      = 45 * time.Second
)

// playLateRejection has workers that reject requests while they are full, as they do on any busy day. For five seconds out of ten,
// three of the five workers send up to three in a hundred of their answers once more, late, in the place of the next answer due on the
// connection.
func playLateRejection(ctx context.Context, w *world, trouble bool) (verdict, error) {
	var workers []*plainWorker
	began := time.Now()
	isSpoilt := func() bool { return trouble && time.Since(began)%spoiltEvery >= spoiltEvery-spoiltFor }
	for i := range lookupWorkers {
		l, err := w.listen(100+i, 8500)
		if err != nil {
			return verdict{}, err
		}
		p := &plainWorker{id: fmt.Sprintf("i-lookup-%d", i+1), service: "lot-lookup", slots: 2, queue: 2, workTime: 30 * time.Millisecond, rec: w.rec}
		if i < faultyWorkers {
			p.isSpoilt = isSpoilt
		}
		p.start(l)
		w.store.put("servers", p.id, p.entry())
		workers = append(workers, p)
	}
	w.store.put("config", "main", map[string]any{
		"version": 3,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
		"routes": []map[string]any{
			{"name": "lot-note", "host": serviceHost, "pathPrefix": "/puxa403/", "routeKind": "unsafe", "timeoutMs": 800, "objectiveMs": 150, "attempts": 1, "priority": 2, "service": "lot-lookup"},
			{"name": "title-extract", "host": serviceHost, "pathPrefix": "/cufi504/", "routeKind": "safe", "timeoutMs": 800, "objectiveMs": 150, "attempts": 2, "priority": 2, "service": "lot-lookup"},
		},
		"services": []map[string]any{{"name": "lot-lookup", "maxConns": 100}},
	})
	if err := w.startBoxes(ctx, 3); err != nil {
		return verdict{}, err
	}
	began = time.Now()
	c := newClient(w.rec)
	var mu sync.Mutex
	answers := map[string]answer{}
	var group sync.WaitGroup
	for time.Since(began) < playTime {
		for i := range clumpSize {
			group.Go(func() {
				id, b := newID(), w.boxes[rand.IntN(len(w.boxes))]
				if i%3 == 2 {
					c.call(ctx, b, "GET", "/cufi504/2f", id, "", 1500*time.Millisecond, nil)
					return
				}
				a := c.call(ctx, b, "POST", "/puxa403/2f", id, "note "+id, 1500*time.Millisecond, nil)
				mu.Lock()
				defer mu.Unlock()
				answers[id] = a
			})
		}
		time.Sleep(clumpInterval)
	}
	group.Wait()
	time.Sleep(500 * time.Millisecond)
	return checkOnce(w.rec, workers, answers), nil
}

// checkOnce checks that no request that must not be repeated has run twice, and that none which has run was refused.
func checkOnce(rec *record, workers []*plainWorker, answers map[string]answer) verdict {
	var v verdict
	total, ok := 0, 0
	for id, a := range answers {
		runs := 0
		for _, p := range workers {
			runs += p.runsOf(id)
		}
		total++
		if a.err == nil && a.status == 200 {
			ok++
		}
		if runs > 1 {
			v.broken = append(v.broken, fmt.Sprintf("TWICE: unsafe request %s ran %d times", id, runs))
		}
		refused := a.err == nil && a.seal == "" && (a.status == 408 || a.status == 421 || a.status == 429 || a.status == 503)
		if refused && runs > 0 {
			v.broken = append(v.broken, fmt.Sprintf("REFUSED: unsafe request %s ran, its client got %d", id, a.status))
		}
	}
	for _, p := range workers {
		rec.add("worker %s gave %d answers while it was faulty and repeated %d of them", p.id, p.answers, p.repeated)
	}
	rec.add("%d unsafe requests, %d answered with 200", total, ok)
	return v
}
