package member

import (
	"context"
	"errors"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/result"
)

// HandleBeat answers the heartbeat of a box; only the coordinator does.
func (n *Node) HandleBeat(b coordinator.Beat) (coordinator.Reply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if n.state == nil {
		return coordinator.Reply{}, result.New(result.StaleBeat, "%s does not coordinate %s", n.cfg.Self.Box, n.cfg.Cell)
	}
	// Beats count even while frozen, so that nobody is taken for silent when the platform is back.
	n.state.Beat(now, b)
	r := n.state.Reply(now, b.Member.Box)
	r.Frozen = r.Frozen || !now.Before(n.tenure.validUntil)
	r.LeaseVersion = n.tenure.version
	r.Revision = n.cfg.Catalog.Revision()
	n.addChanges(b, &r)
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
		ctx, cancel = context.WithDeadline(ctx, at)
		defer cancel()
	}
	b, address := n.nextBeat()
	if address == "" {
		return errors.New("member: no coordinator known")
	}
	sentAt := time.Now()
	var r coordinator.Reply
	var err error
	if address == n.cfg.Self.Peer.String() {
		r, err = n.HandleBeat(b)
	} else {
		r, err = n.callCoordinator(ctx, address, b)
	}
	if err != nil {
		return err
	}
	n.accept(sentAt, r)
	if address != n.cfg.Self.Peer.String() {
		n.takeChanges(r)
	}
	return nil
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
	r, err = n.cfg.Peers.Beat(ctx, address, b)
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
	n.mu.Lock()
	defer n.mu.Unlock()
	self := n.cfg.Self
	self.Leaving = n.leaving
	b := coordinator.Beat{Member: self, Draining: draining}
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
		b.Owned = append(b.Owned, g.Ownership)
	}
	return b, n.tenure.record.Address
}

// accept takes a reply in. A frozen reply changes nothing, but shows that the coordinator is there.
func (n *Node) accept(sentAt time.Time, r coordinator.Reply) {
	now := time.Now()
	n.mu.Lock()
	n.lastReply, n.frozen = now, r.Frozen
	if r.Frozen {
		n.mu.Unlock()
		return
	}
	grants := map[string]grant{}
	for _, g := range r.Grants {
		had := n.grants[g.Engine]
		grants[g.Engine] = grant{Ownership: g, until: sentAt.Add(r.Term), released: had.released && had.Epoch == g.Epoch}
	}
	n.grants = grants
	n.mu.Unlock()
	n.lease.Observe(now, r.Lease, r.LeaseVersion)
	n.cfg.Holder.Update(r.Grants, r.Release)
}
