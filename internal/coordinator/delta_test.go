package coordinator_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bellgap/bellgap/internal/coordinator"
)

func drawMap(t *rapid.T, generation int64) coordinator.Map {
	m := coordinator.Map{Cell: "c", Generation: generation, Lease: rapid.Uint64Range(1, 3).Draw(t, "lease")}
	for i := range 8 {
		if rapid.Bool().Draw(t, "member") {
			m.Members = append(m.Members, coordinator.Member{
				Box: fmt.Sprint("box-", i), Peer: netip.MustParseAddrPort("10.0.0.1:80"), Silent: rapid.Bool().Draw(t, "silent"),
			})
		}
		if rapid.Bool().Draw(t, "engine") {
			m.Owners = append(m.Owners, coordinator.Ownership{Engine: fmt.Sprint("e-", i), Epoch: rapid.Uint64Range(1, 3).Draw(t, "epoch")})
		}
	}
	return m
}

// TestDeltaGivesTheNewerMap draws pairs of maps: the delta between them makes the second out of the first, and nothing else.
func TestDeltaGivesTheNewerMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawMap(t, 1), drawMap(t, 2)
		got, ok := coordinator.Diff(from, to).Apply(from)
		if !ok || !equal(got, to) {
			t.Fatalf("got %+v, want %+v", got, to)
		}
		if _, ok := coordinator.Diff(from, to).Apply(to); ok {
			t.Fatal("a delta applied to another map than its own")
		}
		whole, ok := coordinator.Diff(coordinator.Map{}, to).Apply(from)
		if !ok || !equal(whole, to) {
			t.Fatalf("got %+v, want %+v", whole, to)
		}
	})
}

func equal(a, b coordinator.Map) bool {
	return fmt.Sprint(a.Members) == fmt.Sprint(b.Members) && fmt.Sprint(a.Owners) == fmt.Sprint(b.Owners) &&
		a.Generation == b.Generation && a.Lease == b.Lease && a.Cell == b.Cell
}

// TestSilentBoxIsShownAndKeepsItsEngines: callers are sent elsewhere long before its engines may change hands.
func TestSilentBoxIsShownAndKeepsItsEngines(t *testing.T) {
	c := qt.New(t)
	w := newWorld(coordinator.Config{SilentAfter: beat * 3, Reclaim: true})
	w.beat("a", "1")
	w.beat("b", "1")
	w.tick(0)
	c.Assert(w.owner(), qt.Not(qt.Equals), "")
	owner := w.owner()
	other := map[string]string{"a": "b", "b": "a"}[owner]
	for range 4 {
		w.tick(beat)
		w.beat(other, "1")
	}
	c.Check(w.member(owner).Silent, qt.IsTrue)
	c.Check(w.member(other).Silent, qt.IsFalse)
	c.Check(w.owner(), qt.Equals, owner)
}

// TestReturningBoxKeepsItsEngines: a new process of the same box has the engines at once, under a higher epoch.
func TestReturningBoxKeepsItsEngines(t *testing.T) {
	c := qt.New(t)
	w := newWorld(coordinator.Config{Reclaim: true, OrderGap: gap})
	w.beat("a", "1")
	w.tick(0)
	c.Assert(w.owner(), qt.Equals, "a")
	before := w.epoch()
	w.beat("a", "2")
	w.tick(beat)
	c.Check(w.owner(), qt.Equals, "a")
	c.Check(w.epoch() > before, qt.IsTrue)
}

// TestOrdersOfTwoOwnersLieApart: an engine whose owner has gone silent is given on only a term and a gap later.
func TestOrdersOfTwoOwnersLieApart(t *testing.T) {
	c := qt.New(t)
	w := newWorld(coordinator.Config{Reclaim: true, OrderGap: gap})
	w.beat("a", "1")
	w.tick(0)
	c.Assert(w.owner(), qt.Equals, "a")
	silentSince := w.now
	for w.owner() != "b" {
		w.tick(beat)
		w.beat("b", "1")
		c.Assert(w.now.Sub(silentSince) < 10*(term+gap), qt.IsTrue)
	}
	c.Check(w.now.Sub(silentSince) >= term+gap, qt.IsTrue, qt.Commentf("%s", w.now.Sub(silentSince)))
}

// TestDeltaSize compares the size told with what a delta takes in a message.
func TestDeltaSize(t *testing.T) {
	for _, boxes := range []int{0, 1, 66, 300} {
		t.Run(fmt.Sprint(boxes), func(t *testing.T) {
			c := qt.New(t)
			to := coordinator.Map{Cell: "default", Region: "region", Generation: 7, Lease: 3, Coordinator: "edge-hall-a-1"}
			for i := range boxes {
				name := fmt.Sprint("edge-hall-a-", i)
				to.Members = append(to.Members, coordinator.Member{
					Box: name, Zone: "hall-a", Incarnation: "0f8fad5b-d9cb-469f", Caller: netip.MustParseAddrPort("10.0.0.1:8080"),
					Peer: netip.MustParseAddrPort("10.0.0.1:7160"),
				})
				to.Owners = append(to.Owners, coordinator.Ownership{Engine: fmt.Sprint("i-8a458e71e", i), Owner: name, Epoch: uint64(i)})
			}
			d := coordinator.Diff(coordinator.Map{}, to)
			sent, err := json.Marshal(d)
			c.Assert(err, qt.IsNil)
			c.Check(d.Size() > len(sent)/2 && d.Size() < 2*len(sent), qt.IsTrue, qt.Commentf("%d told, %d sent", d.Size(), len(sent)))
		})
	}
}
