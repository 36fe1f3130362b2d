package choice_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/choice"
	"github.com/bellgap/bellgap/internal/engineload"
	"github.com/bellgap/bellgap/internal/placement"
)

// reported returns an engine that holds the adapter version, with a report of the given age.
func reported(position int, age time.Duration, report engineload.Report) choice.Engine {
	return choice.Engine{Position: position, Holds: true, SameZone: true, Report: &report, Age: age}
}

// without returns the engine without the adapter version.
func without(e choice.Engine) choice.Engine {
	e.Holds = false
	return e
}

// rankWant is an expected engine with its expected start.
type rankWant struct {
	index int
	start time.Duration
}

// TestRank checks the order of the engines and their expected starts for a request with 1,000 prompt tokens. Expected starts that are
// not known exactly are zero in want.
func TestRank(t *testing.T) {
	const ms = time.Millisecond
	idle := engineload.Report{PrefillRate: 10000, FreeSlots: 2, LoadTime: 300 * ms}
	busy := engineload.Report{PrefillRate: 10000, Backlog: 9000, FreeSlots: 2, LoadTime: 300 * ms}
	full := engineload.Report{PrefillRate: 10000, SlotWait: 600 * ms, LoadTime: 300 * ms}
	gaps := engineload.Report{PrefillRate: 10000, FreeSlots: 5, LoadTime: 300 * ms, EventGap: time.Second}
	sent := reported(0, 0, idle)
	sent.Sent.Tokens = 4000
	failing := reported(0, 0, idle)
	failing.FailedRecently = true
	loading := without(reported(0, 0, idle))
	loading.Sent.Loads = 3
	for _, tt := range []struct {
		name    string
		output  int
		engines []choice.Engine
		want    []rankWant
	}{
		{"a holder in time is asked before an idle engine", 8, []choice.Engine{without(reported(0, 0, idle)), reported(20, 0, busyBy(5000))}, []rankWant{{1, 600 * ms}, {0, 400 * ms}}},
		{"the first holder is asked before a copy, other late holders after it", 8, []choice.Engine{reported(0, 0, busy), reported(1, 0, busyBy(12000)), without(reported(2, 0, idle))}, []rankWant{{0, 1000 * ms}, {2, 400 * ms}, {1, 1300 * ms}}},
		{"an engine without a free slot is late but may have a copy", 8, []choice.Engine{without(reported(0, 0, full)), without(reported(1, 0, idle))}, []rankWant{{0, 1000 * ms}, {1, 400 * ms}}},
		{"own requests count", 8, []choice.Engine{sent, reported(1, 0, idle)}, []rankWant{{1, 100 * ms}, {0, 500 * ms}}},
		{"own loads take the free slots", 8, []choice.Engine{loading, without(reported(1, 0, idle))}, []rankWant{{0, 1000 * ms}, {1, 400 * ms}}},
		{"a first engine that is late by a new report is not asked first", 8, []choice.Engine{without(reported(0, 0, busy)), without(reported(1, 0, idle))}, []rankWant{{1, 400 * ms}, {0, 1000 * ms}}},
		{"one that was late 300 ms ago is asked", 8, []choice.Engine{without(reported(0, 300*ms, busy)), without(reported(1, 0, idle))}, []rankWant{{0, 1000 * ms}, {1, 400 * ms}}},
		{"an engine that failed is last", 8, []choice.Engine{failing, reported(1, 0, busy)}, []rankWant{{1, 1000 * ms}, {0, 100 * ms}}},
		{"an old report counts half", 8, []choice.Engine{reported(0, 2*time.Second, busy), reported(1, 0, idle), reported(2, 0, idle)}, []rankWant{{}, {}, {0, 550 * ms}}},
		{"an engine without a report counts as the median", 8, []choice.Engine{{Holds: true, SameZone: true}, reported(1, 0, busyBy(2000)), reported(2, 0, busyBy(3000)), reported(3, 5*time.Second, busy)}, []rankWant{{}, {}, {}, {2, 400 * ms}}},
		{"a long answer avoids long pauses", 200, []choice.Engine{without(reported(0, 0, gaps)), without(reported(1, 0, idle)), without(reported(2, 0, idle))}, []rankWant{{}, {}, {0, 400 * ms}}},
		{"a short answer does not", 8, []choice.Engine{reported(0, 0, gaps), reported(1, 0, busyBy(3000))}, []rankWant{{0, 100 * ms}, {1, 400 * ms}}},
		{"no usable report", 8, []choice.Engine{reported(0, 5*time.Second, idle), {Position: 1}}, nil},
		// The following reports must neither overflow a sum nor give an advantage that is larger than that of an idle engine.
		{"extreme load", 8, []choice.Engine{reported(0, 0, engineload.Report{PrefillRate: 1e-300, Backlog: math.MaxInt, SlotWait: math.MaxInt64, LoadTime: math.MaxInt64}), reported(1, 0, idle), reported(2, 0, idle)}, []rankWant{{}, {}, {0, time.Minute + 400*ms}}},
		{"extreme speed", 8, []choice.Engine{reported(0, 0, busyBy(-5)), without(reported(1, 0, engineload.Report{PrefillRate: 1e300, FreeSlots: math.MaxInt, SlotWait: -time.Hour, LoadTime: 1})), reported(2, 0, busyBy(3000))}, []rankWant{{0, 100 * ms}, {2, 400 * ms}, {1, 25*ms + 1}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			q := choice.Request{Prompt: 1000, Output: tt.output, Objective: 800 * ms, GapObjective: 400 * ms}
			got, ok := choice.Rank(q, tt.engines, rand.New(rand.NewPCG(1, 2)))
			c.Assert(ok, qt.Equals, tt.want != nil)
			c.Assert(got, qt.HasLen, len(tt.want))
			for i, w := range tt.want {
				if w.start != 0 {
					c.Check(got[i].Index, qt.Equals, w.index)
					// The speed of an engine is known to the nanosecond per token.
					c.Check((got[i].Start-w.start).Abs() <= time.Microsecond, qt.IsTrue, qt.Commentf("%v", got))
				}
			}
		})
	}
}

