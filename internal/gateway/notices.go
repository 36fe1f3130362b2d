package gateway

import (
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/engine"
	"github.com/bellgap/bellgap/internal/notice"
	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/result"
)

// headerRetryAfter is passed on from services: callers are to come back when the service says.
const headerRetryAfter = "Retry-After"

// returnSpread is over what time those come back that nobody would take.
const returnSpread = 2 * time.Second

// hear takes in what the head of an engine's answer says of it. That it leaves concerns its owner alone, without which no box sends there; its rest concerns
// the box that sent, which is the owner.
func (g *Gateway) hear(grant *owner.Grant, w notice.Word) {
	now := clock.Now()
	if w.RateErr != nil {
		g.cfg.Rates.Ignored(now, grant.Name, w.RateErr)
	} else {
		rate := w.Rate
		rate.Started = grant.Engine.Started
		if g.cfg.Rates.Heard(now, grant.Name, rate) {
			grant.HearRate(rate)
		}
	}
	if w.Leaving {
		grant.HearLeft()
		w.Leaving = false
	}
	g.cfg.Notices.Heard(now, engineOf(grant.Name), w)
}

// engineOf returns an engine as the board knows it: its rest is over sooner than it could start again and ask for another.
func engineOf(name string) notice.Endpoint { return notice.Endpoint{Name: name, Reused: true} }

// hearService takes in what the head of a service's answer says of the address that gave it.
func (g *Gateway) hearService(a netip.AddrPort, resp *http.Response) {
	now, w := clock.Now(), engine.Headers.Read(resp.StatusCode, resp.Header)
	if w.RateErr != nil {
		g.cfg.Rates.Ignored(now, a.String(), w.RateErr)
	} else {
		g.cfg.Rates.Heard(now, a.String(), w.Rate)
	}
	g.cfg.Notices.Heard(now, notice.Endpoint{Name: a.String(), Reused: true}, w)
}

// restOf refuses what is for an engine that has asked this box for rest.
func (g *Gateway) restOf(name string) *result.Error {
	if rest := g.cfg.Notices.Rest(clock.Now(), engineOf(name)); rest > 0 {
		return resting(name, rest)
	}
	return nil
}

func resting(name string, rest time.Duration) *result.Error {
	rerr := result.New(result.EndpointResting, "%s", name)
	rerr.RetryAfter = rest
	return rerr
}

// unwanted returns why a request that waited for a grant may not be sent any more by what its engine has said meanwhile, nil if it may.
func (g *Gateway) unwanted(grant *owner.Grant) *result.Error {
	if grant.Left() {
		return result.New(result.EndpointLeaving, "%s", grant.Name)
	}
	return g.enterRest(engineOf(grant.Name))
}

// unwantedAt returns why a call may not be sent to an address of a service, nil if it may.
func (g *Gateway) unwantedAt(address string) *result.Error {
	e := notice.Endpoint{Name: address, Reused: true}
	if g.cfg.Notices.Leaves(clock.Now(), e) {
		return result.New(result.EndpointLeaving, "%s", address)
	}
	return g.restOf(address)
}

// enterAddress asks once more, right before a call is sent to an address.
func (g *Gateway) enterAddress(address string) *result.Error {
	if rerr := g.unwantedAt(address); rerr != nil {
		return rerr
	}
	return g.enterRest(notice.Endpoint{Name: address, Reused: true})
}

func (g *Gateway) enterRest(e notice.Endpoint) *result.Error {
	if wait, ok := g.cfg.Notices.Enter(clock.Now(), e); !ok {
		return resting(e.Name, wait)
	}
	return nil
}

// leftOut reports whether an engine was left out for what it says of itself: going on to the next is routing, not a retry.
func leftOut(rerr *result.Error) bool {
	switch rerr.Code {
	case result.RateLimited, result.EndpointResting, result.EndpointLeaving:
		return true
	default:
		return false
	}
}

// wanted sums up why a request was not taken.
type wanted struct {
	leftOut, others int
	rests           int
	// soonest is the shortest rest.
	soonest time.Duration
}

func (w *wanted) add(rerr *result.Error) {
	if !leftOut(rerr) {
		w.others++
		return
	}
	w.leftOut++
	if rerr.Code == result.EndpointResting {
		if w.rests == 0 || rerr.RetryAfter < w.soonest {
			w.soonest = rerr.RetryAfter
		}
		w.rests++
	}
}

// last returns what a request is refused with. If all that could take it rest or leave, it is told when the first rest is over.
func (w *wanted) last(rerr *result.Error) *result.Error {
	if w.leftOut == 0 || w.others > 0 || (rerr != nil && rerr.Code == result.RateLimited) {
		return rerr
	}
	if w.rests > 0 {
		return resting("all that could take it", w.soonest+rand.N(returnSpread))
	}
	all := result.New(result.EndpointLeaving, "all that could take it")
	all.RetryAfter = time.Second + rand.N(returnSpread)
	return all
}
