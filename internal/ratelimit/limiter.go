package ratelimit

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// minBurst is the minimum token capacity of a limiter. Two tokens are reserved for the most urgent requests, the third is for
	// other requests, and the fourth is for costly requests. The capacity must be one more than other requests need: else the
	// tokens that accrue while no request arrives are lost, which is a sixth of the rate at eight requests per second. For large
	// rates the capacity is the rate over burstPeriod. In four seconds an endpoint thus receives at most four times its rate plus
	// four requests, or 4.25 times its rate.
	minBurst    = 4
	burstPeriod = 250 * time.Millisecond
	// An endpoint that receives no requests cannot report a new limit, so requests must continue to probe it. They are sent at
	// the reported rate, or one per zeroRateInterval if the rate is zero, but at least one per maxProbeInterval.
	zeroRateInterval = 5 * time.Second
	maxProbeInterval = 30 * time.Second
	// urgentPeriod is how long after an urgent request the less urgent ones leave tokens for the next urgent request. This does
	// not reduce the rate that is used. With 2 s, nearly half of the urgent requests found no token when one arrived every 2.5 s.
	urgentPeriod = 30 * time.Second
	// ownShareTotal is the part of a rate that is divided among the boxes, for use while they cannot reach the keeper. Other
	// boxes may still reach the keeper, which then grants the whole rate to them. The requests arrive at random times: with a
	// quarter, the sum stays below one and a half times the rate plus five requests at 300 boxes; with a half it did not.
	ownShareTotal = 0.25
	// idleTimeout is the time without a report after which an endpoint is considered gone. An endpoint that is running and in
	// demand is probed many times in this period.
	idleTimeout = 10 * maxProbeInterval
	// ownShareIdle is the time without use after which the tokens of a box's own share are reset.
	ownShareIdle = 2 * time.Second
)

// Request describes a request that is to be sent to an endpoint.
type Request struct {
	// Urgency is higher for requests that take precedence.
	Urgency int
	// Customer sent the request. It is empty if unknown.
	Customer string
	// Costly is true if the request costs more at this endpoint than elsewhere, because its adapter must be loaded first. Such
	// requests only use tokens that no other request needs.
	Costly bool
	// OwnShare, if positive, is the part of the rate that this box may use because other boxes may count requests to the same
	// endpoint.
	OwnShare float64
}

// Limiter enforces the rate limit of one endpoint with a token bucket. Its zero value has no limit and allows all requests. It
// does no I/O and is not safe for concurrent use.
type Limiter struct {
	// observed is the latest report of the endpoint.
	observed observation
	// started is the latest known start time of the endpoint in Unix milliseconds. Reports from before that time are void.
	started int64
	// tokens is the number of requests that were allowed at filledAt.
	tokens   float64
	filledAt time.Time
	// ownShare is the part of the rate that this box uses. It is zero while the box counts the requests of all boxes.
	ownShare float64
	// highestUrgency is the highest urgency among recent requests. It applies until urgentUntil.
	highestUrgency int
	urgentUntil    time.Time
	shares         shares
	refused        int
}

// ApplyReport applies a report of the endpoint if it is newer than the previous one. A new limit starts without tokens, because
// the box that counted the requests before may have just used all of them.
func (l *Limiter) ApplyReport(now time.Time, report *Report) {
	if report == nil {
		return
	}
	next := report.toObservation(now)
	if next.Started < l.started || !next.isNewer(l.observed) {
		return
	}
	if l.observed.Limited && l.observed.Started == next.Started {
		l.refill(now)
	} else {
		l.tokens, l.filledAt, l.refused = 0, now, 0
	}
	l.observed = next
}

// SetStart records the latest start time of the endpoint in Unix milliseconds, zero if unknown. Reports from before that time
// become void.
func (l *Limiter) SetStart(started int64) {
	if started <= l.started {
		return
	}
	l.started = started
	if l.observed.Started < started {
		l.Reset()
	}
}

// Reset discards all state except the start time of the endpoint.
func (l *Limiter) Reset() { *l = Limiter{started: l.started} }

// CurrentReport returns the latest report of the endpoint, or nil if the endpoint has neither a rate limit nor is brittle.
func (l *Limiter) CurrentReport(now time.Time) *Report {
	if !l.observed.IsSet() {
		return nil
	}
	report := l.observed.withAge(now)
	return &report
}

// IsLimited reports whether the endpoint has a rate limit.
func (l *Limiter) IsLimited() bool { return l.observed.Limited }

// Brittle returns the rejections per second that the endpoint tolerates, and false if it is not brittle.
func (l *Limiter) Brittle() (tolerated int, ok bool) { return l.observed.Tolerated, l.observed.Brittle }

// CanForget reports whether the limiter can be discarded because it has no report or an outdated one.
func (l *Limiter) CanForget(now time.Time) bool {
	return !l.observed.IsSet() || now.Sub(l.observed.at) > idleTimeout
}

