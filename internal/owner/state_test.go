package owner_test

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
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

func ref(i int) resource.Ref { return resource.Ref{Adapter: fmt.Sprintf("a%d", i), Version: "1"} }

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

func TestRefusals(t *testing.T) {
	now := time.Unix(1000, 0)
	later := now.Add(time.Minute)
	for _, tt := range []struct {
		name  string
		setUp func(*owner.State) []owner.Action
		want  result.Code
	}{
		{"past its start", func(s *owner.State) []owner.Action {
			return s.Submit(now, owner.Ticket{ID: 1, Ref: ref(1), Arrived: now, StartBy: now})
		}, result.DeadlineUnmet},
		{"handed over", func(s *owner.State) []owner.Action {
			s.Stop(now)
			return s.Submit(now, owner.Ticket{ID: 1, Ref: ref(1), Arrived: now, StartBy: later})
		}, result.NotOwner},
		{"the box is leaving", func(s *owner.State) []owner.Action {
			s.Close(now, true)
			return s.Submit(now, owner.Ticket{ID: 1, Ref: ref(1), Arrived: now, StartBy: later})
		}, result.TryNext},
		{"the load failed", func(s *owner.State) []owner.Action {
			s.Submit(now, owner.Ticket{ID: 1, Ref: ref(1), Arrived: now, StartBy: later})
			s.Granted(now, ref(1))
			return s.Loaded(now, ref(1), errors.New("broken"))
		}, result.LoadFailed},
		{"no slot can be freed", func(s *owner.State) []owner.Action {
			s.Adopt([]resource.Ref{ref(2)}, true)
			return s.Submit(now, owner.Ticket{ID: 1, Ref: ref(1), Arrived: now, StartBy: later})
		}, result.TryNext},
		{"the queue is full", func(s *owner.State) []owner.Action {
			s.Submit(now, owner.Ticket{ID: 1, Ref: ref(1), Arrived: now, StartBy: later, Last: true})
			return s.Submit(now, owner.Ticket{ID: 2, Ref: ref(2), Arrived: now, StartBy: later, Last: true})
		}, result.QueueFull},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			actions := tt.setUp(owner.New(owner.Config{Slots: 1, Batch: 1, MaxQueue: 1}))
			var got []result.Code
			for _, a := range actions {
				if r, ok := a.(owner.Refuse); ok {
					got = append(got, r.Err.Code)
				}
			}
			c.Check(got, qt.DeepEquals, []result.Code{tt.want})
		})
	}
}

// TestUrgentGoesFirst lets an urgent ticket pass night work in a full queue and in the order of starts.
func TestUrgentGoesFirst(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := owner.New(owner.Config{Slots: 1, Batch: 1, MaxQueue: 2})
	s.Adopt([]resource.Ref{ref(1)}, false)
	submit := func(id uint64, urgency int) []owner.Action {
		return s.Submit(now, owner.Ticket{ID: id, Ref: ref(1), Urgency: urgency, Arrived: now, StartBy: now.Add(time.Hour), Last: true})
	}
	submit(1, 0)
	submit(2, 0)
	submit(3, 0)
	actions := submit(4, 50)
	refused, ok := actions[0].(owner.Refuse)
	c.Assert(ok, qt.IsTrue)
	c.Check(refused.Ticket.ID, qt.Equals, uint64(3))
	actions = s.Done(now, 1, owner.EndWhole)
	started, ok := actions[0].(owner.Start)
	c.Assert(ok, qt.IsTrue)
	c.Check(started.Ticket.ID, qt.Equals, uint64(4))
}

// discovered returns a state as a discovered engine's owner has it, with nothing loaded.
func discovered(slots int) *owner.State {
	s := owner.New(owner.Config{Slots: slots, Batch: 4, MaxQueue: 16, FinishesFirst: true, AwaitReport: true, PrefillRate: 1000, KVTokens: 1000})
	s.Adopt(nil, false)
	return s
}

func actionsOf[T owner.Action](actions []owner.Action) []T {
	var out []T
	for _, a := range actions {
		if t, ok := a.(T); ok {
			out = append(out, t)
		}
	}
	return out
}

// TestUnansweredLoadKeepsItsSlot: a load whose answer was lost may be carried out seconds later, so its slot is not given to another adapter.
func TestUnansweredLoadKeepsItsSlot(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := discovered(1)
	s.Submit(now, owner.Ticket{ID: 1, Ref: ref(1), Arrived: now, StartBy: now.Add(time.Minute), Last: true})
	c.Assert(actionsOf[owner.Load](s.Granted(now, ref(1))), qt.HasLen, 1)
	s.Loaded(now, ref(1), errors.New("no answer"))
	now = now.Add(5 * time.Second)
	s.Submit(now, owner.Ticket{ID: 2, Ref: ref(2), Arrived: now, StartBy: now.Add(time.Minute), Last: true})
	c.Check(actionsOf[owner.Load](s.Granted(now, ref(2))), qt.HasLen, 0)
	now = now.Add(11 * time.Second)
	c.Check(actionsOf[owner.AskPermit](s.Tick(now)), qt.HasLen, 1)
	c.Check(actionsOf[owner.Load](s.Granted(now, ref(2))), qt.HasLen, 1)
}

