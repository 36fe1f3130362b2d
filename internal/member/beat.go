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

// HandleBeat answers the heartbeat of a box; only the coordinator does.
func (n *Node) HandleBeat(b coordinator.Beat) (coordinator.Reply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r, err := n.reply(clock.Now(), b)
	if err != nil {
		return coordinator.Reply{}, err
	}
	n.addNews(b.Known, b.MapGeneration, &r.News)
	return r, nil
}

// HandleBatch answers heartbeats that another box passes on; only the coordinator does.
func (n *Node) HandleBatch(b coordinator.Batch) (coordinator.BatchReply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.state == nil {
		return coordinator.BatchReply{}, n.notCoordinating()
	}
	now := clock.Now()
	var out coordinator.BatchReply
	for _, beat := range b.Beats {
		r, err := n.reply(now, beat)
		answer := coordinator.Answer{Code: result.OK, Reply: r}
		if err != nil {
			answer = coordinator.Answer{Code: result.From(err, result.StaleBeat).Code}
		}
		out.Answers = append(out.Answers, answer)
	}
	n.addNews(b.Known, b.MapGeneration, &out.News)
	return out, nil
}

func (n *Node) notCoordinating() error {
	return result.New(result.StaleBeat, "%s does not coordinate %s", n.cfg.Self.Box, n.cfg.Cell)
}

// reply takes a heartbeat in and answers it, but for the news. The caller holds the lock.
func (n *Node) reply(now time.Time, b coordinator.Beat) (coordinator.Reply, error) {
	if n.state == nil {
		return coordinator.Reply{}, n.notCoordinating()
	}
	// Beats count even while frozen, so that nobody is taken for silent when the platform is back.
	if err := n.state.Beat(now, b); err != nil {
		return coordinator.Reply{}, err
	}
	r := n.state.Reply(now, b.Member.Box)
	r.Frozen = r.Frozen || !now.Before(n.tenure.validUntil)
	r.LeaseVersion = n.tenure.version
	r.Revision = n.cfg.Catalog.Revision()
	if b.GrantsSum == coordinator.Sum(r.Grants) {
		r.Same, r.Grants = true, nil
	}
	return r, nil
}

// limit bounds one duty of a round. Each has a bound of its own, so that a frozen coordinator, which takes up the heartbeat's, cannot keep this box from seeking the lease.
func (n *Node) limit(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, n.cfg.Timing.LeaseTTL/dutyShare)
}

// beat sends one heartbeat to the coordinator and takes the reply in.
func (n *Node) beat(ctx context.Context) error {
	ctx, cancel := n.limit(ctx)
	defer cancel()
	if at, ok := n.turn(); ok {
		ctx, cancel = context.WithTimeout(ctx, clock.Until(at))
		defer cancel()
	}
	full, address := n.nextBeat()
	if address == "" {
		return errors.New("member: no coordinator known")
	}
	b := n.abridge(full)
	sentAt := clock.Now()
	r, err := n.exchange(ctx, address, b)
	n.noteStall(sentAt.Add(n.cfg.Timing.LeaseTTL / dutyShare))
	if b.Base != 0 && isCode(err, result.UnknownBase) {
		b = full
		b.Sequence = n.nextSequence()
		sentAt = clock.Now()
		r, err = n.exchange(ctx, address, b)
	}
	if err != nil {
		n.heardOfLease(err)
		return err
	}
	if b.Base == 0 {
		n.basis = basis{sequence: b.Sequence, lease: r.Lease, holdings: holdingsOf(full)}
	}
	n.accept(sentAt, r)
	return nil
}

// heardOfLease takes in what the aggregator knows of the lease when it could not pass a heartbeat on. Boxes that are not among the first to
// take the lease need not read it then.
func (n *Node) heardOfLease(err error) {
	var unreached unreachedError
	if !errors.As(err, &unreached) {
		return
	}
	n.lease.Told(unreached.Lease, unreached.Version)
	n.setTenure(n.coordinating())
	if n.rank() >= maxCandidates {
		n.lastSeek = clock.Now()
	}
}

