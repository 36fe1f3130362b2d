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
	"github.com/bellgap/bellgap/internal/settings"
	"github.com/bellgap/bellgap/platform"
)

// Connections kept open to the store and to one worker's orders and reports.
const (
	connsToStore  = 8
	connsToWorker = 4
)

// runRouted runs a box on the platform that platform/ speaks to, with its log on standard output.
func runRouted(ctx context.Context, s settings.Settings, path string, hup <-chan os.Signal) error {
	sink := logsink.New(logsink.Config{Out: os.Stdout})
	if err := logTo(sink); err != nil {
		return err
	}
	logging, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	var log errgroup.Group
	log.Go(func() error { return sink.Serve(logging) })
	err := serveRouted(ctx, s, path, hup)
	klog.InfoS("stopped", "box", s.Box.Name, "err", err, "lines_left_out", sink.Dropped())
	stopLog()
	// The sink ends with its context and has no other error.
	_ = log.Wait()
	return err
}

func serveRouted(ctx context.Context, s settings.Settings, path string, hup <-chan os.Signal) error {
	store := platform.NewStore(platform.StoreConfig{Address: s.Platform.Address, HTTP: &http.Client{Transport: httpx.NewTransport(connsToStore)}})
	keep := s.Request.LocateKeep
	b, err := box.NewRouted(box.RoutedConfig{Settings: s, Deployment: box.Deployment{
		API: store, Source: store, Wire: platform.Wire{},
		Engines: platform.NewWorkers(platform.WorkersConfig{Box: s.Box.Name, HTTP: &http.Client{Transport: httpx.NewTransport(connsToWorker)}}),
		Directory: func(b *box.Routed) http.Handler {
			return platform.DirectoryHandler(platform.EdgeConfig{Fleet: b, Keep: keep})
		},
		Ready: func(b *box.Routed) http.Handler {
			return platform.ReadyHandler(platform.EdgeConfig{Fleet: b, Keep: keep})
		},
	}})
	if err != nil {
		return err
	}
	klog.InfoS("started", "box", s.Box.Name, "zone", s.Box.Zone, "caller", s.Listen.Caller, "store", s.Platform.Address)
	return runRereading(ctx, s, path, hup, b.Run)
}

// runRereading runs a box, which leaves when ctx ends, and reads the settings file again when told until the box has left.
func runRereading(ctx context.Context, s settings.Settings, path string, hup <-chan os.Signal, run func(context.Context) error) error {
	running, left := context.WithCancel(context.WithoutCancel(ctx))
	defer left()
	var group errgroup.Group
	group.Go(func() error { watchReload(running, s, path, hup); return nil })
	group.Go(func() error {
		defer left()
		return run(ctx)
	})
	return group.Wait()
}

// watchReload reads the settings file again when told. The log's verbosity takes effect at once; what a box is made of is set at
// its start. A file that cannot be read leaves the settings in force.
func watchReload(ctx context.Context, s settings.Settings, path string, hup <-chan os.Signal) {
	for {
		select {
		case <-hup:
			s = reload(s, path)
		case <-ctx.Done():
			return
		}
	}
}

func reload(s settings.Settings, path string) settings.Settings {
	next, err := settings.Load(path)
	if err != nil {
		klog.ErrorS(err, "settings not reloaded; the last ones stay in force", "file", path)
		return s
	}
	if next.Log.Level != s.Log.Level {
		if err := setLog(next.Log.Level); err != nil {
			klog.ErrorS(err, "verbosity not set", "level", next.Log.Level)
		}
	}
	klog.InfoS("settings reloaded", "file", path, "level", next.Log.Level, "changed", !next.Equal(s))
	return next
}
