package resource

import (
	"fmt"
	"strings"
)

// Ref identifies one version of an adapter.
type Ref struct {
	Adapter string
	Version string
}

// ParseRef parses "adapter@version".
func ParseRef(s string) (Ref, error) {
	adapter, version, ok := strings.Cut(s, "@")
	if !ok {
		return Ref{}, fmt.Errorf("%q must have the form adapter@version", s)
	}
	if !namePartPattern.MatchString(adapter) || !namePartPattern.MatchString(version) {
		return Ref{}, fmt.Errorf("%q must have the form adapter@version, each part matching %s", s, namePartPattern)
	}
	return Ref{Adapter: adapter, Version: version}, nil
}

// IsBase reports whether r refers to the base model itself, without an adapter.
func (r Ref) IsBase() bool { return r.Adapter == "" }

// String returns "adapter@version".
func (r Ref) String() string { return r.Adapter + "@" + r.Version }
