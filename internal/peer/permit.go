package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/loads"
	"github.com/bellgap/bellgap/internal/result"
)

// handlePermit waits for a permit on behalf of another box and keeps it until it is given back or runs out.
func (h *Handler) handlePermit(w http.ResponseWriter, r *http.Request) {
	var ask PermitAsk
	if !result.ReadJSON(w, r, maxBeat, &ask) {
		return
	}
	if !h.cfg.Schedules() {
		result.New(result.StaleBeat, "this box does not schedule loads").Write(w, "")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(ask.Wait, maxWait))
	defer cancel()
	permit, err := h.cfg.Permits.Acquire(ctx, ask.Need)
	if err != nil {
		result.New(result.LoadBudget, "%v", err).Write(w, "")
		return
	}
	id := h.cfg.NewID()
	h.mu.Lock()
	h.held[id] = permit
	h.mu.Unlock()
	time.AfterFunc(loads.HoldLimit, func() { h.release(PermitBack{ID: id, Used: true}) })
	httpx.WriteJSON(w, http.StatusOK, PermitGiven{id})
}

func (h *Handler) handleRelease(w http.ResponseWriter, r *http.Request) {
	var back PermitBack
	if !result.ReadJSON(w, r, maxBeat, &back) {
		return
	}
	h.release(back)
	httpx.WriteJSON(w, http.StatusOK, struct{}{})
}

func (h *Handler) release(back PermitBack) {
	h.mu.Lock()
	permit, ok := h.held[back.ID]
	delete(h.held, back.ID)
	h.mu.Unlock()
	if ok {
		permit(back.Used)
	}
}
