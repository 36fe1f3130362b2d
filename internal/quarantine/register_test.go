package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bellgap/bellgap/internal/quarantine"
)

const (
	endpoints = 3
	hold      = 10 * time.Minute
)

// base is the virtual start of time.
var base = time.Unix(1_800_000_000, 0)

func newRegister() *quarantine.Register {
	return quarantine.NewRegister(quarantine.RegisterConfig{Endpoints: endpoints, Hold: hold})
}

// numbered returns the fingerprint of a numbered request.
func numbered(n int) quarantine.Fingerprint {
	return quarantine.Identity{Path: fmt.Sprint(n)}.Fingerprint()
}

// suspect returns a numbered request as it is told of.
func suspect(n int) quarantine.Suspect {
	return quarantine.Suspect{Fingerprint: numbered(n), What: "POST h/x"}
}

// ended returns the case of a request under which endpoints ended.
func ended(n int, lives ...string) quarantine.Case {
	return quarantine.Case{Fingerprint: numbered(n), What: "POST h/x", Ended: lives}
}

func TestRequestIsHeldAfterSomeEndpoints(t *testing.T) {
	c := qt.New(t)
	r := newRegister()
	for i, life := range []string{"a/0", "b/0", "b/0", "b/1"} {
		_, held := r.Held(base, numbered(1))
		c.Check(held, qt.IsFalse, qt.Commentf("after %d", i))
		r.Add(base.Add(time.Duration(i)*time.Second), ended(1, life))
	}
	v, held := r.Held(base.Add(3*time.Second), numbered(1))
	c.Assert(held, qt.IsTrue)
	c.Check(v.Ended, qt.Equals, 3)
	c.Check(v.Wait, qt.Equals, hold)
	_, held = r.Held(base.Add(3*time.Second), numbered(2))
	c.Check(held, qt.IsFalse)
	_, held = r.Held(base.Add(4*time.Second+hold), numbered(1))
	c.Check(held, qt.IsFalse)
}

// TestEndpointThatComesBackUnderItsName: some say when they started; the ends of the others are told apart by the time between them, so that what
// two boxes see of one end counts once.
func TestEndpointThatComesBackUnderItsName(t *testing.T) {
	for _, test := range []struct {
		name    string
		started func(end int) int64
	}{
		{"says when it started", func(end int) int64 { return int64(1000 + end) }},
		{"does not", func(int) int64 { return 0 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			one, two := newRegister(), newRegister()
			for end := range endpoints {
				at := base.Add(time.Duration(end) * 1500 * time.Millisecond)
				_, held := one.Held(at, numbered(1))
				c.Check(held, qt.IsFalse, qt.Commentf("after %d ends", end))
				e := quarantine.Endpoint{Name: "e", Started: test.started(end)}
				first, _ := one.Ended(at, suspect(1), e)
				second, _ := two.Ended(at.Add(3*time.Millisecond), suspect(1), e)
				one.Add(at.Add(5*time.Millisecond), second)
				two.Add(at.Add(5*time.Millisecond), first)
			}
			for _, r := range []*quarantine.Register{one, two} {
				v, held := r.Held(base.Add(5*time.Second), numbered(1))
				c.Check(held, qt.IsTrue)
				c.Check(v.Ended, qt.Equals, endpoints)
			}
		})
	}
}

