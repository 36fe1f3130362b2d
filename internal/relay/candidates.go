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
	// maxCandidates bounds the engines that are asked for one request, unless its adapter version is crowded. A version
	// is crowded if all engines that have it locally are too busy to start the request in time.
	maxCandidates = 6
	// maxCandidatesCrowded bounds the engines that are asked if the version is crowded. The most popular adapter
	// receives a fifth of all requests. At 500 requests per second and 12 slots per engine, these need about 15 engines.
	maxCandidatesCrowded = 18
	// crowdedTTL is how long an adapter version counts as crowded after this was last observed: a few times the duration
	// of a request.
	crowdedTTL = 5 * time.Second
)

// candidate is an engine that may serve a request.
type candidate struct {
	name    string
	address netip.AddrPort
	// started is when the engine started, in Unix milliseconds, zero if the engine does not report it.
	started int64
	// softwareVersion is the version of the engine's software.
	softwareVersion string
	owner           coordinator.Member
	// holdsVersion is set if the engine holds the adapter version according to discovery or to earlier answers.
	holdsVersion bool
	// failedRecently is set if requests recently failed at the engine, sameZone if the engine is in this box's zone.
	failedRecently bool
	sameZone       bool
	// rateExhausted is set if the engine's rate limit leaves nothing for the request.
	rateExhausted bool
	// byReports is set if the engine was chosen by reported loads. expectedStart is then the expected time until it has read the prompt.
	byReports     bool
	expectedStart time.Duration
	// further is set if the engine is asked only if none of those before it can start the request in time.
	further bool
}

// candidates returns the engines for an adapter version in the order in which they are asked.
func (r *Relay) candidates(q *request, ref resource.Ref, avoid map[string]bool) []candidate {
	now := clock.Now()
	available := r.availableCandidates(q, ref, avoid, now)
	if r.choosesByLoad(q, ref) {
		ranked, ok := r.rankByLoad(q, ref, available, now)
		r.countChoice(ok)
		if ok {
			return ranked
		}
	}
	key := ref.String()
	if ref.IsBase() {
		// Any engine can serve a request without an adapter. Ranking by the fingerprint spreads the load and sends
		// identical requests to the same engine.
		key = q.suspect.Fingerprint.String()
	}
	byName, names := make(map[string]candidate, len(available)), make([]string, 0, len(available))
	for _, c := range available {
		byName[c.name] = c
		names = append(names, c.name)
	}
	ranked := make([]candidate, 0, len(names))
	for _, name := range placement.Rank(key, names) {
		ranked = append(ranked, byName[name])
	}
	return orderCandidates(ranked, r.crowdedRefs.Has(ref, now) && r.cfg.Policy.IsEnabled(policy.CrowdDetection))
}

// availableCandidates returns the engines for an adapter version. It omits the engines in avoid, and those that are
// leaving, are paused or have exhausted their rate limit.
func (r *Relay) availableCandidates(q *request, ref resource.Ref, avoid map[string]bool, now time.Time) []candidate {
	t := r.cfg.Catalog.Topology()
	available := make([]candidate, 0, len(t.Endpoints[q.service]))
	for _, e := range t.Endpoints[q.service] {
		view, declared := t.Engines[e.Name]
		if !declared || e.Spec.Leaving || avoid[e.Name] || view.Spec.BaseModel != q.head.Model || r.isPaused(e) ||
			!r.allowsVersion(q, e.Spec.SoftwareVersion) {
			continue
		}
		if r.isRateExhausted(q, e.Name) {
			q.rateLimited.add(0)
			continue
		}
		_, failures := r.health.load(e.Name, now)
		available = append(available, candidate{
			name: e.Name, address: e.Spec.Address, started: e.Spec.Started, softwareVersion: e.Spec.SoftwareVersion, owner: view.Owner, failedRecently: failures >= avoidThreshold && r.cfg.Policy.IsEnabled(policy.FailureAvoidance),
			holdsVersion: listsVersion(e, ref) || r.holdings.has(ref, e.Name, now), sameZone: e.Spec.Zone == r.cfg.Zone && r.cfg.Policy.IsEnabled(policy.OwnZoneFirst),
		})
	}
	return available
}

// orderCandidates returns ranked candidates in the order in which they are asked. The first maxCandidates come first,
// then other candidates that hold the version, then the remaining ones, and last those that failed recently. At most
// maxCandidatesCrowded are returned.
//
// If the version is crowded, all candidates that hold it come first: those in this box's zone before the others, and
// otherwise in random order. This spreads the requests over these engines without asking the full ones first.
func orderCandidates(ranked []candidate, crowded bool) []candidate {
	var first, holders, next, failed []candidate
	for _, c := range ranked {
		switch {
		case c.failedRecently:
			failed = append(failed, c)
		case c.holdsVersion && (crowded || len(first) >= maxCandidates):
			holders = append(holders, c)
		case len(first) < maxCandidates:
			first = append(first, c)
		default:
			next = append(next, c)
		}
	}
	if crowded {
		rand.Shuffle(len(holders), func(i, j int) { holders[i], holders[j] = holders[j], holders[i] })
		slices.SortStableFunc(holders, compareZones)
		first, holders = holders, first
	}
	all := slices.Concat(first, holders, next, failed)
	return all[:min(len(all), maxCandidatesCrowded)]
}

// compareZones orders candidates in this box's zone before the others.
func compareZones(a, b candidate) int {
	switch {
	case a.sameZone == b.sameZone:
		return 0
	case a.sameZone:
		return -1
	default:
		return 1
	}
}

// listsVersion reports whether discovery lists an endpoint as holding an adapter version. If ref names no adapter,
// any endpoint with a base model qualifies.
func listsVersion(e catalog.EndpointView, ref resource.Ref) bool {
	if ref.IsBase() {
		return e.Spec.BaseModel != ""
	}
	return slices.Contains(e.Holds, ref.String())
}
