package coordinator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/lease"
)

// TestRestoredMapDoesNotGrantClaimedEngines guards against granting an engine to its owner in a restored older map while another box
// holds the engine.
func TestRestoredMapDoesNotGrantClaimedEngines(t *testing.T) {
	const (
		beatInterval, term, ttl, orderGap = 400 * time.Millisecond, 7 * time.Second, 2 * time.Second, 3200 * time.Millisecond
		storedEpoch                       = 40
	)
	start := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	reservationTime := ttl + term + orderGap
	olderMap := Map{
		Epoch: storedEpoch, Lease: lease.EpochBase(1) + 3,
		Members: []Member{{Box: "a", Incarnation: "a1"}, {Box: "b", Incarnation: "b1"}, {Box: "long-gone", Incarnation: "c1"}},
		Owners:  []Ownership{{Engine: "e", Owner: "a", Epoch: storedEpoch}},
	}
	claim := Ownership{Engine: "e", Owner: "b", Epoch: storedEpoch + 7}
	newBeat := func(box, incarnation string, owned []Ownership, expired ...string) Beat {
		return Beat{Member: Member{Box: box, Incarnation: incarnation}, Owned: owned, Lapsed: expired}
	}
	for _, test := range []struct {
		name  string
		beats []Beat
		// owner is the expected owner when the first map may be published, finalOwner the owner after all earlier grants have expired.
		owner, finalOwner string
		keepsGrant        bool
	}{
		{"another box claims it", []Beat{newBeat("a", "a1", nil), newBeat("b", "b1", []Ownership{claim})}, "b", "b", true},
		{"the owner in the map claims it", []Beat{newBeat("a", "a1", olderMap.Owners), newBeat("b", "b1", nil)}, "a", "a", true},
		{"the owner in the map and another box claim it", []Beat{newBeat("a", "a1", olderMap.Owners), newBeat("b", "b1", []Ownership{claim})}, "b", "b", true},
		{"no box claims it", []Beat{newBeat("a", "a1", nil), newBeat("b", "b1", nil)}, "", "any", false},
		{"the owner in the map restarted", []Beat{newBeat("a", "a2", nil), newBeat("b", "b1", nil)}, "a", "a", false},
		{"the owner in the map restarted, another box claims it", []Beat{newBeat("a", "a2", nil), newBeat("b", "b1", []Ownership{claim})}, "b", "b", true},
		{"the grant of the owner in the map expired", []Beat{newBeat("a", "a1", nil, "e"), newBeat("b", "b1", nil)}, "a", "a", false},
		{"only the grant of another box expired", []Beat{newBeat("a", "a1", nil), newBeat("b", "b1", nil, "e")}, "", "any", false},
	} {
		c := qt.New(t)
		s := New(Config{
			Box: "a", Lease: lease.EpochBase(2) + 1, Term: term, LeaseTTL: ttl, OrderGap: orderGap,
			SilentAfter: 3 * beatInterval, InheritedSilentAfter: 2 * beatInterval, Started: start,
			Reclaim: true, Restored: true,
		}, olderMap)
		comment := qt.Commentf("%s", test.name)
		engines := []Engine{{Name: "e"}}
		tick := func(now time.Time) {
			for _, b := range test.beats {
				c.Assert(s.RecordBeat(now, b), qt.IsNil)
			}
			s.Tick(now, engines)
		}
		c.Check(s.IsCollecting(start.Add(beatInterval)), qt.IsTrue)
		tick(start.Add(beatInterval))
		for _, b := range test.beats {
			c.Check(s.Reply(start.Add(beatInterval), b.Member.Box).Frozen, qt.IsTrue, comment)
		}
		now := start.Add(2 * beatInterval)
		c.Check(s.IsCollecting(now), qt.IsFalse)
		tick(now)
		m := s.Map()
		s.SetPublished(now, m)
		c.Check(m.Owners[0].Owner, qt.Equals, test.owner, comment)
		if test.keepsGrant {
			c.Check(m.Owners[0].Epoch <= claim.Epoch, qt.IsTrue, comment)
		} else if test.owner != "" {
			c.Check(m.Owners[0].Epoch > lease.EpochBase(2), qt.IsTrue, comment)
		}
		for _, entry := range m.Members {
			c.Check(entry.Silent, qt.Equals, entry.Box == "long-gone", qt.Commentf("%s: %s", test.name, entry.Box))
		}
		for now.Before(start.Add(reservationTime - beatInterval)) {
			now = now.Add(beatInterval)
			tick(now)
			c.Check(s.Map().Owners[0].Owner, qt.Equals, test.owner, comment)
		}
		now = start.Add(reservationTime + beatInterval)
		tick(now)
		got := s.Map().Owners[0].Owner
		if test.finalOwner == "any" {
			c.Check(got == "a" || got == "b", qt.IsTrue, comment)
		} else {
			c.Check(got, qt.Equals, test.finalOwner, comment)
		}
	}
}

// TestLateClaimKeepsEngine guards against a reply that takes an engine away from a box that claims it only after the first map was
// published.
func TestLateClaimKeepsEngine(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	s := New(Config{
		Box: "a", Lease: lease.EpochBase(2) + 1, Term: 7 * time.Second, LeaseTTL: 2 * time.Second, InheritedSilentAfter: time.Second,
		Started: now, Reclaim: true, Restored: true,
	}, Map{Owners: []Ownership{{Engine: "e", Owner: "a", Epoch: 4}}})
	engines := []Engine{{Name: "e"}}
	now = now.Add(time.Second)
	s.Tick(now, engines)
	s.SetPublished(now, s.Map())
	c.Assert(s.RecordBeat(now, Beat{Member: Member{Box: "b", Incarnation: "b1"}, Owned: []Ownership{{Engine: "e", Owner: "b", Epoch: 9}}}), qt.IsNil)
	c.Check(s.Reply(now, "b").Frozen, qt.IsTrue)
	s.Tick(now, engines)
	s.SetPublished(now, s.Map())
	r := s.Reply(now, "b")
	c.Check(r.Frozen, qt.IsFalse)
	c.Check(r.Grants, qt.DeepEquals, []Ownership{{Engine: "e", Owner: "b", Epoch: 9}})
}
