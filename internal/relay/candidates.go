package relay

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/placement"
	"github.com/bellgap/bellgap/internal/policy"
	"github.com/bellgap/bellgap/internal/resource"
)

const (
	// maxCandidates is how many engines are asked for one request unless its adapter version is crowded.
	maxCandidates = 6
	// maxAsked bounds the engines that are asked when it is. The most wanted adapter draws a fifth of all requests, which at 500
	// requests a second and 12 slots an engine takes some 15 engines.
	maxAsked = 18
	// crowdedFor is how long after the last sign of it an adapter version counts as crowded: a few times the life of a request.
	crowdedFor = 5 * time.Second
)

// candidate is an engine that may serve a request.
type candidate struct {
	name    string
	address netip.AddrPort
	// started is the Unix millisecond of its start, zero if it does not say.
	started int64
	owner   coordinator.Member
	// holds says that the adapter version is there, by discovery or by earlier answers.
	holds bool
	// doubtful says that requests failed there lately, near that it is in this box's zone.
	doubtful bool
	near     bool
	// usedUp says that the engine's rate leaves nothing for the request.
	usedUp bool
}

// candidates returns the engines for an adapter version in the order in which they are asked.
func (r *Relay) candidates(q *request, ref resource.Ref, avoid map[string]bool) []candidate {
	t := r.cfg.Catalog.Topology()
	now := clock.Now()
	byName := map[string]candidate{}
	var names []string
	for _, e := range t.Endpoints[q.service] {
		view, declared := t.Engines[e.Name]
		if !declared || e.Spec.Leaving || avoid[e.Name] || view.Spec.BaseModel != q.head.Model || r.rests(e) {
			continue
		}
		if r.rateUsedUp(q, e.Name) {
			q.limited.add(0)
			continue
		}
		_, failures := r.health.load(e.Name, now)
		byName[e.Name] = candidate{
			name: e.Name, address: e.Spec.Address, started: e.Spec.Started, owner: view.Owner, doubtful: failures >= avoidFrom && r.cfg.Policy.On(policy.Health),
			holds: holds(e, ref) || r.memory.holds(ref, e.Name, now), near: e.Spec.Zone == r.cfg.Zone && r.cfg.Policy.On(policy.NearZone),
		}
		names = append(names, e.Name)
	}
	key := ref.String()
	if ref.IsBase() {
		// Without an adapter any engine does; what the request is spreads the load, and brings those that look alike to the same one.
		key = q.suspect.Fingerprint.String()
	}
	ranked := make([]candidate, 0, len(names))
	for _, name := range placement.Rank(key, names) {
		ranked = append(ranked, byName[name])
	}
	return arrange(ranked, r.crowds.Has(ref, now) && r.cfg.Policy.On(policy.Crowds))
}

// arrange puts ranked candidates in the order in which they are asked: the first few, those further on that hold the version, the
// next few, and last those that failed lately. If the version is crowded, all that hold it come first, those in this box's zone
// before the others and else in no order, so that its requests spread over them without asking the full ones first.
func arrange(ranked []candidate, crowded bool) []candidate {
	var first, holders, next, doubtful []candidate
	for _, c := range ranked {
		switch {
		case c.doubtful:
			doubtful = append(doubtful, c)
		case c.holds && (crowded || len(first) >= maxCandidates):
			holders = append(holders, c)
		case len(first) < maxCandidates:
			first = append(first, c)
		default:
			next = append(next, c)
		}
	}
	if crowded {
		rand.Shuffle(len(holders), func(i, j int) { holders[i], holders[j] = holders[j], holders[i] })
		slices.SortStableFunc(holders, nearFirst)
		first, holders = holders, first
	}
	all := slices.Concat(first, holders, next, doubtful)
	return all[:min(len(all), maxAsked)]
}

func nearFirst(a, b candidate) int {
	switch {
	case a.near == b.near:
		return 0
	case a.near:
		return -1
	default:
		return 1
	}
}

func holds(e catalog.EndpointView, ref resource.Ref) bool {
	if ref.IsBase() {
		return e.Spec.BaseModel != ""
	}
	return slices.Contains(e.Holds, ref.String())
}
