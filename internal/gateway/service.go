package gateway

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"io"
	"math"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/pairing"
	"github.com/bellgap/bellgap/internal/placement"
	"github.com/bellgap/bellgap/internal/places"
	"github.com/bellgap/bellgap/internal/quarantine"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
	"github.com/bellgap/bellgap/internal/slowpeer"
)

// maxServiceTries is the maximum number of addresses of a service to which one call is sent.
const maxServiceTries = 3

// forwardedHeaders lists the request headers of callers that are forwarded to services.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "Authorization"}

// serviceCall is one call of a service.
type serviceCall struct {
	requestID  string
	service    string
	runID      string
	method     string
	target     string
	header     http.Header
	body       []byte
	repeatable bool
	// suspect identifies the call for the quarantine, also when it is retried.
	suspect quarantine.Suspect
}

// handleService serves /services/{service}/...
func (g *Gateway) handleService(w http.ResponseWriter, r *http.Request) {
	requestID := g.requestID(r)
	if rerr := g.checkAccepting(); rerr != nil {
		g.refuse(w, requestID, rerr)
		return
	}
	name := r.PathValue("service")
	s, ok := g.cfg.Catalog.Service(name)
	if !ok {
		g.refuse(w, requestID, result.New(result.UnknownService, "%s", name))
		return
	}
	c, rerr := g.readCall(w, r, name, s, requestID)
	if rerr != nil {
		g.refuse(w, requestID, rerr)
		return
	}
	endRequest, rerr := g.authorize(r, "service/"+name)
	if rerr != nil {
		g.refuse(w, requestID, rerr)
		return
	}
	defer endRequest()
	ctx, cancel := g.callContext(r.Context(), time.Duration(s.Timeout))
	defer cancel()
	resp, endpoint, rerr := g.callService(ctx, c, s)
	if rerr != nil {
		g.refuse(w, requestID, g.endedResult(rerr))
		return
	}
	rerr = g.copyServiceAnswer(w, resp, requestID)
	if rerr == nil && httpx.EndsWithConnection(resp) && g.cfg.Quarantine.HasCrashed(ctx, endpoint.Address) {
		rerr = result.NewConnError(result.StreamCut, io.ErrUnexpectedEOF)
	}
	if rerr == nil {
		g.countResult(result.OK)
	} else {
		g.countResult(rerr.Code)
	}
	g.cfg.Quarantine.RecordOutcome(ctx, c.suspect, endpoint, rerr)
	if rerr != nil {
		// Aborting the connection shows the caller that the answer is incomplete.
		panic(http.ErrAbortHandler)
	}
}

// readCall reads the caller's request and returns the call to send to the service.
func (g *Gateway) readCall(w http.ResponseWriter, r *http.Request, name string, s *resource.Service, requestID string) (*serviceCall, *result.Error) {
	content, rerr := g.readBody(w, r)
	if rerr != nil {
		return nil, rerr
	}
	path := strings.TrimPrefix(r.URL.Path, "/services/"+name)
	target := path
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	c := &serviceCall{service: name, requestID: requestID, runID: g.cfg.NewID(), method: r.Method, target: target, body: content, header: http.Header{}}
	for _, h := range forwardedHeaders {
		if v := r.Header.Get(h); v != "" {
			c.header.Set(h, v)
		}
	}
	c.header.Set(result.HeaderRequest, requestID)
	c.repeatable = isRepeatable(r, path, s)
	c.suspect = newSuspect(r, "service/"+name, content)
	return c, nil
}

// isRepeatable reports whether a call may run twice. The unrepeatable paths of the service's declaration take precedence, then
// the caller's header, then the method.
func isRepeatable(r *http.Request, path string, s *resource.Service) bool {
	for _, p := range s.UnrepeatablePrefixes {
		if strings.HasPrefix(path, p) {
			return false
		}
	}
	switch r.Header.Get(HeaderRepeatable) {
	case "yes":
		return true
	case "no":
		return false
	}
	return r.Method == http.MethodGet || r.Method == http.MethodHead
}