// TestRequestThatRanWellIsNoSuspect: who was there when endpoints ended for another reason has run well elsewhere, before or since.
func TestRequestThatRanWellIsNoSuspect(t *testing.T) {
	for _, test := range []struct {
		name string
		play func(r *quarantine.Register)
	}{
		{"since", func(r *quarantine.Register) {
			r.Add(base, ended(1, "a", "b"))
			cleared, ok := r.Ran(base.Add(time.Second), numbered(1))
			if !ok || cleared.Count() != 0 {
				panic("nothing was cleared")
			}
			r.Add(base.Add(2*time.Second), ended(1, "a", "b"))
			r.Add(base.Add(time.Minute), ended(1, "c"))
		}},
		{"shortly before", func(r *quarantine.Register) {
			r.Ran(base, numbered(1))
			r.Add(base.Add(time.Second), ended(1, "a", "b", "c", "d"))
		}},
		{"at another box", func(r *quarantine.Register) {
			r.Add(base, ended(1, "a", "b", "c"))
			r.Add(base, quarantine.Case{Fingerprint: numbered(1), Ended: []string{"a", "b", "c"}, Cleared: []string{"a", "b"}})
		}},
		{"by an operator", func(r *quarantine.Register) {
			r.Add(base, ended(1, "a", "b", "c"))
			r.Clear(base, numbered(1))
			r.Add(base, ended(1, "a", "b", "c"))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := newRegister()
			test.play(r)
			_, held := r.Held(base.Add(time.Minute), numbered(1))
			c.Check(held, qt.IsFalse)
			// One that ends as many again is held all the same.
			r.Add(base.Add(2*time.Minute), ended(1, "x", "y", "z"))
			_, held = r.Held(base.Add(2*time.Minute), numbered(1))
			c.Check(held, qt.IsTrue)
		})
	}
}

// TestMapsKeepAndFree: what a cell map names is held beyond this box's own time, what it names no more is free, at whatever box.
func TestMapsKeepAndFree(t *testing.T) {
	c := qt.New(t)
	first, later := newRegister(), newRegister()
	first.Add(base, ended(1, "a", "b", "c"))
	c.Check(first.Unpublished(), qt.HasLen, 1)
	named := first.ToPublish(base)
	c.Assert(named, qt.HasLen, 1)
	for _, r := range []*quarantine.Register{first, later} {
		r.Published(base, named)
		c.Check(r.Unpublished(), qt.HasLen, 0)
		_, held := r.Held(base.Add(2*hold), numbered(1))
		c.Check(held, qt.IsTrue)
		r.Expire(base.Add(2 * hold))
		_, held = r.Held(base.Add(2*hold), numbered(1))
		c.Check(held, qt.IsTrue)
	}
	c.Check(first.ToPublish(base.Add(hold)), qt.HasLen, 0)
	for _, r := range []*quarantine.Register{first, later} {
		r.Published(base.Add(hold), nil)
		_, held := r.Held(base.Add(hold), numbered(1))
		c.Check(held, qt.IsFalse)
		// A box that has not heard yet tells of it once more.
		r.Add(base.Add(hold), ended(1, "a", "b", "c"))
		_, held = r.Held(base.Add(hold), numbered(1))
		c.Check(held, qt.IsFalse)
	}
}

// TestRegisterIsBounded: many requests are there when endpoints end; those that are held stay known.
func TestRegisterIsBounded(t *testing.T) {
	c := qt.New(t)
	r := newRegister()
	r.Add(base, ended(0, "a", "b", "c"))
	for i := range 5000 {
		r.Add(base.Add(time.Duration(i)*time.Millisecond), ended(i+1, "d"))
	}
	c.Check(len(r.Cases()) <= 2048, qt.IsTrue)
	_, held := r.Held(base.Add(5*time.Second), numbered(0))
	c.Check(held, qt.IsTrue)
	for i := range 300 {
		r.Add(base.Add(6*time.Second), ended(10000+i, "a", "b", "c"))
	}
	c.Check(r.ToPublish(base.Add(6*time.Second)), qt.HasLen, 256)
	for i := range 100 {
		r.Add(base, ended(0, fmt.Sprintf("life-%03d", i)))
	}
	c.Check(len(r.Cases()[0].Ended) <= 32, qt.IsTrue)
	r.Expire(base.Add(2 * hold))
	c.Check(r.Cases(), qt.HasLen, 0)
}

