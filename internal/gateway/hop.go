package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
	"time"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/engine"
	"github.com/bellgap/bellgap/internal/grant"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/quarantine"
	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// A hop forwards a request to the box that owns the engine. The sender sends the header first, and the body only after the owner
// is ready to run the request. Until then the owner sends 102 Processing every keepaliveInterval. If none arrives for
// keepaliveTimeout, the sender cancels the hop. This detects a suspended owner while it is certain that the request has not run.
const (
	pathRun = "/peer/run"

	headerHop     = "Bellgap-Hop"
	headerStalled = "Bellgap-Stalled"

	keepaliveInterval = 300 * time.Millisecond
	keepaliveTimeout  = 1500 * time.Millisecond
	hopBodyTimeout    = 5 * time.Second
)

// hopHead is the description of a request in the header of a hop. The owner needs it before the body.
type hopHead struct {
	Engine    string        `json:"engine"`
	Ref       string        `json:"ref"`
	Weights   string        `json:"weights"`
	RunID     string        `json:"run_id"`
	RequestID string        `json:"request_id"`
	Path      string        `json:"path"`
	Urgency   int           `json:"urgency"`
	StartIn   time.Duration `json:"start_in"`
	// LastEngine is set if no other engine will be tried after this one.
	LastEngine bool `json:"last,omitempty"`
	// Suspect identifies the request for the quarantine, also when it is retried.
	Suspect quarantine.Suspect `json:"suspect"`
	// Cooperative is the customer that owns the adapter, Rate the rate limit of the engine as last reported to the sender.
	Cooperative string            `json:"cooperative,omitempty"`
	Rate        *ratelimit.Report `json:"rate,omitempty"`
}

// trackedBody is a request body that records whether any of it was read.
type trackedBody struct {
	reader  *bytes.Reader
	wasRead atomic.Bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.wasRead.Store(true)
	return b.reader.Read(p)
}

// Close implements io.Closer.
func (b *trackedBody) Close() error { return nil }

// tryHop runs the job on an engine that another box owns.
func (g *Gateway) tryHop(ctx context.Context, j *job, e catalog.EngineView) (*attempt, *result.Error) {
	head, err := json.Marshal(hopHead{
		Engine: e.Name, Ref: j.ref.String(), Weights: j.weights, RunID: j.runID, RequestID: j.requestID,
		Path: j.path, Urgency: j.urgency, StartIn: clock.Until(j.startBy), LastEngine: j.isLastEngine, Suspect: j.suspect,
		Cooperative: j.cooperative, Rate: g.cfg.Rates.LatestReport(clock.Now(), e.Name, e.Spec.Started),
	})
	if err != nil {
		return nil, result.New(result.BadRequest, "%v", err)
	}
	hopCtx, cancel := context.WithCancel(ctx)
	body := &trackedBody{reader: bytes.NewReader(j.body)}
	resp, rerr := g.sendHop(hopCtx, cancel, e, head, body, int64(len(j.body)))
	if rerr != nil {
		cancel()
		if ctx.Err() != nil {
			// The caller disconnected. This is no failure of the owner.
			return nil, result.New(result.CallerGone, "%v", context.Cause(ctx))
		}
		return nil, rerr
	}
	g.cfg.Scope.Counter("hops").Inc(1)
	adapterWait, _ := time.ParseDuration(resp.Header.Get(headerStalled))
	return &attempt{
		answer: engine.NewAnswer(resp, j.ref, j.runID), engine: e.Name, box: e.Owner.Box,
		adapterWait: adapterWait, release: func(owner.End) { cancel() },
	}, nil
}

// sendHop sends a hop to the owner of the engine and returns the response if its status is 200.
func (g *Gateway) sendHop(
	ctx context.Context, cancel context.CancelFunc, e catalog.EngineView, head []byte, body *trackedBody, size int64,
) (*http.Response, *result.Error) {
	// The watchdog cancels the call if keepalives are missing. It is off after 100 Continue, because the request may then run for
	// a long time.
	watchdog := time.AfterFunc(keepaliveTimeout, cancel)
	defer watchdog.Stop()
	trace := &httptrace.ClientTrace{Got1xxResponse: func(code int, _ textproto.MIMEHeader) error {
		watchdog.Stop()
		if code != http.StatusContinue {
			watchdog.Reset(keepaliveTimeout)
		}
		return nil
	}}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Owner.Peer.String()+pathRun, body)
	if err != nil {
		return nil, result.New(result.BackendUnreachable, "%v", err)
	}
	req.ContentLength = size
	req.Header.Set("Expect", "100-continue")
	req.Header.Set(headerHop, string(head))
	resp, err := g.cfg.PeerClient.Do(req)
	if err != nil {
		if !watchdog.Stop() || !errors.Is(err, context.Canceled) {
			g.unresponsive.Add(e.Owner.Box, clock.Now())
		}
		if body.wasRead.Load() {
			return nil, result.New(result.AnswerLost, "box %s: %v", e.Owner.Box, err)
		}
		return nil, result.New(result.BackendUnreachable, "box %s: %v", e.Owner.Box, err)
	}
	if rate := grant.RateFromHeader(resp.Header); rate != nil {
		g.cfg.Rates.Record(clock.Now(), e.Name, *rate)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer httpx.Drain(resp.Body)
	return nil, hopError(resp, body.wasRead.Load())
}

