package resource

import (
	"cmp"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/bellgap/bellgap/internal/customer"
)

// Upper limits of the declared numbers.
const (
	MaxSlots   = 1024
	MaxBatch   = 4096
	MaxQueue   = 100000
	MaxUrgency = 100
)

// Adapter declares a LoRA adapter of a base model.
type Adapter struct {
	BaseModel   string `json:"base_model"`
	Cooperative string `json:"cooperative"`
	// Priority is the name of the priority of requests that do not specify a priority.
	Priority string `json:"priority,omitempty"`
}

// Check implements Spec.
func (a *Adapter) Check(name string) error {
	return cmp.Or(checkNamePart("name", name), checkNamePart("base_model", a.BaseModel), checkNamePart("cooperative", a.Cooperative))
}

func (*Adapter) kind() Kind { return KindAdapter }

// AdapterVersion declares one version of an adapter; its name is "adapter@version".
type AdapterVersion struct {
	// Weights is the key of the weights in the weight store.
	Weights string `json:"weights"`
	// Bytes is the size of the weights.
	Bytes int64 `json:"bytes,omitempty"`
}

// Check implements Spec.
func (v *AdapterVersion) Check(name string) error {
	if _, err := ParseRef(name); err != nil {
		return err
	}
	if v.Weights == "" || v.Bytes < 0 {
		return fmt.Errorf("weights must be set and bytes must not be negative")
	}
	return nil
}

func (*AdapterVersion) kind() Kind { return KindAdapterVersion }

// Priority declares how urgent a class of requests is.
type Priority struct {
	// Urgency orders requests: a higher value goes first. 0 is background work that fills batches, such as nightly jobs.
	Urgency int `json:"urgency"`
	// MaxWait is the longest useful wait for the first token. Zero leaves the limit to the request.
	MaxWait Duration `json:"max_wait,omitempty"`
}

// Check implements Spec.
func (p *Priority) Check(string) error {
	if p.MaxWait < 0 {
		return fmt.Errorf("max_wait must not be negative")
	}
	return checkRange("urgency", p.Urgency, 0, MaxUrgency)
}

func (*Priority) kind() Kind { return KindPriority }

// Serving configures how the requests of a base model are served.
type Serving struct {
	BaseModel string `json:"base_model"`
	// MaxQueue is the maximum number of waiting requests per engine.
	MaxQueue int `json:"max_queue"`
	// MaxEngines is the maximum number of engines that one heavily used adapter may spread over.
	MaxEngines int `json:"max_engines"`
	// StallWeight weighs load stalls against batch fill, from 0 (only batch fill counts) to 100 (only load stalls count). Below 50,
	// requests of urgency 0 start only alongside urgent requests; this rule holds them back for at most a minute.
	StallWeight int `json:"stall_weight"`
}

// Check implements Spec.
func (s *Serving) Check(string) error {
	return cmp.Or(
		checkNamePart("base_model", s.BaseModel),
		checkRange("max_queue", s.MaxQueue, 1, MaxQueue),
		checkRange("max_engines", s.MaxEngines, 1, MaxSlots),
		checkRange("stall_weight", s.StallWeight, 0, 100),
	)
}

func (*Serving) kind() Kind { return KindServing }

// Cooperative declares a customer.
type Cooperative struct {
	// TokenSHA256 is the SHA-256 digest of the caller token, as 64 hex digits. Empty means that no token is required.
	TokenSHA256 customer.Digest `json:"token_sha256,omitzero"`
	// MaxInFlight is the maximum number of requests in flight per box.
	MaxInFlight int `json:"max_in_flight"`
}

// Check implements Spec.
func (c *Cooperative) Check(name string) error {
	return cmp.Or(checkNamePart("name", name), checkRange("max_in_flight", c.MaxInFlight, 1, MaxQueue))
}

func (*Cooperative) kind() Kind { return KindCooperative }

// Engine declares a model engine.
type Engine struct {
	Address netip.AddrPort `json:"address"`
	// Box is the name, in the platform's box list, of the box that the engine runs on. While that box is leaving, the engine gets no new
	// work.
	Box  string `json:"box,omitempty"`
	Zone string `json:"zone"`
	// Cell is the name of the cell that assigns the engine to one of its boxes. Empty means DefaultCell.
	Cell      string `json:"cell,omitempty"`
	BaseModel string `json:"base_model"`
	// Slots is the number of adapters that the engine can hold at the same time.
	Slots int `json:"slots"`
	// Batch is the number of sequences that the engine processes in one step.
	Batch int `json:"batch"`
	// ChecksEpochs is set if the engine rejects orders with an epoch older than the newest epoch it has seen.
	ChecksEpochs bool `json:"checks_orders"`
	// Service is the name of the service that the engine is an endpoint of. It is empty if requests specify only the model.
	Service string `json:"service,omitempty"`
	// DrainsBeforeUnload is set if the engine completes an adapter's running requests before it unloads or replaces the adapter, and if
	// a load replaces the adapter's other versions.
	DrainsBeforeUnload bool `json:"finishes_first,omitempty"`
	// KVTokens is the capacity of the engine's KV cache, in tokens, zero if unknown.
	KVTokens int `json:"kv_tokens,omitempty"`
	// Started is the start time in Unix milliseconds, zero if unknown.
	Started int64 `json:"started,omitempty"`
	// Scarce is set if the engine has so few adapter slots that it is scheduled as scarce.
	Scarce bool `json:"-"`
}

// Check implements Spec.
func (e *Engine) Check(name string) error {
	return cmp.Or(
		checkNamePart("name", name), checkAddress("address", e.Address), checkNamePart("zone", e.Zone), checkNamePart("base_model", e.BaseModel),
		checkRange("slots", e.Slots, 1, MaxSlots), checkRange("batch", e.Batch, 1, MaxBatch),
	)
}

// DefaultCell is the cell of engines and boxes that do not specify a cell.
const DefaultCell = "default"

// CellName returns the cell of the engine, DefaultCell if Cell is empty.
func (e *Engine) CellName() string { return cmp.Or(e.Cell, DefaultCell) }

func (*Engine) kind() Kind { return KindEngine }

// Service declares a plain service, without models, that requests are routed to.
type Service struct {
	Addresses []netip.AddrPort `json:"addresses"`
	// Timeout is the maximum duration of one call.
	Timeout Duration `json:"timeout"`
	// UnrepeatablePrefixes lists the path prefixes of calls that must run at most once.
	UnrepeatablePrefixes []string `json:"unrepeatable,omitempty"`
}

// Check implements Spec.
func (s *Service) Check(name string) error {
	if len(s.Addresses) == 0 {
		return fmt.Errorf("addresses must not be empty")
	}
	for _, a := range s.Addresses {
		if err := checkAddress("addresses", a); err != nil {
			return err
		}
	}
	if d := time.Duration(s.Timeout); d <= 0 || d > time.Hour {
		return fmt.Errorf("timeout must be in 1ms..1h")
	}
	for _, p := range s.UnrepeatablePrefixes {
		if !strings.HasPrefix(p, "/") {
			return fmt.Errorf("unrepeatable %q must start with /", p)
		}
	}
	return checkNamePart("name", name)
}

func (*Service) kind() Kind { return KindService }
