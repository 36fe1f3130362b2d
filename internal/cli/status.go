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
	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/reach"
	"github.com/bellgap/bellgap/internal/relay"
	"github.com/bellgap/bellgap/internal/result"
	"github.com/bellgap/bellgap/internal/share"
	"github.com/bellgap/bellgap/internal/slowpeer"
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
	if l := st.Leaving; l != nil {
		_, _ = fmt.Fprintf(w, "leaving, requests in flight are ended in %s; refused %d, ended unfinished %d\n", l.AnswersEndIn.Round(time.Millisecond), l.Refused, l.Unfinished)
	}
	if r := st.LastRestore; r != nil {
		_, _ = fmt.Fprintf(w, "store restored from an older copy: era %d, %s ago; kept %d objects that it lacks, withheld %d that it has again\n",
			r.Era, r.Ago.Round(time.Second), r.Kept, r.Withheld)
	}
	printSlowPeers(w, st.SlowPeers)
	printReach(w, st.Reach)
	if d := st.Detours; d.Used+d.Carried > 0 {
		_, _ = fmt.Fprintf(w, "connections to endpoints through other boxes: %d; carried for other boxes: %d\n", d.Used, d.Carried)
	}
	if st.StreamOrigins > 0 {
		_, _ = fmt.Fprintf(w, "streams whose software version is recorded here: %d\n", st.StreamOrigins)
	}
	printSoftwareVersions(w, st)
	if i := st.Intake; i.Evicted+i.Refused > 0 {
		_, _ = fmt.Fprintf(w, "requests that arrive hold %d of %d bytes on %d connections; closed to make room since the start: %d, refused: %d\n", i.HeldBytes, i.MaxBytes, i.Connections, i.Evicted, i.Refused)
	}
	for _, e := range st.SurplusAnswers {
		_, _ = fmt.Fprintf(w, "endpoint %s sent %d answers that belong to no request (%d bytes), %d heads of more than one answer, %d invalid heads and %d answers that were cut while their requests were being written, and got %d requests again under their ids, the last %s ago\n",
			e.Name, e.Answers, e.Bytes, e.MergedHeads, e.InvalidHeads, e.CutAnswers, e.Repeats, e.Ago.Round(time.Second))
	}
	if p := st.Promises; p != (relay.Promises{}) {
		_, _ = fmt.Fprintf(w, "callers were promised that their requests did not run: %d before they were sent, %d after rejections by endpoints, %d by the status of an endpoint\n",
			p.Unsent, p.Rejected, p.Forwarded)
	}
	fleet := summarize(topology, st.Member.Coordinator, st.Member.Cell)
	fleet.addRateLimits(st.RateLimits)
	fleet.addBrittle(st.BrittleEndpoints)
	fleet.addNotices(st.LeavingEndpoints, st.PausedEndpoints)
	fleet.print(w)
	if len(topology.Engines) <= maxListedEngines || cmd.Bool("all") {
		printEngines(w, topology)
	}
	printShortages(w, st.Shortages)
	printEngineLoads(w, st.EngineLoads)
	for _, e := range st.Engines {
		_, _ = fmt.Fprintf(w, "owned %s\tin_flight=%d\twaiting=%d\tfrozen=%t\tleft=%t\trate_refused=%d\tslots=%s\t%s\n", e.Engine, e.InFlight, e.Waiting, e.Frozen, e.Leaving, e.RateRefused, formatSlots(e), strings.Join(e.Loaded, " "))
	}
	return w.Flush()
}

// formatSlots returns the adapter slots of an engine in use, those occupied by orders without an answer, the limit of load pacing, and the
// response timeout of orders.
func formatSlots(e owner.Status) string {
	text := fmt.Sprintf("%d/%d", e.SlotsInUse, e.Slots)
	if e.SlotsUncertain > 0 {
		text += fmt.Sprintf(" (%d uncertain)", e.SlotsUncertain)
	}
	if e.LoadLimit > 0 {
		text += fmt.Sprintf("\tload_limit=%d", e.LoadLimit)
	}
	if e.OrderTimeout > 0 {
		text += fmt.Sprintf("\torder_timeout=%s", e.OrderTimeout.Round(time.Millisecond))
	}
	return text
}

