// Package owner decides for one engine which request starts, which adapter is loaded and which is unloaded.
// State makes the decisions without any I/O. Runner carries them out.
package owner

import (
	"maps"
	"slices"
	"time"

	"github.com/bellgap/bellgap/internal/brittle"
	"github.com/bellgap/bellgap/internal/continuity"
	"github.com/bellgap/bellgap/internal/loadpace"
	"github.com/bellgap/bellgap/internal/policy"
	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// Defaults and limits of a State.
const (
	defaultHalfLife = 10 * time.Minute
	// defaultLoadTime is the expected load time of an adapter until a load has been observed. Engines load an adapter in 250 ms.
	defaultLoadTime = 280 * time.Millisecond
	defaultBackoff  = time.Second
	maxBackoff      = time.Minute
	// brokenRunLinger is the time for which an engine may continue a run whose answer broke off.
	brokenRunLinger = 5 * time.Second
	// shortRunLinger replaces brokenRunLinger on scarce engines that finish runs before they unload. It gives such an engine time to
	// notice the closed connection.
	shortRunLinger = 250 * time.Millisecond
	// loadTimeSmoothing is the weight of the newest load in the mean load time.
	loadTimeSmoothing = 0.2
	// maxUseRates is the maximum number of adapters whose use rate is stored.
	maxUseRates = 4096
	// maxPackDelay is the longest time for which Config.Pack delays a ticket.
	maxPackDelay = time.Minute
	// crowdedDivisor is the divisor of the batch size that gives the number of tickets ahead at which a full engine counts as
	// crowded.
	crowdedDivisor = 4
	// maxPermitRequests is the maximum number of pending permit requests.
	maxPermitRequests = 8
	// unloadPause is the minimum time between a failed unload and the next unload. Without this pause a box that had lost its
	// authority created 16,000 unload orders per second, refused each order itself, and had no CPU time left to apply a new
	// configuration.
	unloadPause = 200 * time.Millisecond
	// uncertainLoadTime is the time in which an engine may still carry out an unanswered order. Engines took up to 12 s.
	uncertainLoadTime = 15 * time.Second
)

// Config configures a State.
type Config struct {
	// Slots is the number of adapters that the engine can hold.
	Slots int
	// Batch is the number of sequences that the engine runs concurrently.
	Batch int
	// MaxQueue is the maximum number of waiting tickets.
	MaxQueue int
	// Pack delays tickets of urgency 0 until urgent tickets run, for at most maxPackDelay. This fills the engine's steps better.
	Pack bool
	// HalfLife is the time in which the weight of a past use falls by half.
	HalfLife time.Duration
	// KVTokens is the maximum number of tokens of the running tickets. Zero means no limit.
	KVTokens int
	// PrefillRate is the initial estimate of the engine's prefill rate in prompt tokens per second. Observed rates replace it. Zero
	// leaves prompts out of the expected wait.
	PrefillRate float64
	// FinishesFirst is true if the engine finishes the runs of an adapter before it unloads or replaces the adapter, and if loading
	// a version of an adapter replaces its other versions.
	FinishesFirst bool
	// Scarce is true if the engine has so few slots that all of them are used and its loads are paced, as Policy allows.
	Scarce bool
	// AwaitReport delays loads until Adopt has been called with the loaded adapters.
	AwaitReport bool
	// LimitGaps limits the prompts that go to the engine at once, so that the pauses between the events of its streams stay within
	// their objectives.
	LimitGaps bool
	// Policy selects the enabled mechanisms.
	Policy policy.Policy
	// Worth returns the value of keeping an idle adapter loaded. The adapter with the lowest value is unloaded first. If Worth is
	// nil, the use rate of the adapter is the value. Only benchmarks of eviction policies set it.
	Worth func(ref resource.Ref, now time.Time) float64
}

type phase int

const (
	loading phase = iota
	loaded
	unloading
	// uncertain means that a load got no answer. The engine may have loaded the adapter or may still load it.
	uncertain
)

// slot is an adapter that occupies one of the engine's slots.
type slot struct {
	ref   resource.Ref
	phase phase
	// uncertainUntil is the time until which the engine may still carry out an unanswered load.
	uncertainUntil time.Time
	// wasUncertain is true if the load repeats an uncertain load, which the engine may have carried out.
	wasUncertain bool
	// nextLoad is the load to start once this adapter is unloaded.
	nextLoad *Load
	// inherited is true if the previous owner may have requests in flight on the adapter.
	inherited bool
	// loadStarted and loadedAt are the start and end of the load. Both are zero for an adopted adapter.
	loadStarted time.Time
	loadedAt    time.Time
}

// runningTicket holds the data of a running ticket that are needed when the ticket ends.
type runningTicket struct {
	// slot is nil if the ticket runs on the base model.
	slot      *slot
	urgency   int
	tokens    int
	startedAt time.Time
	// concurrency is the number of running tickets at the start, including this one.
	concurrency int
}

// State is the decision state of one engine. It is not safe for concurrent use.
type State struct {
	cfg     Config
	slots   map[resource.Ref]*slot
	waiting []Ticket
	// waiters counts the waiting tickets of each adapter.
	waiters map[resource.Ref]int
	running map[uint64]runningTicket
	// lingerUntil holds, for each adapter, the time until which the engine may still execute a run whose answer broke off.
	lingerUntil map[resource.Ref]time.Time
	// uses counts the running tickets of each adapter. An adapter with running tickets may not be unloaded. The count is kept apart
	// from the slot so that it includes the tickets that started before the adapter was loaded again into a new slot.
	uses map[resource.Ref]int
	// urgentRunning counts the running tickets with an urgency above 0.
	urgentRunning int
	useRates      map[resource.Ref]useRate
	failures      map[resource.Ref]failure
	// meanLoadTime is the mean load time at the time lastLoadAt.
	meanLoadTime time.Duration
	// lastLoadAt is the end of the last observed load.
	lastLoadAt time.Time
	// meanRunTime is the mean time from the start of a run to its end.
	meanRunTime time.Duration
	// permitRequests holds the urgency of each pending permit request.
	permitRequests map[resource.Ref]int
	// stopped is true if the engine is being handed over.
	stopped bool
	// closed is true while the engine accepts no tickets, for example because its box is leaving.
	closed bool
	// awaitingReport is true until the first report shows the loaded adapters.
	awaitingReport bool
	// runningTokens is the total number of tokens of the running tickets.
	runningTokens    int
	prefill          *prefillTracker
	gaps             *gapTracker
	recentlyUnloaded recentAdapters
	// rateLimiter enforces the engine's rate limit. Each request to the engine needs a grant from its owner anyway. Enforcing the
	// limit here therefore needs no extra messages, and the limit also applies to boxes that do not know it.
	rateLimiter ratelimit.Limiter
	// brittle limits the running tickets while the engine is brittle. hasAnswered is set once a ticket has ended whole since the engine
	// started and this box became its owner.
	brittle     brittle.Limiter
	hasAnswered bool
	// brokenUntil holds the times until which a brittle engine may still execute runs that broke off.
	brokenUntil []time.Time
	// pace limits the concurrent loads. It is nil if they are not limited.
	pace *loadpace.Pace
	// unloadFrom is the earliest time of the next unload after a failed unload.
	unloadFrom time.Time
	// uncertainExpired is true if the slot of an uncertain load has expired since the last call of TakeExpired.
	uncertainExpired bool
	// actions holds the actions to return to the caller.
	actions []Action
}

// useRate is a decaying count of uses of an adapter. The count is valid for the time updatedAt and decays from then on.
type useRate struct {
	count     float64
	updatedAt time.Time
}

// failure counts consecutive failed loads of an adapter, which must not be loaded again before until.
type failure struct {
	count int
	until time.Time
}

// New returns the State of an engine without loaded adapters.
func New(cfg Config) *State {
	if cfg.HalfLife <= 0 {
		cfg.HalfLife = defaultHalfLife
	}
	return &State{
		cfg: cfg, slots: map[resource.Ref]*slot{}, running: map[uint64]runningTicket{},
		uses: map[resource.Ref]int{}, lingerUntil: map[resource.Ref]time.Time{},
		useRates: map[resource.Ref]useRate{}, failures: map[resource.Ref]failure{},
		permitRequests: map[resource.Ref]int{}, waiters: map[resource.Ref]int{},
		meanLoadTime: defaultLoadTime, meanRunTime: defaultRunTime,
		awaitingReport: cfg.AwaitReport, recentlyUnloaded: recentAdapters{limit: recentPerSlot * cfg.Slots},
		prefill: newPrefillTracker(cfg.PrefillRate, cfg.KVTokens, cfg.Policy), gaps: newGapTracker(cfg.LimitGaps), pace: newPace(cfg),
	}
}

// Adopt records that the engine has already loaded refs. If inherited is true, they are not unloaded before FinishTakeover
// is called.
func (s *State) Adopt(refs []resource.Ref, inherited bool) {
	s.awaitingReport = false
	for _, r := range refs {
		if sl := s.slots[r]; sl == nil || sl.phase == uncertain {
			s.slots[r] = &slot{ref: r, phase: loaded, inherited: inherited}
		}
	}
}

// FinishTakeover allows the unloading of inherited adapters, because the previous owner has no requests in flight anymore.
func (s *State) FinishTakeover(now time.Time) []Action {
	for _, sl := range s.slots {
		sl.inherited = false
	}
	return s.schedule(now)
}

// ResetAfterRestart removes all loaded adapters, the cached prompt parts and the rate limit, because the engine has restarted
// and is empty.
func (s *State) ResetAfterRestart(now time.Time) []Action {
	for ref, sl := range s.slots {
		if sl.phase == loaded {
			delete(s.slots, ref)
		}
	}
	s.prefill.clearCache()
	s.prefill.speed.reset()
	s.gaps.limiter = continuity.GapLimiter{}
	s.rateLimiter.Reset()
	s.hasAnswered, s.brokenUntil = false, nil
	s.brittle.Restart()
	s.resetPace()
	return s.schedule(now)
}

// RecordFirstToken records that the first token of a running ticket has arrived, which means that the engine has processed its
// prompt. The next prompts may then go to the engine.
func (s *State) RecordFirstToken(now time.Time, id uint64) []Action {
	s.prefill.finish(now, id)
	s.gaps.recordFirstToken(id, s.prefill.unprocessed(now))
	if !s.gaps.limits {
		return nil
	}
	return s.schedule(now)
}

// IsTracked reports whether ref occupies a slot or will be loaded when an unload ends.
func (s *State) IsTracked(ref resource.Ref) bool {
	sl := s.slots[ref]
	return (sl != nil && (sl.phase != uncertain || s.usesAllSlots())) || s.isNextLoad(ref)
}

// LoadedRefs returns the loaded adapters in no particular order.
func (s *State) LoadedRefs() []resource.Ref {
	var refs []resource.Ref
	for ref, sl := range s.slots {
		if sl.phase == loaded {
			refs = append(refs, ref)
		}
	}
	return refs
}

// RemoveLost removes adapters that the engine no longer has. Adapters in use are kept, since the results of their runs show
// whether they are still loaded.
func (s *State) RemoveLost(now time.Time, refs []resource.Ref) []Action {
	for _, ref := range refs {
		if sl := s.slots[ref]; sl != nil && sl.phase == loaded && s.uses[ref] == 0 {
			delete(s.slots, ref)
		}
	}
	return s.schedule(now)
}

// Cancel ends a ticket whose caller has left before it received the decision on the ticket.
func (s *State) Cancel(now time.Time, id uint64) []Action {
	s.retainWaiting(func(t Ticket) bool {
		if t.ID != id {
			return true
		}
		s.returnRate(t)
		return false
	})
	return s.FinishTicket(now, id, EndUnused)
}

// End is the way in which a started ticket ended.
type End int

// The ends of a started ticket.
const (
	// EndWhole means that the engine has finished the request.
	EndWhole End = iota
	// EndBroken means that the answer broke off or the caller left. The engine may continue to run the request for a short time.
	EndBroken
	// EndNotLoaded means that the engine reported that the adapter is not loaded.
	EndNotLoaded
	// EndNotListening means that no process listens at the engine's address, so the request did not reach the engine.
	EndNotListening
	// EndUnused means that the request did not run, so that its time tells nothing about runs. Owners of earlier builds treat it like
	// EndWhole, but do not count the time either.
	EndUnused
	// EndRejected means that the engine rejected the request for want of room, without running it. Owners of earlier builds treat it like
	// EndUnused.
	EndRejected
)

// FinishTicket ends a running ticket.
func (s *State) FinishTicket(now time.Time, id uint64, end End) []Action {
	st, ok := s.running[id]
	if !ok {
		return s.schedule(now)
	}
	delete(s.running, id)
	s.recordBrittle(now, st, end)
	s.runningTokens -= st.tokens
	s.prefill.remove(id)
	s.gaps.remove(id)
	if end == EndWhole {
		s.meanRunTime += time.Duration(runTimeSmoothing * float64(now.Sub(st.startedAt)-s.meanRunTime))
	}
	if st.urgency > 0 {
		s.urgentRunning--
	}
	sl := st.slot
	if sl == nil {
		return s.schedule(now)
	}
	if s.uses[sl.ref]--; s.uses[sl.ref] == 0 {
		delete(s.uses, sl.ref)
	}
	switch end {
	case EndBroken:
		s.lingerUntil[sl.ref] = now.Add(s.runLinger())
	case EndNotLoaded:
		if sl.phase == loaded && s.slots[sl.ref] == sl {
			delete(s.slots, sl.ref)
		}
	case EndWhole, EndNotListening, EndUnused, EndRejected:
	}
	return s.schedule(now)
}

// runLinger returns the time for which the adapter of a run that broke off may not be unloaded.
func (s *State) runLinger() time.Duration {
	if s.cfg.Scarce && s.cfg.FinishesFirst && s.cfg.Policy.IsEnabled(policy.ShortLinger) {
		return shortRunLinger
	}
	return brokenRunLinger
}

// Stop refuses the waiting tickets and all further tickets, because the engine is being handed over. Running tickets continue.
func (s *State) Stop(now time.Time) []Action {
	s.stopped = true
	s.retainWaiting(func(t Ticket) bool {
		s.refuse(t, result.New(result.NotOwner, "the engine is being handed over"))
		return false
	})
	return s.schedule(now)
}

// SetClosed sets whether the engine accepts tickets. While closed is true, waiting and new tickets are refused so that they go to
// other engines. Running tickets continue.
func (s *State) SetClosed(now time.Time, closed bool) []Action {
	s.closed = closed
	if closed {
		s.retainWaiting(func(t Ticket) bool {
			s.refuse(t, result.New(result.TryNext, "the engine accepts no new requests now"))
			return false
		})
	}
	return s.schedule(now)
}

// Tick applies the passage of time. In particular it refuses the tickets that can no longer start in time.
func (s *State) Tick(now time.Time) []Action {
	s.expireUncertainLoads(now)
	maps.DeleteFunc(s.lingerUntil, func(_ resource.Ref, until time.Time) bool { return !now.Before(until) })
	return s.schedule(now)
}

// InFlight returns the number of running tickets.
func (s *State) InFlight() int { return len(s.running) }

// Waiting returns the number of waiting tickets.
func (s *State) Waiting() int { return len(s.waiting) }

// IsLoaded reports whether ref is loaded. The base model counts as loaded once the loaded adapters are known.
func (s *State) IsLoaded(ref resource.Ref) bool {
	if ref.IsBase() {
		return !s.awaitingReport
	}
	sl := s.slots[ref]
	return sl != nil && sl.phase == loaded
}

// LoadedNames returns the names of the loaded adapters in sorted order.
func (s *State) LoadedNames() []string {
	names := make([]string, 0, len(s.slots))
	for _, ref := range s.LoadedRefs() {
		names = append(names, ref.String())
	}
	slices.Sort(names)
	return names
}

func (s *State) emit(a Action) { s.actions = append(s.actions, a) }
