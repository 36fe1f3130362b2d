package operator

import (
	"net/http"

	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/quarantine"
	"github.com/bellgap/bellgap/internal/result"
)

// handleQuarantine serves GET /quarantine.
func (o *Operator) handleQuarantine(w http.ResponseWriter, _ *http.Request) {
	httpx.WriteJSON(w, http.StatusOK, o.cfg.Quarantine.Cases())
}

// handleRelease serves DELETE /quarantine/FINGERPRINT. All boxes then accept requests with that fingerprint again.
func (o *Operator) handleRelease(w http.ResponseWriter, r *http.Request) {
	var f quarantine.Fingerprint
	if err := f.UnmarshalText([]byte(r.PathValue("fingerprint"))); err != nil {
		o.writeError(w, result.New(result.BadRequest, "%v", err))
		return
	}
	if !o.cfg.Quarantine.Release(r.Context(), f) {
		o.writeError(w, result.New(result.NoSuchResource, "no endpoint has crashed while it ran a request with fingerprint %s", f))
		return
	}
	httpx.WriteJSON(w, http.StatusOK, struct{}{})
}