// printSlowPeers prints the bytes held for callers and endpoints and the stalled connections, if there are any.
func printSlowPeers(w io.Writer, s slowpeer.Status) {
	if s.HeldBytes == 0 && s.Stalls == 0 {
		return
	}
	_, _ = fmt.Fprintf(w, "held for callers and endpoints: %d bytes; stalled connections: %d\n", s.HeldBytes, s.Stalls)
	for _, c := range s.Listed {
		_, _ = fmt.Fprintf(w, "stalled %s\tcustomer=%s\troute=%s\theld=%d\twaits_for=%s\n", c.Since.Round(time.Millisecond), cmp.Or(c.Customer, "none"), c.Route, c.Held, c.Step)
	}
}

// printReach prints whether the box can connect to no endpoint, and how many recent connection attempts failed, if there are any.
func printReach(w io.Writer, s reach.Status) {
	if s.Detached {
		_, _ = fmt.Fprintf(w, "this box reaches no endpoint for %s\n", s.DetachedFor.Round(time.Millisecond))
	}
	if s.Avoided > 0 {
		_, _ = fmt.Fprintf(w, "endpoints that this box could not reach within the last second: %d\n", s.Avoided)
	}
}

func printEngines(w io.Writer, t catalog.Topology) {
	_, _ = fmt.Fprintln(w, "ENGINE\tZONE\tMODEL\tOWNER\tEPOCH")
	for _, name := range sortedKeys(t.Engines) {
		e := t.Engines[name]
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", name, e.Spec.Zone, e.Spec.BaseModel, e.Owner.Box, e.Epoch)
	}
}

// printShortages prints the services that are short, with their shares by urgency and those of the customers that are limited.
func printShortages(w io.Writer, all []share.Shortage) {
	for _, s := range all {
		source := "all boxes"
		if !s.FromFleet {
			source = "this box alone"
		}
		_, _ = fmt.Fprintf(w, "service %s is short for %s, by the demand on %s\n", s.Service, s.For.Round(time.Second/10), source)
		for _, sh := range s.Shares {
			name := fmt.Sprintf("urgency %d", sh.Urgency)
			if sh.Customer != "" {
				name = "customer " + sh.Customer
			}
			_, _ = fmt.Fprintf(w, "  %s\tasked=%.1f/s\tserved=%.3f\tadmitted=%.3f\n", name, sh.Asked, sh.Served, sh.Admit)
		}
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

// printSoftwareVersions prints the services of which several software versions have served lately, the routes that have led to several
// services, and whether some may be missing.
func printSoftwareVersions(w io.Writer, st operator.Status) {
	for _, h := range st.SoftwareVersions {
		if h == nil {
			_, _ = fmt.Fprintln(w, "software versions: not listed by the coordinator")
			continue
		}
		if !h.Complete {
			_, _ = fmt.Fprintln(w, "software versions: some that served lately may be missing")
		}
		for _, s := range h.Services {
			if len(s.Versions) > 1 {
				_, _ = fmt.Fprintf(w, "software versions of %s: %q\n", s.Service, s.Versions)
			}
		}
		if !h.RoutesComplete {
			_, _ = fmt.Fprintln(w, "routes: services to which some have led lately may be missing")
		}
		for _, r := range h.Moved() {
			_, _ = fmt.Fprintf(w, "services of route %s%s: %q\n", r.Host, r.Prefix, r.Services)
		}
	}
	if st.WaitingOrigins > 0 {
		_, _ = fmt.Fprintf(w, "records of streams that wait for the archive: %d\n", st.WaitingOrigins)
	}
}
