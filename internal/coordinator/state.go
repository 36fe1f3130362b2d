package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/bellgap/bellgap/internal/lease"
	"github.com/bellgap/bellgap/internal/result"
)

// Config configures a State.
type Config struct {
	Cell   string
	Region string
	// Box is the box that coordinates.
	Box string
	// Lease is the epoch of the lease under which this coordinator acts.
	Lease uint64
	// Term is how long a grant holds after the beat that asked for it was sent.
	Term time.Duration
	// SilentAfter is how long a box may say nothing before it is shown as silent; zero never shows it.
	SilentAfter time.Duration
	// UnheardAfter is the same, from the first stored map on, for a box of the map that was taken over, which has said nothing to this
	// coordinator yet and may have fallen silent before; zero stands for SilentAfter.
	UnheardAfter time.Duration
	// Drain is how long, after its term, a silent box may still have requests in flight: serve-on time and longest request.
	Drain time.Duration
	// OrderGap is the least time between the last order of one owner and the first of the next, for engines that check no
	// epochs and must not hear two owners in turn.
	OrderGap time.Duration
	// Reclaim lets a box that comes back as a new process have the engines of its former one at once, and lets a leaving box
	// keep its engines until it goes. It asks that the platform ends a box's process before it starts the next.
	Reclaim bool
	// Started is when the lease was taken; no engine changes hands within Term of it, as the last coordinator's grants may hold.
	Started time.Time
	// Lapsed names the box whose lease ran out, empty if it was given up or is this box's own.
	Lapsed string
	// Restored says that the store has come back from an older copy since the last map was written, or may have lost it. What the map says of engines and
	// boxes may be out of date then: boxes say themselves what they own, and an engine that nobody claims is held until all grants of before have run out,
	// those of a coordinator that has not heard of it included, whose lease lasts LeaseTTL.
	Restored bool
	LeaseTTL time.Duration
}

type member struct {
	Member
	// seen is when the box was last heard; of an inherited one, when this coordinator took over, as its grants may hold for a term from
	// shortly before.
	seen time.Time
	// inherited says that this coordinator has only taken the box over from the map of the one before and not heard from it.
	inherited bool
	released  []Release
	// sequence is that of the newest heartbeat, base that of the last one in full.
	sequence, base uint64
	// busy lists the engines that the box owns, as far as it knows, or still has requests in flight on.
	busy []string
	// owned is what the box said it owns.
	owned []Ownership
}

// holder is the box that an engine is held for. If it gave the engine up itself, released names the process that did: only the
// next one wants it back.
type holder struct {
	box      string
	released string
}

// State is the coordinator's state. One goroutine uses it.
type State struct {
	cfg     Config
	members map[string]*member
	owners  map[string]*Ownership
	// zones holds the zone of each declared engine.
	zones map[string]string
	// freedAt is when an engine lost its last owner, heldUntil how long no other box may give it orders, and heldFor who may
	// have it back before.
	freedAt   map[string]time.Time
	heldUntil map[string]time.Time
	heldFor   map[string]holder
	// published is the last map stored by this coordinator; nothing is granted before the first.
	published    Map
	hasPublished bool
	// grantsOf indexes the owners of the published map by box: answering a heartbeat must not cost a look at every engine of the cell.
	grantsOf map[string][]Ownership
	// toldAt is when the first of them was stored: from then on boxes can learn of this coordinator.
	toldAt time.Time
	epoch  uint64
	// now is the time of the last Tick, as of which silent boxes are shown, and keep the share of a box as of then.
	now  time.Time
	keep int
	// leaving holds the boxes that the platform says are leaving.
	leaving []string
}

