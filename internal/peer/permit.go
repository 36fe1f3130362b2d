package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/loads"
	"github.com/bellgap/bellgap/internal/result"
)

// handlePermit acquires a permit for another box and holds it until that box releases it or loads.MaxPermitHold has passed.
func (h *Handler) handlePermit(w http.ResponseWriter, r *http.Request) {
	var req PermitRequest
	if !result.ReadJSON(w, r, maxBeatBytes, &req) {
		return
	}
	if !h.cfg.IsScheduler() {
		result.New(result.StaleBeat, "this box does not schedule loads").Write(w, "")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(req.Wait, maxClientWait))
	defer cancel()
	permit, err := h.cfg.Permits.Acquire(ctx, req.Need)
	if err != nil {
		result.New(result.LoadBudget, "%v", err).Write(w, "")
		return
	}
	id := h.cfg.NewID()
	h.mu.Lock()
	h.heldPermits[id] = permit
	h.mu.Unlock()
	time.AfterFunc(loads.MaxPermitHold, func() { h.releasePermit(PermitRelease{ID: id, Used: true}) })
	httpx.WriteJSON(w, http.StatusOK, PermitResponse{id})
}

func (h *Handler) handleRelease(w http.ResponseWriter, r *http.Request) {
	var release PermitRelease
	if !result.ReadJSON(w, r, maxBeatBytes, &release) {
		return
	}
	h.releasePermit(release)
	httpx.WriteJSON(w, http.StatusOK, struct{}{})
}

func (h *Handler) releasePermit(release PermitRelease) {
	h.mu.Lock()
	permit, ok := h.heldPermits[release.ID]
	delete(h.heldPermits, release.ID)
	h.mu.Unlock()
	if ok {
		permit(release.Used)
	}
}
