package member

import (
	"time"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/figures"
)

// Figures exchanges figures of this box with the rest of the cell through heartbeats.
type Figures interface {
	// Collect returns what this box tells with its next heartbeat.
	Collect(now time.Time) figures.Upload
	// Confirm records that the coordinator has answered the heartbeat with the result of the last Collect.
	Confirm()
	// Merge takes in what a box has told; it is called on the coordinator only. Aggregators pass uploads on unchanged.
	Merge(now time.Time, box string, u figures.Upload)
	// Digest returns what the receiver of a reply lacks. The reply answers a number of heartbeats, which is above one only for a batch. An
	// aggregator answers its boxes from what it has applied itself.
	Digest(now time.Time, box string, heartbeats int) figures.Digest
	// Apply takes in a reply to a message sent at sentAt.
	Apply(now, sentAt time.Time, d figures.Digest)
}

// collectFigures adds to a heartbeat what this box tells. Heartbeats that omit unchanged holdings carry it too.
func (n *Node) collectFigures(b *coordinator.Beat) {
	if n.cfg.Figures == nil {
		return
	}
	u := n.cfg.Figures.Collect(clock.Now())
	b.EngineLoads, b.Demand = u.EngineLoads, u.Demand
}

// confirmFigures records that the coordinator has answered the last heartbeat.
func (n *Node) confirmFigures() {
	if n.cfg.Figures != nil {
		n.cfg.Figures.Confirm()
	}
}

// mergeFigures records on the coordinator what a box has told.
func (n *Node) mergeFigures(now time.Time, b coordinator.Beat) {
	if n.cfg.Figures != nil {
		n.cfg.Figures.Merge(now, b.Member.Box, figures.Upload{EngineLoads: b.EngineLoads, Demand: b.Demand})
	}
}

// addFigures adds to the reply to a number of heartbeats what the receiving box lacks.
func (n *Node) addFigures(box string, heartbeats int, updates *coordinator.Updates) {
	if n.cfg.Figures == nil {
		return
	}
	d := n.cfg.Figures.Digest(clock.Now(), box, heartbeats)
	updates.EngineLoads, updates.Shares = d.EngineLoads, d.Shares
}

// applyFigures applies the figures in a reply of the coordinator, or of an aggregator that has reached it.
func (n *Node) applyFigures(updates coordinator.Updates, sentAt time.Time) {
	if n.cfg.Figures != nil {
		n.cfg.Figures.Apply(clock.Now(), sentAt, figures.Digest{EngineLoads: updates.EngineLoads, Shares: updates.Shares})
	}
}
