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
		all, key := engineNames(rapid.IntRange(1, 40).Draw(t, "engines")), rapid.String().Draw(t, "key")
		weights := placement.NewWeights()
		weights.Update(map[string]float64{all[0]: rapid.Float64Range(-1, 50000).Draw(t, "rate")})
		c.Assert(rankWeighted(key, all, weights), qt.DeepEquals, placement.Rank(key, all))
	})
}

// TestChangedRateMovesOnlyItsOwnKeys guards against a change of one engine's rate that moves adapters between other engines, and against
// a spread of adapters that does not follow the rates.
func TestChangedRateMovesOnlyItsOwnKeys(t *testing.T) {
	const keys, initialRate = 3000, 10000.0
	all, rates, weights, first := engineNames(30), map[string]float64{}, placement.NewWeights(), map[string]string{}
	for _, name := range all {
		rates[name] = initialRate
	}
	weights.Update(rates)
	for i := range keys {
		key := fmt.Sprint("adapter-", i)
		first[key] = rankWeighted(key, all, weights)[0]
	}
	for _, tt := range []struct {
		name   string
		factor float64
		// minShare and maxShare bound the keys for which the changed engine is first, compared with those of an average engine.
		minShare, maxShare float64
		wantMoved          bool
	}{
		{"a change within the step", 1.05, 0.8, 1.2, false},
		{"twice as fast", 2, 1.7, 2.2, true},
		{"back to the first rate", 1, 0.8, 1.2, false},
		{"half as fast", 0.5, 0.35, 0.65, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			rates[all[7]] = initialRate * tt.factor
			weights.Update(rates)
			moved, wins := 0, 0.0
			for key, before := range first {
				now := rankWeighted(key, all, weights)[0]
				if now != before {
					moved++
					c.Assert(now == all[7] || before == all[7], qt.IsTrue, qt.Commentf("%s moved from %s to %s", key, before, now))
				}
				if now == all[7] {
					wins++
				}
			}
			c.Check(moved > 0, qt.Equals, tt.wantMoved)
			share := wins / (keys / float64(len(all)))
			c.Check(share > tt.minShare && share < tt.maxShare, qt.IsTrue, qt.Commentf("%.2f", share))
		})
	}
}

// TestWeights guards against unstable weights at the border of a step and against weights that attract or repel all keys.
func TestWeights(t *testing.T) {
	c := qt.New(t)
	w := placement.NewWeights()
	rates := map[string]float64{"a": 10000, "b": 10000, "c": 10000, "extreme": 1e300, "slow": 1e-300, "wrong": math.NaN(), "unknown": 0}
	w.Update(rates)
	before := w.Of("a")
	c.Check(w.Of("extreme")/before, qt.Equals, 4.0)
	c.Check(before/w.Of("slow"), qt.Equals, 4.0)
	c.Check(w.Of("wrong"), qt.Equals, before)
	c.Check(w.Of("unknown"), qt.Equals, before)
	border := math.Exp2((math.Round(2*math.Log2(10000)) + 0.5) / 2)
	// The last rate is unknown. An engine without a new rate keeps its weight.
	for _, factor := range []float64{0.97, 1.03, 0.98, 1.05, 0} {
		rates["a"] = border * factor
		w.Update(rates)
		c.Check(w.Of("a"), qt.Equals, before)
	}
}
