package ratelimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// base is the start time of each simulation.
var base = time.Unix(1_800_000_000, 0)

const (
	// The users require that an endpoint receives in no window more than excessFactor times the requests that its rate allows,
	// plus margin.
	window       = 4 * time.Second
	excessFactor = 1.5
	margin       = 5
)

// allowedPerWindow returns the largest number of requests that an endpoint with the rate may receive in a window.
func allowedPerWindow(rate float64) int {
	return int(math.Floor(excessFactor*rate*window.Seconds() + margin))
}

// maxPerWindow returns the largest number of times that lie within one window.
func maxPerWindow(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	n, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		n = max(n, i-first+1)
	}
	return n
}

func limitedReport(rate float64, started int64) *Report {
	return &Report{Limited: true, Rate: rate, Started: started}
}

// tryUse checks whether a request is allowed, and consumes a token if it is.
func tryUse(l *Limiter, now time.Time, req Request) bool {
	_, ok := l.Check(now, req)
	if ok {
		l.Use(now, req.Customer)
	}
	return ok
}

func TestLimiterUsesTheWholeRate(t *testing.T) {
	for _, test := range []struct {
		rate, demand float64
	}{{0.05, 50}, {0.3, 50}, {1, 50}, {1.9, 50}, {1.9, 2.5}, {5, 50}, {40, 200}, {0.3, 1}} {
		t.Run(fmt.Sprint(test.rate, " of ", test.demand), func(t *testing.T) {
			c := qt.New(t)
			rng := rand.New(rand.NewPCG(1, 2))
			l := &Limiter{}
			l.ApplyReport(base, limitedReport(test.rate, 0))
			var sentAt []time.Time
			end := base.Add(200 * time.Second)
			for now := base; now.Before(end); {
				now = now.Add(time.Duration(rng.ExpFloat64() / test.demand * float64(time.Second)))
				if tryUse(l, now, Request{}) {
					sentAt = append(sentAt, now)
				}
			}
			usedRate := float64(len(sentAt)) / end.Sub(base).Seconds()
			c.Logf("used %.2f requests per second, at most %d in %v of %d allowed", usedRate, maxPerWindow(sentAt), window, allowedPerWindow(test.rate))
			c.Check(maxPerWindow(sentAt) <= allowedPerWindow(test.rate), qt.IsTrue)
			c.Check(usedRate >= 0.9*test.rate, qt.IsTrue, qt.Commentf("%.3f", usedRate))
		})
	}
}

func TestLimiterKeepsLatestReport(t *testing.T) {
	c := qt.New(t)
	l := &Limiter{}
	for range 1000 {
		c.Assert(tryUse(l, base, Request{}), qt.IsTrue)
	}
	l.ApplyReport(base, limitedReport(1, 7))
	c.Check(tryUse(l, base, Request{}), qt.IsFalse, qt.Commentf("a new limit starts without tokens"))
	now := base.Add(10 * time.Second)
	c.Check(tryUse(l, now, Request{}), qt.IsTrue)
	l.ApplyReport(now, &Report{Started: 7, Age: time.Minute})
	c.Check(l.IsLimited(), qt.IsTrue, qt.Commentf("an older report without a limit is ignored"))
	l.ApplyReport(now, &Report{Started: 6})
	c.Check(l.IsLimited(), qt.IsTrue, qt.Commentf("a report from before the endpoint's restart is ignored"))
	l.ApplyReport(now, &Report{Started: 7})
	c.Check(l.IsLimited(), qt.IsFalse)
	l.ApplyReport(now.Add(time.Second), limitedReport(1, 7))
	c.Check(l.IsLimited(), qt.IsTrue, qt.Commentf("the endpoint reports a limit again"))
	l.SetStart(8)
	c.Check(l.IsLimited(), qt.IsFalse, qt.Commentf("a restarted endpoint has not reported a limit"))
	l.ApplyReport(now.Add(2*time.Second), limitedReport(1, 7))
	c.Check(l.IsLimited(), qt.IsFalse, qt.Commentf("a late report from before the restart is ignored"))
	l.ApplyReport(now.Add(2*time.Second), limitedReport(1, 8))
	c.Check(l.IsLimited(), qt.IsTrue)
}

