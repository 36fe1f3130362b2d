package figures_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/bellgap/bellgap/internal/demand"
	"github.com/bellgap/bellgap/internal/engineload"
	"github.com/bellgap/bellgap/internal/figures"
)

var now = time.Unix(1765000000, 0)

// recorder is a demand part that returns next and records what it receives.
type recorder struct {
	next   []demand.Row
	merged []demand.Row
}

func (r *recorder) Collect(time.Time) []demand.Row { return r.next }

func (r *recorder) Merge(_ time.Time, _ string, rows []demand.Row) { r.merged = rows }

func (r *recorder) Shares(time.Time) []demand.Share { return nil }

func (r *recorder) Apply(_, _ time.Time, _ []demand.Share) {}

func newExchange(d figures.Demand) (*figures.Exchange, tally.TestScope) {
	scope := tally.NewTestScope("", nil)
	return figures.New(figures.Config{
		Box: "self", OwnLoads: func(time.Time) []engineload.Sent { return nil }, Demand: d, Scope: scope,
		Loads: engineload.NewTable(engineload.TableConfig{Scope: scope}),
	}), scope
}

// TestRowsWaitForAnAnsweredHeartbeat guards against the loss of demand rows with unanswered heartbeats, and against rows that are counted
// after the window of the coordinator.
func TestRowsWaitForAnAnsweredHeartbeat(t *testing.T) {
	c := qt.New(t)
	d := &recorder{}
	e, _ := newExchange(d)
	asked := func(after time.Duration, count int) int {
		d.next = []demand.Row{{Service: "chat", Customer: "c", Asked: count, AskedTokens: count}}
		rows := e.Collect(now.Add(after)).Demand
		c.Assert(rows, qt.HasLen, 1)
		c.Check(rows[0].AskedTokens, qt.Equals, rows[0].Asked)
		return rows[0].Asked
	}
	c.Check(asked(0, 1), qt.Equals, 1)
	c.Check(asked(time.Second, 10), qt.Equals, 11, qt.Commentf("no answer to the first heartbeat"))
	e.Apply(now, now, figures.Digest{})
	c.Check(asked(time.Second, 100), qt.Equals, 111, qt.Commentf("a reply that does not answer the heartbeat confirms nothing"))
	c.Check(asked(2500*time.Millisecond, 1000), qt.Equals, 1110, qt.Commentf("the first rows are too old"))
	e.Confirm()
	c.Check(asked(3*time.Second, 10000), qt.Equals, 10000)
}

// TestSizesAreBounded checks that the rows of many customers are summed before they are sent, and that a box with wrong messages costs a
// bounded amount, which is counted.
func TestSizesAreBounded(t *testing.T) {
	c := qt.New(t)
	d := &recorder{}
	e, scope := newExchange(d)
	for i := range 1000 {
		d.next = append(d.next, demand.Row{Service: "chat", Customer: fmt.Sprint(i), Asked: 1, AskedTokens: i})
	}
	rows := e.Collect(now).Demand
	c.Check(rows, qt.HasLen, 65)
	c.Check(rows[0].AskedTokens, qt.Equals, 999)
	c.Check(rows[64], qt.Equals, demand.Row{Service: "chat", Asked: 936, AskedTokens: 936 * 935 / 2})
	e.Merge(now, "other", figures.Upload{Demand: d.next, EngineLoads: make([]engineload.Sent, 300)})
	c.Check(d.merged, qt.HasLen, 96)
	e.Apply(now, now, figures.Digest{EngineLoads: make([]engineload.Sent, 100)})
	c.Check(scope.Snapshot().Counters()["figures_truncated+"].Value(), qt.Equals, int64(1000-96+300-256+100-64))
	c.Check(scope.Snapshot().Counters()["engine_load_invalid+"].Value(), qt.Equals, int64(256+64))
}
