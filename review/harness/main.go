// Command harness plays one case of the review: it starts stand-ins of the platform's store, of workers and of clients, and the
// boxes as processes of their own.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// verdict is the result of a case.
type verdict struct {
	broken []string
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder of record.txt")
	logs := flag.Bool("keep-logs", false, "keep the logs of the boxes")
	flag.Parse()
	cases := map[string]func(context.Context, *world, bool) (verdict, error){
		"late-rejection":   playLateRejection,
		"upgrade-in-place": playUpgrade,
	}
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(*dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	w, err := newWorld(rec)
	if w != nil {
		defer w.close(*logs)
	}
	if err == nil {
		if *logs {
			fmt.Println("logs of the boxes:", w.dir)
		}
		var v verdict
		if v, err = play(context.Background(), w, os.Getenv("TROUBLE") != "0"); err == nil {
			return v.report(rec)
		}
	}
	rec.add("the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, "could not run:", err)
	return exitNotRun
}

// report prints the verdict and returns the exit code.
func (v verdict) report(rec *record) int {
	if len(v.broken) == 0 {
		rec.add("held")
		fmt.Println("held")
		return exitHeld
	}
	for _, b := range v.broken {
		rec.add("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	return exitBroken
}