// TestFurtherEngines guards against loading another copy while a first engine of the rendezvous order may have one, and against refusing
// a request while an engine beyond the first ones has room. Only the last three of 30 engines have free slots; the last one is busy.
func TestFurtherEngines(t *testing.T) {
	c := qt.New(t)
	engines := make([]choice.Engine, 30)
	for i := range engines {
		engines[i] = without(reported(i, 0, engineload.Report{PrefillRate: 10000, SlotWait: time.Second, LoadTime: loadTime}))
	}
	for i := 27; i < 30; i++ {
		engines[i].Report = &engineload.Report{PrefillRate: 10000, FreeSlots: 1, LoadTime: loadTime, Backlog: (i - 27) * 2500}
	}
	engines[28].Sent.Loads = 1
	got, ok := choice.Rank(choice.Request{Prompt: prompt, Output: 8, Objective: objective}, engines, rand.New(rand.NewPCG(1, 2)))
	c.Assert(ok, qt.IsTrue)
	var order []int
	for i, x := range got {
		order = append(order, x.Index)
		c.Check(x.Further, qt.Equals, i == 6 || i == 7)
	}
	c.Check(order, qt.DeepEquals, []int{0, 1, 2, 3, 4, 5, 27, 29, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15})
}

// busyBy returns the report of an engine with a backlog of prompt tokens.
func busyBy(tokens int) engineload.Report {
	return engineload.Report{PrefillRate: 10000, Backlog: tokens, FreeSlots: 2, LoadTime: 300 * time.Millisecond}
}

// TestHerding guards against many boxes that choose one engine at once by the same reports. In one second, 63 boxes send requests for
// adapters without a holder by reports that are not replaced, and no owner corrects them. One engine is free, all others are full or
// busy. In TestLoad, 130 requests per second load an adapter.
func TestHerding(t *testing.T) {
	for _, tt := range []struct {
		name     string
		others   engineload.Report
		requests int
		// room is the number of requests that the free engine can take, maxMultiple bounds the multiple of it that it is chosen for.
		room, maxMultiple float64
	}{
		{"one engine with two free slots", engineload.Report{PrefillRate: 10000, SlotWait: time.Second, LoadTime: loadTime}, 150, 2, 8},
		{"one engine without a backlog", engineload.Report{PrefillRate: 10000, Backlog: 6000, FreeSlots: 2, LoadTime: loadTime}, 507, 6.8, 8},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			random := rand.New(rand.NewPCG(3, 4))
			engines := make([]choice.Engine, engineCount)
			names := make([]placement.Weighted, engineCount)
			for i := range engines {
				engines[i] = choice.Engine{Report: &tt.others, Age: time.Second}
				names[i] = placement.Weighted{Name: fmt.Sprint("engine-", i), Weight: 1}
			}
			engines[17].Report = &engineload.Report{PrefillRate: 10000, FreeSlots: 2, LoadTime: loadTime}
			var sent [boxCount][engineCount]choice.Sent
			chosen, askedLater := 0, 0
			for request := range tt.requests {
				box := request % boxCount
				for position, i := range placement.TopWeighted(fmt.Sprint("adapter-", random.IntN(10000)), names, engineCount) {
					engines[i].Position, engines[i].Sent = position, sent[box][i]
				}
				ranked, ok := choice.Rank(choice.Request{Prompt: prompt, Output: 60, Objective: objective}, engines, random)
				c.Assert(ok, qt.IsTrue)
				best := ranked[0].Index
				sent[box][best].Tokens += prompt
				sent[box][best].Loads++
				if best == 17 {
					chosen++
				} else if slices.ContainsFunc(ranked, func(x choice.Choice) bool { return x.Index == 17 && x.Further }) {
					askedLater++
				}
			}
			c.Logf("chosen for %d requests, %.1f times its room, further engine of %d", chosen, float64(chosen)/tt.room, askedLater)
			c.Check(float64(chosen) <= tt.maxMultiple*tt.room, qt.IsTrue)
		})
	}
}

// BenchmarkRank measures one choice in a service of 660 engines, with the rendezvous order.
func BenchmarkRank(b *testing.B) {
	const count = 660
	random := rand.New(rand.NewPCG(1, 2))
	engines, names := make([]choice.Engine, count), make([]placement.Weighted, count)
	reports := make([]engineload.Report, count)
	for i := range engines {
		reports[i] = engineload.Report{PrefillRate: 5000 * (1 + 1.4*random.Float64()), Backlog: random.IntN(5000), FreeSlots: random.IntN(3), LoadTime: loadTime}
		engines[i] = choice.Engine{Holds: i%50 == 0, Report: &reports[i], Age: time.Duration(random.IntN(4000)) * time.Millisecond}
		names[i] = placement.Weighted{Name: fmt.Sprint("engine-", i), Weight: 1 + 1.4*random.Float64()}
	}
	q := choice.Request{Prompt: prompt, Output: 200, Objective: objective, GapObjective: objective / 2}
	b.ReportAllocs()
	for b.Loop() {
		for i := range engines {
			engines[i].Position = choice.MaxEngines
		}
		for position, i := range placement.TopWeighted("boundary-summary@3", names, choice.MaxEngines) {
			engines[i].Position = position
		}
		if _, ok := choice.Rank(q, engines, random); !ok {
			b.Fatal("no reports")
		}
	}
}
