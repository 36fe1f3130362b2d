// Package quota bounds what each customer uses over all boxes. One box at a time is accountable for a customer and grants its units to
// the others; a box that cannot ask it goes by a share of its own.
package quota

import (
	"time"

	"github.com/bellgap/bellgap/internal/customer"
)

// leastSaved is for how long a bucket saves up at least, where the declared burst is less: a bound without any burst would refuse
// requests that arrive together though the rate allows them.
const leastSaved = 100 * time.Millisecond

// bucket holds the units of one customer that are free. It may owe units: a request larger than the bucket passes when that is full.
type bucket struct {
	level float64
	at    time.Time
}

// most returns how many units a bucket of a quota holds.
func most(q customer.Quota) float64 { return max(q.Burst, q.Rate*leastSaved.Seconds()) }

// fill adds what has become free by now. A quota that was lowered binds at once.
func (b *bucket) fill(now time.Time, q customer.Quota) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level += q.Rate * elapsed.Seconds()
		b.at = now
	}
	b.level = min(b.level, most(q))
}

// take takes units if there are as many. The wait is how long it takes until there are.
func (b *bucket) take(now time.Time, q customer.Quota, units float64) (wait time.Duration, ok bool) {
	b.fill(now, q)
	if missing := min(units, most(q)) - b.level; missing > 0 {
		return time.Duration(missing / q.Rate * float64(time.Second)), false
	}
	b.level -= units
	return 0, true
}
