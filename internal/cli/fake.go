package cli

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/bellgap/bellgap/internal/fakeengine"
	"github.com/bellgap/bellgap/internal/fakeplatform"
	"github.com/bellgap/bellgap/internal/fakeservice"
	"github.com/bellgap/bellgap/internal/fakestore"
	"github.com/bellgap/bellgap/internal/httpx"
)

// Fake runs one of the stand-ins and returns its exit status.
func Fake(args []string, out, errOut io.Writer) int {
	listen := []cli.Flag{
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "listen on `ADDRESS`"},
		&cli.StringFlag{Name: "address-file", Usage: "write the address to `FILE` once listening"},
	}
	cmd := &cli.Command{
		Name: "bellgapfake", Usage: "stand-ins for the systems around bellgap", Writer: out, ErrWriter: errOut,
		Commands: []*cli.Command{
			{Name: "platform", Usage: "object API and box list", Flags: append(platformFlags(), listen...), Action: runFakePlatform},
			{Name: "engine", Usage: "model engine", Flags: append(engineFlags(), listen...), Action: runFakeEngine},
			{Name: "store", Usage: "weight store", Flags: append(storeFlags(), listen...), Action: runFakeStore},
			{Name: "service", Usage: "plain service", Flags: append(append([]cli.Flag{&cli.StringFlag{Name: "name", Value: "service"}}, noticeFlags()...), listen...), Action: runFakeService},
		},
	}
	return run(cmd, args, errOut)
}

func platformFlags() []cli.Flag {
	return []cli.Flag{
		&cli.IntFlag{Name: "adapters", Usage: "declare `N` adapters with one version each at the start"},
		&cli.StringFlag{Name: "base-model", Value: "plain-7b", Usage: "base model of those adapters"},
	}
}

// noticeFlags are for what a stand-in says of itself.
func noticeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "rate", Usage: "name `N` in all answers as the requests a second taken from all boxes"},
		&cli.BoolFlag{Name: "leaving", Usage: "say in all answers that it leaves"},
		&cli.StringFlag{Name: "rest", Usage: "turn all requests away and ask for `SECONDS` of rest"},
	}
}

func engineFlags() []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "name", Value: "engine"},
		&cli.StringFlag{Name: "store", Usage: "fetch weights from the store at `ADDRESS`"},
		&cli.IntFlag{Name: "slots", Value: 8, Usage: "adapters held at once"},
		&cli.IntFlag{Name: "batch", Value: 16, Usage: "sequences in a step"},
		&cli.DurationFlag{Name: "step", Value: 20 * time.Millisecond, Usage: "time of a step"},
		&cli.DurationFlag{Name: "report-lag", Value: time.Second, Usage: "age of reports"},
		&cli.BoolFlag{Name: "unchecked", Usage: "take orders of any epoch"},
	}, noticeFlags()...)
}

func storeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.FloatFlag{Name: "per-second", Value: 3, Usage: "loads a second"},
		&cli.IntFlag{Name: "at-once", Value: 2, Usage: "loads at full speed"},
		&cli.DurationFlag{Name: "load-time", Value: 300 * time.Millisecond, Usage: "time of a load at full speed"},
	}
}

func runFakePlatform(ctx context.Context, cmd *cli.Command) error {
	store := fakeplatform.New()
	if err := store.DeclareAdapters(ctx, cmd.Int("adapters"), cmd.String("base-model")); err != nil {
		return err
	}
	return serveFake(ctx, cmd, store.Handler())
}

func runFakeEngine(ctx context.Context, cmd *cli.Command) error {
	cfg := fakeengine.Config{
		Name: cmd.String("name"), Slots: cmd.Int("slots"), Batch: cmd.Int("batch"), Step: cmd.Duration("step"),
		ReportLag: cmd.Duration("report-lag"), ChecksOrders: !cmd.Bool("unchecked"),
	}
	if store := cmd.String("store"); store != "" {
		cfg.Fetch = fetchFrom(store)
	}
	e := fakeengine.New(cfg)
	e.SetFaults(fakeengine.Faults{Rate: cmd.String("rate"), Leaving: cmd.Bool("leaving"), Rest: cmd.String("rest")})
	return serveFake(ctx, cmd, e.Handler())
}

// fetchFrom returns the engine's way to get weights from the store.
func fetchFrom(store string) func(context.Context, string) error {
	client := &http.Client{Transport: httpx.NewTransport(1)}
	return func(ctx context.Context, weights string) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+store+"/weights/"+weights, nil)
		if err != nil {
			return err
		}
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		defer httpx.Drain(resp.Body)
		if resp.StatusCode != http.StatusOK {
			return eris.Errorf("store: status %d", resp.StatusCode)
		}
		return nil
	}
}

func runFakeStore(ctx context.Context, cmd *cli.Command) error {
	return serveFake(ctx, cmd, fakestore.New(fakestore.Config{
		PerSecond: cmd.Float("per-second"), AtOnce: cmd.Int("at-once"), LoadTime: cmd.Duration("load-time"),
	}).Handler())
}

func runFakeService(ctx context.Context, cmd *cli.Command) error {
	s := fakeservice.New(cmd.String("name"))
	s.SetFaults(fakeservice.Faults{Rate: cmd.String("rate"), Leaving: cmd.Bool("leaving"), Rest: cmd.String("rest")})
	return serveFake(ctx, cmd, s.Handler())
}

func serveFake(ctx context.Context, cmd *cli.Command, h http.Handler) error {
	l, err := net.Listen("tcp", cmd.String("listen"))
	if err != nil {
		return eris.Wrap(err, "bellgapfake: listen")
	}
	if path := cmd.String("address-file"); path != "" {
		if err := writeAddress(path, l.Addr().String()); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintln(cmd.Root().Writer, l.Addr()); err != nil {
		return err
	}
	if err := httpx.Serve(ctx, httpx.NewServer(h), l); ctx.Err() == nil {
		return err
	}
	return nil
}
