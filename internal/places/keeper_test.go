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

// The tests model a plain service with one of three endpoints left. The endpoint has six slots and a queue for 24 more requests.
// A request takes 60 ms on average. The endpoint can answer 100 of 221 requests per second. The latency objective is 300 ms.
const (
	slotCount   = 6
	queueLength = 24
	objective   = 300 * time.Millisecond
	maxLatency  = 210 * time.Millisecond
)

// base is the start time of each simulation.
var base = time.Unix(1_800_000_000, 0)

// outcome counts the requests of a simulation by their result.
type outcome struct {
	total, inTime, late, refused int
}

// activeRequest is a request at the endpoint, either queued or running.
type activeRequest struct {
	endsAt, arrivedAt time.Time
	place             *Answer
}

// fakeEndpoint runs up to slotCount requests at the same time, in the order of their arrival.
type fakeEndpoint struct {
	// slotFreeAt contains the time at which each slot becomes free.
	slotFreeAt []time.Time
	active     []activeRequest
}

// add queues a request. It returns false if the queue is full.
func (e *fakeEndpoint) add(now time.Time, rng *rand.Rand, place *Answer) bool {
	if len(e.active) >= slotCount+queueLength {
		return false
	}
	earliest := 0
	for i := range e.slotFreeAt {
		if e.slotFreeAt[i].Before(e.slotFreeAt[earliest]) {
			earliest = i
		}
	}
	startsAt := e.slotFreeAt[earliest]
	if startsAt.Before(now) {
		startsAt = now
	}
	work := 60 * math.Exp(0.5*rng.NormFloat64()-0.125)
	e.slotFreeAt[earliest] = startsAt.Add(time.Duration(work * float64(time.Millisecond)))
	e.active = append(e.active, activeRequest{e.slotFreeAt[earliest], now, place})
	return true
}

// simulate sends rate requests per second for 20 seconds and returns their results. With isCounted, each request needs a place
// from a Keeper, which is informed of the end of each request after endDelay.
func simulate(rate float64, isCounted bool, endDelay time.Duration) outcome {
	rng := rand.New(rand.NewPCG(1, 2))
	k := NewKeeper(0)
	e := &fakeEndpoint{slotFreeAt: make([]time.Time, slotCount)}
	var result outcome
	for now := base; now.Before(base.Add(20 * time.Second)); {
		now = now.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		e.active = slices.DeleteFunc(e.active, func(r activeRequest) bool {
			if r.endsAt.Add(endDelay).After(now) {
				return false
			}
			if r.place != nil {
				k.End(now, EndReport{Endpoint: "e", ID: r.place.ID, Latency: r.endsAt.Sub(r.arrivedAt)})
			}
			if r.endsAt.Sub(r.arrivedAt) <= objective {
				result.inTime++
			} else {
				result.late++
			}
			return true
		})
		result.total++
		var place *Answer
		if isCounted {
			a := k.Acquire(now, Request{Endpoint: "e", Slots: slotCount, MaxLatency: maxLatency, Hold: 3 * time.Second})
			if !a.Granted {
				result.refused++
				continue
			}
			place = &a
		}
		if !e.add(now, rng, place) {
			result.refused++
		}
	}
	return result
}

func TestOverloadedEndpoint(t *testing.T) {
	for _, test := range []struct {
		rate float64
		// atLeast is the required share of requests with a response in time. The endpoint can answer 100 requests per second.
		atLeast float64
	}{{50, 0.99}, {85, 0.9}, {120, 0.7}, {221, 0.38}, {600, 0.14}} {
		t.Run(fmt.Sprint(test.rate), func(t *testing.T) {
			c := qt.New(t)
			uncounted, counted := simulate(test.rate, false, 0), simulate(test.rate, true, 15*time.Millisecond)
			t.Logf("in time, late, refused: without keeper %d, %d, %d, with keeper %d, %d, %d of %d requests",
				uncounted.inTime, uncounted.late, uncounted.refused, counted.inTime, counted.late, counted.refused, counted.total)
			inTimeShare := float64(counted.inTime) / float64(counted.total)
			c.Check(inTimeShare >= test.atLeast, qt.IsTrue, qt.Commentf("share of responses in time: %.3f", inTimeShare))
			c.Check(counted.inTime >= uncounted.inTime-uncounted.total/100, qt.IsTrue)
			c.Check(float64(counted.late) <= 0.1*float64(counted.total), qt.IsTrue)
		})
	}
}

