// Package ratelimit keeps to what endpoints say of how many requests a second they take from all boxes together.
package ratelimit

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Word is what an endpoint has said, last, of how many requests a second it takes from all boxes together.
type Word struct {
	// Limited says that it named a rate; else it answered without one.
	Limited bool `json:"limited,omitempty"`
	// Rate is in requests a second. Zero: it takes none.
	Rate float64 `json:"rate,omitempty"`
	// Started is the Unix millisecond of the endpoint's start, zero if it does not say: one that starts again has named nothing.
	Started int64 `json:"started,omitempty"`
	// Age is how long ago it said so, for boxes that are told.
	Age time.Duration `json:"age,omitempty"`
}

// Parse reads a rate in requests a second. One that is no number, or negative or infinite, is none.
func Parse(text string) (float64, error) {
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return 0, eris.Errorf("ratelimit: %q is no rate", text)
	}
	return rate, nil
}
