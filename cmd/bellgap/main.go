// Command bellgap is the operators' tool.
package main

import (
	"os"

	"github.com/bellgap/bellgap/internal/cli"
)

func main() {
	os.Exit(cli.Tool(os.Args, os.Stdout, os.Stderr))
}
