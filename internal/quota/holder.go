package quota

import (
	"math"
	"sync"
	"time"

	"github.com/bellgap/bellgap/internal/customer"
)

const (
	// aheadFor is for how long a box asks for units ahead of its requests, and how long it may use them. What is used later than granted adds to
	// a window: a quarter of a second of the rate is a thirtieth of what eight seconds allow.
	aheadFor = 250 * time.Millisecond
	// demandHalf is the time in which what a box remembers of its own demand halves.
	demandHalf = time.Second
	// quietFor bounds how long a box refuses by itself after the accountable box has refused: a customer at many times its quota would
	// otherwise make every box ask for every request.
	quietFor = 200 * time.Millisecond
	// shareBurst is the part of the burst that the boxes' own shares save up together, shareSaved for how long they do beside that. With the whole burst
	// and a second a window in which the accountable box is lost for 2.4 s had 0.4% more than is allowed.
	shareBurst = 0.5
	shareSaved = 300 * time.Millisecond
)

// holder is what one box holds of one customer's units. It does no I/O.
type holder struct {
	mu sync.Mutex
	// granted is what may still be used until a time.
	granted float64
	until   time.Time
	// owed is what is to be told with the next ask.
	owed float64
	// demand is the decayed sum of what requests asked for, as of demandAt.
	demand   float64
	demandAt time.Time
	// refusedUntil is until when this box refuses by itself.
	refusedUntil time.Time
	// share is used while nobody accountable answers.
	share *bucket
}

// use takes units that were granted ahead. If there are not as many it returns what to ask for, or how long the request has to wait.
func (h *holder) use(now time.Time, name string, units float64) (ask Ask, wait time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.note(now, units)
	if !now.Before(h.until) {
		h.owed -= h.granted
		h.granted = 0
	}
	if h.granted >= units {
		h.granted -= units
		return Ask{}, 0, true
	}
	if wait := h.refusedUntil.Sub(now); wait > 0 {
		return Ask{}, wait, false
	}
	ask = Ask{Customer: name, Need: units, Owed: h.owed}
	if soon := h.rate(now) * aheadFor.Seconds(); soon >= units {
		ask.Ahead = soon
	}
	h.owed = 0
	return ask, 0, false
}

// answered takes an answer in. It reports whether the request may go.
func (h *holder) answered(now time.Time, ask Ask, a Answer) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a.Granted < ask.Need {
		h.refusedUntil = now.Add(min(a.Wait, quietFor))
		return false
	}
	if ahead := a.Granted - ask.Need; ahead > 0 {
		h.granted, h.until = h.granted+ahead, now.Add(aheadFor)
	}
	return true
}

// unanswered takes units of this box's own share, one of so many. What the ask told is told again.
func (h *holder) unanswered(now time.Time, q customer.Quota, ask Ask, boxes int) (wait time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.owed += ask.Owed
	q = shareOf(q, boxes)
	if h.share == nil {
		h.share = &bucket{level: most(q), at: now}
	}
	if wait, ok = h.share.take(now, q, ask.Need); ok {
		h.owed += ask.Need
	}
	return wait, ok
}

// shareOf returns the part of a quota that a box may use by itself: no more than all boxes together may, however many of them cannot ask.
func shareOf(q customer.Quota, boxes int) customer.Quota {
	q.Burst = (shareBurst*q.Burst + q.Rate*shareSaved.Seconds()) / float64(boxes)
	q.Rate /= float64(boxes)
	return q
}

// giveBack returns the units of a request that never ran.
func (h *holder) giveBack(units float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.owed -= units
}

// note adds to the demand of this box.
func (h *holder) note(now time.Time, units float64) {
	h.demand = h.decayed(now) + units
	h.demandAt = now
}

func (h *holder) decayed(now time.Time) float64 {
	return h.demand * math.Exp2(-now.Sub(h.demandAt).Seconds()/demandHalf.Seconds())
}

// rate returns the units that this box's requests ask for in a second.
func (h *holder) rate(now time.Time) float64 {
	return h.decayed(now) * math.Ln2 / demandHalf.Seconds()
}
