package box

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/engine"
	"github.com/bellgap/bellgap/internal/owner"
)

// tellingEngines is a client that knows the outcome of every load.
type tellingEngines struct {
	owner.Engines
}

func (tellingEngines) LoadOutcome(_, model string) engine.LoadOutcome {
	if model == "a1@1" {
		return engine.OutcomeDone
	}
	return engine.OutcomeVoid
}

func (tellingEngines) OrderTimeout(string) time.Duration { return time.Second }

// TestLoadOutcomesPassTheQuarantine guards against a wrapper that hides the optional interface of the client. Loads without an answer were
// then forgotten after 15 s although engines held their adapters, and the next load exceeded the engine's slots.
func TestLoadOutcomesPassTheQuarantine(t *testing.T) {
	c := qt.New(t)
	wrapped := quarantiningEngines{Engines: tellingEngines{}}
	c.Check(wrapped.LoadOutcome("engine-1", "a1@1"), qt.Equals, engine.OutcomeDone)
	c.Check(wrapped.LoadOutcome("engine-1", "a2@1"), qt.Equals, engine.OutcomeVoid)
	c.Check(quarantiningEngines{}.LoadOutcome("engine-1", "a1@1"), qt.Equals, engine.OutcomeOpen)
	c.Check(wrapped.OrderTimeout("engine-1"), qt.Equals, time.Second)
}
