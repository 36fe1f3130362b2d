package follow

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestAllowance passes one large configuration on to many boxes at once, over links of several widths.
func TestAllowance(t *testing.T) {
	const large, small = 280_000, 4_000
	for _, tt := range []struct {
		name string
		rate float64
		size int
		// passed is how many of a hundred are passed on at once, later how many more ten seconds later.
		passed, later int
	}{
		{"10 Mbit/s", 125_000, large, 1, 1},
		{"200 Mbit/s", 2_500_000, large, 9, 9},
		{"1,000 Mbit/s", 12_500_000, large, 45, 45},
		{"small changes are not bounded", 125_000, small, 100, 100},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			a, now := allowance{rate: tt.rate}, time.Unix(1000, 0)
			burst := func() (passed int) {
				for range 100 {
					if a.take(now, tt.size) {
						passed++
					}
				}
				return passed
			}
			c.Check(burst(), qt.Equals, tt.passed)
			now = now.Add(10 * time.Second)
			c.Check(burst(), qt.Equals, tt.later)
		})
	}
}
