package relay

import (
	"sync"
	"time"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// pendingRequest is the part of a request in flight that a leaving box needs to decide whether to end it.
type pendingRequest struct {
	mu   sync.Mutex
	kind runKind
	// deadline is zero until the head of the request has been read.
	deadline time.Time
	// sentAt is when the request was sent to the endpoint that has it, zero if none has it. lastRun is how long the last endpoint had it.
	sentAt  time.Time
	lastRun time.Duration
	// end ends what the request waits for. ended is set once it was called.
	end   func()
	ended bool
	// removed is set once the request has been answered.
	removed bool
}

// describe sets the kind and the deadline.
func (p *pendingRequest) describe(kind runKind, deadline time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kind, p.deadline = kind, deadline
}

// admit records that the request was accepted. From here on end is the function that ends it.
func (p *pendingRequest) admit(end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end = end
}

// beginRun records that an endpoint gets the request.
func (p *pendingRequest) beginRun() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sentAt = clock.Now()
}

// endRun records that no endpoint has the request any more.
func (p *pendingRequest) endRun() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.sentAt.IsZero() {
		p.lastRun, p.sentAt = clock.Since(p.sentAt), time.Time{}
	}
}

// isEnded reports whether the request was ended because the box is leaving.
func (p *pendingRequest) isEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// endNow ends the request. It is called again while the request is in flight: a body that is read may get a new time limit after the first call.
func (p *pendingRequest) endNow() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.removed {
		return
	}
	p.ended = true
	p.end()
}

// remove records that the request has been answered. After it returns, nothing ends the request any more.
func (p *pendingRequest) remove() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removed = true
}

// run returns the kind of the request and how long its current or last endpoint has had it.
func (p *pendingRequest) run(now time.Time) (runKind, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sentAt.IsZero() {
		return p.kind, p.lastRun
	}
	return p.kind, now.Sub(p.sentAt)
}

// waiting returns the kind and the deadline of a request that no endpoint has. It returns false if one has it, or if its head has not been read.
func (p *pendingRequest) waiting() (runKind, time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.kind, p.deadline, p.sentAt.IsZero() && !p.deadline.IsZero()
}

// pendingRequests are the requests in flight of a box.
type pendingRequests struct {
	mu  sync.Mutex
	all map[*pendingRequest]struct{}
	// oldest holds the longest runs of requests in flight, as of the last look.
	oldest map[runKind]time.Duration
}

func newPendingRequests() *pendingRequests {
	return &pendingRequests{all: map[*pendingRequest]struct{}{}}
}

// add adds a request that is ended by calling end. The caller must call remove when it has ended.
func (s *pendingRequests) add(end func()) *pendingRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &pendingRequest{end: end}
	s.all[p] = struct{}{}
	return p
}

func (s *pendingRequests) remove(p *pendingRequest) {
	p.remove()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, p)
}

// look returns the requests in flight and updates their longest runs.
func (s *pendingRequests) look(now time.Time) []*pendingRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, oldest := make([]*pendingRequest, 0, len(s.all)), map[runKind]time.Duration{}
	for p := range s.all {
		found = append(found, p)
		kind, run := p.run(now)
		oldest[kind] = max(oldest[kind], run)
	}
	s.oldest = oldest
	return found
}

// oldestOf returns the longest run of the requests in flight of a kind.
func (s *pendingRequests) oldestOf(kind runKind) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.oldest[kind]
}

// LeaveStatus describes what a leaving box has refused and ended.
type LeaveStatus struct {
	// Refused is the number of requests that were refused since they could not end in time. Unfinished is the number of requests that were sent to
	// an endpoint and had no complete answer when the box had to end them.
	Refused    int64 `json:"refused"`
	Unfinished int64 `json:"unfinished"`
}

// LeaveStatus returns what this box has refused and ended while it was leaving.
func (r *Relay) LeaveStatus() LeaveStatus {
	return LeaveStatus{Refused: r.refusedLeaving.Load(), Unfinished: r.leftUnfinished.Load()}
}

// answersEndIn returns the time until a leaving box ends all requests in flight. It returns false if the box is not leaving.
func (r *Relay) answersEndIn() (time.Duration, bool) {
	leavingFor := r.cfg.Leaving()
	return r.cfg.AnswersEnd - leavingFor, leavingFor > 0
}

// longestRun returns how long a run of a kind may take, with a margin. Without enough recent runs it returns limit.
func (r *Relay) longestRun(kind runKind, limit time.Duration) time.Duration {
	longest, margin, ok := r.runTimes.longest(clock.Now(), kind)
	if !ok {
		return limit
	}
	longest = max(longest, r.pending.oldestOf(kind))
	return min(limit, longest+time.Duration(margin*float64(longest)))
}

// refuseIfLeaving refuses new requests that may not end before a leaving box ends all answers. The time for which a request waits for a place does
// not count: EndLate ends the wait when it gets too late.
func (r *Relay) refuseIfLeaving(q *request) *result.Error {
	leavingFor := r.cfg.Leaving()
	isLateStream := q.route.Kind == resource.RouteStream && r.cfg.LastStream > 0 && leavingFor >= r.cfg.LastStream
	if leavingFor > 0 && (isLateStream || r.cfg.Closing()) {
		return r.newLeavingError()
	}
	return r.refuseLateRun(q)
}

// refuseLateRun refuses to send a request to an endpoint if its run may not end before a leaving box ends all answers.
func (r *Relay) refuseLateRun(q *request) *result.Error {
	endIn, leaving := r.answersEndIn()
	if !leaving || r.longestRun(q.runKind(), q.timeLeft()) <= endIn {
		return nil
	}
	return r.newLeavingError()
}

func (r *Relay) newLeavingError() *result.Error {
	rerr := result.New(result.Leaving, "%s", r.cfg.Box)
	rerr.RetryAfter = leavingRetryAfter
	return rerr
}

// EndLate ends the requests in flight that a leaving box cannot finish: those that wait and whose run may not end in time and, when the answers have to
// end, all. Each gets a final answer. It is called repeatedly while the box leaves.
func (r *Relay) EndLate() {
	endIn, leaving := r.answersEndIn()
	if !leaving {
		return
	}
	for _, p := range r.pending.look(clock.Now()) {
		kind, deadline, isWaiting := p.waiting()
		if endIn <= 0 || (isWaiting && r.longestRun(kind, clock.Until(deadline)) > endIn) {
			p.endNow()
		}
	}
}

// leavingResult returns the result of a request that was ended because the box is leaving. rerr is the error that this caused.
func (r *Relay) leavingResult(q *request, rerr *result.Error, started bool) *result.Error {
	isNotRun := rerr.Code.Info().Ran == result.RanNo || rerr.Code == result.CallerGone
	if !started && q.possibleRuns == 0 && isNotRun {
		return r.newLeavingError()
	}
	return result.New(result.LeftUnfinished, "%s: %s", r.cfg.Box, rerr.Error())
}

// countLeaving counts a request that ended because the box is leaving.
func (r *Relay) countLeaving(code result.Code) {
	if code == result.Leaving {
		r.refusedLeaving.Add(1)
	}
	if code == result.LeftUnfinished {
		r.leftUnfinished.Add(1)
	}
}

// runKind returns the kind of the request.
func (q *request) runKind() runKind { return runKind{q.service, q.route.Kind} }

// recordRun records how long the last endpoint had a request that it may have run.
func (r *Relay) recordRun(q *request) {
	if q.possibleRuns > 0 {
		now := clock.Now()
		kind, run := q.pending.run(now)
		r.runTimes.record(now, kind, run)
	}
}