// New returns a State that continues from the cell's last published map.
func New(cfg Config, last Map) *State {
	s := &State{
		cfg: cfg, members: map[string]*member{}, owners: map[string]*Ownership{}, freedAt: map[string]time.Time{},
		heldUntil: map[string]time.Time{}, heldFor: map[string]holder{}, leaving: last.Leaving,
		epoch: max(last.Epoch, lease.FirstEpoch(lease.EraOf(cfg.Lease))),
	}
	for _, m := range last.Members {
		// A box that let its lease run out has said nothing for that long, and one of an older map may be long gone.
		m.Silent = m.Silent || m.Box == cfg.Lapsed || cfg.Restored
		s.members[m.Box] = &member{Member: m, seen: cfg.Started, inherited: true}
	}
	for _, o := range last.Owners {
		if cfg.Restored {
			s.await(o)
			continue
		}
		s.adopt(o)
		if o.Owner == "" {
			s.heldUntil[o.Engine] = cfg.Started.Add(cfg.Term + cfg.OrderGap)
		}
	}
	return s
}

// await holds an engine of an older map until a box claims it. If its owner in that map comes as a new process, or with a grant that has run out, it may have it
// back once all others have had the time to claim it.
func (s *State) await(o Ownership) {
	s.epoch = max(s.epoch, o.Epoch)
	s.owners[o.Engine] = &Ownership{Engine: o.Engine}
	s.heldUntil[o.Engine] = s.unclaimedUntil()
	if m := s.members[o.Owner]; m != nil {
		s.heldFor[o.Engine] = holder{o.Owner, m.Incarnation}
	}
}

// unclaimedUntil returns until when a grant of before may hold that no box has told of.
func (s *State) unclaimedUntil() time.Time {
	return s.cfg.Started.Add(s.cfg.LeaseTTL + s.cfg.Term + s.cfg.OrderGap)
}

// Collecting reports whether boxes are still to say what they own before the first map is published.
func (s *State) Collecting(now time.Time) bool {
	return s.cfg.Restored && !s.hasPublished && now.Before(s.cfg.Started.Add(s.cfg.UnheardAfter))
}

func (s *State) adopt(o Ownership) {
	s.epoch = max(s.epoch, o.Epoch)
	if have, ok := s.owners[o.Engine]; ok && have.Epoch >= o.Epoch {
		return
	}
	s.owners[o.Engine] = &o
	if o.Previous != "" {
		s.freedAt[o.Engine] = s.cfg.Started
	}
}

// Errors of heartbeats that change nothing.
var (
	errLate   = result.New(result.LateBeat, "a later heartbeat of the box has been heard")
	errNoBase = result.New(result.UnknownBase, "this coordinator does not know what the heartbeat is based on")
)

// Beat takes a heartbeat in. The answer is made by Reply once the map it implies is published.
func (s *State) Beat(now time.Time, b Beat) error {
	m := s.members[b.Member.Box]
	again := m != nil && m.Incarnation == b.Member.Incarnation
	if again && b.Sequence != 0 && b.Sequence <= m.sequence {
		return errLate
	}
	if b.Base != 0 {
		if !again || m.inherited || m.base != b.Base {
			return errNoBase
		}
		m.seen, m.sequence = now, b.Sequence
		return nil
	}
	if m != nil && !again {
		s.returned(now, m)
	}
	busy := slices.Concat(b.Draining, b.Lapsed)
	for _, o := range b.Owned {
		busy = append(busy, o.Engine)
		s.adopt(o)
	}
	for _, engine := range b.Lapsed {
		if s.cfg.Restored && s.heldFor[engine].box == b.Member.Box {
			s.heldFor[engine] = holder{box: b.Member.Box}
		}
	}
	s.members[b.Member.Box] = &member{
		Member: b.Member, seen: now, released: b.Released, busy: busy, owned: b.Owned, sequence: b.Sequence, base: b.Sequence,
	}
	return nil
}

// Heard is what a coordinator goes by when it judges whether a box is there.
type Heard struct {
	// Age is the time since it last heard from the box, or since it took over.
	Age time.Duration
	// Inherited says that it has not heard from the box itself.
	Inherited bool
}

// Heard returns what is known of a box, for the log; of one that is no member, nothing.
func (s *State) Heard(now time.Time, box string) Heard {
	m := s.members[box]
	if m == nil {
		return Heard{}
	}
	return Heard{Age: now.Sub(m.seen), Inherited: m.inherited}
}

