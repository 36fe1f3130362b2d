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

// headerRetryAfter is copied from the responses of services to the caller, who should retry after the time that the service
// requests.
const headerRetryAfter = "Retry-After"

// retrySpread is the time over which the retries of callers are spread if no endpoint takes their requests.
const retrySpread = 2 * time.Second

// recordEngineNotice records the rate limit and the notices in the header of an engine's answer. It runs on the box that owns the
// engine. All requests to the engine go through that box, so only its owner needs to know that the engine is leaving. A pause
// applies to the box that sent the request, which is the same box.
func (g *Gateway) recordEngineNotice(grant *owner.Grant, notices notice.HeaderNotices) {
	now := clock.Now()
	if notices.RateErr != nil {
		g.cfg.Rates.RecordInvalid(now, grant.Name, notices.RateErr)
	} else {
		rate := notices.Rate
		rate.Started = grant.Engine.Started
		if g.cfg.Rates.Record(now, grant.Name, rate) {
			grant.UpdateRate(rate)
		}
	}
	if notices.Leaving {
		grant.RecordLeaving()
		notices.Leaving = false
	}
	g.cfg.Notices.RecordNotices(now, engineEndpoint(grant.Name), notices)
}

// engineEndpoint returns the endpoint of an engine on the notice board. It has no start time and sets NameReused, because pauses
// need not be limited to one incarnation: they usually end sooner than an engine could restart and request another one.
func engineEndpoint(name string) notice.Endpoint {
	return notice.Endpoint{Name: name, NameReused: true}
}

// recordServiceNotice records the rate limit and the notices in the header of a service's answer for the address that answered.
func (g *Gateway) recordServiceNotice(a netip.AddrPort, resp *http.Response) {
	now, notices := clock.Now(), engine.NoticeHeaders.Read(resp.StatusCode, resp.Header)
	if notices.RateErr != nil {
		g.cfg.Rates.RecordInvalid(now, a.String(), notices.RateErr)
	} else {
		g.cfg.Rates.Record(now, a.String(), notices.Rate)
	}
	g.cfg.Notices.RecordNotices(now, notice.Endpoint{Name: a.String(), NameReused: true}, notices)
}

// checkPause returns an error if an engine or address has requested a pause from this box.
func (g *Gateway) checkPause(name string) *result.Error {
	if wait := g.cfg.Notices.RemainingPause(clock.Now(), engineEndpoint(name)); wait > 0 {
		return pauseError(name, wait)
	}
	return nil
}

func pauseError(name string, wait time.Duration) *result.Error {
	rerr := result.New(result.EndpointResting, "%s", name)
	rerr.RetryAfter = wait
	return rerr
}

// checkGranted returns an error if the engine announced that it is leaving or requested a pause while the request waited for its
// grant.
func (g *Gateway) checkGranted(grant *owner.Grant) *result.Error {
	if grant.IsLeaving() {
		return result.New(result.EndpointLeaving, "%s", grant.Name)
	}
	return g.admit(engineEndpoint(grant.Name))
}

// checkAddress returns an error if an address of a service is leaving or has requested a pause.
func (g *Gateway) checkAddress(address string) *result.Error {
	e := notice.Endpoint{Name: address, NameReused: true}
	if g.cfg.Notices.IsLeaving(clock.Now(), e) {
		return result.New(result.EndpointLeaving, "%s", address)
	}
	return g.checkPause(address)
}

// admitToAddress checks an address again directly before a call is sent to it, and counts the call as sent.
func (g *Gateway) admitToAddress(address string) *result.Error {
	if rerr := g.checkAddress(address); rerr != nil {
		return rerr
	}
	return g.admit(notice.Endpoint{Name: address, NameReused: true})
}

// admit counts a request to an endpoint as sent, or returns an error if the endpoint has requested a pause.
func (g *Gateway) admit(e notice.Endpoint) *result.Error {
	if wait, ok := g.cfg.Notices.AllowRequest(clock.Now(), e); !ok {
		return pauseError(e.Name, wait)
	}
	return nil
}

// isAnnouncedRefusal reports whether an endpoint was skipped because of its own announcement: a rate limit, a pause, or that it
// is leaving. Trying the next endpoint is then routing, not a retry.
func isAnnouncedRefusal(rerr *result.Error) bool {
	switch rerr.Code {
	case result.RateLimited, result.EndpointResting, result.EndpointLeaving:
		return true
	default:
		return false
	}
}

// refusalSummary counts the reasons why endpoints did not take a request.
type refusalSummary struct {
	// announced counts the errors for which isAnnouncedRefusal is true, others all other errors.
	announced, others int
	// paused counts the endpoints that requested a pause.
	paused int
	// shortestPause is the shortest remaining pause of these endpoints.
	shortestPause time.Duration
}

func (s *refusalSummary) add(rerr *result.Error) {
	if !isAnnouncedRefusal(rerr) {
		s.others++
		return
	}
	s.announced++
	if rerr.Code == result.EndpointResting {
		if s.paused == 0 || rerr.RetryAfter < s.shortestPause {
			s.shortestPause = rerr.RetryAfter
		}
		s.paused++
	}
}

// finalError returns the error for the caller. If all endpoints that could take the request are paused or leaving,
// the caller is asked to retry after the shortest pause.
func (s *refusalSummary) finalError(rerr *result.Error) *result.Error {
	if s.announced == 0 || s.others > 0 || (rerr != nil && rerr.Code == result.RateLimited) {
		return rerr
	}
	if s.paused > 0 {
		return pauseError("all suitable endpoints", s.shortestPause+rand.N(retrySpread))
	}
	leavingErr := result.New(result.EndpointLeaving, "all suitable endpoints")
	leavingErr.RetryAfter = time.Second + rand.N(retrySpread)
	return leavingErr
}
