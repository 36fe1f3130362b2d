package notice

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
)

// base is the start of the virtual time.
var base = time.Unix(1_800_000_000, 0)

func newBoard() *Board { return NewBoard(BoardConfig{Scope: tally.NoopScope}) }

func TestLeavingIsFinalForIncarnation(t *testing.T) {
	c := qt.New(t)
	b := newBoard()
	e := Endpoint{Name: "e", Started: 5}
	c.Check(b.IsLeaving(base, e), qt.IsFalse)
	b.RecordNotices(base, e, HeaderNotices{Leaving: true})
	c.Check(b.IsLeaving(base, e), qt.IsTrue)
	b.RecordNotices(base.Add(time.Second), e, HeaderNotices{})
	c.Check(b.IsLeaving(base.Add(time.Minute), e), qt.IsTrue, qt.Commentf("an answer without a leaving header reverts nothing"))
	c.Check(b.IsLeaving(base, Endpoint{Name: "e"}), qt.IsTrue, qt.Commentf("an endpoint list without the start time"))
	c.Check(b.IsLeaving(base, Endpoint{Name: "e", Started: 6}), qt.IsFalse, qt.Commentf("a later incarnation"))
	b.RecordNotices(base, Endpoint{Name: "e", Started: 6}, HeaderNotices{Leaving: true})
	b.RecordNotices(base, e, HeaderNotices{Leaving: true})
	c.Check(b.IsLeaving(base, Endpoint{Name: "e", Started: 6}), qt.IsTrue, qt.Commentf("a late announcement of the former incarnation"))
	c.Check(b.IsLeaving(base.Add(leavingRetention), Endpoint{Name: "e", Started: 6}), qt.IsFalse, qt.Commentf("forgotten"))
}

// TestLeavingExpiresSoonForReusedName covers endpoints identified by address: another endpoint may listen at the same address
// later.
func TestLeavingExpiresSoonForReusedName(t *testing.T) {
	c := qt.New(t)
	calls := 0
	b := NewBoard(BoardConfig{Scope: tally.NoopScope, OnLeaving: func(Endpoint, bool) { calls++ }})
	e := Endpoint{Name: "127.0.0.1:80", NameReused: true}
	b.RecordNotices(base, e, HeaderNotices{Leaving: true})
	b.RecordNotices(base.Add(time.Second), e, HeaderNotices{Leaving: true})
	c.Check(calls, qt.Equals, 1)
	b.RecordNotices(base.Add(20*time.Second), e, HeaderNotices{Leaving: true})
	c.Check(calls, qt.Equals, 2)
	c.Check(b.IsLeaving(base.Add(49*time.Second), e), qt.IsTrue)
	c.Check(b.IsLeaving(base.Add(50*time.Second), e), qt.IsFalse, qt.Commentf("expired, so that one request finds out"))
	b.MergeLeaving(base.Add(51*time.Second), []LeavingEndpoint{{Endpoint: e.Name, NameReused: true, Age: 31 * time.Second}})
	c.Check(b.IsLeaving(base.Add(51*time.Second), e), qt.IsFalse, qt.Commentf("a report that has already expired"))
}

func TestLeavingCallbackRunsOncePerNewReport(t *testing.T) {
	c := qt.New(t)
	var direct, reported []string
	b := NewBoard(BoardConfig{Scope: tally.NoopScope, OnLeaving: func(e Endpoint, isDirect bool) {
		if isDirect {
			direct = append(direct, e.Name)
			return
		}
		reported = append(reported, e.Name)
	}})
	b.RecordNotices(base, Endpoint{Name: "a"}, HeaderNotices{Leaving: true})
	b.RecordNotices(base, Endpoint{Name: "a"}, HeaderNotices{Leaving: true})
	b.MergeLeaving(base, []LeavingEndpoint{{Endpoint: "a"}, {Endpoint: "b", Age: time.Second}, {Endpoint: "c", Age: leavingRetention}})
	c.Check(direct, qt.DeepEquals, []string{"a"})
	c.Check(reported, qt.DeepEquals, []string{"b"})
	c.Check(b.LeavingEndpoints(base), qt.DeepEquals, []LeavingEndpoint{{Endpoint: "a"}, {Endpoint: "b", Age: time.Second}})
}

func TestBoardIsBounded(t *testing.T) {
	c := qt.New(t)
	b := newBoard()
	for i := range maxEndpoints + 100 {
		b.RecordNotices(base.Add(time.Duration(i)*time.Millisecond), Endpoint{Name: fmt.Sprint(i)}, HeaderNotices{Leaving: true, RetryAfter: time.Second})
	}
	now := base.Add(time.Duration(maxEndpoints+100) * time.Millisecond)
	c.Check(len(b.leaving), qt.Equals, maxEndpoints)
	c.Check(len(b.paused), qt.Equals, maxEndpoints)
	c.Check(b.IsLeaving(now, Endpoint{Name: fmt.Sprint(maxEndpoints + 99)}), qt.IsTrue)
	c.Check(b.IsLeaving(now, Endpoint{Name: "0"}), qt.IsFalse)
}

