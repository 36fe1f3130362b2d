// Package brittle limits the requests at endpoints that fall over if they have to reject more than a few requests in a second.
package brittle

import (
	"math"
	"time"
)

const (
	// startLimit is the number of requests at once with which a new run of an endpoint or a new count begins.
	startLimit = 2
	// rejectionWindow is the time in which rejections are counted. It exceeds the endpoint's second, since answers take time to arrive.
	rejectionWindow = 1200 * time.Millisecond
	// unprovenShare is the part of the other requests to which the limit falls at the first rejection, and if so many have not been accepted
	// since the previous one: some of them may have been accepted to wait before the queue shrank.
	unprovenShare = 0.6
	// minPause is the time after a rejection in which the limit does not exceed the requests that were at the endpoint. It doubles with
	// each further one up to maxPause, and is forgotten after calmTime without any.
	minPause = 2 * time.Second
	maxPause = 8 * time.Second
	calmTime = 30 * time.Second
	// Requests wait at the endpoint if they take slowFactor times as long as the fastest recent ones.
	slowFactor = 1.5
	slowShare  = 0.75
	// windowEnds is the minimum number of ended requests whose mean time is compared.
	windowEnds = 6
	// unknownTime is the time after a new start for which the endpoint may have requests that are not counted here. Rejections then do not
	// show how many requests it takes.
	unknownTime = time.Second
	// fastestMemory is the time after which the fastest mean time is measured anew.
	fastestMemory = time.Minute
	// urgentTime is how long after a more urgent request was refused one place is left free by less urgent ones.
	urgentTime = time.Second
	// maxRejections bounds the rejections that are remembered.
	maxRejections = 64
)

// Limiter decides how many requests may be at one endpoint at once. It does no I/O and is not safe for concurrent use. Its zero value
// sets no limit but measures, so that Begin can use what was measured before.
type Limiter struct {
	// active is set while the endpoint is brittle, as of since. tolerated is the number of rejections per second that it stands.
	active bool
	since  time.Time
	// startedNew is set if there may have been requests at the endpoint at since that were not counted here.
	startedNew bool
	tolerated  int
	// slots is the number of requests that the endpoint runs at once according to its entry, limit the number that it gets.
	slots int
	limit float64
	// isStarting is set until the next rejection or until the limit has reached its bound.
	isStarting bool
	// ceiling bounds the limit until pauseUntil. accepted is the highest number of requests, including itself, at which one was accepted
	// that was sent after the last rejection.
	ceiling  float64
	accepted int
	// rejections holds the times of the rejections within rejectionWindow. pauseUntil is when the limit may grow again.
	rejections    []time.Time
	lastRejection time.Time
	pause         time.Duration
	pauseUntil    time.Time
	// reducedAt is when the limit was last reduced for waiting requests.
	reducedAt time.Time
	// sum and ends are those of the present window, fastest is the shortest mean time of a window, measured at fastestAt.
	sum       time.Duration
	ends      int
	fastest   time.Duration
	fastestAt time.Time
	// refusedUrgency is the highest urgency refused before refusedUntil.
	refusedUrgency int
	refusedUntil   time.Time
	totalRejected  int
}

// Start describes why a limit begins.
type Start int

// The starts of a limit.
const (
	// StartKnown begins at an endpoint whose requests have been counted here for a while.
	StartKnown Start = iota
	// StartNew begins at a new run of an endpoint, or where others counted the requests before.
	StartNew
)

// Begin sets that the endpoint is brittle and falls if it rejects more than tolerated requests in a second. slots is the number of
// requests that it runs at once.
func (l *Limiter) Begin(now time.Time, tolerated, slots int, start Start) {
	l.tolerated, l.slots = tolerated, max(1, slots)
	if !l.active {
		l.active, l.since, l.limit, l.isStarting = true, now, float64(l.slots), false
		if start == StartNew {
			l.startedNew = true
			l.Restart()
		}
	}
	l.limit = min(l.limit, float64(l.slots))
}

// End sets that the endpoint is not brittle any more.
func (l *Limiter) End() {
	if l.active {
		*l = Limiter{fastest: l.fastest, fastestAt: l.fastestAt, totalRejected: l.totalRejected}
	}
}

// IsActive reports whether the endpoint is brittle.
func (l *Limiter) IsActive() bool { return l.active }

// Limit returns the number of requests that may be at the endpoint at once.
func (l *Limiter) Limit() int { return max(1, int(l.limit)) }

// Rejected returns the number of rejections so far.
func (l *Limiter) Rejected() int { return l.totalRejected }

