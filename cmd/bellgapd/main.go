// Command bellgapd is the daemon that runs on every box that receives requests from callers.
package main

import (
	"os"

	"github.com/bellgap/bellgap/internal/cli"
)

func main() {
	os.Exit(cli.Daemon(os.Args, os.Stdout, os.Stderr))
}
