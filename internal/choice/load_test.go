package choice_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/choice"
	"github.com/bellgap/bellgap/internal/engineload"
	"github.com/bellgap/bellgap/internal/placement"
)

const (
	boxCount    = 63
	engineCount = 90
	slotCount   = 5
	objective   = 800 * time.Millisecond
	prompt      = 1000
	loadTime    = 288 * time.Millisecond
	// freeLoads is how many loads the weight store serves at full speed.
	freeLoads      = 72
	reportInterval = time.Second
	asked          = 6
)

// modelSlot is an adapter slot of a modelled engine. The adapter is loaded at loaded and in use until busy.
type modelSlot struct{ loaded, busy time.Duration }

// modelEngine is an engine with its owner. Times are virtual.
type modelEngine struct {
	name string
	rate float64
	// readUntil is when the engine has processed all prompts sent to it.
	readUntil time.Duration
	slots     map[int]*modelSlot
	work      float64
	report    engineload.Report
	holds     map[int]bool
	reported  time.Duration
	sent      [boxCount]choice.Sent
}

// model is a service of engines with boxes that choose among them.
type model struct {
	random   *rand.Rand
	now      time.Duration
	engines  []*modelEngine
	weights  *placement.Weights
	byLoad   bool
	loadEnds []time.Duration
	// served, late and refused count requests. refusedWithRoom counts those refused while an engine could have started them in time.
	served, late, refused, refusedWithRoom, loads int
}

func newModel(byLoad bool) *model {
	m := &model{random: rand.New(rand.NewPCG(1, 2)), byLoad: byLoad, weights: placement.NewWeights()}
	rates := map[string]float64{}
	for i := range engineCount {
		e := &modelEngine{name: fmt.Sprintf("engine-%03d", i), rate: 5000 * (1 + 1.4*m.random.Float64()), slots: map[int]*modelSlot{}}
		e.reported = -time.Duration(m.random.Int64N(int64(reportInterval)))
		m.engines = append(m.engines, e)
		rates[e.name] = e.rate
	}
	if byLoad {
		m.weights.Update(rates)
	}
	return m
}

// slotWait returns the time until a slot of the engine is free, and the number of slots that are free now.
func (e *modelEngine) slotWait(now time.Duration) (wait time.Duration, free int) {
	free, wait = slotCount-len(e.slots), math.MaxInt64
	for _, s := range e.slots {
		if s.busy <= now {
			free++
		}
		wait = min(wait, s.busy-now)
	}
	if free > 0 {
		wait = 0
	}
	return wait, free
}

// start returns when the engine would have read the prompt of a request for an adapter that is sent now.
func (m *model) start(e *modelEngine, adapter int) time.Duration {
	ready := max(m.now, e.readUntil)
	if s := e.slots[adapter]; s != nil {
		ready = max(ready, s.loaded)
	} else {
		wait, _ := e.slotWait(m.now)
		ready = max(ready, m.now+wait+m.loadDuration())
	}
	return ready + time.Duration(prompt/e.rate*float64(time.Second)) - m.now
}

func (m *model) loadDuration() time.Duration {
	m.loadEnds = slices.DeleteFunc(m.loadEnds, func(end time.Duration) bool { return end <= m.now })
	return time.Duration(float64(loadTime) * max(1, float64(len(m.loadEnds))/freeLoads))
}

// send runs a request on an engine.
func (m *model) send(box int, e *modelEngine, adapter int, run time.Duration) {
	start := m.start(e, adapter)
	s := e.slots[adapter]
	if s == nil {
		wait, _ := e.slotWait(m.now)
		m.evict(e)
		s = &modelSlot{loaded: m.now + wait + m.loadDuration()}
		e.slots[adapter] = s
		m.loadEnds = append(m.loadEnds, s.loaded)
		m.loads++
		e.sent[box].Loads++
	}
	e.sent[box].Tokens += prompt
	s.busy = max(s.busy, m.now+start+run)
	e.readUntil = max(m.now, e.readUntil) + time.Duration(prompt/e.rate*float64(time.Second))
	e.work += prompt / e.rate
	m.served++
	if start > objective {
		m.late++
	}
}

// evict frees a slot if all are taken: the one that became unused first or will do so.
func (m *model) evict(e *modelEngine) {
	if len(e.slots) < slotCount {
		return
	}
	victim, earliest := 0, time.Duration(math.MaxInt64)
	for adapter, s := range e.slots {
		if s.busy < earliest {
			victim, earliest = adapter, s.busy
		}
	}
	delete(e.slots, victim)
}

// refresh takes a new report of each engine whose last one is reportInterval old.
func (m *model) refresh() {
	for _, e := range m.engines {
		if m.now-e.reported < reportInterval && e.report.Engine != "" {
			continue
		}
		wait, free := e.slotWait(m.now)
		e.report = engineload.Report{
			Engine: e.name, PrefillRate: e.rate, Backlog: int(max(0, e.readUntil-m.now).Seconds() * e.rate), FreeSlots: free, SlotWait: wait, LoadTime: m.loadDuration(),
		}
		e.reported, e.sent, e.holds = m.now, [boxCount]choice.Sent{}, map[int]bool{}
		for adapter := range e.slots {
			e.holds[adapter] = true
		}
	}
}

