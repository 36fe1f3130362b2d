package placement_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bellgap/bellgap/internal/placement"
)

func names(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("engine-%03d", i)
	}
	return all
}

func TestTop(t *testing.T) {
	c := qt.New(t)
	rapid.Check(t, func(t *rapid.T) {
		all := names(rapid.IntRange(1, 40).Draw(t, "engines"))
		key := rapid.String().Draw(t, "key")
		order := placement.Rank(key, all)
		c.Assert(slices.Sorted(slices.Values(order)), qt.DeepEquals, all)
		n := rapid.IntRange(0, len(all)).Draw(t, "n")
		c.Assert(placement.Top(key, all, n), qt.HasLen, n)
		c.Assert(slices.Equal(placement.Top(key, all, n), order[:n]), qt.IsTrue)
		// Without one engine the order of the others stays.
		gone := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
		left := slices.DeleteFunc(slices.Clone(order), func(s string) bool { return s == all[gone] })
		c.Assert(slices.Equal(placement.Rank(key, slices.Delete(slices.Clone(all), gone, gone+1)), left), qt.IsTrue)
	})
}

func TestTopSpreadsEvenly(t *testing.T) {
	c := qt.New(t)
	all := names(15)
	count := map[string]int{}
	for i := range 15000 {
		count[placement.Top(fmt.Sprintf("adapter-%d@1", i), all, 1)[0]]++
	}
	for _, n := range all {
		c.Check(count[n] > 850 && count[n] < 1150, qt.IsTrue, qt.Commentf("%s: %d", n, count[n]))
	}
}

func BenchmarkTop(b *testing.B) {
	for _, n := range []int{15, 100, 220, 660} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			all := names(n)
			b.ReportAllocs()
			for b.Loop() {
				placement.Top("boundary-summary@3", all, 3)
			}
		})
	}
}
