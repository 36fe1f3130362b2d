package cli

import (
	"errors"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/bellgap/bellgap/internal/result"
)

// Exit statuses for errors that have no result code.
const (
	exitFailure = 1
	exitUsage   = 2
)

// An error with a result code has the exit status 10 plus the class of the code: 12 for codes 2xxx, 13 for codes 3xxx and so on.
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
		Name: "bellgap", Usage: "manage resources and inspect the fleet", Writer: out, ErrWriter: errOut, EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "box", Aliases: []string{"b"}, Usage: "connect to the operator address `ADDRESS` of a box",
				Sources: cli.EnvVars("BELLGAP_BOX"),
			},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: formatTable, Usage: "output `FORMAT`: table or json"},
		},
		Commands: []*cli.Command{applyCommand(), getCommand(), deleteCommand(), watchCommand(), statusCommand(), explainCommand(), quarantineCommand(), codesCommand(), askCommand()},
	}
	return run(cmd, args, errOut)
}
