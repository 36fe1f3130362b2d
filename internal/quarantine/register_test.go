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
	crashLimit = 3
	holdTime   = 10 * time.Minute
)

// startTime is the start of the virtual time.
var startTime = time.Unix(1_800_000_000, 0)

func newRegister() *quarantine.Register {
	return quarantine.NewRegister(quarantine.RegisterConfig{CrashLimit: crashLimit, HoldTime: holdTime})
}

// fingerprintOf returns the fingerprint of the request with a number.
func fingerprintOf(n int) quarantine.Fingerprint {
	return quarantine.Identity{Path: fmt.Sprint(n)}.Fingerprint()
}

// suspect returns the request with a number as a Suspect.
func suspect(n int) quarantine.Suspect {
	return quarantine.Suspect{Fingerprint: fingerprintOf(n), Description: "POST h/x"}
}

// crashCase returns the case of a request with the endpoints that crashed while they ran it.
func crashCase(n int, incarnations ...string) quarantine.Case {
	return quarantine.Case{Fingerprint: fingerprintOf(n), Description: "POST h/x", Crashed: incarnations}
}

func TestRequestIsHeldAtCrashLimit(t *testing.T) {
	c := qt.New(t)
	r := newRegister()
	for i, incarnation := range []string{"a/0", "b/0", "b/0", "b/1"} {
		_, held := r.CheckHeld(startTime, fingerprintOf(1))
		c.Check(held, qt.IsFalse, qt.Commentf("after %d crashes", i))
		r.Merge(startTime.Add(time.Duration(i)*time.Second), crashCase(1, incarnation))
	}
	v, held := r.CheckHeld(startTime.Add(3*time.Second), fingerprintOf(1))
	c.Assert(held, qt.IsTrue)
	c.Check(v.Crashes, qt.Equals, 3)
	c.Check(v.MaxWait, qt.Equals, holdTime)
	_, held = r.CheckHeld(startTime.Add(3*time.Second), fingerprintOf(2))
	c.Check(held, qt.IsFalse)
	_, held = r.CheckHeld(startTime.Add(4*time.Second+holdTime), fingerprintOf(1))
	c.Check(held, qt.IsFalse)
}

// TestRestartedEndpointCountsAgain crashes an endpoint that restarts under its old name. Each crash must count once, although two
// boxes detect it. If the endpoint does not report its start time, the time between crashes distinguishes them.
func TestRestartedEndpointCountsAgain(t *testing.T) {
	for _, test := range []struct {
		name    string
		started func(end int) int64
	}{
		{"start time is reported", func(end int) int64 { return int64(1000 + end) }},
		{"start time is not reported", func(int) int64 { return 0 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			registerA, registerB := newRegister(), newRegister()
			for end := range crashLimit {
				at := startTime.Add(time.Duration(end) * 1500 * time.Millisecond)
				_, held := registerA.CheckHeld(at, fingerprintOf(1))
				c.Check(held, qt.IsFalse, qt.Commentf("after %d crashes", end))
				e := quarantine.Endpoint{Name: "e", Started: test.started(end)}
				caseA, _ := registerA.RecordCrash(at, suspect(1), e)
				caseB, _ := registerB.RecordCrash(at.Add(3*time.Millisecond), suspect(1), e)
				registerA.Merge(at.Add(5*time.Millisecond), caseB)
				registerB.Merge(at.Add(5*time.Millisecond), caseA)
			}
			for _, r := range []*quarantine.Register{registerA, registerB} {
				v, held := r.CheckHeld(startTime.Add(5*time.Second), fingerprintOf(1))
				c.Check(held, qt.IsTrue)
				c.Check(v.Crashes, qt.Equals, crashLimit)
			}
		})
	}
}

// TestSuccessfulRequestIsNotHeld guards against holding a harmless request that endpoints ran when they crashed for another
// reason. Such a request has run successfully elsewhere, before or after the crashes, or an operator released it.
func TestSuccessfulRequestIsNotHeld(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(r *quarantine.Register)
	}{
		{"since", func(r *quarantine.Register) {
			r.Merge(startTime, crashCase(1, "a", "b"))
			cleared, ok := r.RecordSuccess(startTime.Add(time.Second), fingerprintOf(1))
			if !ok || cleared.CrashCount() != 0 {
				panic("no crash was cleared")
			}
			r.Merge(startTime.Add(2*time.Second), crashCase(1, "a", "b"))
			r.Merge(startTime.Add(time.Minute), crashCase(1, "c"))
		}},
		{"shortly before", func(r *quarantine.Register) {
			r.RecordSuccess(startTime, fingerprintOf(1))
			r.Merge(startTime.Add(time.Second), crashCase(1, "a", "b", "c", "d"))
		}},
		{"at another box", func(r *quarantine.Register) {
			r.Merge(startTime, crashCase(1, "a", "b", "c"))
			r.Merge(startTime, quarantine.Case{Fingerprint: fingerprintOf(1), Crashed: []string{"a", "b", "c"}, Cleared: []string{"a", "b"}})
		}},
		{"by an operator", func(r *quarantine.Register) {
			r.Merge(startTime, crashCase(1, "a", "b", "c"))
			r.Clear(startTime, fingerprintOf(1))
			r.Merge(startTime, crashCase(1, "a", "b", "c"))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := newRegister()
			test.prepare(r)
			_, held := r.CheckHeld(startTime.Add(time.Minute), fingerprintOf(1))
			c.Check(held, qt.IsFalse)
			// The request is held again after as many new crashes.
			r.Merge(startTime.Add(2*time.Minute), crashCase(1, "x", "y", "z"))
			_, held = r.CheckHeld(startTime.Add(2*time.Minute), fingerprintOf(1))
			c.Check(held, qt.IsTrue)
		})
	}
}

