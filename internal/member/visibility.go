package member

import (
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/coordinator"
)

// visibility is the state of a box in a cell map that decides whether callers are sent to it. It is the value of the metric tag
// "standing".
type visibility string

// The possible visibilities of a box. Callers are sent only to boxes that are shown.
const (
	visibilityShown   visibility = "shown"
	visibilitySilent  visibility = "silent"
	visibilityLeaving visibility = "leaving"
	visibilityAbsent  visibility = "absent"
)

// memberVisibility returns the visibility of each member of a map, by box name.
func memberVisibility(m coordinator.Map) map[string]visibility {
	byBox := make(map[string]visibility, len(m.Members))
	for _, b := range m.Members {
		switch {
		case b.Leaving:
			byBox[b.Box] = visibilityLeaving
		case b.Silent:
			byBox[b.Box] = visibilitySilent
		default:
			byBox[b.Box] = visibilityShown
		}
	}
	return byBox
}

// logVisibilityChanges logs each box whose visibility differs between two maps, with the facts that decided it: the time since the last
// heartbeat of the box, and whether that heartbeat reached this coordinator or the state was inherited from the previous one.
func (n *Node) logVisibilityChanges(before, after coordinator.Map, state *coordinator.State) {
	previous, current := memberVisibility(before), memberVisibility(after)
	for box, is := range current {
		was, known := previous[box]
		if !known {
			was = visibilityAbsent
		}
		if was != is {
			n.logVisibilityChange(box, was, is, after, state)
		}
	}
	for box, was := range previous {
		if _, isMember := current[box]; !isMember {
			n.logVisibilityChange(box, was, visibilityAbsent, after, state)
		}
	}
}

func (n *Node) logVisibilityChange(box string, was, is visibility, after coordinator.Map, state *coordinator.State) {
	contact := state.LastContact(clock.Now(), box)
	n.cfg.Scope.Tagged(map[string]string{"standing": string(is)}).Counter("box_standings").Inc(1)
	klog.InfoS("box visibility changed", "cell", n.cfg.Cell, "of", box, "was", was, "is", is, "age", contact.Age, "inherited", contact.Inherited,
		"generation", after.Generation, "lease", after.Lease)
}
