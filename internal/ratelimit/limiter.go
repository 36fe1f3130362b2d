package ratelimit

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// burstLeast is how many requests a limiter saves up at the least: two are left for the most urgent, the third is for others, the fourth for what is
	// dear; without one more than others need, what becomes free while none comes is lost, a sixth of the rate at eight requests a second. For large rates
	// it saves up for burstFor. In four seconds an endpoint then gets four times its rate and four, or 4.25 times.
	burstLeast = 4
	burstFor   = 250 * time.Millisecond
	// An endpoint says nothing while it gets nothing, so what is believed of it is asked again: by requests at the rate that it names, by one every askZero
	// if that is zero, and by one every slowest at the least.
	askZero = 5 * time.Second
	slowest = 30 * time.Second
	// urgentFor is for how long after an urgent request those that are less urgent leave something free for the next. It costs no part of the rate; with 2 s
	// nearly half of the urgent requests found nothing where one came every 2.5 s.
	urgentFor = 30 * time.Second
	// loneShare is the part of a rate that boxes use together while they cannot reach the box that counts: others may reach it, which gives all of it out.
	// Their requests come by chance: with a quarter the sum stays below one and a half times the rate and five at 300 boxes, with a half it did not.
	loneShare = 0.25
	// idleAfter is after how long without a word of it an endpoint is taken for gone: it is asked many times in that time if it is there and wanted.
	idleAfter = 10 * slowest
	// loneIdle is after how long without use a box's own share begins anew.
	loneIdle = 2 * time.Second
)

// Ask is one request that wants to go to an endpoint.
type Ask struct {
	// Urgency is higher for what goes first.
	Urgency int
	// Customer is whose request it is, empty where that is not known.
	Customer string
	// Dear says that serving it here costs more than elsewhere, as its adapter has to be brought: only what nobody else uses is for that.
	Dear bool
	// Lone, if positive, is the part of the rate that this box uses, as it may not be the only one that counts.
	Lone float64
}

// Limiter keeps to the rate of one endpoint. Its zero value knows of none and lets all pass. It does no I/O and is not safe for concurrent use.
type Limiter struct {
	said heard
	// born is the Unix millisecond of the endpoint's latest start known here: what was said before it is void.
	born int64
	// tokens is how many requests may go, as of at.
	tokens float64
	at     time.Time
	// lone is the part of the rate that this box counts by, zero while it counts for all.
	lone float64
	// urgency is the highest that was asked with until a time.
	urgency int
	urgent  time.Time
	shares  shares
	refused int
}

// Hear takes in what the endpoint said, as far as it is news. A limiter opens empty: whoever counted before may just have given all out.
func (l *Limiter) Hear(now time.Time, w *Word) {
	if w == nil {
		return
	}
	h := w.heard(now)
	if h.Started < l.born || !h.newer(l.said) {
		return
	}
	if l.said.Limited && l.said.Started == h.Started {
		l.fill(now)
	} else {
		l.tokens, l.at, l.refused = 0, now, 0
	}
	l.said = h
}

// Born takes in when the endpoint last started, in Unix milliseconds or zero if that is not known. What it said before is void.
func (l *Limiter) Born(started int64) {
	if started <= l.born {
		return
	}
	l.born = started
	if l.said.Started < started {
		l.Forget()
	}
}

// Forget makes what the endpoint said void.
func (l *Limiter) Forget() { *l = Limiter{born: l.born} }

// Word returns what the endpoint said, nil if it names no rate.
func (l *Limiter) Word(now time.Time) *Word {
	if !l.said.Limited {
		return nil
	}
	w := l.said.told(now)
	return &w
}

// Limited reports whether the endpoint names a rate.
func (l *Limiter) Limited() bool { return l.said.Limited }

// Idle reports whether nothing is lost by forgetting the limiter.
func (l *Limiter) Idle(now time.Time) bool {
	return !l.said.Limited || now.Sub(l.said.at) > idleAfter
}

// Refused returns how many requests were refused since the endpoint began to name a rate.
func (l *Limiter) Refused() int { return l.refused }

// Check reports whether a request may go; the wait is until there will be as much as it needs. Use takes it.
func (l *Limiter) Check(now time.Time, a Ask) (wait time.Duration, ok bool) {
	if !l.said.Limited {
		return 0, true
	}
	l.count(now, a.Lone)
	l.note(now, a)
	missing := l.needed(now, a) - l.tokens
	if missing <= 0 {
		return 0, true
	}
	l.refused++
	return max(time.Millisecond, seconds(missing/l.rate())), false
}

// Use takes what a request needs that Check let pass.
func (l *Limiter) Use(now time.Time, customer string) {
	if l.said.Limited {
		l.tokens--
		l.shares.used(now, customer)
	}
}

// GiveBack returns what was taken for a request that was not sent.
func (l *Limiter) GiveBack() {
	if l.said.Limited {
		l.tokens = min(l.tokens+1, l.most())
	}
}

// count goes over between the whole rate and a part of it, and adds what has become free.
func (l *Limiter) count(now time.Time, lone float64) {
	l.fill(now)
	switch {
	case lone > 0 && (l.lone == 0 || now.Sub(l.at) > loneIdle):
		// Boxes that begin to count alone do so at the same moment: any part of a request, so that theirs come one after the other.
		l.tokens = rand.Float64()
	case lone == 0 && l.lone > 0:
		l.tokens = 0
	}
	l.lone, l.at = lone, now
}

// fill adds what has become free by now.
func (l *Limiter) fill(now time.Time) {
	if elapsed := now.Sub(l.at); elapsed > 0 && (l.lone == 0 || elapsed <= loneIdle) {
		l.tokens += l.rate() * elapsed.Seconds()
		l.at = now
	}
	l.tokens = min(l.tokens, l.most())
}

// rate returns the requests a second that may go.
func (l *Limiter) rate() float64 {
	rate := l.said.effective()
	if l.lone > 0 {
		rate *= l.lone
	}
	return rate
}

// most returns how many requests are saved up.
func (l *Limiter) most() float64 {
	if l.lone > 0 || l.said.Rate == 0 {
		return 1
	}
	return max(burstLeast, l.said.Rate*burstFor.Seconds())
}

// note takes in that a request came.
func (l *Limiter) note(now time.Time, a Ask) {
	if a.Urgency >= l.urgency || !now.Before(l.urgent) {
		l.urgency, l.urgent = a.Urgency, now.Add(urgentFor)
	}
	l.shares.asked(now, a.Customer)
}

// needed returns how many requests have to be free for one to go: all that is saved up for one that is dear, all but one where others go before.
func (l *Limiter) needed(now time.Time, a Ask) float64 {
	switch {
	case a.Dear:
		return l.most()
	case a.Urgency < l.urgency || l.shares.over(now, a.Customer):
		return max(1, l.most()-1)
	default:
		return 1
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, maxWait.Seconds()) * float64(time.Second))
}
