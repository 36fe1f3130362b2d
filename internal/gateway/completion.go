package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/result"
)

// handleCompletion serves POST /v1/chat/completions and /v1/completions.
func (g *Gateway) handleCompletion(w http.ResponseWriter, r *http.Request) {
	began := clock.Now()
	requestID := g.requestID(r)
	if rerr := g.openForNew(); rerr != nil {
		g.fail(w, requestID, rerr)
		return
	}
	j, rerr := g.readJob(w, r, requestID)
	if rerr != nil {
		g.fail(w, requestID, rerr)
		return
	}
	j.told.Came = began
	leave, rerr := g.authorize(r, j.cooperative)
	if rerr != nil {
		g.fail(w, requestID, rerr)
		return
	}
	defer leave()
	j.suspect = suspectOf(r, j.cooperative, j.body)
	ctx, cancel := context.WithTimeout(r.Context(), g.cfg.Limits.Longest)
	defer cancel()
	a, rerr := g.place(ctx, j)
	if rerr != nil {
		g.logEnd(j, nil, rerr, began)
		g.fail(w, requestID, rerr)
		return
	}
	h := w.Header()
	h.Set(result.HeaderRequest, requestID)
	h.Set(result.HeaderBox, g.cfg.Box)
	h.Set(result.HeaderEngine, a.engine)
	h.Set(result.HeaderCode, strconv.Itoa(int(result.OK)))
	rerr = copyAnswer(w, a.answer)
	a.finish(rerr)
	g.logEnd(j, a, rerr, began)
	if rerr != nil {
		g.countEnd(rerr.Code)
		return
	}
	g.countEnd(result.OK)
}

// openForNew refuses new requests while this box cannot take them.
func (g *Gateway) openForNew() *result.Error {
	if g.cfg.Leaving() {
		rerr := result.New(result.Leaving, "%s", g.cfg.Box)
		rerr.Elsewhere = g.otherBoxes()
		return rerr
	}
	if !g.cfg.Ready() {
		return result.New(result.NotReady, "%s", g.cfg.Box)
	}
	return nil
}

// logEnd logs and keeps how a request ended.
func (g *Gateway) logEnd(j *job, a *attempt, rerr *result.Error, began time.Time) {
	code := result.OK
	if rerr != nil {
		code = rerr.Code
	}
	engineName, box, stalled := "", "", time.Duration(0)
	if a != nil {
		engineName, box, stalled = a.engine, a.box, a.stalled
		g.cfg.Scope.Timer("stalled").Record(stalled)
	}
	j.told.ID, j.told.RunID, j.told.Adapter, j.told.Urgency = j.requestID, j.runID, j.ref.String(), j.urgency
	j.told.Stalled, j.told.Result, j.told.Took = stalled, code, clock.Since(began)
	g.cfg.Record.Add(j.told)
	klog.V(2).InfoS("request", "request", j.requestID, "run", j.runID, "adapter", j.ref.String(), "engine", engineName,
		"owner", box, "result", int(code), "stalled", stalled, "took", clock.Since(began))
}
