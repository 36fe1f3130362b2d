package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/bellgap/bellgap/internal/logline"
)

// explainFromLog prints the lines of a log that name a request, an engine or an adapter version, a value a row.
func explainFromLog(cmd *cli.Command, path, wanted string) error {
	in := io.Reader(os.Stdin)
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return eris.Wrap(err, "explain")
		}
		// A file that was only read has nothing to lose at its closing.
		defer func() { _ = f.Close() }()
		in = f
	}
	lines, err := logline.Find(in, wanted)
	if err != nil {
		return eris.Wrap(err, "explain")
	}
	if len(lines) == 0 {
		return eris.Errorf("no line names %q", wanted)
	}
	for _, l := range lines {
		if err := printLine(cmd.Root().Writer, l); err != nil {
			return err
		}
	}
	return nil
}

func printLine(w io.Writer, l logline.Line) error {
	if _, err := fmt.Fprintf(w, "%s %s\n", l.Head, l.Message); err != nil {
		return err
	}
	for _, f := range l.Fields {
		if _, err := fmt.Fprintf(w, "  %-10s %s\n", f.Key, f.Value); err != nil {
			return err
		}
	}
	return nil
}
