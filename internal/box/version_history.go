package box

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/lease"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/softwareversion"
)

// historyReadTimeout limits a read of the version history. A store that works answers in some milliseconds.
const historyReadTimeout = 150 * time.Millisecond

// versionHistoryConfig configures a versionHistory.
type versionHistoryConfig struct {
	Catalog *catalog.Catalog
	API     objects.API
	// Cell names the cell whose map is read from the store.
	Cell string
}

// versionHistory provides the software versions that the cell maps list.
type versionHistory struct {
	cfg versionHistoryConfig

	mu sync.Mutex
	// last and lastErr are the result of the last read, which began at lastBegun.
	last      *softwareversion.History
	lastErr   error
	lastBegun time.Time
}

func newVersionHistory(cfg versionHistoryConfig) *versionHistory { return &versionHistory{cfg: cfg} }

// Known implements relay.VersionHistory.
func (h *versionHistory) Known(service string) (versions []string, isComplete bool) {
	return h.cfg.Catalog.Topology().ListedVersions(service)
}

// Read implements relay.VersionHistory. It waits for a read that began after the call; callers that wait share one.
func (h *versionHistory) Read(ctx context.Context, service string) (versions []string, isComplete bool, err error) {
	calledAt := clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.lastBegun.After(calledAt) {
		h.lastBegun = clock.Now()
		h.last, h.lastErr = h.readMap(context.WithoutCancel(ctx))
	}
	if h.lastErr != nil {
		return nil, false, h.lastErr
	}
	return h.last.Versions(service), h.last.Complete, nil
}

// readMap returns the history in the stored map. The history is empty and not complete if the map is of an earlier build, or was restored
// from an older copy of the store and not written since.
func (h *versionHistory) readMap(ctx context.Context) (*softwareversion.History, error) {
	ctx, cancel := context.WithTimeout(ctx, historyReadTimeout)
	defer cancel()
	o, err := h.cfg.API.Get(ctx, coordinator.MapKind, h.cfg.Cell)
	if errors.Is(err, objects.ErrNotFound) {
		return &softwareversion.History{}, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "box: read the cell map")
	}
	var m coordinator.Map
	if err := json.Unmarshal(o.Value, &m); err != nil {
		return nil, eris.Wrap(err, "box: decode the cell map")
	}
	if m.SoftwareVersions == nil || lease.EraOf(m.Lease) < o.Version.Era() {
		return &softwareversion.History{}, nil
	}
	return m.SoftwareVersions, nil
}
