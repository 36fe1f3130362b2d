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

// A request that ends what runs it may come many times at once, before anybody can know. So of plain requests that look alike a box sends one first, until
// one has run well: the others wait for its end, and go to the same endpoint if that takes too long. Boxes choose the same endpoint for it. Thirty at three
// boxes end three or four of twelve endpoints, without this seven to twelve. Streams need none of it: those for one adapter go to the same engines.

// firstShare is the part of the objective for which requests wait for the first of those that look alike.
const firstShare = 0.25

// alike holds the first of the requests that look alike and are in flight from this box.
type alike struct {
	mu    sync.Mutex
	first map[quarantine.Fingerprint]*first
}

// first is the request that the others wait for.
type first struct {
	// endpoint is where it is, empty while that is not chosen; over is closed when it has ended.
	endpoint string
	over     chan struct{}
}

func newAlike() *alike { return &alike{first: map[quarantine.Fingerprint]*first{}} }

// enter makes a request the first of those that look alike, or returns the one that is.
func (a *alike) enter(f quarantine.Fingerprint) (is *first, mine bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if is = a.first[f]; is != nil {
		return is, false
	}
	is = &first{over: make(chan struct{})}
	a.first[f] = is
	return is, true
}

// leave ends the first.
func (a *alike) leave(f quarantine.Fingerprint, was *first) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.first, f)
	close(was.over)
}

// chose notes where the first goes.
func (a *alike) chose(f quarantine.Fingerprint, endpoint string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if is := a.first[f]; is != nil && is.endpoint == "" {
		is.endpoint = endpoint
	}
}

// where returns the endpoint of the first, empty if there is none.
func (a *alike) where(f quarantine.Fingerprint) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if is := a.first[f]; is != nil {
		return is.endpoint
	}
	return ""
}

// inTurn lets a request go, or refuses it as it is held. Unless one that looks alike has run well it waits for the end of the first of those that are in
// flight. What is returned ends the try.
func (r *Relay) inTurn(ctx context.Context, q *request) (leave func(), rerr *result.Error) {
	free := func() {}
	giveUp := clock.Now().Add(shareOf(q.route.Objective, firstShare))
	for {
		if rerr := r.held(q); rerr != nil {
			return free, rerr
		}
		if r.cfg.Quarantine.RanWell(q.suspect.Fingerprint) {
			return free, nil
		}
		is, mine := r.alike.enter(q.suspect.Fingerprint)
		if mine {
			return func() { r.alike.leave(q.suspect.Fingerprint, is) }, nil
		}
		select {
		case <-is.over:
		case <-time.After(clock.Until(giveUp)):
			return free, nil
		case <-ctx.Done():
			return free, result.New(result.CallerGone, "%v", context.Cause(ctx))
		}
	}
}

// share returns a number from 0 to 1 that stands for an endpoint and all requests that look alike, the same at all boxes. Over requests that differ it is as
// good as drawn by chance.
func share(f quarantine.Fingerprint, endpoint string) float64 {
	const fractionBits = 53
	var h xxhash.Digest
	h.Reset()
	// Writing to a hash never fails.
	_, _ = h.Write(f[:])
	_, _ = h.WriteString(endpoint)
	return float64(h.Sum64()>>(64-fractionBits)) / (1 << fractionBits)
}
