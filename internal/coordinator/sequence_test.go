package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/result"
)

// TestHeartbeatsOutOfOrder sends heartbeats as an aggregator may deliver them: delayed, twice, or based on a heartbeat that only
// another coordinator received.
func TestHeartbeatsOutOfOrder(t *testing.T) {
	c := qt.New(t)
	start := time.Now()
	s := coordinator.New(coordinator.Config{Box: "box-a", Lease: 1, Term: 7 * time.Second, SilentAfter: time.Second, Started: start}, coordinator.Map{
		Members: []coordinator.Member{{Box: "box-c", Incarnation: "1"}},
	})
	fullMember := coordinator.Member{Box: "box-b", Zone: "hall-a", Incarnation: "1"}
	shortMember := coordinator.Member{Box: "box-b", Incarnation: "1"}
	for _, test := range []struct {
		name string
		at   time.Duration
		beat coordinator.Beat
		code result.Code
		// age is the expected time since the coordinator last accepted a heartbeat of the box, or since it took over.
		age time.Duration
	}{
		{"first heartbeat, without a full heartbeat before", 0, coordinator.Beat{Member: shortMember, Sequence: 1, Base: 1}, result.UnknownBase, 0},
		{"full heartbeat", 100 * time.Millisecond, coordinator.Beat{Member: fullMember, Sequence: 2, Draining: []string{"engine-1"}}, result.OK, 0},
		{"based on the full heartbeat", 500 * time.Millisecond, coordinator.Beat{Member: shortMember, Sequence: 4, Base: 2}, result.OK, 0},
		{"delayed", 900 * time.Millisecond, coordinator.Beat{Member: fullMember, Sequence: 3}, result.LateBeat, 400 * time.Millisecond},
		{"twice", 900 * time.Millisecond, coordinator.Beat{Member: shortMember, Sequence: 4, Base: 2}, result.LateBeat, 400 * time.Millisecond},
		{"based on a rejected heartbeat", 900 * time.Millisecond, coordinator.Beat{Member: shortMember, Sequence: 5, Base: 3}, result.UnknownBase, 400 * time.Millisecond},
		{"a new process", time.Second, coordinator.Beat{Member: coordinator.Member{Box: "box-b", Incarnation: "2"}, Sequence: 1}, result.OK, 0},
		{
			"inherited box, based on a heartbeat that only the last coordinator received", time.Second,
			coordinator.Beat{Member: coordinator.Member{Box: "box-c", Incarnation: "1"}, Sequence: 9, Base: 3},
			result.UnknownBase, time.Second,
		},
	} {
		now := start.Add(test.at)
		err := s.RecordBeat(now, test.beat)
		comment := qt.Commentf("%s", test.name)
		if test.code == result.OK {
			c.Check(err, qt.IsNil, comment)
		} else {
			c.Check(result.From(err, result.OK).Code, qt.Equals, test.code, comment)
		}
		c.Check(s.LastContact(now, test.beat.Member.Box).Age, qt.Equals, test.age, comment)
	}
}

// TestIncrementalHeartbeatKeepsOmittedFields checks that an engine keeps its previous owner as long as that box has requests on it,
// although only the first heartbeat lists the engine as draining and the later heartbeats omit the list.
func TestIncrementalHeartbeatKeepsOmittedFields(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	s := coordinator.New(coordinator.Config{
		Box: "box-a", Lease: 1, Term: 7 * time.Second, Drain: time.Minute, SilentAfter: time.Second, Started: now,
	}, coordinator.Map{
		Owners: []coordinator.Ownership{{Engine: "engine-1", Owner: "box-a", Epoch: 2, Previous: "box-b"}},
	})
	engines := []coordinator.Engine{{Name: "engine-1"}}
	c.Assert(s.RecordBeat(now.Add(time.Millisecond), coordinator.Beat{
		Member: coordinator.Member{Box: "box-b", Incarnation: "1"}, Sequence: 1, Draining: []string{"engine-1"},
	}), qt.IsNil)
	for i := range 20 {
		now = now.Add(400 * time.Millisecond)
		c.Assert(s.RecordBeat(now, coordinator.Beat{Member: coordinator.Member{Box: "box-b", Incarnation: "1"}, Sequence: uint64(i) + 2, Base: 1}), qt.IsNil)
		s.Tick(now, engines)
		c.Assert(s.Map().Owners[0].Previous, qt.Equals, "box-b", qt.Commentf("after incremental heartbeat %d", i))
	}
	c.Assert(s.RecordBeat(now, coordinator.Beat{Member: coordinator.Member{Box: "box-b", Incarnation: "1"}, Sequence: 99}), qt.IsNil)
	s.Tick(now, engines)
	c.Check(s.Map().Owners[0].Previous, qt.Equals, "")
}

// BenchmarkReply measures replies in cells with up to 3,000 engines. The time per reply must not grow with the number of engines.
func BenchmarkReply(b *testing.B) {
	for _, boxes := range []int{30, 100, 300} {
		b.Run(fmt.Sprintf("boxes=%d", boxes), func(b *testing.B) {
			now := time.Now()
			s := coordinator.New(coordinator.Config{
				Box: "box-000", Lease: 1, Term: 7 * time.Second, SilentAfter: time.Second, Reclaim: true, Started: now.Add(-time.Minute),
			}, coordinator.Map{})
			var engines []coordinator.Engine
			for i := range 10 * boxes {
				engines = append(engines, coordinator.Engine{Name: fmt.Sprintf("engine-%04d", i)})
			}
			for i := range boxes {
				if err := s.RecordBeat(now, coordinator.Beat{Member: coordinator.Member{Box: fmt.Sprintf("box-%03d", i), Incarnation: "1"}, Sequence: 1}); err != nil {
					b.Fatal(err)
				}
			}
			s.Tick(now, engines)
			s.SetPublished(now, s.Map())
			b.ResetTimer()
			for i := range b.N {
				_ = s.Reply(now, fmt.Sprintf("box-%03d", i%boxes))
			}
		})
	}
}
