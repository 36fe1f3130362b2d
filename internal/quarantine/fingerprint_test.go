package quarantine_test

import (
	"bytes"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/quarantine"
)

var identity = quarantine.Identity{Method: "POST", Host: "downs.example", Path: "/summaries/x", Query: "a=1", Customer: "mill", Body: []byte("prompt")}

func TestFingerprint(t *testing.T) {
	c := qt.New(t)
	seen := map[quarantine.Fingerprint]string{identity.Fingerprint(): "the unchanged request"}
	for _, test := range []struct {
		name   string
		change func(*quarantine.Identity)
	}{
		{"method", func(i *quarantine.Identity) { i.Method = "GET" }},
		{"host", func(i *quarantine.Identity) { i.Host = "lima.example" }},
		{"path", func(i *quarantine.Identity) { i.Path = "/summaries/y" }},
		{"query", func(i *quarantine.Identity) { i.Query = "a=2" }},
		{"customer", func(i *quarantine.Identity) { i.Customer = "yard" }},
		{"body", func(i *quarantine.Identity) { i.Body = []byte("prompt ") }},
		{"same concatenation, different parts", func(i *quarantine.Identity) { i.Path, i.Query = "/summaries/xa", "=1" }},
	} {
		changed := identity
		test.change(&changed)
		f := changed.Fingerprint()
		c.Check(seen[f], qt.Equals, "", qt.Commentf("%s", test.name))
		seen[f] = test.name
	}
	text, err := identity.Fingerprint().MarshalText()
	c.Assert(err, qt.IsNil)
	var back quarantine.Fingerprint
	c.Assert(back.UnmarshalText(text), qt.IsNil)
	c.Check(back, qt.Equals, identity.Fingerprint())
	c.Check(back.UnmarshalText([]byte("00")), qt.IsNotNil)
	c.Check(back.UnmarshalText(bytes.Repeat([]byte("x"), 32)), qt.IsNotNil)
}

func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{0, 2 << 10, 64 << 10, 4 << 20} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			one := identity
			one.Body = make([]byte, size)
			b.ReportAllocs()
			for b.Loop() {
				one.Fingerprint()
			}
		})
	}
}