// TestPublishedMapsHoldAndRelease checks that boxes hold the requests of a cell map beyond their own hold time, and release
// requests that are no longer in it.
func TestPublishedMapsHoldAndRelease(t *testing.T) {
	c := qt.New(t)
	first, later := newRegister(), newRegister()
	first.Merge(startTime, crashCase(1, "a", "b", "c"))
	c.Check(first.UnpublishedCases(), qt.HasLen, 1)
	published := first.ToPublish(startTime)
	c.Assert(published, qt.HasLen, 1)
	for _, r := range []*quarantine.Register{first, later} {
		r.ApplyPublished(startTime, published)
		c.Check(r.UnpublishedCases(), qt.HasLen, 0)
		_, held := r.CheckHeld(startTime.Add(2*holdTime), fingerprintOf(1))
		c.Check(held, qt.IsTrue)
		r.Expire(startTime.Add(2 * holdTime))
		_, held = r.CheckHeld(startTime.Add(2*holdTime), fingerprintOf(1))
		c.Check(held, qt.IsTrue)
	}
	c.Check(first.ToPublish(startTime.Add(holdTime)), qt.HasLen, 0)
	for _, r := range []*quarantine.Register{first, later} {
		r.ApplyPublished(startTime.Add(holdTime), nil)
		_, held := r.CheckHeld(startTime.Add(holdTime), fingerprintOf(1))
		c.Check(held, qt.IsFalse)
		// A box that has not received the new map yet sends the old case again.
		r.Merge(startTime.Add(holdTime), crashCase(1, "a", "b", "c"))
		_, held = r.CheckHeld(startTime.Add(holdTime), fingerprintOf(1))
		c.Check(held, qt.IsFalse)
	}
}

// TestRegisterIsBounded adds more cases and incarnations than the limits allow. Held requests must stay in the register.
func TestRegisterIsBounded(t *testing.T) {
	c := qt.New(t)
	r := newRegister()
	r.Merge(startTime, crashCase(0, "a", "b", "c"))
	for i := range 5000 {
		r.Merge(startTime.Add(time.Duration(i)*time.Millisecond), crashCase(i+1, "d"))
	}
	c.Check(len(r.Cases()) <= 2048, qt.IsTrue)
	_, held := r.CheckHeld(startTime.Add(5*time.Second), fingerprintOf(0))
	c.Check(held, qt.IsTrue)
	for i := range 300 {
		r.Merge(startTime.Add(6*time.Second), crashCase(10000+i, "a", "b", "c"))
	}
	c.Check(r.ToPublish(startTime.Add(6*time.Second)), qt.HasLen, 256)
	for i := range 100 {
		r.Merge(startTime, crashCase(0, fmt.Sprintf("life-%03d", i)))
	}
	c.Check(len(r.Cases()[0].Crashed) <= 32, qt.IsTrue)
	r.Expire(startTime.Add(2 * holdTime))
	c.Check(r.Cases(), qt.HasLen, 0)
}

// TestBoxesAgree draws crashes on several boxes, and messages between the boxes that arrive in any order, repeatedly or never.
// After all boxes have exchanged their cases, all must hold the same requests: those with at least crashLimit crashed endpoints
// that have not been cleared.
func TestBoxesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const boxes, requests = 4, 3
		var all []*quarantine.Register
		for range boxes {
			all = append(all, newRegister())
		}
		now := startTime
		crashed := map[int][]string{}
		var messages []quarantine.Case
		box := rapid.IntRange(0, boxes-1)
		t.Repeat(map[string]func(*rapid.T){
			"endpoint crashes": func(t *rapid.T) {
				n, incarnation := rapid.IntRange(0, requests-1).Draw(t, "request"), fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "life"))
				crashed[n] = append(crashed[n], incarnation)
				one, _ := all[box.Draw(t, "box")].Merge(now, crashCase(n, incarnation))
				messages = append(messages, one)
			},
			"message arrives": func(t *rapid.T) {
				if len(messages) > 0 {
					all[box.Draw(t, "box")].Merge(now, messages[rapid.IntRange(0, len(messages)-1).Draw(t, "message")])
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
						to.Merge(now, one)
					}
				}
			}
		}
		for n, incarnations := range crashed {
			slices.Sort(incarnations)
			want := len(slices.Compact(incarnations)) >= crashLimit
			for i, r := range all {
				if _, held := r.CheckHeld(now, fingerprintOf(n)); held != want {
					t.Fatalf("box %d holds request %d: %t, after crashes of %v", i, n, held, incarnations)
				}
			}
		}
	})
}

