package placement_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bellgap/bellgap/internal/placement"
)

func engineNames(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("engine-%03d", i)
	}
	return all
}

func TestTop(t *testing.T) {
	c := qt.New(t)
	rapid.Check(t, func(t *rapid.T) {
		all := engineNames(rapid.IntRange(1, 40).Draw(t, "engines"))
		key := rapid.String().Draw(t, "key")
		order := placement.Rank(key, all)
		c.Assert(slices.Sorted(slices.Values(order)), qt.DeepEquals, all)
		n := rapid.IntRange(0, len(all)).Draw(t, "n")
		c.Assert(placement.Top(key, all, n), qt.HasLen, n)
		c.Assert(slices.Equal(placement.Top(key, all, n), order[:n]), qt.IsTrue)
		// The removal of one engine must not change the order of the others.
		removed := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
		remaining := slices.DeleteFunc(slices.Clone(order), func(s string) bool { return s == all[removed] })
		c.Assert(slices.Equal(placement.Rank(key, slices.Delete(slices.Clone(all), removed, removed+1)), remaining), qt.IsTrue)
	})
}

func TestTopSpreadsEvenly(t *testing.T) {
	c := qt.New(t)
	all := engineNames(15)
	wins := map[string]int{}
	for i := range 15000 {
		wins[placement.Top(fmt.Sprintf("adapter-%d@1", i), all, 1)[0]]++
	}
	for _, name := range all {
		c.Check(wins[name] > 850 && wins[name] < 1150, qt.IsTrue, qt.Commentf("%s: %d", name, wins[name]))
	}
}

func BenchmarkTop(b *testing.B) {
	for _, n := range []int{15, 100, 220, 660} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			all := engineNames(n)
			b.ReportAllocs()
			for b.Loop() {
				placement.Top("boundary-summary@3", all, 3)
			}
		})
	}
}
