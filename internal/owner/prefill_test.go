package owner_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/resource"
)

// expectedWait returns the expected wait for the first token of a new request.
func expectedWait(c *qt.C, s *owner.State, now time.Time, prompt, urgency int, parts ...owner.PromptPart) time.Duration {
	actions := s.Submit(now, owner.Ticket{
		ID: 9999, Ref: ref(1), Arrived: now, StartBy: now.Add(time.Minute),
		Prompt: prompt, Urgency: urgency, Parts: parts, MaxWait: time.Nanosecond,
	})
	refused := actionsOf[owner.Refuse](actions)
	c.Assert(refused, qt.HasLen, 1)
	return refused[0].Err.RetryAfter
}

// submitPrompt submits a ticket that starts at once.
func submitPrompt(s *owner.State, now time.Time, id uint64, prompt int, parts ...owner.PromptPart) {
	s.Submit(now, owner.Ticket{
		ID: id, Ref: ref(1), Arrived: now, StartBy: now.Add(time.Minute), Prompt: prompt, Urgency: 1, Parts: parts, Last: true,
	})
}

// engineKinds lists two different engines with their prefill rate in tokens per second and their cache size in tokens.
var engineKinds = []struct {
	name     string
	rate     float64
	kvTokens int
}{
	{"fast, large cache", 40000, 250000},
	{"slow, small cache", 5000, 40000},
}

// TestPrefillRateIsObserved checks that the expected wait soon follows the observed prefill rate instead of the configured rate.
func TestPrefillRateIsObserved(t *testing.T) {
	for _, tt := range engineKinds {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			s := owner.New(owner.Config{Slots: 2, Batch: 8, MaxQueue: 100, PrefillRate: 19000, KVTokens: tt.kvTokens})
			s.Adopt([]resource.Ref{ref(1)}, false)
			for id := range uint64(30) {
				submitPrompt(s, now, id, 4000)
				now = now.Add(time.Duration(4000 / tt.rate * float64(time.Second)))
				s.RecordFirstToken(now, id)
				s.FinishTicket(now, id, owner.EndWhole)
			}
			want := time.Duration(2000 / tt.rate * float64(time.Second))
			got := expectedWait(c, s, now, 2000, 1)
			c.Check((got-want).Abs() < want/20, qt.IsTrue, qt.Commentf("expected wait %v, want %v", got, want))
		})
	}
}

// TestCachedPartsAddNoWait checks that cached prompt parts do not add to the expected wait until other parts have displaced them.
func TestCachedPartsAddNoWait(t *testing.T) {
	for _, tt := range engineKinds {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			s := owner.New(owner.Config{Slots: 2, Batch: 8, MaxQueue: 100, PrefillRate: tt.rate, KVTokens: tt.kvTokens})
			s.Adopt([]resource.Ref{ref(1)}, false)
			shared := owner.PromptPart{Key: 1, Tokens: 6000}
			fullWait := expectedWait(c, s, now, 8000, 1, shared, owner.PromptPart{Key: 2, Tokens: 2000})
			submitPrompt(s, now, 1, 8000, shared, owner.PromptPart{Key: 2, Tokens: 2000})
			now = now.Add(fullWait)
			s.RecordFirstToken(now, 1)
			s.FinishTicket(now, 1, owner.EndWhole)
			c.Check(expectedWait(c, s, now, 8000, 1, shared, owner.PromptPart{Key: 3, Tokens: 2000}), qt.Equals, fullWait/4)
			now = now.Add(time.Minute)
			c.Check(expectedWait(c, s, now, 8000, 1, owner.PromptPart{Key: 4, Tokens: 6000}, owner.PromptPart{Key: 3, Tokens: 2000}), qt.Equals, fullWait)
			for id := range uint64(tt.kvTokens/8000 + 1) {
				submitPrompt(s, now, 10+id, 8000, owner.PromptPart{Key: 100 + id, Tokens: 8000})
				s.FinishTicket(now, 10+id, owner.EndWhole)
			}
			c.Check(expectedWait(c, s, now, 8000, 1, shared, owner.PromptPart{Key: 3, Tokens: 2000}), qt.Equals, fullWait)
		})
	}
}

// TestUrgentPromptsAreProcessedFirst checks that a prompt waits only for prompts of the same or a higher urgency, and only for
// the part of them that is not processed yet.
func TestUrgentPromptsAreProcessedFirst(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := owner.New(owner.Config{Slots: 2, Batch: 8, MaxQueue: 100, PrefillRate: 1000, KVTokens: 100000})
	s.Adopt([]resource.Ref{ref(1)}, false)
	submitPrompt(s, now, 1, 500)
	submitPrompt(s, now, 2, 300)
	c.Check(expectedWait(c, s, now, 100, 1), qt.Equals, 900*time.Millisecond)
	c.Check(expectedWait(c, s, now, 100, 2), qt.Equals, 100*time.Millisecond)
	now = now.Add(200 * time.Millisecond)
	c.Check(expectedWait(c, s, now, 100, 1), qt.Equals, 700*time.Millisecond)
	now = now.Add(300 * time.Millisecond)
	s.RecordFirstToken(now, 1)
	c.Check(expectedWait(c, s, now, 100, 1), qt.Equals, 400*time.Millisecond)
	s.FinishTicket(now, 2, owner.EndBroken)
	c.Check(expectedWait(c, s, now, 100, 1), qt.Equals, 100*time.Millisecond)
}

// TestDelayedPromptsHaveLittleEffect checks that a few prompts that took ten times as long, because of work unknown to the owner,
// do not raise the expected wait for long.
func TestDelayedPromptsHaveLittleEffect(t *testing.T) {
	for _, tt := range engineKinds {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			s := owner.New(owner.Config{Slots: 2, Batch: 8, MaxQueue: 100, PrefillRate: tt.rate, KVTokens: tt.kvTokens})
			s.Adopt([]resource.Ref{ref(1)}, false)
			usual := time.Duration(4000 / tt.rate * float64(time.Second))
			for id := range uint64(13) {
				took := usual
				if id < 3 {
					took = 10 * usual
				}
				submitPrompt(s, now, id, 4000)
				now = now.Add(took)
				s.RecordFirstToken(now, id)
				s.FinishTicket(now, id, owner.EndWhole)
			}
			c.Check(expectedWait(c, s, now, 4000, 1) < usual*6/5, qt.IsTrue)
		})
	}
}