// callService tries the addresses of a service in turn and returns the answer with the address that sent it.
// If a call may have run at one address, it is sent to another address only if it is repeatable.
func (g *Gateway) callService(ctx context.Context, c *serviceCall, s *resource.Service) (*http.Response, quarantine.Endpoint, *result.Error) {
	addressPorts := map[string]netip.AddrPort{}
	addresses := make([]string, 0, len(s.Addresses))
	for _, a := range s.Addresses {
		addressPorts[a.String()] = a
		addresses = append(addresses, a.String())
	}
	g.retryBudget.addRequest()
	var lastErr *result.Error
	var endpoint quarantine.Endpoint
	mayHaveRun := false
	tries, shortestWait := 0, time.Duration(math.MaxInt64)
	var summary refusalSummary
	for _, name := range placement.Rank(c.runID, addresses) {
		if tries == maxServiceTries {
			break
		}
		if rerr := g.cfg.Quarantine.Refusal(c.suspect); rerr != nil {
			return nil, endpoint, rerr.AdjustForRetries(mayHaveRun)
		}
		if rerr := g.checkAddress(name); rerr != nil {
			summary.add(rerr)
			continue
		}
		place, refusal := g.cfg.Places.Acquire(ctx, places.Request{Endpoint: name, Slots: places.UnlimitedSlots, Hold: time.Duration(s.Timeout)})
		if place == nil {
			shortestWait = min(shortestWait, refusal.Wait)
			summary.add(result.New(result.RateLimited, "%s", name))
			continue
		}
		if tries > 0 && !g.retryBudget.takeRetry() {
			place.End(places.Outcome{})
			break
		}
		if rerr := g.admitToAddress(name); rerr != nil {
			place.End(places.Outcome{})
			summary.add(rerr)
			continue
		}
		tries++
		endpoint = quarantine.Endpoint{Name: name, Address: addressPorts[name]}
		sentAt := clock.Now()
		resp, rerr := g.callAddress(ctx, c, endpoint.Address)
		place.End(placeOutcome(sentAt, resp))
		if rerr == nil {
			return resp, endpoint, nil
		}
		g.cfg.Quarantine.RecordOutcome(ctx, c.suspect, endpoint, rerr)
		mayHaveRun = mayHaveRun || rerr.Code.Info().Ran != result.RanNo
		lastErr = rerr.AdjustForRetries(mayHaveRun)
		if !canTryElsewhere(rerr, c.repeatable) {
			break
		}
		g.cfg.Scope.Tagged(map[string]string{"reason": rerr.Code.String()}).Counter("retries").Inc(1)
	}
	if tries == 0 && shortestWait < math.MaxInt64 {
		lastErr = result.New(result.RateLimited, "%s", c.service)
		lastErr.RetryAfter = g.cfg.Rates.RetryAfter(clock.Now(), c.service, func() []string { return addresses }, shortestWait)
	}
	if tries == 0 {
		lastErr = summary.finalError(lastErr)
	}
	return nil, endpoint, lastErr
}

// placeOutcome describes how a call ended, for the keeper of the address.
func placeOutcome(sentAt time.Time, resp *http.Response) places.Outcome {
	switch {
	case resp == nil:
		return places.Outcome{}
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		return places.Outcome{Rejected: true}
	case resp.StatusCode >= http.StatusInternalServerError:
		return places.Outcome{}
	default:
		return places.Outcome{Latency: clock.Since(sentAt)}
	}
}

// callAddress sends the call to one address of the service.
func (g *Gateway) callAddress(ctx context.Context, c *serviceCall, a netip.AddrPort) (*http.Response, *result.Error) {
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+a.String()+c.target, bytes.NewReader(c.body))
	if err != nil {
		return nil, result.New(result.BadRequest, "%v", err)
	}
	req.Header = c.header.Clone()
	req.Header.Set(result.HeaderCall, rand.Text())
	req.GetBody = nil
	client := g.cfg.Services
	if !c.repeatable {
		client = g.cfg.UnrepeatableServices
	}
	sent := httpx.NewSendTrace(req)
	resp, err := client.Do(sent.Request)
	switch {
	case err == nil:
		g.recordServiceNotice(a, resp)
		return resp, nil
	case !sent.MayHaveSent():
		return nil, result.New(result.BackendUnreachable, "%v", err)
	case errors.Is(err, slowpeer.ErrEndpointNotReading):
		g.cfg.Scope.Counter("slow_endpoints_ended").Inc(1)
		return nil, result.New(result.EndpointNotReading, "%v", err)
	case errors.Is(err, pairing.ErrSurplus):
		return nil, result.New(result.TooMuchSurplus, "%v", err)
	case errors.Is(err, pairing.ErrMergedHead), httpx.IsInvalidHead(err):
		return nil, result.New(result.AnswerLost, "%v", err)
	default:
		return nil, result.NewConnError(result.AnswerLost, err)
	}
}

// copyBody copies the body of an answer to the caller.
func copyBody(w http.ResponseWriter, body io.Reader) *result.Error {
	caller, ok := w.(*slowpeer.Caller)
	if !ok {
		return result.New(result.CallerGone, "the caller is not tracked")
	}
	readErr, writeErr := caller.Copy(body)
	switch {
	case writeErr != nil:
		return writeError(writeErr)
	case readErr != nil:
		return cutError(w, result.NewConnError(result.StreamCut, readErr))
	default:
		return nil
	}
}

// copyServiceAnswer copies a service's answer to the caller.
func (g *Gateway) copyServiceAnswer(w http.ResponseWriter, resp *http.Response, requestID string) *result.Error {
	defer httpx.Drain(resp.Body)
	h := w.Header()
	h.Set("Content-Type", resp.Header.Get("Content-Type"))
	h.Set(result.HeaderRequest, requestID)
	h.Set(result.HeaderBox, g.cfg.Box)
	h.Set(result.HeaderCode, strconv.Itoa(int(result.OK)))
	if retryAfter := resp.Header.Get(headerRetryAfter); retryAfter != "" {
		h.Set(headerRetryAfter, retryAfter)
	}
	if resp.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	w.WriteHeader(resp.StatusCode)
	return copyBody(w, resp.Body)
}
