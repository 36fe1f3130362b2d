package coordinator_test

import (
	"time"

	"github.com/bellgap/bellgap/internal/coordinator"
)

const (
	beatInterval = 400 * time.Millisecond
	term         = 7 * time.Second
	orderGap     = 3 * time.Second

	engineName = "e-1"
)

// simulation runs a coordinator with one engine in simulated time.
type simulation struct {
	cfg   coordinator.Config
	now   time.Time
	state *coordinator.State
}

func newSimulation(cfg coordinator.Config) *simulation {
	sim := &simulation{now: time.Unix(1000, 0)}
	cfg.Cell, cfg.Box, cfg.Lease, cfg.Term, cfg.Drain, cfg.Started = "c", "a", 1, term, time.Minute, sim.now
	sim.cfg = cfg
	sim.state = coordinator.New(cfg, coordinator.Map{})
	return sim
}

// takeOver replaces the coordinator by one that continues from the stored map, after an outage without any coordinator. The new
// coordinator stands for another box or for a new process of the same box.
func (sim *simulation) takeOver(outage time.Duration) {
	stored := sim.state.Map()
	sim.now = sim.now.Add(outage)
	sim.cfg.Started, sim.cfg.Lease = sim.now, sim.cfg.Lease+1
	sim.state = coordinator.New(sim.cfg, stored)
}

// sendBeat sends a heartbeat without a sequence number. Such a heartbeat is never rejected.
func (sim *simulation) sendBeat(box, incarnation string) {
	_ = sim.state.RecordBeat(sim.now, coordinator.Beat{Member: coordinator.Member{Box: box, Zone: "z", Incarnation: incarnation}})
}

func (sim *simulation) tickAfter(after time.Duration) {
	sim.now = sim.now.Add(after)
	sim.state.Tick(sim.now, []coordinator.Engine{{Name: engineName, Zone: "z"}})
}

func (sim *simulation) ownership() coordinator.Ownership {
	for _, o := range sim.state.Map().Owners {
		if o.Engine == engineName {
			return o
		}
	}
	return coordinator.Ownership{}
}

func (sim *simulation) owner() string { return sim.ownership().Owner }

func (sim *simulation) epoch() uint64 { return sim.ownership().Epoch }

func (sim *simulation) member(box string) coordinator.Member {
	for _, m := range sim.state.Map().Members {
		if m.Box == box {
			return m
		}
	}
	return coordinator.Member{}
}

// isShown reports whether callers are sent to a box.
func (sim *simulation) isShown(box string) bool {
	m := sim.member(box)
	return m.Box != "" && !m.Silent && !m.Leaving
}
