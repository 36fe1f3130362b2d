// Package owner decides for one engine which request starts, which adapter is loaded and which is unloaded.
// State is the decision and does no I/O; Runner carries it out.
package owner

import (
	"maps"
	"slices"
	"time"

	"github.com/bellgap/bellgap/internal/policy"
	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// Defaults of Config.
const (
	defaultHalfLife = 10 * time.Minute
	// defaultLoadTime is expected of an adapter's load until one has been seen: engines load one in 250 ms.
	defaultLoadTime    = 280 * time.Millisecond
	defaultBackoff     = time.Second
	maxBackoff         = time.Minute
	brokenLinger       = 5 * time.Second
	loadTimeSmoothing  = 0.2
	maxRememberedRates = 4096
	packHold           = time.Minute
	// crowdedShare is the part of a batch that may wait before a ticket on a full engine.
	crowdedShare = 4
	// maxAsked bounds the adapters for which permits are asked at once.
	maxAsked = 8
	// unloadPause is the time from a failed unload to the next. Without it a box that had lost its authority ordered 16,000 a second,
	// each refused by itself, and had no processor time left to take a configuration in.
	unloadPause = 200 * time.Millisecond
	// doubtTime is how long an order without an answer may still be carried out: engines have been seen to take up to 12 s.
	doubtTime = 15 * time.Second
)

// Config configures a State.
type Config struct {
	// Slots is how many adapters the engine holds, Batch how many sequences it runs at once.
	Slots int
	Batch int
	// MaxQueue bounds the waiting tickets.
	MaxQueue int
	// Pack lets work of no urgency start only beside urgent work, so that the engine's steps are fuller, for at most packHold.
	Pack bool
	// HalfLife is the time in which the weight of past use halves.
	HalfLife time.Duration
	// KVTokens bounds the tokens of the running tickets; zero sets no bound.
	KVTokens int
	// PrefillRate is how many prompt tokens the engine is taken to read in a second until that has been observed; zero leaves prompts
	// out of the expected wait.
	PrefillRate float64
	// FinishesFirst says that the engine ends an adapter's runs before it unloads or replaces the adapter, and that a load
	// replaces the adapter's other versions.
	FinishesFirst bool
	// AwaitReport withholds loads until Adopt has said what the engine holds.
	AwaitReport bool
	// Policy says which mechanisms are on.
	Policy policy.Policy
	// Worth rates an idle adapter in place of its decayed rate of use; the least is unloaded first. Nil except in comparisons.
	Worth func(ref resource.Ref, now time.Time) float64
}

type phase int

const (
	loading phase = iota
	loaded
	unloading
	// doubtful: a load ended without an answer; the engine may hold the adapter, now or in a while.
	doubtful
)

// slot is an adapter that takes a slot of the engine.
type slot struct {
	ref   resource.Ref
	phase phase
	// doubtUntil is how long a load without an answer may still be carried out.
	doubtUntil time.Time
	// next is loaded once this one is unloaded.
	next *Load
	// foreign says that an earlier owner may have requests in flight on it.
	foreign bool
	// loadAt and readyAt are when the load began and ended; zero for an adopted adapter.
	loadAt  time.Time
	readyAt time.Time
}

// started is a running ticket.
type started struct {
	// slot is nil for the base model.
	slot    *slot
	urgency int
	tokens  int
	at      time.Time
}

// State is the decision state of one engine. One goroutine uses it.
type State struct {
	cfg     Config
	slots   map[resource.Ref]*slot
	waiting []Ticket
	// wanted counts the waiting tickets of each adapter.
	wanted  map[resource.Ref]int
	running map[uint64]started
	// lingers holds until when a run that ended without its whole answer may go on, by adapter like uses.
	lingers map[resource.Ref]time.Time
	// uses counts the running tickets of each adapter, also those that began before it was loaded anew: it may not be unloaded under
	// them whatever became of the slot that they began on.
	uses map[resource.Ref]int
	// urgent counts the running tickets with an urgency.
	urgent   int
	rates    map[resource.Ref]rate
	failures map[resource.Ref]failure
	// loadTime is the mean time of a load as of loadSeen, when the last one ended.
	loadTime time.Duration
	loadSeen time.Time
	// runTime is the mean time from the start of a run to its end.
	runTime time.Duration
	// asked holds the urgency with which a permit was asked for and not yet answered.
	asked   map[resource.Ref]int
	stopped bool
	// closed says that the engine's box is leaving.
	closed bool
	// blind says that the engine's holdings are not known yet.
	blind bool
	// tokens counts those of the running tickets.
	tokens  int
	reading *reading
	lately  lately
	// rate keeps to the requests a second that the engine names. All that is sent to it asks its owner first, so that keeping to it takes no message
	// more, and a box needs not know the rate to be held to it.
	rate ratelimit.Limiter
	// unloadFrom is when the next unload may be ordered after one has failed.
	unloadFrom time.Time
	out        []Action
}

type rate struct {
	value float64
	at    time.Time
}

type failure struct {
	count int
	until time.Time
}

// New returns a State with an empty engine.
func New(cfg Config) *State {
	if cfg.HalfLife <= 0 {
		cfg.HalfLife = defaultHalfLife
	}
	return &State{
		cfg: cfg, slots: map[resource.Ref]*slot{}, running: map[uint64]started{}, uses: map[resource.Ref]int{}, lingers: map[resource.Ref]time.Time{},
		rates: map[resource.Ref]rate{}, failures: map[resource.Ref]failure{}, asked: map[resource.Ref]int{}, wanted: map[resource.Ref]int{}, loadTime: defaultLoadTime, runTime: defaultRunTime,
		blind: cfg.AwaitReport, lately: lately{most: latelyPerSlot * cfg.Slots},
		reading: newReading(cfg.PrefillRate, cfg.KVTokens, cfg.Policy),
	}
}

// Adopt takes over an engine that already holds refs. While foreign is true none of them is unloaded.
func (s *State) Adopt(refs []resource.Ref, foreign bool) {
	s.blind = false
	for _, r := range refs {
		if sl := s.slots[r]; sl == nil || sl.phase == doubtful {
			s.slots[r] = &slot{ref: r, phase: loaded, foreign: foreign}
		}
	}
}

// Settle says that the earlier owner has nothing in flight any more.
func (s *State) Settle(now time.Time) []Action {
	for _, sl := range s.slots {
		sl.foreign = false
	}
	return s.flush(now)
}

// Restarted says that the engine came up empty: what was loaded is gone.
func (s *State) Restarted(now time.Time) []Action {
	for ref, sl := range s.slots {
		if sl.phase == loaded {
			delete(s.slots, ref)
		}
	}
	s.reading.restarted()
	s.rate.Forget()
	return s.flush(now)
}

// Read says that the first token of a started ticket has come: the engine has read its prompt.
func (s *State) Read(now time.Time, id uint64) { s.reading.read(now, id) }

// Knows reports whether ref takes a slot or is about to.
func (s *State) Knows(ref resource.Ref) bool {
	sl := s.slots[ref]
	return (sl != nil && sl.phase != doubtful) || s.onItsWay(ref)
}

// Held returns the loaded adapters.
func (s *State) Held() []resource.Ref {
	var refs []resource.Ref
	for ref, sl := range s.slots {
		if sl.phase == loaded {
			refs = append(refs, ref)
		}
	}
	return refs
}

// Lost says that the engine does not hold refs; those in use are left to the requests' own ends.
func (s *State) Lost(now time.Time, refs []resource.Ref) []Action {
	for _, ref := range refs {
		if sl := s.slots[ref]; sl != nil && sl.phase == loaded && s.uses[ref] == 0 {
			delete(s.slots, ref)
		}
	}
	return s.flush(now)
}

// Cancel ends a ticket whose caller has gone before it was told that it may start.
func (s *State) Cancel(now time.Time, id uint64) []Action {
	s.keep(func(t Ticket) bool {
		if t.ID != id {
			return true
		}
		s.unrate(t)
		return false
	})
	return s.Done(now, id, EndWhole)
}

// End says how a started ticket ended.
type End int

// The ends of a started ticket.
const (
	// EndWhole: the engine is done with the request.
	EndWhole End = iota
	// EndBroken: the answer broke off or the caller went; the engine may still run the request for a moment.
	EndBroken
	// EndNotLoaded: the engine said that it does not hold the adapter.
	EndNotLoaded
	// EndNotListening: nothing listens at the engine's address, so the request never reached it.
	EndNotListening
)

// Done ends a started ticket.
func (s *State) Done(now time.Time, id uint64, end End) []Action {
	st, ok := s.running[id]
	if !ok {
		return s.flush(now)
	}
	delete(s.running, id)
	s.tokens -= st.tokens
	s.reading.drop(id)
	if end == EndWhole {
		s.runTime += time.Duration(runTimeSmoothing * float64(now.Sub(st.at)-s.runTime))
	}
	if st.urgency > 0 {
		s.urgent--
	}
	sl := st.slot
	if sl == nil {
		return s.flush(now)
	}
	if s.uses[sl.ref]--; s.uses[sl.ref] == 0 {
		delete(s.uses, sl.ref)
	}
	switch end {
	case EndBroken:
		s.lingers[sl.ref] = now.Add(brokenLinger)
	case EndNotLoaded:
		if sl.phase == loaded && s.slots[sl.ref] == sl {
			delete(s.slots, sl.ref)
		}
	case EndWhole, EndNotListening:
	}
	return s.flush(now)
}

// Stop refuses all that waits and takes nothing more, before the engine is handed over.
func (s *State) Stop(now time.Time) []Action {
	s.stopped = true
	s.keep(func(t Ticket) bool {
		s.refuse(t, result.New(result.NotOwner, "the engine is being handed over"))
		return false
	})
	return s.flush(now)
}

// Close sends all that waits to other engines and takes nothing more while closed is true; what has started goes on.
func (s *State) Close(now time.Time, closed bool) []Action {
	s.closed = closed
	if closed {
		s.keep(func(t Ticket) bool {
			s.refuse(t, result.New(result.TryNext, "the engine's box is leaving"))
			return false
		})
	}
	return s.flush(now)
}

// Tick refuses what can no longer start in time.
func (s *State) Tick(now time.Time) []Action {
	s.dropDoubts(now)
	maps.DeleteFunc(s.lingers, func(_ resource.Ref, until time.Time) bool { return !now.Before(until) })
	return s.flush(now)
}

// InFlight returns how many started tickets have not ended.
func (s *State) InFlight() int { return len(s.running) }

// Waiting returns how many tickets wait.
func (s *State) Waiting() int { return len(s.waiting) }

// Holds reports whether ref is loaded.
func (s *State) Holds(ref resource.Ref) bool {
	if ref.IsBase() {
		return !s.blind
	}
	sl := s.slots[ref]
	return sl != nil && sl.phase == loaded
}

// LoadedNames returns the loaded adapters in order.
func (s *State) LoadedNames() []string {
	names := make([]string, 0, len(s.slots))
	for _, ref := range s.Held() {
		names = append(names, ref.String())
	}
	slices.Sort(names)
	return names
}

func (s *State) emit(a Action) { s.out = append(s.out, a) }