func TestZeroRateIsProbed(t *testing.T) {
	c := qt.New(t)
	l := &Limiter{}
	l.ApplyReport(base, limitedReport(0, 0))
	sent := 0
	for now := base; now.Before(base.Add(10 * zeroRateInterval)); now = now.Add(100 * time.Millisecond) {
		if tryUse(l, now, Request{Urgency: rand.IntN(3), Costly: rand.IntN(2) == 0}) {
			sent++
		}
	}
	c.Check(sent >= 9 && sent <= 10, qt.IsTrue, qt.Commentf("%d", sent))
}

// TestLimiterPrefersUrgentRequests models a service whose endpoints all have rate limits. Of eight requests per second, urgent
// and other ones, two can be sent.
func TestLimiterPrefersUrgentRequests(t *testing.T) {
	for _, test := range []struct {
		// urgent is the share of urgent requests. atLeast is the share of these that must be sent, and timesOthers the minimum
		// ratio of this share to that of the other requests. While urgent requests use a fifth of the rate, nearly all must be
		// sent. While they use most of the rate, the ratio must still be several times.
		urgent, atLeast, timesOthers float64
	}{{0.05, 0.95, 4}, {0.2, 0.5, 4}} {
		t.Run(fmt.Sprint(test.urgent), func(t *testing.T) {
			c := qt.New(t)
			rng := rand.New(rand.NewPCG(1, 2))
			l := &Limiter{}
			l.ApplyReport(base, limitedReport(2, 0))
			total, sent := map[int]float64{}, map[int]float64{}
			for now := base; now.Before(base.Add(200 * time.Second)); {
				now = now.Add(time.Duration(rng.ExpFloat64() / 8 * float64(time.Second)))
				urgency := 1
				if rng.Float64() < test.urgent {
					urgency = 9
				}
				total[urgency]++
				if tryUse(l, now, Request{Urgency: urgency}) {
					sent[urgency]++
				}
			}
			c.Logf("urgent %v of %v, others %v of %v", sent[9], total[9], sent[1], total[1])
			c.Check(sent[9]/total[9] >= test.atLeast, qt.IsTrue)
			c.Check(sent[9]/total[9] >= test.timesOthers*sent[1]/total[1], qt.IsTrue)
			c.Check(sent[9]+sent[1] >= 0.9*2*200, qt.IsTrue)
		})
	}
}

// TestLimiterIsFair models one customer that sends ten times as many requests as each of three others.
func TestLimiterIsFair(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	l := &Limiter{}
	l.ApplyReport(base, limitedReport(4, 0))
	sent := map[string]int{}
	for now := base; now.Before(base.Add(100 * time.Second)); {
		now = now.Add(time.Duration(rng.ExpFloat64() / 26 * float64(time.Second)))
		customer := "large"
		if n := rng.IntN(13); n < 3 {
			customer = fmt.Sprint("small-", n)
		}
		if tryUse(l, now, Request{Customer: customer}) {
			sent[customer]++
		}
	}
	c.Logf("%v", sent)
	for n := range 3 {
		c.Check(sent[fmt.Sprint("small-", n)] >= 80, qt.IsTrue)
	}
	c.Check(sent["large"] >= 80, qt.IsTrue)
}

// TestCostlyRequestsGetUnusedRate checks that requests whose adapter must first be loaded to a limited endpoint only use the rate
// that other requests leave.
func TestCostlyRequestsGetUnusedRate(t *testing.T) {
	c := qt.New(t)
	l := &Limiter{}
	l.ApplyReport(base, limitedReport(1, 0))
	costly := 0
	for now := base; now.Before(base.Add(60 * time.Second)); now = now.Add(200 * time.Millisecond) {
		if tryUse(l, now, Request{Costly: true}) {
			costly++
		}
		tryUse(l, now, Request{})
	}
	c.Check(costly, qt.Equals, 0)
	for now := base.Add(60 * time.Second); now.Before(base.Add(120 * time.Second)); now = now.Add(200 * time.Millisecond) {
		if tryUse(l, now, Request{Costly: true}) {
			costly++
		}
	}
	c.Check(costly >= 50, qt.IsTrue, qt.Commentf("%d costly requests sent while no others arrive", costly))
}

