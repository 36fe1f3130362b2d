package clock

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSuspendedTimeIsIncluded changes the offset between the two clocks, as a suspension of the box does.
func TestSuspendedTimeIsIncluded(t *testing.T) {
	c := qt.New(t)
	offset, readable := 5*time.Second, true
	s := newSuspendClock(func() (time.Duration, bool) { return offset, readable })
	before := s.now()
	for _, test := range []struct {
		name     string
		offset   time.Duration
		readable bool
		want     time.Duration
	}{
		{"no suspension", 5 * time.Second, true, 0},
		{"suspended for eight seconds", 13 * time.Second, true, 8 * time.Second},
		{"a delayed read returns a smaller offset", 12 * time.Second, true, 8 * time.Second},
		{"clock not readable", 0, false, 8 * time.Second},
		{"suspended again", 14 * time.Second, true, 9 * time.Second},
	} {
		offset, readable = test.offset, test.readable
		time.Sleep(2 * minReadInterval)
		got := s.now().Sub(before)
		monotonic := time.Since(before)
		c.Check(got-monotonic >= test.want-time.Millisecond && got-monotonic <= test.want+time.Second, qt.IsTrue, qt.Commentf("%s: %s", test.name, got))
	}
}

func TestProcessIsNotSuspended(t *testing.T) {
	c := qt.New(t)
	c.Check(Suspended() < time.Second, qt.IsTrue)
	before := Now()
	time.Sleep(10 * time.Millisecond)
	c.Check(Since(before) >= 10*time.Millisecond, qt.IsTrue)
	c.Check(Until(before) < 0, qt.IsTrue)
	_, ok := readClockOffset()
	c.Check(ok, qt.IsTrue)
}

// TestShiftIsUsedOnlyInTests checks that no program calls Shift.
func TestShiftIsUsedOnlyInTests(t *testing.T) {
	c := qt.New(t)
	err := filepath.WalkDir("../..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		content, err := os.ReadFile(path)
		c.Check(bytes.Contains(content, []byte("clock.Shift(")), qt.IsFalse, qt.Commentf("%s", path))
		return err
	})
	c.Assert(err, qt.IsNil)
}

func BenchmarkNow(b *testing.B) {
	b.Run("runtime", func(b *testing.B) {
		for b.Loop() {
			_ = time.Now()
		}
	})
	b.Run("counting", func(b *testing.B) {
		for b.Loop() {
			_ = Now()
		}
	})
	b.Run("look", func(b *testing.B) {
		for b.Loop() {
			_, _ = readClockOffset()
		}
	})
}
