package owner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/engineload"
	"github.com/bellgap/bellgap/internal/loads"
	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/policy"
	"github.com/bellgap/bellgap/internal/resource"
)

// TestLoad checks the values of a report: a slot counts as free if it is empty or its adapter may be unloaded.
func TestLoad(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := owner.New(owner.Config{Slots: 2, Batch: 1, MaxQueue: 10, PrefillRate: 10000, AwaitReport: true, Policy: policy.Policy{}})
	_, ok := s.Load(now)
	c.Check(ok, qt.IsFalse, qt.Commentf("the loaded adapters are unknown"))
	s.Adopt([]resource.Ref{ref(1)}, false)
	r, _ := s.Load(now)
	c.Check(r, qt.Equals, engineload.Report{FreeSlots: 2, LoadTime: 280 * time.Millisecond})
	submitPrompt(s, now, 1, 3000)
	submitPrompt(s, now, 2, 1000)
	r, _ = s.Load(now.Add(100 * time.Millisecond))
	c.Check(r.Backlog, qt.Equals, 2000)
	c.Check([]int{r.Running, r.Waiting, r.FreeSlots}, qt.DeepEquals, []int{1, 1, 1})
	s.RecordFirstToken(now.Add(200*time.Millisecond), 1)
	r, _ = s.Load(now.Add(200 * time.Millisecond))
	c.Check(r.PrefillRate > 10000, qt.IsTrue, qt.Commentf("%v", r.PrefillRate))
	c.Check(r.Backlog, qt.Equals, 0)
	s.SetClosed(now, true)
	_, ok = s.Load(now)
	c.Check(ok, qt.IsFalse, qt.Commentf("the engine accepts no requests"))
}

// TestRunnerPublishesLoad checks that only scarce engines are reported, with increasing sequence numbers, and that a new owner starts from
// the rate that the former one has observed.
func TestRunnerPublishesLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, scarce := range []bool{false, true} {
			c := qt.New(t)
			table := engineload.NewTable(engineload.TableConfig{Scope: tally.NoopScope})
			sequence := uint64(0)
			r := owner.NewRunner(owner.RunnerConfig{
				Name: "e", Engine: resource.Engine{BaseModel: "base", Slots: 4, Batch: 8, Scarce: scarce, Started: 7}, MaxQueue: 10, Client: &replacedEngine{},
				Loads: loads.Unlimited{}, BaseLoads: loads.Unlimited{}, Scope: tally.NoopScope, Authority: func(time.Time) (uint64, bool) { return 1, true },
				Epoch: 3, EngineLoads: table, CarriedRate: 8000, CarriedUndisturbedRate: 9000, NextLoadSequence: func() uint64 { sequence++; return sequence },
			})
			ctx, cancel := context.WithCancel(t.Context())
			var group errgroup.Group
			group.Go(func() error { return r.Serve(ctx) })
			// No tick is due at this time, so both reads below see the same report.
			time.Sleep(1010 * time.Millisecond)
			sent, ok := r.Load(time.Now())
			c.Check(ok, qt.Equals, scarce)
			if known, _, ok := table.Get(time.Now(), "e", 7); scarce {
				c.Check(ok, qt.IsTrue)
				c.Check(known, qt.Equals, sent.Report)
				c.Check(sent.Epoch, qt.Equals, uint64(3))
				c.Check(sent.Sequence > 10, qt.IsTrue)
				c.Check(sent.PrefillRate, qt.Equals, 8000.0)
				c.Check(sent.UndisturbedRate, qt.Equals, 9000.0)
				c.Check(sent.Age <= 50*time.Millisecond, qt.IsTrue)
			}
			cancel()
			_ = group.Wait()
			_, ok = r.Load(time.Now())
			c.Check(ok, qt.IsFalse)
		}
	})
}
