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
)

// seekLease reads the lease and takes it if it is free.
func (n *Node) seekLease(ctx context.Context) {
	ctx, cancel := n.limit(ctx)
	defer cancel()
	n.lastSeek = clock.Now()
	if m, _, ok := n.cfg.Catalog.Map(n.cfg.Cell); ok {
		n.soughtFor = m.Lease
	}
	if err := n.lease.Refresh(ctx); err != nil {
		n.cfg.Scope.Counter("lease_read_failures").Inc(1)
		return
	}
	if n.lease.Ours() {
		n.setTenure(n.coordinating())
	} else {
		n.setTenure(nil)
	}
	if n.coordinating() != nil || n.Leaving() || !n.lease.Free(clock.Now(), n.grace()) {
		return
	}
	state, err := n.takeLease(ctx)
	if err != nil {
		klog.InfoS("lease not taken", "cell", n.cfg.Cell, "err", err)
	}
	n.setTenure(state)
	if state != nil {
		n.coordinate(ctx, state)
	}
}

// grace is how long this box lets better placed ones go first, so that not all members write at once when their coordinator is gone.
func (n *Node) grace() time.Duration { return time.Duration(n.rank()) * n.cfg.Timing.Beat }

// rank returns how many boxes go before this one in seeking the lease, at most maxCandidates; none do where no map is known.
func (n *Node) rank() int {
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

// CoordinatorAddress returns the peer address of the coordinator if another box coordinates and has answered lately.
func (n *Node) CoordinatorAddress() (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	address := n.tenure.record.Address
	lately := clock.Since(n.lastReply) < missedBeats*n.cfg.Timing.Beat
	return address, address != "" && address != n.cfg.Self.Peer.String() && lately
}

// takeLease takes the lease and continues from the cell's last map.
func (n *Node) takeLease(ctx context.Context) (*coordinator.State, error) {
	// A take that was not answered, or whose map could not be read, is tried again: this box is the holder then.
	if holder := n.lease.Record().Holder; holder != n.cfg.Self.Box {
		n.lapsed = holder
	}
	if err := n.lease.Take(ctx); err != nil {
		return nil, err
	}
	last, version, err := readMap(ctx, n.cfg.API, n.cfg.Cell)
	if err != nil {
		return nil, err
	}
	n.mapVersion, n.published = version, last
	if n.cfg.Quarantine != nil {
		n.cfg.Quarantine.Inherit(last.Quarantined)
	}
	epoch := n.lease.Record().Epoch
	_, _, known := n.cfg.Catalog.Map(n.cfg.Cell)
	restored := lease.EraOf(last.Lease) < lease.EraOf(epoch) && (version.Exists() || known)
	n.mu.Lock()
	n.history.Reset()
	if !restored {
		n.history.Set(last)
	}
	n.mapStored = version
	n.mu.Unlock()
	n.cfg.Scope.Counter("leases_taken").Inc(1)
	klog.InfoS("coordinating", "cell", n.cfg.Cell, "lease", epoch, "lapsed", n.lapsed, "restored", restored, "generation", last.Generation, "members", len(last.Members), "engines", len(last.Owners))
	return coordinator.New(coordinator.Config{
		Cell: n.cfg.Cell, Region: n.cfg.Region, Box: n.cfg.Self.Box, Lease: epoch, Term: n.cfg.Timing.Term, Drain: n.cfg.Timing.Drain, Started: clock.Now(),
		SilentAfter: n.cfg.Timing.SilentAfter, UnheardAfter: unheardBeats * n.cfg.Timing.Beat, OrderGap: n.cfg.Timing.OrderGap, Reclaim: n.cfg.Timing.Reclaim, Lapsed: n.lapsed,
		Restored: restored, LeaseTTL: n.cfg.Timing.LeaseTTL,
	}, last), nil
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

// coordinate renews the lease and publishes what changed.
func (n *Node) coordinate(ctx context.Context, state *coordinator.State) {
	ctx, cancel := n.limit(ctx)
	defer cancel()
	var err error
	if clock.Until(n.lease.ValidUntil()) <= time.Duration(renewBelow*float64(n.cfg.Timing.LeaseTTL)) {
		err = n.lease.Renew(ctx)
	}
	if errors.Is(err, objects.ErrConflict) {
		klog.InfoS("lease lost", "cell", n.cfg.Cell, "holder", n.lease.Record().Holder)
		state = nil
	}
	n.setTenure(state)
	if err != nil {
		n.cfg.Scope.Counter("lease_renew_failures").Inc(1)
		return
	}
	n.readBoxes(ctx, state)
	if err := n.publish(ctx, state); err != nil {
		n.cfg.Scope.Counter("map_write_failures").Inc(1)
		klog.InfoS("map not written", "cell", n.cfg.Cell, "err", err)
	}
}

// readBoxes takes the platform's box list in, every few heartbeats. A list that cannot be read leaves the last one standing.
func (n *Node) readBoxes(ctx context.Context, state *coordinator.State) {
	if clock.Since(n.lastBoxes) < boxListBeats*n.cfg.Timing.Beat {
		return
	}
	n.lastBoxes = clock.Now()
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
	state.Leaving(leaving)
}

// quarantined returns the requests that the cell map is to name.
func (n *Node) quarantined() []quarantine.Held {
	if n.cfg.Quarantine == nil {
		return nil
	}
	return n.cfg.Quarantine.ToPublish()
}

// nextMap lets time pass in the coordinator's state and returns the map that follows.
func (n *Node) nextMap(state *coordinator.State) coordinator.Map {
	engines := n.cellEngines()
	held := n.quarantined()
	n.mu.Lock()
	defer n.mu.Unlock()
	state.Tick(clock.Now(), engines)
	m := state.Map()
	m.Quarantined = held
	return m
}

// publish writes the map if it differs from the stored one. Writing conditionally on the last map keeps out a coordinator that was replaced.
func (n *Node) publish(ctx context.Context, state *coordinator.State) error {
	m := n.nextMap(state)
	if state.Collecting(clock.Now()) || sameMap(m, n.published) {
		return nil
	}
	// In a new era of the store the generations of before may have been lost with it.
	first := int64(objects.At(lease.EraOf(m.Lease), 0))
	m.Generation = max(first, n.published.Generation, n.cfg.Catalog.Generation(coordinator.MapKind, n.cfg.Cell)) + 1
	value, err := json.Marshal(m)
	if err != nil {
		return err
	}
	version, err := n.cfg.API.Put(ctx, coordinator.MapKind, n.cfg.Cell, n.mapVersion, value)
	if errors.Is(err, objects.ErrAnswerLost) || errors.Is(err, objects.ErrConflict) {
		m, version, err = n.settleMap(ctx)
	}
	if errors.Is(err, objects.ErrConflict) {
		klog.InfoS("map written by another coordinator", "cell", n.cfg.Cell, "lease", m.Lease)
		n.setTenure(nil)
	}
	if err != nil {
		return err
	}
	if version == n.mapVersion {
		// It did not take effect.
		return objects.ErrUnavailable
	}
	n.stored(state, m, version)
	return nil
}

// stored takes in that a map of this coordinator is stored: the newest, or an earlier one that was thought lost.
func (n *Node) stored(state *coordinator.State, m coordinator.Map, version objects.Position) {
	before, first := n.published, n.published.Lease != m.Lease
	n.mapVersion, n.published = version, m
	n.cfg.Scope.Counter("map_writes").Inc(1)
	if first {
		n.lapsed = ""
		n.unheardUntil = clock.Now().Add(unheardBeats*n.cfg.Timing.Beat + time.Millisecond)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.logStandings(before, m, state)
	state.Published(clock.Now(), m)
	n.mapStored = version
	n.history.Set(m)
}

// settleMap reads the map back when it is not known whether a write took effect, or when the stored map is not the one that was expected.
// One of this coordinator's own, written before and thought lost, is as good as published: only another coordinator's ends this one's,
// as giving up means to forget who is there.
func (n *Node) settleMap(ctx context.Context) (coordinator.Map, objects.Position, error) {
	m, version, err := readMap(ctx, n.cfg.API, n.cfg.Cell)
	if err != nil {
		return m, 0, err
	}
	if m.Lease != n.lease.Record().Epoch || m.Coordinator != n.cfg.Self.Box {
		return m, 0, objects.ErrConflict
	}
	return m, version, nil
}

func sameMap(a, b coordinator.Map) bool {
	return a.Cell == b.Cell && a.Lease == b.Lease && a.Coordinator == b.Coordinator &&
		slices.Equal(a.Members, b.Members) && slices.Equal(a.Owners, b.Owners) && slices.Equal(a.Leaving, b.Leaving) &&
		slices.Equal(a.Quarantined, b.Quarantined)
}

// cellEngines returns the declared engines of the cell, ordered by name.
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
