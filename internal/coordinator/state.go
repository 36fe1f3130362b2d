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
	// Box names the coordinating box.
	Box string
	// Lease is the epoch of this coordinator's lease.
	Lease uint64
	// Term is how long a grant is valid after the heartbeat that it answers was sent.
	Term time.Duration
	// SilentAfter is how long a box may send no heartbeat before it is shown as silent. Zero disables this.
	SilentAfter time.Duration
	// InheritedSilentAfter replaces SilentAfter for boxes that were taken over from the last coordinator's map and have not sent a
	// heartbeat to this coordinator yet, as they may have been silent before. It is counted from the first stored map. Zero means
	// SilentAfter.
	InheritedSilentAfter time.Duration
	// Drain is how long a silent box may still have requests in flight after its term. It is the time for which the box keeps serving
	// without a grant, plus the duration of the longest request.
	Drain time.Duration
	// OrderGap is the minimum time between the last order of one owner and the first order of the next owner. It is for engines that do
	// not check epochs: they must not receive alternating orders from two owners.
	OrderGap time.Duration
	// Reclaim lets the new process of a restarted box take over the engines of its last process at once, and lets a leaving box keep its
	// engines until it stops. It requires that the platform ends a box's process before it starts the next one.
	Reclaim bool
	// Started is when the lease was acquired. No engine changes its owner within Term after it, as grants of the last coordinator may
	// still be valid.
	Started time.Time
	// ExpiredCoordinator names the last coordinator if its lease expired. It is empty if the lease was released or belonged to this box.
	ExpiredCoordinator string
	// Restored means that the store was restored from an older copy after the last map was written, or may have lost that map. The engines
	// and boxes in the stored map may be out of date then, so boxes report which engines they own. An engine that no box claims stays
	// reserved until all earlier grants have expired. These include grants of a coordinator that has not noticed the restore.
	Restored bool
	// LeaseTTL is how long the lease of a coordinator that has not noticed the restore may last.
	LeaseTTL time.Duration
}

type member struct {
	Member
	// lastSeen is when the last heartbeat of the box arrived. For an inherited box it is when this coordinator took over, as the grants of
	// the box may have been renewed for a whole term shortly before.
	lastSeen time.Time
	// inherited means that the box comes from the last coordinator's map and has not sent a heartbeat to this coordinator yet.
	inherited bool
	released  []Release
	// sequence is the number of the newest heartbeat, baseSequence the number of the last full heartbeat.
	sequence, baseSequence uint64
	// busyEngines lists the engines that the box reported as owned, expired or draining. It may have requests in flight on them.
	busyEngines []string
	// owned lists the grants that the box reported.
	owned []Ownership
}

// reservation names the box that an engine is reserved for. excludedIncarnation is the process of the box that released the engine or
// did not claim it: that process does not get the engine back, but a later process of the box may. If it is empty, any process of the
// box may.
type reservation struct {
	box                 string
	excludedIncarnation string
}

// State is the coordinator's state. One goroutine uses it.
type State struct {
	cfg     Config
	members map[string]*member
	owners  map[string]*Ownership
	// engineZones holds the zone of each declared engine.
	engineZones map[string]string
	// freedAt is when an engine lost its last owner. Until reservedUntil no other box may send orders to the engine. The box in
	// reservedFor may get the engine back before that time.
	freedAt       map[string]time.Time
	reservedUntil map[string]time.Time
	reservedFor   map[string]reservation
	// published is the last map stored by this coordinator. Nothing is granted before the first map is stored.
	published    Map
	hasPublished bool
	// grantsByBox indexes the owners of the published map by box, as answering a heartbeat must not iterate over every engine of the cell.
	grantsByBox map[string][]Ownership
	// firstPublishedAt is when this coordinator's first map was stored. From then on boxes can find this coordinator.
	firstPublishedAt time.Time
	highestEpoch     uint64
	// unreportedGrants means that boxes may hold grants of an earlier coordinator that they have not reported. earlierGrantsEnd is OrderGap
	// after the latest time at which a grant of an earlier coordinator may expire.
	unreportedGrants bool
	earlierGrantsEnd time.Time
	// lastTick is the time of the last Tick. Map marks boxes that were silent at that time. keepLimit is the number of engines per box
	// as of that Tick; a box above the limit has to release engines.
	lastTick  time.Time
	keepLimit int
	// hasAttachedBox is true if a live box was not detached at that Tick.
	hasAttachedBox bool
	// listedLeaving holds the boxes that the platform's box list marks as leaving.
	listedLeaving []string
}

