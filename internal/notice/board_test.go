package notice

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
)

// base is the virtual start of time.
var base = time.Unix(1_800_000_000, 0)

func newBoard() *Board { return NewBoard(BoardConfig{Scope: tally.NoopScope}) }

func TestLeavingIsFinalForALife(t *testing.T) {
	c := qt.New(t)
	b := newBoard()
	e := Endpoint{Name: "e", Started: 5}
	c.Check(b.Leaves(base, e), qt.IsFalse)
	b.Heard(base, e, Word{Leaving: true})
	c.Check(b.Leaves(base, e), qt.IsTrue)
	b.Heard(base.Add(time.Second), e, Word{})
	c.Check(b.Leaves(base.Add(time.Minute), e), qt.IsTrue, qt.Commentf("an answer without the word takes nothing back"))
	c.Check(b.Leaves(base, Endpoint{Name: "e"}), qt.IsTrue, qt.Commentf("a list that does not say when it started"))
	c.Check(b.Leaves(base, Endpoint{Name: "e", Started: 6}), qt.IsFalse, qt.Commentf("it has started again"))
	b.Heard(base, Endpoint{Name: "e", Started: 6}, Word{Leaving: true})
	b.Heard(base, e, Word{Leaving: true})
	c.Check(b.Leaves(base, Endpoint{Name: "e", Started: 6}), qt.IsTrue, qt.Commentf("a word of the former life comes late"))
	c.Check(b.Leaves(base.Add(keepLeft), Endpoint{Name: "e", Started: 6}), qt.IsFalse, qt.Commentf("forgotten"))
}

// TestLeavingWhereLivesAreNotToldApart: what listens at an address later may be another one.
func TestLeavingWhereLivesAreNotToldApart(t *testing.T) {
	c := qt.New(t)
	news := 0
	b := NewBoard(BoardConfig{Scope: tally.NoopScope, Leaves: func(Endpoint, bool) { news++ }})
	e := Endpoint{Name: "127.0.0.1:80", Reused: true}
	b.Heard(base, e, Word{Leaving: true})
	b.Heard(base.Add(time.Second), e, Word{Leaving: true})
	c.Check(news, qt.Equals, 1)
	b.Heard(base.Add(20*time.Second), e, Word{Leaving: true})
	c.Check(news, qt.Equals, 2)
	c.Check(b.Leaves(base.Add(49*time.Second), e), qt.IsTrue)
	c.Check(b.Leaves(base.Add(50*time.Second), e), qt.IsFalse, qt.Commentf("one request finds out"))
	b.Told(base.Add(51*time.Second), []Left{{Endpoint: e.Name, Reused: true, Age: 31 * time.Second}})
	c.Check(b.Leaves(base.Add(51*time.Second), e), qt.IsFalse, qt.Commentf("told late"))
}

func TestBoardTellsWhatIsNews(t *testing.T) {
	c := qt.New(t)
	var heard, told []string
	b := NewBoard(BoardConfig{Scope: tally.NoopScope, Leaves: func(e Endpoint, own bool) {
		if own {
			heard = append(heard, e.Name)
			return
		}
		told = append(told, e.Name)
	}})
	b.Heard(base, Endpoint{Name: "a"}, Word{Leaving: true})
	b.Heard(base, Endpoint{Name: "a"}, Word{Leaving: true})
	b.Told(base, []Left{{Endpoint: "a"}, {Endpoint: "b", Age: time.Second}, {Endpoint: "c", Age: keepLeft}})
	c.Check(heard, qt.DeepEquals, []string{"a"})
	c.Check(told, qt.DeepEquals, []string{"b"})
	c.Check(b.Left(base), qt.DeepEquals, []Left{{Endpoint: "a"}, {Endpoint: "b", Age: time.Second}})
}

func TestBoardIsBounded(t *testing.T) {
	c := qt.New(t)
	b := newBoard()
	for i := range maxEndpoints + 100 {
		b.Heard(base.Add(time.Duration(i)*time.Millisecond), Endpoint{Name: fmt.Sprint(i)}, Word{Leaving: true, Rest: time.Second})
	}
	now := base.Add(time.Duration(maxEndpoints+100) * time.Millisecond)
	c.Check(len(b.left), qt.Equals, maxEndpoints)
	c.Check(len(b.rests), qt.Equals, maxEndpoints)
	c.Check(b.Leaves(now, Endpoint{Name: fmt.Sprint(maxEndpoints + 99)}), qt.IsTrue)
	c.Check(b.Leaves(now, Endpoint{Name: "0"}), qt.IsFalse)
}

