package record_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/record"
)

func TestLogKeepsNewestRequests(t *testing.T) {
	c := qt.New(t)
	l := record.New()
	for i := range 3000 {
		l.Add(record.Request{ID: fmt.Sprint(i), Adapter: fmt.Sprintf("a%d@1", i%10)})
	}
	c.Check(l.Find("1", 10), qt.HasLen, 0)
	c.Check(l.Find("2999", 10), qt.HasLen, 1)
	found := l.Find("a3@1", 5)
	c.Assert(found, qt.HasLen, 5)
	c.Check(found[0].ID, qt.Equals, "2993")
	var r record.Request
	for range 100 {
		r.AddTry(record.Try{})
	}
	c.Check(r.Tries, qt.HasLen, 16)
}
