// Package quota limits what each customer uses on all boxes together. One box at a time is accountable for a customer and grants
// units to the other boxes. A box that cannot reach the accountable box uses a fixed share of the quota.
package quota

import (
	"time"

	"github.com/bellgap/bellgap/internal/customer"
)

// minSavedTime is the time at the rate of the quota that a bucket can save up even if the declared burst is smaller. Without any
// burst, requests that arrive together would be refused although the rate allows them.
const minSavedTime = 100 * time.Millisecond

// bucket contains the available units of one customer. Its level may be negative: a request larger than the bucket is admitted
// when the bucket is full.
type bucket struct {
	level     float64
	updatedAt time.Time
}

// capacity returns how many units a bucket for a quota can contain.
func capacity(q customer.Quota) float64 { return max(q.Burst, q.Rate*minSavedTime.Seconds()) }

// refill adds the units that have become available since the last refill. A lowered quota limits the level at once.
func (b *bucket) refill(now time.Time, q customer.Quota) {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.level += q.Rate * elapsed.Seconds()
		b.updatedAt = now
	}
	b.level = min(b.level, capacity(q))
}

// take takes units if enough are available. Otherwise, wait is how long it takes until they are.
func (b *bucket) take(now time.Time, q customer.Quota, units float64) (wait time.Duration, ok bool) {
	b.refill(now, q)
	if missing := min(units, capacity(q)) - b.level; missing > 0 {
		return time.Duration(missing / q.Rate * float64(time.Second)), false
	}
	b.level -= units
	return 0, true
}
