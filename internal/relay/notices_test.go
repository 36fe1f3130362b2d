package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/notice"
	"github.com/bellgap/bellgap/internal/ratelimit"
)

// TestNoticeIsFromRequestedEndpoint guards against using the notice of another endpoint, because an endpoint that
// reports that it is leaving never gets requests again.
func TestNoticeIsFromRequestedEndpoint(t *testing.T) {
	for _, test := range []struct {
		name      string
		requestID string
		head      AnswerHead
		own       bool
	}{
		{"answer of the endpoint", "r1", AnswerHead{ID: "r1"}, true},
		{"refusal of the endpoint", "r1", AnswerHead{ID: "r1", NotRun: true}, true},
		{"answer to another request", "r1", AnswerHead{ID: "r0"}, false},
		{"answer of a proxy, without an id", "r1", AnswerHead{}, false},
		{"request without an id", "", AnswerHead{}, false},
		{"421 without an instance id", "r1", AnswerHead{ID: "r1", Misdirected: true, NotRun: true}, false},
		{"421 of another instance", "r1", AnswerHead{ID: "r1", Misdirected: true, NotRun: true, Instance: "i-2"}, false},
		{"421 of the requested instance, which lacks the version", "r1", AnswerHead{ID: "r1", Misdirected: true, NotRun: true, Instance: "i-1"}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			q := &request{head: Head{ID: test.requestID}}
			c.Check(isFromDestination(q, destination{name: "i-1"}, test.head), qt.Equals, test.own)
		})
	}
}

// TestNoticesOfOtherEndpointsAreIgnored guards against recording notices from an answer that does not come from the
// requested endpoint: a rate limit, a pause, or that the endpoint is leaving.
func TestNoticesOfOtherEndpointsAreIgnored(t *testing.T) {
	c := qt.New(t)
	rates := ratelimit.NewRegistry(ratelimit.RegistryConfig{Boxes: func() int { return 1 }, Scope: tally.NoopScope})
	board := notice.NewBoard(notice.BoardConfig{Scope: tally.NoopScope})
	r := New(Config{Rates: rates, Notices: board, Scope: tally.NoopScope})
	notices := notice.HeaderNotices{Rate: ratelimit.Report{Limited: true}, Leaving: true, RetryAfter: time.Minute}
	r.handleNotice(&request{head: Head{ID: "r1"}}, destination{name: "i-1"}, AnswerHead{ID: "r0", Notice: notices}, false)
	r.handleNotice(&request{head: Head{ID: "r1"}}, destination{name: "i-1"}, AnswerHead{ID: "r1", Misdirected: true, Notice: notices}, false)
	c.Check(rates.Limits(clock.Now()), qt.HasLen, 0)
	c.Check(board.LeavingEndpoints(clock.Now()), qt.HasLen, 0)
	c.Check(board.PausedEndpoints(clock.Now()), qt.HasLen, 0)
}
