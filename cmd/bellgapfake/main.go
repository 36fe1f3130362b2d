// Command bellgapfake runs stand-ins for the systems around bellgap.
package main

import (
	"os"

	"github.com/bellgap/bellgap/internal/cli"
)

func main() {
	os.Exit(cli.Fake(os.Args, os.Stdout, os.Stderr))
}
