package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// runCase plays a case and returns the exit code of its script.
func runCase(name, folder string) int {
	cases := map[string]func(*deployment, *traffic, bool){"removed-workers": removedWorkers, "suspended-box": suspendedBox, "crashed-workers": crashedWorkers}
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	rec := &recorder{file: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.logf("case %s, disruption %t", name, trouble)
	d, err := newDeployment(rec)
	if d != nil {
		defer func() { d.stop(os.Getenv("KEEP") == "1") }()
	}
	if err != nil {
		rec.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	t := newTraffic(d)
	play(d, t, trouble)
	rec.logf("outcomes: %v", t.counts)
	fmt.Println("outcomes:", t.counts)
	for _, b := range t.broken {
		fmt.Println("broken:", b)
	}
	switch {
	case len(t.broken) > 0:
		return exitBroken
	case t.counts["whole"] == 0:
		fmt.Println("no stream was served")
		return exitNotRun
	default:
		return exitHeld
	}
}

// during runs steps beside traffic.
func during(t *traffic, length time.Duration, usable func() []*box, steps func()) {
	var group sync.WaitGroup
	group.Go(func() { t.run(length, usable) })
	group.Go(steps)
	group.Wait()
}

const (
	// trafficLength is how long clients send.
	trafficLength = 92 * time.Second
	// noticeTime is the short notice of a removal, replacedAfter when the workers that take the place of the removed ones come.
	noticeTime    = 2 * time.Second
	replacedAfter = 4 * time.Second
	// removedAtOnce is less than 0.17 of the workers, rounded to whole ones.
	removedAtOnce = 2
	// removals is how often workers are taken away.
	removals = 14
)

// removedWorkers plays workers that are taken away at short notice: they say that they drain, with the time that remains, and are gone when it
// is over.
func removedWorkers(d *deployment, t *traffic, trouble bool) {
	during(t, trafficLength, func() []*box { return d.boxes }, func() {
		if !trouble {
			return
		}
		for round := range removals {
			time.Sleep(noticeTime)
			var gone sync.WaitGroup
			for i := range removedAtOnce {
				number := (round*removedAtOnce + i) % workerCount
				gone.Go(func() { d.removeWorker(number) })
			}
			gone.Wait()
		}
	})
}

// removeWorker takes a worker away at short notice and starts another one in its place.
func (d *deployment) removeWorker(number int) {
	d.mu.Lock()
	w := d.workers[number]
	d.mu.Unlock()
	d.rec.logf("%s drains, %s remain", w.id, noticeTime)
	d.announce(w, "draining", noticeTime)
	time.Sleep(noticeTime)
	d.rec.logf("%s is gone", w.id)
	d.kill(w)
	d.store.remove("servers", w.id)
	time.Sleep(replacedAfter - noticeTime)
	if err := d.startWorker(number, ""); err != nil {
		d.rec.logf("no worker comes in the place of %s: %v", w.id, err)
	}
}

const (
	// suspendedFor is how long a box stands still, crashAfter when the workers crash after it stopped, downFor how long they are down.
	suspendedFor = 4 * time.Second
	crashAfter   = 300 * time.Millisecond
	downFor      = 2 * time.Second
	// crashRounds is how often workers crash in the case without a suspended box, crashEvery the time between two of these.
	crashRounds = 28
	crashEvery  = 3 * time.Second
	// crashedAtOnce is a quarter of the workers.
	crashedAtOnce = 3
	// suspensions is how often a box stands still.
	suspensions = 14
	// heartbeatsMissed is how long after its end the entry of a worker goes.
	heartbeatsMissed = 3600 * time.Millisecond
)

// suspendedBox plays a box that stands still for a while, and workers that crash meanwhile.
func suspendedBox(d *deployment, t *traffic, trouble bool) {
	during(t, trafficLength, func() []*box { return d.boxes }, func() {
		if !trouble {
			return
		}
		for round := range suspensions {
			time.Sleep(2 * time.Second)
			b := d.boxes[round%len(d.boxes)]
			d.rec.logf("%s stands still", b.name)
			_ = b.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(crashAfter)
			var group sync.WaitGroup
			for i := range crashedAtOnce {
				number := (round*crashedAtOnce + i) % workerCount
				group.Go(func() { d.crashWorker(number) })
			}
			time.Sleep(suspendedFor - crashAfter)
			_ = b.cmd.Process.Signal(syscall.SIGCONT)
			d.rec.logf("%s goes on", b.name)
			group.Wait()
		}
	})
}

// crashedWorkers plays workers that crash, and nothing else.
func crashedWorkers(d *deployment, t *traffic, trouble bool) {
	during(t, trafficLength, func() []*box { return d.boxes }, func() {
		if !trouble {
			return
		}
		for round := range crashRounds {
			time.Sleep(crashEvery)
			for i := range crashedAtOnce {
				number := (round*crashedAtOnce + i) % workerCount
				go d.crashWorker(number)
			}
		}
	})
}

// crashWorker kills a worker. Its entry goes after three heartbeats, and it starts again under a new id.
func (d *deployment) crashWorker(number int) {
	d.mu.Lock()
	w := d.workers[number]
	d.mu.Unlock()
	d.rec.logf("%s crashes", w.id)
	d.kill(w)
	time.Sleep(downFor)
	if err := d.startWorker(number, w.address); err != nil {
		d.rec.logf("%s does not start again: %v", w.id, err)
	}
	time.Sleep(heartbeatsMissed - downFor)
	d.store.remove("servers", w.id)
}
