package notice

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var testHeaders = HeaderNames{Rate: "Rate", Leaving: "Leaving"}

func TestReadRetryAfter(t *testing.T) {
	const answered = "Thu, 03 Dec 2026 06:00:00 GMT"
	for _, test := range []struct {
		name   string
		status int
		values []string
		date   string
		want   time.Duration
		ok     bool
	}{
		{"none", 503, nil, answered, 0, true},
		{"seconds", 503, []string{"3"}, answered, 3 * time.Second, true},
		{"decimals", 503, []string{" 0.7 "}, answered, 700 * time.Millisecond, true},
		{"with 429", 429, []string{"1.5"}, answered, 1500 * time.Millisecond, true},
		{"with another status", 200, []string{"3"}, answered, 0, true},
		{"zero", 503, []string{"0"}, answered, 0, true},
		{"several values, the longest counts", 503, []string{"1", "2.5", "2"}, answered, 2500 * time.Millisecond, true},
		{"an hour", 503, []string{"3600"}, answered, time.Hour, true},
		{"a year", 503, []string{"31536000"}, answered, maxRetryAfter, true},
		{"a date", 503, []string{"Thu, 03 Dec 2026 06:00:05 GMT"}, answered, 5 * time.Second, true},
		{"a date in the past", 503, []string{"Thu, 03 Dec 2026 05:00:00 GMT"}, answered, 0, true},
		{"a date without a Date header", 503, []string{"Thu, 03 Dec 2026 06:00:05 GMT"}, "", 0, false},
		{"negative", 503, []string{"-1"}, answered, 0, false},
		{"not a number", 503, []string{"NaN"}, answered, 0, false},
		{"infinite", 503, []string{"inf"}, answered, 0, false},
		{"too large", 503, []string{"1e999"}, answered, 0, false},
		{"not a number or date", 503, []string{"soon"}, answered, 0, false},
		{"empty", 503, []string{""}, answered, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h := http.Header{"Retry-After": test.values}
			if test.date != "" {
				h.Set("Date", test.date)
			}
			notices := testHeaders.Read(test.status, h)
			c.Check(notices.RetryAfterErr == nil, qt.Equals, test.ok)
			c.Check(notices.RetryAfter, qt.Equals, test.want)
		})
	}
}

// TestReadLeaving also checks that a closed connection does not count as leaving: endpoints that stay close connections now and
// then, too.
func TestReadLeaving(t *testing.T) {
	closing := testHeaders.Read(200, http.Header{"Connection": {"close"}})
	qt.Check(t, closing.Leaving, qt.IsFalse)
	qt.Check(t, closing.ClosesConnection, qt.IsTrue)
	for _, test := range []struct {
		values      []string
		leaving, ok bool
	}{
		{nil, false, true},
		{[]string{"1"}, true, true},
		{[]string{" true "}, true, true},
		{[]string{"0"}, false, true},
		{[]string{"0", "1"}, true, true},
		{[]string{""}, false, false},
		{[]string{"soon"}, false, false},
	} {
		c := qt.New(t)
		notices := testHeaders.Read(200, http.Header{"Leaving": test.values})
		c.Check(notices.Leaving, qt.Equals, test.leaving, qt.Commentf("%q", test.values))
		c.Check(notices.LeavingErr == nil, qt.Equals, test.ok, qt.Commentf("%q", test.values))
	}
}
