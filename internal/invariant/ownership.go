// Package invariant checks recorded histories of tests for violations of the system's invariants.
package invariant

import (
	"fmt"
	"time"
)

// Authority records that a box had the right to give orders to an engine at an instant.
type Authority struct {
	At     time.Time
	Engine string
	Box    string
	Epoch  uint64
}

// CheckSingleAuthority returns an error if two boxes had the right to give orders to the same engine at the same instant.
func CheckSingleAuthority(history []Authority) error {
	type instant struct {
		at     time.Time
		engine string
	}
	holder := map[instant]Authority{}
	for _, a := range history {
		k := instant{a.At, a.Engine}
		if b, ok := holder[k]; ok && b.Box != a.Box {
			return fmt.Errorf("invariant: at %s both %s (epoch %d) and %s (epoch %d) had authority over engine %s", a.At, b.Box, b.Epoch, a.Box, a.Epoch, a.Engine)
		}
		holder[k] = a
	}
	return nil
}

// CheckEpochsIncrease returns an error if an engine's epoch decreases, or if two boxes have authority in the same epoch of an engine.
// The history must be sorted by time.
func CheckEpochsIncrease(history []Authority) error {
	last := map[string]Authority{}
	for _, a := range history {
		b, ok := last[a.Engine]
		if ok && (a.Epoch < b.Epoch || (a.Epoch == b.Epoch && a.Box != b.Box)) {
			return fmt.Errorf("invariant: engine %s had epoch %d of box %s at %s, then epoch %d of box %s at %s", a.Engine, b.Epoch, b.Box, b.At, a.Epoch, a.Box, a.At)
		}
		last[a.Engine] = a
	}
	return nil
}
