package box_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/engine"
	"github.com/bellgap/bellgap/internal/fakeengine"
	"github.com/bellgap/bellgap/internal/result"
)

// TestRefusalOfAnotherCallIsNoProof guards against a request on bellgap's own interface that runs twice, or is refused though it runs,
// because an engine's refusal of another call came in the place of its answer.
func TestRefusalOfAnotherCallIsNoProof(t *testing.T) {
	for _, refusal := range []string{engine.RefusalNotLoaded, engine.RefusalBusy} {
		t.Run(refusal, func(t *testing.T) {
			c := qt.New(t)
			f := startFleet(c, fleetConfig{boxes: 1, engines: []fakeengine.Config{smallEngine(), smallEngine()}})
			c.Assert(f.post(f.boxes[0], "/v1/completions", completionBody(modelName, 1, false)).status, qt.Equals, http.StatusOK)
			before := f.countRuns()
			body := fmt.Sprintf(`{"error":{"type":%q,"message":"of another call"}}`, refusal)
			surplus := func(r *http.Request) string {
				if !strings.HasPrefix(r.URL.Path, "/v1/") {
					return ""
				}
				return fmt.Sprintf("HTTP/1.1 409 Conflict\r\nBellgap-Call-Id: another\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			}
			f.surplus.Store(&surplus)
			const requests = 10
			for i := range requests {
				a := f.post(f.boxes[0], "/v1/completions", completionBody(modelName, 4, i%2 == 0))
				c.Check(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s", a.body))
			}
			c.Check(f.countRuns()-before, qt.Equals, requests)
		})
	}
}

// TestRefusalThatNamesNoCallIsNoProof guards against a request on bellgap's own interface that runs twice, or is refused though it runs, because
// a refusal without the id of a call came in the place of its answer, at an engine whose answers carry their ids.
func TestRefusalThatNamesNoCallIsNoProof(t *testing.T) {
	for _, refusal := range []string{engine.RefusalNotLoaded, engine.RefusalNoSlot, engine.RefusalBusy, engine.RefusalBadRequest} {
		t.Run(refusal, func(t *testing.T) {
			c := qt.New(t)
			f := startFleet(c, fleetConfig{boxes: 1, engines: []fakeengine.Config{smallEngine(), smallEngine()}})
			c.Assert(f.post(f.boxes[0], "/v1/completions", completionBody(modelName, 1, false)).status, qt.Equals, http.StatusOK)
			before := f.countRuns()
			body := fmt.Sprintf(`{"error":{"type":%q,"message":"of no call"}}`, refusal)
			surplus := func(r *http.Request) string {
				if !strings.HasPrefix(r.URL.Path, "/v1/") {
					return ""
				}
				return fmt.Sprintf("HTTP/1.1 409 Conflict\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			}
			f.surplus.Store(&surplus)
			const requests = 10
			for i := range requests {
				a := f.post(f.boxes[0], "/v1/completions", completionBody(modelName, 4, i%2 == 0))
				c.Check(a.header.Get(result.HeaderRan), qt.Not(qt.Equals), result.RanNo.String(), qt.Commentf("%d %s", a.status, a.body))
			}
			c.Check(f.countRuns()-before <= requests, qt.IsTrue, qt.Commentf("%d requests ran %d times", requests, f.countRuns()-before))
		})
	}
}

// countRuns returns the number of requests that all engines have run.
func (f *fleet) countRuns() int {
	n := 0
	for _, e := range f.engines {
		for _, runs := range e.History().Runs {
			n += runs
		}
	}
	return n
}

// TestServiceAnswerOfAnotherCallIsNotForwarded guards against a caller of a service that receives the answer to another call.
func TestServiceAnswerOfAnotherCallIsNotForwarded(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, fleetConfig{boxes: 1})
	surplus := func(r *http.Request) string {
		if !strings.HasPrefix(r.URL.Path, "/lots") {
			return ""
		}
		return "HTTP/1.1 200 OK\r\nBellgap-Call-Id: another\r\nContent-Length: 15\r\n\r\nanother's bytes"
	}
	f.surplus.Store(&surplus)
	for range 10 {
		a := f.post(f.boxes[0], "/services/titles/lots", "call", "Bellgap-Repeatable", "yes")
		c.Check(a.status, qt.Equals, http.StatusOK)
		c.Check(a.body, qt.Contains, `"service":"titles"`)
	}
}

// TestPieceOfAnotherCallIsNoProof guards against a call on bellgap's own interface that gets the status of another one, runs twice or is
// refused though it runs, because a piece of another answer came before its own.
func TestPieceOfAnotherCallIsNoProof(t *testing.T) {
	for _, piece := range []string{"HTTP/1.1 409 ", "HTTP/1.1 200 OK\r\nDate: ", "HTTP/1.1 503 Service Unavailable\r\nBellgap-Call-Id: ", "HTTP/1.1 409 Conflict\r\nBellgap-Call-Id: another\r\nDate: "} {
		t.Run(piece, func(t *testing.T) {
			c := qt.New(t)
			f := startFleet(c, fleetConfig{boxes: 1, engines: []fakeengine.Config{smallEngine()}})
			c.Assert(f.post(f.boxes[0], "/v1/completions", completionBody(modelName, 1, false)).status, qt.Equals, http.StatusOK)
			before := f.countRuns()
			surplus := func(r *http.Request) string {
				if !strings.HasPrefix(r.URL.Path, "/v1/") && !strings.HasPrefix(r.URL.Path, "/lots") {
					return ""
				}
				return piece
			}
			f.surplus.Store(&surplus)
			const requests = 6
			for i := range requests {
				a := f.post(f.boxes[0], "/v1/completions", completionBody(modelName, 4, i%2 == 0))
				c.Check(a.status, qt.Equals, http.StatusBadGateway, qt.Commentf("%s", a.body))
				a = f.post(f.boxes[0], "/services/titles/lots", "call", "Bellgap-Repeatable", "yes")
				c.Check(a.status, qt.Equals, http.StatusBadGateway, qt.Commentf("%s", a.body))
			}
			c.Check(f.countRuns()-before, qt.Equals, requests)
		})
	}
}
