package member_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestAuthorityThroughALostTail guards against engines that two boxes may give orders, or epochs that are given twice, after the store has come back from
// a copy that lacks the last takeovers.
func TestAuthorityThroughALostTail(t *testing.T) {
	for lost := 500 * time.Millisecond; lost <= 14*time.Second; lost += 900 * time.Millisecond {
		for _, then := range []time.Duration{0, 300 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second, 9 * time.Second} {
			t.Run(fmt.Sprint(lost, "-then-", then), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					cl := newTimedCluster(t, 5, 12, 0, routedTiming())
					defer cl.end()
					cl.until(30*time.Second, func() bool { return cl.owned() == len(cl.engines) })
					cl.run(8 * time.Second)
					older := cl.platform.Snapshot()
					cl.kill("box-000")
					cl.start("box-005", 5)
					cl.run(lost)
					cl.kill("box-001")
					cl.platform.Rewind(older)
					cl.run(then)
					cl.kill("box-002")
					cl.start("box-006", 6)
					cl.until(40*time.Second, func() bool { return cl.owned() == len(cl.engines) })
					cl.run(10 * time.Second)
					cl.c.Check(cl.owned(), qt.Equals, len(cl.engines))
					cl.check()
				})
			})
		}
	}
}

// TestLargeCellThroughALostTail guards against boxes behind aggregators that lose their engines, or are hidden from callers, when the store comes back from an
// older copy and nothing else has happened.
func TestLargeCellThroughALostTail(t *testing.T) {
	for _, lost := range []time.Duration{300 * time.Millisecond, 1700 * time.Millisecond, 4 * time.Second} {
		t.Run(lost.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newTimedCluster(t, 30, 60, 4*time.Millisecond, routedTiming())
				defer cl.end()
				cl.until(40*time.Second, func() bool { return cl.owned() == len(cl.engines) })
				cl.run(12 * time.Second)
				owners := cl.owners()
				older := cl.platform.Snapshot()
				cl.run(lost)
				cl.platform.Rewind(older)
				for range 120 {
					cl.run(100 * time.Millisecond)
					cl.c.Check(cl.owned(), qt.Equals, len(cl.engines))
				}
				cl.c.Check(cl.owners(), qt.DeepEquals, owners)
				_, hidden := cl.watchNamed(nil, 2*time.Second)
				cl.c.Check(hidden, qt.Equals, 0)
				cl.check()
			})
		})
	}
}

// owners returns which box may give each engine orders.
func (cl *cluster) owners() map[string]string {
	now, all := time.Now(), map[string]string{}
	for _, e := range cl.engines {
		for _, n := range cl.list() {
			if _, ok := n.Authority(e, now); ok {
				all[e] = n.name
			}
		}
	}
	return all
}
