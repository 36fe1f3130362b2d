package box_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/cli"
	"github.com/bellgap/bellgap/internal/fakeengine"
)

const priorityResource = `
[[resource]]
kind = "Priority"
name = "overnight"
spec = { urgency = 0, max_wait = "10m" }
`

func TestToolCommands(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, fleetConfig{boxes: 1, engines: []fakeengine.Config{smallEngine()}})
	dir := c.TempDir()
	good, bad := filepath.Join(dir, "good.toml"), filepath.Join(dir, "bad.toml")
	c.Assert(os.WriteFile(good, []byte(priorityResource), 0o600), qt.IsNil)
	c.Assert(os.WriteFile(bad, []byte(priorityResource+"colour = 1\n"), 0o600), qt.IsNil)
	for _, tt := range []struct {
		name string
		args []string
		exit int
		want string
	}{
		{"status", []string{"status", "--wait", "10s"}, 0, `(?s).*engine-1 .*box-1.*`},
		{"dry run", []string{"apply", "-f", good, "--dry-run"}, 0, `priority/overnight created at version 0 \(dry run\)\n`},
		{"apply", []string{"apply", "-f", good}, 0, `priority/overnight created at version \d+\n`},
		{"apply again", []string{"apply", "-f", good}, 0, `priority/overnight unchanged at version \d+\n`},
		{"unknown field", []string{"apply", "-f", bad}, 1, `(?s).*colour.*`},
		{"get all", []string{"get", "priorities"}, 0, `(?s)NAME.*gate.*`},
		{"get missing", []string{"get", "adapter", "nobody"}, 15, `(?s).*no_such_resource.*`},
		{"delete", []string{"delete", "priority", "overnight"}, 0, `priority/overnight deleted\n`},
		{"codes", []string{"codes"}, 0, `(?s).*3001 +queue_full.*`},
		{"unknown kind", []string{"get", "queues"}, 1, `(?s).*unknown kind "queues" \(known: .*`},
	} {
		c.Run(tt.name, func(c *qt.C) {
			var out bytes.Buffer
			args := append([]string{"bellgap", "--box", f.boxes[0].OperatorAddress().String()}, tt.args...)
			c.Check(cli.Tool(args, &out, &out), qt.Equals, tt.exit)
			c.Check(out.String(), qt.Matches, tt.want)
		})
	}
}
