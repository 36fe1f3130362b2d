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

// In a large cell boxes send their heartbeats through aggregators, boxes like any other that the map and a hash choose. An aggregator keeps no
// state for them: it holds a heartbeat for a moment, passes it on with others, and hands the coordinator's reply to the box that waits for it.
// So a grant's term still counts from when the box sent its heartbeat, and an aggregator that is lost, frozen or cut off costs its boxes the
// wait for it, once: they go on with the next one, or straight to the coordinator, within the same round.

const (
	// windowShare is the part of the time between heartbeats that an aggregator waits for others. Half gathers all of its boxes in one batch:
	// those that were answered together are back, half a heartbeat later, before a batch that another began meanwhile is sent. With a
	// quarter there were two batches a heartbeat and more.
	windowShare = 2
	// batchShare is the part of the time between heartbeats that a batch may take to be answered, viaShare the same for a heartbeat through
	// an aggregator: the window, a batch, and a little for the box in between.
	batchShare = 0.65
	viaShare   = 1.2
	// avoidBeats is for how many heartbeats an aggregator that did not answer is passed over; the map shows it as silent before that if it
	// is lost. refusedBeats is the same for one that answered that it could not pass the heartbeat on.
	avoidBeats   = 10
	refusedBeats = 2
)

// waiting is a heartbeat that waits to be passed on.
type waiting struct {
	ctx  context.Context
	beat coordinator.Beat
	// answer has room for the one that comes.
	answer chan passed
}

// passed is the outcome of a heartbeat that was passed on.
type passed struct {
	reply coordinator.Reply
	err   error
}

// chosen is the aggregators that this box may use by one cell map.
type chosen struct {
	version     objects.Position
	generation  int64
	aggregators []coordinator.Member
}

// Receive answers the heartbeat of a box, or passes it on if the box asks for that.
func (n *Node) Receive(ctx context.Context, b coordinator.Beat) (coordinator.Reply, error) {
	if !b.PassOn || n.coordinating() != nil {
		return n.HandleBeat(b)
	}
	return n.passOn(ctx, b)
}

// passOn passes a heartbeat on in a batch with others and waits for the reply to it.
func (n *Node) passOn(ctx context.Context, b coordinator.Beat) (coordinator.Reply, error) {
	if b.Lease != n.leaseEpoch() {
		return n.unreached(b), nil
	}
	w := waiting{ctx: ctx, beat: b, answer: make(chan passed, 1)}
	if !n.collect(w) {
		return coordinator.Reply{}, result.New(result.NotPassedOn, "%s has ended", n.cfg.Self.Box)
	}
	select {
	case p := <-w.answer:
		return p.reply, p.err
	case <-ctx.Done():
		return coordinator.Reply{}, ctx.Err()
	}
}

// leaseEpoch returns the epoch of the coordinator's lease as far as it is known here.
func (n *Node) leaseEpoch() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.tenure.record.Epoch
}

// collect adds a heartbeat to the batch that is being gathered, or begins one; it does neither once the node has ended.
func (n *Node) collect(w waiting) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended {
		return false
	}
	if n.collector.Add(clock.Now(), w) {
		n.batches.Go(func() error {
			time.Sleep(n.cfg.Timing.Beat / windowShare)
			n.passBatch()
			return nil
		})
	}
	return true
}

// endBatches waits for the batches that are being passed on and lets no other begin.
func (n *Node) endBatches() {
	n.mu.Lock()
	n.ended = true
	n.mu.Unlock()
	// Batches return no error.
	_ = n.batches.Wait()
}

