package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/result"
)

// TestHeartbeatsOutOfOrder sends heartbeats as a box in between may deliver them: held up, twice, and based on one that another coordinator heard.
func TestHeartbeatsOutOfOrder(t *testing.T) {
	c := qt.New(t)
	start := time.Now()
	s := coordinator.New(coordinator.Config{Box: "box-a", Lease: 1, Term: 7 * time.Second, SilentAfter: time.Second, Started: start}, coordinator.Map{
		Members: []coordinator.Member{{Box: "box-c", Incarnation: "1"}},
	})
	full := coordinator.Member{Box: "box-b", Zone: "hall-a", Incarnation: "1"}
	brief := coordinator.Member{Box: "box-b", Incarnation: "1"}
	for _, test := range []struct {
		name string
		at   time.Duration
		beat coordinator.Beat
		code result.Code
		// age is how long ago the coordinator has heard from the box then.
		age time.Duration
	}{
		{"first, without one in full before", 0, coordinator.Beat{Member: brief, Sequence: 1, Base: 1}, result.UnknownBase, 0},
		{"in full", 100 * time.Millisecond, coordinator.Beat{Member: full, Sequence: 2, Draining: []string{"engine-1"}}, result.OK, 0},
		{"based on it", 500 * time.Millisecond, coordinator.Beat{Member: brief, Sequence: 4, Base: 2}, result.OK, 0},
		{"held up", 900 * time.Millisecond, coordinator.Beat{Member: full, Sequence: 3}, result.LateBeat, 400 * time.Millisecond},
		{"twice", 900 * time.Millisecond, coordinator.Beat{Member: brief, Sequence: 4, Base: 2}, result.LateBeat, 400 * time.Millisecond},
		{"based on one that was not heard", 900 * time.Millisecond, coordinator.Beat{Member: brief, Sequence: 5, Base: 3}, result.UnknownBase, 400 * time.Millisecond},
		{"a new process", time.Second, coordinator.Beat{Member: coordinator.Member{Box: "box-b", Incarnation: "2"}, Sequence: 1}, result.OK, 0},
		{"inherited, based on what the coordinator before heard", time.Second, coordinator.Beat{Member: coordinator.Member{Box: "box-c", Incarnation: "1"}, Sequence: 9, Base: 3}, result.UnknownBase, time.Second},
	} {
		now := start.Add(test.at)
		err := s.Beat(now, test.beat)
		comment := qt.Commentf("%s", test.name)
		if test.code == result.OK {
			c.Check(err, qt.IsNil, comment)
		} else {
			c.Check(result.From(err, result.OK).Code, qt.Equals, test.code, comment)
		}
		c.Check(s.Heard(now, test.beat.Member.Box).Age, qt.Equals, test.age, comment)
	}
}

// TestBasedHeartbeatKeepsWhatItLeavesOut: an engine that a box still has requests on stays with its former owner though heartbeats after the
// first leave that out.
func TestBasedHeartbeatKeepsWhatItLeavesOut(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	s := coordinator.New(coordinator.Config{Box: "box-a", Lease: 1, Term: 7 * time.Second, Drain: time.Minute, SilentAfter: time.Second, Started: now}, coordinator.Map{
		Owners: []coordinator.Ownership{{Engine: "engine-1", Owner: "box-a", Epoch: 2, Previous: "box-b"}},
	})
	engines := []coordinator.Engine{{Name: "engine-1"}}
	c.Assert(s.Beat(now.Add(time.Millisecond), coordinator.Beat{Member: coordinator.Member{Box: "box-b", Incarnation: "1"}, Sequence: 1, Draining: []string{"engine-1"}}), qt.IsNil)
	for i := range 20 {
		now = now.Add(400 * time.Millisecond)
		c.Assert(s.Beat(now, coordinator.Beat{Member: coordinator.Member{Box: "box-b", Incarnation: "1"}, Sequence: uint64(i) + 2, Base: 1}), qt.IsNil)
		s.Tick(now, engines)
		c.Assert(s.Map().Owners[0].Previous, qt.Equals, "box-b", qt.Commentf("after %d", i))
	}
	c.Assert(s.Beat(now, coordinator.Beat{Member: coordinator.Member{Box: "box-b", Incarnation: "1"}, Sequence: 99}), qt.IsNil)
	s.Tick(now, engines)
	c.Check(s.Map().Owners[0].Previous, qt.Equals, "")
}

// BenchmarkReply answers heartbeats of a cell with 3,000 engines: what it takes must not grow with them.
func BenchmarkReply(b *testing.B) {
	for _, boxes := range []int{30, 100, 300} {
		b.Run(fmt.Sprintf("boxes=%d", boxes), func(b *testing.B) {
			now := time.Now()
			s := coordinator.New(coordinator.Config{Box: "box-000", Lease: 1, Term: 7 * time.Second, SilentAfter: time.Second, Reclaim: true, Started: now.Add(-time.Minute)}, coordinator.Map{})
			var engines []coordinator.Engine
			for i := range 10 * boxes {
				engines = append(engines, coordinator.Engine{Name: fmt.Sprintf("engine-%04d", i)})
			}
			for i := range boxes {
				if err := s.Beat(now, coordinator.Beat{Member: coordinator.Member{Box: fmt.Sprintf("box-%03d", i), Incarnation: "1"}, Sequence: 1}); err != nil {
					b.Fatal(err)
				}
			}
			s.Tick(now, engines)
			s.Published(now, s.Map())
			b.ResetTimer()
			for i := range b.N {
				_ = s.Reply(now, fmt.Sprintf("box-%03d", i%boxes))
			}
		})
	}
}
