package box_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/fakeengine"
	"github.com/bellgap/bellgap/internal/result"
)

// invalidStatuses are status codes, with their texts, that no final answer has.
var invalidStatuses = []string{"000 ", "099 OK", "+20 OK", "600 OK", "999 OK", "101 Switching Protocols"}

// TestInvalidStatusIsNoAnswer guards against an invalid status that is passed on to a caller of bellgap's own interface, or leaves it without any answer.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range invalidStatuses {
		t.Run(status, func(t *testing.T) {
			checkBrokenHead(qt.New(t), "HTTP/1.1 "+status+"\r\nBellgap-Call-Id: %s\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nbody")
		})
	}
}

// TestInvalidFieldNameIsNoAnswer guards against a caller of bellgap's own interface that gets an answer with a body that is not the endpoint's, since the
// name of a field in its head holds a blank or a control byte.
func TestInvalidFieldNameIsNoAnswer(t *testing.T) {
	for _, lines := range []string{
		"X Odd: 1\r\nContent-Length: 4\r\n\r\nbody",
		"Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"Content-Length : 4\r\n\r\nbody",
		"X\x01Odd: 1\r\nContent-Length: 4\r\n\r\nbody",
	} {
		t.Run(lines, func(t *testing.T) {
			checkBrokenHead(qt.New(t), "HTTP/1.1 200 OK\r\nBellgap-Call-Id: %s\r\nContent-Type: text/plain\r\n"+lines)
		})
	}
}

// checkBrokenHead checks that each call of an engine or a service that answers with answer, which holds the id of the call, gets one answer of the box.
func checkBrokenHead(c *qt.C, answer string) {
	f := startFleet(c, fleetConfig{boxes: 1, engines: []fakeengine.Config{smallEngine()}})
	c.Assert(f.post(f.boxes[0], "/v1/completions", completionBody(modelName, 1, false)).status, qt.Equals, http.StatusOK)
	broken := func(r *http.Request) string {
		if !strings.HasPrefix(r.URL.Path, "/v1/") && !strings.HasPrefix(r.URL.Path, "/lots") {
			return ""
		}
		return fmt.Sprintf(answer, r.Header.Get(result.HeaderCall))
	}
	f.torn.Store(&broken)
	// More calls than the engine has slots.
	for range 2 * smallEngine().Slots {
		for _, call := range []struct{ path, body, repeatable string }{
			{"/services/titles/lots", "call", "yes"},
			{"/services/titles/lots", "call", "no"},
			{"/v1/completions", completionBody(modelName, 4, true), "no"},
			{"/v1/completions", completionBody(modelName, 4, false), "no"},
		} {
			a := f.post(f.boxes[0], call.path, call.body, "Bellgap-Repeatable", call.repeatable)
			c.Check(a.status, qt.Equals, http.StatusBadGateway, qt.Commentf("%s %q", call.path, a.body))
			c.Check(a.header.Get(result.HeaderCode), qt.Equals, fmt.Sprint(int(result.AnswerLost)), qt.Commentf("%s %q", call.path, a.body))
		}
	}
	f.torn.Store(nil)
	a := f.post(f.boxes[0], "/v1/completions", completionBody(modelName, 1, false))
	c.Check(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s", a.body))
}
