package relay

import (
	"testing"

	qt "github.com/frankban/quicktest"
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
