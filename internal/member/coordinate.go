package member

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/lease"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/placement"
	"github.com/bellgap/bellgap/internal/quarantine"
	"github.com/bellgap/bellgap/internal/softwareversion"
)

// checkLease reads the lease and acquires it if it is free.
func (n *Node) checkLease(ctx context.Context) {
	ctx, cancel := n.withStepTimeout(ctx)
	defer cancel()
	n.lastLeaseCheck = clock.Now()
	if m, _, ok := n.cfg.Catalog.Map(n.cfg.Cell); ok {
		n.checkedLeaseEpoch = m.Lease
	}
	if err := n.lease.Refresh(ctx); err != nil {
		n.cfg.Scope.Counter("lease_read_failures").Inc(1)
		return
	}
	if n.lease.IsOwn() {
		n.updateLeaseView(n.coordinatorState())
	} else {
		n.updateLeaseView(nil)
	}
	if n.coordinatorState() != nil || n.Leaving() && !n.isRecordedCoordinator() || !n.lease.IsFree(clock.Now(), n.takeoverDelay()) {
		return
	}
	state, err := n.takeLease(ctx)
	if err != nil {
		klog.InfoS("could not acquire the coordinator lease", "cell", n.cfg.Cell, "err", err)
	}
	n.updateLeaseView(state)
	if state != nil {
		n.coordinate(ctx, state)
	}
}

// isRecordedCoordinator reports whether the lease names this box as the holder and this process is the last coordinator that it knows.
// This is so after the store was restored from an older copy. A leaving box then acquires the lease again and releases it when it stops;
// otherwise the cell would have no coordinator until the lease has expired, and its map would show boxes that were lost meanwhile. It does
// not do so after another box has coordinated: the other boxes, which follow that one, would report their engines too late.
func (n *Node) isRecordedCoordinator() bool {
	return n.wasLastCoordinator && n.lease.Record().Holder == n.cfg.Self.Box
}

// takeoverDelay returns how long this box waits before it acquires a free lease. Boxes of a better rank go first, so that the members
// do not all write at once after the loss of their coordinator.
func (n *Node) takeoverDelay() time.Duration {
	return time.Duration(n.candidateRank()) * n.cfg.Timing.Beat
}

// candidateRank returns how many boxes may acquire the lease before this one, at most maxCandidates. It returns 0 if no map is known.
func (n *Node) candidateRank() int {
	m, _, ok := n.cfg.Catalog.Map(n.cfg.Cell)
	if !ok {
		return 0
	}
	record := n.lease.Record()
	var names []string
	for _, b := range m.Members {
		if b.Box != record.Holder && !b.Leaving && !b.Silent {
			names = append(names, b.Box)
		}
	}
	key := fmt.Sprintf("%s/%d", n.cfg.Cell, record.Epoch)
	rank := slices.Index(placement.Top(key, names, maxCandidates), n.cfg.Self.Box)
	if rank < 0 {
		return maxCandidates
	}
	return rank
}

// CoordinatorAddress returns the peer address of the coordinator if that is another box and it has replied recently.
func (n *Node) CoordinatorAddress() (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	address := n.leaseView.record.Address
	hasRecentReply := clock.Since(n.lastReply) < missedBeats*n.cfg.Timing.Beat
	return address, address != "" && address != n.cfg.Self.Peer.String() && hasRecentReply
}

// takeLease acquires the lease and continues from the last map of the cell.
func (n *Node) takeLease(ctx context.Context) (*coordinator.State, error) {
	// If an earlier acquisition was not answered, or the map could not be read after it, the lease already names this box as the holder.
	if holder := n.lease.Record().Holder; holder != n.cfg.Self.Box {
		n.expiredHolder = holder
	}
	if err := n.lease.Acquire(ctx); err != nil {
		return nil, err
	}
	lastMap, version, err := readMap(ctx, n.cfg.API, n.cfg.Cell)
	if err != nil {
		return nil, err
	}
	n.publishedVersion, n.publishedMap = version, lastMap
	if n.cfg.Quarantine != nil {
		n.cfg.Quarantine.Inherit(lastMap.Quarantined)
	}
	epoch := n.lease.Record().Epoch
	_, _, known := n.cfg.Catalog.Map(n.cfg.Cell)
	mayHaveMap := version.HasRevision() || version.IsRestored() || known
	restored := lease.EraOf(lastMap.Lease) < lease.EraOf(epoch) && mayHaveMap
	if n.cfg.SoftwareVersions != nil {
		n.cfg.SoftwareVersions.Inherit(clock.Now(), inheritedVersions(lastMap, version), !restored)
	}
	n.mu.Lock()
	n.history.Reset()
	if !restored {
		n.history.Set(lastMap)
	}
	n.historyVersion = version
	n.mu.Unlock()
	n.wasLastCoordinator = true
	n.cfg.Scope.Counter("leases_taken").Inc(1)
	klog.InfoS("coordinating", "cell", n.cfg.Cell, "lease", epoch, "lapsed", n.expiredHolder, "restored", restored, "generation", lastMap.Generation,
		"members", len(lastMap.Members), "engines", len(lastMap.Owners))
	return coordinator.New(coordinator.Config{
		Cell: n.cfg.Cell, Region: n.cfg.Region, Box: n.cfg.Self.Box, Lease: epoch, Term: n.cfg.Timing.Term, Drain: n.cfg.Timing.Drain, Started: clock.Now(),
		SilentAfter: n.cfg.Timing.SilentAfter, InheritedSilentAfter: takeoverGraceBeats * n.cfg.Timing.Beat, OrderGap: n.cfg.Timing.OrderGap, Reclaim: n.cfg.Timing.Reclaim, ExpiredCoordinator: n.expiredHolder,
		Restored: restored, LeaseTTL: n.cfg.Timing.LeaseTTL,
	}, lastMap), nil
}