// New returns a State that continues from the cell's last published map.
func New(cfg Config, last Map) *State {
	s := &State{
		cfg: cfg, members: map[string]*member{}, owners: map[string]*Ownership{}, freedAt: map[string]time.Time{},
		reservedUntil: map[string]time.Time{}, reservedFor: map[string]reservation{}, listedLeaving: last.Leaving,
		highestEpoch:     max(last.Epoch, lease.EpochBase(lease.EraOf(cfg.Lease))),
		unreportedGrants: cfg.Restored || last.UnreportedGrants, earlierGrantsEnd: cfg.Started.Add(cfg.Term + cfg.OrderGap),
	}
	if s.unreportedGrants {
		// A coordinator that has not noticed the restore may renew grants until its lease expires.
		s.earlierGrantsEnd = s.earlierGrantsEnd.Add(cfg.LeaseTTL)
	}
	for _, m := range last.Members {
		// A box whose lease expired has been silent for the duration of the lease. A box of an older map may no longer exist.
		m.Silent = m.Silent || m.Box == cfg.ExpiredCoordinator || cfg.Restored
		s.members[m.Box] = &member{Member: m, lastSeen: cfg.Started, inherited: true}
	}
	for _, o := range last.Owners {
		if cfg.Restored {
			s.reserveUntilClaimed(o)
			continue
		}
		s.adoptOwnership(o)
		if o.Owner == "" {
			s.reservedUntil[o.Engine] = s.earlierGrantsEnd
		}
	}
	return s
}

// reserveUntilClaimed reserves an engine of an older map until a box claims it. The owner in that map may get the engine back if it
// sends a heartbeat as a new process or with an expired grant, but only after all other boxes have had the time to claim the engine.
func (s *State) reserveUntilClaimed(o Ownership) {
	s.highestEpoch = max(s.highestEpoch, o.Epoch)
	s.owners[o.Engine] = &Ownership{Engine: o.Engine}
	s.reservedUntil[o.Engine] = s.earlierGrantsEnd
	if m := s.members[o.Owner]; m != nil {
		s.reservedFor[o.Engine] = reservation{o.Owner, m.Incarnation}
	}
}

// IsCollecting reports whether the coordinator still waits for the boxes' reports of owned engines before it publishes its first map.
func (s *State) IsCollecting(now time.Time) bool {
	return s.cfg.Restored && !s.hasPublished && now.Before(s.cfg.Started.Add(s.cfg.InheritedSilentAfter))
}

// adoptOwnership records an ownership from a map or a heartbeat, unless an equal or higher epoch of the engine is already known.
func (s *State) adoptOwnership(o Ownership) {
	s.highestEpoch = max(s.highestEpoch, o.Epoch)
	if known, ok := s.owners[o.Engine]; ok && known.Epoch >= o.Epoch {
		return
	}
	s.owners[o.Engine] = &o
	if o.Previous != "" {
		s.freedAt[o.Engine] = s.cfg.Started
	}
}

// Errors for heartbeats that are rejected without any effect.
var (
	errLateBeat    = result.New(result.LateBeat, "a later heartbeat of the box has been heard")
	errUnknownBase = result.New(result.UnknownBase, "this coordinator does not have the full heartbeat that this heartbeat is based on")
)

// RecordBeat records a heartbeat. Reply creates the response once the map that results from the heartbeat is published.
func (s *State) RecordBeat(now time.Time, b Beat) error {
	m := s.members[b.Member.Box]
	sameProcess := m != nil && m.Incarnation == b.Member.Incarnation
	if sameProcess && b.Sequence != 0 && b.Sequence <= m.sequence {
		return errLateBeat
	}
	if b.Base != 0 {
		if !sameProcess || m.inherited || m.baseSequence != b.Base {
			return errUnknownBase
		}
		m.lastSeen, m.sequence = now, b.Sequence
		return nil
	}
	if m != nil && !sameProcess {
		s.handleNewProcess(now, m)
	}
	busyEngines := slices.Concat(b.Draining, b.Lapsed)
	for _, o := range b.Owned {
		busyEngines = append(busyEngines, o.Engine)
		s.adoptOwnership(o)
	}
	for _, engine := range b.Lapsed {
		if s.cfg.Restored && s.reservedFor[engine].box == b.Member.Box {
			s.reservedFor[engine] = reservation{box: b.Member.Box}
		}
	}
	s.members[b.Member.Box] = &member{
		Member: b.Member, lastSeen: now, released: b.Released, busyEngines: busyEngines, owned: b.Owned,
		sequence: b.Sequence, baseSequence: b.Sequence,
	}
	return nil
}

// Contact holds the data by which a coordinator decides whether a box is silent.
type Contact struct {
	// Age is the time since the last heartbeat of the box, or since the coordinator took over if there was none.
	Age time.Duration
	// Inherited means that the box comes from the last coordinator's map and has sent no heartbeat to this coordinator yet.
	Inherited bool
}

