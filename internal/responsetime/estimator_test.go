package responsetime_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/responsetime"
)

// lost stands for an attempt without an answer, resent for the answer to an order that was sent again. Other values are response times in
// ms of orders that were sent once.
const (
	lost   = -1000
	resent = -2000
)

// TestTimeoutFollowsResponses checks the timeout in ms after responses. It guards against a timeout outside of its bounds, one that stays
// high after an answer, and one that learns from ambiguous or invalid response times.
func TestTimeoutFollowsResponses(t *testing.T) {
	fast, lostForLong := slices.Clip(slices.Repeat([]int{2}, 20)), slices.Repeat([]int{lost}, 100)
	for _, tt := range []struct {
		name          string
		responses     []int
		want, ignored int64
	}{
		{"no samples", []int{lost}, 400, 0},
		{"first sample", []int{30}, 90, 0},
		{"second sample", []int{30, 46}, 93, 0},
		{"lower bound", fast, 50, 0},
		{"upper bound", []int{390, 390}, 400, 0},
		{"a timeout", append(fast, lost), 100, 0},
		{"two timeouts", append(fast, lost, lost), 200, 0},
		{"many timeouts", append(fast, lostForLong...), 400, 0},
		{"answer after timeouts", append(fast, lost, lost, 2), 50, 0},
		{"answer to an order that was sent again", append(fast, lost, lost, resent), 50, 0},
		{"only orders that were sent again", []int{resent, resent}, 400, 0},
		{"link becomes slow", append(fast, lost, lost, lost, 220), 247, 0},
		{"negative and too long", append(fast, lost, -1, 60_001), 50, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			e := responsetime.Estimator{}
			for _, ms := range tt.responses {
				switch ms {
				case lost:
					e.RecordTimeout()
				case resent:
					e.RecordAnswer(responsetime.Answer{Took: 300 * time.Millisecond, Resent: true})
				default:
					e.RecordAnswer(responsetime.Answer{Took: time.Duration(ms) * time.Millisecond})
				}
			}
			c.Check(e.Timeout().Milliseconds(), qt.Equals, tt.want)
			c.Check(e.Ignored(), qt.Equals, tt.ignored)
			e.Reset()
			c.Check(e.Timeout(), qt.Equals, responsetime.MaxTimeout)
		})
	}
}
