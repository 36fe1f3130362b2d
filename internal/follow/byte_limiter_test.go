package follow

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestByteLimiter sends one large configuration to many boxes at once, over links of several bandwidths.
func TestByteLimiter(t *testing.T) {
	const large, small = 280_000, 4_000
	for _, tt := range []struct {
		name string
		rate float64
		size int
		// allowed is how many of a hundred messages pass at once. allowedLater is how many of another hundred pass ten seconds
		// later.
		allowed, allowedLater int
	}{
		{"10 Mbit/s", 125_000, large, 1, 1},
		{"200 Mbit/s", 2_500_000, large, 9, 9},
		{"1,000 Mbit/s", 12_500_000, large, 45, 45},
		{"small changes are not limited", 125_000, small, 100, 100},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			limiter, now := byteLimiter{rate: tt.rate}, time.Unix(1000, 0)
			burst := func() (allowed int) {
				for range 100 {
					if limiter.allow(now, tt.size) {
						allowed++
					}
				}
				return allowed
			}
			c.Check(burst(), qt.Equals, tt.allowed)
			now = now.Add(10 * time.Second)
			c.Check(burst(), qt.Equals, tt.allowedLater)
		})
	}
}
