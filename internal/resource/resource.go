// Package resource holds the kinds that operators declare and their checks.
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

// Kind names a kind of declared resource.
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

// Kinds lists the declared kinds in the order in which they refer to each other.
func Kinds() []Kind {
	return []Kind{KindCooperative, KindPriority, KindServing, KindEngine, KindService, KindRouting, KindEndpoint, KindHolding, KindAdapter, KindAdapterVersion}
}

// ParseKind returns the kind whose name is s, in any case, singular or plural.
func ParseKind(s string) (Kind, error) {
	for _, k := range Kinds() {
		if strings.EqualFold(s, string(k)) || strings.EqualFold(s, plural(k)) {
			return k, nil
		}
	}
	return "", eris.Errorf("resource: unknown kind %q (known: %v)", s, Kinds())
}

func plural(k Kind) string {
	if stem, ok := strings.CutSuffix(string(k), "y"); ok {
		return stem + "ies"
	}
	return string(k) + "s"
}

// Spec is the declared part of a resource. It is sealed: the types of this package are all there are.
type Spec interface {
	// Check returns an error that names the first wrong field.
	Check(name string) error
	kind() Kind
}

// Resource is one declared resource.
type Resource struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Generation grows with each accepted change, whatever the platform's versions do; boxes write it, operators do not.
	Generation int64 `json:"generation,omitempty"`
	Spec       Spec  `json:"spec"`
}

type rawResource struct {
	Kind       Kind            `json:"kind"`
	Name       string          `json:"name"`
	Generation int64           `json:"generation"`
	Spec       json.RawMessage `json:"spec"`
}

// UnmarshalJSON reads the spec type that the kind names; unknown fields are errors.
func (r *Resource) UnmarshalJSON(b []byte) error {
	var raw rawResource
	if err := strict(b, &raw); err != nil {
		return err
	}
	kind, err := ParseKind(string(raw.Kind))
	if err != nil {
		return err
	}
	spec := newSpec(kind)
	if len(raw.Spec) > 0 {
		if err := strict(raw.Spec, spec); err != nil {
			return eris.Wrapf(err, "resource: %s %q", kind, raw.Name)
		}
	}
	*r = Resource{Kind: kind, Name: raw.Name, Generation: raw.Generation, Spec: spec}
	return nil
}

// Check returns an error that names the first wrong field.
func (r Resource) Check() error {
	if r.Spec == nil {
		return eris.Errorf("resource: %s %q: no spec", r.Kind, r.Name)
	}
	if !nameRule.MatchString(r.Name) {
		return eris.Errorf("resource: %s %q: name must match %s", r.Kind, r.Name, nameRule)
	}
	if err := r.Spec.Check(r.Name); err != nil {
		return eris.Wrapf(err, "resource: %s %q", r.Kind, r.Name)
	}
	return nil
}

func strict(b []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	return d.Decode(into)
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
	nameRule = regexp.MustCompile(`^[a-z0-9]([a-z0-9.@-]{0,126}[a-z0-9])?$`)
	partRule = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?$`)
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

func needPart(field, v string) error {
	if !partRule.MatchString(v) {
		return fmt.Errorf("%s %q must match %s", field, v, partRule)
	}
	return nil
}

func needAddr(field string, v netip.AddrPort) error {
	if !v.IsValid() || v.Port() == 0 {
		return fmt.Errorf("%s must be an IP address with a port", field)
	}
	return nil
}

func needRange(field string, v, low, high int) error {
	if v < low || v > high {
		return fmt.Errorf("%s is %d; it must lie in %d..%d", field, v, low, high)
	}
	return nil
}
