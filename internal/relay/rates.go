package relay

import (
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/ratelimit"
)

// badRateTold is the least time between two lines on rates of an endpoint that cannot be understood.
const badRateTold = 10 * time.Second

// hearRate takes in what the head of an answer says of its endpoint's rate. A rate is believed whatever the answer is; that there is none any more
// only if it is sound, as what stands in for an answer may lack any header.
func (r *Relay) hearRate(to destination, resp *http.Response, sound bool) {
	head := r.cfg.Wire.ReadAnswer(resp.StatusCode, resp.Header)
	word := ratelimit.Word{Started: to.started}
	if head.RateNamed {
		rate, err := ratelimit.Parse(head.Rate)
		if err != nil {
			r.tellBadRate(to.name, err)
			return
		}
		word.Limited, word.Rate = true, rate
	}
	if word.Limited || sound {
		r.cfg.Rates.Heard(clock.Now(), to.name, word)
	}
}

// tellBadRate logs a rate that cannot be understood, once in a while for each endpoint.
func (r *Relay) tellBadRate(endpoint string, err error) {
	r.cfg.Scope.Counter("rates_ignored").Inc(1)
	if now := clock.Now(); !r.badRates.Has(endpoint, now) {
		r.badRates.Add(endpoint, now)
		klog.ErrorS(err, "rate of an endpoint ignored", "endpoint", endpoint)
	}
}
