package owner

import (
	"math"
	"time"
)

const (
	// baseLoadThreshold is the decayed number of requests at which an engine without its base model loads it. Only requests that no
	// other tried engine could start in time count. The threshold exists because each load uses part of the weight store's budget,
	// which all engines share.
	baseLoadThreshold = 3
	// baseDemandHalfLife is the time in which the weight of a counted request falls by half.
	baseDemandHalfLife = time.Second
)

// baseDemand is a decaying count of the requests that an engine could have served if its base model were loaded.
type baseDemand struct {
	count     float64
	updatedAt time.Time
}

// add counts one request and reports whether the threshold has been reached.
func (d *baseDemand) add(now time.Time) bool {
	d.count = d.count*math.Exp2(-now.Sub(d.updatedAt).Seconds()/baseDemandHalfLife.Seconds()) + 1
	d.updatedAt = now
	return d.count >= baseLoadThreshold
}