// Refused returns the number of refused requests since the endpoint began to report a rate limit.
func (l *Limiter) Refused() int { return l.refused }

// Check reports whether a request may be sent. If it may not, wait is the time until enough tokens will be available. Check does
// not consume a token; Use does.
func (l *Limiter) Check(now time.Time, req Request) (wait time.Duration, ok bool) {
	if !l.observed.Limited {
		return 0, true
	}
	l.setOwnShare(now, req.OwnShare)
	l.recordRequest(now, req)
	missingTokens := l.requiredTokens(now, req) - l.tokens
	if missingTokens <= 0 {
		return 0, true
	}
	l.refused++
	return max(time.Millisecond, cappedSeconds(missingTokens/l.refillRate())), false
}

// Use consumes a token for a request that Check has allowed.
func (l *Limiter) Use(now time.Time, customer string) {
	if l.observed.Limited {
		l.tokens--
		l.shares.recordUse(now, customer)
	}
}

// GiveBack returns the token of a request that was not sent.
func (l *Limiter) GiveBack() {
	if l.observed.Limited {
		l.tokens = min(l.tokens+1, l.capacity())
	}
}

// AdoptTokens replaces the tokens by those of the keeper before, with what has accrued since. It does so if the requests that were
// granted meanwhile cannot be deducted: they are not all known, as isComplete says, or tokens beyond the capacity were lost. It reports
// whether it did.
func (l *Limiter) AdoptTokens(now time.Time, before KeeperCount, isComplete bool) bool {
	if !l.observed.Limited {
		return false
	}
	l.refill(now)
	if isComplete && l.tokens < l.capacity() {
		return false
	}
	l.tokens = min(l.tokens, max(0, before.Tokens+l.refillRate()*before.Age.Seconds()))
	return true
}

// UseElsewhere consumes the tokens of requests that other keepers have granted.
func (l *Limiter) UseElsewhere(now time.Time, requests uint64) {
	if !l.observed.Limited || requests == 0 {
		return
	}
	l.refill(now)
	lowest := -max(1, l.observed.Rate*burstPeriod.Seconds())
	l.tokens = max(l.tokens-float64(requests), min(l.tokens, lowest))
}

// Tokens returns the number of requests that may be sent.
func (l *Limiter) Tokens() float64 { return l.tokens }

// setOwnShare adds the tokens that are due and switches between the whole rate (zero) and a part of it.
func (l *Limiter) setOwnShare(now time.Time, ownShare float64) {
	l.refill(now)
	switch {
	case ownShare > 0 && (l.ownShare == 0 || now.Sub(l.filledAt) > ownShareIdle):
		// All boxes switch to their own shares at the same moment. A random part of a token spreads their first requests over
		// time.
		l.tokens = rand.Float64()
	case ownShare == 0 && l.ownShare > 0:
		l.tokens = 0
	}
	l.ownShare, l.filledAt = ownShare, now
}

// refill adds the tokens that have accrued since filledAt.
func (l *Limiter) refill(now time.Time) {
	if elapsed := now.Sub(l.filledAt); elapsed > 0 && (l.ownShare == 0 || elapsed <= ownShareIdle) {
		l.tokens += l.refillRate() * elapsed.Seconds()
		l.filledAt = now
	}
	l.tokens = min(l.tokens, l.capacity())
}

// refillRate returns the number of requests per second that this limiter allows.
func (l *Limiter) refillRate() float64 {
	rate := l.observed.effectiveRate()
	if l.ownShare > 0 {
		rate *= l.ownShare
	}
	return rate
}

// capacity returns the maximum number of tokens.
func (l *Limiter) capacity() float64 {
	if l.ownShare > 0 || l.observed.Rate == 0 {
		return 1
	}
	return max(minBurst, l.observed.Rate*burstPeriod.Seconds())
}

// recordRequest records the urgency and the customer of a new request.
func (l *Limiter) recordRequest(now time.Time, req Request) {
	if req.Urgency >= l.highestUrgency || !now.Before(l.urgentUntil) {
		l.highestUrgency, l.urgentUntil = req.Urgency, now.Add(urgentPeriod)
	}
	l.shares.recordDemand(now, req.Customer)
}

// requiredTokens returns the number of tokens that must be available before a request may be sent. A costly request requires the
// full capacity. A request over which more urgent requests or other customers take precedence requires one token less than that.
// All other requests require one token.
func (l *Limiter) requiredTokens(now time.Time, req Request) float64 {
	switch {
	case req.Costly:
		return l.capacity()
	case req.Urgency < l.highestUrgency || l.shares.isOverShare(now, req.Customer):
		return max(1, l.capacity()-1)
	default:
		return 1
	}
}

// cappedSeconds converts seconds to a duration of at most maxWait.
func cappedSeconds(s float64) time.Duration {
	return time.Duration(math.Min(s, maxWait.Seconds()) * float64(time.Second))
}
