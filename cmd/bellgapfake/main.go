// Command bellgapfake runs fake versions of the systems that bellgap works with, for tests.
package main

import (
	"os"

	"github.com/bellgap/bellgap/internal/cli"
)

func main() {
	os.Exit(cli.Fake(os.Args, os.Stdout, os.Stderr))
}