// Restart begins again with few requests, because the endpoint is a new run, or has lost requests.
func (l *Limiter) Restart() {
	if !l.active {
		return
	}
	l.limit, l.isStarting, l.pause, l.pauseUntil = min(startLimit, float64(l.slots)), true, 0, time.Time{}
}

// Allow reports whether one more request may be sent to the endpoint, at which inFlight requests are now. Less urgent requests leave
// one place free if more urgent ones were refused lately.
func (l *Limiter) Allow(now time.Time, inFlight, urgency int) bool {
	if !l.active {
		return true
	}
	limit := l.Limit()
	switch l.forget(now); {
	case l.isNearFall():
		limit = max(1, min(limit, int(l.ceiling)/4))
	case len(l.rejections) > 0 && len(l.rejections)+1 >= l.tolerated:
		limit = max(1, limit-1)
	}
	if limit > 1 && now.Before(l.refusedUntil) && urgency < l.refusedUrgency {
		limit--
	}
	if inFlight < limit {
		return true
	}
	if urgency >= l.refusedUrgency || !now.Before(l.refusedUntil) {
		l.refusedUrgency, l.refusedUntil = urgency, now.Add(urgentTime)
	}
	return false
}

// isNearFall reports whether so many requests were rejected lately that one more could make the endpoint fall.
func (l *Limiter) isNearFall() bool { return len(l.rejections) >= max(1, l.tolerated) }

// forget drops the rejections that are older than rejectionWindow.
func (l *Limiter) forget(now time.Time) {
	for len(l.rejections) > 0 && now.Sub(l.rejections[0]) >= rejectionWindow {
		l.rejections = l.rejections[1:]
	}
}

// RecordRejection records that the endpoint rejected a request for want of room that was sent at sentAt, when others were there.
func (l *Limiter) RecordRejection(now, sentAt time.Time, others int) {
	l.totalRejected++
	if !l.active || sentAt.Before(l.since) {
		return
	}
	l.forget(now)
	if len(l.rejections) < maxRejections {
		l.rejections = append(l.rejections, now)
	}
	if sentAt.Before(l.lastRejection) {
		// It was under way when the limit fell for another one.
		return
	}
	if l.startedNew && now.Sub(l.since) < unknownTime {
		l.limit = max(1, l.limit/2)
		l.lastRejection = now
		return
	}
	l.ceiling, l.isStarting = max(1, float64(others)), false
	switch {
	case len(l.rejections) >= l.tolerated:
		l.limit, l.isStarting = startLimit, true
	case l.accepted < others, l.pause == 0 || now.Sub(l.lastRejection) > calmTime:
		l.limit = math.Ceil(unprovenShare * float64(others))
	default:
		l.limit = float64(others)
	}
	l.limit = max(1, min(l.limit, l.ceiling))
	l.accepted = 0
	if l.pause == 0 || now.Sub(l.lastRejection) > calmTime {
		l.pause = minPause
	} else {
		l.pause = min(2*l.pause, maxPause)
	}
	l.lastRejection, l.pauseUntil = now, now.Add(l.pause)
}

// RecordAnswer records that a request that was sent at sentAt was answered after took, zero if the time tells nothing. inFlight
// requests were there with it when it was sent.
func (l *Limiter) RecordAnswer(now, sentAt time.Time, inFlight int, took time.Duration) {
	l.recordDuration(now, took)
	if !l.active || sentAt.Before(l.lastRejection) {
		return
	}
	l.accepted = max(l.accepted, inFlight)
	if float64(inFlight) < l.limit-1 {
		return
	}
	step, bound := 1/l.limit, float64(l.slots)
	if l.isStarting {
		step = 1
	}
	if now.Before(l.pauseUntil) {
		bound = min(bound, l.ceiling)
	}
	l.limit = max(l.limit, min(l.limit+step, bound))
	l.isStarting = l.isStarting && l.limit < bound
}

// recordDuration adds the time of a request to the present window.
func (l *Limiter) recordDuration(now time.Time, took time.Duration) {
	if took <= 0 {
		return
	}
	l.sum += took
	l.ends++
	if l.ends < windowEnds {
		return
	}
	mean := l.sum / time.Duration(l.ends)
	l.sum, l.ends = 0, 0
	if l.fastest == 0 || mean < l.fastest || now.Sub(l.fastestAt) > fastestMemory {
		l.fastest, l.fastestAt = mean, now
	}
	isSlow := float64(mean) > slowFactor*float64(l.fastest)
	if l.active && isSlow && now.Sub(l.reducedAt) >= mean {
		l.limit, l.reducedAt, l.isStarting = max(1, slowShare*l.limit), now, false
	}
}
