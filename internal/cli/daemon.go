// Package cli holds the command lines of the programs.
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
	"github.com/bellgap/bellgap/internal/settings"
)

// settingsVariable names the settings file where no flag does.
const settingsVariable = "BELLGAP_BOOT"

// Daemon runs bellgapd and returns its exit status.
func Daemon(args []string, out, errOut io.Writer) int {
	// Signals are the process's own from its first line to its last: not taken yet or given back, SIGHUP ends a box at once, as does
	// SIGPIPE when nobody reads its log, and cuts the streams of one that leaves.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	cmd := &cli.Command{
		Name: "bellgapd", Usage: "serve LoRA adapters from a fleet of engines", Writer: out, ErrWriter: errOut,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "read the settings from `FILE`", Required: true, Sources: cli.EnvVars(settingsVariable)},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
			&cli.StringFlag{Name: "address-file", Usage: "write the addresses to `FILE` once listening"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error { return runDaemon(ctx, cmd, hup) },
	}
	return run(cmd, args, errOut)
}

// run runs a command until it ends or the process is told to stop.
func run(cmd *cli.Command, args []string, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	if err := cmd.Run(ctx, args); err != nil {
		// Nothing is left to tell if even this cannot be written.
		_, _ = fmt.Fprintf(errOut, "%s: %v\n", cmd.Name, err)
		return exitStatus(err)
	}
	return 0
}

func runDaemon(ctx context.Context, cmd *cli.Command, hup <-chan os.Signal) error {
	file := cmd.String("settings")
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	if cmd.Bool("check") {
		_, err := fmt.Fprintln(cmd.Root().Writer, "settings are good")
		return err
	}
	if err := setLog(s.Log.Level); err != nil {
		return err
	}
	debug.SetGCPercent(s.Process.GCPercent)
	if s.Platform.Form == settings.FormObjects {
		return runRouted(ctx, s, file, hup)
	}
	b, err := box.New(box.Config{Settings: s})
	if err != nil {
		return err
	}
	klog.InfoS("listening", "box", s.Box.Name, "caller", b.CallerAddress(), "operator", b.OperatorAddress())
	if path := cmd.String("address-file"); path != "" {
		if err := writeAddress(path, fmt.Sprintf("%s %s", b.CallerAddress(), b.OperatorAddress())); err != nil {
			return err
		}
	}
	return runRereading(ctx, s, file, hup, b.Run)
}

func setLog(level int) error {
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	return fs.Set("v", strconv.Itoa(level))
}

// logTo sends every line to w, once.
func logTo(w io.Writer) error {
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

// writeAddress writes the file whole or not at all.
func writeAddress(path, text string) error {
	const mode = 0o644
	if err := os.WriteFile(path+".part", []byte(text+"\n"), mode); err != nil {
		return err
	}
	return os.Rename(path+".part", path)
}
