// Package policybench runs the decisions of bellgap in virtual time against a small fake engine, beside simpler policies.
// The decisions are the daemon's own code: placement, owner.State and loads.Queue.
package policybench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/bellgap/bellgap/internal/loads"
	"github.com/bellgap/bellgap/internal/resource"
)

// Turn is what happens half-way through a scenario.
type Turn string

// The turns.
const (
	TurnNone      Turn = "steady"
	TurnHotSet    Turn = "hot set moves"
	TurnFlash     Turn = "cold adapter goes hot"
	TurnRestart   Turn = "a third of the engines restart empty"
	TurnSlowStore Turn = "weight store at a third"
	TurnOverload  Turn = "twice the load"
)

// Scenario is a workload and the engines before it.
type Scenario struct {
	Name string
	// Engines serve Models base models in turn.
	Engines, Models int
	Slots, Batch    int
	// Step is the time of a token; Tokens the mean length of an answer.
	Step   time.Duration
	Tokens int
	// Adapters are spread evenly over the base models; their use follows a Zipf law with exponent Skew.
	Adapters int
	Skew     float64
	// Rate is the mean of requests a second, of which Night are not urgent.
	Rate  float64
	Night float64
	// Budget and LoadTime describe the weight store.
	Budget   loads.Budget
	LoadTime time.Duration
	// Wait and NightWait are the longest useful waits for a start.
	Wait, NightWait time.Duration
	Length          time.Duration
	Turn            Turn
	// Pack weighs the fill of steps above the start of work that is not urgent.
	Pack bool
}

// Downs returns the first co-operative's size with a turn. Rates, slots and lengths of answers are assumptions.
func Downs(turn Turn) Scenario {
	return Scenario{
		Name: "Downs, " + string(turn), Engines: 15, Models: 2, Slots: 8, Batch: 16, Step: 40 * time.Millisecond, Tokens: 120,
		Adapters: 5000, Skew: 1, Rate: 5, Night: 0.3, Budget: loads.Budget{PerSecond: 3, MaxConcurrent: 2}, LoadTime: 600 * time.Millisecond,
		Wait: 10 * time.Second, NightWait: 10 * time.Minute, Length: time.Hour, Turn: turn,
	}
}

// Lima returns the second co-operative's size with a turn: more load on fewer adapters, half of it nightly.
func Lima(turn Turn) Scenario {
	s := Downs(turn)
	s.Name, s.Engines, s.Rate, s.Night, s.Skew = "Lima, "+string(turn), 16, 12, 0.5, 1.2
	s.Budget.MaxConcurrent, s.Pack = 10, true
	return s
}

// request is one arrival.
type request struct {
	at     time.Duration
	ref    resource.Ref
	model  int
	urgent bool
	tokens int
}

// requests draws the arrivals of a scenario from a seed; every policy is given the same ones.
func (s Scenario) requests(seed uint64) []request {
	r := rand.New(rand.NewPCG(seed, 7))
	pick := zipf(r, s.Adapters, s.Skew)
	var all []request
	rate := s.Rate
	for at := time.Duration(0); at < s.Length; {
		turned := at >= s.Length/2
		if turned && s.Turn == TurnOverload {
			rate = 2 * s.Rate
		}
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		rank := pick()
		switch {
		case turned && s.Turn == TurnHotSet:
			rank = (rank + s.Adapters/2) % s.Adapters
		case turned && s.Turn == TurnFlash && r.IntN(4) == 0:
			rank = s.Adapters - 1
		}
		all = append(all, request{
			at: at, ref: resource.Ref{Adapter: fmt.Sprintf("adapter-%05d", rank), Version: "1"}, model: rank % s.Models,
			urgent: r.Float64() >= s.Night, tokens: 1 + int(r.ExpFloat64()*float64(s.Tokens)),
		})
	}
	return all
}

// zipf returns a source of ranks 0..n-1 with probability proportional to 1/(rank+1)^s.
func zipf(r *rand.Rand, n int, s float64) func() int {
	sum := make([]float64, n)
	total := 0.0
	for i := range sum {
		total += math.Pow(float64(i+1), -s)
		sum[i] = total
	}
	return func() int { return sort.SearchFloat64s(sum, r.Float64()*total) }
}

// nextUse tells when an adapter is asked for again, for the clairvoyant bound.
func nextUse(all []request) func(ref resource.Ref, now time.Duration) time.Duration {
	uses := map[resource.Ref][]time.Duration{}
	for _, q := range all {
		uses[q.ref] = append(uses[q.ref], q.at)
	}
	return func(ref resource.Ref, now time.Duration) time.Duration {
		u := uses[ref]
		i, _ := slices.BinarySearch(u, now+1)
		if i == len(u) {
			return math.MaxInt64
		}
		return u[i]
	}
}
