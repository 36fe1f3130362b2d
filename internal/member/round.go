package member

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/part"
)

// rest waits for the next round. It comes early when a new map gives this box an engine that it has no grant for, and at once when there
// is a coordinator that has not had a heartbeat of this box yet.
func (n *Node) rest(ctx context.Context) {
	pause := n.pause()
	due := clock.Now().Add(pause)
	next := time.NewTimer(pause)
	defer next.Stop()
	defer func() { n.noteStall(due) }()
	for {
		changed := n.cfg.Catalog.Changed()
		if n.supplanted() || n.found() {
			return
		}
		if n.awaitsGrant() {
			part.Sleep(ctx, n.cfg.Timing.Beat/earlyBeat)
			return
		}
		select {
		case <-changed:
		case <-next.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// pause returns the time to the next round: a heartbeat's, or less if this box's turn to take the lease comes before, or the time at
// which a new coordinator is to hide whom it has not heard.
func (n *Node) pause() time.Duration {
	pause := n.cfg.Timing.Beat - time.Duration(rand.Int64N(int64(n.cfg.Timing.Beat/10)+1))
	if _, ok := n.via(); ok {
		// The aggregator's window is part of the time between two heartbeats.
		pause -= n.cfg.Timing.Beat / windowShare
	}
	if at, ok := n.turn(); ok {
		pause = min(pause, clock.Until(at))
	}
	if left := clock.Until(n.unheardUntil); left > 0 && n.coordinating() != nil {
		pause = min(pause, left)
	}
	return pause
}

// awaitsGrant reports whether the map names this box as the owner of an engine without a grant.
func (n *Node) awaitsGrant() bool {
	m, _, _ := n.cfg.Catalog.Map(n.cfg.Cell)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen {
		return false
	}
	return slices.ContainsFunc(m.Owners, func(o coordinator.Ownership) bool {
		g, ok := n.grants[o.Engine]
		return o.Owner == n.cfg.Self.Box && (!ok || g.Epoch < o.Epoch)
	})
}

// round renews the lease and publishes the map if this box coordinates, then sends one heartbeat, and seeks the lease if that fails.
func (n *Node) round(ctx context.Context) {
	if state := n.coordinating(); state != nil {
		n.coordinate(ctx, state)
	}
	if n.supplanted() && !n.follow() {
		n.seekLease(ctx)
	}
	n.beatTo = n.lease.Record().Epoch
	err := n.beat(ctx)
	n.missed = err != nil
	if err != nil {
		n.cfg.Scope.Counter("beat_failures").Inc(1)
		klog.V(1).InfoS("heartbeat failed", "cell", n.cfg.Cell, "err", err)
	}
	if n.seekIsDue(clock.Now(), err) {
		n.seekLease(ctx)
	}
}

// seekIsDue reports whether it is time to look at the lease of a coordinator that does not answer or cannot renew it.
func (n *Node) seekIsDue(now time.Time, missed error) bool {
	frozen := n.isFrozen()
	if missed == nil && !frozen {
		return false
	}
	since := now.Sub(n.lastSeek)
	if missed != nil && since >= n.seekPause() {
		return true
	}
	return frozen && since >= n.cfg.Timing.LeaseTTL || n.turnHasCome(now)
}

// turnHasCome reports whether this box may take the lease, by what it knows, and has not looked at it since.
func (n *Node) turnHasCome(now time.Time) bool {
	if n.rank() >= maxCandidates {
		return false
	}
	at, known := n.lease.FreeAt(n.grace())
	return known && n.lastSeek.Before(at) && !now.Before(at)
}

// seekPause returns how long this box waits between two looks at the lease of a coordinator that does not answer: not at all if it
// is one of those that would take it first, else long enough for one of them to have it, as every look is paid for.
func (n *Node) seekPause() time.Duration {
	if n.lease.Record().Holder == "" || n.rank() < maxCandidates {
		return 0
	}
	return n.cfg.Timing.LeaseTTL / seekShare
}

// turn returns when this box may take the lease of a coordinator that does not answer or cannot renew it, if it is one of those that go
// first and that time is still to come. It is kept to: a heartbeat that hangs and the pause after it would add up to a second to every
// takeover, and a coordinator that the store turns away would keep its cell for two times of the lease.
func (n *Node) turn() (time.Time, bool) {
	if (!n.missed && !n.isFrozen()) || n.rank() >= maxCandidates {
		return time.Time{}, false
	}
	at, known := n.lease.FreeAt(n.grace())
	return at, known && clock.Now().Before(at)
}

// supplanted reports whether the cell map names a newer coordinator than this box knows, and the lease has not been read since:
// heartbeats to the one before would only time out, and the new one takes boxes that it does not hear for lost.
func (n *Node) supplanted() bool {
	m, _, ok := n.cfg.Catalog.Map(n.cfg.Cell)
	return ok && m.Lease > max(n.soughtFor, n.lease.Record().Epoch)
}

// follow goes over to the coordinator that the map names, if the map says where it is: reading the lease would be a call of every box at
// each takeover.
func (n *Node) follow() bool {
	m, _, _ := n.cfg.Catalog.Map(n.cfg.Cell)
	at := slices.IndexFunc(m.Members, func(b coordinator.Member) bool { return b.Box == m.Coordinator })
	if at < 0 || m.Coordinator == n.cfg.Self.Box {
		return false
	}
	n.lease.Named(m.Coordinator, m.Members[at].Peer.String(), m.Lease)
	n.soughtFor = m.Lease
	n.setTenure(n.coordinating())
	return true
}

// found reports whether the lease has been seen to have another holder since a heartbeat was missed.
func (n *Node) found() bool { return n.missed && n.lease.Record().Epoch != n.beatTo }

// noteStall notes that this process stood still if a time to wait has ended far too late: what it reads now may be old.
func (n *Node) noteStall(due time.Time) {
	now := clock.Now()
	if now.Sub(due) < n.cfg.Timing.Beat {
		return
	}
	n.cfg.Scope.Counter("stalls").Inc(1)
	klog.InfoS("this process stood still", "cell", n.cfg.Cell, "for", now.Sub(due), "suspended_in_all", clock.Suspended())
	n.mu.Lock()
	defer n.mu.Unlock()
	n.collector.Stalled(now)
	if n.state != nil {
		n.state.StoodStill(now, now.Sub(due))
	}
}
