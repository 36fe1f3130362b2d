package gateway

import (
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/placement"
	"github.com/bellgap/bellgap/internal/places"
	"github.com/bellgap/bellgap/internal/quarantine"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// maxServiceTries is how many addresses of a service are tried for one call.
const maxServiceTries = 3

// passedOn lists the caller's headers that a service sees.
var passedOn = []string{"Accept", "Accept-Language", "Content-Type", "Authorization"}

// call is one request for a plain service.
type call struct {
	requestID  string
	service    string
	runID      string
	method     string
	target     string
	header     http.Header
	body       []byte
	repeatable bool
	// suspect is what the request is known by when it comes again.
	suspect quarantine.Suspect
}

// handleService serves /services/{service}/...
func (g *Gateway) handleService(w http.ResponseWriter, r *http.Request) {
	requestID := g.requestID(r)
	if rerr := g.openForNew(); rerr != nil {
		g.fail(w, requestID, rerr)
		return
	}
	name := r.PathValue("service")
	s, ok := g.cfg.Catalog.Service(name)
	if !ok {
		g.fail(w, requestID, result.New(result.UnknownService, "%s", name))
		return
	}
	c, rerr := g.readCall(w, r, name, s, requestID)
	if rerr != nil {
		g.fail(w, requestID, rerr)
		return
	}
	leave, rerr := g.authorize(r, "service/"+name)
	if rerr != nil {
		g.fail(w, requestID, rerr)
		return
	}
	defer leave()
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(s.Timeout))
	defer cancel()
	resp, to, rerr := g.callService(ctx, c, s)
	if rerr != nil {
		g.fail(w, requestID, rerr)
		return
	}
	rerr = g.passAnswer(w, resp, requestID)
	g.cfg.Quarantine.Settle(ctx, c.suspect, to, rerr)
	if rerr != nil {
		// Breaking the connection shows the caller that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
}

func (g *Gateway) readCall(w http.ResponseWriter, r *http.Request, name string, s *resource.Service, requestID string) (*call, *result.Error) {
	content, rerr := g.readBody(w, r)
	if rerr != nil {
		return nil, rerr
	}
	path := strings.TrimPrefix(r.URL.Path, "/services/"+name)
	target := path
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	c := &call{service: name, requestID: requestID, runID: g.cfg.NewID(), method: r.Method, target: target, body: content, header: http.Header{}}
	for _, h := range passedOn {
		if v := r.Header.Get(h); v != "" {
			c.header.Set(h, v)
		}
	}
	c.header.Set(result.HeaderRequest, requestID)
	c.repeatable = repeatable(r, path, s)
	c.suspect = suspectOf(r, "service/"+name, content)
	return c, nil
}

// repeatable says whether a call may run twice: the declaration goes first, then the caller's mark, then the method.
func repeatable(r *http.Request, path string, s *resource.Service) bool {
	for _, p := range s.Unrepeatable {
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

// callService tries the addresses of a service in turn, and returns which one answered. After a call may have run, only a repeatable one goes on.
func (g *Gateway) callService(ctx context.Context, c *call, s *resource.Service) (*http.Response, quarantine.Endpoint, *result.Error) {
	byName := map[string]netip.AddrPort{}
	names := make([]string, 0, len(s.Addresses))
	for _, a := range s.Addresses {
		byName[a.String()] = a
		names = append(names, a.String())
	}
	g.retries.earn()
	var last *result.Error
	var to quarantine.Endpoint
	mayHaveRun := false
	tries, soonest := 0, time.Duration(math.MaxInt64)
	var sum wanted
	for _, name := range placement.Rank(c.runID, names) {
		if tries == maxServiceTries {
			break
		}
		if rerr := g.cfg.Quarantine.Refusal(c.suspect.Fingerprint); rerr != nil {
			return nil, to, rerr.After(mayHaveRun)
		}
		if rerr := g.unwantedAt(name); rerr != nil {
			sum.add(rerr)
			continue
		}
		place, refusal := g.cfg.Places.Take(ctx, places.Ask{Endpoint: name, Slots: places.AnySlots, Hold: time.Duration(s.Timeout)})
		if place == nil {
			soonest = min(soonest, refusal.Wait)
			sum.add(result.New(result.RateLimited, "%s", name))
			continue
		}
		if tries > 0 && !g.retries.spend() {
			place.End(0)
			break
		}
		if rerr := g.enterAddress(name); rerr != nil {
			place.End(0)
			sum.add(rerr)
			continue
		}
		tries++
		to = quarantine.Endpoint{Name: name, Address: byName[name]}
		resp, rerr := g.callOnce(ctx, c, to.Address)
		place.End(0)
		if rerr == nil {
			return resp, to, nil
		}
		g.cfg.Quarantine.Settle(ctx, c.suspect, to, rerr)
		mayHaveRun = mayHaveRun || rerr.Code.Info().Ran != result.RanNo
		last = rerr.After(mayHaveRun)
		if !tryElsewhere(rerr, c.repeatable) {
			break
		}
		g.cfg.Scope.Tagged(map[string]string{"reason": rerr.Code.String()}).Counter("retries").Inc(1)
	}
	if tries == 0 && soonest < math.MaxInt64 {
		last = result.New(result.RateLimited, "%s", c.service)
		last.RetryAfter = g.cfg.Rates.ComeBack(clock.Now(), c.service, func() []string { return names }, soonest)
	}
	if tries == 0 {
		last = sum.last(last)
	}
	return nil, to, last
}

func (g *Gateway) callOnce(ctx context.Context, c *call, a netip.AddrPort) (*http.Response, *result.Error) {
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+a.String()+c.target, bytes.NewReader(c.body))
	if err != nil {
		return nil, result.New(result.BadRequest, "%v", err)
	}
	req.Header = c.header.Clone()
	req.GetBody = nil
	client := g.cfg.Services
	if !c.repeatable {
		client = g.cfg.ServicesOnce
	}
	sent := httpx.TraceSent(req)
	resp, err := client.Do(sent.Request)
	switch {
	case err == nil:
		g.hearService(a, resp)
		return resp, nil
	case !sent.Started():
		return nil, result.New(result.BackendUnreachable, "%v", err)
	default:
		return nil, result.Cut(result.AnswerLost, err)
	}
}

// passAnswer copies a service's answer to the caller.
func (g *Gateway) passAnswer(w http.ResponseWriter, resp *http.Response, requestID string) *result.Error {
	defer httpx.Drain(resp.Body)
	h := w.Header()
	h.Set("Content-Type", resp.Header.Get("Content-Type"))
	h.Set(result.HeaderRequest, requestID)
	h.Set(result.HeaderBox, g.cfg.Box)
	h.Set(result.HeaderCode, strconv.Itoa(int(result.OK)))
	if rest := resp.Header.Get(headerRetryAfter); rest != "" {
		h.Set(headerRetryAfter, rest)
	}
	if resp.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		g.countEnd(result.StreamCut)
		return result.Cut(result.StreamCut, err)
	}
	g.countEnd(result.OK)
	return nil
}
