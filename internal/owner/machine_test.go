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

// stateMachine applies events to a State in random order and checks invariants after each event.
type stateMachine struct {
	state          *owner.State
	cfg            owner.Config
	now            time.Time
	nextID         uint64
	waiting        map[uint64]resource.Ref
	running        map[uint64]resource.Ref
	permitRequests []resource.Ref
	loading        map[resource.Ref]bool
	unloading      map[resource.Ref]bool
	loaded         map[resource.Ref]bool
	permits        int
}

func (m *stateMachine) apply(t *rapid.T, actions []owner.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case owner.Start:
			if m.waiting[a.Ticket.ID] != a.Ticket.Ref || !m.loaded[a.Ticket.Ref] || m.unloading[a.Ticket.Ref] {
				t.Fatalf("started %v, which is not waiting or whose adapter is not loaded", a.Ticket)
			}
			delete(m.waiting, a.Ticket.ID)
			m.running[a.Ticket.ID] = a.Ticket.Ref
		case owner.Refuse:
			if _, ok := m.waiting[a.Ticket.ID]; !ok {
				t.Fatalf("refused %v, which is not waiting", a.Ticket)
			}
			delete(m.waiting, a.Ticket.ID)
		case owner.RequestPermit:
			m.permitRequests = append(m.permitRequests, a.Ref)
		case owner.ReturnPermit:
			m.permits--
		case owner.Load:
			if m.permits == 0 {
				t.Fatalf("loaded %v without a permit", a.Ref)
			}
			m.permits--
			m.loading[a.Ref] = true
		case owner.Unload:
			if !m.loaded[a.Ref] {
				t.Fatalf("unloaded %v, which is not loaded", a.Ref)
			}
			m.unloading[a.Ref] = true
		}
	}
	m.checkInvariants(t)
}

// checkInvariants fails the test if an invariant is violated.
func (m *stateMachine) checkInvariants(t *rapid.T) {
	for id, r := range m.running {
		if m.unloading[r] && m.loaded[r] {
			t.Fatalf("unloading %v while ticket %d runs on it", r, id)
		}
	}
	if len(m.running) > m.cfg.Batch {
		t.Fatalf("%d running tickets exceed the batch size %d", len(m.running), m.cfg.Batch)
	}
	if n := len(m.loaded) + len(m.loading); n > m.cfg.Slots {
		t.Fatalf("%d loaded or loading adapters exceed %d slots", n, m.cfg.Slots)
	}
	if m.state.Waiting() != len(m.waiting) || m.state.InFlight() != len(m.running) {
		t.Fatalf("state counts %d waiting and %d in flight, want %d and %d",
			m.state.Waiting(), m.state.InFlight(), len(m.waiting), len(m.running))
	}
	if m.permits < 0 {
		t.Fatalf("more permits used or returned than granted")
	}
}

// drawKey draws a random key of m. The keys are sorted first, so that a failing run can be reproduced.
func drawKey[K comparable, V any](t *rapid.T, m map[K]V) (K, bool) {
	keys := slices.Collect(maps.Keys(m))
	if len(keys) == 0 {
		var none K
		return none, false
	}
	slices.SortFunc(keys, func(a, b K) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
	return keys[rapid.IntRange(0, len(keys)-1).Draw(t, "which")], true
}

func (m *stateMachine) actions() map[string]func(*rapid.T) {
	all := map[string]func(*rapid.T){
		"submit": func(t *rapid.T) {
			m.nextID++
			r := ref(rapid.SampledFrom([]int{0, 1, 2, 3, 4, 5}).Draw(t, "adapter"))
			m.waiting[m.nextID] = r
			m.apply(t, m.state.Submit(m.now, owner.Ticket{
				ID: m.nextID, Ref: r, Urgency: rapid.SampledFrom([]int{0, 50}).Draw(t, "urgency"), Arrived: m.now,
				StartBy: m.now.Add(time.Duration(rapid.SampledFrom([]int{5, 60, 600}).Draw(t, "wait")) * time.Second),
				Last:    rapid.Bool().Draw(t, "last"), Spare: rapid.Bool().Draw(t, "spare"),
			}))
		},
		"end": func(t *rapid.T) {
			if id, ok := drawKey(t, m.running); ok {
				r := m.running[id]
				delete(m.running, id)
				end := rapid.SampledFrom([]owner.End{owner.EndWhole, owner.EndBroken}).Draw(t, "end")
				if drawRarely(t, "lost") {
					end = owner.EndNotLoaded
				}
				wasLoaded := m.state.IsLoaded(r)
				actions := m.state.FinishTicket(m.now, id, end)
				// EndNotLoaded of a request that started before the adapter was loaded again does not remove the adapter.
				if wasLoaded && !m.state.IsLoaded(r) && !m.unloading[r] {
					delete(m.loaded, r)
				}
				m.apply(t, actions)
			}
		},
		"cancel": func(t *rapid.T) {
			if id, ok := drawKey(t, m.waiting); ok {
				delete(m.waiting, id)
				m.apply(t, m.state.Cancel(m.now, id))
			}
		},
		"permit": func(t *rapid.T) {
			if len(m.permitRequests) == 0 {
				return
			}
			r := m.permitRequests[0]
			m.permitRequests = m.permitRequests[1:]
			if drawRarely(t, "denied") {
				m.apply(t, m.state.PermitDenied(m.now, r))
				return
			}
			m.permits++
			m.apply(t, m.state.PermitGranted(m.now, r))
		},
		"loaded": func(t *rapid.T) {
			if r, ok := drawKey(t, m.loading); ok {
				delete(m.loading, r)
				var err error
				if drawRarely(t, "fails") {
					err = errors.New("broken")
				} else {
					m.loaded[r] = true
				}
				m.apply(t, m.state.FinishLoad(m.now, r, err))
			}
		},
		"unloaded": func(t *rapid.T) {
			if r, ok := drawKey(t, m.unloading); ok {
				delete(m.unloading, r)
				var err error
				if drawRarely(t, "fails") {
					err = errors.New("lost")
				} else {
					delete(m.loaded, r)
				}
				m.apply(t, m.state.FinishUnload(m.now, r, err))
			}
		},
		"time": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{10, 1000, 6000}).Draw(t, "ms")) * time.Millisecond)
			m.apply(t, m.state.Tick(m.now))
		},
	}
	// Actions are drawn with equal probability. Duplicates of the actions that fill the engine make these more frequent.
	for _, name := range []string{"submit", "permit", "loaded"} {
		for i := range 3 {
			all[fmt.Sprintf("%s again %d", name, i)] = all[name]
		}
	}
	return all
}

// drawRarely draws true in one of six cases.
func drawRarely(t *rapid.T, label string) bool {
	return rapid.SampledFrom([]bool{false, false, false, false, false, true}).Draw(t, label)
}

// TestStateInvariants applies random events to a State. No sequence of events may violate an invariant, and Stop must leave no
// waiting tickets.
func TestStateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := owner.Config{Slots: 3, Batch: 4, MaxQueue: 6, Pack: rapid.Bool().Draw(t, "pack")}
		m := &stateMachine{
			state: owner.New(cfg), cfg: cfg, now: time.Unix(1000, 0),
			waiting: map[uint64]resource.Ref{}, running: map[uint64]resource.Ref{},
			loading: map[resource.Ref]bool{}, unloading: map[resource.Ref]bool{}, loaded: map[resource.Ref]bool{},
		}
		t.Repeat(m.actions())
		m.apply(t, m.state.Stop(m.now))
		if m.state.Waiting() != 0 {
			t.Fatal("tickets are still waiting after Stop")
		}
	})
}
