package owner

import (
	"time"

	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/result"
)

// loneShare is the part of its engine's rate that an owner without authority uses: there may be another one, which uses all of it. With what both save up
// that is below one and a half times the rate and five.
const loneShare = 0.4

// HearRate takes in what the engine said of the requests a second that it takes.
func (s *State) HearRate(now time.Time, w *ratelimit.Word) { s.rate.Hear(now, w) }

// Rate returns what the engine names, nil if it names none.
func (s *State) Rate(now time.Time) *ratelimit.Word { return s.rate.Word(now) }

// overRate returns why a ticket may not go to the engine for its rate, nil if it may. An adapter is brought to an engine that names a rate only for
// what would be left of that, or where no other engine can start the request.
func (s *State) overRate(now time.Time, t Ticket) *result.Error {
	ask := ratelimit.Ask{Urgency: t.Urgency, Customer: t.Customer, Dear: !t.Last && !t.Pressed && !s.near(t.Ref)}
	if t.Lone {
		ask.Lone = loneShare
	}
	wait, ok := s.rate.Check(now, ask)
	if ok {
		return nil
	}
	err := result.New(result.RateLimited, "the engine takes %.3g requests a second", s.rate.Word(now).Rate)
	err.RetryAfter = wait
	return err
}

// unrate gives back what a ticket took that will not run.
func (s *State) unrate(t Ticket) {
	if t.rated {
		s.rate.GiveBack()
	}
}
