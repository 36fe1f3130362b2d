package coordinator

import (
	"slices"
	"time"

	"github.com/bellgap/bellgap/internal/placement"
)

// assign gives engines without an owner to the live member with the best hash that is under its share; members in the engine's zone go first.
func (s *State) assign(now time.Time) {
	if !s.cfg.Reclaim && now.Sub(s.cfg.Started) < s.cfg.Term {
		return
	}
	live := s.live()
	if len(live) == 0 {
		return
	}
	load := s.load()
	share := s.share(len(live))
	for _, name := range s.engineNames() {
		o := s.owners[name]
		if _, declared := s.zones[name]; !declared || o.Owner != "" {
			continue
		}
		if now.Before(s.heldUntil[name]) {
			if h := s.heldFor[name]; s.cfg.Reclaim && !s.Collecting(now) && slices.Contains(live, h.box) && s.members[h.box].Incarnation != h.released {
				s.own(o, h.box)
				load[h.box]++
			}
			continue
		}
		order := s.preferZone(s.zones[name], placement.Rank(name, live))
		pick := order[0]
		for _, box := range order {
			if load[box] < share {
				pick = box
				break
			}
		}
		load[pick]++
		s.own(o, pick)
	}
}

func (s *State) own(o *Ownership, box string) {
	s.epoch++
	o.Owner, o.Epoch = box, s.epoch
	delete(s.heldFor, o.Engine)
}

// preferZone moves the members of a zone to the front and keeps the order otherwise.
func (s *State) preferZone(zone string, boxes []string) []string {
	near := make([]string, 0, len(boxes))
	var far []string
	for _, b := range boxes {
		if s.members[b].Zone == zone {
			near = append(near, b)
		} else {
			far = append(far, b)
		}
	}
	return append(near, far...)
}

func (s *State) engineNames() []string {
	names := make([]string, 0, len(s.owners))
	for n := range s.owners {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

func (s *State) live() []string {
	var boxes []string
	for b, m := range s.members {
		if !m.Leaving && !slices.Contains(s.leaving, b) && !s.silent(s.now, m) {
			boxes = append(boxes, b)
		}
	}
	slices.Sort(boxes)
	return boxes
}

func (s *State) load() map[string]int {
	load := map[string]int{}
	for _, o := range s.owners {
		load[o.Owner]++
	}
	return load
}

// share returns how many engines are one box's part among so many, none if there are no boxes.
func (s *State) share(boxes int) int {
	if boxes == 0 {
		return 0
	}
	return (len(s.zones) + boxes - 1) / boxes
}

// release picks what a member should hand over: all when it leaves, and what is above its share when boxes have joined.
func (s *State) release(now time.Time, m *member, grants []Ownership) []string {
	if s.keep == 0 || now.Sub(s.cfg.Started) < s.cfg.Term {
		return nil
	}
	keep := s.keep
	leaving := m.Leaving || slices.Contains(s.leaving, m.Box)
	if leaving && !s.cfg.Reclaim {
		keep = 0
	}
	var names []string
	for _, o := range grants[min(keep, len(grants)):] {
		if o.Previous == "" || leaving {
			names = append(names, o.Engine)
		}
	}
	return names
}
