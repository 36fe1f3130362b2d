package logline_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/logline"
)

const requestLine = `I0407 18:01:34.121746   11082 relay.go:262] "request" request="f15b" result="deadline_unmet" detail="too \"late\": 1.5s" tries=["a/i-1=try_next:8ms","b/i-2=granted"] arrivals=0 took="1.5s"`

func TestParse(t *testing.T) {
	c := qt.New(t)
	l, ok := logline.Parse(requestLine)
	c.Assert(ok, qt.IsTrue)
	c.Check(l.Message, qt.Equals, "request")
	c.Check(l.Head, qt.Contains, "relay.go:262]")
	c.Check(l.Get("request"), qt.Equals, "f15b")
	c.Check(l.Get("detail"), qt.Equals, `too "late": 1.5s`)
	c.Check(l.Get("tries"), qt.Equals, `["a/i-1=try_next:8ms","b/i-2=granted"]`)
	c.Check(l.Get("arrivals"), qt.Equals, "0")
	c.Check(l.Get("took"), qt.Equals, "1.5s")
	c.Check(l.Get("none"), qt.Equals, "")
}

func TestFind(t *testing.T) {
	for _, tt := range []struct {
		name      string
		search    string
		wantLines int
	}{
		{"a request ID", "f15b", 1},
		{"an element of a list", "b/i-2=granted", 1},
		{"a part of a value", "f15", 0},
		{"nothing", "zzz", 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			lines, err := logline.Find(strings.NewReader("noise f15b\n"+requestLine+"\n"), tt.search)
			c.Assert(err, qt.IsNil)
			c.Check(lines, qt.HasLen, tt.wantLines)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add(requestLine)
	f.Add(`] "x" a=[`)
	f.Fuzz(func(t *testing.T, text string) {
		l, ok := logline.Parse(text)
		if ok && !strings.HasPrefix(text, l.Head) {
			t.Fatalf("head %q of %q", l.Head, text)
		}
	})
}
