package slowpeer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSelectEnds guards against ending connections that make progress, and against ending more than the limits require.
func TestSelectEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	l := Limits{StallTimeout: 5 * time.Second, HoldBytes: 100}
	stalled := func(held int64, d time.Duration) State {
		return State{Held: held, Waiting: true, ProgressAt: now.Add(-d)}
	}
	for _, tt := range []struct {
		name  string
		conns []State
		want  []int
	}{
		{"none", nil, nil},
		{"short pauses within the limit", []State{stalled(50, time.Second), stalled(50, 4*time.Second)}, nil},
		{"stalled for the timeout, longest first", []State{stalled(1, 5*time.Second), stalled(1, 4*time.Second), stalled(0, 6*time.Second)}, []int{2, 0}},
		{"over the limit, as many as needed", []State{stalled(60, time.Second), stalled(60, 2*time.Second), stalled(60, 3*time.Second)}, []int{2, 1}},
		{"a connection without bytes frees none", []State{stalled(0, 3*time.Second), stalled(101, time.Second)}, []int{1}},
		{"over the limit, but all make progress", []State{stalled(200, 10*time.Millisecond), stalled(200, 100*time.Millisecond)}, nil},
		{"the box itself waits for an endpoint", []State{{Held: 200, ProgressAt: now.Add(-time.Minute)}}, nil},
		{"a timeout frees enough", []State{stalled(60, 6*time.Second), stalled(60, 4*time.Second)}, []int{0}},
		{"a request body has its own time limit", []State{{Held: 50, Waiting: true, ProgressAt: now.Add(-time.Minute), HasOwnLimit: true}}, nil},
		{"a request body over the limit", []State{{Held: 101, Waiting: true, ProgressAt: now.Add(-time.Second), HasOwnLimit: true}}, []int{0}},
		{"progress in the future", []State{stalled(200, -time.Second)}, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			qt.New(t).Check(l.SelectEnds(now, tt.conns), qt.DeepEquals, tt.want)
		})
	}
}
