package member

import (
	"context"
	"errors"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/aggregator"
	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/result"
)

// In a large cell boxes send their heartbeats through aggregators. These are ordinary boxes, chosen by a hash over the map. An
// aggregator keeps no state for other boxes: it holds a heartbeat briefly, forwards it in a batch, and returns the coordinator's
// reply to the waiting box. The term of a grant therefore still counts from when the box sent its heartbeat. A lost, suspended or
// disconnected aggregator costs its boxes one wait: within the same round they send directly to the coordinator, and from the next
// round on they use the next aggregator, if there is one.

const (
	// windowDivisor divides the heartbeat period: the result is how long an aggregator collects heartbeats before it sends a batch. Half
	// a period collects the heartbeats of all its boxes in one batch: boxes whose heartbeats were answered together send the next ones
	// half a period later, before a batch that another box began meanwhile is sent. With a quarter there were two or more batches in
	// each period.
	windowDivisor = 2
	// batchTimeoutBeats is the time limit of a call with a batch, in heartbeat periods. aggregatorTimeoutBeats is that of a heartbeat sent
	// through an aggregator: the window, the batch, and some time for the aggregator itself.
	batchTimeoutBeats      = 0.65
	aggregatorTimeoutBeats = 1.2
	// skipBeats is how many heartbeat periods an aggregator that did not answer is skipped. If it is lost, the map shows it as silent
	// before that. refusedSkipBeats is the same for an aggregator that answered that it could not forward the heartbeat.
	skipBeats        = 10
	refusedSkipBeats = 2
)

// pendingBeat is a heartbeat that waits to be forwarded.
type pendingBeat struct {
	ctx  context.Context
	beat coordinator.Beat
	// outcome has a buffer of one, so that the sender never blocks.
	outcome chan forwardResult
}

// forwardResult is the outcome of a forwarded heartbeat.
type forwardResult struct {
	reply coordinator.Reply
	err   error
}

// aggregatorChoice holds the aggregators that this box may use, and the cell map from which they were chosen.
type aggregatorChoice struct {
	version     objects.Position
	generation  int64
	aggregators []coordinator.Member
}

// Receive handles the heartbeat of a box. It forwards the heartbeat if the box requests that and this box does not coordinate.
func (n *Node) Receive(ctx context.Context, b coordinator.Beat) (coordinator.Reply, error) {
	if !b.PassOn || n.coordinatorState() != nil {
		return n.HandleBeat(b)
	}
	return n.forwardBeat(ctx, b)
}

// forwardBeat forwards a heartbeat in a batch and waits for the reply.
func (n *Node) forwardBeat(ctx context.Context, b coordinator.Beat) (coordinator.Reply, error) {
	if b.Lease != n.leaseEpoch() {
		return n.unreachedReply(b), nil
	}
	pending := pendingBeat{ctx: ctx, beat: b, outcome: make(chan forwardResult, 1)}
	if !n.enqueueBeat(pending) {
		return coordinator.Reply{}, result.New(result.NotPassedOn, "%s has stopped forwarding heartbeats", n.cfg.Self.Box)
	}
	select {
	case p := <-pending.outcome:
		return p.reply, p.err
	case <-ctx.Done():
		return coordinator.Reply{}, ctx.Err()
	}
}

// leaseEpoch returns the epoch of the coordinator's lease as last seen by this box.
func (n *Node) leaseEpoch() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaseView.record.Epoch
}

// enqueueBeat adds a heartbeat to the current batch or begins a batch. It returns false once batches are stopped.
func (n *Node) enqueueBeat(pending pendingBeat) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.batchesStopped {
		return false
	}
	if n.collector.Add(clock.Now(), pending) {
		n.batches.Go(func() error {
			time.Sleep(n.cfg.Timing.Beat / windowDivisor)
			n.forwardBatch()
			return nil
		})
	}
	return true
}

// stopBatches lets no further batch begin and waits for those in progress.
func (n *Node) stopBatches() {
	n.mu.Lock()
	n.batchesStopped = true
	n.mu.Unlock()
	// The goroutines of batches return no error.
	_ = n.batches.Wait()
}

