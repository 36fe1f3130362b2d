// Package policy lists the mechanisms of request scheduling. Each can be switched off on its own to measure its effect.
package policy

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Mechanism is the name of a part of the scheduling policy that can be switched off.
type Mechanism string

// These are the mechanisms, each with its effect while it is on.
const (
	// CopyLimit loads another copy of an adapter only if that copy can serve the request in time and no engine can do so that has
	// the adapter loaded, is loading it or had it loaded recently.
	CopyLimit Mechanism = "copies"
	// CrowdDetection asks more engines for a grant while all engines are busy that have the adapter loaded, are loading it or had it
	// loaded recently. Engines that have it loaded are asked first.
	CrowdDetection Mechanism = "crowds"
	// PreferenceOrder adds a cost for each position of an engine in the order of preference, so that earlier engines are chosen.
	PreferenceOrder Mechanism = "order"
	// Admission refuses a request at once if it is not expected to start in time.
	Admission Mechanism = "admission"
	// PrefixReuse expects an engine to skip the parts of a prompt that it has already processed for earlier requests.
	PrefixReuse Mechanism = "prefixes"
	// ReadRate measures the rate at which an engine processes prompts, instead of using a constant.
	ReadRate Mechanism = "read_rate"
	// LoadTime measures how long an engine takes to load adapters, instead of using a constant.
	LoadTime Mechanism = "load_time"
	// SlotWait includes the wait for a free adapter slot in the expected waiting time.
	SlotWait Mechanism = "slot_wait"
	// FastReload expects an engine to load an adapter faster if it had it loaded recently.
	FastReload Mechanism = "at_hand"
	// UseRate unloads the adapter with the lowest time-decayed use rate. Without it, the least recently used adapter is unloaded.
	UseRate Mechanism = "use_rate"
	// FailureAvoidance tries endpoints with recent failures last.
	FailureAvoidance Mechanism = "health"
	// OwnZoneFirst prefers engines in the zone of the box where the order is otherwise arbitrary.
	OwnZoneFirst Mechanism = "near_zone"
	// SendWithoutOwner sends a request without a grant to an engine that has the adapter loaded, if no owner can be reached.
	SendWithoutOwner Mechanism = "ownerless"
	// StallDetection aborts a response stream that has stopped sending data, so that the request can continue on another engine.
	StallDetection Mechanism = "stalls"
	// ConcurrencyLimit limits the concurrent requests of all boxes at each endpoint of a plain service. One box counts them for each
	// endpoint.
	ConcurrencyLimit Mechanism = "places"
	// BaseOnDemand loads a base model from the weight store only on engines that are needed for requests.
	BaseOnDemand Mechanism = "base_on_demand"
	// Quarantine refuses a request after the configured number of endpoints have crashed while they ran it.
	Quarantine Mechanism = "quarantine"
	// AllSlots uses every adapter slot of a scarce engine, instead of keeping one for a load whose order got no answer.
	AllSlots Mechanism = "all_slots"
	// ShortLinger lets the adapter of a run that broke off be evicted soon, on engines that finish runs before they unload.
	ShortLinger Mechanism = "short_linger"
	// LoadPacing limits the concurrent adapter loads of a scarce engine by how long its loads take.
	LoadPacing Mechanism = "load_pacing"
	// OrderTimeout adapts how long orders to a scarce engine wait for their answer to the response times of the engine.
	OrderTimeout Mechanism = "order_timeout"
	// EngineLoads chooses among scarce engines by the loads that their owners report.
	EngineLoads Mechanism = "engine_loads"
	// SpeedWeight assigns adapters to scarce engines in proportion to the rate at which the engines process prompts.
	SpeedWeight Mechanism = "speed_weight"
	// ResumeFirst cancels a stalled stream only after another engine has granted its continuation.
	ResumeFirst Mechanism = "resume_first"
	// GapAdmission limits what a scarce engine takes so that the pauses between events of its streams stay within their objective.
	GapAdmission Mechanism = "gap_admission"
	// UrgencyShares limits less urgent requests for scarce engines while more urgent ones are served less often.
	UrgencyShares Mechanism = "urgency_shares"
	// CustomerShares limits customers above their fair share of scarce engines during a shortage.
	CustomerShares Mechanism = "customer_shares"
	// InTimeStarts lets requests to scarce engines start only until their objective has passed, and refuses them as soon as their adapter
	// cannot be loaded by then.
	InTimeStarts Mechanism = "in_time_starts"
	// LoadedFirst expects a request whose adapter is loaded to start before requests that wait for a load, on scarce engines.
	LoadedFirst Mechanism = "loaded_first"
)

// Mechanisms returns all mechanisms.
func Mechanisms() []Mechanism {
	return []Mechanism{
		CopyLimit, CrowdDetection, PreferenceOrder, Admission, PrefixReuse, ReadRate, LoadTime, SlotWait, FastReload, UseRate, FailureAvoidance, OwnZoneFirst, SendWithoutOwner, StallDetection, ConcurrencyLimit, BaseOnDemand, Quarantine,
		AllSlots, ShortLinger, LoadPacing, OrderTimeout, EngineLoads, SpeedWeight, ResumeFirst, GapAdmission, UrgencyShares, CustomerShares, InTimeStarts, LoadedFirst,
	}
}

// Policy records which mechanisms are switched off. The zero value has all mechanisms on.
type Policy struct {
	off []Mechanism
}

// New returns a Policy with the given mechanisms switched off. It fails if a mechanism is unknown.
func New(off []Mechanism) (Policy, error) {
	for _, m := range off {
		if !slices.Contains(Mechanisms(), m) {
			return Policy{}, eris.Errorf("policy: unknown mechanism %q; known mechanisms: %s", m, Names())
		}
	}
	return Policy{off: off}, nil
}

// Names returns the names of all mechanisms as a comma-separated list for messages.
func Names() string {
	var names []string
	for _, m := range Mechanisms() {
		names = append(names, string(m))
	}
	return strings.Join(names, ", ")
}

// IsEnabled reports whether a mechanism is switched on.
func (p Policy) IsEnabled(m Mechanism) bool { return !slices.Contains(p.off, m) }
