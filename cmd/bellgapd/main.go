// Command bellgapd is the daemon that runs on every box that receives requests from callers.
package main

import (
	"os"

	"github.com/bellgap/bellgap/internal/cli"
)

func main() {
	os.Exit(cli.Daemon(cli.DaemonConfig{Args: os.Args, Out: os.Stdout, ErrOut: os.Stderr}))
}