// forwardBatch sends the collected heartbeats to the coordinator and distributes the replies.
func (n *Node) forwardBatch() {
	n.mu.Lock()
	all, fresh := n.collector.Take(clock.Now())
	address, lease := n.leaseView.record.Address, n.leaseView.record.Epoch
	n.mu.Unlock()
	var batch []pendingBeat
	for _, pending := range all {
		// If the sender no longer waits, nobody needs the reply, and the heartbeat would arrive after a later one.
		if fresh && address != "" && pending.beat.Lease == lease && pending.ctx.Err() == nil {
			batch = append(batch, pending)
			continue
		}
		n.cfg.Scope.Counter("beats_not_passed").Inc(1)
		pending.outcome <- forwardResult{err: result.New(result.NotPassedOn, "coordinator %s with epoch %d, fresh %t", address, lease, fresh)}
	}
	if len(batch) == 0 {
		return
	}
	sentAt := clock.Now()
	reply, err := n.sendBatch(address, batch)
	if err != nil {
		n.cfg.Scope.Counter("batch_failures").Inc(1)
		klog.V(1).InfoS("heartbeat batch not delivered", "cell", n.cfg.Cell, "beats", len(batch), "coordinator", address, "err", err)
		for _, pending := range batch {
			pending.outcome <- forwardResult{reply: n.unreachedReply(pending.beat)}
		}
		return
	}
	n.cfg.Scope.Counter("beats_passed").Inc(int64(len(batch)))
	n.applyUpdates(reply.Updates, sentAt)
	n.applyFigures(reply.Updates, sentAt)
	n.mu.Lock()
	n.lastBatchSize = len(batch)
	n.mu.Unlock()
	for i, pending := range batch {
		pending.outcome <- n.buildForwardResult(pending.beat, reply.Answers[i], reply.Updates.StoreAge)
	}
}

// sendBatch sends a batch to the coordinator and returns its reply.
func (n *Node) sendBatch(address string, batch []pendingBeat) (coordinator.BatchReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(batchTimeoutBeats*float64(n.cfg.Timing.Beat)))
	defer cancel()
	out := coordinator.Batch{Box: n.cfg.Self.Box}
	if n.cfg.Spread != nil {
		m, _, _ := n.cfg.Catalog.Map(n.cfg.Cell)
		out.Known, out.MapGeneration = n.cfg.Spread.KnownRevisions(), m.Generation
	}
	for _, pending := range batch {
		beat := pending.beat
		beat.Known, beat.MapGeneration, beat.PassOn = nil, 0, false
		out.Beats = append(out.Beats, beat)
	}
	reply, err := n.cfg.Peers.BeatBatch(ctx, address, out)
	if err == nil && len(reply.Answers) != len(batch) {
		return reply, result.New(result.BadRequest, "received %d answers to %d heartbeats", len(reply.Answers), len(batch))
	}
	return reply, err
}

// buildForwardResult returns the result for one box: the coordinator's reply, with the changes that this box has and the other lacks.
// The reply's store age is at least that of the coordinator's updates. It is larger if this box itself lacks some changes.
func (n *Node) buildForwardResult(b coordinator.Beat, a coordinator.Answer, storeAge time.Duration) forwardResult {
	if a.Code != result.OK {
		return forwardResult{err: result.New(a.Code, "heartbeat forwarded by %s", n.cfg.Self.Box)}
	}
	r := a.Reply
	if b.Member.Box == n.cfg.Self.Box {
		return forwardResult{reply: r}
	}
	n.addLocalUpdates(b, &r.Updates)
	n.addFigures(b.Member.Box, 1, &r.Updates)
	r.StoreAge = max(r.StoreAge, storeAge)
	return forwardResult{reply: r}
}

// addLocalUpdates adds the changes that this box knows and the sender of the heartbeat does not, whatever their source.
func (n *Node) addLocalUpdates(b coordinator.Beat, updates *coordinator.Updates) {
	m, version, known := n.cfg.Catalog.Map(n.cfg.Cell)
	n.mu.Lock()
	defer n.mu.Unlock()
	if known && n.state == nil {
		n.history.Set(m)
		n.historyVersion = version
	}
	n.addUpdates(b.Known, b.MapGeneration, updates)
}

