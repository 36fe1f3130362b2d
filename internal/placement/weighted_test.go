package placement_test

import (
	"fmt"
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bellgap/bellgap/internal/placement"
)

// rankWeighted returns the names in their weighted order for a key.
func rankWeighted(key string, all []string, weights *placement.Weights) []string {
	list, order := make([]placement.Weighted, len(all)), []string(nil)
	for i, name := range all {
		list[i] = placement.Weighted{Name: name, Weight: weights.Of(name)}
	}
	for _, i := range placement.TopWeighted(key, list, len(list)) {
		order = append(order, all[i])
	}
	return order
}

// TestEqualWeightsKeepOrder guards against moving all adapters when weights come into use or are switched off.
func TestEqualWeightsKeepOrder(t *testing.T) {
	c := qt.New(t)
	rapid.Check(t, func(t *rapid.T) {
		all := engineNames(rapid.IntRange(1, 40).Draw(t, "engines"))
		key := rapid.String().Draw(t, "key")
		weights := placement.NewWeights()
		if rate := rapid.Float64Range(-1, 50000).Draw(t, "rate"); rate > 0 {
			weights.Update(map[string]float64{all[0]: rate})
		}
		c.Assert(rankWeighted(key, all, weights), qt.DeepEquals, placement.Rank(key, all))
	})
}

// TestChangedRateMovesOnlyItsOwnKeys guards against a change of one engine's rate that moves adapters between other engines.
func TestChangedRateMovesOnlyItsOwnKeys(t *testing.T) {
	all, rates := engineNames(30), map[string]float64{}
	for i, name := range all {
		rates[name] = 10000 * (1 + 1.4*float64(i)/29)
	}
	weights := placement.NewWeights()
	weights.Update(rates)
	const keys = 3000
	first := map[string]string{}
	for i := range keys {
		key := fmt.Sprint("adapter-", i)
		first[key] = rankWeighted(key, all, weights)[0]
	}
	for _, tt := range []struct {
		name   string
		factor float64
		// minMoved and maxMoved bound the keys that have another first engine after the change.
		minMoved, maxMoved int
	}{
		{"a change within the step", 1.05, 0, 0},
		{"twice as fast", 2, 50, 200},
		{"back to the first rate", 1, 0, 0},
		{"half as fast", 0.5, 20, 100},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			rates[all[7]] = 10000 * (1 + 1.4*7.0/29) * tt.factor
			weights.Update(rates)
			moved := 0
			for key, before := range first {
				now := rankWeighted(key, all, weights)[0]
				if now != before {
					moved++
					c.Assert(now == all[7] || before == all[7], qt.IsTrue, qt.Commentf("%s moved from %s to %s", key, before, now))
				}
			}
			c.Check(moved >= tt.minMoved && moved <= tt.maxMoved, qt.IsTrue, qt.Commentf("%d moved", moved))
		})
	}
}

// TestFasterEngineIsFirstForMoreKeys guards against a spread of adapters that does not follow the speed of the engines.
func TestFasterEngineIsFirstForMoreKeys(t *testing.T) {
	c := qt.New(t)
	all, rates := engineNames(30), map[string]float64{}
	for i, name := range all {
		rates[name] = 10000 * float64(1+i/15)
	}
	weights := placement.NewWeights()
	weights.Update(rates)
	wins := map[float64]float64{}
	for i := range 3000 {
		wins[rates[rankWeighted(fmt.Sprint("adapter-", i), all, weights)[0]]]++
	}
	ratio := wins[20000] / wins[10000]
	c.Check(ratio > 1.8 && ratio < 2.2, qt.IsTrue, qt.Commentf("%v", wins))
}

// TestWeights guards against unstable weights at the border of a step and against weights that attract or repel all keys.
func TestWeights(t *testing.T) {
	c := qt.New(t)
	w := placement.NewWeights()
	rates := map[string]float64{"a": 10000, "b": 10000, "c": 10000, "extreme": 1e300, "slow": 1e-300, "wrong": math.NaN(), "unknown": 0}
	w.Update(rates)
	c.Check(w.Of("extreme")/w.Of("a"), qt.Equals, 4.0)
	c.Check(w.Of("a")/w.Of("slow"), qt.Equals, 4.0)
	c.Check(w.Of("wrong"), qt.Equals, w.Of("a"))
	c.Check(w.Of("unknown"), qt.Equals, w.Of("a"))
	before := w.Of("a")
	// Rates around the border between two steps change nothing, whichever side they come from.
	border := math.Exp2((math.Round(2*math.Log2(10000)) + 0.5) / 2)
	for _, factor := range []float64{0.97, 1.03, 0.98, 1.05} {
		rates["a"] = border * factor
		w.Update(rates)
		c.Check(w.Of("a"), qt.Equals, before)
	}
	rates["a"] = 0
	w.Update(rates)
	c.Check(w.Of("a"), qt.Equals, before, qt.Commentf("an engine without a new rate keeps its weight"))
	delete(rates, "extreme")
	w.Update(rates)
	c.Check(w.Of("extreme"), qt.Equals, w.Of("b"))
}
