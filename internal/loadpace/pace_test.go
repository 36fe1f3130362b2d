package loadpace_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/loadpace"
)

// TestLimitAdapts checks the limit after loads that use the limit and take the given times in ms, one after another.
func TestLimitAdapts(t *testing.T) {
	repeat := func(n, ms int) []int {
		times := make([]int, n)
		for i := range times {
			times[i] = ms
		}
		return times
	}
	for _, tt := range []struct {
		name    string
		times   []int
		want    int
		ignored int64
	}{
		{"start", nil, 1, 0},
		{"six loads at full speed", repeat(6, 288), 2, 0},
		{"loads at full speed", repeat(60, 288), 4, 0},
		{"a slow load", append(repeat(60, 288), 720), 2, 0},
		{"slow loads", append(repeat(60, 288), repeat(5, 720)...), 1, 0},
		{"a quarter slower for all engines at the limit of 1", append(repeat(60, 288), repeat(5, 360)...), 4, 0},
		{"invalid durations", append(repeat(60, 288), 0, -5, 60_001), 4, 3},
		// The store has become slower for good: the minimum of 288 ms must not keep the limit at 1.
		{"stale minimum", append(repeat(60, 288), repeat(100, 720)...), 4, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			p, now := loadpace.New(loadpace.Config{Min: 1, Max: 4}), time.Unix(1000, 0)
			for _, ms := range tt.times {
				took := time.Duration(ms) * time.Millisecond
				now = now.Add(max(0, took))
				p.Record(now, loadpace.Sample{Took: took, Concurrent: p.Limit()})
			}
			c.Check(p.Limit(), qt.Equals, tt.want)
			c.Check(p.Ignored(), qt.Equals, tt.ignored)
			p.Reset()
			c.Check(p.Limit(), qt.Equals, 1)
		})
	}
}

// TestUnusedLimitDoesNotGrow guards against a limit that grows while the engine loads one adapter at a time and is too high when a burst
// of loads begins.
func TestUnusedLimitDoesNotGrow(t *testing.T) {
	c := qt.New(t)
	p, now := loadpace.New(loadpace.Config{Min: 1, Max: 4}), time.Unix(1000, 0)
	for range 60 {
		now = now.Add(time.Second)
		p.Record(now, loadpace.Sample{Took: 288 * time.Millisecond, Concurrent: 1})
	}
	c.Check(p.Limit(), qt.Equals, 2)
}

// TestManyEnginesShareStore simulates a demand of 180 concurrent loads of 90 engines (two each) at a store that serves 72 at full speed
// with 288 ms per load, for 30 s. Without pacing each load takes 288 ms * 180/72 = 720 ms. Callers of the most urgent class want their
// first event within 800 ms, of which a load should leave more than a third, so that loads must take less than 500 ms on average. Pacing
// must not cost the throughput of the store.
func TestManyEnginesShareStore(t *testing.T) {
	c := qt.New(t)
	const (
		engines, demand, atFullSpeed = 90, 2, 72
		fullSpeed                    = 288 * time.Millisecond
		step                         = time.Millisecond
		duration                     = 30 * time.Second
	)
	type load struct {
		startedAt time.Time
		left      float64
	}
	now := time.Unix(1000, 0)
	end := now.Add(duration)
	paces, running := make([]*loadpace.Pace, engines), make([][]load, engines)
	for i := range paces {
		paces[i] = loadpace.New(loadpace.Config{Min: 1, Max: 4})
	}
	finished, total := 0, time.Duration(0)
	for ; now.Before(end); now = now.Add(step) {
		concurrent := 0
		for i, p := range paces {
			for len(running[i]) < min(demand, p.Limit()) {
				running[i] = append(running[i], load{now, float64(fullSpeed)})
			}
			concurrent += len(running[i])
		}
		progress := float64(step) * min(1, atFullSpeed/float64(concurrent))
		for i, p := range paces {
			var rest []load
			for _, l := range running[i] {
				if l.left -= progress; l.left > 0 {
					rest = append(rest, l)
					continue
				}
				took := now.Sub(l.startedAt)
				finished, total = finished+1, total+took
				p.Record(now, loadpace.Sample{Took: took, Concurrent: len(running[i])})
			}
			running[i] = rest
		}
	}
	mean := total / time.Duration(finished)
	rate := float64(finished) / duration.Seconds() / (atFullSpeed / fullSpeed.Seconds())
	c.Logf("mean load time %v, %.2f of the store's rate", mean, rate)
	c.Check(mean < 500*time.Millisecond, qt.IsTrue, qt.Commentf("mean load time %v", mean))
	c.Check(rate > 0.9, qt.IsTrue, qt.Commentf("%.2f of the store's rate", rate))
}
