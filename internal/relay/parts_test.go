package relay

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

func TestBudget(t *testing.T) {
	for _, tt := range []struct {
		name     string
		boxes    int
		requests int
		want     int
	}{
		{"a box starts with what its former process may have left of the allowance", 1, 0, 15},
		{"many boxes share the allowance at their start", 7, 0, 2},
		{"a box of a large fleet starts without a retry", 1000, 0, 0},
		{"one box earns the whole allowance, less the safety margin", 1, 1000, 35},
		{"requests earn fractions of retries, up to the share", 7, 1000, 5},
		{"a box always earns one retry", 1000, 1000, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			b := newBudgets(BudgetConfig{RetriesPerRequest: 0.2, Allowance: 50, Boxes: func() int { return tt.boxes }})
			b.earn("s")
			for range tt.requests {
				b.earn("s")
			}
			got := 0
			for b.spend("s") {
				got++
			}
			c.Check(got, qt.Equals, tt.want)
			for range 8 {
				b.earn("s")
			}
			c.Check(b.spend("s"), qt.IsTrue)
			c.Check(b.spend("other"), qt.IsFalse)
		})
	}
}

func TestHealth(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	h := newHealth()
	for range 3 {
		h.begin("e")
	}
	h.end("e", now, true)
	h.end("e", now, true)
	inFlight, failures := h.load("e", now)
	c.Check(inFlight, qt.Equals, 1)
	c.Check(failures >= avoidThreshold, qt.IsTrue)
	_, failures = h.load("e", now.Add(2*failureHalfLife))
	c.Check(failures < avoidThreshold, qt.IsTrue)
	inFlight, failures = h.load("never seen", now)
	c.Check(inFlight, qt.Equals, 0)
	c.Check(failures, qt.Equals, 0.0)
}

func TestHoldings(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	a, b := resource.Ref{Adapter: "a", Version: "1"}, resource.Ref{Adapter: "a", Version: "2"}
	m := newHoldings()
	m.add(a, "e", now)
	c.Check(m.has(a, "e", now), qt.IsTrue)
	c.Check(m.has(b, "e", now), qt.IsFalse)
	c.Check(m.has(a, "e", now.Add(holdingTTL)), qt.IsFalse)
	m.remove(a, "e")
	c.Check(m.has(a, "e", now), qt.IsFalse)
	for range 3 * maxHoldings {
		m.add(resource.Ref{Adapter: "x", Version: now.String()}, "e", now)
		now = now.Add(time.Millisecond)
	}
	c.Check(len(m.answeredAt) <= maxHoldings, qt.IsTrue)
}

func TestLogSampler(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := &logSampler{}
	logged := 0
	for range 50 {
		if _, ok := s.allow(now); ok {
			logged++
		}
	}
	c.Check(logged, qt.Equals, servedLinesPerSecond)
	leftOut, ok := s.allow(now.Add(time.Second))
	c.Check(ok, qt.IsTrue)
	c.Check(leftOut, qt.Equals, int64(50-servedLinesPerSecond))
}

func TestForwardableHeaders(t *testing.T) {
	c := qt.New(t)
	in := http.Header{
		"Connection": {"keep-alive, X-Private"}, "X-Private": {"1"}, "Keep-Alive": {"timeout=5"}, "Te": {"trailers"}, "Transfer-Encoding": {"chunked"},
		"X-Passed": {"1", "2"}, "Content-Type": {"text/plain"},
	}
	c.Check(forwardableHeaders(in), qt.DeepEquals, http.Header{"X-Passed": {"1", "2"}, "Content-Type": {"text/plain"}})
	c.Check(in.Get("X-Private"), qt.Equals, "1")
}

// brokenBody is a body that ends with an error instead of io.EOF.
type brokenBody struct{ io.Reader }