// BenchmarkBoardWithoutEntries measures the cost per request while no endpoint is leaving or paused.
func BenchmarkBoardWithoutEntries(b *testing.B) {
	board := newBoard()
	e := Endpoint{Name: "e", Started: 1}
	for b.Loop() {
		board.IsLeaving(base, e)
		board.RecordNotices(base, e, HeaderNotices{})
	}
}

// BenchmarkBoardWithAnotherEndpointLeaving measures the cost per request while another endpoint is leaving.
func BenchmarkBoardWithAnotherEndpointLeaving(b *testing.B) {
	board := newBoard()
	board.RecordNotices(base, Endpoint{Name: "other"}, HeaderNotices{Leaving: true})
	e := Endpoint{Name: "e", Started: 1}
	for b.Loop() {
		board.IsLeaving(base, e)
		board.RecordNotices(base, e, HeaderNotices{})
	}
}

func TestPauseLastsUntilLatestEnd(t *testing.T) {
	c := qt.New(t)
	b := newBoard()
	e := Endpoint{Name: "e", Started: 5}
	at := func(s float64) time.Time { return base.Add(time.Duration(s * float64(time.Second))) }
	b.RecordNotices(base, e, HeaderNotices{RetryAfter: 3 * time.Second})
	c.Check(b.RemainingPause(at(1), e), qt.Equals, 2*time.Second)
	b.RecordNotices(at(1), e, HeaderNotices{RetryAfter: time.Second})
	c.Check(b.RemainingPause(at(1), e), qt.Equals, 2*time.Second, qt.Commentf("the latest end counts"))
	b.RecordNotices(at(1.5), e, HeaderNotices{})
	c.Check(b.RemainingPause(at(1.5), e), qt.Equals, 1500*time.Millisecond, qt.Commentf("an answer to an earlier request does not end the pause"))
	b.RecordNotices(at(2), e, HeaderNotices{RetryAfter: 1500 * time.Millisecond})
	c.Check(b.RemainingPause(at(2), e), qt.Equals, 1500*time.Millisecond, qt.Commentf("the latest end counts"))
	wait, ok := b.AllowRequest(at(3), e)
	c.Check(ok, qt.IsFalse)
	c.Check(wait, qt.Equals, 500*time.Millisecond)
	c.Check(b.RemainingPause(at(3), Endpoint{Name: "e", Started: 6}), qt.Equals, time.Duration(0), qt.Commentf("the pause does not apply to a later incarnation"))
	c.Check(b.PausedEndpoints(at(3)), qt.DeepEquals, []PausedEndpoint{{"e", 500 * time.Millisecond}})
}

func TestOneRequestAtATimeAfterPause(t *testing.T) {
	c := qt.New(t)
	b := newBoard()
	e := Endpoint{Name: "e"}
	isAllowed := func(after time.Duration) bool {
		_, ok := b.AllowRequest(base.Add(after), e)
		return ok
	}
	c.Check(isAllowed(0), qt.IsTrue)
	b.RecordNotices(base, e, HeaderNotices{RetryAfter: time.Second})
	c.Check(isAllowed(time.Second), qt.IsTrue)
	c.Check(isAllowed(1100*time.Millisecond), qt.IsFalse, qt.Commentf("the first request is still unanswered"))
	c.Check(b.RemainingPause(base.Add(1100*time.Millisecond), e), qt.Equals, probeTimeout-100*time.Millisecond)
	c.Check(isAllowed(time.Second+probeTimeout), qt.IsTrue, qt.Commentf("the first request has exceeded probeTimeout"))
	b.RecordNotices(base.Add(2100*time.Millisecond), e, HeaderNotices{RetryAfter: time.Second})
	c.Check(isAllowed(3*time.Second), qt.IsFalse, qt.Commentf("the endpoint requested another pause"))
	c.Check(isAllowed(3200*time.Millisecond), qt.IsTrue)
	b.RecordNotices(base.Add(3300*time.Millisecond), e, HeaderNotices{})
	c.Check(isAllowed(3300*time.Millisecond), qt.IsTrue)
	c.Check(isAllowed(3300*time.Millisecond), qt.IsTrue, qt.Commentf("the endpoint accepts requests again"))
	b.RecordNotices(base, e, HeaderNotices{RetryAfter: time.Second})
	c.Check(b.PausedEndpoints(base.Add(time.Second+probeRetention)), qt.HasLen, 0, qt.Commentf("forgotten"))
}
