package coordinator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/lease"
)

// TestSuccessorsAfterRestoreKeepReservations replaces the coordinator that found a restore of the store, once or twice in quick
// succession. It guards against a successor that assigns an engine while another box may still hold a grant that it has not reported:
// a coordinator that has not noticed the restore may have renewed that grant until its lease expired.
func TestSuccessorsAfterRestoreKeepReservations(t *testing.T) {
	const (
		beatInterval, term, ttl, orderGap = 400 * time.Millisecond, 7 * time.Second, 2 * time.Second, 3200 * time.Millisecond
		reservationTime                   = ttl + term + orderGap
	)
	engines := []Engine{{Name: "e"}}
	for successors := range 3 {
		c := qt.New(t)
		comment := qt.Commentf("%d successors", successors)
		now := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
		restoredAt := now
		cfg := Config{
			Box: "a", Lease: lease.EpochBase(2) + 1, Term: term, LeaseTTL: ttl, OrderGap: orderGap,
			SilentAfter: 3 * beatInterval, InheritedSilentAfter: 2 * beatInterval, Started: now, Reclaim: true, Restored: true,
		}
		s := New(cfg, Map{Members: []Member{{Box: "a"}, {Box: "b"}}, Owners: []Ownership{{Engine: "e", Owner: "lost", Epoch: 4}}})
		advance := func() Map {
			now = now.Add(beatInterval)
			for _, box := range []string{"a", "b"} {
				c.Assert(s.RecordBeat(now, Beat{Member: Member{Box: box}}), qt.IsNil)
			}
			s.Tick(now, engines)
			m := s.Map()
			if !s.IsCollecting(now) {
				s.SetPublished(now, m)
			}
			return m
		}
		advance()
		m := advance()
		for range successors {
			cfg.Lease, cfg.Started, cfg.Restored = cfg.Lease+1, now, false
			s = New(cfg, m)
			m = advance()
		}
		for now.Before(restoredAt.Add(reservationTime - beatInterval)) {
			m = advance()
			c.Check(m.Owners[0].Owner, qt.Equals, "", qt.Commentf("%d successors, %v after the restore", successors, now.Sub(restoredAt)))
			c.Check(m.UnreportedGrants, qt.IsTrue, comment)
		}
		for range 2 + successors {
			m = advance()
		}
		c.Check(m.Owners[0].Owner, qt.Not(qt.Equals), "", comment)
		c.Check(m.UnreportedGrants, qt.IsFalse, comment)
	}
}