// StoodStill takes in that this process has stood still for some time. Whom it has not heard meanwhile it could not hear: all count as heard that much
// later, so that nobody is shown as silent or loses engines for it.
func (s *State) StoodStill(now time.Time, d time.Duration) {
	for _, m := range s.members {
		if m.seen = m.seen.Add(d); m.seen.After(now) {
			// It has been heard since.
			m.seen = now
		}
	}
}

// silent reports whether a member has missed its heartbeats. One that was silent for the coordinator before stays so until this one
// hears from it: seen, which is the takeover for it, is when its grants were last good at the latest, not when it was last there.
// Without this a lost box is shown to callers for another SilentAfter at each change of coordinator.
func (s *State) silent(now time.Time, m *member) bool {
	switch {
	case s.cfg.SilentAfter == 0:
		return false
	case m.inherited:
		return m.Silent || s.hasPublished && now.Sub(s.toldAt) > cmp.Or(s.cfg.UnheardAfter, s.cfg.SilentAfter)
	default:
		return now.Sub(m.seen) > s.cfg.SilentAfter
	}
}

// returned takes in that a box has come back as a new process.
func (s *State) returned(now time.Time, m *member) {
	previous := m.Box + "/" + m.Incarnation
	if !s.cfg.Reclaim {
		// The old process may be frozen rather than gone: it counts as silent, not as drained.
		s.forget(now, m.Box, m.seen.Add(s.cfg.Term), previous)
		return
	}
	for _, o := range s.owners {
		if o.Owner == m.Box {
			s.epoch++
			o.Previous, o.Epoch = previous, s.epoch
			s.freedAt[o.Engine] = now
		}
	}
}

// forget takes the engines from a box; others may have them from until and the order gap on.
func (s *State) forget(now time.Time, box string, until time.Time, previous string) {
	for _, o := range s.owners {
		if o.Owner == box {
			s.unown(now, o, previous)
			s.hold(o.Engine, holder{box: box}, until)
		}
	}
}

// hold keeps an engine for the box that last owned it.
func (s *State) hold(engine string, h holder, until time.Time) {
	s.heldUntil[engine], s.heldFor[engine] = until.Add(s.cfg.OrderGap), h
}

func (s *State) unown(now time.Time, o *Ownership, previous string) {
	o.Previous, o.Owner = previous, ""
	s.freedAt[o.Engine] = now
}

// Leaving takes in which boxes the platform's box list says are leaving. The list lags: it is believed when it says leaving, never when it says live.
func (s *State) Leaving(boxes []string) {
	s.leaving = slices.Clone(boxes)
	slices.Sort(s.leaving)
}

// Tick drops silent members and assigns the cell's engines.
func (s *State) Tick(now time.Time, engines []Engine) {
	s.dropSilent(now)
	s.now = now
	s.zones = map[string]string{}
	for _, e := range engines {
		s.zones[e.Name] = e.Zone
		if s.owners[e.Name] == nil {
			s.owners[e.Name] = &Ownership{Engine: e.Name}
			if s.cfg.Restored {
				s.heldUntil[e.Name] = s.unclaimedUntil()
			}
		}
	}
	for _, o := range s.owners {
		if _, declared := s.zones[o.Engine]; !declared {
			s.undeclared(now, o)
		}
	}
	for _, o := range s.owners {
		s.settlePrevious(now, o)
		s.handOver(now, o)
	}
	s.assign(now)
	s.keep = s.share(len(s.live()))
}

// undeclared takes an engine whose entry is missing from its owner. An entry may come back, as after an outage of the store, and the
// owner's grants hold for up to a term: until then the engine is held for that box, here and in the map for the next coordinator.
func (s *State) undeclared(now time.Time, o *Ownership) {
	if box := o.Owner; box != "" {
		s.unown(now, o, box)
		s.hold(o.Engine, holder{box: box}, now.Add(s.cfg.Term))
	}
	if now.Before(s.heldUntil[o.Engine]) {
		return
	}
	delete(s.owners, o.Engine)
	delete(s.freedAt, o.Engine)
	delete(s.heldUntil, o.Engine)
	delete(s.heldFor, o.Engine)
}