func readMap(ctx context.Context, api objects.API, cell string) (coordinator.Map, objects.Position, error) {
	var m coordinator.Map
	o, err := api.Get(ctx, coordinator.MapKind, cell)
	if errors.Is(err, objects.ErrNotFound) {
		return m, o.Version, nil
	}
	if err != nil {
		return m, 0, err
	}
	return m, o.Version, json.Unmarshal(o.Value, &m)
}

// coordinate renews the lease and publishes the map if it has changed.
func (n *Node) coordinate(ctx context.Context, state *coordinator.State) {
	ctx, cancel := n.withStepTimeout(ctx)
	defer cancel()
	var err error
	if clock.Until(n.lease.ValidUntil()) <= time.Duration(renewThreshold*float64(n.cfg.Timing.LeaseTTL)) {
		err = n.lease.Renew(ctx)
	}
	if errors.Is(err, objects.ErrConflict) {
		klog.InfoS("coordinator lease lost", "cell", n.cfg.Cell, "holder", n.lease.Record().Holder)
		state = nil
	}
	n.updateLeaseView(state)
	if err != nil {
		n.cfg.Scope.Counter("lease_renew_failures").Inc(1)
		return
	}
	n.readBoxes(ctx, state)
	if err := n.publishMap(ctx, state); err != nil {
		n.cfg.Scope.Counter("map_write_failures").Inc(1)
		klog.InfoS("could not write the cell map", "cell", n.cfg.Cell, "err", err)
	}
}