// TestBoxesAgree draws what several boxes see and tell each other, in any order, twice and never: once all have told all, all hold the same
// requests, and exactly those under which as many endpoints ended as are needed and that nothing has cleared since.
func TestBoxesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const boxes, requests = 4, 3
		var all []*quarantine.Register
		for range boxes {
			all = append(all, newRegister())
		}
		now := base
		known := map[int][]string{}
		var told []quarantine.Case
		box := rapid.IntRange(0, boxes-1)
		t.Repeat(map[string]func(*rapid.T){
			"endpoint ends": func(t *rapid.T) {
				n, life := rapid.IntRange(0, requests-1).Draw(t, "request"), fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "life"))
				known[n] = append(known[n], life)
				one, _ := all[box.Draw(t, "box")].Add(now, ended(n, life))
				told = append(told, one)
			},
			"message arrives": func(t *rapid.T) {
				if len(told) > 0 {
					all[box.Draw(t, "box")].Add(now, told[rapid.IntRange(0, len(told)-1).Draw(t, "message")])
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			},
		})
		for range 2 {
			for _, from := range all {
				for _, one := range from.Cases() {
					for _, to := range all {
						to.Add(now, one)
					}
				}
			}
		}
		for n, lives := range known {
			slices.Sort(lives)
			want := len(slices.Compact(lives)) >= endpoints
			for i, r := range all {
				if _, held := r.Held(now, numbered(n)); held != want {
					t.Fatalf("box %d holds request %d: %t, after %v", i, n, held, lives)
				}
			}
		}
	})
}

// The pattern is twelve engines with some twenty requests each, of which each lasts 1.2 s and comes again twice when it is cut, as callers do. On some
// days two engines end every 15 s for other reasons; on some a request comes every 1.3 s for a minute that ends what runs it, with a second one
// after it. The grounds: the recorded day had twelve engines, 75 streams a second, waves of a crash every 1.3 s, and engines back after 3 s.

const (
	bystanderEngines = 12
	bystanderRate    = 75.0
	streamTime       = 1200 * time.Millisecond
	backAfter        = 3 * time.Second
	callerTries      = 3
	deadlyEvery      = 1300 * time.Millisecond
	shownAfter       = 100 * time.Millisecond
	dayTime          = 2 * time.Minute
	step             = 10 * time.Millisecond
)

// streamRun is a request at an engine.
type streamRun struct {
	request, tries int
	ends           time.Time
	deadly         bool
}

// day plays streams at engines that end.
type day struct {
	rng     *rand.Rand
	reg     *quarantine.Register
	runs    [bystanderEngines][]streamRun
	backAt  [bystanderEngines]time.Time
	lives   [bystanderEngines]int
	again   []streamRun
	refused map[int]bool
	// ended counts engines that ended under the deadly request, cut the streams of others that were cut.
	ended, cut int
}

// start sends a request to an engine that is there, unless it is held.
func (d *day) start(now time.Time, run streamRun) {
	if _, held := d.reg.Held(now, numbered(run.request)); held {
		if !run.deadly {
			d.refused[run.request] = true
		}
		return
	}
	for range bystanderEngines {
		e := d.rng.IntN(bystanderEngines)
		if now.Before(d.backAt[e]) {
			continue
		}
		run.ends = now.Add(streamTime)
		if run.deadly {
			run.ends = now.Add(shownAfter)
		}
		d.runs[e] = append(d.runs[e], run)
		return
	}
}

// end ends an engine with all that it runs.
func (d *day) end(now time.Time, e int) {
	life := fmt.Sprintf("e%d/%d", e, d.lives[e])
	d.lives[e]++
	d.backAt[e] = now.Add(backAfter)
	for _, run := range d.runs[e] {
		d.reg.Add(now, ended(run.request, life))
		if run.deadly {
			d.ended++
			continue
		}
		d.cut++
		if run.tries++; run.tries < callerTries {
			d.again = append(d.again, run)
		}
	}
	d.runs[e] = nil
}

