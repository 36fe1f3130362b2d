package member

import (
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/coordinator"
)

// standing is how a cell map shows a box to callers.
type standing string

// The standings of a box in a cell map. Callers are sent to boxes that are shown, and to no others.
const (
	standingShown   standing = "shown"
	standingSilent  standing = "silent"
	standingLeaving standing = "leaving"
	standingAbsent  standing = "absent"
)

// standings returns the standing of each member of a map.
func standings(m coordinator.Map) map[string]standing {
	all := make(map[string]standing, len(m.Members))
	for _, b := range m.Members {
		switch {
		case b.Leaving:
			all[b.Box] = standingLeaving
		case b.Silent:
			all[b.Box] = standingSilent
		default:
			all[b.Box] = standingShown
		}
	}
	return all
}

// logStandings writes a line for each box that a newly stored map shows otherwise than the one before, with what decided it: how
// long ago this coordinator heard from the box, and whether it ever did or only took over what the coordinator before it knew.
func (n *Node) logStandings(before, now coordinator.Map, state *coordinator.State) {
	had, has := standings(before), standings(now)
	for box, is := range has {
		was, known := had[box]
		if !known {
			was = standingAbsent
		}
		if was != is {
			n.logStanding(box, was, is, now, state)
		}
	}
	for box, was := range had {
		if _, still := has[box]; !still {
			n.logStanding(box, was, standingAbsent, now, state)
		}
	}
}

func (n *Node) logStanding(box string, was, is standing, now coordinator.Map, state *coordinator.State) {
	heard := state.Heard(clock.Now(), box)
	n.cfg.Scope.Tagged(map[string]string{"standing": string(is)}).Counter("box_standings").Inc(1)
	klog.InfoS("box standing", "cell", n.cfg.Cell, "of", box, "was", was, "is", is, "age", heard.Age, "inherited", heard.Inherited,
		"generation", now.Generation, "lease", now.Lease)
}