// readBoxes reads the platform's box list every few heartbeats. After a failed read the last list stays in effect.
func (n *Node) readBoxes(ctx context.Context, state *coordinator.State) {
	if clock.Since(n.lastBoxList) < boxListBeats*n.cfg.Timing.Beat {
		return
	}
	n.lastBoxList = clock.Now()
	boxes, err := n.cfg.API.Boxes(ctx)
	if err != nil {
		n.cfg.Scope.Counter("box_list_failures").Inc(1)
		return
	}
	var leaving []string
	for _, b := range boxes {
		if b.State == objects.BoxLeaving {
			leaving = append(leaving, b.Name)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	state.SetLeavingBoxes(leaving)
}

// quarantinedRequests returns the requests to list in the cell map.
func (n *Node) quarantinedRequests() []quarantine.Held {
	if n.cfg.Quarantine == nil {
		return nil
	}
	return n.cfg.Quarantine.ToPublish()
}

// inheritedVersions returns the history in the last map. Before the first map of a cell no version has served and no route has led anywhere.
func inheritedVersions(lastMap coordinator.Map, version objects.Position) *softwareversion.History {
	if !version.HasRevision() {
		return &softwareversion.History{Complete: true, RoutesComplete: true}
	}
	return lastMap.SoftwareVersions
}

// softwareVersions returns the history to list in the cell map, with the versions of all present endpoints and the present routes.
func (n *Node) softwareVersions() *softwareversion.History {
	if n.cfg.SoftwareVersions == nil {
		return nil
	}
	now := clock.Now()
	t := n.cfg.Catalog.Topology()
	n.cfg.SoftwareVersions.Observe(now, t.EndpointVersions())
	n.cfg.SoftwareVersions.ObserveRoutes(now, t.ResumableRoutes())
	return n.cfg.SoftwareVersions.History(now)
}

// hasNewRoute reports, once for each configuration, whether this box coordinates and the configuration leads a route to a service that the
// map does not list yet. Streams wait until it does.
func (n *Node) hasNewRoute() bool {
	t := n.cfg.Catalog.Topology()
	if n.cfg.SoftwareVersions == nil || t.Routes == nil || t.Routes.Version() == n.checkedRouting || n.coordinatorState() == nil {
		return false
	}
	n.checkedRouting = t.Routes.Version()
	return n.cfg.SoftwareVersions.IsNewRoute(t.ResumableRoutes())
}

// nextMap advances the coordinator's state to the present time and returns the resulting map.
func (n *Node) nextMap(state *coordinator.State) coordinator.Map {
	engines := n.cellEngines()
	quarantined := n.quarantinedRequests()
	versions := n.softwareVersions()
	n.mu.Lock()
	defer n.mu.Unlock()
	state.Tick(clock.Now(), engines)
	m := state.Map()
	m.Quarantined, m.SoftwareVersions = quarantined, versions
	return m
}

// publishMap writes the map if it differs from the stored one. The write is conditional on the last map, which stops a replaced
// coordinator from overwriting the map of its successor.
func (n *Node) publishMap(ctx context.Context, state *coordinator.State) error {
	m := n.nextMap(state)
	if state.IsCollecting(clock.Now()) || equalMaps(m, n.publishedMap) {
		return nil
	}
	// After a change of the store's era the latest generations may be lost. Generations therefore start above all those of the earlier
	// era.
	firstGeneration := int64(objects.NewPosition(lease.EraOf(m.Lease), 0))
	m.Generation = max(firstGeneration, n.publishedMap.Generation, n.cfg.Catalog.Generation(coordinator.MapKind, n.cfg.Cell)) + 1
	value, err := json.Marshal(m)
	if err != nil {
		return err
	}
	version, err := n.cfg.API.Put(ctx, coordinator.MapKind, n.cfg.Cell, n.publishedVersion, value)
	if errors.Is(err, objects.ErrOutcomeUnknown) || errors.Is(err, objects.ErrConflict) {
		m, version, err = n.resolveMapWrite(ctx)
	}
	if errors.Is(err, objects.ErrConflict) {
		klog.InfoS("cell map was written by another coordinator", "cell", n.cfg.Cell, "lease", m.Lease)
		n.updateLeaseView(nil)
	}
	if err != nil {
		return err
	}
	if version == n.publishedVersion {
		// The write did not take effect.
		return objects.ErrUnavailable
	}
	n.recordStoredMap(state, m, version)
	if n.cfg.Spread != nil {
		// Reading the map back from the store took up to 0.3 s after a restore, in which this box sent callers to lost boxes.
		n.applyMap(m, version)
	}
	return nil
}

// recordStoredMap records that a map of this coordinator is stored: the newest one, or an earlier one whose write seemed to have
// failed.
func (n *Node) recordStoredMap(state *coordinator.State, m coordinator.Map, version objects.Position) {
	before, isFirst := n.publishedMap, n.publishedMap.Lease != m.Lease
	n.publishedVersion, n.publishedMap = version, m
	n.cfg.Scope.Counter("map_writes").Inc(1)
	if isFirst {
		n.expiredHolder = ""
		n.takeoverGraceEnd = clock.Now().Add(takeoverGraceBeats*n.cfg.Timing.Beat + time.Millisecond)
	}
	if !before.SoftwareVersions.Equal(m.SoftwareVersions) && m.SoftwareVersions != nil {
		klog.InfoS("software versions listed", "cell", n.cfg.Cell, "complete", m.SoftwareVersions.Complete, "services", m.SoftwareVersions.Services,
			"routes_complete", m.SoftwareVersions.RoutesComplete, "moved", m.SoftwareVersions.Moved())
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.logVisibilityChanges(before, m, state)
	state.SetPublished(clock.Now(), m)
	n.historyVersion = version
	n.history.Set(m)
}

// resolveMapWrite reads the map back when the result of a write is unknown or the stored map is not the expected one. If this
// coordinator wrote the stored map earlier, without an answer, the map counts as published. Only a map of another coordinator ends
// this coordinator's tenure, because ending it discards the knowledge of which boxes are present.
func (n *Node) resolveMapWrite(ctx context.Context) (coordinator.Map, objects.Position, error) {
	m, version, err := readMap(ctx, n.cfg.API, n.cfg.Cell)
	if err != nil {
		return m, 0, err
	}
	if m.Lease != n.lease.Record().Epoch || m.Coordinator != n.cfg.Self.Box {
		return m, 0, objects.ErrConflict
	}
	return m, version, nil
}

func equalMaps(a, b coordinator.Map) bool {
	return a.Cell == b.Cell && a.Lease == b.Lease && a.Coordinator == b.Coordinator &&
		slices.Equal(a.Members, b.Members) && slices.Equal(a.Owners, b.Owners) && slices.Equal(a.Leaving, b.Leaving) &&
		slices.Equal(a.Quarantined, b.Quarantined) && a.SoftwareVersions.Equal(b.SoftwareVersions)
}

// cellEngines returns the declared engines of the cell, sorted by name.
func (n *Node) cellEngines() []coordinator.Engine {
	var engines []coordinator.Engine
	for name, e := range n.cfg.Catalog.Topology().Engines {
		if e.Spec.CellName() == n.cfg.Cell {
			engines = append(engines, coordinator.Engine{Name: name, Zone: e.Spec.Zone})
		}
	}
	slices.SortFunc(engines, func(a, b coordinator.Engine) int { return strings.Compare(a.Name, b.Name) })
	return engines
}