// finish ends what is due.
func (d *day) finish(now time.Time) {
	for e := range d.runs {
		if slices.ContainsFunc(d.runs[e], func(r streamRun) bool { return r.deadly && !now.Before(r.ends) }) {
			d.end(now, e)
		}
		d.runs[e] = slices.DeleteFunc(d.runs[e], func(r streamRun) bool {
			if now.Before(r.ends) {
				return false
			}
			d.reg.Ran(now, numbered(r.request))
			return true
		})
	}
}

// playDay returns what a day did to the streams of others.
func playDay(seed uint64, crashes, deadly bool) *day {
	d := &day{rng: rand.New(rand.NewPCG(seed, 1)), reg: newRegister(), refused: map[int]bool{}}
	next := 10
	for now := base; now.Before(base.Add(dayTime)); now = now.Add(step) {
		since := now.Sub(base)
		d.finish(now)
		again := d.again
		d.again = nil
		for _, run := range again {
			d.start(now, run)
		}
		if d.rng.Float64() < bystanderRate*step.Seconds() {
			next++
			d.start(now, streamRun{request: next})
		}
		if crashes && since > 0 && since%(15*time.Second) == 0 {
			d.end(now, d.rng.IntN(bystanderEngines))
			d.end(now, d.rng.IntN(bystanderEngines))
		}
		if deadly && since%deadlyEvery == 0 {
			d.start(now, streamRun{request: int(since / time.Minute), deadly: true})
		}
	}
	return d
}

// TestBystanders counts the requests that did no harm and are refused, over 20 days of each kind.
func TestBystanders(t *testing.T) {
	for _, test := range []struct {
		name            string
		crashes, deadly bool
		// mostRefused bounds the others that are refused on 20 days, mostEnded the engines that end under the deadly requests, two a day.
		mostRefused, mostEnded int
	}{
		{"engines end for other reasons", true, false, 0, 0},
		{"requests end engines", false, true, 2, 2 * endpoints * 20},
		{"both", true, true, 2, 2 * endpoints * 20},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			refused, ended, cut := 0, 0, 0
			for seed := range uint64(20) {
				d := playDay(seed, test.crashes, test.deadly)
				refused, ended, cut = refused+len(d.refused), ended+d.ended, cut+d.cut
			}
			t.Logf("refused %d, engines ended %d, streams of others cut %d", refused, ended, cut)
			c.Check(refused <= test.mostRefused, qt.IsTrue, qt.Commentf("%d refused", refused))
			c.Check(ended <= test.mostEnded, qt.IsTrue, qt.Commentf("%d ended", ended))
		})
	}
}

// TestWhatMapsName: blanks separate lives, of which none holds one.
func TestWhatMapsName(t *testing.T) {
	c := qt.New(t)
	r := newRegister()
	r.Add(base, ended(1, "c/2", "a/0", "b/1"))
	named := r.ToPublish(base)
	c.Assert(named, qt.HasLen, 1)
	c.Check(strings.Fields(named[0].Ended), qt.DeepEquals, []string{"a/0", "b/1", "c/2"})
	c.Check(named[0].Since, qt.Equals, base.UnixMilli())
	c.Check(named[0].What, qt.Equals, "POST h/x")
}

// BenchmarkRequest is what a request asks of the register where nothing is held: three looks, one whether it ran well, and its whole answer.
func BenchmarkRequest(b *testing.B) {
	for _, cases := range []int{0, 2000} {
		b.Run(fmt.Sprint(cases), func(b *testing.B) {
			r := newRegister()
			for i := range cases {
				r.Add(base, ended(i, "a"))
			}
			f := numbered(-1)
			b.ReportAllocs()
			for b.Loop() {
				for range 3 {
					r.Held(base, f)
				}
				r.RanWell(base, f)
				r.Ran(base, f)
			}
		})
	}
}
