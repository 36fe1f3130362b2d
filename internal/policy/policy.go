// Package policy names the mechanisms of the decisions that can be switched off, one by one, to measure what each is worth.
package policy

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Mechanism is a part of the decisions.
type Mechanism string

// The mechanisms.
const (
	// Copies loads one more copy of an adapter only where it serves in time and no engine that has it near does.
	Copies Mechanism = "copies"
	// Crowds asks more engines, and those that hold the adapter first, while all that have it near are busy.
	Crowds Mechanism = "crowds"
	// Order gives each place in the order of engines a weight.
	Order Mechanism = "order"
	// Admission refuses at once what is not expected to start in its time.
	Admission Mechanism = "admission"
	// Prefixes counts the parts of prompts that an engine has read as read.
	Prefixes Mechanism = "prefixes"
	// ReadRate observes how fast an engine reads prompts.
	ReadRate Mechanism = "read_rate"
	// LoadTime observes how long an engine's loads take.
	LoadTime Mechanism = "load_time"
	// SlotWait counts the adapter slots in use in the expected wait.
	SlotWait Mechanism = "slot_wait"
	// AtHand takes adapters that an engine held lately as quick to load.
	AtHand Mechanism = "at_hand"
	// UseRate unloads the adapter with the least decayed use; without it the one used longest ago.
	UseRate Mechanism = "use_rate"
	// Health asks endpoints at which requests failed lately last.
	Health Mechanism = "health"
	// NearZone asks engines of the box's own zone first where any order does.
	NearZone Mechanism = "near_zone"
	// Ownerless sends requests for held adapters without a grant while no owner can be asked.
	Ownerless Mechanism = "ownerless"
	// Stalls leaves an engine whose stream has fallen silent.
	Stalls Mechanism = "stalls"
	// Places sends a plain request only where one of all boxes' count leaves room for it.
	Places Mechanism = "places"
	// BaseOnDemand brings base models from the weight store only to engines that requests need.
	BaseOnDemand Mechanism = "base_on_demand"
	// Quarantine holds requests under which endpoints ended.
	Quarantine Mechanism = "quarantine"
)

// Mechanisms returns all mechanisms.
func Mechanisms() []Mechanism {
	return []Mechanism{
		Copies, Crowds, Order, Admission, Prefixes, ReadRate, LoadTime, SlotWait, AtHand, UseRate, Health, NearZone, Ownerless, Stalls, Places, BaseOnDemand, Quarantine,
	}
}

// Policy says which mechanisms are off. The zero Policy has all on.
type Policy struct {
	off []Mechanism
}

// New returns the Policy without some mechanisms.
func New(off []Mechanism) (Policy, error) {
	for _, m := range off {
		if !slices.Contains(Mechanisms(), m) {
			return Policy{}, eris.Errorf("policy: %q is none of %s", m, Names())
		}
	}
	return Policy{off: off}, nil
}

// Names returns the names of all mechanisms, for a message.
func Names() string {
	var names []string
	for _, m := range Mechanisms() {
		names = append(names, string(m))
	}
	return strings.Join(names, ", ")
}

// On reports whether a mechanism is on.
func (p Policy) On(m Mechanism) bool { return !slices.Contains(p.off, m) }
