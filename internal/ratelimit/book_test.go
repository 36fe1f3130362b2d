package ratelimit

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
)

func newRegistry(boxes int) *Registry {
	return NewRegistry(RegistryConfig{Boxes: func() int { return boxes }, Scope: tally.NoopScope})
}

func TestRegistryKeepsLatestReport(t *testing.T) {
	c := qt.New(t)
	registry := newRegistry(3)
	c.Check(registry.Record(base, "e", Report{}), qt.IsFalse, qt.Commentf("neither this report nor an earlier one has a limit"))
	c.Check(registry.LatestReport(base, "e", 0), qt.IsNil)
	c.Check(registry.Record(base, "e", *limitedReport(1.9, 5)), qt.IsTrue)
	later := base.Add(time.Second)
	c.Check(registry.LatestReport(later, "e", 5), qt.DeepEquals, &Report{Limited: true, Rate: 1.9, Started: 5, Age: time.Second})
	c.Check(registry.LatestReport(later, "e", 6), qt.IsNil, qt.Commentf("the endpoint has restarted since the report"))
	c.Check(registry.Limits(later), qt.DeepEquals, []Limit{{Endpoint: "e", Rate: 1.9, LimitedFor: time.Second, Age: time.Second}})
	c.Check(registry.Record(later, "e", Report{Started: 5}), qt.IsTrue, qt.Commentf("other boxes may still apply the limit"))
	c.Check(registry.Limits(later), qt.HasLen, 0)
	c.Check(registry.Record(later, "e", Report{Limited: true, Rate: 1, Started: 5, Age: 500 * time.Millisecond}), qt.IsTrue)
	c.Check(registry.Limits(later), qt.HasLen, 0, qt.Commentf("the report is older than the stored one"))
	registry.Record(later.Add(liftedRetention), "other", *limitedReport(1, 0))
	c.Check(registry.LatestReport(later.Add(liftedRetention), "e", 5), qt.IsNil, qt.Commentf("forgotten"))
}

func TestRegistrySizeIsLimited(t *testing.T) {
	c := qt.New(t)
	registry := newRegistry(3)
	for i := range maxEntries + 100 {
		registry.Record(base.Add(time.Duration(i)*time.Millisecond), fmt.Sprint(i), *limitedReport(1, 0))
	}
	c.Check(len(registry.entries), qt.Equals, maxEntries)
	c.Check(registry.LatestReport(base, "0", 0), qt.IsNil)
	c.Check(registry.LatestReport(base, fmt.Sprint(maxEntries+99), 0), qt.IsNotNil)
}

// TestRetriesAreSpreadOverTheRate sends 100 requests at once to five endpoints that accept two requests per second each. Retries
// must not exceed 20 in any second.
func TestRetriesAreSpreadOverTheRate(t *testing.T) {
	const boxes = 4
	c := qt.New(t)
	var names []string
	retriesPerSecond := make([]int, 31)
	for n := range 5 {
		names = append(names, fmt.Sprint(n))
	}
	for range boxes {
		registry := newRegistry(boxes)
		for _, name := range names {
			registry.Record(base, name, *limitedReport(2, 0))
		}
		for range 100 / boxes {
			retriesPerSecond[int(registry.RetryAfter(base, "s", func() []string { return names }, 100*time.Millisecond).Seconds())]++
		}
	}
	c.Logf("retries in each second: %v", retriesPerSecond)
	for second, n := range retriesPerSecond {
		c.Check(n <= 20, qt.IsTrue, qt.Commentf("%d retries in second %d", n, second))
	}
	c.Check(retriesPerSecond[0] >= 5, qt.IsTrue)
}

// BenchmarkRegistryWithoutRates measures the cost per request while no endpoint has a rate limit.
func BenchmarkRegistryWithoutRates(b *testing.B) {
	registry := newRegistry(3)
	for b.Loop() {
		registry.LatestReport(base, "e", 1)
		registry.Record(base, "e", Report{Started: 1})
	}
}

// BenchmarkRegistry measures the cost per request to an endpoint that has a rate limit.
func BenchmarkRegistry(b *testing.B) {
	registry := newRegistry(3)
	registry.Record(base, "e", *limitedReport(1, 1))
	for b.Loop() {
		registry.LatestReport(base, "e", 1)
		registry.Record(base, "e", *limitedReport(1, 1))
	}
}

// TestRegistryPassesRecentCounts guards against counts that stay for ever, that an answer which was overtaken takes back, or that are
// stored without limit.
func TestRegistryPassesRecentCounts(t *testing.T) {
	c := qt.New(t)
	registry := newRegistry(3)
	registry.RecordCount(base, "e", KeeperCount{Keeper: 1, Granted: 1})
	c.Check(registry.RecentCounts(base, "e"), qt.HasLen, 0, qt.Commentf("no limit is known"))
	registry.Record(base, "e", *limitedReport(5, 0))
	registry.RecordCount(base.Add(time.Second), "e", KeeperCount{Keeper: 1, Granted: 8, Tokens: 2})
	registry.RecordCount(base.Add(2*time.Second), "e", KeeperCount{Keeper: 1, Granted: 7, Tokens: 3})
	now := base.Add(5 * time.Second)
	c.Check(registry.RecentCounts(now, "e"), qt.DeepEquals, []KeeperCount{{Keeper: 1, Granted: 8, Tokens: 2, Age: 4 * time.Second}})
	c.Check(registry.RecentCounts(base.Add(time.Second+CountRetention), "e"), qt.HasLen, 0)
	registry.RecordCount(base.Add(3*time.Second), "e", KeeperCount{Keeper: 2, Granted: 5, Others: map[uint64]uint64{1: 8}})
	registry.RecordCount(base.Add(2*time.Second), "e", KeeperCount{Keeper: 3, Granted: 6, Others: map[uint64]uint64{1: 7}})
	c.Check(registry.RecentCounts(now, "e"), qt.DeepEquals, []KeeperCount{
		{Keeper: 1, Granted: 8, Tokens: 2, Age: 4 * time.Second},
		{Keeper: 2, Granted: 5, Age: 2 * time.Second, Others: map[uint64]uint64{1: 8}},
		{Keeper: 3, Granted: 6, Age: 3 * time.Second},
	})
	tooMany := map[uint64]uint64{}
	for i := range uint64(MaxOthers + 1) {
		tooMany[i+1] = 1
	}
	registry.RecordCount(now, "e", KeeperCount{Keeper: 4, Granted: 1, Others: tooMany})
	c.Check(registry.RecentCounts(now, "e")[3], qt.DeepEquals, KeeperCount{Keeper: 4, Granted: 1})
	for i := range uint64(2 * maxCounts) {
		registry.RecordCount(now, "e", KeeperCount{Keeper: i, Granted: 9})
	}
	c.Check(registry.RecentCounts(now, "e"), qt.HasLen, maxCounts)
}
