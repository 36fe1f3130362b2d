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
	boxCount, engineCount, slotCount = 63, 90, 5

	objective = 800 * time.Millisecond
	inTime    = time.Duration(choice.InTimeShare * float64(objective))
	prompt    = 1000
	loadTime  = 288 * time.Millisecond
	// freeLoads is how many concurrent loads the weight store serves at full speed.
	freeLoads      = 72
	reportInterval = time.Second
)

// modelSlot is an adapter slot of a modelled engine: when its load was ordered and ends, and until when the adapter is in use.
type modelSlot struct{ ordered, loaded, busy time.Duration }

// modelEngine is an engine with its owner. Times are virtual.
type modelEngine struct {
	name string
	rate float64
	// readUntil is when the engine has read all prompts sent to it, work the sum of the times for that in seconds.
	readUntil time.Duration
	work      float64
	slots     map[int]*modelSlot
	// decoding holds the ends of the answers that the engine generates.
	decoding []time.Duration
	report   engineload.Report
	reported time.Duration
	sent     [boxCount]choice.Sent
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

func (e *modelEngine) readTime() time.Duration {
	return time.Duration(prompt / e.rate * float64(time.Second))
}

// observedRate returns the prefill rate that the owner observes: half of the speed while many answers are generated.
func (e *modelEngine) observedRate(now time.Duration) float64 {
	const halfAt = 20
	e.decoding = slices.DeleteFunc(e.decoding, func(end time.Duration) bool { return end <= now })
	return e.rate / (1 + min(1, float64(len(e.decoding))/halfAt))
}

// evictIfFull frees a slot if all are taken: the one that became unused first or will do so.
func (e *modelEngine) evictIfFull() {
	victim, earliest := 0, time.Duration(math.MaxInt64)
	for adapter, s := range e.slots {
		if s.busy < earliest {
			victim, earliest = adapter, s.busy
		}
	}
	if len(e.slots) >= slotCount {
		delete(e.slots, victim)
	}
}

// holding is an adapter at an engine as a box knows it.
type holding struct {
	box, adapter int
	engine       *modelEngine
}

// model is a service of engines with boxes that choose among them, by reports or in the hash order.
type model struct {
	byLoad   bool
	random   *rand.Rand
	now      time.Duration
	engines  []*modelEngine
	weights  *placement.Weights
	loadEnds []time.Duration
	// sentAt is when a box last sent a request for an adapter to an engine. Boxes know no other copies.
	sentAt map[holding]time.Duration
	// served, late and refused count requests, refusedWithRoom those refused while an engine could have started them in time.
	served, late, refused, refusedWithRoom, loads int
}

func newModel(byLoad bool) *model {
	m := &model{random: rand.New(rand.NewPCG(1, 2)), byLoad: byLoad, weights: placement.NewWeights(), sentAt: map[holding]time.Duration{}}
	for i := range engineCount {
		e := &modelEngine{name: fmt.Sprintf("engine-%03d", i), rate: 5000 * (1 + 1.4*m.random.Float64()), slots: map[int]*modelSlot{}}
		e.reported = -time.Duration(m.random.Int64N(int64(reportInterval)))
		m.engines = append(m.engines, e)
	}
	return m
}

func (m *model) loadDuration() time.Duration {
	m.loadEnds = slices.DeleteFunc(m.loadEnds, func(end time.Duration) bool { return end <= m.now })
	return time.Duration(float64(loadTime) * max(1, float64(len(m.loadEnds))/freeLoads))
}

// loadEnd returns when the engine holds an adapter if a load is ordered now at the latest.
func (m *model) loadEnd(e *modelEngine, adapter int) time.Duration {
	if s := e.slots[adapter]; s != nil {
		return s.loaded
	}
	wait, _ := e.slotWait(m.now)
	return m.now + wait + m.loadDuration()
}

// start returns the time until the engine would have read the prompt of a request that is sent now.
func (m *model) start(e *modelEngine, adapter int) time.Duration {
	return max(m.now, e.readUntil, m.loadEnd(e, adapter)) + e.readTime() - m.now
}

// send runs a request of a box on an engine.
func (m *model) send(box int, e *modelEngine, adapter int, run time.Duration) {
	start := m.start(e, adapter)
	if e.slots[adapter] == nil {
		s := &modelSlot{ordered: m.now, loaded: m.loadEnd(e, adapter)}
		e.evictIfFull()
		e.slots[adapter] = s
		m.loadEnds = append(m.loadEnds, s.loaded)
		m.loads++
		e.sent[box].Loads++
	}
	s := e.slots[adapter]
	s.busy = max(s.busy, m.now+start+run)
	e.decoding = append(e.decoding, m.now+start+run)
	m.sentAt[holding{box, adapter, e}] = m.now
	e.sent[box].Tokens += prompt
	e.readUntil = max(m.now, e.readUntil) + e.readTime()
	e.work += e.readTime().Seconds()
	m.served++
	if start > objective {
		m.late++
	}
}

// refresh makes a new report of each engine whose last one is reportInterval old, and updates the weights of the rendezvous order.
func (m *model) refresh() {
	rates := map[string]float64{}
	for _, e := range m.engines {
		rates[e.name] = weightRate(&e.report)
	}
	if m.byLoad {
		m.weights.Update(rates)
	}
	for _, e := range m.engines {
		if m.now-e.reported < reportInterval && e.report.Engine != "" {
			continue
		}
		wait, free := e.slotWait(m.now)
		e.report = engineload.Report{
			Engine: e.name, PrefillRate: e.observedRate(m.now), UndisturbedRate: e.rate, Backlog: int(max(0, e.readUntil-m.now).Seconds() * e.rate), FreeSlots: free, SlotWait: wait, LoadTime: m.loadDuration(),
		}
		e.reported, e.sent = m.now, [boxCount]choice.Sent{}
	}
}

// weightRate returns the rate that the weight of an engine comes from.
func weightRate(r *engineload.Report) float64 { return r.UndisturbedRate }

// knowsCopy reports whether a box has sent a request for the adapter to the engine recently.
func (m *model) knowsCopy(box int, e *modelEngine, adapter int) bool {
	const holdingTTL = 30 * time.Second
	at, ok := m.sentAt[holding{box, adapter, e}]
	return ok && m.now-at < holdingTTL
}

// modelChoice is an engine that a box may ask.
type modelChoice struct {
	engine  *modelEngine
	further bool
}

// order returns the engines that a box asks for an adapter: by reports, or the first of the hash order and then the holders.
func (m *model) order(box, adapter int) []modelChoice {
	list, views := make([]placement.Weighted, engineCount), make([]choice.Engine, engineCount)
	for i, e := range m.engines {
		list[i] = placement.Weighted{Name: e.name, Weight: m.weights.Of(e.name)}
	}
	var order, holders []modelChoice
	for position, i := range placement.TopWeighted(fmt.Sprintf("a%d@1", adapter), list, engineCount) {
		e := m.engines[i]
		views[i] = choice.Engine{Position: position, Holds: m.knowsCopy(box, e, adapter), SameZone: i%3 == box%3, Report: &e.report, Age: m.now - e.reported, Sent: e.sent[box]}
		if position < choice.FirstEngines {
			order = append(order, modelChoice{engine: e})
		} else if views[i].Holds {
			holders = append(holders, modelChoice{engine: e})
		}
	}
	if !m.byLoad {
		return append(order, holders...)
	}
	order = nil
	ranked, _ := choice.Rank(choice.Request{Prompt: prompt, Output: 60, Objective: objective}, views, m.random)
	for _, c := range ranked {
		order = append(order, modelChoice{m.engines[c.Index], c.Further})
	}
	return order
}

// request lets a box ask the owners of engines for an adapter, by the rules of package relay.
func (m *model) request(box, adapter int, run time.Duration) {
	var local, download *modelEngine
	localStart, downloadStart, downloadCost := time.Duration(0), time.Duration(0), time.Duration(0)
	asked := 0
	for i, c := range m.order(box, adapter) {
		e, position := c.engine, min(i, choice.FirstEngines)
		isCrowded, noneInTime := local != nil && localStart > inTime, (local == nil || localStart > inTime) && (download == nil || downloadStart > inTime)
		switch {
		case c.further && noneInTime:
			position = 0
		case !isCrowded && (c.further || asked >= choice.FirstEngines):
			continue
		}
		asked++
		start := m.start(e, adapter)
		cost := start + objective/8*time.Duration(position)
		switch isLocal := e.slots[adapter] != nil; {
		case isLocal && start <= objective/2:
			m.send(box, e, adapter, run)
			return
		case isLocal && (local == nil || start < localStart):
			local, localStart = e, start
		case !isLocal && (download == nil || cost < downloadCost):
			download, downloadStart, downloadCost = e, start, cost
		}
	}
	if local != nil && (download == nil || downloadStart > inTime || (localStart <= inTime && localStart <= downloadStart+objective/2)) {
		download, downloadStart = local, localStart
	}
	if downloadStart <= objective*3/2 {
		m.send(box, download, adapter, run)
		return
	}
	m.refused++
	if slices.ContainsFunc(m.engines, func(e *modelEngine) bool { return m.start(e, adapter) <= inTime }) {
		m.refusedWithRoom++
	}
}

// simulate sends requests for 10,000 adapters by Zipf 1.2 for 30 s, at a rate per second that depends on the time.
func (m *model) simulate(rate func(time.Duration) float64) {
	zipf := rand.NewZipf(m.random, 1.2, 1, 9999)
	for m.now < 30*time.Second {
		m.now += time.Duration(m.random.ExpFloat64() / rate(m.now) * float64(time.Second))
		m.refresh()
		runs := []time.Duration{300 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond}
		m.request(m.random.IntN(boxCount), int(zipf.Uint64()), runs[m.random.IntN(len(runs))])
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

// TestLoad compares the choice by reports with the hash order. It guards against an uneven load of engines of different speed, against
// refusals while other engines have room, and against more than a tenth more loads in calm load.
func TestLoad(t *testing.T) {
	for _, tt := range []struct {
		name string
		rate func(now time.Duration) float64
		// maxRefused bounds the share of requests refused, maxLoads the loads over those of the hash order, zero for no bound.
		maxRefused, maxLoads float64
	}{
		{"calm", func(time.Duration) float64 { return 450 }, 0.01, 1.1},
		{"wave", func(now time.Duration) float64 { return 507 * (1 + 0.55*math.Sin(2*math.Pi*now.Seconds()/10)) }, 0.01, 0},
		{"burst", func(now time.Duration) float64 {
			return 400 + 800*float64(max(0, 1-now%(10*time.Second)/(2*time.Second)))
		}, 0.1, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			hash, reports := newModel(false), newModel(true)
			for _, m := range []*model{hash, reports} {
				m.simulate(tt.rate)
				c.Logf("by reports %v: busiest over mean %.2f, served %d, late %d, refused %d, with room elsewhere %d, loads %d", m.byLoad, m.unevenness(), m.served, m.late, m.refused, m.refusedWithRoom, m.loads)
			}
			c.Check(reports.unevenness() < hash.unevenness(), qt.IsTrue)
			c.Check(reports.refusedWithRoom <= hash.refusedWithRoom/4, qt.IsTrue)
			c.Check(float64(reports.refused) <= tt.maxRefused*float64(reports.refused+reports.served), qt.IsTrue)
			c.Check(tt.maxLoads == 0 || float64(reports.loads) <= tt.maxLoads*float64(hash.loads), qt.IsTrue)
		})
	}
}