// unreachedReply answers a heartbeat that could not be forwarded. While the coordinator is unreachable, an aggregator reads the store
// itself and sends the changes to its boxes. The number of platform calls in a takeover thus grows with the aggregators, not with the
// boxes.
func (n *Node) unreachedReply(b coordinator.Beat) coordinator.Reply {
	n.cfg.Scope.Counter("beats_not_passed").Inc(1)
	var r coordinator.Reply
	if b.Member.Box != n.cfg.Self.Box {
		n.addLocalUpdates(b, &r.Updates)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	r.Unreached = &coordinator.LeaseStatus{Lease: n.leaseView.record, Version: n.leaseView.version}
	return r
}

// coordinatorUnreachedError reports that an aggregator could not forward a heartbeat to the coordinator.
type coordinatorUnreachedError struct{ *coordinator.LeaseStatus }

// Error implements error.
func (e coordinatorUnreachedError) Error() string {
	return fmt.Sprintf("member: aggregator could not reach coordinator %s with epoch %d", e.Lease.Holder, e.Lease.Epoch)
}

// routeBeat sends a heartbeat to the coordinator, in a large cell through an aggregator. If the aggregator fails, the heartbeat is sent
// directly, unless the aggregator knows of a later coordinator.
func (n *Node) routeBeat(ctx context.Context, address string, b coordinator.Beat) (coordinator.Reply, error) {
	agg, ok := n.currentAggregator()
	n.setAggregator(agg.Box)
	if !ok {
		return n.sendDirect(ctx, address, b)
	}
	r, err := n.sendViaAggregator(ctx, agg, b)
	if err == nil && r.Unreached == nil || hasCode(err, result.UnknownBase) {
		return r, err
	}
	if r.Unreached != nil {
		err = coordinatorUnreachedError{r.Unreached}
	}
	n.cfg.Scope.Counter("aggregator_failures").Inc(1)
	klog.V(1).InfoS("aggregator failed; skipping it for some time", "cell", n.cfg.Cell, "aggregator", agg.Box, "err", err)
	n.skipAggregator(agg, err)
	if r.Unreached != nil && r.Unreached.Lease.Epoch > b.Lease {
		return r, err
	}
	if direct, directErr := n.sendDirect(ctx, address, b); directErr == nil {
		return direct, nil
	}
	return r, err
}

// setAggregator records which box forwards the heartbeats now; an empty name stands for direct sending.
func (n *Node) setAggregator(box string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.aggregator != box {
		klog.V(1).InfoS("aggregator of heartbeats changed", "cell", n.cfg.Cell, "was", n.aggregator, "is", box)
		n.aggregator = box
	}
}

// sendDirect sends a heartbeat directly to a box and applies the updates in the reply.
func (n *Node) sendDirect(ctx context.Context, address string, b coordinator.Beat) (coordinator.Reply, error) {
	sentAt := clock.Now()
	r, err := n.cfg.Peers.Beat(ctx, address, b)
	if err == nil {
		n.applyUpdates(r.Updates, sentAt)
	}
	if err == nil && r.Unreached == nil {
		n.applyFigures(r.Updates, sentAt)
	}
	return r, err
}

// skipAggregator excludes an aggregator for some heartbeat periods.
func (n *Node) skipAggregator(agg coordinator.Member, err error) {
	beats := skipBeats * n.cfg.Timing.Beat
	if errors.As(err, &coordinatorUnreachedError{}) || hasCode(err, result.NotPassedOn) {
		beats = refusedSkipBeats * n.cfg.Timing.Beat
	}
	n.skippedUntil[agg.Peer.String()] = clock.Now().Add(beats)
}

// sendViaAggregator sends a heartbeat through an aggregator, which may be this box.
func (n *Node) sendViaAggregator(ctx context.Context, agg coordinator.Member, b coordinator.Beat) (coordinator.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(aggregatorTimeoutBeats*float64(n.cfg.Timing.Beat)))
	defer cancel()
	if agg.Box == n.cfg.Self.Box {
		// forwardBatch has already applied the updates.
		return n.forwardBeat(ctx, b)
	}
	b.PassOn = true
	return n.sendDirect(ctx, agg.Peer.String(), b)
}

// currentAggregator returns the aggregator that this box should use now, if any.
func (n *Node) currentAggregator() (coordinator.Member, bool) {
	if n.isFinalBeat {
		return coordinator.Member{}, false
	}
	m, version, _ := n.cfg.Catalog.Map(n.cfg.Cell)
	if version != n.choice.version || m.Generation != n.choice.generation {
		n.choice = aggregatorChoice{version, m.Generation, aggregator.Choose(m, n.cfg.Self.Box, n.cfg.Self.Zone)}
	}
	now := clock.Now()
	for _, a := range n.choice.aggregators {
		if !now.Before(n.skippedUntil[a.Peer.String()]) {
			delete(n.skippedUntil, a.Peer.String())
			return a, true
		}
	}
	return coordinator.Member{}, false
}
