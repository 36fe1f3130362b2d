package resource

import (
	"cmp"
	"net/netip"
)

// Endpoint is a running instance of a service, as discovery shows it. Its name is the instance's id, which no other instance has but the
// same one when it starts again.
type Endpoint struct {
	Service string         `json:"service"`
	Address netip.AddrPort `json:"address"`
	Zone    string         `json:"zone"`
	// Slots is how many requests it runs at once.
	Slots int `json:"slots"`
	// Leaving says that it ends soon and gets no new work.
	Leaving bool `json:"leaving,omitempty"`
	// BaseModel is the base model that it holds, empty if it holds none.
	BaseModel string `json:"base_model,omitempty"`
	// Started is the Unix millisecond of its start, zero if it does not say. An instance that starts again under its name holds nothing.
	Started int64 `json:"started,omitempty"`
}

// Check implements Spec.
func (e *Endpoint) Check(string) error {
	return cmp.Or(needAddr("address", e.Address), needRange("slots", e.Slots, 0, MaxBatch))
}

func (*Endpoint) kind() Kind { return KindEndpoint }

// Holding lists the adapter versions that an endpoint holds, as discovery shows them; it lags behind. It stands apart from the
// endpoint of the same name because it changes with every load.
type Holding struct {
	Holds []string `json:"holds,omitempty"`
}

// Check implements Spec.
func (*Holding) Check(string) error { return nil }

func (*Holding) kind() Kind { return KindHolding }
