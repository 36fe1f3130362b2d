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
	now   time.Time
	state *coordinator.State
}

func newWorld(cfg coordinator.Config) *world {
	w := &world{now: time.Unix(1000, 0)}
	cfg.Cell, cfg.Box, cfg.Lease, cfg.Term, cfg.Drain, cfg.Started = "c", "a", 1, term, time.Minute, w.now
	w.state = coordinator.New(cfg, coordinator.Map{})
	return w
}

func (w *world) beat(box, incarnation string) {
	w.state.Beat(w.now, coordinator.Beat{Member: coordinator.Member{Box: box, Zone: "z", Incarnation: incarnation}})
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