// TestReplacedVersionKeepsItsSlotUntilTheNewOneIsThere: both count while the old one's runs go on.
func TestReplacedVersionKeepsItsSlotUntilTheNewOneIsThere(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := discovered(2)
	first, second, other := resource.Ref{Adapter: "a", Version: "1"}, resource.Ref{Adapter: "a", Version: "2"}, ref(9)
	s.Adopt([]resource.Ref{first}, false)
	c.Assert(actionsOf[owner.Start](s.Submit(now, owner.Ticket{ID: 1, Ref: first, Arrived: now, StartBy: now.Add(time.Minute)})), qt.HasLen, 1)
	s.Submit(now, owner.Ticket{ID: 2, Ref: second, Arrived: now, StartBy: now.Add(time.Minute), Last: true})
	c.Assert(actionsOf[owner.Load](s.Granted(now, second)), qt.HasLen, 1)
	s.Submit(now, owner.Ticket{ID: 3, Ref: other, Arrived: now, StartBy: now.Add(time.Minute), Last: true})
	c.Check(actionsOf[owner.Load](s.Granted(now, other)), qt.HasLen, 0)
	c.Check(actionsOf[owner.Start](s.Loaded(now, second, nil)), qt.HasLen, 1)
	c.Check(s.Holds(first), qt.IsFalse)
	c.Check(actionsOf[owner.Load](s.Granted(now, other)), qt.HasLen, 1)
}

// TestNothingIsLoadedBeforeTheFirstReport: what the engine holds is not known yet.
func TestNothingIsLoadedBeforeTheFirstReport(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := owner.New(owner.Config{Slots: 1, Batch: 1, MaxQueue: 4, AwaitReport: true})
	actions := s.Submit(now, owner.Ticket{ID: 1, Ref: ref(1), Arrived: now, StartBy: now.Add(time.Minute), Last: true})
	c.Check(actionsOf[owner.AskPermit](actions), qt.HasLen, 0)
	s.Adopt([]resource.Ref{ref(1)}, false)
	c.Check(actionsOf[owner.Start](s.Tick(now)), qt.HasLen, 1)
}

// TestExpectedWait sends a ticket on with the wait that it would have here.
func TestExpectedWait(t *testing.T) {
	now := time.Unix(1000, 0)
	ask := func(prompt int, accept time.Duration) owner.Ticket {
		return owner.Ticket{ID: 99, Ref: ref(1), Arrived: now, StartBy: now.Add(time.Minute), Prompt: prompt, Accept: accept}
	}
	for _, tt := range []struct {
		name string
		busy int
		ask  owner.Ticket
		want time.Duration
	}{
		{"free", 0, ask(100, 100*time.Millisecond), 0},
		{"a prompt of 200 ms ahead, half again as its weight", 200, ask(100, 100*time.Millisecond), 300 * time.Millisecond},
		{"as long as is accepted", 200, ask(100, 300*time.Millisecond), 0},
		{"the cache is full until the one run ends", 950, ask(100, 100*time.Millisecond), (950 + 1000) * 3 / 2 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s := discovered(2)
			s.Adopt([]resource.Ref{ref(1)}, false)
			if tt.busy > 0 {
				s.Submit(now, owner.Ticket{ID: 1, Ref: ref(1), Arrived: now, StartBy: now.Add(time.Minute), Prompt: tt.busy})
			}
			actions := s.Submit(now, tt.ask)
			if tt.want == 0 {
				c.Check(actionsOf[owner.Start](actions), qt.HasLen, 1)
				return
			}
			refused := actionsOf[owner.Refuse](actions)
			c.Assert(refused, qt.HasLen, 1)
			c.Check(refused[0].Err.Code, qt.Equals, result.Crowded)
			c.Check(refused[0].Err.RetryAfter, qt.Equals, tt.want)
		})
	}
}

