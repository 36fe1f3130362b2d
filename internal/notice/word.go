// Package notice is what endpoints have said of themselves in the heads of their answers, and whether they may be sent requests by it.
package notice

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bellgap/bellgap/internal/ratelimit"
)

// Standard headers of an answer.
const (
	headerRetryAfter = "Retry-After"
	headerDate       = "Date"
)

// longestRest bounds what an endpoint may ask for: whoever wants nothing for longer is not there.
const longestRest = 24 * time.Hour

// Headers names the headers that are not standard.
type Headers struct {
	// Rate carries how many requests a second the endpoint takes from all boxes together, Leaving that it ends soon.
	Rate    string
	Leaving string
}

// Word is what the head of one answer says of the endpoint that gave it.
type Word struct {
	// Rate is how many requests a second it takes from all boxes together.
	Rate ratelimit.Word
	// Leaving says that it ends soon and is to get no new work. That it does not say so says nothing.
	Leaving bool
	// Rest is for how long it wants nothing from the box that it answered, zero if it names no time.
	Rest time.Duration
	// Closing says that the connection ends with the answer.
	Closing bool
	// RateErr, LeavingErr and RestErr say what cannot be understood.
	RateErr, LeavingErr, RestErr error
}

// Read reads the head of an answer.
func (n Headers) Read(status int, h http.Header) Word {
	var w Word
	w.Rate, w.RateErr = ratelimit.Named(h.Values(n.Rate))
	w.Leaving, w.LeavingErr = leaves(h.Values(n.Leaving))
	w.Closing = strings.EqualFold(h.Get("Connection"), "close")
	// With other statuses the header means another thing, as where to look for an answer later.
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		w.Rest, w.RestErr = rest(h)
	}
	return w
}

// leaves reads whether one of the values says that an endpoint leaves.
func leaves(values []string) (bool, error) {
	for _, v := range values {
		yes, err := strconv.ParseBool(strings.TrimSpace(v))
		if err != nil {
			return false, eris.Errorf("notice: %q does not say whether an endpoint leaves", v)
		}
		if yes {
			return true, nil
		}
	}
	return false, nil
}

// rest reads for how long an endpoint wants nothing. Of several times the longest counts.
func rest(h http.Header) (time.Duration, error) {
	var longest time.Duration
	for _, v := range h.Values(headerRetryAfter) {
		d, err := parseRest(strings.TrimSpace(v), h.Get(headerDate))
		if err != nil {
			return 0, err
		}
		longest = max(longest, d)
	}
	return longest, nil
}

// parseRest reads seconds, fractions included, or a date, which counts from the answer's own date: the clocks of two machines differ.
func parseRest(text, answered string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return restUntil(text, answered)
	}
	if math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
		return 0, eris.Errorf("notice: %q is no time to rest", text)
	}
	return time.Duration(min(seconds, longestRest.Seconds()) * float64(time.Second)), nil
}

func restUntil(text, answered string) (time.Duration, error) {
	until, err := http.ParseTime(text)
	if err != nil {
		return 0, eris.Errorf("notice: %q is no time to rest", text)
	}
	from, err := http.ParseTime(answered)
	if err != nil {
		return 0, eris.Errorf("notice: an answer without a date asks for rest until %q", text)
	}
	return min(max(0, until.Sub(from)), longestRest), nil
}
