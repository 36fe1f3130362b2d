package owner_test

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/resource"
)

// machine drives a State with every event in any order and checks what must always hold after each.
type machine struct {
	state   *owner.State
	cfg     owner.Config
	now     time.Time
	nextID  uint64
	open    map[uint64]resource.Ref
	running map[uint64]resource.Ref
	asked   []resource.Ref
	loading map[resource.Ref]bool
	unloads map[resource.Ref]bool
	held    map[resource.Ref]bool
	permits int
}

func (m *machine) apply(t *rapid.T, actions []owner.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case owner.Start:
			if m.open[a.Ticket.ID] != a.Ticket.Ref || !m.held[a.Ticket.Ref] || m.unloads[a.Ticket.Ref] {
				t.Fatalf("start of %v, which is not open or not loaded", a.Ticket)
			}
			delete(m.open, a.Ticket.ID)
			m.running[a.Ticket.ID] = a.Ticket.Ref
		case owner.Refuse:
			if _, ok := m.open[a.Ticket.ID]; !ok {
				t.Fatalf("second verdict for %v", a.Ticket)
			}
			delete(m.open, a.Ticket.ID)
		case owner.AskPermit:
			m.asked = append(m.asked, a.Ref)
		case owner.ReturnPermit:
			m.permits--
		case owner.Load:
			if m.permits == 0 {
				t.Fatalf("load of %v without a permit", a.Ref)
			}
			m.permits--
			m.loading[a.Ref] = true
		case owner.Unload:
			if !m.held[a.Ref] {
				t.Fatalf("unload of %v, which is not loaded", a.Ref)
			}
			m.unloads[a.Ref] = true
		}
	}
	m.check(t)
}

// check holds the invariants.
func (m *machine) check(t *rapid.T) {
	for id, r := range m.running {
		if m.unloads[r] && m.held[r] {
			t.Fatalf("%v is unloaded while %d runs on it", r, id)
		}
	}
	if len(m.running) > m.cfg.Batch {
		t.Fatalf("%d run, the batch is %d", len(m.running), m.cfg.Batch)
	}
	if n := len(m.held) + len(m.loading); n > m.cfg.Slots {
		t.Fatalf("%d adapters, %d slots", n, m.cfg.Slots)
	}
	if m.state.Waiting() != len(m.open) || m.state.InFlight() != len(m.running) {
		t.Fatalf("the state counts %d waiting and %d in flight, there are %d and %d", m.state.Waiting(), m.state.InFlight(), len(m.open), len(m.running))
	}
	if m.permits < 0 {
		t.Fatalf("a permit was used twice")
	}
}

// pick draws a key; the keys are put in order, so that a failure can be repeated.
func pick[K comparable, V any](t *rapid.T, m map[K]V) (K, bool) {
	keys := slices.Collect(maps.Keys(m))
	if len(keys) == 0 {
		var none K
		return none, false
	}
	slices.SortFunc(keys, func(a, b K) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
	return keys[rapid.IntRange(0, len(keys)-1).Draw(t, "which")], true
}

func (m *machine) actions() map[string]func(*rapid.T) {
	all := map[string]func(*rapid.T){
		"submit": func(t *rapid.T) {
			m.nextID++
			r := ref(rapid.SampledFrom([]int{0, 1, 2, 3, 4, 5}).Draw(t, "adapter"))
			m.open[m.nextID] = r
			m.apply(t, m.state.Submit(m.now, owner.Ticket{
				ID: m.nextID, Ref: r, Urgency: rapid.SampledFrom([]int{0, 50}).Draw(t, "urgency"), Arrived: m.now,
				StartBy: m.now.Add(time.Duration(rapid.SampledFrom([]int{5, 60, 600}).Draw(t, "wait")) * time.Second), Last: rapid.Bool().Draw(t, "last"),
			}))
		},
		"end": func(t *rapid.T) {
			if id, ok := pick(t, m.running); ok {
				r := m.running[id]
				delete(m.running, id)
				end := rapid.SampledFrom([]owner.End{owner.EndWhole, owner.EndBroken}).Draw(t, "end")
				if rarely(t, "lost") {
					end = owner.EndNotLoaded
				}
				held := m.state.Holds(r)
				actions := m.state.Done(m.now, id, end)
				// An old request's word does not count against an adapter that was loaded again since.
				if held && !m.state.Holds(r) && !m.unloads[r] {
					delete(m.held, r)
				}
				m.apply(t, actions)
			}
		},
		"cancel": func(t *rapid.T) {
			if id, ok := pick(t, m.open); ok {
				delete(m.open, id)
				m.apply(t, m.state.Cancel(m.now, id))
			}
		},
		"permit": func(t *rapid.T) {
			if len(m.asked) == 0 {
				return
			}
			r := m.asked[0]
			m.asked = m.asked[1:]
			if rarely(t, "denied") {
				m.apply(t, m.state.Denied(m.now, r))
				return
			}
			m.permits++
			m.apply(t, m.state.Granted(m.now, r))
		},
		"loaded": func(t *rapid.T) {
			if r, ok := pick(t, m.loading); ok {
				delete(m.loading, r)
				var err error
				if rarely(t, "fails") {
					err = errors.New("broken")
				} else {
					m.held[r] = true
				}
				m.apply(t, m.state.Loaded(m.now, r, err))
			}
		},
		"unloaded": func(t *rapid.T) {
			if r, ok := pick(t, m.unloads); ok {
				delete(m.unloads, r)
				var err error
				if rarely(t, "fails") {
					err = errors.New("lost")
				} else {
					delete(m.held, r)
				}
				m.apply(t, m.state.Unloaded(m.now, r, err))
			}
		},
		"time": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{10, 1000, 6000}).Draw(t, "ms")) * time.Millisecond)
			m.apply(t, m.state.Tick(m.now))
		},
	}
	// Names are drawn evenly, so that what fills an engine is named more often.
	for _, again := range []string{"submit", "permit", "loaded"} {
		for i := range 3 {
			all[fmt.Sprintf("%s again %d", again, i)] = all[again]
		}
	}
	return all
}

// rarely draws true in a small part of the cases.
func rarely(t *rapid.T, label string) bool {
	return rapid.SampledFrom([]bool{false, false, false, false, false, true}).Draw(t, label)
}

func TestStateAlwaysHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := owner.Config{Slots: 3, Batch: 4, MaxQueue: 6, Pack: rapid.Bool().Draw(t, "pack")}
		m := &machine{
			state: owner.New(cfg), cfg: cfg, now: time.Unix(1000, 0), open: map[uint64]resource.Ref{}, running: map[uint64]resource.Ref{},
			loading: map[resource.Ref]bool{}, unloads: map[resource.Ref]bool{}, held: map[resource.Ref]bool{},
		}
		t.Repeat(m.actions())
		m.apply(t, m.state.Stop(m.now))
		if m.state.Waiting() != 0 {
			t.Fatal("a stopped state keeps tickets waiting")
		}
	})
}
