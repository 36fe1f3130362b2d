package owner_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/loads"
	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/policy"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// TestTooLateLoadIsRefused checks when a waiting ticket whose adapter is missing is refused. It guards against loads for requests that they
// cannot serve in time, and against refusals of requests whose adapter is there sooner than a load that starts now.
func TestTooLateLoadIsRefused(t *testing.T) {
	const loadTime = 280 * time.Millisecond
	start := time.Unix(1000, 0)
	load := func(s *owner.State) { s.PermitGranted(start, ref(1)) }
	adopt := func(adapters ...resource.Ref) func(*owner.State) {
		return func(s *owner.State) { s.Adopt(adapters, false) }
	}
	unload := func(s *owner.State) {
		s.Adopt([]resource.Ref{ref(1), ref(8)}, false)
		submit(s, start, 9, 0)
		s.PermitGranted(start, ref(9))
		s.FinishUnload(start, ref(1), nil)
	}
	for _, tt := range []struct {
		name              string
		isPlentiful       bool
		awaitReport       bool
		off               []policy.Mechanism
		spare             bool
		before, afterward func(*owner.State)
		startIn           time.Duration
		refused           bool
	}{
		{name: "in time", startIn: loadTime},
		{name: "too late", startIn: loadTime - 1, refused: true},
		{name: "restricted and too late", spare: true, startIn: loadTime - 1, refused: true},
		{name: "becomes too late before the permit", afterward: func(*owner.State) {}, startIn: loadTime, refused: true},
		{name: "loaded", before: adopt(ref(1)), startIn: 1},
		{name: "loading", afterward: load, startIn: loadTime},
		{name: "next load of an unload", before: adopt(ref(8), ref(9)), afterward: load, startIn: loadTime},
		{name: "load without an answer", before: func(s *owner.State) { s.AdoptUncertain(start, []resource.Ref{ref(1)}) }, startIn: 1},
		{name: "recently unloaded", before: unload, startIn: loadTime / 10},
		{name: "recently unloaded and too late", before: unload, startIn: loadTime/10 - 1, refused: true},
		{name: "loaded adapters unknown", awaitReport: true, startIn: 1},
		{name: "switched off", off: []policy.Mechanism{policy.InTimeStarts}, startIn: 1},
		{name: "not scarce", isPlentiful: true, startIn: 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			p, err := policy.New(tt.off)
			c.Assert(err, qt.IsNil)
			s := owner.New(owner.Config{
				Slots: 2, Batch: 64, MaxQueue: 100, FinishesFirst: true, AwaitReport: tt.awaitReport, Scarce: !tt.isPlentiful, Policy: p,
			})
			if tt.before != nil {
				tt.before(s)
			}
			actions := s.Submit(start, owner.Ticket{ID: 1, Ref: ref(1), Arrived: start, StartBy: start.Add(tt.startIn), Last: true, Spare: tt.spare})
			if tt.afterward != nil {
				tt.afterward(s)
				actions = s.PermitGranted(start.Add(tt.startIn-1), ref(1))
			}
			refused := actionsOf[owner.Refuse](actions)
			c.Assert(len(refused) == 1, qt.Equals, tt.refused)
			if tt.refused {
				c.Check(refused[0].BeforeLoad, qt.IsTrue)
				c.Check(refused[0].Err.Code, qt.Equals, result.DeadlineUnmet)
				c.Check(actionsOf[owner.RequestPermit](actions), qt.HasLen, 0)
				c.Check(actionsOf[owner.Load](actions), qt.HasLen, 0)
			}
		})
	}
}

// TestRefusalsBeforeLoadAreCounted checks the counter by which operators see these refusals.
func TestRefusalsBeforeLoadAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		scope := tally.NewTestScope("", nil)
		r := owner.NewRunner(owner.RunnerConfig{
			Name: "e", Engine: resource.Engine{BaseModel: "base", Slots: 4, Batch: 8, Scarce: true}, MaxQueue: 10, Client: &replacedEngine{},
			Loads: loads.Unlimited{}, BaseLoads: loads.Unlimited{}, Scope: scope, Authority: func(time.Time) (uint64, bool) { return 1, true },
		})
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return r.Serve(ctx) })
		time.Sleep(2 * time.Second)
		_, err := r.Acquire(ctx, owner.Request{Ref: ref(1), StartBy: time.Now().Add(100 * time.Millisecond), Last: true})
		cancel()
		_ = group.Wait()
		c.Check(err, qt.ErrorMatches, ".*a load takes 280ms, the latest start is in 100ms.*")
		c.Check(scope.Snapshot().Counters()["refused_before_load+"].Value(), qt.Equals, int64(1))
	})
}

