package owner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/resource"
)

// BenchmarkRequest measures the decisions for one request: Submit, which starts the request at once, and FinishTicket.
func BenchmarkRequest(b *testing.B) {
	for _, waiting := range []int{0, 16, 128} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			now := time.Unix(1000, 0)
			s := owner.New(owner.Config{Slots: 16, Batch: 64, MaxQueue: 1024})
			var hot []resource.Ref
			for i := range 16 {
				hot = append(hot, resource.Ref{Adapter: fmt.Sprintf("a%d", i), Version: "1"})
			}
			s.Adopt(hot, false)
			for i := range waiting {
				cold := resource.Ref{Adapter: fmt.Sprintf("cold%d", i), Version: "1"}
				s.Submit(now, owner.Ticket{ID: uint64(i + 1), Ref: cold, Arrived: now, StartBy: now.Add(time.Hour)})
			}
			id := uint64(1 << 20)
			b.ReportAllocs()
			for b.Loop() {
				id++
				now = now.Add(time.Millisecond)
				s.Submit(now, owner.Ticket{ID: id, Ref: hot[id%16], Urgency: 50, Arrived: now, StartBy: now.Add(time.Hour)})
				s.FinishTicket(now, id, owner.EndWhole)
			}
		})
	}
}
