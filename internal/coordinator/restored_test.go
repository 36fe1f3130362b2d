package coordinator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/lease"
)

// TestMapOfAnOlderCopy guards against engines that are granted by a map that the store has brought back, while another box holds them.
func TestMapOfAnOlderCopy(t *testing.T) {
	const (
		beat, term, ttl, gap = 400 * time.Millisecond, 7 * time.Second, 2 * time.Second, 3200 * time.Millisecond
		before               = 40
	)
	began := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	hold := ttl + term + gap
	older := Map{
		Epoch: before, Lease: lease.FirstEpoch(1) + 3,
		Members: []Member{{Box: "a", Incarnation: "a1"}, {Box: "b", Incarnation: "b1"}, {Box: "long-gone", Incarnation: "c1"}},
		Owners:  []Ownership{{Engine: "e", Owner: "a", Epoch: before}},
	}
	claim := Ownership{Engine: "e", Owner: "b", Epoch: before + 7}
	beatOf := func(box, incarnation string, owned []Ownership, lapsed ...string) Beat {
		return Beat{Member: Member{Box: box, Incarnation: incarnation}, Owned: owned, Lapsed: lapsed}
	}
	for _, test := range []struct {
		name  string
		beats []Beat
		// owner is who has the engine once the first map may be published, atEnd once nothing of before can hold.
		owner, atEnd string
		kept         bool
	}{
		{"another box claims it", []Beat{beatOf("a", "a1", nil), beatOf("b", "b1", []Ownership{claim})}, "b", "b", true},
		{"its box claims it", []Beat{beatOf("a", "a1", older.Owners), beatOf("b", "b1", nil)}, "a", "a", true},
		{"both claim it", []Beat{beatOf("a", "a1", older.Owners), beatOf("b", "b1", []Ownership{claim})}, "b", "b", true},
		{"nobody claims it", []Beat{beatOf("a", "a1", nil), beatOf("b", "b1", nil)}, "", "any", false},
		{"its box comes as a new process", []Beat{beatOf("a", "a2", nil), beatOf("b", "b1", nil)}, "a", "a", false},
		{"its box comes as a new process, another claims it", []Beat{beatOf("a", "a2", nil), beatOf("b", "b1", []Ownership{claim})}, "b", "b", true},
		{"its box comes with a grant that has run out", []Beat{beatOf("a", "a1", nil, "e"), beatOf("b", "b1", nil)}, "a", "a", false},
		{"only another box's grant has run out", []Beat{beatOf("a", "a1", nil), beatOf("b", "b1", nil, "e")}, "", "any", false},
	} {
		c := qt.New(t)
		s := New(Config{
			Box: "a", Lease: lease.FirstEpoch(2) + 1, Term: term, LeaseTTL: ttl, OrderGap: gap, SilentAfter: 3 * beat, UnheardAfter: 2 * beat, Started: began,
			Reclaim: true, Restored: true,
		}, older)
		comment := qt.Commentf("%s", test.name)
		engines := []Engine{{Name: "e"}}
		tick := func(now time.Time) {
			for _, b := range test.beats {
				c.Assert(s.Beat(now, b), qt.IsNil)
			}
			s.Tick(now, engines)
		}
		c.Check(s.Collecting(began.Add(beat)), qt.IsTrue)
		tick(began.Add(beat))
		for _, b := range test.beats {
			c.Check(s.Reply(began.Add(beat), b.Member.Box).Frozen, qt.IsTrue, comment)
		}
		now := began.Add(2 * beat)
		c.Check(s.Collecting(now), qt.IsFalse)
		tick(now)
		m := s.Map()
		s.Published(now, m)
		c.Check(m.Owners[0].Owner, qt.Equals, test.owner, comment)
		if test.kept {
			c.Check(m.Owners[0].Epoch <= claim.Epoch, qt.IsTrue, comment)
		} else if test.owner != "" {
			c.Check(m.Owners[0].Epoch > lease.FirstEpoch(2), qt.IsTrue, comment)
		}
		for _, shown := range m.Members {
			c.Check(shown.Silent, qt.Equals, shown.Box == "long-gone", qt.Commentf("%s: %s", test.name, shown.Box))
		}
		for now.Before(began.Add(hold - beat)) {
			now = now.Add(beat)
			tick(now)
			c.Check(s.Map().Owners[0].Owner, qt.Equals, test.owner, comment)
		}
		now = began.Add(hold + beat)
		tick(now)
		got := s.Map().Owners[0].Owner
		if test.atEnd == "any" {
			c.Check(got == "a" || got == "b", qt.IsTrue, comment)
		} else {
			c.Check(got, qt.Equals, test.atEnd, comment)
		}
	}
}

// TestLateClaimIsNotTakenAway guards against a reply that takes an engine from a box which claims it only after the first map.
func TestLateClaimIsNotTakenAway(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	s := New(Config{
		Box: "a", Lease: lease.FirstEpoch(2) + 1, Term: 7 * time.Second, LeaseTTL: 2 * time.Second, UnheardAfter: time.Second, Started: now, Reclaim: true, Restored: true,
	}, Map{Owners: []Ownership{{Engine: "e", Owner: "a", Epoch: 4}}})
	engines := []Engine{{Name: "e"}}
	now = now.Add(time.Second)
	s.Tick(now, engines)
	s.Published(now, s.Map())
	c.Assert(s.Beat(now, Beat{Member: Member{Box: "b", Incarnation: "b1"}, Owned: []Ownership{{Engine: "e", Owner: "b", Epoch: 9}}}), qt.IsNil)
	c.Check(s.Reply(now, "b").Frozen, qt.IsTrue)
	s.Tick(now, engines)
	s.Published(now, s.Map())
	r := s.Reply(now, "b")
	c.Check(r.Frozen, qt.IsFalse)
	c.Check(r.Grants, qt.DeepEquals, []Ownership{{Engine: "e", Owner: "b", Epoch: 9}})
}
