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
		{"stall timeout of zero", validSettings + "[callers]\nstall_timeout = \"0s\"\n", "callers.stall_timeout: is 0s, must be in 100ms.."},
		{"negative memory", validSettings + "[process]\nmemory_mb = -1\n", "process.memory_mb: is -1, must be 0 or in 16.."},
		{"memory that is not a number", validSettings + "[process]\nmemory_mb = nan\n", "process.memory_mb: is NaN"},
		{"tiny hold", validSettings + "[process]\nhold_mb = 0.5\n", "process.hold_mb: is 0.5, must be 0 or in 1.."},
		{"hold above half of the memory", validSettings + "[process]\nmemory_mb = 144\nhold_mb = 100\n", "process.hold_mb: is 100, must be at most half of process.memory_mb, which is 144"},
		{"hold and memory", validSettings + "[process]\nmemory_mb = 144\nhold_mb = 20\n", ""},
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

// TestHoldBytes guards against a limit on held bytes that does not follow the memory of the box.
func TestHoldBytes(t *testing.T) {
	for _, tt := range []struct {
		name string
		in   settings.Process
		want int64
	}{
		{"nothing set", settings.Process{}, 16 << 20},
		{"memory set", settings.Process{MemoryMB: 144}, 9 << 20},
		{"both set", settings.Process{MemoryMB: 144, HoldMB: 4}, 4 << 20},
	} {
		t.Run(tt.name, func(t *testing.T) {
			qt.New(t).Check(tt.in.HoldBytes(), qt.Equals, tt.want)
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
