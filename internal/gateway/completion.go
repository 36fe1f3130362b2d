package gateway

import (
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/result"
)

// handleCompletion serves POST /v1/chat/completions and /v1/completions.
func (g *Gateway) handleCompletion(w http.ResponseWriter, r *http.Request) {
	receivedAt := clock.Now()
	requestID := g.requestID(r)
	if rerr := g.checkAccepting(); rerr != nil {
		g.refuse(w, requestID, rerr)
		return
	}
	j, rerr := g.readJob(w, r, requestID)
	if rerr != nil {
		g.refuse(w, requestID, rerr)
		return
	}
	j.entry.ReceivedAt = receivedAt
	endRequest, rerr := g.authorize(r, j.cooperative)
	if rerr != nil {
		g.refuse(w, requestID, rerr)
		return
	}
	defer endRequest()
	j.suspect = newSuspect(r, j.cooperative, j.body)
	ctx, cancel := g.callContext(r.Context(), g.cfg.Limits.MaxDuration)
	defer cancel()
	a, rerr := g.runJob(ctx, j)
	if rerr != nil {
		rerr = g.endedResult(rerr)
		g.recordEnd(j, nil, rerr, receivedAt)
		g.refuse(w, requestID, rerr)
		return
	}
	h := w.Header()
	h.Set(result.HeaderRequest, requestID)
	h.Set(result.HeaderBox, g.cfg.Box)
	h.Set(result.HeaderEngine, a.engine)
	h.Set(result.HeaderCode, strconv.Itoa(int(result.OK)))
	rerr = g.copyAnswer(w, a.answer)
	a.finish(rerr)
	g.recordEnd(j, a, rerr, receivedAt)
	if rerr != nil {
		g.countResult(rerr.Code)
		if rerr.Code == result.CallerNotReading {
			// Aborting the connection shows the caller that the answer is incomplete.
			panic(http.ErrAbortHandler)
		}
		return
	}
	g.countResult(result.OK)
}

// checkAccepting returns an error while this box accepts no new requests.
func (g *Gateway) checkAccepting() *result.Error {
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

// recordEnd logs the result of a request and adds it to the record for operators.
func (g *Gateway) recordEnd(j *job, a *attempt, rerr *result.Error, receivedAt time.Time) {
	code := result.OK
	if rerr != nil {
		code = rerr.Code
	}
	engineName, box, adapterWait := "", "", time.Duration(0)
	if a != nil {
		engineName, box, adapterWait = a.engine, a.box, a.adapterWait
		g.cfg.Scope.Timer("stalled").Record(adapterWait)
	}
	j.entry.ID, j.entry.RunID, j.entry.Adapter, j.entry.Urgency = j.requestID, j.runID, j.ref.String(), j.urgency
	j.entry.AdapterWait, j.entry.Result, j.entry.Duration = adapterWait, code, clock.Since(receivedAt)
	g.cfg.Record.Add(j.entry)
	klog.V(2).InfoS("request", "request", j.requestID, "run", j.runID, "adapter", j.ref.String(), "engine", engineName,
		"owner", box, "result", int(code), "stalled", adapterWait, "took", clock.Since(receivedAt))
}
