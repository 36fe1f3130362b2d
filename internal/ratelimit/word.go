// Package ratelimit enforces the rate limits that endpoints report. A rate limit is the number of requests per second that an
// endpoint accepts from all boxes together. The keeper of an endpoint is the box that counts the requests of all boxes to it. For
// an engine, its owner is the keeper.
package ratelimit

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Report is a report of the rate limit of an endpoint, which applies to the requests from all boxes together.
type Report struct {
	// Limited is true if the endpoint reported a rate limit, and false if it sent a response without one.
	Limited bool `json:"limited,omitempty"`
	// Rate is the limit in requests per second. Zero means that the endpoint accepts no requests.
	Rate float64 `json:"rate,omitempty"`
	// Started is the start time of the endpoint in Unix milliseconds, zero if unknown. A limit is void after a restart of the
	// endpoint.
	Started int64 `json:"started,omitempty"`
	// Brittle is true if the endpoint reported that it falls over when it rejects more than Tolerated requests in a second for want of
	// room.
	Brittle   bool `json:"brittle,omitempty"`
	Tolerated int  `json:"tolerated,omitempty"`
	// Age is the time since the endpoint sent the report. It is set in messages between boxes.
	Age time.Duration `json:"age,omitempty"`
}

// IsSet reports whether the endpoint reported anything.
func (r Report) IsSet() bool { return r.Limited || r.Brittle }

// effectiveRate returns the number of requests per second to send. It is never zero, so that each limit is probed again.
func (r Report) effectiveRate() float64 {
	if r.Rate == 0 {
		return 1 / zeroRateInterval.Seconds()
	}
	return max(r.Rate, 1/maxProbeInterval.Seconds())
}

// toObservation replaces the age of a report with a time on this box's clock.
func (r Report) toObservation(now time.Time) observation {
	o := observation{Report: r, at: now.Add(-r.Age)}
	o.Age = 0
	return o
}

// ParseHeader parses the rate limit from the values of a header. Without values the result has no limit. An invalid rate is an
// error.
func ParseHeader(values []string) (Report, error) {
	if len(values) == 0 {
		return Report{}, nil
	}
	rate, err := Parse(values[0])
	if err != nil {
		return Report{}, err
	}
	return Report{Limited: true, Rate: rate}, nil
}

// Parse parses a rate in requests per second. The rate must be a finite number and must not be negative.
func Parse(text string) (float64, error) {
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return 0, eris.Errorf("ratelimit: invalid rate %q", text)
	}
	return rate, nil
}

const (
	// CountRetention is how long a keeper's count is passed on to other keepers.
	CountRetention = 10 * time.Second
	// MaxOthers limits the entries of KeeperCount.Others.
	MaxOthers = 16
)

// KeeperCount is what one keeper has granted at an endpoint. Boxes pass it on to the next keeper.
type KeeperCount struct {
	// Keeper identifies the keeper.
	Keeper uint64 `json:"keeper"`
	// Granted is the number of requests that the keeper has granted so far.
	Granted uint64 `json:"granted"`
	// Tokens is the number of further requests that the keeper would have granted at once.
	Tokens float64 `json:"tokens"`
	// Others contains the requests granted by other keepers that are already deducted from Tokens, by keeper. Boxes of older versions
	// don't send it.
	Others map[uint64]uint64 `json:"others,omitempty"`
	// Age is the time since then. It is set in messages between boxes.
	Age time.Duration `json:"age,omitempty"`
}

// maxTolerated bounds the rejections per second that an endpoint may tolerate. More count as so many.
const maxTolerated = 1_000_000

// ParseBrittle parses the rejections per second that a brittle endpoint tolerates from the values of a header. Without values the
// endpoint is not brittle. Zero means that it tolerates none. Fractions are rounded down. Any other value is an error.
func ParseBrittle(values []string) (tolerated int, isBrittle bool, err error) {
	if len(values) == 0 {
		return 0, false, nil
	}
	n, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
		return 0, false, eris.Errorf("ratelimit: invalid number of tolerated rejections %q", values[0])
	}
	return int(min(n, maxTolerated)), true, nil
}
