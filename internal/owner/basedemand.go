package owner

import (
	"math"
	"time"
)

const (
	// baseFrom is how many requests that no other engine asked could start in time make an engine without its base model worth loading it, and
	// baseHalf the time in which one of them counts for half. A load takes a share of what the weight store allows for all.
	baseFrom = 3
	baseHalf = time.Second
)

// baseDemand counts the requests that an engine without its base model could have served.
type baseDemand struct {
	weight float64
	at     time.Time
}

// note counts one request and reports whether there have been enough.
func (d *baseDemand) note(now time.Time) bool {
	d.weight = d.weight*math.Exp2(-now.Sub(d.at).Seconds()/baseHalf.Seconds()) + 1
	d.at = now
	return d.weight >= baseFrom
}