// TestBoxesUseOwnShares models a keeper that some or all boxes cannot reach, while it grants the whole rate to the boxes that do
// reach it.
func TestBoxesUseOwnShares(t *testing.T) {
	for _, test := range []struct {
		boxes int
		rate  float64
		// keeperRuns is true if the keeper still grants requests of other boxes.
		keeperRuns bool
	}{{7, 1.9, true}, {7, 1.9, false}, {7, 0.3, true}, {300, 1.9, true}, {300, 30, true}, {300, 30, false}} {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			c := qt.New(t)
			keeper, others := &Limiter{}, make([]Limiter, test.boxes-1)
			keeper.ApplyReport(base, limitedReport(test.rate, 0))
			for i := range others {
				others[i].ApplyReport(base, limitedReport(test.rate, 0))
			}
			var sentAt []time.Time
			fromOwnShares := 0
			for now := base; now.Before(base.Add(60 * time.Second)); now = now.Add(20 * time.Millisecond) {
				if test.keeperRuns && tryUse(keeper, now, Request{}) {
					sentAt = append(sentAt, now)
				}
				for i := range others {
					if tryUse(&others[i], now, Request{OwnShare: ownShareTotal / float64(test.boxes)}) {
						sentAt = append(sentAt, now)
						fromOwnShares++
					}
				}
			}
			c.Logf("at most %d in %v of %d allowed, %d from own shares", maxPerWindow(sentAt), window, allowedPerWindow(test.rate), fromOwnShares)
			c.Check(maxPerWindow(sentAt) <= allowedPerWindow(test.rate), qt.IsTrue)
			expected := ownShareTotal * test.rate * 60
			c.Check(float64(fromOwnShares) >= expected-3*math.Sqrt(expected), qt.IsTrue, qt.Commentf("%d", fromOwnShares))
		})
	}
}

// TestRateHoldsWhenKeeperChanges models that the keeper is lost several times. The boxes use their own shares until the next
// keeper starts, which learns the rate from the first request.
func TestRateHoldsWhenKeeperChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.05, 20).Draw(t, "rate")
		boxes := rapid.IntRange(2, 40).Draw(t, "boxes")
		report := limitedReport(rate, 0)
		keeper, others := &Limiter{}, make([]Limiter, boxes)
		keeper.ApplyReport(base, report)
		var sentAt []time.Time
		now := base
		for range rapid.IntRange(1, 12).Draw(t, "losses") {
			// A keeper keeps its role for at least some seconds: boxes that come and go more often are removed from the map of
			// boxes.
			for until := now.Add(time.Duration(rapid.IntRange(4000, 20000).Draw(t, "keeper ms")) * time.Millisecond); now.Before(until); now = now.Add(50 * time.Millisecond) {
				if tryUse(keeper, now, Request{}) {
					sentAt = append(sentAt, now)
				}
			}
			for until := now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "gap ms")) * time.Millisecond); now.Before(until); now = now.Add(50 * time.Millisecond) {
				for i := range others {
					others[i].ApplyReport(now, report)
					if tryUse(&others[i], now, Request{OwnShare: ownShareTotal / float64(boxes)}) {
						sentAt = append(sentAt, now)
					}
				}
			}
			keeper = &Limiter{}
			keeper.ApplyReport(now, report)
		}
		if maxPerWindow(sentAt) > allowedPerWindow(rate) {
			t.Fatalf("%d requests in %v, allowed %d", maxPerWindow(sentAt), window, allowedPerWindow(rate))
		}
	})
}

func TestParse(t *testing.T) {
	for _, test := range []struct {
		text string
		rate float64
		ok   bool
	}{
		{"1.9", 1.9, true},
		{" 0.3 ", 0.3, true},
		{"0", 0, true},
		{"1e2", 100, true},
		{"", 0, false},
		{"-1", 0, false},
		{"NaN", 0, false},
		{"inf", 0, false},
		{"+Inf", 0, false},
		{"1,9", 0, false},
		{"many", 0, false},
		{"1e999", 0, false},
		{"2 a second", 0, false},
	} {
		t.Run(test.text, func(t *testing.T) {
			c := qt.New(t)
			rate, err := Parse(test.text)
			c.Check(err == nil, qt.Equals, test.ok)
			c.Check(rate, qt.Equals, test.rate)
		})
	}
}

func BenchmarkLimiter(b *testing.B) {
	l := &Limiter{}
	l.ApplyReport(base, limitedReport(1.9, 0))
	now := base
	for b.Loop() {
		now = now.Add(time.Millisecond)
		tryUse(l, now, Request{Customer: "one"})
	}
}
