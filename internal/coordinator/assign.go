package coordinator

import (
	"slices"
	"time"

	"github.com/bellgap/bellgap/internal/placement"
)

// assignEngines gives each engine without an owner to a member that can own engines. Among the members that own fewer engines than their share, it
// prefers those in the engine's zone, then the best hash rank. If no member is below its share, zone and hash rank alone decide.
func (s *State) assignEngines(now time.Time) {
	if !s.cfg.Reclaim && now.Sub(s.cfg.Started) < s.cfg.Term {
		return
	}
	possibleOwners := s.findPossibleOwners()
	if len(possibleOwners) == 0 {
		return
	}
	engineCounts := s.countEngines()
	fairShare := s.sharePerBox(len(possibleOwners))
	for _, name := range s.sortedEngineNames() {
		o := s.owners[name]
		if _, declared := s.engineZones[name]; !declared || o.Owner != "" {
			continue
		}
		if now.Before(s.reservedUntil[name]) {
			if reserved := s.reservedFor[name]; s.cfg.Reclaim && !s.IsCollecting(now) && slices.Contains(possibleOwners, reserved.box) &&
				s.members[reserved.box].Incarnation != reserved.excludedIncarnation {
				s.setOwner(o, reserved.box)
				engineCounts[reserved.box]++
			}
			continue
		}
		candidates := s.preferZone(s.engineZones[name], placement.Rank(name, possibleOwners))
		chosen := candidates[0]
		for _, box := range candidates {
			if engineCounts[box] < fairShare {
				chosen = box
				break
			}
		}
		engineCounts[chosen]++
		s.setOwner(o, chosen)
	}
}

func (s *State) setOwner(o *Ownership, box string) {
	s.highestEpoch++
	o.Owner, o.Epoch = box, s.highestEpoch
	delete(s.reservedFor, o.Engine)
}

// preferZone moves the boxes of a zone to the front and otherwise keeps their order.
func (s *State) preferZone(zone string, boxes []string) []string {
	sameZone := make([]string, 0, len(boxes))
	var otherZones []string
	for _, b := range boxes {
		if s.members[b].Zone == zone {
			sameZone = append(sameZone, b)
		} else {
			otherZones = append(otherZones, b)
		}
	}
	return append(sameZone, otherZones...)
}

func (s *State) sortedEngineNames() []string {
	names := make([]string, 0, len(s.owners))
	for n := range s.owners {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// findPossibleOwners returns the live boxes that can own engines, sorted by name. If all live boxes are detached, it returns them all, since no change of
// owner would help.
func (s *State) findPossibleOwners() []string {
	live := s.findLiveBoxes()
	attached := slices.DeleteFunc(slices.Clone(live), func(b string) bool { return s.members[b].Detached })
	if len(attached) == 0 {
		return live
	}
	return attached
}

// findLiveBoxes returns the members that are neither leaving nor silent, sorted by name.
func (s *State) findLiveBoxes() []string {
	var boxes []string
	for b, m := range s.members {
		if !m.Leaving && !slices.Contains(s.listedLeaving, b) && !s.isSilent(s.lastTick, m) {
			boxes = append(boxes, b)
		}
	}
	slices.Sort(boxes)
	return boxes
}

func (s *State) countEngines() map[string]int {
	counts := map[string]int{}
	for _, o := range s.owners {
		counts[o.Owner]++
	}
	return counts
}

// sharePerBox returns the number of declared engines per box, rounded up, or 0 if there are no boxes.
func (s *State) sharePerBox(boxes int) int {
	if boxes == 0 {
		return 0
	}
	return (len(s.engineZones) + boxes - 1) / boxes
}

// enginesToRelease returns the engines that a member is to hand over to other boxes. After boxes have joined, these are the engines
// above its share, except engines whose previous owner may still have requests in flight. A leaving member hands over all engines,
// unless Config.Reclaim lets it keep its share. So does a detached member, unless all live boxes are detached.
func (s *State) enginesToRelease(now time.Time, m *member, grants []Ownership) []string {
	if s.keepLimit == 0 || now.Sub(s.cfg.Started) < s.cfg.Term {
		return nil
	}
	keepLimit := s.keepLimit
	leaving := m.Leaving || slices.Contains(s.listedLeaving, m.Box)
	detached := m.Detached && s.hasAttachedBox
	if (leaving && !s.cfg.Reclaim) || detached {
		keepLimit = 0
	}
	var names []string
	for _, o := range grants[min(keepLimit, len(grants)):] {
		if o.Previous == "" || leaving || detached {
			names = append(names, o.Engine)
		}
	}
	return names
}
