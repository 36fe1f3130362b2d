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

// waitForNextRound waits until the next round is due. It returns early when a new map assigns an engine to this box for which it has
// no grant. It returns at once when there is a coordinator to which this box has not sent a heartbeat yet, or a route to list.
func (n *Node) waitForNextRound(ctx context.Context) {
	delay := n.nextRoundDelay()
	due := clock.Now().Add(delay)
	next := time.NewTimer(delay)
	defer next.Stop()
	defer func() { n.recordSuspension(due) }()
	for {
		changed := n.cfg.Catalog.NextChange()
		if n.hasNewerCoordinator() || n.hasNewLease() || n.hasNewRoute() {
			return
		}
		if n.lacksGrant() {
			part.Sleep(ctx, n.cfg.Timing.Beat/earlyBeatDivisor)
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

// nextRoundDelay returns the time to the next round: one heartbeat period, or less if this box may acquire the lease earlier, or if
// this box is a new coordinator that has to hide the boxes without heartbeats earlier.
func (n *Node) nextRoundDelay() time.Duration {
	delay := n.cfg.Timing.Beat - time.Duration(rand.Int64N(int64(n.cfg.Timing.Beat/10)+1))
	if _, ok := n.currentAggregator(); ok {
		// The aggregator's window is part of the heartbeat period.
		delay -= n.cfg.Timing.Beat / windowDivisor
	}
	if takeoverAt, ok := n.nextTakeoverTime(); ok {
		delay = min(delay, clock.Until(takeoverAt))
	}
	if remaining := clock.Until(n.takeoverGraceEnd); remaining > 0 && n.coordinatorState() != nil {
		delay = min(delay, remaining)
	}
	return delay
}

// lacksGrant reports whether the map names this box as the owner of an engine for which it has no grant.
func (n *Node) lacksGrant() bool {
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

// runRound renews the lease and publishes the map if this box coordinates. It then sends one heartbeat, and checks the lease if that
// fails.
func (n *Node) runRound(ctx context.Context) {
	if state := n.coordinatorState(); state != nil {
		n.coordinate(ctx, state)
	}
	if n.hasNewerCoordinator() && !n.followMapCoordinator() {
		n.checkLease(ctx)
	} else if n.beatMissed && n.coordinatorState() == nil && n.isTakeoverDue(clock.Now()) {
		// The next heartbeat may hang as the last one did.
		n.checkLease(ctx)
	}
	n.beatEpoch = n.lease.Record().Epoch
	err := n.sendHeartbeat(ctx)
	n.beatMissed = err != nil
	if err != nil {
		n.cfg.Scope.Counter("beat_failures").Inc(1)
		klog.V(1).InfoS("heartbeat failed", "cell", n.cfg.Cell, "err", err)
	}
	if n.isLeaseCheckDue(clock.Now(), err) {
		n.checkLease(ctx)
	}
}

// isLeaseCheckDue reports whether this box should check the lease because the coordinator does not answer or cannot renew it.
func (n *Node) isLeaseCheckDue(now time.Time, beatErr error) bool {
	frozen := n.isFrozen()
	if beatErr == nil && !frozen {
		return false
	}
	sinceCheck := now.Sub(n.lastLeaseCheck)
	if beatErr != nil && sinceCheck >= n.leaseCheckInterval() {
		return true
	}
	return frozen && sinceCheck >= n.cfg.Timing.LeaseTTL || n.isTakeoverDue(now)
}

// isTakeoverDue reports whether this box may acquire the lease, as far as it knows, and has not checked it since.
func (n *Node) isTakeoverDue(now time.Time) bool {
	if n.candidateRank() >= maxCandidates {
		return false
	}
	freeAt, known := n.lease.FreeAt(n.takeoverDelay())
	return known && n.lastLeaseCheck.Before(freeAt) && !now.Before(freeAt)
}

// leaseCheckInterval returns the time between two checks of the lease while the coordinator does not answer. The recorded holder and the
// first candidates for the lease check it in every round; a leaving box that the lease names after a restore of the store would otherwise
// report its engines to the next coordinator too late. Other boxes wait long enough for a candidate to acquire the lease, because each
// check is a billed platform call.
func (n *Node) leaseCheckInterval() time.Duration {
	if holder := n.lease.Record().Holder; holder == "" || holder == n.cfg.Self.Box || n.candidateRank() < maxCandidates {
		return 0
	}
	return n.cfg.Timing.LeaseTTL / leaseCheckDivisor
}

// nextTakeoverTime returns when this box may acquire the lease of a coordinator that does not answer or cannot renew it. There is no
// such time if this box is not one of the first candidates or if the time has passed. Waits are cut short at this time. Otherwise a
// hanging heartbeat and the delay after it would add up to a second to every takeover, and a coordinator that the store rejects would
// keep its cell for two lease TTLs.
func (n *Node) nextTakeoverTime() (time.Time, bool) {
	if (!n.beatMissed && !n.isFrozen()) || n.candidateRank() >= maxCandidates {
		return time.Time{}, false
	}
	at, known := n.lease.FreeAt(n.takeoverDelay())
	return at, known && clock.Now().Before(at)
}

// hasNewerCoordinator reports whether the cell map names a coordinator that is newer than the one this box knows, and the lease has
// not been checked since. Heartbeats to the old coordinator would only time out, and the new one counts boxes as lost that send it no
// heartbeat.
func (n *Node) hasNewerCoordinator() bool {
	m, _, ok := n.cfg.Catalog.Map(n.cfg.Cell)
	return ok && m.Lease > max(n.checkedLeaseEpoch, n.lease.Record().Epoch)
}

// followMapCoordinator switches to the coordinator that the map names, if the map contains its address. Without this, every box would
// read the lease after each takeover.
func (n *Node) followMapCoordinator() bool {
	m, _, _ := n.cfg.Catalog.Map(n.cfg.Cell)
	index := slices.IndexFunc(m.Members, func(b coordinator.Member) bool { return b.Box == m.Coordinator })
	if index < 0 || m.Coordinator == n.cfg.Self.Box {
		return false
	}
	n.lease.SetLaterHolder(m.Coordinator, m.Members[index].Peer.String(), m.Lease)
	n.checkedLeaseEpoch = m.Lease
	n.updateLeaseView(n.coordinatorState())
	return true
}

// hasNewLease reports whether the recorded lease has changed its epoch since a heartbeat was missed.
func (n *Node) hasNewLease() bool { return n.beatMissed && n.lease.Record().Epoch != n.beatEpoch }

// recordSuspension records a suspension of this process if a wait has ended far too late. Messages that the process reads afterwards
// may be old.
func (n *Node) recordSuspension(due time.Time) {
	now := clock.Now()
	if now.Sub(due) < n.cfg.Timing.Beat {
		return
	}
	n.cfg.Scope.Counter("stalls").Inc(1)
	klog.InfoS("this process was suspended", "cell", n.cfg.Cell, "for", now.Sub(due), "suspended_in_all", clock.Suspended())
	n.mu.Lock()
	defer n.mu.Unlock()
	n.collector.RecordSuspension(now)
	if n.state != nil {
		n.state.CorrectForSuspension(now, now.Sub(due))
	}
}
