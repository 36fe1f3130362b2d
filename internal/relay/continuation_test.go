package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/grant"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/policy"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

const (
	streamEvents = 6
	// pauseAfterEvent is the event after which the first run of a stream pauses or breaks off.
	pauseAfterEvent = 3
	// callersPause is the pause after which callers give up a stream with the objective of the tests.
	callersPause = 2 * time.Second
	// maxOverlap is the time by which two runs of one stream must not overlap.
	maxOverlap = 400 * time.Millisecond
)

// streamWire is plainWire with event ids.
type streamWire struct{ plainWire }

func (streamWire) WriteAttempt(h http.Header, a Attempt) { h.Set("After", a.LastEvent) }

func (streamWire) EventID(event []byte) string {
	id, _, _ := strings.Cut(strings.TrimPrefix(string(event), "id: "), "\n")
	return id
}

// streamRun is one run of the stream at an engine.
type streamRun struct {
	engine     int
	start, end time.Time
}

// streamCase is one stream whose first run pauses or breaks off.
type streamCase struct {
	name string
	// pauseAfter is the event after which the first run pauses, for as long as pause. With broken set, its connection breaks in the
	// middle of the next event then.
	pauseAfter int
	pause      time.Duration
	broken     bool
	// answer is how the owner of the other engine answers a request for the continuation.
	answer func(rw http.ResponseWriter)
	// leaving is set if the box is leaving, once if the stream may not be repeated, noBudget if the retry budget is used up, off if
	// the mechanism is switched off.
	leaving, once, noBudget, off bool
	// endsSoon is set if the box begins to leave when the stream has begun, and ends before another run surely ends.
	endsSoon bool
	// callerPause is how long the caller does not read after its first event.
	callerPause time.Duration
	// wantRuns is the number of runs, wantCounter a counter that must be 1.
	wantRuns    int
	wantCounter string
}

func grantRequest(rw http.ResponseWriter) {
	httpx.WriteJSON(rw, http.StatusOK, map[string]any{"id": 2})
}

func refuseRequest(rw http.ResponseWriter) {
	result.New(result.TryNext, "").Write(rw, "")
}

// grantAfter grants after a wait during which the owner sends keepalives.
func grantAfter(wait time.Duration) func(http.ResponseWriter) {
	return func(rw http.ResponseWriter) {
		for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			rw.WriteHeader(http.StatusProcessing)
		}
		grantRequest(rw)
	}
}

// TestStreamsReachCallersWhole guards against a box that cuts a stream itself. Boxes cut 346 to 463 streams per test day, because
// they cancelled a stalled stream first and looked for another engine then, with a latest start that had passed.
func TestStreamsReachCallersWhole(t *testing.T) {
	const pause = 1500 * time.Millisecond
	for _, tt := range []streamCase{
		{name: "pause, no other engine", pauseAfter: pauseAfterEvent, pause: pause, answer: refuseRequest, wantRuns: 1},
		{name: "pause, no other engine, leaving box", pauseAfter: pauseAfterEvent, pause: pause, answer: refuseRequest, leaving: true, wantRuns: 1},
		{name: "pause before the first event", pause: 1900 * time.Millisecond, answer: refuseRequest, wantRuns: 1},
		{name: "long pause after all searches", pauseAfter: pauseAfterEvent, pause: 2500 * time.Millisecond, answer: refuseRequest, wantRuns: 1, wantCounter: "streams_kept"},
		{name: "may not be repeated", pauseAfter: pauseAfterEvent, pause: pause, answer: grantRequest, once: true, wantRuns: 1},
		{name: "silent for good, granted", pauseAfter: pauseAfterEvent, pause: time.Minute, answer: grantRequest, wantRuns: 2, wantCounter: "streams_resumed"},
		{name: "silent for good before the first event", pause: time.Minute, answer: grantRequest, wantRuns: 2, wantCounter: "streams_resumed"},
		{name: "silent for good, granted, leaving box", pauseAfter: pauseAfterEvent, pause: time.Minute, answer: grantRequest, leaving: true, wantRuns: 2, wantCounter: "streams_resumed"},
		{name: "pause, box that ends soon", pauseAfter: pauseAfterEvent, pause: pause, answer: grantRequest, endsSoon: true, wantRuns: 1},
		{name: "pause before the first event, box that ends soon", pause: pause, answer: grantRequest, endsSoon: true, wantRuns: 1},
		{name: "pause, mechanism off, box that ends soon", pauseAfter: pauseAfterEvent, pause: pause, answer: grantRequest, endsSoon: true, off: true, wantRuns: 1},
		{name: "other engine busy until it is too late", pauseAfter: pauseAfterEvent, pause: 2500 * time.Millisecond, answer: grantAfter(1500 * time.Millisecond), wantRuns: 1, wantCounter: "streams_kept"},
		{name: "back before the grant", pauseAfter: pauseAfterEvent, pause: 1300 * time.Millisecond, answer: grantAfter(800 * time.Millisecond), wantRuns: 1},
		{name: "owner lost between question and grant", pauseAfter: pauseAfterEvent, pause: pause, answer: func(http.ResponseWriter) { time.Sleep(time.Second) }, wantRuns: 1},
		{name: "retry budget used up", pauseAfter: pauseAfterEvent, pause: pause, answer: grantRequest, noBudget: true, wantRuns: 1},
		{name: "connection broken in an event", pauseAfter: pauseAfterEvent, pause: 900 * time.Millisecond, broken: true, answer: grantRequest, wantRuns: 2, wantCounter: "streams_resumed"},
		{name: "caller pauses, connection broken after that", pauseAfter: pauseAfterEvent, pause: 900 * time.Millisecond, broken: true, callerPause: 1200 * time.Millisecond, answer: grantRequest, wantRuns: 2, wantCounter: "streams_resumed"},
		{name: "mechanism off", pauseAfter: pauseAfterEvent, pause: time.Minute, answer: grantRequest, off: true, wantRuns: 2, wantCounter: "streams_resumed"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			checkStreamCase(qt.New(t), &tt)
		})
	}
}

