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

// TestSuspendedTimeCounts drives the two clocks apart.
func TestSuspendedTimeCounts(t *testing.T) {
	c := qt.New(t)
	ahead, known := 5*time.Second, true
	s := newSkew(func() (time.Duration, bool) { return ahead, known })
	before := s.now()
	for _, test := range []struct {
		name  string
		ahead time.Duration
		known bool
		want  time.Duration
	}{
		{"nothing happened", 5 * time.Second, true, 0},
		{"suspended for eight seconds", 13 * time.Second, true, 8 * time.Second},
		{"a reading that was held up is behind", 12 * time.Second, true, 8 * time.Second},
		{"no reading", 0, false, 8 * time.Second},
		{"suspended again", 14 * time.Second, true, 9 * time.Second},
	} {
		ahead, known = test.ahead, test.known
		time.Sleep(2 * lookEvery)
		got := s.now().Sub(before)
		steady := time.Since(before)
		c.Check(got-steady >= test.want-time.Millisecond && got-steady <= test.want+time.Second, qt.IsTrue, qt.Commentf("%s: %s", test.name, got))
	}
}

func TestProcessIsNotSuspended(t *testing.T) {
	c := qt.New(t)
	c.Check(Suspended() < time.Second, qt.IsTrue)
	before := Now()
	time.Sleep(10 * time.Millisecond)
	c.Check(Since(before) >= 10*time.Millisecond, qt.IsTrue)
	c.Check(Until(before) < 0, qt.IsTrue)
	_, ok := readSkew()
	c.Check(ok, qt.IsTrue)
}

// TestOnlyTestsShiftTheClock: the programs have no way to it.
func TestOnlyTestsShiftTheClock(t *testing.T) {
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
			_, _ = readSkew()
		}
	})
}
