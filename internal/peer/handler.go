package peer

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/loads"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/result"
)

// Bounds of requests and replies; sizes are in bytes.
const (
	maxBeatBytes = 256 << 10
	// maxBeatsPerBatch is far more than an aggregator collects in one window.
	maxBeatsPerBatch = 1000
	// maxBatchBytes has room for maxBeatsPerBatch heartbeats of boxes with ten engines each.
	maxBatchBytes = 4 << 20
	// maxClientWait bounds how long a request for changes or for a permit may wait.
	maxClientWait  = time.Minute
	maxLostObjects = 10000
)

// HandlerConfig configures a Handler.
type HandlerConfig struct {
	Catalog *catalog.Catalog
	// Beat answers a heartbeat or forwards it.
	Beat func(context.Context, coordinator.Beat) (coordinator.Reply, error)
	// Batch answers heartbeats of several boxes that another box forwards.
	Batch func(coordinator.Batch) (coordinator.BatchReply, error)
	// Permits schedules the loads of the site while this box is the scheduler.
	Permits *loads.Local
	// IsScheduler reports whether this box is the scheduler of its site.
	IsScheduler func() bool
	// NewID returns a unique ID for a permit.
	NewID func() string
}

// Handler serves the control protocol to other boxes.
type Handler struct {
	cfg         HandlerConfig
	mu          sync.Mutex
	heldPermits map[string]loads.Permit
}

// NewHandler returns a Handler.
func NewHandler(cfg HandlerConfig) *Handler {
	return &Handler{cfg: cfg, heldPermits: map[string]loads.Permit{}}
}

// Register adds the handlers of the protocol to mux.
func (h *Handler) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+PathBeat, h.handleBeat)
	mux.HandleFunc("POST "+PathBatch, h.handleBatch)
	mux.HandleFunc("POST "+PathList, h.handleList)
	mux.HandleFunc("POST "+PathChanges, h.handleChanges)
	mux.HandleFunc("POST "+PathLostObjects, func(w http.ResponseWriter, _ *http.Request) {
		httpx.WriteJSON(w, http.StatusOK, h.cfg.Catalog.LostByStore(maxLostObjects))
	})
	mux.HandleFunc("POST "+PathPermit, h.handlePermit)
	mux.HandleFunc("POST "+PathRelease, h.handleRelease)
}

func (h *Handler) handleBeat(w http.ResponseWriter, r *http.Request) {
	var b coordinator.Beat
	if err := decode(r.Body, r.Header.Get("Content-Encoding"), maxBeatBytes, &b); err != nil {
		result.New(result.BadRequest, "%v", err).Write(w, "")
		return
	}
	reply, err := h.cfg.Beat(r.Context(), b)
	h.writeBeatReply(w, r, reply, err)
}

func (h *Handler) handleBatch(w http.ResponseWriter, r *http.Request) {
	var b coordinator.Batch
	if err := decode(r.Body, r.Header.Get("Content-Encoding"), maxBatchBytes, &b); err != nil {
		result.New(result.BadRequest, "%v", err).Write(w, "")
		return
	}
	if len(b.Beats) > maxBeatsPerBatch {
		result.New(result.BadRequest, "%d heartbeats in one batch, at most %d", len(b.Beats), maxBeatsPerBatch).Write(w, "")
		return
	}
	reply, err := h.cfg.Batch(b)
	h.writeBeatReply(w, r, reply, err)
}

// writeBeatReply writes the reply to a heartbeat or a batch of heartbeats, or the error.
func (h *Handler) writeBeatReply(w http.ResponseWriter, r *http.Request, reply any, err error) {
	if err == nil {
		err = writeReply(w, r, reply)
	}
	if err != nil {
		result.From(err, result.StaleBeat).Write(w, "")
	}
}

func (h *Handler) handleList(w http.ResponseWriter, _ *http.Request) {
	httpx.WriteJSON(w, http.StatusOK, h.cfg.Catalog.Snapshot())
}

func (h *Handler) handleChanges(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.FormValue("from"), 10, 64)
	wait, waitErr := time.ParseDuration(r.FormValue("wait"))
	if err := errors.Join(err, waitErr); err != nil {
		result.New(result.BadRequest, "%v", err).Write(w, "")
		return
	}
	timeout := time.NewTimer(min(wait, maxClientWait))
	defer timeout.Stop()
	for {
		changed := h.cfg.Catalog.NextChange()
		changes, err := h.cfg.Catalog.ChangesSince(objects.Position(from))
		if errors.Is(err, objects.ErrGone) {
			http.Error(w, err.Error(), http.StatusGone)
			return
		}
		if changes.Revision > objects.Position(from) {
			httpx.WriteJSON(w, http.StatusOK, changes)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			httpx.WriteJSON(w, http.StatusOK, changes)
			return
		case <-r.Context().Done():
			return
		}
	}
}
