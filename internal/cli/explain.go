package cli

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/bellgap/bellgap/internal/operator"
	"github.com/bellgap/bellgap/internal/record"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show the candidate engines of an adapter version, or the attempts and the result of a recent request",
		ArgsUsage: "ADAPTER@VERSION|REQUEST", Action: runExplain,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "log", Usage: "search the logs of boxes in `FILE` (- for standard input) instead of querying a box"},
		},
	}
}

func runExplain(ctx context.Context, cmd *cli.Command) error {
	subject := cmd.Args().First()
	if subject == "" {
		return eris.New("no adapter version or request ID given")
	}
	if log := cmd.String("log"); log != "" {
		return explainFromLogFile(cmd, log, subject)
	}
	c, err := newOperatorClient(cmd)
	if err != nil {
		return err
	}
	var e operator.Explanation
	if err := c.call(ctx, http.MethodGet, "/explain?of="+url.QueryEscape(subject), nil, &e); err != nil {
		return err
	}
	if cmd.Root().String("output") == formatJSON {
		return printJSON(cmd, e)
	}
	w := tabwriter.NewWriter(cmd.Root().Writer, 0, 0, 2, ' ', 0)
	for i, candidate := range e.Candidates {
		// The tabwriter buffers its output; Flush returns write errors.
		_, _ = fmt.Fprintf(w, "choice %d\t%s\towner %s\tzone %s\n", i+1, candidate.Engine, candidate.Owner, candidate.Zone)
	}
	for _, r := range e.Requests {
		printRequest(w, r)
	}
	return w.Flush()
}

// printRequest prints one request and its attempts. Write errors are returned later by Flush of the tabwriter.
func printRequest(w *tabwriter.Writer, r record.Request) {
	_, _ = fmt.Fprintf(w, "request %s\t%s\turgency %d\t%d %s\ttook %s\twaited %s for its adapter\n",
		r.ID, r.Adapter, r.Urgency, r.Result, r.Result, r.Duration.Round(time.Microsecond), r.AdapterWait.Round(time.Microsecond))
	for _, t := range r.Tries {
		_, _ = fmt.Fprintf(w, "  after %s\t%s\tby %s\t%s\t%s\n", t.Elapsed.Round(time.Microsecond), t.Engine, t.Box, t.Result, t.Detail)
	}
}
