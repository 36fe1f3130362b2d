// Command bellgap is the command-line tool for operators.
package main

import (
	"os"

	"github.com/bellgap/bellgap/internal/cli"
)

func main() {
	os.Exit(cli.Tool(os.Args, os.Stdout, os.Stderr))
}
