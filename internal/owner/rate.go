package owner

import (
	"slices"
	"time"

	"github.com/bellgap/bellgap/internal/brittle"
	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/result"
)

// unauthorizedRateShare is the share of the engine's rate limit that an owner without authority uses. Another owner may use the
// whole rate at the same time. Including the unused requests that both accumulate, the total stays below one and a half times the
// rate plus five.
const unauthorizedRateShare = 0.4

// UpdateRate updates the engine's rate limit in requests per second.
func (s *State) UpdateRate(now time.Time, report *ratelimit.Report) {
	s.rateLimiter.ApplyReport(now, report)
	s.updateBrittle(now)
}

// updateBrittle begins or ends the limit of a brittle engine according to what it reported.
func (s *State) updateBrittle(now time.Time) {
	tolerated, isBrittle := s.rateLimiter.Brittle()
	switch {
	case isBrittle && s.hasAnswered:
		s.brittle.Begin(now, tolerated, s.cfg.Batch, brittle.StartKnown)
	case isBrittle:
		// The engine may have restarted, or a previous owner may have requests on it.
		s.brittle.Begin(now, tolerated, s.cfg.Batch, brittle.StartNew)
	case s.hasAnswered:
		s.brittle.End()
		s.brokenUntil = nil
	}
}

// recordBrittle records how a ticket ended. The times of runs differ too much to show that some wait at the engine.
func (s *State) recordBrittle(now time.Time, st runningTicket, end End) {
	switch end {
	case EndWhole:
		s.hasAnswered = true
		s.brittle.RecordAnswer(now, st.startedAt, st.concurrency, 0)
	case EndRejected:
		// Requests that were sent later may have arrived first.
		s.brittle.RecordRejection(now, st.startedAt, max(st.concurrency-1, len(s.running)))
	case EndNotListening:
		s.brittle.Restart()
	case EndBroken:
		if s.brittle.IsActive() && len(s.brokenUntil) < s.cfg.Batch {
			s.brokenUntil = append(s.brokenUntil, now.Add(s.meanRunTime))
		}
	case EndNotLoaded, EndUnused:
	}
}

// brokenRuns returns the number of broken-off runs that a brittle engine may still execute.
func (s *State) brokenRuns(now time.Time) int {
	s.brokenUntil = slices.DeleteFunc(s.brokenUntil, func(until time.Time) bool { return !now.Before(until) })
	return len(s.brokenUntil)
}

// Rate returns the engine's rate limit, or nil if it has none.
func (s *State) Rate(now time.Time) *ratelimit.Report { return s.rateLimiter.CurrentReport(now) }

// checkRate returns an error if the engine's rate limit does not admit the ticket. On an engine with a rate limit, a ticket that
// needs a load from the weight store is admitted only if the limit would otherwise stay unused or if no other engine can start
// the request.
func (s *State) checkRate(now time.Time, t Ticket) *result.Error {
	req := ratelimit.Request{Urgency: t.Urgency, Customer: t.Customer, Costly: !t.Last && !t.OthersTooSlow && !s.isLocal(t.Ref)}
	if t.SharedRate {
		req.OwnShare = unauthorizedRateShare
	}
	wait, ok := s.rateLimiter.Check(now, req)
	if ok {
		return nil
	}
	err := result.New(result.RateLimited, "the engine accepts %.3g requests per second", s.rateLimiter.CurrentReport(now).Rate)
	err.RetryAfter = wait
	return err
}

// returnRate removes a ticket that will not run from the count against the rate limit.
func (s *State) returnRate(t Ticket) {
	if t.countedInRate {
		s.rateLimiter.GiveBack()
	}
}
