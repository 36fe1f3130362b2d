package owner

import (
	"math"
	"time"

	"github.com/bellgap/bellgap/internal/engineload"
)

// carriedSamples is the number of samples for which a prefill rate observed by a previous owner counts.
const carriedSamples = 10

// publishedLoad is the last report of an engine's load that a Runner has made.
type publishedLoad struct {
	report engineload.Report
	madeAt time.Time
}

// Load returns the report of the engine's load. It returns false while the engine accepts no requests or its loaded adapters are
// unknown.
func (s *State) Load(now time.Time) (engineload.Report, bool) {
	if s.stopped || s.closed || s.awaitingReport {
		return engineload.Report{}, false
	}
	free := s.cfg.Slots - len(s.slots)
	for _, sl := range s.slots {
		if s.isEvictable(now, sl) {
			free++
		}
	}
	r := engineload.Report{
		PrefillRate: s.prefill.observedRate(), Backlog: max(0, s.prefill.backlog(now, math.MinInt)), Running: len(s.running), Waiting: len(s.waiting),
		FreeSlots: max(0, free), LoadTime: s.expectedLoadTime(now), EventGap: s.EventGap(now), UndisturbedRate: s.prefill.speed.undisturbed,
	}
	if r.FreeSlots == 0 {
		// A ticket of the lowest urgency waits until all waiting tickets have slots.
		r.SlotWait = s.slotWait(now, Ticket{Urgency: math.MinInt})
	}
	return r, true
}

// observedRate returns the observed prefill rate in tokens per second, or zero if nothing has been observed.
func (r *prefillTracker) observedRate() float64 {
	if r.samples == 0 || r.timePerToken <= 0 {
		return 0
	}
	return float64(time.Second) / float64(r.timePerToken)
}

// carryRate starts from the prefill rate that a previous owner of the engine has observed.
func (r *prefillTracker) carryRate(perSecond float64) {
	if perSecond > 0 {
		r.timePerToken, r.samples = time.Duration(float64(time.Second)/perSecond), carriedSamples
	}
}

// publishLoad makes the report that Load returns, and records it for the choices of this box. Only the loop may call it.
func (r *Runner) publishLoad(now time.Time) {
	if !r.cfg.Engine.Scarce || r.cfg.EngineLoads == nil {
		return
	}
	report, ok := r.state.Load(now)
	if !ok {
		r.lastLoad.Store(nil)
		return
	}
	report.Engine, report.Started, report.Epoch, report.Sequence = r.cfg.Name, r.cfg.Engine.Started, r.cfg.Epoch, r.cfg.NextLoadSequence()
	r.lastLoad.Store(&publishedLoad{report, now})
	r.cfg.EngineLoads.RecordAnswer(now, report)
}

// Load returns the report of the engine's load with its age. It returns false if the engine is not scarce or accepts no requests now.
func (r *Runner) Load(now time.Time) (engineload.Sent, bool) {
	p := r.lastLoad.Load()
	if p == nil || r.hasEnded() {
		return engineload.Sent{}, false
	}
	return engineload.Sent{Report: p.report, Age: max(0, now.Sub(p.madeAt))}, true
}

// Loads returns the reports of all owned engines that are scarce and accept requests, in no particular order.
func (s *Set) Loads(now time.Time) []engineload.Sent {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []engineload.Sent
	for _, o := range s.owned {
		if load, ok := o.runner.Load(now); ok {
			all = append(all, load)
		}
	}
	return all
}
