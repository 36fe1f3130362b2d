package coordinator_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/bellgap/bellgap/internal/coordinator"
)

// newZoneState returns the state of a zone with two engines per box. All engines are assigned and the map is published.
func newZoneState(boxes int) (s *coordinator.State, beats []coordinator.Beat, engines []coordinator.Engine) {
	start := time.Unix(1000, 0)
	s = coordinator.New(coordinator.Config{Cell: "z", Lease: 1, Term: 4 * time.Second, Started: start.Add(-time.Minute)}, coordinator.Map{})
	for i := range 2 * boxes {
		engines = append(engines, coordinator.Engine{Name: fmt.Sprintf("engine-%04d", i), Zone: "z"})
	}
	address := netip.MustParseAddrPort("10.20.30.40:8080")
	for i := range boxes {
		beats = append(beats, coordinator.Beat{Member: coordinator.Member{
			Box: fmt.Sprintf("box-%04d", i), Zone: "z", Incarnation: "ABCDEFGHIJKLMNOPQRSTUVWXYZ", Caller: address, Peer: address,
		}})
		_ = s.RecordBeat(start, beats[i])
	}
	s.Tick(start, engines)
	s.SetPublished(start, s.Map())
	for i := range beats {
		beats[i].Owned = s.Reply(start, beats[i].Member.Box).Grants
	}
	return s, beats, engines
}

var zoneSizes = []int{3, 7, 30, 92, 370}

func BenchmarkBeat(b *testing.B) {
	for _, n := range zoneSizes {
		b.Run(fmt.Sprintf("boxes=%d", n), func(b *testing.B) {
			s, beats, _ := newZoneState(n)
			now := time.Unix(1001, 0)
			in, _ := json.Marshal(beats[0])
			out, _ := json.Marshal(s.Reply(now, beats[0].Member.Box))
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				beat := beats[i%n]
				_ = s.RecordBeat(now, beat)
				s.Reply(now, beat.Member.Box)
			}
			b.ReportMetric(float64(len(in)), "beat-B")
			b.ReportMetric(float64(len(out)), "reply-B")
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, n := range zoneSizes {
		b.Run(fmt.Sprintf("boxes=%d", n), func(b *testing.B) {
			s, _, engines := newZoneState(n)
			now := time.Unix(1001, 0)
			size, _ := json.Marshal(s.Map())
			for b.Loop() {
				s.Tick(now, engines)
				s.Map()
			}
			b.ReportMetric(float64(len(size)), "map-B")
		})
	}
}
