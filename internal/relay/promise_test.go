package relay

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
)

// TestPromiseGround guards against a promise that is counted under a ground that it does not rest on.
func TestPromiseGround(t *testing.T) {
	for _, tt := range []struct {
		name        string
		status      int
		arrivals    int
		isForwarded bool
		want        ground
	}{
		{"refused before it was sent", http.StatusServiceUnavailable, 0, false, groundUnsent},
		{"over a quota", http.StatusTooManyRequests, 0, false, groundUnsent},
		{"rejected by an endpoint", http.StatusServiceUnavailable, 1, false, groundRejected},
		{"status of an endpoint", http.StatusServiceUnavailable, 1, true, groundForwarded},
		{"lost answer", http.StatusBadGateway, 1, false, groundNone},
		{"served", http.StatusOK, 1, true, groundNone},
	} {
		t.Run(tt.name, func(t *testing.T) {
			q := &request{arrivals: tt.arrivals}
			qt.Check(t, q.promiseGround(tt.status, tt.isForwarded), qt.Equals, tt.want)
		})
	}
}

// TestPromisesAreCounted guards against a status page that misses promises, or counts answers that are none.
func TestPromisesAreCounted(t *testing.T) {
	r := &Relay{cfg: Config{Scope: tally.NoopScope}}
	r.recordStatus(&request{}, http.StatusServiceUnavailable, false)
	r.recordStatus(&request{}, http.StatusTooManyRequests, false)
	r.recordStatus(&request{arrivals: 2}, http.StatusServiceUnavailable, false)
	r.recordStatus(&request{arrivals: 1}, http.StatusRequestTimeout, true)
	r.recordStatus(&request{arrivals: 1}, http.StatusOK, true)
	r.recordStatus(&request{arrivals: 1}, http.StatusBadGateway, false)
	qt.Check(t, r.Promises(), qt.Equals, Promises{Unsent: 2, Rejected: 1, Forwarded: 1})
}
