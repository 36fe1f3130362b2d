package settings_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/settings"
)

const good = `
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
		{"good", good, ""},
		{"empty", "", "box.name: must be set"},
		{"unknown key", good + "[log]\nlevels = 2\n", "log.levels: unknown key"},
		{"out of range", good + "[log]\nlevel = 9\n", "log.level: is 9; it must lie in 0..4"},
		{"term below lease", good + "[timing]\nterm = \"1s\"\n", "timing.term: is 1s; it must lie in 3s.."},
		{"not TOML", "box", "box.toml"},
		{"host name", strings.Replace(good, "10.0.0.9", "platform", 1), "platform.address"},
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
		row := fmt.Sprintf("| `%s` | %s | %s |", k.Name, k.Default, k.Text)
		c.Check(strings.Contains(string(page), row), qt.IsTrue, qt.Commentf("docs/SETTINGS.md lacks: %s", row))
	}
}

// FuzzRead checks that settings that pass have what every box needs.
func FuzzRead(f *testing.F) {
	f.Add(good)
	f.Add("[timing]\nbeat = \"1h\"")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := settings.Read(strings.NewReader(text), "x")
		if err == nil && (s.Box.Name == "" || !s.Listen.Peer.IsValid() || s.Timing.LeaseTTL < 3*s.Timing.Beat || s.Timing.Term < s.Timing.LeaseTTL) {
			t.Fatalf("accepted: %+v", s)
		}
	})
}
