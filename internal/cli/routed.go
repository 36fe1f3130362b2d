package cli

import (
	"context"
	"net/http"
	"os"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/box"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/logsink"
	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/reach"
	"github.com/bellgap/bellgap/internal/settings"
	"github.com/bellgap/bellgap/platform"
)

// maxIdleStoreConns limits the idle connections to the store that are kept open.
const maxIdleStoreConns = 8

// runRoutedBox runs a box that uses the platform of package platform. It logs to standard output.
func runRoutedBox(ctx context.Context, s settings.Settings, path string, dialEndpoint reach.DialFunc, hup <-chan os.Signal) error {
	sink := logsink.New(logsink.Config{Out: os.Stdout})
	if err := redirectLog(sink); err != nil {
		return err
	}
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	var logGroup errgroup.Group
	logGroup.Go(func() error { return sink.Serve(logCtx) })
	err := serveRoutedBox(ctx, s, path, dialEndpoint, hup)
	klog.InfoS("stopped", "box", s.Box.Name, "err", err, "lines_left_out", sink.Dropped())
	stopLog()
	// Serve only returns when its context is cancelled, so the error carries no information.
	_ = logGroup.Wait()
	return err
}

func serveRoutedBox(ctx context.Context, s settings.Settings, path string, dialEndpoint reach.DialFunc, hup <-chan os.Signal) error {
	store := platform.NewStore(platform.StoreConfig{Address: s.Platform.Address, HTTP: httpx.NewClient(maxIdleStoreConns)})
	locateKeep := s.Request.LocateKeep
	b, err := box.NewRouted(box.RoutedConfig{Settings: s, Deployment: box.Deployment{
		API: store, Source: store, Wire: platform.Wire{}, DialEndpoint: dialEndpoint, ReadEndpoint: store.Endpoint,
		NewEngines: func(c box.EngineClients) owner.Engines {
			return platform.NewWorkers(platform.WorkersConfig{Box: s.Box.Name, HTTP: c.Reports, Orders: c.Orders, OnRate: c.OnRate, Policy: s.Policy.Build(), Scope: c.Scope})
		},
		NewDirectoryHandler: func(b *box.Routed) http.Handler {
			return platform.DirectoryHandler(platform.EdgeConfig{BoxStatus: b, CacheTTL: locateKeep})
		},
		NewReadyHandler: func(b *box.Routed) http.Handler {
			return platform.ReadyHandler(platform.EdgeConfig{BoxStatus: b, CacheTTL: locateKeep})
		},
	}})
	if err != nil {
		return err
	}
	klog.InfoS("started", "box", s.Box.Name, "zone", s.Box.Zone, "caller", s.Listen.Caller, "store", s.Platform.Address)
	return runWithReload(ctx, s, path, hup, b.Run)
}

// runWithReload runs a box, which leaves when ctx is cancelled. It reloads the settings file on each SIGHUP until the box has left.
func runWithReload(ctx context.Context, s settings.Settings, path string, hup <-chan os.Signal, run func(context.Context) error) error {
	reloadCtx, stopReload := context.WithCancel(context.WithoutCancel(ctx))
	defer stopReload()
	var group errgroup.Group
	group.Go(func() error { reloadOnSignal(reloadCtx, s, path, hup); return nil })
	group.Go(func() error {
		defer stopReload()
		return run(ctx)
	})
	return group.Wait()
}

// reloadOnSignal reloads the settings file on each SIGHUP until ctx is cancelled. Only a new log level takes effect at once; the other
// settings are applied when the box starts. If the file cannot be loaded, the previous settings stay in force.
func reloadOnSignal(ctx context.Context, s settings.Settings, path string, hup <-chan os.Signal) {
	for {
		select {
		case <-hup:
			s = reloadSettings(s, path)
		case <-ctx.Done():
			return
		}
	}
}

func reloadSettings(s settings.Settings, path string) settings.Settings {
	reloaded, err := settings.Load(path)
	if err != nil {
		klog.ErrorS(err, "settings not reloaded; the previous settings stay in force", "file", path)
		return s
	}
	if reloaded.Log.Level != s.Log.Level {
		if err := setLogLevel(reloaded.Log.Level); err != nil {
			klog.ErrorS(err, "log level not changed", "level", reloaded.Log.Level)
		}
	}
	klog.InfoS("settings reloaded", "file", path, "level", reloaded.Log.Level, "changed", !reloaded.Equal(s))
	return reloaded
}
