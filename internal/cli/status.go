package cli

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/operator"
	"github.com/bellgap/bellgap/internal/result"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "print the state of the box, and of the fleet as seen by this box",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "wait", Usage: "wait up to `TIME` until the box is ready and every engine has an owner"},
			&cli.BoolFlag{Name: "all", Usage: "list every engine, even in a large fleet"},
			&cli.StringFlag{Name: "revision", Value: "0", Usage: "with --wait, also wait until the box has applied `REVISION` (the version that apply prints)"},
		},
		Action: runStatus,
	}
}

const statusPollInterval = 100 * time.Millisecond

func runStatus(ctx context.Context, cmd *cli.Command) error {
	c, err := newOperatorClient(cmd)
	if err != nil {
		return err
	}
	revision, err := objects.ParsePosition(cmd.String("revision"))
	if err != nil {
		return result.New(result.BadRequest, "%v", err)
	}
	deadline := time.Now().Add(cmd.Duration("wait"))
	for {
		st, topology, err := readStatus(ctx, c)
		if err == nil && (cmd.Duration("wait") == 0 || isFleetReady(st, topology, revision)) {
			return printStatus(cmd, st, topology)
		}
		if !time.Now().Before(deadline) {
			if err == nil {
				err = result.New(result.NotReady, "box or engines not ready within %s", cmd.Duration("wait"))
			}
			return err
		}
		time.Sleep(statusPollInterval)
	}
}

func readStatus(ctx context.Context, c *operatorClient) (operator.Status, catalog.Topology, error) {
	var st operator.Status
	var t catalog.Topology
	if err := c.call(ctx, http.MethodGet, "/status", nil, &st); err != nil {
		return st, t, err
	}
	err := c.call(ctx, http.MethodGet, "/boxes", nil, &t)
	return st, t, err
}

func isFleetReady(st operator.Status, topology catalog.Topology, revision objects.Position) bool {
	for _, e := range topology.Engines {
		if e.Owner.Box == "" {
			return false
		}
	}
	return st.Ready && len(topology.Engines) > 0 && st.Revision >= revision
}

func printStatus(cmd *cli.Command, st operator.Status, topology catalog.Topology) error {
	if cmd.Root().String("output") == formatJSON {
		return printJSON(cmd, struct {
			Status   operator.Status  `json:"status"`
			Topology catalog.Topology `json:"topology"`
		}{st, topology})
	}
	w := tabwriter.NewWriter(cmd.Root().Writer, 0, 0, 2, ' ', 0)
	// The tabwriter buffers its output; Flush returns write errors.
	_, _ = fmt.Fprintf(w, "box %s ready=%t revision=%s in_flight=%d cell=%s coordinator=%s frozen=%t heard=%s ago aggregator=%s passes_on=%d\n",
		st.Box, st.Ready, st.Revision, st.InFlight, st.Member.Cell, st.Member.Coordinator, st.Member.Frozen,
		st.Member.SinceReply.Round(time.Millisecond), cmp.Or(st.Member.Aggregator, "none"), st.Member.ForwardedBeats)
	if r := st.LastRestore; r != nil {
		_, _ = fmt.Fprintf(w, "store restored from an older copy: era %d, %s ago; kept %d objects that it lacks, withheld %d that it has again\n",
			r.Era, r.Ago.Round(time.Second), r.Kept, r.Withheld)
	}
	fleet := summarize(topology, st.Member.Coordinator, st.Member.Cell)
	fleet.addRateLimits(st.RateLimits)
	fleet.addNotices(st.LeavingEndpoints, st.PausedEndpoints)
	fleet.print(w)
	if len(topology.Engines) <= maxListedEngines || cmd.Bool("all") {
		printEngines(w, topology)
	}
	printEngineLoads(w, st.EngineLoads)
	for _, e := range st.Engines {
		_, _ = fmt.Fprintf(w, "owned %s\tin_flight=%d\twaiting=%d\tfrozen=%t\tleft=%t\trate_refused=%d\t%s\n", e.Engine, e.InFlight, e.Waiting, e.Frozen, e.Leaving, e.RateRefused, strings.Join(e.Loaded, " "))
	}
	return w.Flush()
}

func printEngines(w io.Writer, t catalog.Topology) {
	_, _ = fmt.Fprintln(w, "ENGINE\tZONE\tMODEL\tOWNER\tEPOCH")
	for _, name := range sortedKeys(t.Engines) {
		e := t.Engines[name]
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", name, e.Spec.Zone, e.Spec.BaseModel, e.Owner.Box, e.Epoch)
	}
}

// printEngineLoads prints the loads of scarce engines, those with the highest prefill rates first.
func printEngineLoads(w io.Writer, all []operator.EngineLoad) {
	if len(all) == 0 {
		return
	}
	_, _ = fmt.Fprintln(w, "SCARCE ENGINE\tTOKENS/S\tBACKLOG\tRUNNING\tWAITING\tFREE SLOTS\tSLOT WAIT\tLOAD TIME\tREPORT AGE")
	for _, l := range all {
		_, _ = fmt.Fprintf(w, "%s\t%.0f\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", l.Engine, l.PrefillRate, l.Backlog, l.Running, l.Waiting, l.FreeSlots,
			l.SlotWait.Round(time.Millisecond), l.LoadTime.Round(time.Millisecond), l.Age.Round(time.Millisecond))
	}
}

func codesCommand() *cli.Command {
	return &cli.Command{
		Name: "codes", Usage: "print the table of result codes",
		Action: func(_ context.Context, cmd *cli.Command) error {
			w := tabwriter.NewWriter(cmd.Root().Writer, 0, 0, 2, ' ', 0)
			for _, i := range result.All() {
				// The tabwriter buffers its output; Flush returns write errors.
				_, _ = fmt.Fprintf(w, "%d\t%s\t%d\tran=%s\t%s\n", i.Code, i.Name, i.Status, i.Ran, i.Text)
			}
			return w.Flush()
		},
	}
}
