package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/policybench"
)

// Bench runs the policy benchmark and returns its exit status.
func Bench(args []string, out, errOut io.Writer) int {
	cmd := &cli.Command{
		Name: "bellgapbench", Usage: "compare the scheduling policy with simpler policies in a simulation in virtual time", Writer: out, ErrWriter: errOut,
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "generate the requests from the random seed `SEED`"},
			&cli.BoolFlag{Name: "steady", Usage: "run only the workloads without a change half-way"},
		},
		Action: runBench,
	}
	return run(cmd, args, errOut)
}

func runBench(_ context.Context, cmd *cli.Command) error {
	turns := []policybench.Disturbance{
		policybench.DisturbanceNone, policybench.DisturbanceHotSetShift, policybench.DisturbanceFlashCrowd, policybench.DisturbanceEngineRestart, policybench.DisturbanceSlowStore, policybench.DisturbanceOverload,
	}
	if cmd.Bool("steady") {
		turns = turns[:1]
	}
	var results []policybench.Result
	for _, turn := range turns {
		for _, s := range []policybench.Scenario{policybench.Downs(turn), policybench.Lima(turn)} {
			rows := make([]policybench.Result, len(policybench.Policies()))
			var group errgroup.Group
			for i, p := range policybench.Policies() {
				group.Go(func() error {
					rows[i] = policybench.Run(s, p, cmd.Uint64("seed"))
					return nil
				})
			}
			if err := group.Wait(); err != nil {
				return err
			}
			results = append(results, rows...)
		}
	}
	if _, err := fmt.Fprintf(cmd.Root().Writer, "Seed %d, an hour of virtual time each, the turn half-way.\n\n", cmd.Uint64("seed")); err != nil {
		return err
	}
	return policybench.WriteTable(cmd.Root().Writer, results)
}
