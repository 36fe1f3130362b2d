package member

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/result"
)

// HandleBeat processes the heartbeat of one box and returns the reply. It fails unless this box is the coordinator.
func (n *Node) HandleBeat(b coordinator.Beat) (coordinator.Reply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r, err := n.processBeat(clock.Now(), b)
	if err != nil {
		return coordinator.Reply{}, err
	}
	n.addUpdates(b.Known, b.MapGeneration, &r.Updates)
	n.addFigures(b.Member.Box, 1, &r.Updates)
	return r, nil
}

// HandleBatch processes heartbeats that an aggregator forwards. It fails unless this box is the coordinator.
func (n *Node) HandleBatch(b coordinator.Batch) (coordinator.BatchReply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.state == nil {
		return coordinator.BatchReply{}, n.notCoordinatorError()
	}
	now := clock.Now()
	var out coordinator.BatchReply
	for _, beat := range b.Beats {
		r, err := n.processBeat(now, beat)
		answer := coordinator.Answer{Code: result.OK, Reply: r}
		if err != nil {
			answer = coordinator.Answer{Code: result.From(err, result.StaleBeat).Code}
		}
		out.Answers = append(out.Answers, answer)
	}
	n.addUpdates(b.Known, b.MapGeneration, &out.Updates)
	n.addFigures(b.Box, len(b.Beats), &out.Updates)
	return out, nil
}

func (n *Node) notCoordinatorError() error {
	return result.New(result.StaleBeat, "%s is not the coordinator of %s", n.cfg.Self.Box, n.cfg.Cell)
}

// processBeat records a heartbeat and returns the reply without updates. The caller holds the lock.
func (n *Node) processBeat(now time.Time, b coordinator.Beat) (coordinator.Reply, error) {
	if n.state == nil {
		return coordinator.Reply{}, n.notCoordinatorError()
	}
	// Heartbeats are recorded even while the coordinator is frozen. Otherwise boxes would count as silent when the platform is back.
	if err := n.state.RecordBeat(now, b); err != nil {
		return coordinator.Reply{}, err
	}
	n.mergeFigures(now, b)
	r := n.state.Reply(now, b.Member.Box)
	r.Frozen = r.Frozen || !now.Before(n.leaseView.validUntil)
	r.LeaseVersion = n.leaseView.version
	r.LeaseAge = n.cfg.Timing.LeaseTTL - n.leaseView.validUntil.Sub(now)
	r.Revision = n.cfg.Catalog.Revision()
	if b.GrantsSum == coordinator.GrantsChecksum(r.Grants) {
		r.GrantsUnchanged, r.Grants = true, nil
	}
	return r, nil
}

// withStepTimeout limits the time of one step of a round. Each step has a limit of its own: a heartbeat to a suspended coordinator
// uses up its limit, and must not keep this box from checking the lease.
func (n *Node) withStepTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, n.cfg.Timing.LeaseTTL/stepDivisor)
}

// sendHeartbeat sends one heartbeat to the coordinator and applies the reply.
func (n *Node) sendHeartbeat(ctx context.Context) error {
	ctx, cancel := n.withStepTimeout(ctx)
	defer cancel()
	if takeoverAt, ok := n.nextTakeoverTime(); ok {
		ctx, cancel = context.WithTimeout(ctx, clock.Until(takeoverAt))
		defer cancel()
	}
	full, address := n.buildBeat()
	if address == "" {
		return errors.New("member: coordinator address is unknown")
	}
	n.collectFigures(&full)
	b := n.omitUnchanged(full)
	sentAt := clock.Now()
	r, err := n.submitBeat(ctx, address, b)
	n.recordSuspension(sentAt.Add(n.cfg.Timing.LeaseTTL / stepDivisor))
	if b.Base != 0 && hasCode(err, result.UnknownBase) {
		b = full
		b.Sequence = n.nextSequence()
		sentAt = clock.Now()
		r, err = n.submitBeat(ctx, address, b)
	}
	if err != nil {
		n.adoptReportedLease(err)
		return err
	}
	if b.Base == 0 {
		n.lastFullBeat = fullBeat{sequence: b.Sequence, lease: r.Lease, holdings: holdingsOf(full)}
	}
	n.confirmFigures()
	n.applyReply(sentAt, r)
	return nil
}

// adoptReportedLease records the lease state that an aggregator returns when it cannot reach the coordinator. Boxes that are not
// among the first candidates for the lease then need not read it from the platform.
func (n *Node) adoptReportedLease(err error) {
	var unreached coordinatorUnreachedError
	if !errors.As(err, &unreached) {
		return
	}
	n.lease.UpdateFromReport(unreached.Lease, unreached.Version)
	n.updateLeaseView(n.coordinatorState())
	if n.candidateRank() >= maxCandidates {
		n.lastLeaseCheck = clock.Now()
	}
}

// submitBeat handles a heartbeat locally if this box is the coordinator, and sends it otherwise.
func (n *Node) submitBeat(ctx context.Context, address string, b coordinator.Beat) (coordinator.Reply, error) {
	if address == n.cfg.Self.Peer.String() {
		sentAt := clock.Now()
		r, err := n.HandleBeat(b)
		if err == nil {
			n.applyFigures(r.Updates, sentAt)
		}
		return r, err
	}
	return n.callCoordinator(ctx, address, b)
}

