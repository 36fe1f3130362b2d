// Command bellgapbench measures the decisions of bellgap against simpler policies in virtual time.
package main

import (
	"os"

	"github.com/bellgap/bellgap/internal/cli"
)

func main() {
	os.Exit(cli.Bench(os.Args, os.Stdout, os.Stderr))
}