// TestRefusedRequestsRetryAtDifferentTimes requests 100 places at the same moment, more than the endpoint has. The refused
// requests must receive different waits, so that they don't all return at the same moment.
func TestRefusedRequestsRetryAtDifferentTimes(t *testing.T) {
	c := qt.New(t)
	k := NewKeeper(0)
	req := Request{Endpoint: "e", Slots: slotCount, MaxLatency: maxLatency, Hold: time.Minute}
	first := k.Acquire(base, req)
	k.End(base, EndReport{Endpoint: "e", ID: first.ID, Latency: 60 * time.Millisecond})
	waits := map[time.Duration]bool{}
	for range 100 {
		if a := k.Acquire(base, req); !a.Granted {
			waits[a.Wait] = true
			c.Check(a.Wait > 0 && a.Wait <= maxWait, qt.IsTrue)
		}
	}
	c.Check(len(waits) > 60, qt.IsTrue, qt.Commentf("%d", len(waits)))
}

// TestKeeperInvariants generates place requests, ended requests, ends from other incarnations, and lost ends. No place may be
// granted twice, no request may be refused while a slot is free, and places whose end was lost must expire.
func TestKeeperInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := NewKeeper(rapid.Uint64().Draw(t, "first"))
		now := base
		held := map[uint64]time.Time{}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				hold := time.Duration(rapid.IntRange(1, 3000).Draw(t, "hold")) * time.Millisecond
				a := k.Acquire(now, Request{Endpoint: "e", Slots: slotCount, MaxLatency: time.Duration(rapid.IntRange(-100, 400).Draw(t, "within")) * time.Millisecond, Hold: hold})
				if !a.Granted {
					if len(held) < slotCount {
						t.Fatalf("request refused with %d of %d slots in use", len(held), slotCount)
					}
					return
				}
				if _, duplicate := held[a.ID]; duplicate {
					t.Fatalf("place %d granted twice", a.ID)
				}
				held[a.ID] = now.Add(hold)
			},
			"end": func(t *rapid.T) {
				for id := range held {
					k.End(now, EndReport{Endpoint: "e", ID: id, Latency: time.Duration(rapid.IntRange(0, 500).Draw(t, "took")) * time.Millisecond})
					delete(held, id)
					return
				}
			},
			"end of another process": func(t *rapid.T) {
				k.End(now, EndReport{Endpoint: "e", ID: rapid.Uint64().Draw(t, "id"), Latency: time.Second})
			},
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

// TestPlaceIsHeldUntilItsRequestMayEnd guards against endpoints that get more requests than they have slots because a request runs for longer than a
// constant, though its route allows it.
func TestPlaceIsHeldUntilItsRequestMayEnd(t *testing.T) {
	const timeout = 3 * time.Minute
	c := qt.New(t)
	k := NewKeeper(1)
	now := time.Now()
	req := Request{Endpoint: "e", Slots: 1, MaxLatency: time.Millisecond, Hold: timeout}
	granted := 0
	for k.Acquire(now, req).Granted {
		granted++
		c.Assert(granted < 100, qt.IsTrue)
	}
	for _, age := range []time.Duration{59 * time.Second, 61 * time.Second, timeout - time.Second} {
		c.Check(k.Acquire(now.Add(age), req).Granted, qt.IsFalse, qt.Commentf("after %s", age))
	}
	c.Check(k.Acquire(now.Add(timeout+time.Second), req).Granted, qt.IsTrue)
}
