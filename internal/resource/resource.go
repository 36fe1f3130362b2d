// Package resource defines the declared resource kinds and validates them.
package resource

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Kind is the name of a kind of declared resource.
type Kind string

// The declared kinds.
const (
	KindAdapter        Kind = "Adapter"
	KindAdapterVersion Kind = "AdapterVersion"
	KindPriority       Kind = "Priority"
	KindServing        Kind = "ServingConfiguration"
	KindCooperative    Kind = "Cooperative"
	KindEngine         Kind = "Engine"
	KindService        Kind = "Service"
	KindRouting        Kind = "Routing"
	KindEndpoint       Kind = "Endpoint"
	KindHolding        Kind = "Holding"
)

// Kinds returns the declared kinds, in the order of their references: Adapter, for example, comes after Cooperative and Priority, which it
// refers to.
func Kinds() []Kind {
	return []Kind{KindCooperative, KindPriority, KindServing, KindEngine, KindService, KindRouting, KindEndpoint, KindHolding, KindAdapter, KindAdapterVersion}
}

// ParseKind returns the kind named s. Case is ignored, and s may be singular or plural.
func ParseKind(s string) (Kind, error) {
	for _, k := range Kinds() {
		if strings.EqualFold(s, string(k)) || strings.EqualFold(s, pluralName(k)) {
			return k, nil
		}
	}
	return "", eris.Errorf("resource: unknown kind %q (known: %v)", s, Kinds())
}

func pluralName(k Kind) string {
	if stem, ok := strings.CutSuffix(string(k), "y"); ok {
		return stem + "ies"
	}
	return string(k) + "s"
}

// Spec is the declared part of a resource. Only types of this package implement it.
type Spec interface {
	// Check returns an error that names the first invalid field.
	Check(name string) error
	kind() Kind
}

// Resource is a declared resource.
type Resource struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Generation increases with each accepted change, independently of the platform's version numbers. Only boxes write it, never
	// operators.
	Generation int64 `json:"generation,omitempty"`
	Spec       Spec  `json:"spec"`
}

type rawResource struct {
	Kind       Kind            `json:"kind"`
	Name       string          `json:"name"`
	Generation int64           `json:"generation"`
	Spec       json.RawMessage `json:"spec"`
}

// UnmarshalJSON decodes the spec into the type that belongs to the kind. It rejects unknown fields.
func (r *Resource) UnmarshalJSON(b []byte) error {
	var raw rawResource
	if err := decodeStrict(b, &raw); err != nil {
		return err
	}
	kind, err := ParseKind(string(raw.Kind))
	if err != nil {
		return err
	}
	spec := newSpec(kind)
	if len(raw.Spec) > 0 {
		if err := decodeStrict(raw.Spec, spec); err != nil {
			return eris.Wrapf(err, "resource: %s %q", kind, raw.Name)
		}
	}
	*r = Resource{Kind: kind, Name: raw.Name, Generation: raw.Generation, Spec: spec}
	return nil
}

// Check returns an error that names the first invalid field.
func (r Resource) Check() error {
	if r.Spec == nil {
		return eris.Errorf("resource: %s %q: spec is missing", r.Kind, r.Name)
	}
	if !namePattern.MatchString(r.Name) {
		return eris.Errorf("resource: %s %q: name must match %s", r.Kind, r.Name, namePattern)
	}
	if err := r.Spec.Check(r.Name); err != nil {
		return eris.Wrapf(err, "resource: %s %q", r.Kind, r.Name)
	}
	return nil
}

func decodeStrict(b []byte, target any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	return d.Decode(target)
}

func newSpec(k Kind) Spec {
	switch k {
	case KindAdapter:
		return &Adapter{}
	case KindAdapterVersion:
		return &AdapterVersion{}
	case KindPriority:
		return &Priority{}
	case KindServing:
		return &Serving{}
	case KindCooperative:
		return &Cooperative{}
	case KindEngine:
		return &Engine{}
	case KindRouting:
		return &Routing{}
	case KindEndpoint:
		return &Endpoint{}
	case KindHolding:
		return &Holding{}
	default:
		return &Service{}
	}
}

var (
	namePattern     = regexp.MustCompile(`^[a-z0-9]([a-z0-9.@-]{0,126}[a-z0-9])?$`)
	namePartPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?$`)
)

// Duration is a time.Duration written as text such as "250ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

func checkNamePart(field, v string) error {
	if !namePartPattern.MatchString(v) {
		return fmt.Errorf("%s %q must match %s", field, v, namePartPattern)
	}
	return nil
}

func checkAddress(field string, v netip.AddrPort) error {
	if !v.IsValid() || v.Port() == 0 {
		return fmt.Errorf("%s must be an IP address with a port", field)
	}
	return nil
}

func checkRange(field string, v, low, high int) error {
	if v < low || v > high {
		return fmt.Errorf("%s is %d, must be in %d..%d", field, v, low, high)
	}
	return nil
}