// Read implements io.Reader.
func (b brokenBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func TestEventReader(t *testing.T) {
	for _, tt := range []struct {
		name  string
		body  io.Reader
		want  []string
		whole bool
	}{
		{"whole events", strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, true},
		{"carriage returns", strings.NewReader("id: 1\r\n\r\n"), []string{"id: 1\r\n\r\n"}, true},
		{"nothing", strings.NewReader(""), nil, true},
		{"blank lines that have arrived are passed on together", strings.NewReader("\n\n\nid: 1\n\n\n\r\n"), []string{"\n\n\n", "id: 1\n\n", "\n", "\r\n"}, true},
		{"the last event is incomplete", strings.NewReader("id: 1\n\nid: 2\nda"), []string{"id: 1\n\n"}, false},
		{"broken between events", brokenBody{strings.NewReader("id: 1\n\n")}, []string{"id: 1\n\n"}, false},
		{"an event longer than the reader's buffer", strings.NewReader("data: " + strings.Repeat("x", 3*eventBuffer) + "\n\n"), []string{"data: " + strings.Repeat("x", 3*eventBuffer) + "\n\n"}, true},
		{"an event above the size limit", strings.NewReader("data: " + strings.Repeat("x", 2*maxEvent)), nil, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			r := newEventReader(tt.body, nil)
			var got []string
			for {
				event, err := r.next()
				if err != nil {
					c.Check(errors.Is(err, io.EOF), qt.Equals, tt.whole, qt.Commentf("%v", err))
					break
				}
				got = append(got, string(event))
			}
			c.Check(got, qt.DeepEquals, tt.want)
		})
	}
}

// TestNotRunIsReportedOnlyWhenCertain guards against reporting that a request did not run when an earlier try may
// have run it.
func TestNotRunIsReportedOnlyWhenCertain(t *testing.T) {
	for _, tt := range []struct {
		name         string
		possibleRuns int
		in           result.Code
		want         result.Code
	}{
		{"refused without having run", 0, result.BackendRefused, result.BackendRefused},
		{"refused after a try that may have run", 1, result.BackendRefused, result.AnswerLost},
		{"no engine after a try that may have run", 1, result.NoEngine, result.AnswerLost},
		{"time over before the request was sent", 0, result.CallerGone, result.DeadlineUnmet},
		{"time over after the request was sent", 1, result.CallerGone, result.AnswerLost},
		{"a lost answer stays a lost answer", 1, result.AnswerLost, result.AnswerLost},
		{"a cut stream stays a cut stream", 2, result.StreamCut, result.StreamCut},
	} {
		t.Run(tt.name, func(t *testing.T) {
			q := &request{possibleRuns: tt.possibleRuns}
			qt.New(t).Check(q.callerError(result.New(tt.in, "")).Code, qt.Equals, tt.want)
		})
	}
}

// TestOrderCandidates orders twenty engines. Engine 2 failed recently. Engines 3, 8, 9 and 15 hold the version, 9 and
// 15 of them in this box's zone.
func TestOrderCandidates(t *testing.T) {
	var ranked []candidate
	for i := range 20 {
		ranked = append(ranked, candidate{
			name: strconv.Itoa(i), failedRecently: i == 2, holdsVersion: slices.Contains([]int{3, 8, 9, 15}, i), sameZone: i == 9 || i == 15,
		})
	}
	for _, tt := range []struct {
		name    string
		crowded bool
		// These three groups follow each other in the expected order. Within the first two, any order is accepted.
		sameZoneHolders, otherHolders, others []string
	}{
		{"calm", false, nil, nil, []string{"0", "1", "3", "4", "5", "6", "8", "9", "15", "7", "10", "11", "12", "13", "14", "16", "17", "18"}},
		{"crowded", true, []string{"15", "9"}, []string{"3", "8"}, []string{"0", "1", "4", "5", "6", "7", "10", "11", "12", "13", "14", "16", "17", "18"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			var got []string
			for _, x := range orderCandidates(ranked, tt.crowded) {
				got = append(got, x.name)
			}
			c.Assert(got, qt.HasLen, maxCandidatesCrowded)
			gotSameZone, gotOther := got[:len(tt.sameZoneHolders)], got[len(tt.sameZoneHolders):len(tt.sameZoneHolders)+len(tt.otherHolders)]
			c.Check(got[len(tt.sameZoneHolders)+len(tt.otherHolders):], qt.DeepEquals, tt.others)
			slices.Sort(gotSameZone)
			slices.Sort(gotOther)
			c.Check(strings.Join(gotSameZone, " "), qt.Equals, strings.Join(tt.sameZoneHolders, " "))
			c.Check(strings.Join(gotOther, " "), qt.Equals, strings.Join(tt.otherHolders, " "))
		})
	}
}
