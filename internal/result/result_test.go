package result_test

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/result"
)

func TestCodeTableMatchesPage(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/RESULT_CODES.md")
	c.Assert(err, qt.IsNil)
	names := map[string]bool{}
	for _, i := range result.All() {
		c.Check(names[i.Name], qt.IsFalse, qt.Commentf("name %s occurs twice", i.Name))
		names[i.Name] = true
		c.Check(i.Status >= 200 && i.Status < 600, qt.IsTrue)
		wait := "-"
		if i.RetryAfter > 0 {
			wait = i.RetryAfter.String()
		}
		row := fmt.Sprintf("| %d | %s | %d | %s | %s | %s |", i.Code, i.Name, i.Status, i.Ran, wait, i.Text)
		c.Check(strings.Contains(string(page), row), qt.IsTrue, qt.Commentf("docs/RESULT_CODES.md lacks the row: %s", row))
	}
}

func TestWriteAndDecode(t *testing.T) {
	c := qt.New(t)
	e := result.New(result.QueueFull, "%d wait", 9)
	e.RetryAfter, e.Elsewhere = 1500*time.Millisecond, []string{"10.0.0.1:80"}
	w := httptest.NewRecorder()
	e.Write(w, "mine")
	c.Check(w.Code, qt.Equals, 503)
	c.Check(w.Header().Get("Retry-After"), qt.Equals, "2")
	c.Check(w.Header().Get(result.HeaderRan), qt.Equals, "no")
	got, ok := result.Decode(w.Body.Bytes())
	c.Assert(ok, qt.IsTrue)
	c.Check(got.Code, qt.Equals, result.QueueFull)
	c.Check(got.RetryAfter, qt.Equals, e.RetryAfter)
	c.Check(got.Elsewhere, qt.DeepEquals, e.Elsewhere)
}

// FuzzDecode checks that an Error decoded with an unknown code leaves open whether the request ran, and that every decoded Error can be
// encoded.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"error":{"code":3001,"message":"x"}}`))
	f.Add([]byte(`{"error":"busy"}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		e, ok := result.Decode(b)
		if !ok {
			return
		}
		known := false
		for _, i := range result.All() {
			known = known || i.Code == e.Code
		}
		if !known && e.Code.Info().Ran != result.RanUnknown {
			t.Fatalf("unknown code %d has Ran %s", e.Code, e.Code.Info().Ran)
		}
		if _, err := json.Marshal(e.Body("")); err != nil {
			t.Fatal(err)
		}
	})
}
