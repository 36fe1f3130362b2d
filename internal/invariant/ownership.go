// Package invariant holds the checks of what must always hold, each a function over a recorded history.
package invariant

import (
	"fmt"
	"time"
)

// Authority records that a box could give an engine orders at some instant.
type Authority struct {
	At     time.Time
	Engine string
	Box    string
	Epoch  uint64
}

// CheckSingleAuthority returns an error if two boxes could give one engine orders at the same instant.
// The history is in the order of time; one instant's records stand together.
func CheckSingleAuthority(history []Authority) error {
	type instant struct {
		at     time.Time
		engine string
	}
	holder := map[instant]Authority{}
	for _, a := range history {
		k := instant{a.At, a.Engine}
		if b, ok := holder[k]; ok && b.Box != a.Box {
			return fmt.Errorf("invariant: at %s both %s (epoch %d) and %s (epoch %d) may give %s orders", a.At, b.Box, b.Epoch, a.Box, a.Epoch, a.Engine)
		}
		holder[k] = a
	}
	return nil
}

// CheckEpochsIncrease returns an error if an engine's epoch ever falls, or two boxes act under one epoch.
func CheckEpochsIncrease(history []Authority) error {
	last := map[string]Authority{}
	for _, a := range history {
		b, ok := last[a.Engine]
		if ok && (a.Epoch < b.Epoch || (a.Epoch == b.Epoch && a.Box != b.Box)) {
			return fmt.Errorf("invariant: %s had epoch %d by %s at %s, then %d by %s at %s", a.Engine, b.Epoch, b.Box, b.At, a.Epoch, a.Box, a.At)
		}
		last[a.Engine] = a
	}
	return nil
}
