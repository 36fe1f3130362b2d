package box

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/lease"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/part"
	"github.com/bellgap/bellgap/internal/softwareversion"
)

const (
	// historyReadTimeout limits a read of the version history. A store that works answers in some milliseconds.
	historyReadTimeout = 150 * time.Millisecond
	// maxHistoryReadRate limits the reads per second of all boxes together.
	maxHistoryReadRate = 500
)

// versionHistoryConfig configures a versionHistory.
type versionHistoryConfig struct {
	Catalog *catalog.Catalog
	API     objects.API
}

// versionHistory provides the software versions and routes that the cell maps list.
type versionHistory struct {
	cfg versionHistoryConfig

	mu sync.Mutex
	// last and lastErr are the result of the last read, which began at lastBegun.
	last      softwareversion.Histories
	lastErr   error
	lastBegun time.Time
}

func newVersionHistory(cfg versionHistoryConfig) *versionHistory { return &versionHistory{cfg: cfg} }

// Known implements relay.VersionHistory.
func (h *versionHistory) Known() softwareversion.Histories {
	return h.cfg.Catalog.Topology().SoftwareVersions
}

// Read implements relay.VersionHistory. It waits for a read that began after the call; callers that wait share one. The rate of reads is
// limited over all boxes.
func (h *versionHistory) Read(ctx context.Context) (softwareversion.Histories, error) {
	calledAt := clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.lastBegun.After(calledAt) {
		if !part.Sleep(ctx, h.readInterval()-clock.Since(h.lastBegun)) {
			return nil, eris.Wrap(ctx.Err(), "box: read the cell maps")
		}
		h.lastBegun = clock.Now()
		h.last, h.lastErr = h.readMaps(context.WithoutCancel(ctx))
	}
	return h.last, h.lastErr
}

// readInterval returns the shortest time between two reads of this box.
func (h *versionHistory) readInterval() time.Duration {
	return time.Duration(len(h.cfg.Catalog.Topology().Boxes)) * time.Second / maxHistoryReadRate
}

// readMaps returns the histories in the stored maps of all cells. A history is nil if the map is of an earlier build, or was restored from an
// older copy of the store and not written since.
func (h *versionHistory) readMaps(ctx context.Context) (softwareversion.Histories, error) {
	ctx, cancel := context.WithTimeout(ctx, historyReadTimeout)
	defer cancel()
	var all softwareversion.Histories
	for after, isFirst := "", true; isFirst || after != ""; isFirst = false {
		page, err := h.cfg.API.List(ctx, []string{coordinator.MapKind}, after)
		if err != nil {
			return nil, eris.Wrap(err, "box: read the cell maps")
		}
		for _, o := range page.Objects {
			var m coordinator.Map
			if err := json.Unmarshal(o.Value, &m); err != nil {
				return nil, eris.Wrapf(err, "box: decode the map of cell %s", o.Name)
			}
			if lease.EraOf(m.Lease) < o.Version.Era() {
				m.SoftwareVersions = nil
			}
			all = append(all, m.SoftwareVersions)
		}
		after = page.Next
	}
	return all, nil
}
