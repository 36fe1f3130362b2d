package customer

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
)

// Digest is the SHA-256 digest of a key or token. Keys themselves are never stored in the catalog, sent between boxes or logged.
type Digest [sha256.Size]byte

// NewDigest returns the digest of a key.
func NewDigest(key string) Digest { return sha256.Sum256([]byte(key)) }

// Matches reports whether key has the digest d. It compares in constant time.
func (d Digest) Matches(key string) bool {
	got := NewDigest(key)
	return subtle.ConstantTimeCompare(got[:], d[:]) == 1
}

// IsZero reports whether the digest is unset.
func (d Digest) IsZero() bool { return d == Digest{} }

// MarshalText implements encoding.TextMarshaler. The text has 64 hex digits, or is empty for the zero digest.
func (d Digest) MarshalText() ([]byte, error) {
	if d.IsZero() {
		return nil, nil
	}
	return hex.AppendEncode(nil, d[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(b []byte) error {
	*d = Digest{}
	if len(b) == 0 {
		return nil
	}
	if hex.DecodedLen(len(b)) != len(d) {
		return fmt.Errorf("customer: digest must have %d hex digits", hex.EncodedLen(len(d)))
	}
	if _, err := hex.Decode(d[:], b); err != nil {
		return fmt.Errorf("customer: decode digest failed: %w", err)
	}
	return nil
}
