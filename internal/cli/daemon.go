// Package cli implements the command lines of all programs of this project.
package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/box"
	"github.com/bellgap/bellgap/internal/reach"
	"github.com/bellgap/bellgap/internal/settings"
)

// settingsVariable is the environment variable for the path of the settings file, used if the flag --settings is missing.
const settingsVariable = "BELLGAP_BOOT"

// DaemonConfig configures Daemon.
type DaemonConfig struct {
	// Args is the command line, which begins with the name of the program.
	Args        []string
	Out, ErrOut io.Writer
	// DialEndpoint opens connections to endpoints, nil uses TCP.
	DialEndpoint reach.DialFunc
}

// Daemon runs bellgapd and returns its exit status.
func Daemon(cfg DaemonConfig) int {
	// Handle SIGHUP and ignore SIGPIPE from the first line of the process to its last. By default, SIGHUP ends a process at once. A box
	// that is still starting would be stopped, and one that is already leaving would cut its streams. By default, SIGPIPE also ends a
	// process at once, which happens when the reader of its log has gone.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	cmd := &cli.Command{
		Name: "bellgapd", Usage: "serve LoRA adapters from a fleet of engines", Writer: cfg.Out, ErrWriter: cfg.ErrOut,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "read the settings from `FILE`", Required: true, Sources: cli.EnvVars(settingsVariable)},
			&cli.BoolFlag{Name: "check", Usage: "validate the settings file and exit"},
			&cli.StringFlag{Name: "address-file", Usage: "write the listen addresses to `FILE` when the box accepts connections"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error { return runDaemon(ctx, cmd, cfg, hup) },
	}
	return run(cmd, cfg.Args, cfg.ErrOut)
}

// run runs a command until it returns or the process receives SIGTERM or an interrupt. It returns the exit status.
func run(cmd *cli.Command, args []string, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	if err := cmd.Run(ctx, args); err != nil {
		// There is no other place to report an error if writing to errOut fails.
		_, _ = fmt.Fprintf(errOut, "%s: %v\n", cmd.Name, err)
		return exitStatus(err)
	}
	return 0
}

func runDaemon(ctx context.Context, cmd *cli.Command, cfg DaemonConfig, hup <-chan os.Signal) error {
	file := cmd.String("settings")
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	if cmd.Bool("check") {
		_, err := fmt.Fprintln(cmd.Root().Writer, "settings are good")
		return err
	}
	if err := setLogLevel(s.Log.Level); err != nil {
		return err
	}
	debug.SetGCPercent(s.Process.GCPercent)
	if limit := s.Process.RuntimeBytes(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	if s.Platform.Form == settings.FormObjects {
		return runRoutedBox(ctx, s, file, cfg.DialEndpoint, hup)
	}
	b, err := box.New(box.Config{Settings: s, DialEndpoint: cfg.DialEndpoint})
	if err != nil {
		return err
	}
	klog.InfoS("listening", "box", s.Box.Name, "caller", b.CallerAddress(), "operator", b.OperatorAddress())
	if path := cmd.String("address-file"); path != "" {
		if err := writeAddressFile(path, fmt.Sprintf("%s %s", b.CallerAddress(), b.OperatorAddress())); err != nil {
			return err
		}
	}
	return runWithReload(ctx, s, file, hup, b.Run)
}

func setLogLevel(level int) error {
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	return fs.Set("v", strconv.Itoa(level))
}

// redirectLog writes every log line to w exactly once, whatever its severity.
func redirectLog(w io.Writer) error {
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	for _, f := range []struct{ name, value string }{{"logtostderr", "false"}, {"one_output", "true"}, {"stderrthreshold", "FATAL"}} {
		if err := fs.Set(f.name, f.value); err != nil {
			return err
		}
	}
	klog.SetOutput(w)
	return nil
}

// writeAddressFile writes the file atomically, so that readers never see a part of it.
func writeAddressFile(path, text string) error {
	const mode = 0o644
	if err := os.WriteFile(path+".part", []byte(text+"\n"), mode); err != nil {
		return err
	}
	return os.Rename(path+".part", path)
}
