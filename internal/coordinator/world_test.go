package coordinator_test

import (
	"time"

	"github.com/bellgap/bellgap/internal/coordinator"
)

const (
	beat = 400 * time.Millisecond
	term = 7 * time.Second
	gap  = 3 * time.Second

	engineName = "e-1"
)

// world is a coordinator with one engine, in a time of its own.
type world struct {
	cfg   coordinator.Config
	now   time.Time
	state *coordinator.State
}

func newWorld(cfg coordinator.Config) *world {
	w := &world{now: time.Unix(1000, 0)}
	cfg.Cell, cfg.Box, cfg.Lease, cfg.Term, cfg.Drain, cfg.Started = "c", "a", 1, term, time.Minute, w.now
	w.cfg = cfg
	w.state = coordinator.New(cfg, coordinator.Map{})
	return w
}

// takeOver has another coordinator, or the next process of the same one, go on from the stored map after a time without any.
func (w *world) takeOver(without time.Duration) {
	stored := w.state.Map()
	w.now = w.now.Add(without)
	w.cfg.Started, w.cfg.Lease = w.now, w.cfg.Lease+1
	w.state = coordinator.New(w.cfg, stored)
}

// beat sends a heartbeat without a number, which is never refused.
func (w *world) beat(box, incarnation string) {
	_ = w.state.Beat(w.now, coordinator.Beat{Member: coordinator.Member{Box: box, Zone: "z", Incarnation: incarnation}})
}

func (w *world) tick(after time.Duration) {
	w.now = w.now.Add(after)
	w.state.Tick(w.now, []coordinator.Engine{{Name: engineName, Zone: "z"}})
}

func (w *world) ownership() coordinator.Ownership {
	for _, o := range w.state.Map().Owners {
		if o.Engine == engineName {
			return o
		}
	}
	return coordinator.Ownership{}
}

func (w *world) owner() string { return w.ownership().Owner }

func (w *world) epoch() uint64 { return w.ownership().Epoch }

func (w *world) member(box string) coordinator.Member {
	for _, m := range w.state.Map().Members {
		if m.Box == box {
			return m
		}
	}
	return coordinator.Member{}
}

// shows reports whether callers are sent to a box.
func (w *world) shows(box string) bool {
	m := w.member(box)
	return m.Box != "" && !m.Silent && !m.Leaving
}