func hasCode(err error, code result.Code) bool {
	var coded *result.Error
	return errors.As(err, &coded) && coded.Code == code
}

// callCoordinator sends a heartbeat to another box. It cancels the call when the map names a newer coordinator. A hanging old
// coordinator could otherwise delay this box's first heartbeat to the new one until the new one counts this box as silent.
func (n *Node) callCoordinator(ctx context.Context, address string, b coordinator.Beat) (r coordinator.Reply, err error) {
	ctx, cancel := context.WithCancel(ctx)
	var group errgroup.Group
	group.Go(func() error {
		n.awaitNewerCoordinator(ctx)
		cancel()
		return nil
	})
	r, err = n.routeBeat(ctx, address, b)
	cancel()
	// The function of the group returns no error.
	_ = group.Wait()
	return r, err
}

// awaitNewerCoordinator returns when the map names a newer coordinator, or when ctx ends. It may read n.lease because the loop, which
// owns that field, waits for this call.
func (n *Node) awaitNewerCoordinator(ctx context.Context) {
	for {
		changed := n.cfg.Catalog.NextChange()
		if n.hasNewerCoordinator() {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) buildBeat() (coordinator.Beat, string) {
	released, draining := n.cfg.Holder.Released()
	now := clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	self := n.cfg.Self
	self.Leaving = n.leaving
	self.Detached = n.cfg.IsDetached != nil && n.cfg.IsDetached()
	slices.Sort(draining)
	b := coordinator.Beat{Member: self, Draining: draining, Sequence: n.nextSequence(), GrantsSum: coordinator.GrantsChecksum(n.lastGrants), Lease: n.leaseView.record.Epoch}
	if n.cfg.Spread != nil && n.leaseView.record.Address != self.Peer.String() {
		m, _, _ := n.cfg.Catalog.Map(n.cfg.Cell)
		b.Known, b.MapGeneration = n.cfg.Spread.KnownRevisions(), m.Generation
	}
	for name, g := range n.grants {
		g.released = g.released || slices.Contains(released, name)
		n.grants[name] = g
		if g.released {
			b.Released = append(b.Released, coordinator.Release{Engine: name, Epoch: g.Epoch})
		}
		if now.Before(g.validUntil) {
			b.Owned = append(b.Owned, g.Ownership)
		} else {
			b.Lapsed = append(b.Lapsed, name)
		}
	}
	slices.Sort(b.Lapsed)
	slices.SortFunc(b.Released, func(x, y coordinator.Release) int { return strings.Compare(x.Engine, y.Engine) })
	slices.SortFunc(b.Owned, func(x, y coordinator.Ownership) int { return strings.Compare(x.Engine, y.Engine) })
	return b, n.leaseView.record.Address
}

// fullBeat describes the last complete heartbeat that a coordinator has answered.
type fullBeat struct {
	sequence uint64
	lease    uint64
	holdings coordinator.Holdings
}

func holdingsOf(b coordinator.Beat) coordinator.Holdings {
	return coordinator.Holdings{Member: b.Member, Released: b.Released, Draining: b.Draining, Owned: b.Owned, Lapsed: b.Lapsed}
}

func (n *Node) nextSequence() uint64 {
	n.sequence++
	return n.sequence
}

// omitUnchanged leaves out the holdings if the coordinator already has them from an earlier complete heartbeat.
func (n *Node) omitUnchanged(full coordinator.Beat) coordinator.Beat {
	if n.lastFullBeat.sequence == 0 || n.lastFullBeat.lease != full.Lease || !n.lastFullBeat.holdings.Equal(holdingsOf(full)) {
		return full
	}
	b := full
	b.Base = n.lastFullBeat.sequence
	b.Member = coordinator.Member{Box: full.Member.Box, Incarnation: full.Member.Incarnation}
	b.Released, b.Draining, b.Owned, b.Lapsed = nil, nil, nil, nil
	return b
}

// applyReply applies the reply to a heartbeat. A frozen reply changes no grants, but shows that the coordinator is reachable.
func (n *Node) applyReply(sentAt time.Time, r coordinator.Reply) {
	now := clock.Now()
	n.mu.Lock()
	n.lastReply, n.frozen = now, r.Frozen
	if r.Frozen {
		n.mu.Unlock()
		return
	}
	if !r.GrantsUnchanged {
		n.lastGrants = r.Grants
	}
	grants := map[string]grant{}
	for _, g := range n.lastGrants {
		previous := n.grants[g.Engine]
		grants[g.Engine] = grant{Ownership: g, validUntil: sentAt.Add(r.Term), released: previous.released && previous.Epoch == g.Epoch}
	}
	n.grants = grants
	n.mu.Unlock()
	n.lease.ConfirmVersion(now.Add(-min(max(0, r.LeaseAge), n.cfg.Timing.LeaseTTL)), r.Lease, r.LeaseVersion)
	n.cfg.Holder.Update(n.lastGrants, r.Release)
}
