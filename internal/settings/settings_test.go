package settings_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/settings"
)

const validSettings = `
[box]
name = "box-1"
zone = "hall-a"
[listen]
caller = "10.0.0.1:80"
peer = "10.0.0.1:81"
operator = "10.0.0.1:82"
[platform]
address = "10.0.0.9:80"
`

func TestRead(t *testing.T) {
	for _, tt := range []struct{ name, text, want string }{
		{"good", validSettings, ""},
		{"empty", "", "box.name: must be set"},
		{"unknown key", validSettings + "[log]\nlevels = 2\n", "log.levels: unknown key"},
		{"out of range", validSettings + "[log]\nlevel = 9\n", "log.level: is 9, must be in 0..4"},
		{"term below lease", validSettings + "[timing]\nterm = \"1s\"\n", "timing.term: is 1s, must be in 3s.."},
		{"not TOML", "box", "box.toml"},
		{"host name", strings.Replace(validSettings, "10.0.0.9", "platform", 1), "platform.address"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := settings.Read(strings.NewReader(tt.text), "box.toml")
			if tt.want == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorMatches, "(?s).*"+strings.ReplaceAll(tt.want, ".", `\.`)+".*")
			c.Assert(err, qt.ErrorMatches, "(?s).*box.toml.*")
		})
	}
}

func TestPageListsEveryKey(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	c.Assert(err, qt.IsNil)
	for _, k := range settings.Keys() {
		row := fmt.Sprintf("| `%s` | %s | %s |", k.Name, k.Default, k.Description)
		c.Check(strings.Contains(string(page), row), qt.IsTrue, qt.Commentf("docs/SETTINGS.md lacks the row: %s", row))
	}
}

// FuzzRead checks that accepted settings set the box name and the peer address, and keep the lease and term bounds.
func FuzzRead(f *testing.F) {
	f.Add(validSettings)
	f.Add("[timing]\nbeat = \"1h\"")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := settings.Read(strings.NewReader(text), "x")
		if err == nil && (s.Box.Name == "" || !s.Listen.Peer.IsValid() || s.Timing.LeaseTTL < 3*s.Timing.Beat || s.Timing.Term < s.Timing.LeaseTTL) {
			t.Fatalf("invalid settings accepted: %+v", s)
		}
	})
}