// The simulation has twelve engines with about twenty requests each. A request takes 1.2 s, and its caller retries it twice if it
// is interrupted. On some days, two engines crash every 15 s for other reasons. On some days, a harmful request, which crashes
// the engine that runs it, arrives every 1.3 s for a minute, followed by a second one for another minute. The numbers are those
// of a recorded day: twelve engines, 75 streams per second, waves of crashes 1.3 s apart, and engines that were back after 3 s.

const (
	engineCount        = 12
	requestsPerSecond  = 75.0
	streamDuration     = 1200 * time.Millisecond
	restartDelay       = 3 * time.Second
	attemptsPerRequest = 3
	harmfulInterval    = 1300 * time.Millisecond
	crashDelay         = 100 * time.Millisecond
	dayLength          = 2 * time.Minute
	step               = 10 * time.Millisecond
)

// streamRun is one run of a request on an engine.
type streamRun struct {
	request, attempts int
	endsAt            time.Time
	harmful           bool
}

// simulation runs streams for a day on engines that crash.
type simulation struct {
	rng          *rand.Rand
	register     *quarantine.Register
	runs         [engineCount][]streamRun
	restartedAt  [engineCount]time.Time
	incarnations [engineCount]int
	retries      []streamRun
	refused      map[int]bool
	// crashed counts the engines that crashed while they ran a harmful request. interrupted counts the interrupted streams of
	// harmless requests.
	crashed, interrupted int
}

// startRun starts a request on a running engine, unless the request is held.
func (s *simulation) startRun(now time.Time, run streamRun) {
	if _, held := s.register.CheckHeld(now, fingerprintOf(run.request)); held {
		if !run.harmful {
			s.refused[run.request] = true
		}
		return
	}
	for range engineCount {
		e := s.rng.IntN(engineCount)
		if now.Before(s.restartedAt[e]) {
			continue
		}
		run.endsAt = now.Add(streamDuration)
		if run.harmful {
			run.endsAt = now.Add(crashDelay)
		}
		s.runs[e] = append(s.runs[e], run)
		return
	}
}

// crashEngine crashes an engine and interrupts all its runs.
func (s *simulation) crashEngine(now time.Time, e int) {
	incarnation := fmt.Sprintf("e%d/%d", e, s.incarnations[e])
	s.incarnations[e]++
	s.restartedAt[e] = now.Add(restartDelay)
	for _, run := range s.runs[e] {
		s.register.Merge(now, crashCase(run.request, incarnation))
		if run.harmful {
			s.crashed++
			continue
		}
		s.interrupted++
		if run.attempts++; run.attempts < attemptsPerRequest {
			s.retries = append(s.retries, run)
		}
	}
	s.runs[e] = nil
}

// finishRuns completes the runs that are due, and crashes the engines whose harmful run is due.
func (s *simulation) finishRuns(now time.Time) {
	for e := range s.runs {
		if slices.ContainsFunc(s.runs[e], func(r streamRun) bool { return r.harmful && !now.Before(r.endsAt) }) {
			s.crashEngine(now, e)
		}
		s.runs[e] = slices.DeleteFunc(s.runs[e], func(r streamRun) bool {
			if now.Before(r.endsAt) {
				return false
			}
			s.register.RecordSuccess(now, fingerprintOf(r.request))
			return true
		})
	}
}

// simulateDay returns the simulation of a day at its end.
func simulateDay(seed uint64, otherCrashes, harmful bool) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), register: newRegister(), refused: map[int]bool{}}
	next := 10
	for now := startTime; now.Before(startTime.Add(dayLength)); now = now.Add(step) {
		elapsed := now.Sub(startTime)
		s.finishRuns(now)
		retries := s.retries
		s.retries = nil
		for _, run := range retries {
			s.startRun(now, run)
		}
		if s.rng.Float64() < requestsPerSecond*step.Seconds() {
			next++
			s.startRun(now, streamRun{request: next})
		}
		if otherCrashes && elapsed > 0 && elapsed%(15*time.Second) == 0 {
			s.crashEngine(now, s.rng.IntN(engineCount))
			s.crashEngine(now, s.rng.IntN(engineCount))
		}
		if harmful && elapsed%harmfulInterval == 0 {
			s.startRun(now, streamRun{request: int(elapsed / time.Minute), harmful: true})
		}
	}
	return s
}

