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

// The hop between boxes: the head of the request goes first, the body only once the owner is ready to start it.
// Until then the owner sends 102 Processing at a steady pace, so that a frozen owner is noticed while the request provably has not run.
const (
	pathRun = "/peer/run"

	headerHop     = "Bellgap-Hop"
	headerStalled = "Bellgap-Stalled"

	aliveEvery  = 300 * time.Millisecond
	aliveWithin = 1500 * time.Millisecond
	hopBodyTime = 5 * time.Second
)

// hopHead is what the owner needs to know before it asks for the body.
type hopHead struct {
	Engine    string        `json:"engine"`
	Ref       string        `json:"ref"`
	Weights   string        `json:"weights"`
	RunID     string        `json:"run_id"`
	RequestID string        `json:"request_id"`
	Path      string        `json:"path"`
	Urgency   int           `json:"urgency"`
	StartIn   time.Duration `json:"start_in"`
	// Last says that no other engine will be tried after this one.
	Last bool `json:"last,omitempty"`
	// Suspect is what the request is known by when it comes again.
	Suspect quarantine.Suspect `json:"suspect"`
	// Cooperative is whose request it is, Rate what the sender knows of the engine's rate.
	Cooperative string          `json:"cooperative,omitempty"`
	Rate        *ratelimit.Word `json:"rate,omitempty"`
}

// onceBody is a body that tells whether any of it was read.
type onceBody struct {
	r    *bytes.Reader
	read atomic.Bool
}

// Read implements io.Reader.
func (b *onceBody) Read(p []byte) (int, error) {
	b.read.Store(true)
	return b.r.Read(p)
}

// Close implements io.Closer.
func (b *onceBody) Close() error { return nil }

// tryHop runs the job on an engine that another box owns.
func (g *Gateway) tryHop(ctx context.Context, j *job, e catalog.EngineView) (*attempt, *result.Error) {
	head, err := json.Marshal(hopHead{
		Engine: e.Name, Ref: j.ref.String(), Weights: j.weights, RunID: j.runID, RequestID: j.requestID,
		Path: j.path, Urgency: j.urgency, StartIn: clock.Until(j.startBy), Last: j.last, Suspect: j.suspect,
		Cooperative: j.cooperative, Rate: g.cfg.Rates.Word(clock.Now(), e.Name, e.Spec.Started),
	})
	if err != nil {
		return nil, result.New(result.BadRequest, "%v", err)
	}
	hopCtx, cancel := context.WithCancel(ctx)
	body := &onceBody{r: bytes.NewReader(j.body)}
	resp, rerr := g.sendHop(hopCtx, cancel, e, head, body, int64(len(j.body)))
	if rerr != nil {
		cancel()
		if ctx.Err() != nil {
			// That the caller went says nothing of the owner.
			return nil, result.New(result.CallerGone, "%v", context.Cause(ctx))
		}
		return nil, rerr
	}
	g.cfg.Scope.Counter("hops").Inc(1)
	stalled, _ := time.ParseDuration(resp.Header.Get(headerStalled))
	return &attempt{
		answer: engine.NewAnswer(resp, j.ref, j.runID), engine: e.Name, box: e.Owner.Box,
		stalled: stalled, end: func(owner.End) { cancel() },
	}, nil
}

func (g *Gateway) sendHop(
	ctx context.Context, cancel context.CancelFunc, e catalog.EngineView, head []byte, body *onceBody, size int64,
) (*http.Response, *result.Error) {
	// The watch ends the call while the body is unread; once the body is asked for the owner may take its time.
	watch := time.AfterFunc(aliveWithin, cancel)
	defer watch.Stop()
	trace := &httptrace.ClientTrace{Got1xxResponse: func(code int, _ textproto.MIMEHeader) error {
		watch.Stop()
		if code != http.StatusContinue {
			watch.Reset(aliveWithin)
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
	resp, err := g.cfg.Hop.Do(req)
	if err != nil {
		if !watch.Stop() || !errors.Is(err, context.Canceled) {
			g.suspects.Add(e.Owner.Box, clock.Now())
		}
		if body.read.Load() {
			return nil, result.New(result.AnswerLost, "box %s: %v", e.Owner.Box, err)
		}
		return nil, result.New(result.BackendUnreachable, "box %s: %v", e.Owner.Box, err)
	}
	if w := grant.ToldRate(resp.Header); w != nil {
		g.cfg.Rates.Heard(clock.Now(), e.Name, *w)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer httpx.Drain(resp.Body)
	return nil, hopError(resp, body.read.Load())
}

// hopError reads a refusal. An answer that is no result of ours says nothing if the body was read.
func hopError(resp *http.Response, bodyRead bool) *result.Error {
	const maxRefusal = 64 << 10
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusal))
	if e, ok := result.Decode(b); ok {
		return e
	}
	if bodyRead {
		return result.New(result.AnswerLost, "status %d between boxes", resp.StatusCode)
	}
	return result.New(result.BackendUnreachable, "status %d between boxes", resp.StatusCode)
}

// handleHop runs a request from another box on an engine that this box owns.
func (g *Gateway) handleHop(w http.ResponseWriter, r *http.Request) {
	j, runner, rerr := g.readHop(r)
	if rerr != nil {
		rerr.Write(w, "")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), g.cfg.Limits.Longest)
	defer cancel()
	if rerr := g.restOf(runner.Name()); rerr != nil {
		rerr.Write(w, j.requestID)
		return
	}
	granted, rerr := grant.AcquireAlive(ctx, w, runner, j.ask(), aliveEvery)
	grant.TellRate(w.Header(), runner.Rate())
	if rerr != nil {
		rerr.Write(w, j.requestID)
		return
	}
	if rerr = j.readHopBody(w, r); rerr != nil {
		granted.Release(owner.EndWhole)
		rerr.Write(w, j.requestID)
		return
	}
	a, rerr := g.runGranted(ctx, j, granted)
	if rerr != nil {
		rerr.Write(w, j.requestID)
		return
	}
	w.Header().Set(headerStalled, a.stalled.String())
	a.finish(copyAnswer(w, a.answer))
}

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
		urgency: h.Urgency, startBy: clock.Now().Add(h.StartIn), last: h.Last, suspect: h.Suspect,
		cooperative: h.Cooperative, rate: h.Rate,
	}, runner, nil
}

// readHopBody asks for the body and takes it only whole.
func (j *job) readHopBody(w http.ResponseWriter, r *http.Request) *result.Error {
	rc := http.NewResponseController(w)
	// A connection without deadlines is ended by the context of the request.
	_ = rc.SetReadDeadline(time.Now().Add(hopBodyTime))
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	j.body = make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, j.body); err != nil {
		return result.New(result.BackendUnreachable, "body between boxes: %v", err)
	}
	return nil
}