// LastContact returns the heartbeat age of a box for the log, or the zero value if the box is not a member.
func (s *State) LastContact(now time.Time, box string) Contact {
	m := s.members[box]
	if m == nil {
		return Contact{}
	}
	return Contact{Age: now.Sub(m.lastSeen), Inherited: m.inherited}
}

// CorrectForSuspension corrects the members' last heartbeat times after this process was suspended for d. It could not receive
// heartbeats during that time, so all times are moved forward by d: no box is shown as silent or loses engines because of the
// suspension.
func (s *State) CorrectForSuspension(now time.Time, d time.Duration) {
	for _, m := range s.members {
		if m.lastSeen = m.lastSeen.Add(d); m.lastSeen.After(now) {
			// A heartbeat has arrived since the suspension.
			m.lastSeen = now
		}
	}
}

// isSilent reports whether a member has missed its heartbeats. A member that was silent for the last coordinator stays silent until it
// sends a heartbeat to this coordinator. Its lastSeen is the time of the takeover, which limits how long its grants may be valid; it is
// not the time of its last heartbeat. Without this rule a lost box would be shown to callers for another SilentAfter after each change
// of coordinator.
func (s *State) isSilent(now time.Time, m *member) bool {
	switch {
	case s.cfg.SilentAfter == 0:
		return false
	case m.inherited:
		return m.Silent || s.hasPublished && now.Sub(s.firstPublishedAt) > cmp.Or(s.cfg.InheritedSilentAfter, s.cfg.SilentAfter)
	default:
		return now.Sub(m.lastSeen) > s.cfg.SilentAfter
	}
}

// handleNewProcess updates the ownership of a box's engines after the box has restarted as a new process.
func (s *State) handleNewProcess(now time.Time, m *member) {
	previous := m.Box + "/" + m.Incarnation
	if !s.cfg.Reclaim {
		// The old process may be suspended instead of ended, so it is treated as silent and not as drained.
		s.disownEngines(now, m.Box, m.lastSeen.Add(s.cfg.Term), previous)
		return
	}
	for _, o := range s.owners {
		if o.Owner == m.Box {
			s.highestEpoch++
			o.Previous, o.Epoch = previous, s.highestEpoch
			s.freedAt[o.Engine] = now
		}
	}
}

// disownEngines removes a box as the owner of its engines. Other boxes may own them once OrderGap has passed after until.
func (s *State) disownEngines(now time.Time, box string, until time.Time, previous string) {
	for _, o := range s.owners {
		if o.Owner == box {
			s.clearOwner(now, o, previous)
			s.reserve(o.Engine, reservation{box: box}, until)
		}
	}
}

// reserve keeps an engine for the box that last owned it. The reservation ends OrderGap after until.
func (s *State) reserve(engine string, r reservation, until time.Time) {
	s.reservedUntil[engine], s.reservedFor[engine] = until.Add(s.cfg.OrderGap), r
}

func (s *State) clearOwner(now time.Time, o *Ownership, previous string) {
	o.Previous, o.Owner = previous, ""
	s.freedAt[o.Engine] = now
}

// SetLeavingBoxes sets the boxes that the platform's box list marks as leaving. The list is delayed, so it is trusted only for boxes
// that it marks as leaving, never for boxes that it marks as live.
func (s *State) SetLeavingBoxes(boxes []string) {
	s.listedLeaving = slices.Clone(boxes)
	slices.Sort(s.listedLeaving)
}

// Tick removes members that have been silent for a whole term and assigns the cell's engines.
func (s *State) Tick(now time.Time, engines []Engine) {
	s.dropExpiredMembers(now)
	s.lastTick = now
	s.engineZones = map[string]string{}
	for _, e := range engines {
		s.engineZones[e.Name] = e.Zone
		if s.owners[e.Name] == nil {
			s.owners[e.Name] = &Ownership{Engine: e.Name}
			if s.unreportedGrants {
				s.reservedUntil[e.Name] = s.earlierGrantsEnd
			}
		}
	}
	for _, o := range s.owners {
		if _, declared := s.engineZones[o.Engine]; !declared {
			s.retireUndeclaredEngine(now, o)
		}
	}
	for _, o := range s.owners {
		s.clearPreviousIfDrained(now, o)
		s.applyRelease(now, o)
	}
	s.assignEngines(now)
	owners := s.findPossibleOwners()
	s.keepLimit = s.sharePerBox(len(owners))
	s.hasAttachedBox = slices.ContainsFunc(owners, func(b string) bool { return !s.members[b].Detached })
}

