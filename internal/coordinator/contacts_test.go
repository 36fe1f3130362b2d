package coordinator_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/coordinator"
)

// TestMissingBoxes checks which boxes of the last map count as lost after a takeover. It guards against running boxes that are hidden
// because they had no time or no reason to contact the new coordinator.
func TestMissingBoxes(t *testing.T) {
	newMap := func(silent ...string) coordinator.Map {
		var m coordinator.Map
		for _, box := range []string{"a", "b", "c", "d", "e", "self", "replaced"} {
			m.Members = append(m.Members, coordinator.Member{Box: box, Silent: len(silent) > 0 && silent[0] == box})
		}
		return m
	}
	for _, tt := range []struct {
		name     string
		m        coordinator.Map
		contacts coordinator.Contacts
		want     []string
	}{
		{"no box had a reason", newMap(), nil, nil},
		{"fewer than half", newMap(), coordinator.Contacts{"a": true, "b": true}, nil},
		{"more than half", newMap(), coordinator.Contacts{"a": true, "b": true, "c": true}, []string{"d", "e"}},
		{"half, one is silent already", newMap("e"), coordinator.Contacts{"a": true, "b": true}, []string{"c", "d"}},
		{"all", newMap(), coordinator.Contacts{"a": true, "b": true, "c": true, "d": true, "e": true}, nil},
		{"only boxes that are not in the map", newMap(), coordinator.Contacts{"x": true, "y": true, "z": true}, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			qt.New(t).Check(tt.contacts.FindMissing(tt.m, "self", "replaced"), qt.DeepEquals, tt.want)
		})
	}
}
