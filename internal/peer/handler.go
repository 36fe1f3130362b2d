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

// Bounds of what a handler takes.
const (
	maxBeat = 256 << 10
	// maxBeats is far more than an aggregator gathers in a window, maxBatch so many heartbeats of boxes with ten engines each.
	maxBeats = 1000
	maxBatch = 4 << 20
	maxWait  = time.Minute
	maxLost  = 10000
)

// HandlerConfig configures the handlers.
type HandlerConfig struct {
	Catalog *catalog.Catalog
	// Beat answers a heartbeat or passes it on, Batch answers several that another box passes on.
	Beat  func(context.Context, coordinator.Beat) (coordinator.Reply, error)
	Batch func(coordinator.Batch) (coordinator.BatchReply, error)
	// Permits schedules the site's loads while Schedules says that this box does.
	Permits   *loads.Local
	Schedules func() bool
	NewID     func() string
}

// Handler answers other boxes.
type Handler struct {
	cfg  HandlerConfig
	mu   sync.Mutex
	held map[string]loads.Permit
}

// NewHandler returns a Handler.
func NewHandler(cfg HandlerConfig) *Handler {
	return &Handler{cfg: cfg, held: map[string]loads.Permit{}}
}

// Register adds the control paths to mux.
func (h *Handler) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+PathBeat, h.handleBeat)
	mux.HandleFunc("POST "+PathBatch, h.handleBatch)
	mux.HandleFunc("POST "+PathList, h.handleList)
	mux.HandleFunc("POST "+PathChanges, h.handleChanges)
	mux.HandleFunc("POST "+PathLost, func(w http.ResponseWriter, _ *http.Request) {
		httpx.WriteJSON(w, http.StatusOK, h.cfg.Catalog.Unstored(maxLost))
	})
	mux.HandleFunc("POST "+PathPermit, h.handlePermit)
	mux.HandleFunc("POST "+PathRelease, h.handleRelease)
}

func (h *Handler) handleBeat(w http.ResponseWriter, r *http.Request) {
	var b coordinator.Beat
	if err := decode(r.Body, r.Header.Get("Content-Encoding"), maxBeat, &b); err != nil {
		result.New(result.BadRequest, "%v", err).Write(w, "")
		return
	}
	reply, err := h.cfg.Beat(r.Context(), b)
	h.reply(w, r, reply, err)
}

func (h *Handler) handleBatch(w http.ResponseWriter, r *http.Request) {
	var b coordinator.Batch
	if err := decode(r.Body, r.Header.Get("Content-Encoding"), maxBatch, &b); err != nil {
		result.New(result.BadRequest, "%v", err).Write(w, "")
		return
	}
	if len(b.Beats) > maxBeats {
		result.New(result.BadRequest, "%d heartbeats in one batch, at most %d", len(b.Beats), maxBeats).Write(w, "")
		return
	}
	reply, err := h.cfg.Batch(b)
	h.reply(w, r, reply, err)
}

// reply answers a heartbeat or a batch of them.
func (h *Handler) reply(w http.ResponseWriter, r *http.Request, reply any, err error) {
	if err == nil {
		err = answer(w, r, reply)
	}
	if err != nil {
		result.From(err, result.StaleBeat).Write(w, "")
	}
}

func (h *Handler) handleList(w http.ResponseWriter, _ *http.Request) {
	httpx.WriteJSON(w, http.StatusOK, h.cfg.Catalog.All())
}

func (h *Handler) handleChanges(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.FormValue("from"), 10, 64)
	wait, errWait := time.ParseDuration(r.FormValue("wait"))
	if err := errors.Join(err, errWait); err != nil {
		result.New(result.BadRequest, "%v", err).Write(w, "")
		return
	}
	timeout := time.NewTimer(min(wait, maxWait))
	defer timeout.Stop()
	for {
		changed := h.cfg.Catalog.Changed()
		ch, err := h.cfg.Catalog.Since(objects.Position(from))
		if errors.Is(err, objects.ErrGone) {
			http.Error(w, err.Error(), http.StatusGone)
			return
		}
		if ch.Revision > objects.Position(from) {
			httpx.WriteJSON(w, http.StatusOK, ch)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			httpx.WriteJSON(w, http.StatusOK, ch)
			return
		case <-r.Context().Done():
			return
		}
	}
}