// retireUndeclaredEngine removes the owner of an engine whose entry is missing, and later the engine itself. The entry may come back,
// for example after an outage of the store, and the owner's grants are valid for up to a term. Until then the engine stays reserved for
// that box, and stays in the map so that the next coordinator reserves it too.
func (s *State) retireUndeclaredEngine(now time.Time, o *Ownership) {
	if box := o.Owner; box != "" {
		s.clearOwner(now, o, box)
		s.reserve(o.Engine, reservation{box: box}, now.Add(s.cfg.Term))
	}
	if now.Before(s.reservedUntil[o.Engine]) {
		return
	}
	delete(s.owners, o.Engine)
	delete(s.freedAt, o.Engine)
	delete(s.reservedUntil, o.Engine)
	delete(s.reservedFor, o.Engine)
}

// dropExpiredMembers removes members that have been silent for longer than a term, and their ownerships.
func (s *State) dropExpiredMembers(now time.Time) {
	for box, m := range s.members {
		if now.Sub(m.lastSeen) > s.cfg.Term {
			s.disownEngines(now, box, now, box)
			delete(s.members, box)
		}
	}
}

// clearPreviousIfDrained clears the previous owner once none of its requests can be in flight. While the previous owner still reports
// the engine as owned, it has not been notified of the loss yet, so it has not reported its requests in flight either.
func (s *State) clearPreviousIfDrained(now time.Time, o *Ownership) {
	if o.Previous == "" {
		return
	}
	m := s.members[o.Previous]
	drained := m != nil && m.lastSeen.After(s.freedAt[o.Engine]) && !slices.Contains(m.busyEngines, o.Engine)
	if drained || now.Sub(s.freedAt[o.Engine]) > s.cfg.Term+s.cfg.Drain {
		o.Previous = ""
		delete(s.freedAt, o.Engine)
	}
}

// applyRelease removes the owner of an engine if the owner has released its current grant.
func (s *State) applyRelease(now time.Time, o *Ownership) {
	if m := s.members[o.Owner]; m != nil && slices.Contains(m.released, Release{o.Engine, o.Epoch}) {
		s.reserve(o.Engine, reservation{o.Owner, m.Incarnation}, now)
		s.clearOwner(now, o, o.Owner)
	}
}

// SetPublished records that m is stored. From now on Reply may grant the engines of m to their owners.
func (s *State) SetPublished(now time.Time, m Map) {
	if !s.hasPublished {
		s.firstPublishedAt = now
	}
	s.published, s.hasPublished = m, true
	s.grantsByBox = map[string][]Ownership{}
	for _, o := range m.Owners {
		s.grantsByBox[o.Owner] = append(s.grantsByBox[o.Owner], o)
	}
}

// Reply returns the response to the last heartbeat of a box. It contains only grants that are published and have not changed since.
func (s *State) Reply(now time.Time, box string) Reply {
	r := Reply{Lease: s.cfg.Lease, Term: s.cfg.Term, Frozen: !s.hasPublished}
	m := s.members[box]
	if m == nil {
		return r
	}
	for _, o := range s.grantsByBox[box] {
		if current := s.owners[o.Engine]; current != nil && current.Owner == box && current.Epoch == o.Epoch {
			r.Grants = append(r.Grants, *current)
		}
	}
	r.Release = s.enginesToRelease(now, m, r.Grants)
	r.Frozen = r.Frozen || s.hasUnpublishedClaim(m, r.Grants)
	return r
}

// hasUnpublishedClaim reports whether a box owns an engine that it claimed and that the published map does not contain as its own yet.
// A reply with the published grants would take that engine away.
func (s *State) hasUnpublishedClaim(m *member, grants []Ownership) bool {
	if !s.cfg.Restored {
		return false
	}
	return slices.ContainsFunc(m.owned, func(o Ownership) bool {
		current := s.owners[o.Engine]
		return current != nil && current.Owner == m.Box && current.Epoch == o.Epoch &&
			!slices.ContainsFunc(grants, func(g Ownership) bool { return g.Engine == o.Engine })
	})
}

// Map returns the map to publish, with sorted lists.
func (s *State) Map() Map {
	cellMap := Map{
		Cell: s.cfg.Cell, Region: s.cfg.Region, Coordinator: s.cfg.Box, Lease: s.cfg.Lease, Epoch: s.highestEpoch, Leaving: s.listedLeaving,
		UnreportedGrants: s.unreportedGrants && s.lastTick.Before(s.earlierGrantsEnd),
	}
	for _, m := range s.members {
		entry := m.Member
		entry.Leaving = entry.Leaving || slices.Contains(s.listedLeaving, m.Box)
		entry.Silent = s.isSilent(s.lastTick, m)
		cellMap.Members = append(cellMap.Members, entry)
	}
	slices.SortFunc(cellMap.Members, func(a, b Member) int { return cmp.Compare(a.Box, b.Box) })
	for _, name := range s.sortedEngineNames() {
		cellMap.Owners = append(cellMap.Owners, *s.owners[name])
	}
	return cellMap
}
