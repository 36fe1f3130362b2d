// Package aggregator decides which boxes collect the heartbeats of others and pass them on to the coordinator in batches. It does no I/O
// and reads no clock.
package aggregator

import (
	"math"
	"slices"

	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/placement"
)

const (
	// directBoxes is how many boxes a coordinator hears without any in between: with so few, batches of a handful would cost a hop and save
	// no message.
	directBoxes = 16
	// leastFanIn is the least number of boxes that share an aggregator.
	leastFanIn = 12
	// choices is how many aggregators a box may use: a second one for when the first does not answer.
	choices = 2
)

// FanIn returns how many boxes share an aggregator in a cell of so many. The square root leaves the coordinator with as many aggregators as
// each of these has boxes, so that at 400 boxes nobody hears more than about 20; one that heard all 400 would take 1,000 messages a second.
func FanIn(boxes int) int {
	return max(leastFanIn, int(math.Ceil(math.Sqrt(float64(boxes)))))
}

// Choose returns the boxes that may pass the heartbeats of a box on, best first, itself included if it is one of them. There are none in a
// small cell, nor for the coordinator. Only boxes of its own availability zone are chosen, so that heartbeats cross zones in batches. All
// boxes with one map choose alike, but nothing depends on it: any box may pass on for any other.
func Choose(m coordinator.Map, box, zone string) []coordinator.Member {
	if len(m.Members) <= directBoxes || box == m.Coordinator {
		return nil
	}
	near := map[string]coordinator.Member{}
	var names []string
	for _, b := range m.Members {
		if b.Zone == zone && b.Box != m.Coordinator && !b.Leaving && !b.Silent {
			near[b.Box] = b
			names = append(names, b.Box)
		}
	}
	fanIn := FanIn(len(m.Members))
	count := max(1, int(math.Round(float64(len(names))/float64(fanIn))))
	aggregators := placement.Top("aggregators/"+m.Cell+"/"+zone, names, count)
	var chosen []coordinator.Member
	for _, name := range order(names, aggregators, box) {
		chosen = append(chosen, near[name])
	}
	return chosen
}

// order returns the aggregators that a box tries, best first. One that is an aggregator itself uses no other. The rest are shared out one
// by one to the less loaded of two that a hash names, which keeps the fullest within a few boxes of the mean (a hash alone gives it 1.5 times
// the mean) and moves few boxes when one comes or goes.
func order(names, aggregators []string, box string) []string {
	if slices.Contains(aggregators, box) {
		return []string{box}
	}
	slices.Sort(names)
	load := map[string]int{}
	for _, name := range names {
		two := placement.Top(name, aggregators, choices)
		if slices.Contains(aggregators, name) {
			two = []string{name}
		}
		if len(two) == choices && load[two[1]] < load[two[0]] {
			two[0], two[1] = two[1], two[0]
		}
		load[two[0]]++
		if name == box {
			return two
		}
	}
	return placement.Top(box, aggregators, choices)
}
