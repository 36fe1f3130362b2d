// Package policybench compares the decisions of bellgap with simpler policies, in virtual time and with simulated engines.
// bellgap's decisions are made by the daemon's own code: placement, owner.State and loads.Queue.
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

// Disturbance is a disturbance half-way through a scenario.
type Disturbance string

// The disturbances.
const (
	DisturbanceNone          Disturbance = "steady"
	DisturbanceHotSetShift   Disturbance = "hot set moves"
	DisturbanceFlashCrowd    Disturbance = "cold adapter goes hot"
	DisturbanceEngineRestart Disturbance = "a third of the engines restart empty"
	DisturbanceSlowStore     Disturbance = "weight store at a third"
	DisturbanceOverload      Disturbance = "twice the load"
)

// Scenario describes a workload and the engines that serve it.
type Scenario struct {
	Name string
	// Engines is the number of engines, Models the number of base models. Each engine serves one base model, assigned in
	// rotation.
	Engines, Models int
	Slots, Batch    int
	// Step is the time to generate a token, Tokens the mean length of a response.
	Step   time.Duration
	Tokens int
	// Adapters is the number of adapters, evenly distributed over the base models. Their popularity follows Zipf's law with
	// the exponent Skew.
	Adapters int
	Skew     float64
	// Rate is the mean number of requests per second, NonUrgentShare the share of them that is not urgent.
	Rate           float64
	NonUrgentShare float64
	// Budget is the limit on loads from the weight store, LoadTime the duration of a load.
	Budget   loads.Budget
	LoadTime time.Duration
	// UrgentWait and NonUrgentWait are the maximum times that requests may wait for their start.
	UrgentWait, NonUrgentWait time.Duration
	Length                    time.Duration
	Disturbance               Disturbance
	// Pack gives full steps priority over an early start of requests that are not urgent.
	Pack bool
}

// Downs returns a scenario of the size of the first co-operative, with a disturbance. Its rates, slots and lengths of responses
// are assumptions.
func Downs(turn Disturbance) Scenario {
	return Scenario{
		Name: "Downs, " + string(turn), Engines: 15, Models: 2, Slots: 8, Batch: 16, Step: 40 * time.Millisecond, Tokens: 120,
		Adapters: 5000, Skew: 1, Rate: 5, NonUrgentShare: 0.3, Budget: loads.Budget{PerSecond: 3, MaxConcurrent: 2}, LoadTime: 600 * time.Millisecond,
		UrgentWait: 10 * time.Second, NonUrgentWait: 10 * time.Minute, Length: time.Hour, Disturbance: turn,
	}
}

// Lima returns a scenario of the size of the second co-operative, with a disturbance. Its load is higher than that of Downs and
// concentrated on fewer adapters. Half of it is nightly work, which is not urgent.
func Lima(turn Disturbance) Scenario {
	s := Downs(turn)
	s.Name, s.Engines, s.Rate, s.NonUrgentShare, s.Skew = "Lima, "+string(turn), 16, 12, 0.5, 1.2
	s.Budget.MaxConcurrent, s.Pack = 10, true
	return s
}

// request is a request that arrives arrivalOffset after the start of the scenario.
type request struct {
	arrivalOffset time.Duration
	ref           resource.Ref
	modelIndex    int
	urgent        bool
	tokens        int
}

// drawRequests generates the random requests of a scenario. The same seed gives the same requests, so all policies are compared
// on the same load.
func (s Scenario) drawRequests(seed uint64) []request {
	r := rand.New(rand.NewPCG(seed, 7))
	nextRank := newZipfRanks(r, s.Adapters, s.Skew)
	var requests []request
	rate := s.Rate
	for offset := time.Duration(0); offset < s.Length; {
		secondHalf := offset >= s.Length/2
		if secondHalf && s.Disturbance == DisturbanceOverload {
			rate = 2 * s.Rate
		}
		offset += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		rank := nextRank()
		switch {
		case secondHalf && s.Disturbance == DisturbanceHotSetShift:
			rank = (rank + s.Adapters/2) % s.Adapters
		case secondHalf && s.Disturbance == DisturbanceFlashCrowd && r.IntN(4) == 0:
			rank = s.Adapters - 1
		}
		requests = append(requests, request{
			arrivalOffset: offset, ref: resource.Ref{Adapter: fmt.Sprintf("adapter-%05d", rank), Version: "1"}, modelIndex: rank % s.Models,
			urgent: r.Float64() >= s.NonUrgentShare, tokens: 1 + int(r.ExpFloat64()*float64(s.Tokens)),
		})
	}
	return requests
}

// newZipfRanks returns a function that draws random ranks from 0 to count-1. The probability of a rank is proportional to
// 1/(rank+1)^exponent.
func newZipfRanks(r *rand.Rand, count int, exponent float64) func() int {
	cumulative := make([]float64, count)
	total := 0.0
	for i := range cumulative {
		total += math.Pow(float64(i+1), -exponent)
		cumulative[i] = total
	}
	return func() int { return sort.SearchFloat64s(cumulative, r.Float64()*total) }
}

// indexNextUses returns a function that returns the time of the next request for an adapter. The clairvoyant bound uses it.
func indexNextUses(requests []request) func(ref resource.Ref, now time.Duration) time.Duration {
	uses := map[resource.Ref][]time.Duration{}
	for _, req := range requests {
		uses[req.ref] = append(uses[req.ref], req.arrivalOffset)
	}
	return func(ref resource.Ref, now time.Duration) time.Duration {
		offsets := uses[ref]
		i, _ := slices.BinarySearch(offsets, now+1)
		if i == len(offsets) {
			return math.MaxInt64
		}
		return offsets[i]
	}
}
