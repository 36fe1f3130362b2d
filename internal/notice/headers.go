// Package notice reads the notices that endpoints send about themselves in the headers of their answers, such as that they are
// leaving or request a pause, shares them between boxes and decides whether requests may be sent to an endpoint.
package notice

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bellgap/bellgap/internal/ratelimit"
)

// Standard HTTP response headers.
const (
	headerRetryAfter = "Retry-After"
	headerDate       = "Date"
)

// maxRetryAfter bounds the pause that an endpoint may request: an endpoint that accepts no requests for longer counts as
// unavailable.
const maxRetryAfter = 24 * time.Hour

// HeaderNames holds the names of the headers that are not standard.
type HeaderNames struct {
	// Rate names the header with the requests per second that the endpoint accepts from all boxes together.
	Rate string
	// Leaving names the header by which the endpoint announces that it ends soon.
	Leaving string
	// Brittle names the header by which the endpoint announces that it falls over if it rejects more requests in a second than the value.
	Brittle string
}

// HeaderNotices holds the notices that an endpoint sent about itself in the headers of one answer.
type HeaderNotices struct {
	// Rate is the requests per second that the endpoint accepts from all boxes together, and whether it is brittle.
	Rate ratelimit.Report
	// Leaving is true if the endpoint ends soon and must get no new requests. False carries no information.
	Leaving bool
	// RetryAfter is how long the endpoint requests that this box sends it no requests, or zero if the answer gives no time.
	RetryAfter time.Duration
	// ClosesConnection is true if the endpoint closes the connection after the answer.
	ClosesConnection bool
	// RateErr, LeavingErr and RetryAfterErr describe invalid headers; they are nil for valid or missing ones.
	RateErr, LeavingErr, RetryAfterErr error
}

// Read parses the status and the headers of an answer.
func (n HeaderNames) Read(status int, h http.Header) HeaderNotices {
	var notices HeaderNotices
	notices.Rate, notices.RateErr = ratelimit.ParseHeader(h.Values(n.Rate))
	if tolerated, isBrittle, err := ratelimit.ParseBrittle(h.Values(n.Brittle)); err != nil {
		notices.RateErr = errors.Join(notices.RateErr, err)
	} else {
		notices.Rate.Brittle, notices.Rate.Tolerated = isBrittle, tolerated
	}
	notices.Leaving, notices.LeavingErr = parseLeaving(h.Values(n.Leaving))
	notices.ClosesConnection = strings.EqualFold(h.Get("Connection"), "close")
	// With other statuses Retry-After has another meaning, for example when to fetch the result.
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		notices.RetryAfter, notices.RetryAfterErr = readRetryAfter(h)
	}
	return notices
}

// parseLeaving reports whether at least one of the header values is true.
func parseLeaving(values []string) (bool, error) {
	for _, v := range values {
		isLeaving, err := strconv.ParseBool(strings.TrimSpace(v))
		if err != nil {
			return false, eris.Errorf("notice: invalid leaving header %q: not a boolean", v)
		}
		if isLeaving {
			return true, nil
		}
	}
	return false, nil
}

// readRetryAfter returns the pause that the Retry-After headers request. If there are several, the longest counts.
func readRetryAfter(h http.Header) (time.Duration, error) {
	var longest time.Duration
	for _, v := range h.Values(headerRetryAfter) {
		d, err := parseRetryAfter(strings.TrimSpace(v), h.Get(headerDate))
		if err != nil {
			return 0, err
		}
		longest = max(longest, d)
	}
	return longest, nil
}

// parseRetryAfter parses a Retry-After value: seconds, fractions included, or a date. A date is compared with the Date header of
// the same answer, since the clocks of two machines differ.
func parseRetryAfter(text, answerDate string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return parseRetryDate(text, answerDate)
	}
	if math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
		return 0, eris.Errorf("notice: invalid Retry-After value %q: not a finite, non-negative number", text)
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second)), nil
}

// parseRetryDate parses a Retry-After date and returns the time from the answer's date to it.
func parseRetryDate(text, answerDate string) (time.Duration, error) {
	until, err := http.ParseTime(text)
	if err != nil {
		return 0, eris.Errorf("notice: invalid Retry-After value %q: neither seconds nor a date", text)
	}
	from, err := http.ParseTime(answerDate)
	if err != nil {
		return 0, eris.Errorf("notice: Retry-After date %q cannot be used: the Date header is missing or invalid", text)
	}
	return min(max(0, until.Sub(from)), maxRetryAfter), nil
}
