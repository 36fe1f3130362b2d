package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/bellgap/bellgap/internal/logline"
)

// explainFromLogFile prints the log lines that contain the subject as a value: a request ID, an engine or an adapter version.
// Each field of a log line is printed on its own row.
func explainFromLogFile(cmd *cli.Command, path, subject string) error {
	in := io.Reader(os.Stdin)
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return eris.Wrap(err, "explain")
		}
		// The file is only read, so no data is lost if closing it fails.
		defer func() { _ = f.Close() }()
		in = f
	}
	lines, err := logline.Find(in, subject)
	if err != nil {
		return eris.Wrap(err, "explain")
	}
	if len(lines) == 0 {
		return eris.Errorf("no log line contains %q", subject)
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
