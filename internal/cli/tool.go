package cli

import (
	"errors"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/bellgap/bellgap/internal/result"
)

// Exit statuses beside those of the result classes.
const (
	exitFailure = 1
	exitUsage   = 2
)

// exitClass is how result codes map to exit statuses: 2xxx ends with 12, 3xxx with 13 and so on.
const (
	exitClassBase = 10
	codesPerClass = 1000
)

func exitStatus(err error) int {
	var e *result.Error
	if errors.As(err, &e) {
		return exitClassBase + int(e.Code)/codesPerClass
	}
	return exitFailure
}

// Tool runs bellgap and returns its exit status.
func Tool(args []string, out, errOut io.Writer) int {
	cmd := &cli.Command{
		Name: "bellgap", Usage: "declare resources and watch the fleet", Writer: out, ErrWriter: errOut, EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "box", Aliases: []string{"b"}, Usage: "talk to the operator address `ADDRESS` of a box",
				Sources: cli.EnvVars("BELLGAP_BOX"),
			},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: formatTable, Usage: "print as `FORMAT`: table or json"},
		},
		Commands: []*cli.Command{applyCommand(), getCommand(), deleteCommand(), watchCommand(), statusCommand(), explainCommand(), quarantineCommand(), codesCommand(), askCommand()},
	}
	return run(cmd, args, errOut)
}