// exchange has a heartbeat answered and takes in what else comes with the reply.
func (n *Node) exchange(ctx context.Context, address string, b coordinator.Beat) (coordinator.Reply, error) {
	if address == n.cfg.Self.Peer.String() {
		return n.HandleBeat(b)
	}
	return n.callCoordinator(ctx, address, b)
}

func isCode(err error, code result.Code) bool {
	var coded *result.Error
	return errors.As(err, &coded) && coded.Code == code
}

// callCoordinator sends a heartbeat to another box. It is given up when the map names a newer coordinator: one that hangs would keep this
// box from being heard by the new one for longer than that waits.
func (n *Node) callCoordinator(ctx context.Context, address string, b coordinator.Beat) (r coordinator.Reply, err error) {
	ctx, cancel := context.WithCancel(ctx)
	var group errgroup.Group
	group.Go(func() error {
		n.awaitSupplanted(ctx)
		cancel()
		return nil
	})
	r, err = n.send(ctx, address, b)
	cancel()
	// It returns no error.
	_ = group.Wait()
	return r, err
}

// awaitSupplanted returns when the map names a newer coordinator, or ctx ends. The loop that it reads the lease of waits for it.
func (n *Node) awaitSupplanted(ctx context.Context) {
	for {
		changed := n.cfg.Catalog.Changed()
		if n.supplanted() {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) nextBeat() (coordinator.Beat, string) {
	released, draining := n.cfg.Holder.Released()
	now := clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	self := n.cfg.Self
	self.Leaving = n.leaving
	slices.Sort(draining)
	b := coordinator.Beat{Member: self, Draining: draining, Sequence: n.nextSequence(), GrantsSum: coordinator.Sum(n.granted), Lease: n.tenure.record.Epoch}
	if n.cfg.Spread != nil && n.tenure.record.Address != self.Peer.String() {
		m, _, _ := n.cfg.Catalog.Map(n.cfg.Cell)
		b.Known, b.MapGeneration = n.cfg.Spread.Known(), m.Generation
	}
	for name, g := range n.grants {
		g.released = g.released || slices.Contains(released, name)
		n.grants[name] = g
		if g.released {
			b.Released = append(b.Released, coordinator.Release{Engine: name, Epoch: g.Epoch})
		}
		if now.Before(g.until) {
			b.Owned = append(b.Owned, g.Ownership)
		} else {
			b.Lapsed = append(b.Lapsed, name)
		}
	}
	slices.Sort(b.Lapsed)
	slices.SortFunc(b.Released, func(x, y coordinator.Release) int { return strings.Compare(x.Engine, y.Engine) })
	slices.SortFunc(b.Owned, func(x, y coordinator.Ownership) int { return strings.Compare(x.Engine, y.Engine) })
	return b, n.tenure.record.Address
}

// basis is the last heartbeat in full that a coordinator has answered.
type basis struct {
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

// abridge leaves out of a heartbeat what the coordinator has heard in an earlier one.
func (n *Node) abridge(full coordinator.Beat) coordinator.Beat {
	if n.basis.sequence == 0 || n.basis.lease != full.Lease || !n.basis.holdings.Equal(holdingsOf(full)) {
		return full
	}
	b := full
	b.Base = n.basis.sequence
	b.Member = coordinator.Member{Box: full.Member.Box, Incarnation: full.Member.Incarnation}
	b.Released, b.Draining, b.Owned, b.Lapsed = nil, nil, nil, nil
	return b
}

// accept takes a reply in. A frozen reply changes nothing, but shows that the coordinator is there.
func (n *Node) accept(sentAt time.Time, r coordinator.Reply) {
	now := clock.Now()
	n.mu.Lock()
	n.lastReply, n.frozen = now, r.Frozen
	if r.Frozen {
		n.mu.Unlock()
		return
	}
	if !r.Same {
		n.granted = r.Grants
	}
	grants := map[string]grant{}
	for _, g := range n.granted {
		had := n.grants[g.Engine]
		grants[g.Engine] = grant{Ownership: g, until: sentAt.Add(r.Term), released: had.released && had.Epoch == g.Epoch}
	}
	n.grants = grants
	n.mu.Unlock()
	n.lease.Observe(now, r.Lease, r.LeaseVersion)
	n.cfg.Holder.Update(n.granted, r.Release)
}
