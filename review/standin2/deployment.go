package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the users' small deployment.
const (
	modelName      = "base1"
	serviceName    = "llm"
	routeHost      = "one.example"
	streamPath     = "/stream/"
	kvCapacity     = 129799
	tokensPerEvent = 2
	eventMs        = 21
	workerSlots    = 64
	workerCount    = 12
	// Each unframedEach-th answer of unframedWorkers workers has no length: 0.05 of the answers of 0.58 of the workers.
	unframedWorkers = 7
	unframedEach    = 20
	boxCount        = 3
	readyWithin     = 30 * time.Second
	frontPort       = 8149
	readyPort       = 8141
	directoryPort   = 8143
	controlPort     = 8144
	firstInternal   = 7380
	lastInternal    = 7395
	workerPort      = 8501
	storePort       = 8142
)

func modelEntry() map[string]any {
	return map[string]any{"name": modelName, "version": 1, "adapters": []string{}}
}

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	rec     *recorder
	dir     string
	network string
	store   *store
	boxes   []*box

	mu      sync.Mutex
	workers map[int]*workerProcess
	starts  int
	// endedAt holds when workers were killed, by id.
	endedAt map[string]time.Time
}

// box is a process of the system.
type box struct {
	name, ip string
	cmd      *exec.Cmd
}

// workerProcess is a worker's process and its entry in the store.
type workerProcess struct {
	id, address, zone string
	cmd               *exec.Cmd
}

// zones of the deployment.
var zones = []string{"lima-a", "lima-b", "lima-c", "lima-d"}

// newDeployment starts the store and the workers, writes the configuration, and starts the boxes.
func newDeployment(rec *recorder) (*deployment, error) {
	dir, err := os.MkdirTemp("", "bellgap-review-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	d := &deployment{rec: rec, dir: dir, network: fmt.Sprintf("127.%d.%d.", 64+pid%128, 1+pid/128%250), store: newStore(), workers: map[int]*workerProcess{}, endedAt: map[string]time.Time{}}
	l, err := net.Listen("tcp", d.network+"250:"+strconv.Itoa(storePort))
	if err != nil {
		return d, err
	}
	server := &http.Server{Handler: d.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	d.store.put("config", "main", configuration())
	for i := range workerCount {
		if err := d.startWorker(i, ""); err != nil {
			return d, err
		}
	}
	for i := range boxCount {
		d.boxes = append(d.boxes, &box{name: fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], 1+i/len(zones)), ip: d.network + strconv.Itoa(i+1)})
	}
	for i, b := range d.boxes {
		if err := d.startBox(i, b); err != nil {
			return d, err
		}
	}
	return d, d.awaitReady()
}