// order returns the engines that a box asks for an adapter: by reports, or the first of the hash order and then those that hold the
// adapter, as without reports.
func (m *model) order(box, adapter int) []*modelEngine {
	list, views := make([]placement.Weighted, engineCount), make([]choice.Engine, engineCount)
	for i, e := range m.engines {
		list[i] = placement.Weighted{Name: e.name, Weight: m.weights.Of(e.name)}
	}
	var order, holders []*modelEngine
	for position, i := range placement.TopWeighted(fmt.Sprintf("a%d@1", adapter), list, engineCount) {
		e := m.engines[i]
		views[i] = choice.Engine{Position: position, Holds: e.holds[adapter], SameZone: i%3 == box%3, Report: &e.report, Age: m.now - e.reported, Sent: e.sent[box]}
		if position < asked {
			order = append(order, e)
		} else if e.holds[adapter] {
			holders = append(holders, e)
		}
	}
	if !m.byLoad {
		return append(order, holders...)
	}
	order = nil
	ranked, _ := choice.Rank(choice.Request{Prompt: prompt, Output: 60, Objective: objective}, views, m.random)
	for _, c := range ranked {
		order = append(order, m.engines[c.Index])
	}
	return order
}

// request lets a box ask the owners of engines for an adapter, with the rules of package relay.
func (m *model) request(box, adapter int, run time.Duration) {
	const inTime = time.Duration(choice.InTimeShare * float64(objective))
	var local, download *modelEngine
	localStart, downloadStart, downloadCost := time.Duration(0), time.Duration(0), time.Duration(0)
	for i, e := range m.order(box, adapter) {
		crowded := local != nil && localStart > inTime
		if i >= choice.MaxEngines || (i >= asked && !crowded) {
			break
		}
		start := m.start(e, adapter)
		switch {
		case e.slots[adapter] != nil && start <= objective/2:
			m.send(box, e, adapter, run)
			return
		case e.slots[adapter] != nil && (local == nil || start < localStart):
			local, localStart = e, start
		case e.slots[adapter] == nil:
			if cost := start + objective/8*time.Duration(min(i, asked)); download == nil || cost < downloadCost {
				download, downloadStart, downloadCost = e, start, cost
			}
		}
	}
	best, start := download, downloadStart
	if local != nil && (download == nil || downloadStart > inTime || (localStart <= inTime && localStart <= downloadStart+objective/2)) {
		best, start = local, localStart
	}
	if start <= objective*3/2 {
		m.send(box, best, adapter, run)
		return
	}
	m.refused++
	if slices.ContainsFunc(m.engines, func(e *modelEngine) bool { return m.start(e, adapter) <= inTime }) {
		m.refusedWithRoom++
	}
}

// simulate sends requests for 10,000 adapters by Zipf 1.2 at a rate per second that depends on the time.
func (m *model) simulate(length time.Duration, rate func(time.Duration) float64) {
	zipf := rand.NewZipf(m.random, 1.2, 1, 9999)
	for m.now < length {
		m.now += time.Duration(m.random.ExpFloat64() / rate(m.now) * float64(time.Second))
		m.refresh()
		run := 300 * time.Millisecond
		if m.random.IntN(3) == 0 {
			run = 1500 * time.Millisecond
		}
		m.request(m.random.IntN(boxCount), int(zipf.Uint64()), run)
	}
}

// unevenness returns the time that the busiest engine has worked over the mean.
func (m *model) unevenness() float64 {
	most, sum := 0.0, 0.0
	for _, e := range m.engines {
		most, sum = max(most, e.work), sum+e.work
	}
	return most * engineCount / sum
}

// TestLoad compares the choice by reports with the hash order. It guards against an uneven load of engines of different speed, and
// against refusals while other engines have room. In calm load the engines that hold a popular adapter can all start its requests in
// time, so it gets no further copy and its engines stay busier than others.
func TestLoad(t *testing.T) {
	wave := func(now time.Duration) float64 { return 507 * (1 + 0.55*math.Sin(2*math.Pi*now.Seconds()/10)) }
	for _, tt := range []struct {
		name string
		rate func(time.Duration) float64
		// maxUneven bounds the busiest engine's work over the mean, maxRefused the share of requests refused.
		maxUneven, maxRefused float64
	}{
		{"calm", func(time.Duration) float64 { return 450 }, 2, 0.01},
		{"wave", wave, 1.4, 0.1},
		{"burst", func(now time.Duration) float64 {
			if now%(10*time.Second) < 2*time.Second {
				return 1200
			}
			return 400
		}, 1.4, 0.1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			hash, reports := newModel(false), newModel(true)
			for _, m := range []*model{hash, reports} {
				m.simulate(30*time.Second, tt.rate)
				c.Logf("by reports %v: busiest over mean %.2f, served %d, late %d, refused %d, with room elsewhere %d, loads %d", m.byLoad, m.unevenness(), m.served, m.late, m.refused, m.refusedWithRoom, m.loads)
			}
			c.Check(reports.unevenness() < tt.maxUneven, qt.IsTrue)
			c.Check(reports.unevenness() < hash.unevenness(), qt.IsTrue)
			c.Check(reports.refusedWithRoom <= hash.refusedWithRoom/4, qt.IsTrue)
			c.Check(float64(reports.refused) <= tt.maxRefused*float64(reports.refused+reports.served), qt.IsTrue)
		})
	}
}
