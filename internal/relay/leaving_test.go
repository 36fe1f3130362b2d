package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
	"github.com/bellgap/bellgap/internal/slowpeer"
	"github.com/bellgap/bellgap/internal/softwareversion"
)

// TestLeavingBoxEndsRequestsInFlight guards against requests that get no answer, an untrue one, or a further attempt when their box leaves while they
// wait, run or are read. Their route has a timeout of a minute; the box leaves in 0.4 s.
func TestLeavingBoxEndsRequestsInFlight(t *testing.T) {
	const (
		answersEnd = 400 * time.Millisecond
		bodyLength = 4
	)
	for _, tt := range []struct {
		name string
		// bodies holds the bodies of the requests, all of which have the same length in their heads. The last one is checked.
		bodies []string
		// serve answers at the endpoint.
		serve func(rw http.ResponseWriter, r *http.Request, leave func())
		// leaves is set if the box leaves by itself after the last request was sent, before the endpoint answers.
		leaves     bool
		wantStatus int
		wantCode   result.Code
		// wantRuns is how often the endpoints get the last request, and atOnce is set if the answer must not wait for the end of answers.
		wantRuns int64
		atOnce   bool
	}{
		{"at its endpoint", []string{"aaaa"}, hang, true, http.StatusGatewayTimeout, result.LeftUnfinished, 1, false},
		{"waiting for an equal request", []string{"aaaa", "aaaa"}, hang, true, http.StatusServiceUnavailable, result.Leaving, 1, true},
		{"its body arrives", []string{"aa"}, hang, true, http.StatusServiceUnavailable, result.Leaving, 0, true},
		{"failed attempt", []string{"aaaa"}, func(rw http.ResponseWriter, _ *http.Request, leave func()) {
			leave()
			rw.WriteHeader(http.StatusInternalServerError)
		}, false, http.StatusBadGateway, result.AnswerLost, 1, true},
		{"answer has begun", []string{"aaaa"}, func(rw http.ResponseWriter, r *http.Request, leave func()) {
			_, _ = rw.Write(make([]byte, 2*answerBuffer))
			_ = http.NewResponseController(rw).Flush()
			hang(rw, r, leave)
		}, true, http.StatusOK, result.LeftUnfinished, 1, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			var runs atomic.Int64
			var leftAt atomic.Pointer[time.Time]
			leave := func() {
				now := time.Now()
				leftAt.CompareAndSwap(nil, &now)
			}
			serve := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				runs.Add(1)
				rw.Header().Set("Id", r.Header.Get("Id"))
				rw.Header().Set("Signed", "yes")
				tt.serve(rw, r, leave)
			})
			w := startSlowPlain(c, startSmall(c, serve), slowpeer.Limits{})
			second := startSmall(c, serve)
			putObject(c, w.relay.cfg.Catalog, 13, string(resource.KindEndpoint), "plain-2", &resource.Endpoint{Service: "p", Address: second, Zone: "z", Slots: 1000})
			w.relay.cfg.AnswersEnd, w.relay.cfg.Closing = answersEnd, func() bool { return false }
			w.relay.cfg.Leaving = func() time.Duration {
				if at := leftAt.Load(); at != nil {
					return max(1, time.Since(*at))
				}
				return 0
			}
			conns := make([]net.Conn, 0, len(tt.bodies))
			for _, b := range tt.bodies {
				conns = append(conns, w.openWithLength("/", []byte(b), bodyLength))
				time.Sleep(100 * time.Millisecond)
			}
			if tt.leaves {
				leave()
			}
			var group errgroup.Group
			group.Go(func() error {
				for w.relay.InFlight() > 0 {
					w.relay.EndLate()
					time.Sleep(10 * time.Millisecond)
				}
				return nil
			})
			resp, _, err := read(conns[len(conns)-1])
			took := time.Since(*leftAt.Load())
			c.Assert(resp, qt.IsNotNil, qt.Commentf("%v", err))
			c.Check(resp.StatusCode, qt.Equals, tt.wantStatus)
			if tt.wantStatus == http.StatusOK {
				c.Check(err, qt.IsNotNil)
			} else {
				c.Check(err, qt.IsNil)
				c.Check(resp.Header.Get(result.HeaderCode), qt.Equals, fmt.Sprint(int(tt.wantCode)))
				c.Check(resp.Header.Get(result.HeaderRan), qt.Equals, tt.wantCode.Info().Ran.String())
			}
			c.Check(took < answersEnd-100*time.Millisecond, qt.Equals, tt.atOnce, qt.Commentf("%s", took))
			c.Check(group.Wait(), qt.IsNil)
			c.Check(w.count(tt.wantCode.String()) >= 1, qt.IsTrue)
			c.Check(runs.Load(), qt.Equals, tt.wantRuns)
		})
	}
}

// hang keeps a request until its box gives it up.
func hang(_ http.ResponseWriter, r *http.Request, _ func()) { <-r.Context().Done() }

