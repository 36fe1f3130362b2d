package places

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

// The pattern is a plain service that has lost endpoints: one of three is left, with six slots and room for 24 more in its queue, and a request
// takes 60 ms, some longer. Of 221 requests a second it can answer 100. Their objective is 300 ms.
const (
	slots     = 6
	queue     = 24
	objective = 300 * time.Millisecond
	within    = 210 * time.Millisecond
)

// base is the virtual start of time.
var base = time.Unix(1_800_000_000, 0)

// outcome counts requests by how they ended.
type outcome struct {
	asked, inTime, late, refused int
}

// running is a request at the endpoint that ends at a time.
type running struct {
	ends, came time.Time
	place      *Answer
}

// endpoint answers requests in the order in which they come, so many at once.
type endpoint struct {
	// free holds when each slot is free.
	free []time.Time
	all  []running
}

// take adds a request and returns whether there was room.
func (e *endpoint) take(now time.Time, rng *rand.Rand, place *Answer) bool {
	if len(e.all) >= slots+queue {
		return false
	}
	at := 0
	for i := range e.free {
		if e.free[i].Before(e.free[at]) {
			at = i
		}
	}
	starts := e.free[at]
	if starts.Before(now) {
		starts = now
	}
	work := 60 * math.Exp(0.5*rng.NormFloat64()-0.125)
	e.free[at] = starts.Add(time.Duration(work * float64(time.Millisecond)))
	e.all = append(e.all, running{e.free[at], now, place})
	return true
}

// play sends requests at a rate for some seconds, with the count or without, and ends told some time late.
func play(rate float64, counted bool, told time.Duration) outcome {
	rng := rand.New(rand.NewPCG(1, 2))
	k := NewKeeper(0)
	e := &endpoint{free: make([]time.Time, slots)}
	var out outcome
	for now := base; now.Before(base.Add(20 * time.Second)); {
		now = now.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		e.all = slices.DeleteFunc(e.all, func(r running) bool {
			if r.ends.Add(told).After(now) {
				return false
			}
			if r.place != nil {
				k.End(End{Endpoint: "e", ID: r.place.ID, Took: r.ends.Sub(r.came)})
			}
			if r.ends.Sub(r.came) <= objective {
				out.inTime++
			} else {
				out.late++
			}
			return true
		})
		out.asked++
		var place *Answer
		if counted {
			a := k.Take(now, Ask{Endpoint: "e", Slots: slots, Within: within, Hold: 3 * time.Second})
			if !a.Granted {
				out.refused++
				continue
			}
			place = &a
		}
		if !e.take(now, rng, place) {
			out.refused++
		}
	}
	return out
}

func TestLostEndpoints(t *testing.T) {
	for _, test := range []struct {
		rate float64
		// atLeast is the part that has to be answered in time: 100 a second are all that the endpoint has.
		atLeast float64
	}{{50, 0.99}, {85, 0.9}, {120, 0.7}, {221, 0.38}, {600, 0.14}} {
		t.Run(fmt.Sprint(test.rate), func(t *testing.T) {
			c := qt.New(t)
			without, with := play(test.rate, false, 0), play(test.rate, true, 15*time.Millisecond)
			t.Logf("in time, late, refused: without a count %d, %d, %d, with it %d, %d, %d of %d",
				without.inTime, without.late, without.refused, with.inTime, with.late, with.refused, with.asked)
			part := float64(with.inTime) / float64(with.asked)
			c.Check(part >= test.atLeast, qt.IsTrue, qt.Commentf("%.3f in time", part))
			c.Check(with.inTime >= without.inTime-without.asked/100, qt.IsTrue)
			c.Check(float64(with.late) <= 0.1*float64(with.asked), qt.IsTrue)
		})
	}
}

// TestRefusedComeBackAtDifferentTimes: all places are taken, and callers are refused at one moment.
func TestRefusedComeBackAtDifferentTimes(t *testing.T) {
	c := qt.New(t)
	k := NewKeeper(0)
	ask := Ask{Endpoint: "e", Slots: slots, Within: within, Hold: time.Minute}
	first := k.Take(base, ask)
	k.End(End{Endpoint: "e", ID: first.ID, Took: 60 * time.Millisecond})
	waits := map[time.Duration]bool{}
	for range 100 {
		if a := k.Take(base, ask); !a.Granted {
			waits[a.Wait] = true
			c.Check(a.Wait > 0 && a.Wait <= maxWait, qt.IsTrue)
		}
	}
	c.Check(len(waits) > 60, qt.IsTrue, qt.Commentf("%d", len(waits)))
}

// TestKeeperSums draws asks, ends, ends of others and losses: places are never held twice, a free slot is never refused, and what is lost
// expires.
func TestKeeperSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := NewKeeper(rapid.Uint64().Draw(t, "first"))
		now := base
		held := map[uint64]time.Time{}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				hold := time.Duration(rapid.IntRange(1, 3000).Draw(t, "hold")) * time.Millisecond
				a := k.Take(now, Ask{Endpoint: "e", Slots: slots, Within: time.Duration(rapid.IntRange(-100, 400).Draw(t, "within")) * time.Millisecond, Hold: hold})
				if !a.Granted {
					if len(held) < slots {
						t.Fatalf("refused with %d of %d slots taken", len(held), slots)
					}
					return
				}
				if _, twice := held[a.ID]; twice {
					t.Fatalf("place %d given twice", a.ID)
				}
				held[a.ID] = now.Add(hold)
			},
			"end": func(t *rapid.T) {
				for id := range held {
					k.End(End{Endpoint: "e", ID: id, Took: time.Duration(rapid.IntRange(0, 500).Draw(t, "took")) * time.Millisecond})
					delete(held, id)
					return
				}
			},
			"end of another process": func(t *rapid.T) { k.End(End{Endpoint: "e", ID: rapid.Uint64().Draw(t, "id"), Took: time.Second}) },
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
				for id, until := range held {
					if now.After(until) {
						delete(held, id)
					}
				}
			},
		})
	})
}