// streamWorld runs one streamCase.
type streamWorld struct {
	*twoEngines
	test    *streamCase
	scope   tally.TestScope
	mu      sync.Mutex
	runs    []*streamRun
	startIn []time.Duration
	// ends are the reports of ended grants.
	ends []string
}

func (w *streamWorld) locked(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// checkStreamCase sends the stream of a case and checks that its caller receives it whole.
func checkStreamCase(c *qt.C, tt *streamCase) {
	w := startStreamWorld(c, tt)
	ctx, cancel := context.WithCancel(c.Context())
	var group errgroup.Group
	group.Go(func() error { return w.relay.cfg.Grants.Serve(ctx) })
	answer := w.sendStream()
	cancel()
	c.Check(group.Wait(), qt.ErrorIs, context.Canceled)
	c.Assert(answer, qt.IsNotNil)
	c.Check(answer.Body.String(), qt.Equals, "id: 1\n\nid: 2\n\nid: 3\n\nid: 4\n\nid: 5\n\nid: 6\n\n")
	w.mu.Lock()
	defer w.mu.Unlock()
	c.Assert(w.runs, qt.HasLen, tt.wantRuns)
	if tt.wantRuns > 1 {
		c.Check(w.runs[0].engine, qt.Not(qt.Equals), w.runs[1].engine)
		c.Check(w.runs[0].end.IsZero(), qt.IsFalse, qt.Commentf("the first run goes on"))
		c.Check(w.runs[1].start.Sub(w.runs[0].end) > -maxOverlap/4, qt.IsTrue, qt.Commentf("the second run began %v after the end of the first", w.runs[1].start.Sub(w.runs[0].end)))
	}
	for _, startIn := range w.startIn {
		c.Check(tt.off || startIn > 0 && startIn <= callersPause, qt.IsTrue, qt.Commentf("latest useful start in %v", startIn))
	}
	if tt.wantCounter != "" {
		c.Check(w.counter(tt.wantCounter), qt.Equals, int64(1))
	}
	c.Check(tt.noBudget && len(w.startIn) > 0, qt.IsFalse, qt.Commentf("%d questions without a retry", len(w.startIn)))
}

// counter returns the value of a counter, zero if it has not been used.
func (w *streamWorld) counter(name string) int64 {
	if counter, ok := w.scope.Snapshot().Counters()[name+"+"]; ok {
		return counter.Value()
	}
	return 0
}

// sendStream sends the request and returns what the caller received. It ends normally if the relay aborts the connection.
func (w *streamWorld) sendStream() *httptest.ResponseRecorder {
	defer func() {
		if cause := recover(); cause != nil {
			w.c.Check(cause, qt.IsNil, qt.Commentf("the relay cut the stream"))
		}
	}()
	recorder := httptest.NewRecorder()
	w.serveRequest(&pausingCaller{recorder, w.test.callerPause})
	return recorder
}

// pausingCaller is a caller that does not read for a time after its first event.
type pausingCaller struct {
	*httptest.ResponseRecorder
	pause time.Duration
}

// Write implements io.Writer.
func (w *pausingCaller) Write(p []byte) (int, error) {
	if w.Body.Len() > 0 {
		time.Sleep(w.pause)
		w.pause = 0
	}
	return w.ResponseRecorder.Write(p)
}

// startStreamWorld starts a relay with two engines that send the stream of a case.
func startStreamWorld(c *qt.C, tt *streamCase) *streamWorld {
	w := &streamWorld{test: tt, scope: tally.NewTestScope("", nil)}
	var asked atomic.Bool
	w.twoEngines = startTwoEngines(c, func(_ *twoEngines, rw http.ResponseWriter, req *grant.Request) {
		if asked.CompareAndSwap(false, true) {
			grantRequest(rw)
			return
		}
		w.locked(func() { w.startIn = append(w.startIn, req.StartIn) })
		tt.answer(rw)
	}, func(body string) { w.locked(func() { w.ends = append(w.ends, body) }) })
	for i, name := range []string{"e0", "e1"} {
		e := *w.engines[name]
		e.Address = startServer(c, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serveStream(i, rw, r) }))
		putObject(c, w.catalog, 11, string(resource.KindEndpoint), name, &e)
		// An engine that holds the version may be used without its owner, but not by a stream that still has its engine.
		w.relay.holdings.add(resource.Ref{Adapter: "base.a", Version: "1"}, name, time.Now())
	}
	putObject(c, w.catalog, 12, string(resource.KindRouting), catalog.RoutingName, &resource.Routing{
		Version: 2, Services: []resource.RouteService{{Name: "s", Engine: &resource.EngineClass{Batch: 4, KVTokens: 1000, AdapterSlots: 4, WeightsMB: 100}}},
		Routes: []resource.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: resource.RouteStream, Resumable: !tt.once, Attempts: 2, Timeout: resource.Duration(5 * time.Second),
			Objective: resource.Duration(450 * time.Millisecond), Targets: []resource.Target{{Service: "s", Weight: 1}},
		}},
	})
	w.relay.cfg.Wire, w.relay.cfg.Scope = streamWire{}, w.scope
	if tt.off {
		p, err := policy.New([]policy.Mechanism{policy.ResumeFirst})
		c.Assert(err, qt.IsNil)
		w.relay.cfg.Policy = p
	}
	if tt.leaving {
		began := time.Now()
		w.relay.cfg.LastStream, w.relay.cfg.AnswersEnd, w.relay.cfg.Closing = time.Second, time.Minute, func() bool { return false }
		w.relay.cfg.Leaving = func() time.Duration { return time.Since(began) }
	}
	if tt.endsSoon {
		w.relay.cfg.AnswersEnd, w.relay.cfg.Closing = 2500*time.Millisecond, func() bool { return false }
		w.relay.cfg.Leaving = func() (leavingFor time.Duration) {
			w.locked(func() {
				if len(w.runs) > 0 {
					leavingFor = max(1, time.Since(w.runs[0].start))
				}
			})
			return leavingFor
		}
	}
	if tt.noBudget {
		w.relay.budgets.tokens["s"] = 0
	}
	return w
}