// passBatch sends what has been collected to the coordinator and hands the replies out.
func (n *Node) passBatch() {
	n.mu.Lock()
	all, fresh := n.collector.Take(clock.Now())
	address, lease := n.tenure.record.Address, n.tenure.record.Epoch
	n.mu.Unlock()
	var batch []waiting
	for _, w := range all {
		// A sender that has gone on waits for no reply, and its heartbeat would come after a later one.
		if fresh && address != "" && w.beat.Lease == lease && w.ctx.Err() == nil {
			batch = append(batch, w)
			continue
		}
		n.cfg.Scope.Counter("beats_not_passed").Inc(1)
		w.answer <- passed{err: result.New(result.NotPassedOn, "coordinator %s with epoch %d, fresh %t", address, lease, fresh)}
	}
	if len(batch) == 0 {
		return
	}
	sentAt := clock.Now()
	reply, err := n.callBatch(address, batch)
	if err != nil {
		n.cfg.Scope.Counter("batch_failures").Inc(1)
		klog.V(1).InfoS("heartbeats not passed on", "cell", n.cfg.Cell, "beats", len(batch), "coordinator", address, "err", err)
		for _, w := range batch {
			w.answer <- passed{reply: n.unreached(w.beat)}
		}
		return
	}
	n.cfg.Scope.Counter("beats_passed").Inc(int64(len(batch)))
	n.takeNews(reply.News, sentAt)
	n.mu.Lock()
	n.passesOn = len(batch)
	n.mu.Unlock()
	for i, w := range batch {
		w.answer <- n.handOut(w.beat, reply.Answers[i], reply.News.StoreAge)
	}
}

// callBatch sends a batch to the coordinator.
func (n *Node) callBatch(address string, batch []waiting) (coordinator.BatchReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(batchShare*float64(n.cfg.Timing.Beat)))
	defer cancel()
	out := coordinator.Batch{Box: n.cfg.Self.Box}
	if n.cfg.Spread != nil {
		m, _, _ := n.cfg.Catalog.Map(n.cfg.Cell)
		out.Known, out.MapGeneration = n.cfg.Spread.Known(), m.Generation
	}
	for _, w := range batch {
		b := w.beat
		b.Known, b.MapGeneration, b.PassOn = nil, 0, false
		out.Beats = append(out.Beats, b)
	}
	reply, err := n.cfg.Peers.BeatBatch(ctx, address, out)
	if err == nil && len(reply.Answers) != len(batch) {
		return reply, result.New(result.BadRequest, "%d answers to %d heartbeats", len(reply.Answers), len(batch))
	}
	return reply, err
}

// handOut returns what a box is told: the coordinator's reply to it, and what this one knows and the box does not. The news are as old as
// the coordinator's word, or older where this box lacks something itself.
func (n *Node) handOut(b coordinator.Beat, a coordinator.Answer, age time.Duration) passed {
	if a.Code != result.OK {
		return passed{err: result.New(a.Code, "passed on by %s", n.cfg.Self.Box)}
	}
	r := a.Reply
	if b.Member.Box == n.cfg.Self.Box {
		return passed{reply: r}
	}
	n.addOwnNews(b, &r.News)
	r.StoreAge = max(r.StoreAge, age)
	return passed{reply: r}
}

// addOwnNews adds what this box knows and another does not, by whatever way it came here.
func (n *Node) addOwnNews(b coordinator.Beat, news *coordinator.News) {
	m, version, known := n.cfg.Catalog.Map(n.cfg.Cell)
	n.mu.Lock()
	defer n.mu.Unlock()
	if known && n.state == nil {
		n.history.Set(m)
		n.mapStored = version
	}
	n.addNews(b.Known, b.MapGeneration, news)
}