// overload is one engine in virtual time that is asked for twice the adapters that it can load. It loads 3.8 per second.
type overload struct {
	state *owner.State
	// arrivals draws the requests, durations the times of loads and runs, so that all runs of a seed get the same requests.
	arrivals, durations *rand.Rand
	now                 time.Time
	// due holds what ends at the engine, by time.
	due                   map[time.Time][]func() []owner.Action
	inTime, late, refused int
}

const (
	overloadRate      = 7.5
	overloadTime      = 9 * time.Second
	overloadObjective = 800 * time.Millisecond
)

// after schedules an event after 0.8 to 1.4 times d.
func (o *overload) after(d time.Duration, event func() []owner.Action) {
	at := o.now.Add(time.Duration((0.8 + 0.6*o.durations.Float64()) * float64(d)).Round(time.Millisecond))
	o.due[at] = append(o.due[at], event)
}

func (o *overload) execute(actions []owner.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case owner.Start:
			if o.now.Sub(a.Ticket.Arrived) <= overloadObjective {
				o.inTime++
			} else {
				o.late++
			}
			o.after(700*time.Millisecond, func() []owner.Action { return o.state.FinishTicket(o.now, a.Ticket.ID, owner.EndWhole) })
		case owner.Refuse:
			o.askAgain(a)
		case owner.RequestPermit:
			o.after(time.Millisecond, func() []owner.Action { return o.state.PermitGranted(o.now, a.Ref) })
		case owner.Load:
			o.after(288*time.Millisecond, func() []owner.Action { return o.state.FinishLoad(o.now, a.Ref, nil) })
		case owner.Unload:
			o.after(5*time.Millisecond, func() []owner.Action { return o.state.FinishUnload(o.now, a.Ref, nil) })
		}
	}
}

// askAgain accepts the expected wait in a refusal if the request can start then, as a relay does.
func (o *overload) askAgain(a owner.Refuse) {
	t := a.Ticket
	if t.Last || a.Err.RetryAfter == 0 || a.Err.RetryAfter > t.StartBy.Sub(o.now) {
		o.refused++
		return
	}
	t.MaxWait, t.LocalOnly, t.Last = 0, false, true
	o.execute(o.state.Submit(o.now, t))
}

// run submits requests until overloadTime has passed, and then waits until all have ended.
func (o *overload) run(startIn time.Duration) {
	begin, next, id := o.now, o.now, uint64(0)
	for ; o.now.Sub(begin) < overloadTime+2*time.Second; o.now = o.now.Add(time.Millisecond) {
		for _, event := range o.due[o.now] {
			o.execute(event())
		}
		for ; o.now.Sub(begin) < overloadTime && !next.After(o.now); id++ {
			next = next.Add(time.Duration(o.arrivals.ExpFloat64() / overloadRate * float64(time.Second)))
			o.execute(o.state.Submit(o.now, owner.Ticket{
				ID: id, Ref: ref(o.arrivals.IntN(1000)), Arrived: o.now, StartBy: o.now.Add(startIn), MaxWait: overloadObjective / 2, LocalOnly: true,
			}))
		}
		if o.now.Sub(begin)%(50*time.Millisecond) == 0 {
			o.execute(o.state.Tick(o.now))
		}
	}
}

// TestStartsInTimeUnderOverload guards against queues of requests that start too late while later ones could start in time. It compares the sums
// of 20 runs with and without the mechanism.
func TestStartsInTimeUnderOverload(t *testing.T) {
	c := qt.New(t)
	run := func(startIn time.Duration, off ...policy.Mechanism) (sum overload) {
		for seed := range uint64(20) {
			o := &overload{
				state: newScarceState(c, 5, off...), now: time.Unix(1000, 0), due: map[time.Time][]func() []owner.Action{},
				arrivals: rand.New(rand.NewPCG(seed, 1)), durations: rand.New(rand.NewPCG(seed, 2)),
			}
			o.run(startIn)
			sum.inTime, sum.late, sum.refused = sum.inTime+o.inTime, sum.late+o.late, sum.refused+o.refused
		}
		t.Logf("latest start %v, off %v: %d in time, %d late, %d refused", startIn, off, sum.inTime, sum.late, sum.refused)
		return sum
	}
	without := run(overloadObjective*3/2, policy.InTimeStarts)
	with := run(overloadObjective)
	c.Check(with.inTime > without.inTime, qt.IsTrue)
	c.Check(with.late < without.late, qt.IsTrue)
	c.Check(with.refused*20 <= without.refused*21, qt.IsTrue)
}
