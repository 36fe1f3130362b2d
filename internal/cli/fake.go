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

// Fake runs bellgapfake, which simulates one of the systems around bellgap, and returns its exit status.
func Fake(args []string, out, errOut io.Writer) int {
	listen := []cli.Flag{
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "listen on `ADDRESS`"},
		&cli.StringFlag{Name: "address-file", Usage: "write the listen address to `FILE` when the program accepts connections"},
	}
	cmd := &cli.Command{
		Name: "bellgapfake", Usage: "simulate the systems around bellgap for tests", Writer: out, ErrWriter: errOut,
		Commands: []*cli.Command{
			{Name: "platform", Usage: "simulate the platform: object API and box list", Flags: append(platformFlags(), listen...), Action: runFakePlatform},
			{Name: "engine", Usage: "simulate a model engine", Flags: append(engineFlags(), listen...), Action: runFakeEngine},
			{Name: "store", Usage: "simulate a weight store", Flags: append(storeFlags(), listen...), Action: runFakeStore},
			{Name: "service", Usage: "simulate a plain service", Flags: append(append([]cli.Flag{&cli.StringFlag{Name: "name", Value: "service"}}, noticeFlags()...), listen...), Action: runFakeService},
		},
	}
	return run(cmd, args, errOut)
}

func platformFlags() []cli.Flag {
	return []cli.Flag{
		&cli.IntFlag{Name: "adapters", Usage: "create `N` adapters with one version each at start-up"},
		&cli.StringFlag{Name: "base-model", Value: "plain-7b", Usage: "base model of the created adapters"},
	}
}

// noticeFlags returns the flags for the notices that a simulated endpoint sends in its response headers.
func noticeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "rate", Usage: "report a rate limit of `N` requests per second for all boxes together in every response"},
		&cli.BoolFlag{Name: "leaving", Usage: "report in every response that the endpoint is leaving"},
		&cli.StringFlag{Name: "rest", Usage: "refuse all requests and request a pause of `SECONDS` from each box"},
	}
}

func engineFlags() []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "name", Value: "engine"},
		&cli.StringFlag{Name: "store", Usage: "fetch weights from the weight store at `ADDRESS`"},
		&cli.IntFlag{Name: "slots", Value: 8, Usage: "maximum number of loaded adapters"},
		&cli.IntFlag{Name: "batch", Value: 16, Usage: "maximum number of sequences in a batch step"},
		&cli.DurationFlag{Name: "step", Value: 20 * time.Millisecond, Usage: "duration of a batch step"},
		&cli.DurationFlag{Name: "report-lag", Value: time.Second, Usage: "delay of the state reports"},
		&cli.BoolFlag{Name: "unchecked", Usage: "accept orders of outdated epochs"},
	}, noticeFlags()...)
}

func storeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.FloatFlag{Name: "per-second", Value: 3, Usage: "maximum number of loads per second"},
		&cli.IntFlag{Name: "at-once", Value: 2, Usage: "number of concurrent loads that run at full speed"},
		&cli.DurationFlag{Name: "load-time", Value: 300 * time.Millisecond, Usage: "duration of a load at full speed"},
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
		ReportLag: cmd.Duration("report-lag"), ChecksEpochs: !cmd.Bool("unchecked"),
	}
	if store := cmd.String("store"); store != "" {
		cfg.Fetch = newWeightFetcher(store)
	}
	e := fakeengine.New(cfg)
	e.SetFaults(fakeengine.Faults{RateLimit: cmd.String("rate"), Leaving: cmd.Bool("leaving"), RetryAfter: cmd.String("rest")})
	return serveFake(ctx, cmd, e.Handler())
}

// newWeightFetcher returns a function that downloads weights from the weight store at an address.
func newWeightFetcher(store string) func(context.Context, string) error {
	client := httpx.NewClient(1)
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
			return eris.Errorf("weight store: unexpected status %d", resp.StatusCode)
		}
		return nil
	}
}

func runFakeStore(ctx context.Context, cmd *cli.Command) error {
	return serveFake(ctx, cmd, fakestore.New(fakestore.Config{
		PerSecond: cmd.Float("per-second"), MaxFullSpeedLoads: cmd.Int("at-once"), LoadTime: cmd.Duration("load-time"),
	}).Handler())
}

func runFakeService(ctx context.Context, cmd *cli.Command) error {
	s := fakeservice.New(cmd.String("name"))
	s.SetFaults(fakeservice.Faults{RateLimit: cmd.String("rate"), Leaving: cmd.Bool("leaving"), RetryAfter: cmd.String("rest")})
	return serveFake(ctx, cmd, s.Handler())
}

func serveFake(ctx context.Context, cmd *cli.Command, h http.Handler) error {
	listener, err := net.Listen("tcp", cmd.String("listen"))
	if err != nil {
		return eris.Wrap(err, "bellgapfake: listen")
	}
	if path := cmd.String("address-file"); path != "" {
		if err := writeAddressFile(path, listener.Addr().String()); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintln(cmd.Root().Writer, listener.Addr()); err != nil {
		return err
	}
	if err := httpx.Serve(ctx, httpx.NewServer(h), listener); ctx.Err() == nil {
		return err
	}
	return nil
}
