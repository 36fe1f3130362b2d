package relay

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
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
