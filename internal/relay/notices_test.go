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

// TestWhoseWord: an endpoint is left alone for good for what it says; so nothing else is taken for its word.
func TestWhoseWord(t *testing.T) {
	for _, test := range []struct {
		name  string
		asked string
		head  AnswerHead
		own   bool
	}{
		{"its answer", "r1", AnswerHead{ID: "r1"}, true},
		{"its refusal", "r1", AnswerHead{ID: "r1", NotRun: true}, true},
		{"a surplus answer", "r1", AnswerHead{ID: "r0"}, false},
		{"what stands in between", "r1", AnswerHead{}, false},
		{"a request without an id", "", AnswerHead{}, false},
		{"421 of whoever is at the address now", "r1", AnswerHead{ID: "r1", Elsewhere: true, NotRun: true}, false},
		{"421 that names another one", "r1", AnswerHead{ID: "r1", Elsewhere: true, NotRun: true, Instance: "i-2"}, false},
		{"421 of the one asked, which lacks a version", "r1", AnswerHead{ID: "r1", Elsewhere: true, NotRun: true, Instance: "i-1"}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			q := &request{head: Head{ID: test.asked}}
			c.Check(isOwn(q, destination{name: "i-1"}, test.head), qt.Equals, test.own)
		})
	}
}

// TestWordOfOthersChangesNothing: whatever an answer says that is not the endpoint's own, of its rate as of the rest.
func TestWordOfOthersChangesNothing(t *testing.T) {
	c := qt.New(t)
	rates := ratelimit.NewBook(ratelimit.BookConfig{Boxes: func() int { return 1 }, Scope: tally.NoopScope})
	board := notice.NewBoard(notice.BoardConfig{Scope: tally.NoopScope})
	r := New(Config{Rates: rates, Notices: board, Scope: tally.NoopScope})
	word := notice.Word{Rate: ratelimit.Word{Limited: true}, Leaving: true, Rest: time.Minute}
	r.hear(&request{head: Head{ID: "r1"}}, destination{name: "i-1"}, AnswerHead{ID: "r0", Notice: word}, false)
	r.hear(&request{head: Head{ID: "r1"}}, destination{name: "i-1"}, AnswerHead{ID: "r1", Elsewhere: true, Notice: word}, false)
	c.Check(rates.Limits(clock.Now()), qt.HasLen, 0)
	c.Check(board.Left(clock.Now()), qt.HasLen, 0)
	c.Check(board.Rests(clock.Now()), qt.HasLen, 0)
}