// TestHarmlessRequestsAreRarelyRefused counts the refused harmless requests and the crashed engines over 20 days of each kind.
func TestHarmlessRequestsAreRarelyRefused(t *testing.T) {
	for _, test := range []struct {
		name                  string
		otherCrashes, harmful bool
		// maxRefused limits the refused harmless requests of 20 days. maxCrashed limits the engines that crash while they run
		// harmful requests, of which there are two per day.
		maxRefused, maxCrashed int
	}{
		{"engines crash for other reasons", true, false, 0, 0},
		{"requests crash engines", false, true, 2, 2 * crashLimit * 20},
		{"both", true, true, 2, 2 * crashLimit * 20},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			refused, crashed, interrupted := 0, 0, 0
			for seed := range uint64(20) {
				s := simulateDay(seed, test.otherCrashes, test.harmful)
				refused, crashed, interrupted = refused+len(s.refused), crashed+s.crashed, interrupted+s.interrupted
			}
			t.Logf("harmless requests refused: %d, engines crashed: %d, harmless streams interrupted: %d", refused, crashed, interrupted)
			c.Check(refused <= test.maxRefused, qt.IsTrue, qt.Commentf("%d harmless requests refused", refused))
			c.Check(crashed <= test.maxCrashed, qt.IsTrue, qt.Commentf("%d engines crashed", crashed))
		})
	}
}

// TestPublishedHeldFields checks the entry for a cell map. Spaces separate the incarnations, whose names contain no spaces.
func TestPublishedHeldFields(t *testing.T) {
	c := qt.New(t)
	r := newRegister()
	r.Merge(startTime, crashCase(1, "c/2", "a/0", "b/1"))
	published := r.ToPublish(startTime)
	c.Assert(published, qt.HasLen, 1)
	c.Check(strings.Fields(published[0].Crashed), qt.DeepEquals, []string{"a/0", "b/1", "c/2"})
	c.Check(published[0].Since, qt.Equals, startTime.UnixMilli())
	c.Check(published[0].Description, qt.Equals, "POST h/x")
}

// BenchmarkRegisterPerRequest measures the register calls of one request if none is held: three calls of CheckHeld, one of
// RanSuccessfully, and one of RecordSuccess.
func BenchmarkRegisterPerRequest(b *testing.B) {
	for _, cases := range []int{0, 2000} {
		b.Run(fmt.Sprint(cases), func(b *testing.B) {
			r := newRegister()
			for i := range cases {
				r.Merge(startTime, crashCase(i, "a"))
			}
			f := fingerprintOf(-1)
			b.ReportAllocs()
			for b.Loop() {
				for range 3 {
					r.CheckHeld(startTime, f)
				}
				r.RanSuccessfully(startTime, f)
				r.RecordSuccess(startTime, f)
			}
		})
	}
}

// TestHeldPartClearsRequestsInItsCompany guards against a request that stays held because endpoints crashed while they ran it beside requests with
// a harmful part, if its last crash was recorded before that of the part. While it is held it cannot run well, so nothing else would clear it.
func TestHeldPartClearsRequestsInItsCompany(t *testing.T) {
	for _, tt := range []struct {
		name      string
		partFirst bool
		// own is set if the request has also crashed an endpoint by itself.
		own      bool
		wantHeld bool
	}{
		{name: "crash of the part recorded first", partFirst: true},
		{name: "crash of the request recorded first"},
		{name: "request crashes as many endpoints by itself", own: true, wantHeld: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			r := newRegister()
			harmful := quarantine.Suspect{Fingerprint: fingerprintOf(2), Description: "POST h/y", Parts: quarantine.PartsOf([]string{"dead"})}
			at := startTime
			for i := range crashLimit {
				at = at.Add(time.Second)
				e := quarantine.Endpoint{Name: fmt.Sprint("e", i), Started: int64(i + 1)}
				if tt.partFirst {
					r.RecordPartCrashes(at, harmful, e)
				}
				r.RecordCrash(at, suspect(1), e)
				if tt.own {
					r.RecordCrash(at, suspect(1), quarantine.Endpoint{Name: fmt.Sprint("own", i), Started: int64(i + 1)})
				}
				r.RecordPartCrashes(at, harmful, e)
			}
			_, held := r.CheckHeld(at, harmful.Parts[0].Fingerprint)
			c.Assert(held, qt.IsTrue)
			_, held = r.CheckHeld(at, fingerprintOf(1))
			c.Check(held, qt.Equals, tt.wantHeld)
			c.Check(r.ToPublish(at), qt.HasLen, 1+boolToInt(tt.wantHeld))
		})
	}
}
