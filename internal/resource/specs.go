package resource

import (
	"cmp"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/bellgap/bellgap/internal/customer"
)

// Bounds of the declared numbers.
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
	// Priority names the priority of requests that state none.
	Priority string `json:"priority,omitempty"`
}

// Check implements Spec.
func (a *Adapter) Check(name string) error {
	return cmp.Or(needPart("name", name), needPart("base_model", a.BaseModel), needPart("cooperative", a.Cooperative))
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
		return fmt.Errorf("weights must be a key and bytes not negative")
	}
	return nil
}

func (*AdapterVersion) kind() Kind { return KindAdapterVersion }

// Priority declares how urgent a class of requests is.
type Priority struct {
	// Urgency orders requests: higher goes first, 0 is night work that fills batches.
	Urgency int `json:"urgency"`
	// MaxWait is the longest useful wait for the first token; zero leaves it to the request.
	MaxWait Duration `json:"max_wait,omitempty"`
}

// Check implements Spec.
func (p *Priority) Check(string) error {
	if p.MaxWait < 0 {
		return fmt.Errorf("max_wait must not be negative")
	}
	return needRange("urgency", p.Urgency, 0, MaxUrgency)
}

func (*Priority) kind() Kind { return KindPriority }

// Serving declares how the requests of a base model are served.
type Serving struct {
	BaseModel string `json:"base_model"`
	// MaxQueue bounds the waiting requests per engine.
	MaxQueue int `json:"max_queue"`
	// MaxEngines bounds how many engines one hot adapter may spread over.
	MaxEngines int `json:"max_engines"`
	// StallWeight weighs load stalls against batch fill, 0 (fill only) to 100 (stalls only). Below 50, work of no urgency starts only beside urgent work, for at most a minute.
	StallWeight int `json:"stall_weight"`
}

// Check implements Spec.
func (s *Serving) Check(string) error {
	return cmp.Or(
		needPart("base_model", s.BaseModel),
		needRange("max_queue", s.MaxQueue, 1, MaxQueue),
		needRange("max_engines", s.MaxEngines, 1, MaxSlots),
		needRange("stall_weight", s.StallWeight, 0, 100),
	)
}

func (*Serving) kind() Kind { return KindServing }

// Cooperative declares a customer.
type Cooperative struct {
	// TokenSHA256 is the digest of the caller token, 64 hex digits; empty means no token is asked for.
	TokenSHA256 customer.Digest `json:"token_sha256,omitzero"`
	// MaxInFlight bounds the requests in flight per box.
	MaxInFlight int `json:"max_in_flight"`
}

// Check implements Spec.
func (c *Cooperative) Check(name string) error {
	return cmp.Or(needPart("name", name), needRange("max_in_flight", c.MaxInFlight, 1, MaxQueue))
}

func (*Cooperative) kind() Kind { return KindCooperative }

// Engine declares a model engine.
type Engine struct {
	Address netip.AddrPort `json:"address"`
	// Box names the box it runs on, as in the platform's box list; when that box is leaving the engine gets no new work.
	Box  string `json:"box,omitempty"`
	Zone string `json:"zone"`
	// Cell names the boxes that share out this engine; empty means the cell "default".
	Cell      string `json:"cell,omitempty"`
	BaseModel string `json:"base_model"`
	// Slots is how many adapters fit at once.
	Slots int `json:"slots"`
	// Batch is how many sequences one step takes.
	Batch int `json:"batch"`
	// ChecksOrders says that the engine refuses orders with an epoch older than the newest it has seen.
	ChecksOrders bool `json:"checks_orders"`
	// Service names the service that the engine is an endpoint of, empty where requests name the model alone.
	Service string `json:"service,omitempty"`
	// FinishesFirst says that the engine ends an adapter's runs before it unloads or replaces the adapter, and that a load
	// replaces the adapter's other versions.
	FinishesFirst bool `json:"finishes_first,omitempty"`
	// KVTokens is how many tokens its cache holds, zero if that is not known.
	KVTokens int `json:"kv_tokens,omitempty"`
	// Started is the Unix millisecond of its start, zero if that is not known.
	Started int64 `json:"started,omitempty"`
}

// Check implements Spec.
func (e *Engine) Check(name string) error {
	return cmp.Or(
		needPart("name", name), needAddr("address", e.Address), needPart("zone", e.Zone), needPart("base_model", e.BaseModel),
		needRange("slots", e.Slots, 1, MaxSlots), needRange("batch", e.Batch, 1, MaxBatch),
	)
}

// DefaultCell is the cell of engines and boxes that name none.
const DefaultCell = "default"

// CellName returns the cell of the engine.
func (e *Engine) CellName() string { return cmp.Or(e.Cell, DefaultCell) }

func (*Engine) kind() Kind { return KindEngine }

// Service declares a plain service that requests are routed to.
type Service struct {
	Addresses []netip.AddrPort `json:"addresses"`
	// Timeout bounds one call.
	Timeout Duration `json:"timeout"`
	// Unrepeatable lists path prefixes whose calls run at most once.
	Unrepeatable []string `json:"unrepeatable,omitempty"`
}

// Check implements Spec.
func (s *Service) Check(name string) error {
	if len(s.Addresses) == 0 {
		return fmt.Errorf("addresses must not be empty")
	}
	for _, a := range s.Addresses {
		if err := needAddr("addresses", a); err != nil {
			return err
		}
	}
	if d := time.Duration(s.Timeout); d <= 0 || d > time.Hour {
		return fmt.Errorf("timeout must lie in 1ms..1h")
	}
	for _, p := range s.Unrepeatable {
		if !strings.HasPrefix(p, "/") {
			return fmt.Errorf("unrepeatable %q must start with /", p)
		}
	}
	return needPart("name", name)
}

func (*Service) kind() Kind { return KindService }
