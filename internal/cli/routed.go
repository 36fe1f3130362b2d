package cli

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/box"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/settings"
	"github.com/bellgap/bellgap/platform"
)

// Connections kept open to the store and to one worker's orders and reports.
const (
	connsToStore  = 8
	connsToWorker = 4
)

// runRouted runs a box on the platform that platform/ speaks to.
func runRouted(ctx context.Context, s settings.Settings) error {
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
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { watchReload(ctx); return nil })
	group.Go(func() error {
		defer cancel()
		return b.Run(ctx)
	})
	err = group.Wait()
	klog.InfoS("stopped", "box", s.Box.Name, "err", err)
	return err
}

// watchReload notes changes of the settings file. What a box is made of is set at its start.
func watchReload(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-hup:
			klog.InfoS("settings changed; they hold from the next start on")
		case <-ctx.Done():
			return
		}
	}
}
