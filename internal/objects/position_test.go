package objects_test

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bellgap/bellgap/internal/objects"
)

// TestPositionsAreOrdered checks that positions of different eras are ordered by era first and by revision second.
func TestPositionsAreOrdered(t *testing.T) {
	c := qt.New(t)
	all := []objects.Position{0, objects.NewPosition(0, 1), objects.NewPosition(0, 9000), objects.NewPosition(1, 0), objects.NewPosition(1, 1), objects.NewPosition(1, 2), objects.NewPosition(2, 1), objects.NewPosition(8191, 3)}
	c.Check(slices.IsSorted(all), qt.IsTrue)
	c.Check(len(slices.Compact(slices.Clone(all))), qt.Equals, len(all))
	c.Check(objects.NewPosition(3, 0).HasRevision(), qt.IsFalse)
	c.Check(objects.NewPosition(3, 1).HasRevision(), qt.IsTrue)
}

// TestPositionTextRoundTrip guards against a position that an operator copies as text and that is parsed as a different position.
func TestPositionTextRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era, revision := rapid.Int64Range(0, 1<<20).Draw(t, "era"), rapid.Int64Range(0, 1<<39).Draw(t, "revision")
		p := objects.NewPosition(era, revision)
		if p.Era() != era || p.Revision() != revision {
			t.Fatalf("NewPosition(%d, %d) returned position %s", era, revision, p)
		}
		if q, err := objects.ParsePosition(p.String()); err != nil || q != p {
			t.Fatalf("position %s was parsed as %s, error %v", p, q, err)
		}
	})
	for _, text := range []string{"", "/", "1/", "/1", "-1", "1/-1", "a", "1/2/3", "1/99999999999999"} {
		_, err := objects.ParsePosition(text)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", text))
	}
}
