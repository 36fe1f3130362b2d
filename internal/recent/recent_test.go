package recent_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/recent"
)

func TestSet(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := recent.New[string](time.Second)
	s.Add("box", now)
	c.Check(s.Has("box", now), qt.IsTrue)
	c.Check(s.Has("box", now.Add(time.Second)), qt.IsFalse)
	c.Check(s.Has("other", now), qt.IsFalse)
	s.Add("box", now.Add(time.Second/2))
	c.Check(s.Has("box", now.Add(time.Second)), qt.IsTrue)
}

// TestSetIsBounded adds more keys than a Set can contain. The newest key must always be present.
func TestSetIsBounded(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := recent.New[int](time.Hour)
	kept := 0
	for i := range 10000 {
		s.Add(i, now)
		c.Assert(s.Has(i, now), qt.IsTrue)
	}
	for i := range 10000 {
		if s.Has(i, now) {
			kept++
		}
	}
	c.Check(kept <= 4096, qt.IsTrue)
}