// TestExpectedWaitCountsTheQueue fills a batch: each ticket that waits adds the time in which one of the runs ends, as runs have lasted.
func TestExpectedWaitCountsTheQueue(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := owner.New(owner.Config{Slots: 2, Batch: 4, MaxQueue: 100})
	s.Adopt([]resource.Ref{ref(1)}, false)
	submit := func(id uint64, accept time.Duration) []owner.Action {
		return s.Submit(now, owner.Ticket{ID: id, Ref: ref(1), Arrived: now, StartBy: now.Add(time.Minute), Accept: accept, Last: accept == 0})
	}
	id := uint64(0)
	for range 200 {
		id++
		submit(id, 0)
		now = now.Add(400 * time.Millisecond)
		s.Done(now, id, owner.EndWhole)
	}
	for range 4 {
		id++
		c.Assert(actionsOf[owner.Start](submit(id, 0)), qt.HasLen, 1)
	}
	for waiting := range 3 {
		refused := actionsOf[owner.Refuse](submit(1000, time.Millisecond))
		c.Assert(refused, qt.HasLen, 1)
		want := time.Duration(waiting+1) * 100 * time.Millisecond * 3 / 2
		c.Check((refused[0].Err.RetryAfter-want).Abs() < 2*time.Millisecond, qt.IsTrue, qt.Commentf("%d waiting: %v", waiting, refused[0].Err.RetryAfter))
		id++
		submit(id, 0)
	}
}

// TestNoLoadWhileMoreIsHeldThanFits: reports showed more than was known, so an unload alone makes no room.
func TestNoLoadWhileMoreIsHeldThanFits(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := discovered(2)
	s.Adopt([]resource.Ref{ref(1), ref(2)}, false)
	s.Submit(now, owner.Ticket{ID: 1, Ref: ref(3), Arrived: now, StartBy: now.Add(time.Minute), Last: true})
	unload := actionsOf[owner.Unload](s.Granted(now, ref(3)))
	c.Assert(unload, qt.HasLen, 1)
	s.Adopt([]resource.Ref{ref(4), ref(5)}, false)
	actions := s.Unloaded(now, unload[0].Ref, nil)
	c.Check(actionsOf[owner.Load](actions), qt.HasLen, 0)
	c.Check(actionsOf[owner.ReturnPermit](actions), qt.HasLen, 1)
}

// TestExpectedWaitCountsThoseWhoWaitForALoad: tickets that wait for the same adapter fill the batch as soon as it is there.
func TestExpectedWaitCountsThoseWhoWaitForALoad(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := owner.New(owner.Config{Slots: 2, Batch: 4, MaxQueue: 100})
	submit := func(id uint64, accept time.Duration) []owner.Action {
		return s.Submit(now, owner.Ticket{ID: id, Ref: ref(1), Arrived: now, StartBy: now.Add(time.Minute), Accept: accept, Last: accept == 0})
	}
	for id := range uint64(4) {
		c.Assert(actionsOf[owner.Refuse](submit(id, 500*time.Millisecond)), qt.HasLen, 0, qt.Commentf("%d", id))
	}
	refused := actionsOf[owner.Refuse](submit(4, 300*time.Millisecond))
	c.Check(refused, qt.HasLen, 1)
}

// TestSlowLoadsAreForgotten: what slow loads have taught fades, so that the engine gets loads again.
func TestSlowLoadsAreForgotten(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := owner.New(owner.Config{Slots: 50, Batch: 50, MaxQueue: 100})
	expected := func() time.Duration {
		refused := actionsOf[owner.Refuse](s.Submit(now, owner.Ticket{ID: 1000, Ref: ref(99), Arrived: now, StartBy: now.Add(time.Minute), Accept: time.Millisecond}))
		c.Assert(refused, qt.HasLen, 1)
		return refused[0].Err.RetryAfter
	}
	usual := expected()
	for i := range 20 {
		s.Submit(now, owner.Ticket{ID: uint64(i), Ref: ref(i), Arrived: now, StartBy: now.Add(time.Minute), Last: true})
		s.Granted(now, ref(i))
		now = now.Add(2 * time.Second)
		s.Loaded(now, ref(i), nil)
	}
	slow := expected()
	c.Check(slow > 2*usual, qt.IsTrue, qt.Commentf("%v, usually %v", slow, usual))
	now = now.Add(10 * time.Second)
	c.Check(expected() < usual+usual/5, qt.IsTrue, qt.Commentf("%v, usually %v", expected(), usual))
}

// TestExpectedWaitForgetsPromptsOfEndedRuns: runs that end before their prompts were thought to be read leave no wait behind.
func TestExpectedWaitForgetsPromptsOfEndedRuns(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := discovered(2)
	s.Adopt([]resource.Ref{ref(1)}, false)
	for id := range uint64(50) {
		s.Submit(now, owner.Ticket{ID: id, Ref: ref(1), Arrived: now, StartBy: now.Add(time.Minute), Prompt: 200, Last: true})
		s.Done(now, id, owner.EndWhole)
	}
	actions := s.Submit(now, owner.Ticket{ID: 99, Ref: ref(1), Arrived: now, StartBy: now.Add(time.Minute), Prompt: 200, Accept: time.Millisecond})
	c.Check(actionsOf[owner.Start](actions), qt.HasLen, 1)
}
