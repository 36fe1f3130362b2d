package resource

import (
	"fmt"
	"strings"
)

// Ref names one version of one adapter.
type Ref struct {
	Adapter string
	Version string
}

// ParseRef reads "adapter@version".
func ParseRef(s string) (Ref, error) {
	adapter, version, ok := strings.Cut(s, "@")
	if !ok {
		return Ref{}, fmt.Errorf("%q must be written adapter@version", s)
	}
	if !partRule.MatchString(adapter) || !partRule.MatchString(version) {
		return Ref{}, fmt.Errorf("%q must be written adapter@version, each part matching %s", s, partRule)
	}
	return Ref{Adapter: adapter, Version: version}, nil
}

// IsBase reports whether the base model itself is meant, without an adapter.
func (r Ref) IsBase() bool { return r.Adapter == "" }

// String returns "adapter@version".
func (r Ref) String() string { return r.Adapter + "@" + r.Version }