// hopError decodes the error in the response to a hop. If the response contains no valid error and the body was read, the request
// may have run.
func hopError(resp *http.Response, bodyRead bool) *result.Error {
	const maxRefusal = 64 << 10
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusal))
	if e, ok := result.Decode(b); ok {
		return e
	}
	if bodyRead {
		return result.New(result.AnswerLost, "unexpected status %d from the owner", resp.StatusCode)
	}
	return result.New(result.BackendUnreachable, "unexpected status %d from the owner", resp.StatusCode)
}

// handleHop serves a hop: it runs the request of another box on an engine that this box owns.
func (g *Gateway) handleHop(w http.ResponseWriter, r *http.Request) {
	j, runner, rerr := g.readHop(r)
	if rerr != nil {
		rerr.Write(w, "")
		return
	}
	ctx, cancel := g.callContext(r.Context(), g.cfg.Limits.MaxDuration)
	defer cancel()
	if rerr := g.checkPause(runner.Name()); rerr != nil {
		rerr.Write(w, j.requestID)
		return
	}
	granted, rerr := grant.AcquireWithKeepalive(ctx, w, runner, j.ownerRequest(), keepaliveInterval)
	grant.SetRateHeader(w.Header(), runner.Rate())
	if rerr != nil {
		rerr.Write(w, j.requestID)
		return
	}
	if rerr = j.readHopBody(w, r); rerr != nil {
		granted.Release(owner.EndUnused)
		rerr.Write(w, j.requestID)
		return
	}
	a, rerr := g.runGranted(ctx, j, granted)
	if rerr != nil {
		rerr = g.endedResult(rerr)
		rerr.Write(w, j.requestID)
		return
	}
	w.Header().Set(headerStalled, a.adapterWait.String())
	a.answer.Held = g.cfg.Callers.NewBuffer()
	a.finish(g.copyAnswer(w, a.answer))
}

// readHop decodes the header of a hop and returns the job and the runner of its engine.
func (g *Gateway) readHop(r *http.Request) (*job, *owner.Runner, *result.Error) {
	var h hopHead
	if err := json.Unmarshal([]byte(r.Header.Get(headerHop)), &h); err != nil {
		return nil, nil, result.New(result.BadRequest, "%s: %v", headerHop, err)
	}
	ref, err := resource.ParseRef(h.Ref)
	if err != nil {
		return nil, nil, result.New(result.BadRequest, "%v", err)
	}
	runner, ok := g.cfg.Owners.Get(h.Engine)
	if !ok {
		return nil, nil, result.New(result.NotOwner, "%s", h.Engine)
	}
	if r.ContentLength < 0 || r.ContentLength > g.cfg.Limits.BodyBytes {
		return nil, nil, result.New(result.BodyTooLarge, "%d bytes", r.ContentLength)
	}
	return &job{
		requestID: h.RequestID, runID: h.RunID, path: h.Path, ref: ref, weights: h.Weights,
		urgency: h.Urgency, startBy: clock.Now().Add(h.StartIn), isLastEngine: h.LastEngine, suspect: h.Suspect,
		cooperative: h.Cooperative, reportedRate: h.Rate,
	}, runner, nil
}

// readHopBody requests the body from the sender and returns an error if it does not arrive completely.
func (j *job) readHopBody(w http.ResponseWriter, r *http.Request) *result.Error {
	rc := http.NewResponseController(w)
	// If the connection does not support deadlines, the context of the request limits the time.
	_ = rc.SetReadDeadline(time.Now().Add(hopBodyTimeout))
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	j.body = make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, j.body); err != nil {
		return result.New(result.BackendUnreachable, "request body of the hop not received: %v", err)
	}
	return nil
}