// BenchmarkBoardWithoutWords is what a request pays while endpoints say nothing.
func BenchmarkBoardWithoutWords(b *testing.B) {
	board := newBoard()
	e := Endpoint{Name: "e", Started: 1}
	for b.Loop() {
		board.Leaves(base, e)
		board.Heard(base, e, Word{})
	}
}

// BenchmarkBoard is what it pays where another endpoint leaves.
func BenchmarkBoard(b *testing.B) {
	board := newBoard()
	board.Heard(base, Endpoint{Name: "other"}, Word{Leaving: true})
	e := Endpoint{Name: "e", Started: 1}
	for b.Loop() {
		board.Leaves(base, e)
		board.Heard(base, e, Word{})
	}
}

func TestRestIsKeptForAllOfItsTime(t *testing.T) {
	c := qt.New(t)
	b := newBoard()
	e := Endpoint{Name: "e", Started: 5}
	at := func(s float64) time.Time { return base.Add(time.Duration(s * float64(time.Second))) }
	b.Heard(base, e, Word{Rest: 3 * time.Second})
	c.Check(b.Rest(at(1), e), qt.Equals, 2*time.Second)
	b.Heard(at(1), e, Word{Rest: time.Second})
	c.Check(b.Rest(at(1), e), qt.Equals, 2*time.Second, qt.Commentf("the latest end counts"))
	b.Heard(at(1.5), e, Word{})
	c.Check(b.Rest(at(1.5), e), qt.Equals, 1500*time.Millisecond, qt.Commentf("an answer to an earlier request ends no rest"))
	b.Heard(at(2), e, Word{Rest: 1500 * time.Millisecond})
	c.Check(b.Rest(at(2), e), qt.Equals, 1500*time.Millisecond, qt.Commentf("the latest end counts"))
	wait, ok := b.Enter(at(3), e)
	c.Check(ok, qt.IsFalse)
	c.Check(wait, qt.Equals, 500*time.Millisecond)
	c.Check(b.Rest(at(3), Endpoint{Name: "e", Started: 6}), qt.Equals, time.Duration(0), qt.Commentf("another life was not asked"))
	c.Check(b.Rests(at(3)), qt.DeepEquals, []Resting{{"e", 500 * time.Millisecond}})
}

func TestAfterARestRequestsComeOneByOne(t *testing.T) {
	c := qt.New(t)
	b := newBoard()
	e := Endpoint{Name: "e"}
	enter := func(after time.Duration) bool {
		_, ok := b.Enter(base.Add(after), e)
		return ok
	}
	c.Check(enter(0), qt.IsTrue)
	b.Heard(base, e, Word{Rest: time.Second})
	c.Check(enter(time.Second), qt.IsTrue)
	c.Check(enter(1100*time.Millisecond), qt.IsFalse, qt.Commentf("the first has no answer yet"))
	c.Check(b.Rest(base.Add(1100*time.Millisecond), e), qt.Equals, trialTime-100*time.Millisecond)
	c.Check(enter(time.Second+trialTime), qt.IsTrue, qt.Commentf("it is waited for no longer"))
	b.Heard(base.Add(2100*time.Millisecond), e, Word{Rest: time.Second})
	c.Check(enter(3*time.Second), qt.IsFalse, qt.Commentf("it asks for rest again"))
	c.Check(enter(3200*time.Millisecond), qt.IsTrue)
	b.Heard(base.Add(3300*time.Millisecond), e, Word{})
	c.Check(enter(3300*time.Millisecond), qt.IsTrue)
	c.Check(enter(3300*time.Millisecond), qt.IsTrue, qt.Commentf("it takes requests"))
	b.Heard(base, e, Word{Rest: time.Second})
	c.Check(b.Rests(base.Add(time.Second+keepTrial)), qt.HasLen, 0, qt.Commentf("forgotten"))
}
