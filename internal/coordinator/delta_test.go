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

// TestDeltaProducesNewerMap checks on random pairs of maps that the delta between them turns the first map into the second one, and
// that it does not apply to any other map.
func TestDeltaProducesNewerMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawMap(t, 1), drawMap(t, 2)
		got, ok := coordinator.Diff(from, to).Apply(from)
		if !ok || !equalMaps(got, to) {
			t.Fatalf("got %+v, want %+v", got, to)
		}
		if _, ok := coordinator.Diff(from, to).Apply(to); ok {
			t.Fatal("the delta was applied to a map of another generation")
		}
		whole, ok := coordinator.Diff(coordinator.Map{}, to).Apply(from)
		if !ok || !equalMaps(whole, to) {
			t.Fatalf("got %+v, want %+v", whole, to)
		}
	})
}

func equalMaps(a, b coordinator.Map) bool {
	return fmt.Sprint(a.Members) == fmt.Sprint(b.Members) && fmt.Sprint(a.Owners) == fmt.Sprint(b.Owners) &&
		a.Generation == b.Generation && a.Lease == b.Lease && a.Cell == b.Cell
}

// TestSilentBoxIsMarkedAndKeepsEngines checks that a box that misses heartbeats is marked as silent, so that callers go to other boxes,
// long before its engines may get another owner.
func TestSilentBoxIsMarkedAndKeepsEngines(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(coordinator.Config{SilentAfter: beatInterval * 3, Reclaim: true})
	sim.sendBeat("a", "1")
	sim.sendBeat("b", "1")
	sim.tickAfter(0)
	c.Assert(sim.owner(), qt.Not(qt.Equals), "")
	owner := sim.owner()
	other := map[string]string{"a": "b", "b": "a"}[owner]
	for range 4 {
		sim.tickAfter(beatInterval)
		sim.sendBeat(other, "1")
	}
	c.Check(sim.member(owner).Silent, qt.IsTrue)
	c.Check(sim.member(other).Silent, qt.IsFalse)
	c.Check(sim.owner(), qt.Equals, owner)
}

// TestRestartedBoxKeepsEngines checks that with Reclaim a new process of a box gets its engines at once, with a higher epoch.
func TestRestartedBoxKeepsEngines(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(coordinator.Config{Reclaim: true, OrderGap: orderGap})
	sim.sendBeat("a", "1")
	sim.tickAfter(0)
	c.Assert(sim.owner(), qt.Equals, "a")
	before := sim.epoch()
	sim.sendBeat("a", "2")
	sim.tickAfter(beatInterval)
	c.Check(sim.owner(), qt.Equals, "a")
	c.Check(sim.epoch() > before, qt.IsTrue)
}

// TestOwnerChangeWaitsForTermAndOrderGap checks that the engine of a silent owner gets the next owner only after the term and the order
// gap.
func TestOwnerChangeWaitsForTermAndOrderGap(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(coordinator.Config{Reclaim: true, OrderGap: orderGap})
	sim.sendBeat("a", "1")
	sim.tickAfter(0)
	c.Assert(sim.owner(), qt.Equals, "a")
	silentSince := sim.now
	for sim.owner() != "b" {
		sim.tickAfter(beatInterval)
		sim.sendBeat("b", "1")
		c.Assert(sim.now.Sub(silentSince) < 10*(term+orderGap), qt.IsTrue)
	}
	c.Check(sim.now.Sub(silentSince) >= term+orderGap, qt.IsTrue, qt.Commentf("%s", sim.now.Sub(silentSince)))
}

// TestDeltaSize checks that Delta.Size is at least half and at most twice the size of the encoded delta.
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
			encoded, err := json.Marshal(d)
			c.Assert(err, qt.IsNil)
			c.Check(d.Size() > len(encoded)/2 && d.Size() < 2*len(encoded), qt.IsTrue, qt.Commentf("estimated %d bytes, encoded %d bytes", d.Size(), len(encoded)))
		})
	}
}
