package cli

import (
	"context"
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/bellgap/bellgap/internal/quarantine"
)

func quarantineCommand() *cli.Command {
	return &cli.Command{
		Name: "quarantine", Usage: "list the requests that have crashed endpoints", Action: runQuarantine,
		Commands: []*cli.Command{{
			Name: "release", Usage: "allow requests with a FINGERPRINT again on all boxes", ArgsUsage: "FINGERPRINT", Action: runRelease,
		}},
	}
}

func runQuarantine(ctx context.Context, cmd *cli.Command) error {
	c, err := newOperatorClient(cmd)
	if err != nil {
		return err
	}
	var cases []quarantine.Case
	if err := c.call(ctx, http.MethodGet, "/quarantine", nil, &cases); err != nil {
		return err
	}
	if cmd.Root().String("output") == formatJSON {
		return printJSON(cmd, cases)
	}
	w := tabwriter.NewWriter(cmd.Root().Writer, 0, 0, 2, ' ', 0)
	// The tabwriter buffers its output; Flush returns write errors.
	_, _ = fmt.Fprintln(w, "FINGERPRINT\tENDED\tHELD SINCE\tREQUEST")
	for _, entry := range cases {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", entry.Fingerprint, entry.CrashCount(), heldSince(entry), entry.Description)
	}
	return w.Flush()
}

// heldSince returns the time since which all boxes refuse the requests of a case, or "not held" if they accept them.
func heldSince(c quarantine.Case) string {
	if c.Since == 0 {
		return "not held"
	}
	return time.UnixMilli(c.Since).UTC().Format(time.RFC3339)
}

func runRelease(ctx context.Context, cmd *cli.Command) error {
	fingerprint := cmd.Args().First()
	if fingerprint == "" {
		return eris.New("no fingerprint given")
	}
	c, err := newOperatorClient(cmd)
	if err != nil {
		return err
	}
	var answer struct{}
	if err := c.call(ctx, http.MethodDelete, "/quarantine/"+fingerprint, nil, &answer); err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.Root().Writer, "%s passes again\n", fingerprint)
	return err
}