// serveStream sends the events after the one that the request names.
func (w *streamWorld) serveStream(engine int, rw http.ResponseWriter, r *http.Request) {
	_, _ = r.Body.Read(make([]byte, 64))
	run := &streamRun{engine: engine, start: time.Now()}
	first := false
	w.locked(func() {
		w.runs = append(w.runs, run)
		first = len(w.runs) == 1
	})
	defer w.locked(func() { run.end = time.Now() })
	rw.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(rw)
	from := 0
	_, _ = fmt.Sscan(r.Header.Get("After"), &from)
	for i := from + 1; i <= streamEvents; i++ {
		if first && i == w.test.pauseAfter+1 {
			select {
			case <-time.After(w.test.pause):
			case <-r.Context().Done():
				return
			}
			if w.test.broken {
				_, _ = rw.Write([]byte("id: "))
				_ = rc.Flush()
				panic(http.ErrAbortHandler)
			}
		}
		_, _ = fmt.Fprintf(rw, "id: %d\n\n", i)
		_ = rc.Flush()
	}
}

// TestPauseBeforeCutIsReported guards against an owner that does not learn of the pause because of which a stream left its engine.
func TestPauseBeforeCutIsReported(t *testing.T) {
	c := qt.New(t)
	w := startStreamWorld(c, &streamCase{pauseAfter: pauseAfterEvent, pause: time.Minute, answer: grantRequest})
	ctx, cancel := context.WithCancel(c.Context())
	var group errgroup.Group
	group.Go(func() error { return w.relay.cfg.Grants.Serve(ctx) })
	c.Assert(w.sendStream(), qt.IsNotNil)
	longest := int64(0)
	for end := time.Now().Add(callersPause); longest == 0 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		w.locked(func() { longest = longestGap(c, w.ends) })
	}
	cancel()
	c.Check(group.Wait(), qt.ErrorIs, context.Canceled)
	c.Check(time.Duration(longest) >= time.Second, qt.IsTrue, qt.Commentf("%v", time.Duration(longest)))
}

