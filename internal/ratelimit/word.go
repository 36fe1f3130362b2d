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

// effective returns the requests a second that are sent.
func (w Word) effective() float64 {
	if w.Rate == 0 {
		return 1 / askZero.Seconds()
	}
	return max(w.Rate, 1/slowest.Seconds())
}

// heard returns a word as of now on this box's clock.
func (w Word) heard(now time.Time) heard {
	h := heard{Word: w, at: now.Add(-w.Age)}
	h.Age = 0
	return h
}

// Named reads the rate that the values of a header name; without values that is none. One that cannot be read is an error.
func Named(values []string) (Word, error) {
	if len(values) == 0 {
		return Word{}, nil
	}
	rate, err := Parse(values[0])
	if err != nil {
		return Word{}, err
	}
	return Word{Limited: true, Rate: rate}, nil
}

// Parse reads a rate in requests a second. One that is no number, or negative or infinite, is none.
func Parse(text string) (float64, error) {
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return 0, eris.Errorf("ratelimit: %q is no rate", text)
	}
	return rate, nil
}
