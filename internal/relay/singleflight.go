package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/quarantine"
	"github.com/bellgap/bellgap/internal/result"
)

// A request that crashes the endpoint that runs it may arrive many times at once, before any box can detect the problem.
// Until one of several plain requests with the same fingerprint has run well, a box therefore sends only the first of
// them. The others wait until it ends. If that takes too long, they go to the same endpoint as the first one. All boxes
// choose the same endpoint for a fingerprint.
//
// Thirty such requests at three boxes crash three or four of twelve endpoints, and seven to twelve without this rule.
// Streams do not need the rule, because all streams for one adapter go to the same engines.

// firstWaitShare is the part of the latency objective for which a request waits for the first request with its
// fingerprint.
const firstWaitShare = 0.25

// singleFlight holds the first request in flight from this box for each fingerprint.
type singleFlight struct {
	mu            sync.Mutex
	byFingerprint map[quarantine.Fingerprint]*flight
}

// flight is a request in flight that other requests with the same fingerprint wait for.
type flight struct {
	// endpoint is where the request was sent, empty until an endpoint has been chosen. done is closed when the request
	// has ended.
	endpoint string
	done     chan struct{}
}

func newSingleFlight() *singleFlight {
	return &singleFlight{byFingerprint: map[quarantine.Fingerprint]*flight{}}
}

// joinOrStart returns the first request with fingerprint f. If none is in flight, the calling request becomes the
// first one, and started is true.
func (r *singleFlight) joinOrStart(f quarantine.Fingerprint) (current *flight, started bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if current = r.byFingerprint[f]; current != nil {
		return current, false
	}
	current = &flight{done: make(chan struct{})}
	r.byFingerprint[f] = current
	return current, true
}

// finish removes the first request with fingerprint f and wakes the requests that wait for it.
func (r *singleFlight) finish(f quarantine.Fingerprint, ended *flight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byFingerprint, f)
	close(ended.done)
}

// setEndpoint records where the first request with fingerprint f is sent, unless this is already recorded.
func (r *singleFlight) setEndpoint(f quarantine.Fingerprint, endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if current := r.byFingerprint[f]; current != nil && current.endpoint == "" {
		current.endpoint = endpoint
	}
}

// endpointOf returns the endpoint of the first request with fingerprint f, empty if there is none.
func (r *singleFlight) endpointOf(f quarantine.Fingerprint) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if current := r.byFingerprint[f]; current != nil {
		return current.endpoint
	}
	return ""
}

// waitForFirst waits until a request may be sent, or refuses it if it is held in quarantine. It waits for the end of
// the first request in flight with the same fingerprint, unless such a request has already run well. The caller must
// call release when its try has ended.
func (r *Relay) waitForFirst(ctx context.Context, q *request) (release func(), rerr *result.Error) {
	noop := func() {}
	giveUpAt := clock.Now().Add(shareOf(q.route.Objective, firstWaitShare))
	for {
		if rerr := r.checkQuarantine(q); rerr != nil {
			return noop, rerr
		}
		if r.cfg.Quarantine.RanSuccessfully(q.suspect.Fingerprint) {
			return noop, nil
		}
		current, started := r.flights.joinOrStart(q.suspect.Fingerprint)
		if started {
			return func() { r.flights.finish(q.suspect.Fingerprint, current) }, nil
		}
		select {
		case <-current.done:
		case <-time.After(clock.Until(giveUpAt)):
			return noop, nil
		case <-ctx.Done():
			return noop, result.New(result.CallerGone, "%v", context.Cause(ctx))
		}
	}
}

// hashFraction returns a number from 0 to 1 that depends only on the fingerprint and the endpoint, so all boxes get
// the same one. For different fingerprints the numbers are as good as random.
func hashFraction(f quarantine.Fingerprint, endpoint string) float64 {
	const fractionBits = 53
	var h xxhash.Digest
	h.Reset()
	// Writing to a hash never fails.
	_, _ = h.Write(f[:])
	_, _ = h.WriteString(endpoint)
	return float64(h.Sum64()>>(64-fractionBits)) / (1 << fractionBits)
}
