package resource

import (
	"cmp"
	"net/netip"
)

// Endpoint is a running instance of a service, as reported by discovery. The resource name is the instance's id. The id is unique, and an
// instance keeps it when it restarts.
type Endpoint struct {
	Service string         `json:"service"`
	Address netip.AddrPort `json:"address"`
	Zone    string         `json:"zone"`
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int `json:"slots"`
	// Leaving is set if the endpoint ends soon. It then gets no new work.
	Leaving bool `json:"leaving,omitempty"`
	// BaseModel is the base model that the endpoint has loaded, empty if it has loaded none.
	BaseModel string `json:"base_model,omitempty"`
	// Started is the start time in Unix milliseconds, zero if the endpoint does not report it. An instance that restarts under the same
	// name has nothing loaded.
	Started int64 `json:"started,omitempty"`
	// SoftwareVersion is the version of the endpoint's software, empty if the endpoint does not report it. Endpoints of several versions
	// may serve side by side, but a stream that began at one version cannot continue at another.
	SoftwareVersion string `json:"software_version,omitempty"`
}

// Check implements Spec.
func (e *Endpoint) Check(string) error {
	return cmp.Or(checkAddress("address", e.Address), checkRange("slots", e.Slots, 0, MaxBatch))
}

func (*Endpoint) kind() Kind { return KindEndpoint }

// Holding lists the adapter versions that an endpoint has loaded, as reported by discovery with a delay. It is a kind of its own, and not
// part of the Endpoint of the same name, because it changes with every load.
type Holding struct {
	Holds []string `json:"holds,omitempty"`
}

// Check implements Spec.
func (*Holding) Check(string) error { return nil }

func (*Holding) kind() Kind { return KindHolding }