// TestLongestRun checks how long a run may take by the runs of the last minute.
func TestLongestRun(t *testing.T) {
	c := qt.New(t)
	kind := runKind{service: "s", route: resource.RouteRepeatable}
	start := time.Now()
	for _, tt := range []struct {
		name string
		runs int
		// age is the time from the last run to the question.
		age        time.Duration
		want       time.Duration
		wantMargin float64
		ok         bool
	}{
		{"none", 0, 0, 0, 0, false},
		{"too few", minKnownRuns - 1, 0, 0, 0, false},
		{"few", minKnownRuns, 0, time.Second, 0.5, true},
		{"some", 25, 0, time.Second, 0.2, true},
		{"many", 1000, 0, time.Second, 0.1, true},
		{"in the previous window", 50, runWindowLength + time.Second, time.Second, 0.1, true},
		{"too old", 1000, 2*runWindowLength + time.Second, 0, 0, false},
	} {
		c.Run(tt.name, func(c *qt.C) {
			times := newRunTimes()
			for range tt.runs {
				times.record(start, kind, time.Second)
			}
			got, margin, ok := times.longest(start.Add(tt.age), kind)
			c.Check(ok, qt.Equals, tt.ok)
			c.Check(got, qt.Equals, tt.want)
			c.Check(margin, qt.Equals, tt.wantMargin)
			_, _, ok = times.longest(start, runKind{service: "other"})
			c.Check(ok, qt.IsFalse)
		})
	}
}

// TestLeavingBoxEndsRequestsBeforeAdmission guards against the answer for a caller that is gone, which does not say that the request did not run, to a
// request that waits for its route to be listed when its box leaves.
func TestLeavingBoxEndsRequestsBeforeAdmission(t *testing.T) {
	c := qt.New(t)
	w := startSlowPlain(c, startSmall(c, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { c.Error("the request was sent") })), slowpeer.Limits{})
	putObject(c, w.relay.cfg.Catalog, 13, string(resource.KindRouting), catalog.RoutingName, &resource.Routing{
		Version: 3, Services: []resource.RouteService{{Name: "p"}},
		Routes: []resource.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: resource.RouteStream, Resumable: true, Attempts: 3, Timeout: resource.Duration(time.Minute),
			Objective: resource.Duration(30 * time.Second), Targets: []resource.Target{{Service: "p", Weight: 1}},
		}},
	})
	w.relay.cfg.VersionHistory = storedHistory{known: func() softwareversion.Histories { return softwareversion.Histories{routesHistory("A")} }}
	var leaves atomic.Bool
	w.relay.cfg.AnswersEnd, w.relay.cfg.Closing = time.Second, func() bool { return false }
	w.relay.cfg.Leaving = func() time.Duration {
		if leaves.Load() {
			return 1
		}
		return 0
	}
	conn := w.open("/", []byte("aaaa"))
	for w.count("stream_route_waits") == 0 {
		time.Sleep(time.Millisecond)
	}
	leaves.Store(true)
	w.relay.EndLate()
	resp, _, err := read(conn)
	c.Assert(err, qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Check(resp.Header.Get(result.HeaderCode), qt.Equals, fmt.Sprint(int(result.Leaving)))
	c.Check(resp.Header.Get(result.HeaderRan), qt.Equals, "no")
}

// TestEndedRequestIsNotEndedAgain guards against a leaving box that ends the reading of a connection whose request has been answered.
func TestEndedRequestIsNotEndedAgain(t *testing.T) {
	c := qt.New(t)
	all := newPendingRequests()
	isRemoved := false
	p := all.add(func() { c.Check(isRemoved, qt.IsFalse) })
	found := all.look(time.Now())
	c.Assert(found, qt.HasLen, 1)
	found[0].endNow()
	all.remove(p)
	isRemoved = true
	found[0].endNow()
}

// TestLeavingBoxWaitsForSilentEndpoint guards against a leaving box that gives a silent attempt up although it may not send the request again.
func TestLeavingBoxWaitsForSilentEndpoint(t *testing.T) {
	const objective, run = 100 * time.Millisecond, 400 * time.Millisecond
	c := qt.New(t)
	var leftAt atomic.Pointer[time.Time]
	var runs atomic.Int64
	w := startSlowPlain(c, startSmall(c, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		now := time.Now()
		leftAt.CompareAndSwap(nil, &now)
		runs.Add(1)
		select {
		case <-time.After(run):
		case <-r.Context().Done():
		}
		rw.Header().Set("Id", r.Header.Get("Id"))
		rw.Header().Set("Signed", "yes")
	})), slowpeer.Limits{})
	putObject(c, w.relay.cfg.Catalog, 13, string(resource.KindRouting), catalog.RoutingName, &resource.Routing{
		Version: 3, Services: []resource.RouteService{{Name: "p"}},
		Routes: []resource.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: resource.RouteRepeatable, Attempts: 3, Timeout: resource.Duration(time.Minute),
			Objective: resource.Duration(objective), Targets: []resource.Target{{Service: "p", Weight: 1}},
		}},
	})
	w.relay.cfg.AnswersEnd, w.relay.cfg.Closing = 5*time.Second, func() bool { return false }
	w.relay.cfg.Leaving = func() time.Duration {
		if at := leftAt.Load(); at != nil {
			return max(1, time.Since(*at))
		}
		return 0
	}
	resp, _, err := read(w.open("/", []byte("aaaa")))
	c.Assert(err, qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", resp.Header.Get(result.HeaderCode)))
	c.Check(runs.Load(), qt.Equals, int64(1))
}