func (s *State) dropSilent(now time.Time) {
	for box, m := range s.members {
		if now.Sub(m.seen) > s.cfg.Term {
			s.forget(now, box, now, box)
			delete(s.members, box)
		}
	}
}

// settlePrevious clears the previous owner once nothing it sent can be in flight. That it lists the engine as owned still means
// that it has not heard of its loss yet, and so has not said what it has in flight.
func (s *State) settlePrevious(now time.Time, o *Ownership) {
	if o.Previous == "" {
		return
	}
	m := s.members[o.Previous]
	drained := m != nil && m.seen.After(s.freedAt[o.Engine]) && !slices.Contains(m.busy, o.Engine)
	if drained || now.Sub(s.freedAt[o.Engine]) > s.cfg.Term+s.cfg.Drain {
		o.Previous = ""
		delete(s.freedAt, o.Engine)
	}
}

// handOver takes an engine from an owner that has released it.
func (s *State) handOver(now time.Time, o *Ownership) {
	if m := s.members[o.Owner]; m != nil && slices.Contains(m.released, Release{o.Engine, o.Epoch}) {
		s.hold(o.Engine, holder{o.Owner, m.Incarnation}, now)
		s.unown(now, o, o.Owner)
	}
}

// Published says that mp is stored; from now on its owners may be told.
func (s *State) Published(now time.Time, mp Map) {
	if !s.hasPublished {
		s.toldAt = now
	}
	s.published, s.hasPublished = mp, true
	s.grantsOf = map[string][]Ownership{}
	for _, o := range mp.Owners {
		s.grantsOf[o.Owner] = append(s.grantsOf[o.Owner], o)
	}
}

// Reply returns the answer to the last beat of box. It grants only what is published and still meant.
func (s *State) Reply(now time.Time, box string) Reply {
	r := Reply{Lease: s.cfg.Lease, Term: s.cfg.Term, Frozen: !s.hasPublished}
	m := s.members[box]
	if m == nil {
		return r
	}
	for _, o := range s.grantsOf[box] {
		if meant := s.owners[o.Engine]; meant != nil && meant.Owner == box && meant.Epoch == o.Epoch {
			r.Grants = append(r.Grants, *meant)
		}
	}
	r.Release = s.release(now, m, r.Grants)
	r.Frozen = r.Frozen || s.awaitsPublishing(m, r.Grants)
	return r
}

// awaitsPublishing reports whether a box owns an engine by its own word that the published map does not give it yet: a reply would take it away.
func (s *State) awaitsPublishing(m *member, grants []Ownership) bool {
	if !s.cfg.Restored {
		return false
	}
	return slices.ContainsFunc(m.owned, func(o Ownership) bool {
		meant := s.owners[o.Engine]
		return meant != nil && meant.Owner == m.Box && meant.Epoch == o.Epoch && !slices.ContainsFunc(grants, func(g Ownership) bool { return g.Engine == o.Engine })
	})
}

// Map returns the map to publish, in a fixed order.
func (s *State) Map() Map {
	mp := Map{Cell: s.cfg.Cell, Region: s.cfg.Region, Coordinator: s.cfg.Box, Lease: s.cfg.Lease, Epoch: s.epoch, Leaving: s.leaving}
	for _, m := range s.members {
		shown := m.Member
		shown.Leaving = shown.Leaving || slices.Contains(s.leaving, m.Box)
		shown.Silent = s.silent(s.now, m)
		mp.Members = append(mp.Members, shown)
	}
	slices.SortFunc(mp.Members, func(a, b Member) int { return cmp.Compare(a.Box, b.Box) })
	for _, name := range s.engineNames() {
		mp.Owners = append(mp.Owners, *s.owners[name])
	}
	return mp
}
