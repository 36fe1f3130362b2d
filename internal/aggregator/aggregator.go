// Package aggregator selects the boxes that collect the heartbeats of other boxes and forward them to the coordinator in batches. It
// does no I/O and reads no clock.
package aggregator

import (
	"math"
	"slices"

	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/placement"
)

const (
	// maxDirectBoxes is the largest number of boxes in a cell that send their heartbeats directly to the coordinator. With so few boxes,
	// small batches would add a hop without saving messages.
	maxDirectBoxes = 16
	// minFanIn is the lower limit of FanIn.
	minFanIn = 12
	// aggregatorsPerBox is the number of aggregators that a box may use. The second one is used if the first does not answer.
	aggregatorsPerBox = 2
)

// FanIn returns the intended number of boxes per aggregator in a cell with the given number of boxes. With the square root, the
// coordinator has as many aggregators as each aggregator has boxes. At 400 boxes, no box receives heartbeats from more than about 20
// boxes; a coordinator that received the heartbeats of all 400 boxes directly would have to handle 1,000 messages per second.
func FanIn(boxes int) int {
	return max(minFanIn, int(math.Ceil(math.Sqrt(float64(boxes)))))
}

// Choose returns the aggregators that a box may use, best first. If the box is an aggregator itself, it returns only that box. It
// returns no aggregators in a small cell and none for the coordinator. All aggregators are in the availability zone of the box, so that
// heartbeats cross zones only in batches. Boxes with the same map get the same result, but this is not required: any box may forward
// the heartbeats of any other box.
func Choose(m coordinator.Map, box, zone string) []coordinator.Member {
	if len(m.Members) <= maxDirectBoxes || box == m.Coordinator {
		return nil
	}
	eligible := map[string]coordinator.Member{}
	var names []string
	for _, b := range m.Members {
		if b.Zone == zone && b.Box != m.Coordinator && !b.Leaving && !b.Silent {
			eligible[b.Box] = b
			names = append(names, b.Box)
		}
	}
	fanIn := FanIn(len(m.Members))
	count := max(1, int(math.Round(float64(len(names))/float64(fanIn))))
	aggregators := placement.Top("aggregators/"+m.Cell+"/"+zone, names, count)
	var chosen []coordinator.Member
	for _, name := range rankAggregators(names, aggregators, box) {
		chosen = append(chosen, eligible[name])
	}
	return chosen
}

// rankAggregators returns the aggregators that a box tries, best first. An aggregator uses only itself. Each other box is assigned to
// the less loaded of the two aggregators that a hash selects for it. This keeps the load of the most loaded aggregator within a few
// boxes of the mean, while a hash alone would give it 1.5 times the mean. It also moves few boxes when a box joins or leaves.
func rankAggregators(names, aggregators []string, box string) []string {
	if slices.Contains(aggregators, box) {
		return []string{box}
	}
	slices.Sort(names)
	load := map[string]int{}
	for _, name := range names {
		candidates := placement.Top(name, aggregators, aggregatorsPerBox)
		if slices.Contains(aggregators, name) {
			candidates = []string{name}
		}
		if len(candidates) == aggregatorsPerBox && load[candidates[1]] < load[candidates[0]] {
			candidates[0], candidates[1] = candidates[1], candidates[0]
		}
		load[candidates[0]]++
		if name == box {
			return candidates
		}
	}
	return placement.Top(box, aggregators, aggregatorsPerBox)
}