// longestGap returns the longest gap in reports of ended grants, if it is at least a second, else zero.
func longestGap(c *qt.C, reports []string) int64 {
	longest := int64(0)
	for _, report := range reports {
		var msg struct {
			Ends []struct {
				Gap int64 `json:"gap"`
			} `json:"ends"`
		}
		c.Check(json.Unmarshal([]byte(report), &msg), qt.IsNil)
		for _, end := range msg.Ends {
			if end.Gap >= int64(time.Second) {
				longest = max(longest, end.Gap)
			}
		}
	}
	return longest
}

// TestLateStreamIsWatched guards against a stream that is never watched because it was sent so late that a search before its first
// event would be useless.
func TestLateStreamIsWatched(t *testing.T) {
	c := qt.New(t)
	w := startTwoEngines(c, func(_ *twoEngines, rw http.ResponseWriter, _ *grant.Request) { grantRequest(rw) }, func(string) {})
	w.relay.budgets.tokens["s"] = 1
	now := time.Now()
	q := &request{
		route:   &resource.Route{Kind: resource.RouteStream, Resumable: true, Attempts: 2, Objective: resource.Duration(450 * time.Millisecond)},
		service: "s", head: Head{Model: "base", Adapter: "a"}, receivedAt: now.Add(-callersPause), deadline: now.Add(time.Minute),
	}
	ctx, cancel := context.WithCancel(c.Context())
	defer cancel()
	watch := w.relay.startStreamWatch(c.Context(), q, &chosenEngine{name: "e0"}, nil, cancel)
	watch.recordArrival()
	watch.recordForwarded()
	select {
	case <-ctx.Done():
	case <-time.After(callersPause):
	}
	watch.stop(q)
	c.Check(watch.cut, qt.IsTrue)
	w.relay.returnContinuation(q)
}

// TestStallErrorKeepsOtherErrors guards against taking the failure of a caller or of a connection for a stall of the engine because
// the run was cut at the same time.
func TestStallErrorKeepsOtherErrors(t *testing.T) {
	for _, tt := range []struct {
		name string
		rerr *result.Error
		cut  bool
		want string
	}{
		{"cancelled stream", result.NewConnError(result.StreamCut, context.Canceled), true, "stall"},
		{"cancelled before the answer", result.New(result.TimedOut, ""), true, "stall"},
		{"cancelled answer", result.NewConnError(result.AnswerLost, context.Canceled), true, "stall"},
		{"not cut", result.New(result.StreamCut, ""), false, "same"},
		{"broken connection", result.NewConnError(result.StreamCut, io.ErrUnexpectedEOF), true, "same"},
		{"caller does not read", result.New(result.CallerNotReading, ""), true, "same"},
		{"caller gone", result.New(result.CallerGone, ""), true, "same"},
		{"engine not reached", result.New(result.BackendUnreachable, ""), true, "same"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			got := (&streamWatch{cut: tt.cut}).stallError(tt.rerr)
			if tt.want == "same" {
				c.Check(got, qt.Equals, tt.rerr)
				return
			}
			c.Check(got, qt.Not(qt.Equals), tt.rerr)
			c.Check(got.Code, qt.Equals, result.StreamCut)
		})
	}
}