// unreached answers a heartbeat that could not be passed on. While the coordinator is away the boxes of an aggregator are told of changes by
// it, as it asks the store itself then: the calls of a takeover grow with the aggregators and not with the boxes.
func (n *Node) unreached(b coordinator.Beat) coordinator.Reply {
	n.cfg.Scope.Counter("beats_not_passed").Inc(1)
	var r coordinator.Reply
	if b.Member.Box != n.cfg.Self.Box {
		n.addOwnNews(b, &r.News)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	r.Unreached = &coordinator.Unreached{Lease: n.tenure.record, Version: n.tenure.version}
	return r
}

// unreachedError ends a heartbeat that an aggregator could not pass on.
type unreachedError struct{ *coordinator.Unreached }

// Error implements error.
func (e unreachedError) Error() string {
	return fmt.Sprintf("member: the aggregator could not reach coordinator %s with epoch %d", e.Lease.Holder, e.Lease.Epoch)
}

// send sends a heartbeat to the coordinator, in a large cell through an aggregator. Where that has heard of a later coordinator, this one is
// not asked.
func (n *Node) send(ctx context.Context, address string, b coordinator.Beat) (coordinator.Reply, error) {
	via, ok := n.via()
	n.noteAggregator(via.Box)
	if !ok {
		return n.sendTo(ctx, address, b)
	}
	r, err := n.sendVia(ctx, via, b)
	if err == nil && r.Unreached == nil || isCode(err, result.UnknownBase) {
		return r, err
	}
	if r.Unreached != nil {
		err = unreachedError{r.Unreached}
	}
	n.cfg.Scope.Counter("aggregator_failures").Inc(1)
	klog.V(1).InfoS("aggregator passed over", "cell", n.cfg.Cell, "aggregator", via.Box, "err", err)
	n.avoid(via, err)
	if r.Unreached != nil && r.Unreached.Lease.Epoch > b.Lease {
		return r, err
	}
	if direct, directErr := n.sendTo(ctx, address, b); directErr == nil {
		return direct, nil
	}
	return r, err
}

// noteAggregator notes by which box heartbeats go now, none for straight to the coordinator.
func (n *Node) noteAggregator(box string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.aggregator != box {
		klog.V(1).InfoS("heartbeats go by another box", "cell", n.cfg.Cell, "was", n.aggregator, "is", box)
		n.aggregator = box
	}
}

// sendTo sends a heartbeat straight to a box and takes the news in.
func (n *Node) sendTo(ctx context.Context, address string, b coordinator.Beat) (coordinator.Reply, error) {
	sentAt := clock.Now()
	r, err := n.cfg.Peers.Beat(ctx, address, b)
	if err == nil {
		n.takeNews(r.News, sentAt)
	}
	return r, err
}

// avoid passes an aggregator over for a while.
func (n *Node) avoid(via coordinator.Member, err error) {
	beats := avoidBeats * n.cfg.Timing.Beat
	if errors.As(err, &unreachedError{}) || isCode(err, result.NotPassedOn) {
		beats = refusedBeats * n.cfg.Timing.Beat
	}
	n.avoided[via.Peer.String()] = clock.Now().Add(beats)
}

// sendVia sends a heartbeat through an aggregator, which may be this box.
func (n *Node) sendVia(ctx context.Context, via coordinator.Member, b coordinator.Beat) (coordinator.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(viaShare*float64(n.cfg.Timing.Beat)))
	defer cancel()
	if via.Box == n.cfg.Self.Box {
		// The news came with the batch.
		return n.passOn(ctx, b)
	}
	b.PassOn = true
	return n.sendTo(ctx, via.Peer.String(), b)
}

// via returns the aggregator that this box is to use now, if any.
func (n *Node) via() (coordinator.Member, bool) {
	if n.ending {
		return coordinator.Member{}, false
	}
	m, version, _ := n.cfg.Catalog.Map(n.cfg.Cell)
	if version != n.chosen.version || m.Generation != n.chosen.generation {
		n.chosen = chosen{version, m.Generation, aggregator.Choose(m, n.cfg.Self.Box, n.cfg.Self.Zone)}
	}
	now := clock.Now()
	for _, a := range n.chosen.aggregators {
		if !now.Before(n.avoided[a.Peer.String()]) {
			delete(n.avoided, a.Peer.String())
			return a, true
		}
	}
	return coordinator.Member{}, false
}