func configuration() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-stream", "host": routeHost, "pathPrefix": streamPath, "routeKind": "streaming", "timeoutMs": 15000, "objectiveMs": 800, "priority": 2,
			"service": serviceName, "attempts": 1, "sticky": true, "resumable": false, "gapObjectiveMs": 250,
		}},
		"services": []any{map[string]any{
			"name": serviceName, "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tlsEnabled": false,
			"engine": map[string]any{
				"slots": workerSlots, "kvCapacity": kvCapacity, "stride": tokensPerEvent,
				"models":    []any{map[string]any{"name": modelName, "weightsMb": 65100, "loadS": 3.9, "adapters": 0, "adapterMb": 12.0}},
				"weightsMb": 66700, "adapterSlots": 21, "loadPerS": 2.8,
			},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// startWorker starts the worker with the given number under a new id, and writes its entry. An empty address stands for a new one.
func (d *deployment) startWorker(number int, address string) error {
	d.mu.Lock()
	d.starts++
	w := &workerProcess{id: fmt.Sprintf("i-%04d", d.starts), address: address, zone: zones[number%len(zones)]}
	if address == "" {
		w.address = fmt.Sprintf("%s%d:%d", d.network, 100+d.starts, workerPort)
	}
	d.mu.Unlock()
	cfg := workerConfig{ID: w.id, Address: w.address, EventMs: eventMs, Slots: workerSlots}
	if number < unframedWorkers {
		cfg.UnframedEach = unframedEach
	}
	text, err := json.Marshal(cfg)
	if err != nil {
		return err
	}
	if w.cmd, err = d.start(os.Args[0], []string{workerVerb, string(text)}, nil, w.id); err != nil {
		return err
	}
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if conn, err := net.Dial("tcp", w.address); err == nil {
			_ = conn.Close()
			d.announce(w, "ready", 0)
			d.mu.Lock()
			d.workers[number] = w
			d.mu.Unlock()
			return nil
		}
	}
	return errors.New("worker does not listen")
}

// kill ends a worker as a crash does.
func (d *deployment) kill(w *workerProcess) {
	d.mu.Lock()
	d.endedAt[w.id] = time.Now()
	d.mu.Unlock()
	_ = w.cmd.Process.Kill()
	_ = w.cmd.Wait()
}

// sinceEnd describes how long ago the worker with the given seal was killed.
func (d *deployment) sinceEnd(seal string) string {
	id, _, _ := strings.Cut(seal, ".")
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.endedAt[id]
	if !ok {
		return "its worker was not killed"
	}
	return fmt.Sprintf("%.3f s after the end of its worker", time.Since(at).Seconds())
}

// announce writes the entry of a worker, with the time that remains if that is not zero.
func (d *deployment) announce(w *workerProcess, state string, remaining time.Duration) {
	entry := map[string]any{
		"service": serviceName, "address": w.address, "zone": w.zone, "version": "v1", "slots": workerSlots, "state": state, "coldLeftMs": 0, "stage": "combined",
		"models": []any{modelEntry()}, "seqNo": 0,
	}
	if remaining > 0 {
		entry["remainingMs"] = remaining.Milliseconds()
	}
	d.store.put("servers", w.id, entry)
}

// start starts a process whose output goes to a file.
func (d *deployment) start(program string, args, env []string, name string) (*exec.Cmd, error) {
	out, err := os.OpenFile(filepath.Join(d.dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = env
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd, cmd.Start()
}

// startBox fills the template of the deploy file and starts a box as the deploy file says.
func (d *deployment) startBox(number int, b *box) error {
	template, err := os.ReadFile("deploy/box.toml.tmpl")
	if err != nil {
		return err
	}
	settings := filepath.Join(d.dir, b.name+".toml")
	if err := os.WriteFile(settings, []byte(fill(string(template), d.fields(number, b))), 0o600); err != nil {
		return err
	}
	env := []string{"BELLGAP_BOOT=" + settings}
	for _, name := range []string{"PATH", "HOME", "LANG"} {
		env = append(env, name+"="+os.Getenv(name))
	}
	b.cmd, err = d.start("target/bellgapd", nil, env, b.name)
	return err
}

// fields returns the platform's fields for a box.
func (d *deployment) fields(number int, b *box) map[string]string {
	at := func(port int) string { return b.ip + ":" + strconv.Itoa(port) }
	return map[string]string{
		"nodeName": b.name, "zone": zones[number%len(zones)], "region": "lima", "ip": b.ip, "limits.linkMbps": "1000.0", "limits.memoryMb": "284", "limits.maxFds": "4100",
		"listen.front": at(frontPort), "listen.ready": at(readyPort), "listen.directory": at(directoryPort), "listen.controlPlane": at(controlPort),
		"internalPorts.0": strconv.Itoa(firstInternal), "internalPorts.1": strconv.Itoa(lastInternal), "platform.address": d.network + "250:" + strconv.Itoa(storePort),
		"bounds.retryBudgetRatio": "0.2", "bounds.retryAllowance": "52", "bounds.configMs": "2000", "bounds.graceS": "8", "bounds.leaseMs": "3000",
	}
}

var (
	sections = regexp.MustCompile(`\{\{#([^}]+)\}\}(.*?)\{\{/[^}]+\}\}`)
	gaps     = regexp.MustCompile(`\{\{([^}#/]+)\}\}`)
)

// fill fills a template as the platform does, as far as the deploy file's template needs it.
func fill(template string, fields map[string]string) string {
	text := sections.ReplaceAllStringFunc(template, func(section string) string {
		parts := sections.FindStringSubmatch(section)
		if fields[parts[1]] == "" {
			return ""
		}
		return parts[2]
	})
	return gaps.ReplaceAllStringFunc(text, func(gap string) string { return fields[strings.Trim(gap, "{}")] })
}

// awaitReady waits until all boxes say that they are ready.
func (d *deployment) awaitReady() error {
	end := time.Now().Add(readyWithin)
	for _, b := range d.boxes {
		for {
			resp, err := http.Get("http://" + b.ip + ":" + strconv.Itoa(readyPort) + "/v1/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready in time", b.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// stop ends all processes that were started. If keep is set, the folder with their logs stays.
func (d *deployment) stop(keep bool) {
	var all []*exec.Cmd
	for _, b := range d.boxes {
		all = append(all, b.cmd)
	}
	d.mu.Lock()
	for _, w := range d.workers {
		all = append(all, w.cmd)
	}
	d.mu.Unlock()
	for _, cmd := range all {
		if cmd != nil && cmd.Process != nil {
			_ = cmd.Process.Signal(syscall.SIGCONT)
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	}
	if keep {
		d.rec.logf("logs of the processes: %s", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}
