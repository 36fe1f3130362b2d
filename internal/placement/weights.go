package placement

import (
	"math"
	"slices"
)

const (
	// stepsPerDoubling is the number of weight steps between a rate and its double. A step is a factor of 1.41.
	stepsPerDoubling = 2
	// stepHysteresis is how many steps a rate must be away from the step in force before the step changes. With half a step, a rate at
	// the border between two steps would move adapters with each small change.
	stepHysteresis = 0.75
	// maxStepsFromMedian limits the weight of a name to four times and a quarter of the median. The speeds of engines differ by a factor
	// of 2.4. An extreme rate must not attract most keys.
	maxStepsFromMedian = 4
)

// Weights derives weights from observed rates. It rounds the rates to steps, so that boxes whose observations differ a little use the
// same weights. It is not safe for concurrent use.
type Weights struct {
	// steps holds the step in force of each name with a known rate.
	steps  map[string]int
	median int
}

// NewWeights returns Weights without any known rate, so that all names have the same weight.
func NewWeights() *Weights { return &Weights{steps: map[string]int{}} }

// Update sets the current names with their rates. Names that are not listed are forgotten. A name whose rate is not positive or not
// finite keeps its last step if it has one.
func (w *Weights) Update(rates map[string]float64) {
	for name := range w.steps {
		if _, ok := rates[name]; !ok {
			delete(w.steps, name)
		}
	}
	for name, rate := range rates {
		if rate <= 0 || math.IsInf(rate, 0) || math.IsNaN(rate) {
			continue
		}
		exact := stepsPerDoubling * math.Log2(rate)
		if step, ok := w.steps[name]; !ok || math.Abs(exact-float64(step)) > stepHysteresis {
			w.steps[name] = int(math.Round(exact))
		}
	}
	w.median = w.medianStep()
}

// Of returns the weight of a name. A name without a known rate has the median weight.
func (w *Weights) Of(name string) float64 {
	step, ok := w.steps[name]
	if !ok {
		step = w.median
	}
	step = min(max(step, w.median-maxStepsFromMedian), w.median+maxStepsFromMedian)
	return math.Exp2(float64(step) / stepsPerDoubling)
}

func (w *Weights) medianStep() int {
	if len(w.steps) == 0 {
		return 0
	}
	all := make([]int, 0, len(w.steps))
	for _, step := range w.steps {
		all = append(all, step)
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}
