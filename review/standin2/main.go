// Command standin2 plays the cases of the second review: it starts boxes and workers as processes, serves the platform's store itself, sends
// requests as clients do, and judges only what clients and workers saw.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	workerVerb  = "worker"
	minimumArgs = 3
)

func main() {
	if len(os.Args) < minimumArgs {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER | standin2 worker JSON")
		os.Exit(exitNotRun)
	}
	if os.Args[1] == workerVerb {
		if err := runWorker(os.Args[2]); err != nil {
			fmt.Fprintln(os.Stderr, "worker:", err)
			os.Exit(exitNotRun)
		}
		return
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}
